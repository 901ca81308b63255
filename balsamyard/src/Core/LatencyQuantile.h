#pragma once

#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Running estimate of one quantile of a stream of latencies; lock-free,
/// in constant memory. Thread-safe.
///
/// Each observation above the estimate raises it by a step proportional to
/// Quantile, each other one lowers it by a step proportional to 1 - Quantile.
/// At equilibrium a share of 1 - Quantile of the observations lies above the
/// estimate. Steps are relative to the estimate.
class LatencyQuantile {
public:
  LatencyQuantile(double Quantile, Duration Initial);

  void observe(Duration Latency);
  Duration value() const;

private:
  std::int64_t StepUp;
  std::int64_t StepDown;
  std::atomic<std::int64_t> LogValue; ///< log2 of microseconds, 32.32 bits.
};

} // namespace balsamyard
