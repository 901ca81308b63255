#include "balsamyard/src/Request/HedgePolicy.h"

#include <algorithm>

namespace balsamyard {

HedgePolicy HedgePolicy::forService(const ServiceStats &Stats) {
  return HedgePolicy{std::max(Stats.LeafTime.value(), MinDelay)};
}

TimePoint HedgePolicy::nextCheck(TimePoint Started, TimePoint Deadline,
                                 TimePoint Now) const {
  if (Now < Started + this->Delay)
    return std::min(Started + this->Delay, Deadline);
  if (Now < this->partialAnswerTime(Started))
    return std::min(this->partialAnswerTime(Started), Deadline);
  const Duration TotalTime = std::max(Deadline - Started, Duration(0));
  return std::min(Now + std::max(this->Delay, TotalTime / 16), Deadline);
}

} // namespace balsamyard
