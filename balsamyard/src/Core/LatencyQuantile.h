#pragma once

#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Running estimate of one quantile of a stream of latencies, without a
/// lock and in constant memory.
///
/// The estimate moves up by a step with probability 1 - Quantile and down with
/// probability Quantile at equilibrium; steps are relative to the estimate.
class LatencyQuantile {
public:
  LatencyQuantile(double Quantile, Duration First);

  void observe(Duration Latency);
  Duration value() const;

private:
  std::int64_t StepUp;
  std::int64_t StepDown;
  std::atomic<std::int64_t> LogValue; ///< log2 of microseconds, 32.32 bits.
};

} // namespace balsamyard
