#include "balsamyard/src/Process/ShareKeeper.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace balsamyard {

namespace {

/// Time between two looks at the view without a wake().
constexpr Duration TickPause = std::chrono::seconds(1);

/// Time between two attempts to give everything away.
constexpr Duration LeavePause = std::chrono::milliseconds(200);

/// Time between two reads of the VM list while an owner is missing.
constexpr Duration VmPause = std::chrono::seconds(5);

/// Time between two updates that only even out the ownership.
constexpr Duration MovePause = std::chrono::seconds(2);

/// Nodes take care of units of others one after the other, so that a lost node
/// does not cause one update by each of the others.
constexpr Duration RankPause = std::chrono::milliseconds(500);
constexpr std::size_t MaxRank = 15;

/// A timer that fires this late shows that the process was paused.
constexpr Duration MaxLateness = std::chrono::seconds(2);

} // namespace

struct ShareKeeper::Impl {
  Impl(const Settings &Own, PlatformClient &Platform, ShareHandlers Handlers)
      : Own(Own), Platform(Platform), Handlers(std::move(Handlers)),
        Lanes(Own.Node), Gates(Own.Node), Owned(makeRef<const OwnedShares>()) {}

  const Settings Own;
  PlatformClient &Platform;
  const ShareHandlers Handlers;

  // Used by the thread of the keeper only.
  LaneLedger Lanes;
  GateLedger Gates;
  std::map<NodeName, TimePoint> GoneSince;
  TimePoint NextVmRead{};
  struct Pace {
    TimePoint NextMove{};
    std::optional<TimePoint> NeededSince;
  };
  Pace LanePace;
  Pace GatePace;

  RcuCell<OwnedShares> Owned;

  std::mutex Mutex;
  std::condition_variable Woken;
  std::condition_variable Empty;
  bool Stopping = false;
  bool Wanted = false;
  bool Leaving = false;
  bool GivenAway = false;
  std::thread Thread;

  void run();
  void look(bool IsLeaving);
  void learnFrom(const RoutingView &View);
  void readVms(const std::set<NodeName> &Usable, TimePoint Now);
  void publish();

  template <typename Table, typename Unit, typename Plan, typename Stop>
  void advance(ShareLedger<Table, Unit> &Ledger, Pace &Rate,
               const std::string &Object, const Table &First,
               Expected<Table> (*Parse)(std::string_view),
               const ShareInputs &Inputs, Plan PlanStep, Stop StopUnits);
};

void ShareKeeper::Impl::learnFrom(const RoutingView &View) {
  auto Table = View.Shares.find(this->Own.Domain);
  if (Table != View.Shares.end() && Table->second.Version > 0)
    this->Lanes.learn(Table->second);
  if (View.Gates.Version > 0)
    this->Gates.learn(View.Gates);
}

void ShareKeeper::Impl::readVms(const std::set<NodeName> &Usable,
                                TimePoint Now) {
  std::set<NodeName> Missing;
  if (this->Lanes.known())
    Missing.merge(ownersOf(*this->Lanes.known()));
  if (this->Gates.known())
    Missing.merge(ownersOf(*this->Gates.known()));
  std::erase_if(Missing, [&](const NodeName &Owner) {
    return Owner == this->Own.Node || Usable.contains(Owner);
  });
  std::erase_if(this->GoneSince, [&](const auto &Entry) {
    return !Missing.contains(Entry.first);
  });
  if (Missing.empty() || Now < this->NextVmRead)
    return;
  this->NextVmRead = Now + VmPause;
  Expected<std::vector<PlatformVm>> Vms = this->Platform.vms();
  if (!Vms)
    return;
  std::set<NodeName> Listed;
  for (const PlatformVm &Vm : *Vms)
    Listed.insert(Vm.Node);
  // A list without this very VM is wrong, so it proves nothing about others.
  if (!Listed.contains(this->Own.Node))
    return;
  for (const NodeName &Owner : Missing) {
    if (Listed.contains(Owner))
      this->GoneSince.erase(Owner);
    else
      this->GoneSince.emplace(Owner, Now);
  }
}

