#include "balsamyard/src/Process/QuarantineList.h"

#include <algorithm>

namespace balsamyard {

QuarantineList::QuarantineList() : Current(makeRef<const Entries>()) {}

void QuarantineList::add(Fingerprint Print, Duration Remaining, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->ChangeMutex);
  Ref<Entries> Next = makeRef<Entries>(*this->Current.read());
  std::erase_if(Next->Until,
                [&](const auto &Entry) { return Entry.second <= Now; });
  TimePoint &Until = Next->Until[Print];
  Until = std::max(Until, Now + Remaining);
  if (Next->Until.size() > MaxEntries)
    Next->Until.erase(std::min_element(Next->Until.begin(), Next->Until.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second < Right.second;
                                       }));
  this->Current.publish(std::move(Next));
}

bool QuarantineList::contains(Fingerprint Print, TimePoint Now) const {
  Ref<const Entries> List = this->Current.read();
  auto Found = List->Until.find(Print);
  return Found != List->Until.end() && Now < Found->second;
}

} // namespace balsamyard
