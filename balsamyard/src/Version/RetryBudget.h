#pragma once

#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief How many extra arrivals a service may get: Ratio of the requests in
/// the same window, and Slack on top.
struct RetryBounds {
  double Ratio = 0.2;
  double Slack = 1; ///< The share of this process.
  Duration Window = std::chrono::seconds(10);
};

/// \brief Bounds retries and hedges to one service, in any window of time.
///
/// Each process keeps to the ratio of its own requests, so the sum over all
/// processes keeps to it without any exchange. Extra arrivals are counted over
/// a little more than the window and requests over a little less, so that the
/// bound holds wherever the window begins. Lock-free; thread-safe.
class RetryBudget : public RefCounted<RetryBudget> {
public:
  /// \brief Counts one request of a caller for the service.
  void countRequest(TimePoint Now);

  /// \returns whether one extra arrival is allowed at \p Now, and counts it.
  bool trySpend(const RetryBounds &Bounds, TimePoint Now);

  /// \returns how many extra arrivals are allowed at \p Now; may be negative.
  double left(const RetryBounds &Bounds, TimePoint Now) const;

private:
  /// Parts of the window that are counted apart.
  static constexpr std::int64_t BucketsPerWindow = 20;

  /// The current bucket and the oldest, partly expired one come on top.
  static constexpr std::size_t BucketCount = 32;

  struct Bucket {
    std::atomic<std::int64_t> Epoch{-1};
    std::atomic<std::uint32_t> Requests{0};
    std::atomic<std::uint32_t> Extras{0};
  };

  static std::int64_t epochOf(TimePoint Now, Duration Window);
  Bucket &bucket(std::int64_t Epoch);

  std::array<Bucket, BucketCount> Buckets;
  std::atomic<std::int64_t> WindowMicros{10'000'000};
};

} // namespace balsamyard
