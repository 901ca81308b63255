#include "balsamyard/src/Version/FleetView.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

ConnectionQuota FleetView::connectionQuota(ServiceNumber Service,
                                           bool Preferred, std::size_t Threads,
                                           Duration Age) const {
  // While the nodes are not counted, connections are opened on demand only: all
  // nodes start at once, and a target resets what is too many.
  if (!this->Shares.NodesCounted)
    return {1, 0};
  // One share stays free, for a process that starts before it is counted.
  const std::size_t Share = this->Config->Services[Service].MaxConnections /
                            (this->Shares.Nodes + 1) / Threads;
  const std::size_t Most =
      Age < TargetIdleTimeout ? 1 : std::max<std::size_t>(Share, 1);
  return {Most, Preferred ? std::min(PreopenedConnections, Most) : 0};
}

Duration FleetView::coldRequestInterval(ServiceNumber Service) const {
  const double Bound = this->Config->Services[Service].ColdRequestRate *
                           this->Shares.ColdRateFactor +
                       this->Shares.ColdSlack;
  // Any second may hold one request more than the rate of a process says.
  const double Share = std::floor(Bound / this->Shares.Nodes) - 1;
  if (Share < 1)
    return Duration::max();
  return Duration(static_cast<std::int64_t>(1e6 / Share));
}

} // namespace balsamyard
