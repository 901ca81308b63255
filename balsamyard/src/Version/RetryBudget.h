#pragma once

#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Limit on the retries and hedges to a service: Ratio times the
/// requests in the same window, plus Slack.
struct RetryBounds {
  double Ratio = 0.2;
  double Slack = 1; ///< Share of this process in the total slack.
  Duration Window = std::chrono::seconds(10);
};

/// \brief Limits the retries and hedges to one service in every time window.
///
/// Each process keeps the ratio for its own requests, so all processes together
/// keep it without communication. Extra requests are counted over slightly more
/// than the window and caller requests over slightly less, so that the limit
/// holds wherever the window begins. Lock-free and thread-safe.
class RetryBudget : public RefCounted<RetryBudget> {
public:
  /// \brief Counts one request of a caller to the service.
  void countRequest(TimePoint Now);

  /// \returns whether an extra request is allowed at \p Now; counts it if so.
  bool trySpend(const RetryBounds &Bounds, TimePoint Now);

  /// \returns how many extra requests are allowed at \p Now; may be negative.
  double left(const RetryBounds &Bounds, TimePoint Now) const;

private:
  /// Number of counting intervals in a window.
  static constexpr std::int64_t BucketsPerWindow = 20;

  /// At least BucketsPerWindow plus the current bucket and the oldest one,
  /// which is partly expired.
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
