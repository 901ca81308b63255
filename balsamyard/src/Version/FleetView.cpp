#include "balsamyard/src/Version/FleetView.h"

#include <cmath>

namespace balsamyard {

Duration FleetView::coldInterval(ServiceNumber Service) const {
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
