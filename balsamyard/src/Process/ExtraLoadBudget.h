#pragma once

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Bounds hedges and retries to a share of first attempts.
///
/// One token bucket per process, shared by hedges and retries. It starts empty
/// and only first attempts fill it, so extra requests never exceed the share,
/// whatever the failures. Lock-free; every member may be called from any
/// thread.
class ExtraLoadBudget {
public:
  /// \brief Highest share of first attempts that may be sent again.
  static constexpr double MaxShare = 0.05;

  /// \brief Extra requests that may be saved up. 64 cover the loss of two
  /// leaf groups (32 leaves each) at once.
  static constexpr std::int64_t BurstRequests = 64;

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

  std::atomic<std::int64_t> Parts{0};
  std::atomic<std::uint64_t> First{0};
  std::atomic<std::uint64_t> Spent{0};
  std::atomic<std::uint64_t> Denied{0};
};

} // namespace balsamyard
