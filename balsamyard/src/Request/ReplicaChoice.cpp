#include "balsamyard/src/Request/ReplicaChoice.h"

#include <algorithm>
#include <cassert>

namespace balsamyard {

namespace {

/// Added to the requests in flight when slots of different distances are
/// compared: this many requests in flight double the cost of an idle slot, so
/// that a few of them do not move load to a farther slot.
constexpr std::uint64_t SpillRequests = 8;

/// Cost factor of a distance, in halves. The observed latency already includes
/// the network, so a larger factor would keep load on a straggler: with a
/// factor of 4, a slot of 60 ms tied with one of 14 ms in another region.
constexpr std::uint64_t distanceHalves(SlotDistance Distance) {
  switch (Distance) {
  case SlotDistance::OwnDomain:
    return 2;
  case SlotDistance::OwnRegion:
    return 3;
  case SlotDistance::Elsewhere:
    return 4;
  }
  return 4;
}

/// Cost factor of a slot without a reachable holder.
constexpr std::uint64_t UnreachableFactor = 1024;

bool hasReachableHolder(const ServiceIndex &Index, const LaneOwners &Lanes,
                        TimePoint Now) {
  for (std::uint32_t Lane = 0; Lane < Lanes.Count; ++Lane)
    if (!Index.Holders[Index.LaneHolders[Lanes.First + Lane]].Stats->avoided(
            Now))
      return true;
  return false;
}

std::uint64_t latencyCost(const ServiceIndex &Index, const SlotRoute &Slot,
                          TimePoint Now) {
  const auto Latency = static_cast<std::uint64_t>(
      std::max<std::int64_t>(Slot.Stats->latency(Now).count(), 1));
  return hasReachableHolder(Index, Index.OwnerSets[Slot.Lanes], Now)
             ? Latency
             : Latency * UnreachableFactor;
}

} // namespace

std::uint64_t score(const ServiceIndex &Index, const SlotRoute &Slot,
                    TimePoint Now) {
  return latencyCost(Index, Slot, Now) * (Slot.Stats->inFlight() + 1);
}

std::uint64_t crossDistanceScore(const ServiceIndex &Index,
                                 const SlotRoute &Slot, TimePoint Now) {
  return latencyCost(Index, Slot, Now) *
         (Slot.Stats->inFlight() + SpillRequests) *
         distanceHalves(Slot.Distance);
}

std::optional<std::uint32_t> chooseSlot(const ServiceIndex &Index,
                                        const VersionRoutes &Routes,
                                        const LeafRoute &Leaf,
                                        const SlotSet &Tried, TimePoint Now,
                                        RandomGenerator &Random) {
  // Reservoir sampling in one pass: First is a random untried slot of the
  // nearest distance, Second another one of that distance or, if there is none,
  // a random one of the next distance.
  std::optional<std::uint32_t> First;
  std::optional<std::uint32_t> Second;
  std::uint32_t SameDistance = 0;
  std::uint32_t NextDistance = 0;
  for (std::uint32_t Offset = 0; Offset < Leaf.SlotCount; ++Offset) {
    if (Tried.contains(Offset))
      continue;
    const std::uint32_t Position = Leaf.FirstSlot + Offset;
    if (!First) {
      First = Position;
      SameDistance = 1;
      continue;
    }
    const SlotDistance Distance = Routes.Slots[Position].Distance;
    if (Distance == Routes.Slots[*First].Distance) {
      ++SameDistance;
      // Keeps a uniform sample of two of the slots seen so far.
      if (SameDistance == 2) {
        Second = Position;
      } else {
        const std::uint32_t Drawn = Random.below(SameDistance);
        if (Drawn == 0)
          First = Position;
        else if (Drawn == 1)
          Second = Position;
      }
      continue;
    }
    if (SameDistance >= 2 ||
        (Second && Routes.Slots[*Second].Distance != Distance))
      break;
    ++NextDistance;
    if (Random.below(NextDistance) == 0)
      Second = Position;
  }
  if (!Second)
    return First;
  const SlotRoute &Near = Routes.Slots[*First];
  const SlotRoute &Other = Routes.Slots[*Second];
  if (Near.Distance != Other.Distance)
    return crossDistanceScore(Index, Near, Now) <=
                   crossDistanceScore(Index, Other, Now)
               ? First
               : Second;
  const std::uint64_t FirstScore = score(Index, Near, Now);
  const std::uint64_t SecondScore = score(Index, Other, Now);
  if (FirstScore == SecondScore)
    return Random.below(2) == 0 ? First : Second;
  return FirstScore < SecondScore ? First : Second;
}

LaneChoice::LaneChoice(const ServiceIndex &Index)
    : Index(Index), ChosenHolder(Index.OwnerSets.size(), None),
      IsPlanned(Index.Holders.size(), false) {}

std::uint32_t LaneChoice::choose(std::uint32_t Lanes, TimePoint Now,
                                 RandomGenerator &Random) {
  std::uint32_t &Chosen = this->ChosenHolder[Lanes];
  if (Chosen != None && !this->Index.Holders[Chosen].Stats->avoided(Now))
    return Chosen;
  const LaneOwners &Set = this->Index.OwnerSets[Lanes];
  assert(Set.Count > 0);
  std::uint32_t Reachable = 0;
  std::uint32_t Best = None;
  for (std::uint32_t Lane = 0; Lane < Set.Count; ++Lane) {
    const std::uint32_t Holder = this->Index.LaneHolders[Set.First + Lane];
    if (this->Index.Holders[Holder].Stats->avoided(Now))
      continue;
    if (this->IsPlanned[Holder]) {
      Best = Holder;
      break;
    }
    ++Reachable;
    if (Random.below(Reachable) == 0)
      Best = Holder;
  }
  if (Best == None)
    Best = this->Index.LaneHolders[Set.First + Random.below(Set.Count)];
  this->IsPlanned[Best] = true;
  return Chosen = Best;
}

} // namespace balsamyard
