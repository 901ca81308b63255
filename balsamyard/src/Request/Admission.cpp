#include "balsamyard/src/Request/Admission.h"

#include <algorithm>

namespace balsamyard {

Duration predictedWait(const Arrival &Request) {
  const double Growth = (Request.ServiceInFlight + 1.0) /
                        (std::max(Request.AverageInFlight, 0.0) + 1.0);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(Request.MedianLeafTime.count()) *
      std::max(Growth, 1.0)));
}

Code admit(const Arrival &Request) {
  if (Request.TimeLeft <= Duration(0))
    return Code::DeadlineExpired;
  if (Request.InFlight >= Request.Limit)
    return Code::Overloaded;
  if (Request.ServiceInFlight < ProbeRequests)
    return Code::Ok;
  return predictedWait(Request) > Request.TimeLeft ? Code::Overloaded
                                                   : Code::Ok;
}

bool InFlightLimit::enter() {
  if (this->Count.fetch_add(1, std::memory_order_relaxed) < this->Limit)
    return true;
  this->leave();
  return false;
}

} // namespace balsamyard
