#include "balsamyard/src/Process/ShareController.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace balsamyard {

namespace {

/// Interval of reconciliation without wake().
constexpr Duration TickPeriod = std::chrono::seconds(1);

/// Interval between attempts to give away the remaining lanes and gates.
constexpr Duration LeaveRetryPeriod = std::chrono::milliseconds(200);

/// Interval between reads of the VM list while an owner is absent.
constexpr Duration VmReadPeriod = std::chrono::seconds(5);

/// Minimum time between two updates that only balance the ownership.
constexpr Duration MovePeriod = std::chrono::seconds(2);

/// Delay per rank of a node before it reassigns lanes or gates of other nodes,
/// so that the loss of a node does not cause an update by every other node.
constexpr Duration RankDelay = std::chrono::milliseconds(500);
constexpr std::size_t MaxRank = 15;

/// A timer that is delayed by more than this shows that the process was paused.
constexpr Duration MaxLateness = std::chrono::seconds(2);

ShareTable emptyTable(const DomainName &Domain) {
  ShareTable Table;
  Table.Domain = Domain;
  return Table;
}

} // namespace

struct ShareController::Impl {
  Impl(const Settings &Own, PlatformClient &Platform, ShareHandlers Handlers)
      : Own(Own), Platform(Platform), Handlers(std::move(Handlers)),
        Lanes(Own.Node, emptyTable(Own.Domain)), Gates(Own.Node, GateTable{}),
        Owned(makeRef<const OwnedShares>()) {}

  const Settings Own;
  PlatformClient &Platform;
  const ShareHandlers Handlers;

  // Accessed only by the controller thread.
  LaneLedger Lanes;
  GateLedger Gates;
  std::map<NodeName, TimePoint> GoneSince;
  TimePoint NextVmRead{};
  struct MoveSchedule {
    TimePoint NextMove{};
    std::optional<TimePoint> NeededSince;
  };
  MoveSchedule LaneSchedule;
  MoveSchedule GateSchedule;

  RcuCell<OwnedShares> Owned;

  std::mutex Mutex;
  std::condition_variable Woken;
  std::condition_variable Released;
  bool Stopping = false;
  bool WakeRequested = false;
  bool Leaving = false;
  bool GivenAway = false;
  std::thread Thread;

  void run();
  void reconcile(bool IsLeaving);
  void applyView(const RoutingView &View);
  void readVms(const std::set<NodeName> &Usable, TimePoint Now);
  void publish();

  template <typename Table, typename Unit, typename Plan, typename Stop>
  void advance(ShareLedger<Table, Unit> &Ledger, MoveSchedule &Schedule,
               const std::string &Object,
               Expected<Table> (*Parse)(std::string_view),
               const ShareInputs &Inputs, Plan PlanStep, Stop StopUnits);

  template <typename Table>
  Expected<Table> read(const std::string &Object,
                       Expected<Table> (*Parse)(std::string_view));
  template <typename Step>
  bool isDue(const Step &Planned, MoveSchedule &Schedule,
             const std::string &Object, const ShareInputs &Inputs) const;
};

void ShareController::Impl::applyView(const RoutingView &View) {
  auto Table = View.Shares.find(this->Own.Domain);
  if (Table != View.Shares.end() && Table->second.Version > 0)
    this->Lanes.learn(Table->second);
  if (View.Gates.Version > 0)
    this->Gates.learn(View.Gates);
}

void ShareController::Impl::readVms(const std::set<NodeName> &Usable,
                                    TimePoint Now) {
  std::set<NodeName> Absent;
  if (this->Lanes.newest())
    Absent.merge(ownersOf(*this->Lanes.newest()));
  if (this->Gates.newest())
    Absent.merge(ownersOf(*this->Gates.newest()));
  std::erase_if(Absent, [&](const NodeName &Owner) {
    return Owner == this->Own.Node || Usable.contains(Owner);
  });
  std::erase_if(this->GoneSince, [&](const auto &Entry) {
    return !Absent.contains(Entry.first);
  });
  if (Absent.empty() || Now < this->NextVmRead)
    return;
  this->NextVmRead = Now + VmReadPeriod;
  Expected<std::vector<PlatformVm>> Vms = this->Platform.vms();
  if (!Vms)
    return;
  std::set<NodeName> Listed;
  for (const PlatformVm &Vm : *Vms)
    Listed.insert(Vm.Node);
  // A list that lacks the VM of this process is wrong, so it is not used to
  // conclude that other VMs are gone.
  if (!Listed.contains(this->Own.Node))
    return;
  for (const NodeName &Owner : Absent) {
    if (Listed.contains(Owner))
      this->GoneSince.erase(Owner);
    else
      this->GoneSince.emplace(Owner, Now);
  }
}

