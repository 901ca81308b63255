#include "balsamyard/src/Connection/Lane.h"

#include <algorithm>

namespace balsamyard {

LaneSet lanesOf(const ShareTable &Table, const GroupKey &Group,
                const NodeName &Node) {
  LaneSet Result;
  const std::vector<NodeName> *Owners = Table.owners(Group);
  if (!Owners)
    return Result;
  Result.Count = static_cast<std::uint32_t>(Owners->size());
  for (std::uint32_t Lane = 0; Lane < Result.Count; ++Lane)
    if ((*Owners)[Lane] == Node)
      Result.Owned.push_back(Lane);
  return Result;
}

SlotShare shareOf(const CatalogSlot &Slot, const LaneSet &Lanes,
                  double RuleShare) {
  const auto Permitted =
      static_cast<std::uint32_t>(static_cast<double>(Slot.ConnectionLimit) *
                                 std::clamp(RuleShare, 0.0, 1.0));
  return {laneShare(Permitted, Lanes), laneShare(Slot.ColdLimit, Lanes)};
}

std::vector<LaneEffect> LaneBook::apply(const ShareTable &Table) {
  if (Table.Version < this->Version)
    return {};
  this->Version = Table.Version;
  this->Owners = Table.Lanes;
  return this->refresh();
}

std::vector<LaneEffect> LaneBook::giveAway(const LaneKey &Lane) {
  this->GivenAway.insert(Lane);
  this->Settled.erase(Lane);
  return this->refresh();
}

std::vector<LaneEffect> LaneBook::settle(const LaneKey &Lane,
                                         std::uint64_t Known) {
  if (this->GivenAway.contains(Lane))
    this->Settled[Lane] = Known;
  return this->refresh();
}

LaneSet LaneBook::usable(const GroupKey &Group) const {
  LaneSet Result;
  if (auto Found = this->Owners.find(Group); Found != this->Owners.end())
    Result.Count = static_cast<std::uint32_t>(Found->second.size());
  for (auto Lane = this->Used.lower_bound({Group, 0});
       Lane != this->Used.end() && Lane->Group == Group; ++Lane)
    Result.Owned.push_back(Lane->Lane);
  return Result;
}

std::vector<LaneEffect> LaneBook::refresh() {
  std::erase_if(this->Settled, [this](const auto &Entry) {
    if (this->Version < Entry.second)
      return false;
    this->GivenAway.erase(Entry.first);
    return true;
  });
  std::set<LaneKey> Next;
  for (const auto &[Group, Names] : this->Owners)
    for (std::uint32_t Lane = 0; Lane < Names.size(); ++Lane)
      if (Names[Lane] == this->Node && !this->GivenAway.contains({Group, Lane}))
        Next.insert({Group, Lane});
  std::vector<LaneEffect> Effects;
  for (const LaneKey &Lane : this->Used)
    if (!Next.contains(Lane))
      Effects.emplace_back(LaneLost{Lane});
  for (const LaneKey &Lane : Next)
    if (!this->Used.contains(Lane))
      Effects.emplace_back(LaneTaken{Lane});
  this->Used = std::move(Next);
  return Effects;
}

} // namespace balsamyard
