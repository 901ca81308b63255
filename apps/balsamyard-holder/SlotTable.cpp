#include "apps/balsamyard-holder/SlotTable.h"

#include <algorithm>

namespace balsamyard::holder {

namespace {

/// One slot may occupy 1/WorkerDivisor of the worker threads, so that a target
/// that hangs leaves most of them to the others.
constexpr std::uint32_t WorkerDivisor = 8;
constexpr std::uint32_t MinWorkersPerSlot = 2;

} // namespace

SlotTable::SlotTable(HolderState &State)
    : State(State), Observer(this->makeObserver()),
      Slots(makeRef<const SlotMap>()) {}

Ref<SlotRunner> SlotTable::find(const SlotKey &Key) const {
  const Ref<const SlotMap> Map = this->Slots.read();
  auto Found = Map->Runners.find(Key);
  return Found == Map->Runners.end() ? nullptr : Found->second;
}

void SlotTable::update(const RoutingView &View, const OwnedShares &Owned) {
  std::lock_guard<std::mutex> Lock(this->UpdateMutex);
  std::set<GroupKey> Taken;
  std::set<GroupKey> TakenOver;
  for (const LaneEffect &Effect : this->Lanes.apply(Owned.Lanes)) {
    if (const auto *Gained = std::get_if<LaneTaken>(&Effect))
      Taken.insert(Gained->Lane.Group);
    // Requests on a lane that this node gives away may finish. If another node
    // already uses the lane, they are cancelled at once.
    else if (const auto *Lost = std::get_if<LaneLost>(&Effect);
             Lost && this->isTakenOver(Owned.Shares, Lost->Lane))
      TakenOver.insert(Lost->Lane.Group);
  }
  // The slots of a domain that was drained start cold again.
  const bool NowDrained = this->State.isDrained(View);
  const bool Returned = this->Drained && !NowDrained;
  this->Drained = NowDrained;

  const Ref<const SlotMap> Former = this->Slots.read();
  auto Next = makeRef<SlotMap>();
  std::vector<std::pair<Ref<SlotRunner>, SlotShare>> Shares;
  for (const auto &[Service, Catalog] : View.Services) {
    const double RuleShare =
        View.Configuration.connectionShare(Service, RouteName{});
    for (const CatalogLeaf &Leaf : Catalog.Leaves)
      for (const CatalogSlot &Slot : Leaf.Slots) {
        if (Slot.Domain != this->State.Own.Domain)
          continue;
        const SlotKey Key{Service, Leaf.Index, Slot.Index};
        const GroupKey Group = groupOf(Service, Leaf.Index);
        Ref<SlotRunner> Runner = this->runnerFor(*Former, Key, Slot);
        Next->Runners.emplace(Key, Runner);
        Runner->setShare(slotShare(Slot, this->Lanes.used(Group), RuleShare),
                         Returned || Taken.contains(Group));
        if (TakenOver.contains(Group))
          Runner->cancelExcess();
        if (Slot.Leaving || View.LeavingSlots.contains(Key))
          Runner->notice(PeerReportedLeaving{});
      }
  }
  for (const auto &[Key, Runner] : Former->Runners) {
    auto Kept = Next->Runners.find(Key);
    if (Kept == Next->Runners.end() || Kept->second != Runner)
      Runner->setShare({}, false);
  }
  this->Slots.publish(Next);
}

bool SlotTable::isTakenOver(const ShareTable &Table,
                            const LaneKey &Lane) const {
  const std::vector<NodeName> *Owners = Table.owners(Lane.Group);
  return Owners && Lane.Lane < Owners->size() &&
         !(*Owners)[Lane.Lane].empty() &&
         (*Owners)[Lane.Lane] != this->State.Own.Node;
}

void SlotTable::stopLanes(const std::vector<LaneKey> &Lanes) {
  std::vector<Ref<SlotRunner>> Touched;
  {
    std::lock_guard<std::mutex> Lock(this->UpdateMutex);
    std::set<GroupKey> Groups;
    for (const LaneEffect &Effect : this->Lanes.stop(Lanes))
      if (const auto *Lane = std::get_if<LaneLost>(&Effect))
        Groups.insert(Lane->Lane.Group);
    const Ref<const RoutingView> View = this->State.Agent.view().read();
    const Ref<const SlotMap> Map = this->Slots.read();
    for (const auto &[Key, Runner] : Map->Runners) {
      const GroupKey Group = groupOf(Key.Service, Key.Leaf);
      const ServiceCatalog *Service = View->service(Key.Service);
      const CatalogSlot *Slot =
          Service ? Service->find(Key.Leaf, Key.Slot) : nullptr;
      if (!Slot || !Groups.contains(Group))
        continue;
      Runner->setShare(
          slotShare(*Slot, this->Lanes.used(Group),
                    View->Configuration.connectionShare(Key.Service, {})),
          false);
      Touched.push_back(Runner);
    }
  }
  const TimePoint Deadline = steadyNow() + StopTimeout;
  for (const Ref<SlotRunner> &Runner : Touched) {
    if (Runner->waitForShare(Deadline))
      continue;
    Runner->cancelExcess();
    Runner->waitForShare(steadyNow() + std::chrono::seconds(1));
  }
}

void SlotTable::notice(const SlotKey &Key, const SlotEvent &Event) {
  if (Ref<SlotRunner> Runner = this->find(Key))
    Runner->notice(Event);
}

void SlotTable::expire() {
  const TimePoint Now = steadyNow();
  const Ref<const SlotMap> Map = this->all();
  for (const auto &Entry : Map->Runners)
    Entry.second->expire(Now);
}

void SlotTable::maintain() {
  const Ref<const SlotMap> Map = this->all();
  for (const auto &Entry : Map->Runners)
    Entry.second->maintain();
}

SlotObserver SlotTable::makeObserver() {
  SlotObserver Result;
  Result.OnEffect = [this](const SlotKey &Key, const SlotEffect &Effect) {
    this->onEffect(Key, Effect);
  };
  Result.OnCrash = [this](const SlotKey &Key, std::uint64_t Generation,
                          Fingerprint Print) {
    this->onCrash(Key, Generation, Print);
  };
  Result.OnSuccess = [this](Fingerprint Print) {
    this->State.QuarantinedRequests.succeeded(Print, steadyNow());
  };
  Result.OnResult = [this](const SlotKey &Key, const RouteName &Route,
                           TaskResult Ended, Duration Time) {
    this->onResult(Key, Route, Ended, Time);
  };
  Result.Post = [this](std::function<void()> Job) {
    asio::post(this->State.Workers, std::move(Job));
  };
  return Result;
}

void SlotTable::onEffect(const SlotKey &Key, const SlotEffect &Effect) {
  struct Visitor {
    HolderState &State;
    const SlotKey &Key;
    void operator()(const BecameCold &Cold) const {
      logEvent(LogLevel::Info, "slot-cold",
               {{"target", toText(this->Key)},
                {"detail", std::string(name(Cold.Reason))}});
      this->State.ProcessMetrics.add("balsamyard_slot_cold_total", "");
      if (Cold.NotifyPeers)
        this->State.Agent.notify(SlotCold{this->Key});
    }
    void operator()(const BecameWarm &) const {
      logEvent(LogLevel::Info, "slot-warm", {{"target", toText(this->Key)}});
    }
    void operator()(const BecameLeaving &Leaving) const {
      logEvent(LogLevel::Info, "slot-leaving", {{"target", toText(this->Key)}});
      if (Leaving.NotifyPeers)
        this->State.Agent.notify(SlotLeaving{this->Key});
    }
  };
  std::visit(Visitor{this->State, Key}, Effect);
}

void SlotTable::onCrash(const SlotKey &Key, std::uint64_t Generation,
                        Fingerprint Print) {
  const std::string Number = std::to_string(static_cast<std::uint64_t>(Print));
  logEvent(LogLevel::Warning, "target-connection-broke",
           {{"target", toText(Key)}, {"fingerprint", Number}});
  const TargetCrashed Event{{Key, Generation}, {Print}};
  for (const QuarantineEffect &Effect :
       this->State.QuarantinedRequests.apply(Event, steadyNow())) {
    const auto &Found = std::get<AnnounceQuarantine>(Effect);
    logEvent(LogLevel::Warning, "request-quarantined",
             {{"target", toText(Key)},
              {"fingerprint", Number},
              {"remaining", Found.Remaining}});
    this->State.Agent.notify(RequestQuarantined{Found.Print, Found.Remaining});
  }
}

void SlotTable::onResult(const SlotKey &Key, const RouteName &Route,
                         TaskResult Result, Duration Time) {
  const Ref<SlotRunner> Runner = this->find(Key);
  if (!Runner || Result == TaskResult::Refused)
    return;
  const Ref<EvidenceCounter> Counter =
      this->State.Evidence.counter(Key.Service, Route, Runner->version());
  switch (Result) {
  case TaskResult::Good:
    return Counter->countSuccess(Time);
  case TaskResult::Error:
    return Counter->countError();
  case TaskResult::Late:
    return Counter->countSlow();
  case TaskResult::Cancelled:
    return Counter->countCancelled(Time);
  case TaskResult::Refused:
    return;
  }
}

Ref<SlotRunner> SlotTable::runnerFor(const SlotMap &Former, const SlotKey &Key,
                                     const CatalogSlot &Slot) const {
  auto Found = Former.Runners.find(Key);
  if (Found != Former.Runners.end() &&
      Found->second->target() == Slot.Address &&
      Found->second->version() == Slot.Version)
    return Found->second;
  const std::uint32_t MaxWorkers = std::max(
      MinWorkersPerSlot, this->State.Own.WorkerThreads / WorkerDivisor);
  return makeRef<SlotRunner>(Key, Slot.Address, Slot.Version, MaxWorkers,
                             this->Observer, steadyNow());
}

} // namespace balsamyard::holder