void ShareController::Impl::publish() {
  auto Next = makeRef<OwnedShares>();
  Next->Lanes = this->Lanes.usable();
  Next->Gates = this->Gates.usable();
  if (this->Lanes.newest())
    Next->Shares = *this->Lanes.newest();
  for (const LaneKey &Lane : ownedBy(Next->Shares, this->Own.Node))
    if (!Next->Lanes.contains(Lane))
      Next->Shares.Lanes[Lane.Group][Lane.Lane] = {};
  if (this->Gates.newest())
    Next->Table = *this->Gates.newest();
  Ref<const OwnedShares> Former = this->Owned.read();
  if (Former->Lanes == Next->Lanes && Former->Gates == Next->Gates &&
      Former->Shares.Version == Next->Shares.Version &&
      Former->Table.Version == Next->Table.Version)
    return;
  this->Owned.publish(Next);
  if (this->Handlers.Changed)
    this->Handlers.Changed(Next);
}

template <typename Table>
Expected<Table>
ShareController::Impl::read(const std::string &Object,
                            Expected<Table> (*Parse)(std::string_view)) {
  Expected<PlatformObject> Read = this->Platform.get(Object);
  if (!Read)
    return tl::unexpected<Error>(Read.error());
  Expected<Table> Parsed = Parse(Read->Value);
  if (Parsed)
    Parsed->Version = Read->Version;
  return Parsed;
}

template <typename Step>
bool ShareController::Impl::isDue(const Step &Planned, MoveSchedule &Schedule,
                                  const std::string &Object,
                                  const ShareInputs &Inputs) const {
  if (!Planned.Changed)
    Schedule.NeededSince.reset();
  if (!Planned.Changed || Inputs.Leaving)
    return Planned.Changed;
  if (!Schedule.NeededSince)
    Schedule.NeededSince = Inputs.Now;
  std::size_t Rank = Planned.Released.empty()
                         ? rankFor(this->Own.Node, Inputs.Usable, Object)
                         : 0;
  return Inputs.Now >= Schedule.NextMove &&
         Inputs.Now - *Schedule.NeededSince >=
             RankDelay * std::min(Rank, MaxRank);
}

template <typename Table, typename Unit, typename Plan, typename Stop>
void ShareController::Impl::advance(ShareLedger<Table, Unit> &Ledger,
                                    MoveSchedule &Schedule,
                                    const std::string &Object,
                                    Expected<Table> (*Parse)(std::string_view),
                                    const ShareInputs &Inputs, Plan PlanStep,
                                    Stop StopUnits) {
  using Write = ShareWrite<Table, Unit>;
  auto PlanDue = [&](const Table &Base) {
    ShareStep<Table, Unit> Planned = PlanStep(Base, Inputs);
    Planned.Changed = this->isDue(Planned, Schedule, Object, Inputs);
    return Planned;
  };
  // At most three calls: a read, a rewrite and a change.
  for (int Call = 0; Call < 3; ++Call) {
    auto Action = Ledger.next(PlanDue);
    if (std::holds_alternative<ShareIdle>(Action))
      return;
    if (std::holds_alternative<ShareRead>(Action)) {
      Ledger.readDone(this->read(Object, Parse));
      if (std::holds_alternative<ShareRead>(Ledger.next(PlanDue)))
        return;
      continue;
    }
    Write &Update = std::get<Write>(Action);
    if (!Update.Moved.empty())
      Schedule.NextMove = Inputs.Now + MovePeriod;
    if (!Update.Released.empty()) {
      Ledger.begin(Update);
      this->publish();
      StopUnits(Update.Released);
    }
    if constexpr (std::is_same_v<Table, GateTable>) {
      // The new owner rejects ids that were issued before the former owner
      // stopped.
      for (std::size_t Gate : Update.Moved)
        Update.Next.Gates[Gate].Since = wallNow();
    }
    Ledger.writeDone(Update,
                     Update.IfVersion
                         ? this->Platform.update(Object, toJson(Update.Next),
                                                 Update.IfVersion)
                         : this->Platform.create(Object, toJson(Update.Next)));
    this->publish();
  }
}

