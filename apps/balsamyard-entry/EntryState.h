#pragma once

#include "balsamyard/Connection"
#include "balsamyard/Process"
#include "balsamyard/Request"
#include "balsamyard/Version"

#include <atomic>

namespace balsamyard::entry {

/// \brief State that all requests of an entry process share.
struct EntryState {
  explicit EntryState(const Settings &Own)
      : Own(Own), InFlight(Own.InFlight), Index(emptyIndex()) {}

  const Settings &Own;
  InFlightLimit InFlight;
  ExtraLoadBudget Budget;
  StatsTable Stats;
  QuarantineList Quarantine;
  Metrics ProcessMetrics;
  RcuCell<RoutingIndex> Index; ///< Rebuilt for each routing view.
  std::atomic<bool> Stopping{false};

  /// Set once a slot was usable, and never cleared. A starting process has its
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

/// \brief Counts a request as in flight during its lifetime, if the limit
/// admits it.
class InFlightGuard {
public:
  explicit InFlightGuard(InFlightLimit &Limit)
      : Limit(Limit), Admitted(Limit.enter()) {}
  ~InFlightGuard() {
    if (this->Admitted)
      this->Limit.leave();
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

  bool admitted() const { return this->Admitted; }

private:
  InFlightLimit &Limit;
  const bool Admitted;
};

} // namespace balsamyard::entry
