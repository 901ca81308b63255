#pragma once

#include "apps/balsamyard-holder/HolderState.h"
#include "balsamyard/src/Process/ShareController.h"

namespace balsamyard::holder {

/// \brief Immutable snapshot of the runners of all slots in the own failure
/// domain.
struct SlotMap : RefCounted<SlotMap> {
  std::map<SlotKey, Ref<SlotRunner>> Runners;
};

/// \brief Owns one SlotRunner per slot of the own failure domain and sets the
/// share of each.
class SlotTable {
public:
  explicit SlotTable(HolderState &State);

  /// \returns the runner, or null if the domain has no such slot.
  Ref<SlotRunner> find(const SlotKey &Key) const;
  Ref<const SlotMap> all() const { return this->Slots.read(); }

  /// \brief Applies changed catalogs, rules or lanes.
  void update(const RoutingView &View, const OwnedShares &Owned);

  /// \brief Stops using lanes and waits for their connections to close.
  /// Running requests have StopTimeout to finish, then they are cancelled.
  void stopLanes(const std::vector<LaneKey> &Lanes);

  /// \brief Passes an event to the runner of a slot, if there is one.
  void notice(const SlotKey &Key, const SlotEvent &Event);

  /// \brief Ends requests whose deadline has passed.
  void expire();

  /// \brief Polls health and opens connections in advance.
  void maintain();

  static constexpr Duration StopTimeout = std::chrono::seconds(5);

private:
  SlotObserver makeObserver();

  /// \returns whether another node is listed for the lane.
  bool isTakenOver(const ShareTable &Table, const LaneKey &Lane) const;
  void onEffect(const SlotKey &Key, const SlotEffect &Effect);
  void onCrash(const SlotKey &Key, std::uint64_t Generation, Fingerprint Print);
  void onResult(const SlotKey &Key, const RouteName &Route, TaskResult Result,
                Duration Time);

  /// \returns the former runner if address and version are unchanged, or else a
  /// new one.
  Ref<SlotRunner> runnerFor(const SlotMap &Former, const SlotKey &Key,
                            const CatalogSlot &Slot) const;

  HolderState &State;
  const SlotObserver Observer;
  std::mutex UpdateMutex;
  LaneUsage Lanes;
  bool Drained = false;
  RcuCell<SlotMap> Slots;
};

} // namespace balsamyard::holder