void ShareController::Impl::reconcile(bool IsLeaving) {
  Ref<const RoutingView> View = this->Handlers.View();
  this->applyView(*View);
  // Without the catalogs, all groups would appear to be removed.
  if (!View->Ready && !IsLeaving)
    return;
  ShareInputs Inputs;
  Inputs.Self = this->Own.Node;
  Inputs.Leaving = IsLeaving;
  Inputs.Now = steadyNow();
  Inputs.Wall = wallNow();
  std::set<NodeName> SameDomain;
  for (const auto &[Name, Node] : View->Nodes) {
    if (!Node.Alive || Node.Leaving || Name == this->Own.Node)
      continue;
    Inputs.Usable.insert(Name);
    if (Node.Domain == this->Own.Domain)
      SameDomain.insert(Name);
  }
  this->readVms(Inputs.Usable, Inputs.Now);
  Inputs.GoneSince = this->GoneSince;

  ShareInputs DomainInputs = Inputs;
  DomainInputs.Usable = std::move(SameDomain);
  this->advance<ShareTable, LaneKey>(
      this->Lanes, this->LaneSchedule, "shared/shares/" + this->Own.Domain.Text,
      &parseShareTable, DomainInputs,
      [&](const ShareTable &Base, const ShareInputs &With) {
        return planShares(Base, View->Services, With);
      },
      [this](const std::vector<LaneKey> &Given) {
        if (this->Handlers.StopLanes)
          this->Handlers.StopLanes(Given);
      });
  this->publish();
  this->advance<GateTable, std::size_t>(
      this->Gates, this->GateSchedule, "shared/gates", &parseGateTable, Inputs,
      [](const GateTable &Base, const ShareInputs &With) {
        return planGates(Base, With);
      },
      [this](const std::vector<std::size_t> &Given) {
        if (this->Handlers.StopGates)
          this->Handlers.StopGates(Given);
      });
  this->publish();
}

void ShareController::Impl::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    bool IsLeaving = this->Leaving;
    this->WakeRequested = false;
    Lock.unlock();
    this->reconcile(IsLeaving);
    bool None = this->Lanes.ownsNothing() && this->Gates.ownsNothing();
    Lock.lock();
    if (IsLeaving && None) {
      this->GivenAway = true;
      this->Released.notify_all();
    }
    TimePoint Due =
        steadyNow() + (IsLeaving && !None ? LeaveRetryPeriod : TickPeriod);
    this->Woken.wait_until(
        Lock, Due, [this] { return this->Stopping || this->WakeRequested; });
    if (steadyNow() - Due > MaxLateness)
      this->Gates.suspendUntilRead();
  }
}

ShareController::ShareController(const Settings &Own, PlatformClient &Platform,
                                 ShareHandlers Handlers)
    : Implementation(
          std::make_unique<Impl>(Own, Platform, std::move(Handlers))) {}

ShareController::~ShareController() { this->stop(); }

void ShareController::start() {
  this->Implementation->Thread = std::thread(
      [Controller = this->Implementation.get()] { Controller->run(); });
}

void ShareController::wake() {
  std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
  this->Implementation->WakeRequested = true;
  this->Implementation->Woken.notify_all();
}

const RcuCell<OwnedShares> &ShareController::owned() const {
  return this->Implementation->Owned;
}

bool ShareController::giveAwayAll(Duration Limit) {
  std::unique_lock<std::mutex> Lock(this->Implementation->Mutex);
  this->Implementation->Leaving = true;
  this->Implementation->WakeRequested = true;
  this->Implementation->Woken.notify_all();
  return this->Implementation->Released.wait_for(Lock, Limit, [this] {
    return this->Implementation->GivenAway || this->Implementation->Stopping;
  }) && this->Implementation->GivenAway;
}

void ShareController::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
    this->Implementation->Stopping = true;
    this->Implementation->Woken.notify_all();
    this->Implementation->Released.notify_all();
  }
  if (this->Implementation->Thread.joinable())
    this->Implementation->Thread.join();
}

} // namespace balsamyard
