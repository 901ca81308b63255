#pragma once

#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Version/ServiceIndex.h"

#include <optional>
#include <vector>

namespace balsamyard {

/// \brief Set of slots of one leaf, by offset from LeafRoute::FirstSlot.
/// Offsets of 64 and above cannot be stored and are never in the set.
class SlotSet {
public:
  void insert(std::uint32_t Offset) {
    if (Offset < 64)
      this->Bits |= std::uint64_t{1} << Offset;
  }
  bool contains(std::uint32_t Offset) const {
    return Offset < 64 && (this->Bits >> Offset & 1) != 0;
  }

private:
  std::uint64_t Bits = 0;
};

/// \brief Expected cost of sending the next request to a slot, compared with
/// slots of the same distance: latency x (requests in flight + 1).
std::uint64_t score(const ServiceIndex &Index, const SlotRoute &Slot,
                    TimePoint Now);

/// \brief Expected cost of a slot, compared with slots of another distance.
///
/// Requests in flight count less than in score(), because a few of them do not
/// justify leaving the failure domain; a farther slot has to be clearly faster.
std::uint64_t crossDistanceScore(const ServiceIndex &Index,
                                 const SlotRoute &Slot, TimePoint Now);

/// \brief Picks the better of two random candidates among the slots of \p Leaf
/// that are not in \p Tried.
///
/// Candidates come from the own failure domain first, then from the own region.
/// A single nearest slot competes with one slot of the next distance, so that a
/// straggler can be avoided where a domain has one replica.
/// \returns a position in Routes.Slots, or nothing if every slot was tried.
std::optional<std::uint32_t> chooseSlot(const ServiceIndex &Index,
                                        const VersionRoutes &Routes,
                                        const LeafRoute &Leaf,
                                        const SlotSet &Tried, TimePoint Now,
                                        RandomGenerator &Random);

/// \brief Chooses the lane owners of one query so that few messages are needed.
class LaneChoice {
public:
  explicit LaneChoice(const ServiceIndex &Index);

  /// \returns a position in ServiceIndex::Holders: the owner chosen earlier for
  /// these lanes, else one that is already in the plan, else a random one.
  /// Owners that failed recently are used only if there are no others.
  std::uint32_t choose(std::uint32_t Lanes, TimePoint Now,
                       RandomGenerator &Random);

private:
  static constexpr std::uint32_t None = ~std::uint32_t{0};

  const ServiceIndex &Index;
  std::vector<std::uint32_t> ChosenHolder; ///< Holder by lane set.
  std::vector<bool> IsPlanned;             ///< By holder.
};

} // namespace balsamyard
