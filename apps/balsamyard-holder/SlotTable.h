#pragma once

#include "apps/balsamyard-holder/HolderState.h"
#include "balsamyard/src/Process/ShareController.h"

namespace balsamyard::holder {

/// \brief Runners of all slots of the own failure domain, as one immutable
/// version.
struct SlotMap : RefCounted<SlotMap> {
  std::map<SlotKey, Ref<SlotRunner>> Runners;
};

/// \brief Keeps one SlotRunner per slot of the own failure domain and gives
/// each its share.
class SlotTable {
public:
  explicit SlotTable(HolderState &State);

  /// \returns the runner, or null if the domain has no such slot.
  Ref<SlotRunner> find(const SlotKey &Key) const;
  Ref<const SlotMap> all() const { return this->Slots.read(); }

  /// \brief Adapts to new catalogs, rules or lanes.
  void update(const RoutingView &View, const OwnedShares &Owned);

  /// \brief Stops using lanes and returns once their connections are closed.
  /// Requests that run get StopTime to end.
  void stopLanes(const std::vector<LaneKey> &Lanes);

  void notice(const SlotKey &Key, const SlotEvent &Event);

  /// \brief Ends requests that are past their deadline.
  void expire();

  /// \brief Polls health and opens connections in advance.
  void maintain();

  static constexpr Duration StopTime = std::chrono::seconds(5);

private:
  SlotObserver makeObserver();

  /// \returns whether another node is listed for the lane.
  bool isTakenOver(const ShareTable &Table, const LaneKey &Lane) const;
  void onEffect(const SlotKey &Key, const SlotEffect &Effect);
  void onCrash(const SlotKey &Key, std::uint64_t Generation, Fingerprint Print);
  void onResult(const SlotKey &Key, const RouteName &Route, TaskResult Result,
                Duration Time);
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
