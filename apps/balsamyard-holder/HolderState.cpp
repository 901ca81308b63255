#include "apps/balsamyard-holder/HolderState.h"

namespace balsamyard::holder {

std::vector<QuarantineEffect>
SharedQuarantine::apply(const QuarantineEvent &Event, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<QuarantineEffect> Effects = this->Decision.apply(Event, Now);
  this->Suspecting.store(this->Decision.suspects() > 0);
  this->Holding.store(!this->Decision.held(Now).empty());
  return Effects;
}

void SharedQuarantine::succeeded(Fingerprint Print, TimePoint Now) {
  if (this->Suspecting.load(std::memory_order_relaxed))
    this->apply(RequestSucceeded{Print}, Now);
}

bool SharedQuarantine::holds(Fingerprint Print, TimePoint Now) const {
  if (!this->Holding.load(std::memory_order_relaxed))
    return false;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Decision.holds(Print, Now);
}

std::map<Fingerprint, TimePoint> SharedQuarantine::held(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Decision.held(Now);
}

} // namespace balsamyard::holder
