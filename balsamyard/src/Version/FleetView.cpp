#include "balsamyard/src/Version/FleetView.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

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

} // namespace balsamyard