void ShareKeeper::Impl::publish() {
  auto Next = makeRef<OwnedShares>();
  Next->Lanes = this->Lanes.usable();
  Next->Gates = this->Gates.usable();
  if (this->Gates.known())
    Next->Table = *this->Gates.known();
  Ref<const OwnedShares> Former = this->Owned.read();
  if (Former->Lanes == Next->Lanes && Former->Gates == Next->Gates &&
      Former->Table.Version == Next->Table.Version)
    return;
  this->Owned.publish(Next);
  if (this->Handlers.Changed)
    this->Handlers.Changed(Next);
}

template <typename Table, typename Unit, typename Plan, typename Stop>
void ShareKeeper::Impl::advance(ShareLedger<Table, Unit> &Ledger, Pace &Rate,
                                const std::string &Object, const Table &First,
                                Expected<Table> (*Parse)(std::string_view),
                                const ShareInputs &Inputs, Plan PlanStep,
                                Stop StopUnits) {
  if (Ledger.mustRead()) {
    Expected<PlatformObject> Read = this->Platform.get(Object);
    if (Read) {
      Expected<Table> Parsed = Parse(Read->Value);
      if (!Parsed)
        return;
      Parsed->Version = Read->Version;
      Ledger.learnRead(*Parsed);
    } else if (Read.error().Value == Code::ObjectAbsent) {
      Ledger.learnAbsent();
    } else {
      return;
    }
  }
  if (Ledger.mustRewrite()) {
    Table Same = *Ledger.known();
    Expected<std::uint64_t> Written =
        this->Platform.update(Object, toJson(Same), Same.Version);
    if (!Written) {
      if (Written.error().Value == Code::PlatformConflict)
        Ledger.refused();
      else
        Ledger.unclear();
      return;
    }
    Same.Version = *Written;
    Ledger.accepted(Same);
  }
  this->publish();

  const Table Base = Ledger.known().value_or(First);
  auto Step = PlanStep(Base, Inputs);
  if (!Step.Changed) {
    Rate.NeededSince.reset();
    return;
  }
  if (!Inputs.Leaving) {
    if (!Rate.NeededSince)
      Rate.NeededSince = Inputs.Now;
    std::size_t Rank =
        Step.Given.empty() ? rankFor(this->Own.Node, Inputs.Usable, Object) : 0;
    if (Inputs.Now < Rate.NextMove ||
        Inputs.Now - *Rate.NeededSince < RankPause * std::min(Rank, MaxRank))
      return;
    Rate.NextMove = Inputs.Now + MovePause;
  }
  if (!Step.Given.empty()) {
    Ledger.begin(Step.Given);
    this->publish();
    StopUnits(Step.Given);
  }
  if constexpr (std::is_same_v<Table, GateTable>) {
    // The new owner refuses ids that were issued before the former one ended.
    for (std::size_t Gate : Step.Moved)
      Step.Next.Gates[Gate].Since = wallNow();
  }
  Expected<std::uint64_t> Written =
      Ledger.known()
          ? this->Platform.update(Object, toJson(Step.Next), Base.Version)
          : this->Platform.create(Object, toJson(Step.Next));
  if (Written) {
    Step.Next.Version = *Written;
    Ledger.accepted(Step.Next);
  } else if (Written.error().Value == Code::PlatformConflict) {
    Ledger.refused();
  } else {
    Ledger.unclear();
  }
}

