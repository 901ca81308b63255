#pragma once

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Bounds hedges and retries to a share of first attempts.
///
/// One token bucket per process, shared by hedges and retries. Only first
/// attempts fill it, so that extra requests stay within the share, whatever the
/// failures. A new process gets a small advance that its first attempts pay
/// back: extra requests never exceed the share or AdvanceRequests, whichever is
/// more. Lock-free; every member may be called from any thread.
class ExtraLoadBudget {
public:
  /// \brief Highest share of first attempts that may be sent again.
  static constexpr double MaxShare = 0.05;

  /// \brief Extra requests that may be saved up. 64 cover the loss of two
  /// leaf groups (32 leaves each) at once.
  static constexpr std::int64_t BurstRequests = 64;

  /// \brief Extra requests before any were earned. Without them a query of a
  /// small service (2 leaves) could not be retried in the first ten queries
  /// after a start, when targets are cold and refuse most often.
  static constexpr std::int64_t AdvanceRequests = 16;

  /// \brief Credits \p FirstAttempts; \p Share is at most MaxShare.
  void earn(std::uint32_t FirstAttempts, double Share = MaxShare);

  /// \returns whether one extra request may be sent, and takes its token.
  bool trySpend();

  /// \returns the number of extra requests that were granted.
  std::uint64_t spent() const {
    return this->Spent.load(std::memory_order_relaxed);
  }

  /// \returns the number of requests that were refused.
  std::uint64_t denied() const {
    return this->Denied.load(std::memory_order_relaxed);
  }

  /// \returns the number of first attempts that were credited.
  std::uint64_t firstAttempts() const {
    return this->First.load(std::memory_order_relaxed);
  }

private:
  static constexpr std::int64_t PartsPerToken = 1'000'000;

  std::atomic<std::int64_t> Parts{AdvanceRequests * PartsPerToken};
  std::atomic<std::int64_t> Owed{AdvanceRequests * PartsPerToken};
  std::atomic<std::uint64_t> First{0};
  std::atomic<std::uint64_t> Spent{0};
  std::atomic<std::uint64_t> Denied{0};
};

} // namespace balsamyard
