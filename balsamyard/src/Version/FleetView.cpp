#include "balsamyard/src/Version/FleetView.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// Processes that share the larger part of a request limit: one for each
/// request per second, and a few more so that a low limit is used as well. In
/// any window of a second or more, each sends at most one request beyond its
/// rate.
double sharersOf(double Limit) {
  constexpr double ExtraSharers = 5;
  return std::floor(Limit) + ExtraSharers;
}

/// Fraction of a request limit that all processes together use. The rest is
/// reserved for processes that have started but are not counted yet.
constexpr double LimitFraction = 0.9;

/// Fraction that the sharers use if there are other processes.
constexpr double SharerFraction = 0.65;

/// Lower limits are taken for this one, in requests per second, so that their
/// end is noticed.
constexpr double MinRequestLimit = 0.01;

} // namespace

ConnectionQuota FleetView::connectionQuota(ServiceNumber Service,
                                           bool Preferred, std::size_t Threads,
                                           Duration Age) const {
  // Until the nodes are counted, connections are opened on demand only: all
  // nodes may start at once, and a target resets connections above its limit.
  if (!this->Shares.NodesCounted)
    return {1, 0};
  // One share is reserved for a process that starts before it is counted.
  const std::size_t Share = this->Config->Services[Service].MaxConnections /
                            (this->Shares.Nodes + 1) / Threads;
  const std::size_t Max =
      Age < TargetIdleTimeout ? 1 : std::max<std::size_t>(Share, 1);
  return {Max, Preferred ? std::min(PreopenedConnections, Max) : 0};
}

Duration FleetView::coldRequestInterval(ServiceNumber Service) const {
  const double TotalRate = this->Config->Services[Service].ColdRequestRate *
                               this->Shares.ColdRateFactor +
                           this->Shares.ColdSlack;
  // An interval of one second may contain one request more than the rate.
  const double Share = std::floor(TotalRate / this->Shares.Nodes) - 1;
  if (Share < 1)
    return Duration::max();
  return Duration(static_cast<std::int64_t>(1e6 / Share));
}

Duration FleetView::limitedRequestInterval(const KnownTarget &Target,
                                           double Limit) const {
  if (!this->Shares.NodesCounted)
    return Duration::max();
  const double PerSecond = std::max(Limit, MinRequestLimit);
  const double Sharers = sharersOf(PerSecond);
  const auto Nodes = static_cast<double>(this->Shares.Nodes);
  double Rate = 0;
  if (Nodes <= Sharers)
    Rate = LimitFraction * PerSecond / Nodes;
  else if (Target.sharerPosition() < Sharers)
    Rate = SharerFraction * PerSecond / Sharers;
  else
    Rate = (LimitFraction - SharerFraction) * PerSecond / (Nodes - Sharers);
  return Duration(static_cast<std::int64_t>(1e6 / Rate));
}

} // namespace balsamyard