void ShareKeeper::Impl::look(bool IsLeaving) {
  Ref<const RoutingView> View = this->Handlers.View();
  this->learnFrom(*View);
  // Without the catalogs every group would look unwanted.
  if (!View->Ready && !IsLeaving)
    return;
  ShareInputs Inputs;
  Inputs.Self = this->Own.Node;
  Inputs.Leaving = IsLeaving;
  Inputs.Now = steadyNow();
  Inputs.Wall = wallNow();
  std::set<NodeName> Near;
  for (const auto &[Name, Node] : View->Nodes) {
    if (!Node.Alive || Node.Leaving || Name == this->Own.Node)
      continue;
    Inputs.Usable.insert(Name);
    if (Node.Domain == this->Own.Domain)
      Near.insert(Name);
  }
  this->readVms(Inputs.Usable, Inputs.Now);
  Inputs.GoneSince = this->GoneSince;

  ShareInputs NearInputs = Inputs;
  NearInputs.Usable = std::move(Near);
  ShareTable First;
  First.Domain = this->Own.Domain;
  this->advance<ShareTable, LaneKey>(
      this->Lanes, this->LanePace, "shared/shares/" + this->Own.Domain.Text,
      First, &parseShareTable, NearInputs,
      [&](const ShareTable &Base, const ShareInputs &With) {
        return planShares(Base, View->Services, With);
      },
      [this](const std::vector<LaneKey> &Given) {
        if (this->Handlers.StopLanes)
          this->Handlers.StopLanes(Given);
      });
  this->publish();
  this->advance<GateTable, std::size_t>(
      this->Gates, this->GatePace, "shared/gates", GateTable{}, &parseGateTable,
      Inputs,
      [](const GateTable &Base, const ShareInputs &With) {
        return planGates(Base, With);
      },
      [this](const std::vector<std::size_t> &Given) {
        if (this->Handlers.StopGates)
          this->Handlers.StopGates(Given);
      });
  this->publish();
}

void ShareKeeper::Impl::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    bool IsLeaving = this->Leaving;
    this->Wanted = false;
    Lock.unlock();
    this->look(IsLeaving);
    bool None = !this->Lanes.mustRead() && !this->Gates.mustRead() &&
                (!this->Lanes.known() ||
                 ownedBy(*this->Lanes.known(), this->Own.Node).empty()) &&
                (!this->Gates.known() ||
                 ownedBy(*this->Gates.known(), this->Own.Node).empty());
    Lock.lock();
    if (IsLeaving && None) {
      this->GivenAway = true;
      this->Empty.notify_all();
    }
    TimePoint Due = steadyNow() + (IsLeaving && !None ? LeavePause : TickPause);
    this->Woken.wait_until(Lock, Due,
                           [this] { return this->Stopping || this->Wanted; });
    if (steadyNow() - Due > MaxLateness)
      this->Gates.distrust();
  }
}

ShareKeeper::ShareKeeper(const Settings &Own, PlatformClient &Platform,
                         ShareHandlers Handlers)
    : Implementation(
          std::make_unique<Impl>(Own, Platform, std::move(Handlers))) {}

ShareKeeper::~ShareKeeper() { this->stop(); }

void ShareKeeper::start() {
  this->Implementation->Thread =
      std::thread([Keeper = this->Implementation.get()] { Keeper->run(); });
}

void ShareKeeper::wake() {
  std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
  this->Implementation->Wanted = true;
  this->Implementation->Woken.notify_all();
}

const RcuCell<OwnedShares> &ShareKeeper::owned() const {
  return this->Implementation->Owned;
}

bool ShareKeeper::giveAwayAll(Duration Limit) {
  std::unique_lock<std::mutex> Lock(this->Implementation->Mutex);
  this->Implementation->Leaving = true;
  this->Implementation->Wanted = true;
  this->Implementation->Woken.notify_all();
  return this->Implementation->Empty.wait_for(Lock, Limit, [this] {
    return this->Implementation->GivenAway || this->Implementation->Stopping;
  }) && this->Implementation->GivenAway;
}

void ShareKeeper::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
    this->Implementation->Stopping = true;
    this->Implementation->Woken.notify_all();
    this->Implementation->Empty.notify_all();
  }
  if (this->Implementation->Thread.joinable())
    this->Implementation->Thread.join();
}

} // namespace balsamyard
