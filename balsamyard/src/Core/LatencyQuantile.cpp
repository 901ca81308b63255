#include "balsamyard/src/Core/LatencyQuantile.h"

#include <cmath>

namespace balsamyard {

namespace {

constexpr double LogScale = 4294967296.0; // 2^32

/// Step in units of log2: for the 95th percentile, one observation above the
/// estimate raises it by 7% and one below lowers it by 0.4%.
constexpr double QuantileStep = 0.1;

} // namespace

LatencyQuantile::LatencyQuantile(double Quantile, Duration Initial)
    : StepUp(static_cast<std::int64_t>(QuantileStep * Quantile * LogScale)),
      StepDown(
          static_cast<std::int64_t>(QuantileStep * (1 - Quantile) * LogScale)),
      LogValue(static_cast<std::int64_t>(
          std::log2(static_cast<double>(Initial.count())) * LogScale)) {}

void LatencyQuantile::observe(Duration Latency) {
  if (Latency > this->value())
    this->LogValue.fetch_add(this->StepUp, std::memory_order_relaxed);
  else
    this->LogValue.fetch_sub(this->StepDown, std::memory_order_relaxed);
}

Duration LatencyQuantile::value() const {
  const double Log =
      static_cast<double>(this->LogValue.load(std::memory_order_relaxed)) /
      LogScale;
  return Duration(static_cast<std::int64_t>(std::exp2(Log)));
}

} // namespace balsamyard
