#include "balsamyard/src/Connection/Lane.h"

#include <algorithm>

namespace balsamyard {

SlotShare slotShare(const CatalogSlot &Slot, const OwnedLanes &Lanes,
                    double RuleShare) {
  const auto Permitted =
      static_cast<std::uint32_t>(static_cast<double>(Slot.ConnectionLimit) *
                                 std::clamp(RuleShare, 0.0, 1.0));
  return {laneShare(Permitted, Lanes), laneShare(Slot.ColdLimit, Lanes)};
}

std::vector<LaneEffect> LaneUsage::apply(const std::set<LaneKey> &Usable) {
  std::vector<LaneEffect> Effects;
  for (const LaneKey &Lane : this->Used)
    if (!Usable.contains(Lane))
      Effects.emplace_back(LaneLost{Lane});
  for (const LaneKey &Lane : Usable)
    if (!this->Used.contains(Lane))
      Effects.emplace_back(LaneTaken{Lane});
  this->Used = Usable;
  return Effects;
}

std::vector<LaneEffect> LaneUsage::stop(const std::vector<LaneKey> &Lanes) {
  std::vector<LaneEffect> Effects;
  for (const LaneKey &Lane : Lanes)
    if (this->Used.erase(Lane) > 0)
      Effects.emplace_back(LaneLost{Lane});
  return Effects;
}

OwnedLanes LaneUsage::used(const GroupKey &Group) const {
  OwnedLanes Result;
  Result.Count = MaxLaneCount;
  for (auto Lane = this->Used.lower_bound({Group, 0});
       Lane != this->Used.end() && Lane->Group == Group; ++Lane)
    Result.Owned.push_back(Lane->Lane);
  return Result;
}

} // namespace balsamyard
