#pragma once

#include "balsamyard/Connection"
#include "balsamyard/Process"
#include "balsamyard/Request"
#include "balsamyard/Version"

#include <atomic>

namespace balsamyard::entry {

/// \brief What all requests of an entry process share.
struct EntryState {
  explicit EntryState(const Settings &Own)
      : Own(Own), InFlight(Own.InFlight), Index(emptyIndex()) {}

  const Settings &Own;
  InFlightLimit InFlight;
  ExtraLoadBudget Budget;
  StatsTable Stats;
  QuarantineList Quarantine;
  Metrics Numbers;
  RcuCell<RoutingIndex> Index; ///< Rebuilt for each routing view.
  std::atomic<bool> Stopping{false};

  /// Set for good once some slot was usable. A starting process has its
  /// configuration before it knows which lane owners are alive, and would
  /// refuse every search until then.
  std::atomic<bool> FoundSlots{false};

private:
  static Ref<const RoutingIndex> emptyIndex() {
    Ref<RoutingIndex> Index = makeRef<RoutingIndex>();
    Index->View = makeRef<const RoutingView>();
    return Index;
  }
};

/// \brief Holds a place among the requests in flight.
class InFlightPlace {
public:
  explicit InFlightPlace(InFlightLimit &Limit)
      : Limit(Limit), Taken(Limit.enter()) {}
  ~InFlightPlace() {
    if (this->Taken)
      this->Limit.leave();
  }
  InFlightPlace(const InFlightPlace &) = delete;
  InFlightPlace &operator=(const InFlightPlace &) = delete;

  bool taken() const { return this->Taken; }

private:
  InFlightLimit &Limit;
  const bool Taken;
};

} // namespace balsamyard::entry
