#pragma once

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Limits hedges and retries to a share of the first attempts.
///
/// A token bucket per process, shared by hedges and retries. Only first
/// attempts add tokens, so that extra requests stay within the share no matter
/// which requests fail. A new process starts with AdvanceRequests tokens, which
/// are deducted from those that its first attempts add: the number of extra
/// requests never exceeds the share of first attempts or AdvanceRequests,
/// whichever is greater. Lock-free and thread-safe.
class ExtraLoadBudget {
public:
  /// \brief Maximum number of extra requests per first attempt.
  static constexpr double MaxShare = 0.05;

  /// \brief Capacity of the bucket. 64 requests cover the simultaneous loss of
  /// two leaf groups (32 leaves each).
  static constexpr std::int64_t BurstRequests = 64;

  /// \brief Number of tokens at the start. Without them, the first ten queries
  /// of a small service (2 leaves) after a start could not be retried, although
  /// targets are cold then and refuse most often.
  static constexpr std::int64_t AdvanceRequests = 16;

  /// \brief Adds \p Share tokens for each of \p FirstAttempts. A \p Share above
  /// MaxShare counts as MaxShare.
  void earn(std::uint32_t FirstAttempts, double Share = MaxShare);

  /// \brief Takes a token for one extra request.
  /// \returns whether a token was available.
  bool trySpend();

  /// \returns the number of tokens taken.
  std::uint64_t spent() const {
    return this->Spent.load(std::memory_order_relaxed);
  }

  /// \returns the number of extra requests that were denied.
  std::uint64_t denied() const {
    return this->Denied.load(std::memory_order_relaxed);
  }

  /// \returns the number of first attempts that added tokens.
  std::uint64_t firstAttempts() const {
    return this->FirstAttemptCount.load(std::memory_order_relaxed);
  }

private:
  static constexpr std::int64_t PartsPerToken = 1'000'000;

  std::atomic<std::int64_t> TokenParts{AdvanceRequests * PartsPerToken};
  std::atomic<std::int64_t> Debt{AdvanceRequests * PartsPerToken};
  std::atomic<std::uint64_t> FirstAttemptCount{0};
  std::atomic<std::uint64_t> Spent{0};
  std::atomic<std::uint64_t> Denied{0};
};

} // namespace balsamyard
