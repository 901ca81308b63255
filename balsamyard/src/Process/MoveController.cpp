#include "balsamyard/src/Process/MoveController.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Version/SharePlan.h"
#include "balsamyard/src/Version/internal/JsonObject.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace balsamyard {

namespace {

constexpr Duration TickPeriod = std::chrono::seconds(1);

/// Time without platform calls after one that got no answer, so that timeouts
/// do not delay the evaluation.
constexpr Duration PlatformPause = std::chrono::seconds(5);

/// Raises the threshold of the local evaluation, as about 100 holders decide
/// independently: e^4.6 is about 100.
constexpr double LocalCaution = 4.6;

/// Maximum number of counts, and of notices, received between two ticks.
constexpr std::size_t MaxReceived = 100000;

std::string stateObjectName(const RouteKey &Route) {
  return "shared/moves/" + Route.Service.Text + "/" + Route.Route.Text;
}

std::string leaseObjectName(const ServiceName &Service) {
  return "leases/moves/" + Service.Text;
}

std::string leaseText(const NodeName &Node, std::uint64_t Epoch) {
  return internal::Json({{"node", Node.Text}, {"epoch", Epoch}}).dump() + "\n";
}

struct LeaseValue {
  NodeName Node;
  std::uint64_t Epoch = 0;
};

Expected<LeaseValue> parseLease(std::string_view Text) {
  Expected<internal::Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  internal::JsonFaults Faults;
  LeaseValue Value;
  {
    internal::JsonObject Top(*Document, "", Faults);
    Value.Node = Top.name<NodeName>("node");
    Value.Epoch = Top.number<std::uint64_t>("epoch");
  }
  if (!Faults.none())
    return Faults.error();
  return Value;
}

/// \returns the version that most slots of the service have, besides \p To.
VersionName currentVersion(const ServiceCatalog &Catalog,
                           const VersionName &To) {
  std::map<VersionName, std::size_t> Slots;
  for (const CatalogLeaf &Leaf : Catalog.Leaves)
    for (const CatalogSlot &Slot : Leaf.Slots)
      if (Slot.Version != To)
        ++Slots[Slot.Version];
  auto MostUsed = std::max_element(
      Slots.begin(), Slots.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return MostUsed == Slots.end() ? VersionName{} : MostUsed->first;
}

} // namespace

struct MoveController::Impl {
  Impl(const Settings &Own, PlatformClient &Platform, MoveHandlers Handlers)
      : Own(Own), Platform(Platform), Handlers(std::move(Handlers)) {}

  /// State of a route that has a move rule.
  struct Entry {
    std::string RuleId;
    bool MustRead = true;
    bool IsAbsent = false;
    std::optional<MoveState> State; ///< Newest state read or written.
    std::optional<VersionMove> LocalMove;
    std::optional<VersionMove>
        LeaderMove; ///< Set only on the leader of the service.
    std::optional<WriteMove> Pending;
  };

  const Settings Own;
  PlatformClient &Platform;
  const MoveHandlers Handlers;

  // Accessed only by the controller thread.
  std::map<RouteKey, Entry> Moves;
  std::map<ServiceName, MoveLease> Leases;
  TimePoint PlatformNotBefore{};

  std::mutex Mutex;
  std::condition_variable Woken;
  bool Stopping = false;
  std::vector<Evidence> ReceivedCounts;
  std::vector<VersionRolledBack> ReceivedNotices;
  std::thread Thread;

  void run();
  void tick();
  void evaluate(const RoutingView &View, TimePoint Now);
  void handle(const RouteKey &Route, Entry &Move, VersionMove &Machine,
              const MoveEvent &Event);
  void applyState(const RouteKey &Route, Entry &Move, const MoveState &State);
  void createMoves(const RoutingView &View, const RouteKey &Route,
                   const MoveRule &Rule, Entry &Move, bool Leads);
  void syncWithPlatform(const RoutingView &View, TimePoint Now);
  void readState(const RouteKey &Route, Entry &Move);
  void writeState(const RouteKey &Route, Entry &Move);
  void keepLease(const ServiceName &Service, TimePoint Now);
  void revertMoveWithoutRule(const RouteKey &Route);
  bool isPlatformAvailable() const {
    return steadyNow() >= this->PlatformNotBefore;
  }
  template <typename T>
  const Expected<T> &recordAvailability(const Expected<T> &Result);

  static bool isUnderWay(const RoutingView &View, const RouteKey &Route);
  std::set<NodeName> aliveNodes(const RoutingView &View) const;
  const NodeInfo *leaderOf(const RoutingView &View,
                           const ServiceName &Service) const;
  bool isLeader(const RoutingView &View, const ServiceName &Service) const;
};

template <typename T>
const Expected<T> &
MoveController::Impl::recordAvailability(const Expected<T> &Result) {
  if (!Result && Result.error().Value == Code::PlatformUnavailable)
    this->PlatformNotBefore = steadyNow() + PlatformPause;
  return Result;
}

bool MoveController::Impl::isUnderWay(const RoutingView &View,
                                      const RouteKey &Route) {
  auto Split = View.Splits.find(Route);
  return Split != View.Splits.end() && Split->second.NextShare > 0;
}

std::set<NodeName>
MoveController::Impl::aliveNodes(const RoutingView &View) const {
  std::set<NodeName> Alive{this->Own.Node};
  for (const auto &[Name, Node] : View.Nodes)
    if (Node.Alive && !Node.Leaving)
      Alive.insert(Name);
  return Alive;
}

const NodeInfo *
MoveController::Impl::leaderOf(const RoutingView &View,
                               const ServiceName &Service) const {
  std::set<NodeName> Alive = this->aliveNodes(View);
  for (const NodeName &Node : Alive)
    if (rankFor(Node, Alive, leaseObjectName(Service)) == 0)
      return View.node(Node);
  return nullptr;
}

bool MoveController::Impl::isLeader(const RoutingView &View,
                                    const ServiceName &Service) const {
  return rankFor(this->Own.Node, this->aliveNodes(View),
                 leaseObjectName(Service)) == 0;
}

void MoveController::Impl::handle(const RouteKey &Route, Entry &Move,
                                  VersionMove &Machine,
                                  const MoveEvent &Event) {
  for (MoveEffect &Effect : Machine.handle(Event)) {
    if (auto *Write = std::get_if<WriteMove>(&Effect)) {
      Move.Pending = std::move(*Write);
      continue;
    }
    const VersionRolledBack &Body = std::get<AnnounceRollback>(Effect).Body;
    logEvent(LogLevel::Warning, "version-taken-back",
             {{"service", Route.Service.Text},
              {"route", Route.Route.Text},
              {"version", Body.Version.Text},
              {"detail", Body.Reason}});
    this->Handlers.Announce(Body);
  }
}

void MoveController::Impl::applyState(const RouteKey &Route, Entry &Move,
                                      const MoveState &State) {
  Move.State = State;
  Move.IsAbsent = false;
  if (Move.LocalMove)
    this->handle(Route, Move, *Move.LocalMove, MoveLoaded{State});
  if (Move.LeaderMove)
    this->handle(Route, Move, *Move.LeaderMove, MoveLoaded{State});
}

void MoveController::Impl::createMoves(const RoutingView &View,
                                       const RouteKey &Route,
                                       const MoveRule &Rule, Entry &Move,
                                       bool Leads) {
  if (Move.MustRead)
    return;
  VersionName From;
  if (!Move.State)
    From = currentVersion(View.Services.at(Route.Service), Rule.To);
  else if (Move.State->Rule == Move.RuleId)
    From = Move.State->From;
  else
    From = splitOf(*Move.State).Current;
  auto Start = [&](std::optional<VersionMove> &Machine, double Caution) {
    Machine.emplace(this->Own.Node, Route, Rule, From, Caution);
    if (Move.State)
      Machine->handle(MoveLoaded{*Move.State});
    else
      Machine->handle(MoveAbsent{});
  };
  if (!Move.LocalMove)
    Start(Move.LocalMove, LocalCaution);
  if (!Leads)
    Move.LeaderMove.reset();
  else if (!Move.LeaderMove && !From.empty() && From != Rule.To)
    Start(Move.LeaderMove, 0);
}

void MoveController::Impl::evaluate(const RoutingView &View, TimePoint Now) {
  std::vector<Evidence> Counts;
  std::vector<VersionRolledBack> Notices;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Counts.swap(this->ReceivedCounts);
    Notices.swap(this->ReceivedNotices);
  }
  for (const Evidence &Item : this->Handlers.Counts()) {
    RouteKey Route{Item.Service, Item.Route};
    auto Found = this->Moves.find(Route);
    if (Found == this->Moves.end())
      continue;
    if (Found->second.LocalMove)
      Found->second.LocalMove->handle(MoveCounts{Item});
    if (!isUnderWay(View, Route))
      continue;
    if (this->isLeader(View, Item.Service))
      Counts.push_back(Item);
    else if (const NodeInfo *Leader = this->leaderOf(View, Item.Service))
      this->Handlers.Send(Leader->Peer, Item);
  }
  for (const Evidence &Item : Counts) {
    auto Found = this->Moves.find({Item.Service, Item.Route});
    if (Found != this->Moves.end() && Found->second.LeaderMove)
      Found->second.LeaderMove->handle(MoveCounts{Item});
  }
  for (const VersionRolledBack &RolledBack : Notices) {
    auto Found = this->Moves.find({RolledBack.Service, RolledBack.Route});
    if (Found != this->Moves.end() && Found->second.LeaderMove &&
        moveRuleNumber(Found->second.RuleId) == RolledBack.RuleVersion)
      this->handle(Found->first, Found->second, *Found->second.LeaderMove,
                   MoveRolledBackElsewhere{RolledBack.Reason});
  }
  for (auto &[Route, Move] : this->Moves) {
    MoveTick Tick{Now, wallNow(), false, 0};
    if (Move.LocalMove && isUnderWay(View, Route))
      this->handle(Route, Move, *Move.LocalMove, Tick);
    if (!Move.LeaderMove)
      continue;
    auto Lease = this->Leases.find(Route.Service);
    if (Lease != this->Leases.end()) {
      Tick.Leads = Lease->second.holds(steadyNow());
      Tick.Epoch = Lease->second.epoch();
    }
    this->handle(Route, Move, *Move.LeaderMove, Tick);
  }
}

void MoveController::Impl::readState(const RouteKey &Route, Entry &Move) {
  Expected<PlatformObject> Read =
      this->recordAvailability(this->Platform.get(stateObjectName(Route)));
  if (!Read) {
    Move.IsAbsent = Read.error().Value == Code::ObjectAbsent;
    Move.MustRead = !Move.IsAbsent;
    return;
  }
  Expected<MoveState> State = parseMoveState(Read->Value);
  if (!State) {
    logEvent(LogLevel::Error, "move-state-malformed",
             {{"service", Route.Service.Text},
              {"route", Route.Route.Text},
              {"code", State.error().Value},
              {"detail", State.error().Detail}});
    return;
  }
  State->Version = Read->Version;
  Move.MustRead = false;
  this->applyState(Route, Move, *State);
}

void MoveController::Impl::writeState(const RouteKey &Route, Entry &Move) {
  MoveState Next = std::move(Move.Pending->State);
  Move.Pending.reset();
  Expected<std::uint64_t> Written = this->recordAvailability(
      Next.Version
          ? this->Platform.update(stateObjectName(Route), toJson(Next),
                                  Next.Version)
          : this->Platform.create(stateObjectName(Route), toJson(Next)));
  if (!Written) {
    // Another process has written the state, or the result is unknown.
    Move.MustRead = true;
    return;
  }
  Next.Version = *Written;
  logEvent(LogLevel::Info, "move-changed",
           {{"service", Route.Service.Text},
            {"route", Route.Route.Text},
            {"version", Next.To.Text},
            {"state", std::string(toText(Next.Status))},
            {"share", Next.Share},
            {"detail", Next.Reason}});
  this->applyState(Route, Move, Next);
}

void MoveController::Impl::keepLease(const ServiceName &Service,
                                     TimePoint Now) {
  MoveLease &Lease =
      this->Leases.try_emplace(Service, MoveLease(this->Own.Node))
          .first->second;
  const std::string Name = leaseObjectName(Service);
  if (Lease.mustRead(Now)) {
    Expected<PlatformObject> Read =
        this->recordAvailability(this->Platform.get(Name));
    if (Read) {
      // A malformed lease expires like any other.
      LeaseValue Value = parseLease(Read->Value).value_or(LeaseValue{});
      Lease.seen(Value.Node, Value.Epoch, Read->Version, steadyNow());
    } else if (Read.error().Value == Code::ObjectAbsent) {
      Lease.seenAbsent(steadyNow());
    } else {
      return;
    }
  }
  TimePoint SentAt = steadyNow();
  std::optional<std::uint64_t> Epoch = Lease.due(SentAt);
  if (!Epoch)
    return;
  const std::string Text = leaseText(this->Own.Node, *Epoch);
  Expected<std::uint64_t> Written = this->recordAvailability(
      Lease.version() ? this->Platform.update(Name, Text, Lease.version())
                      : this->Platform.create(Name, Text));
  if (Written)
    Lease.written(*Epoch, *Written, SentAt);
  else
    Lease.lost();
}

void MoveController::Impl::revertMoveWithoutRule(const RouteKey &Route) {
  Expected<PlatformObject> Read =
      this->recordAvailability(this->Platform.get(stateObjectName(Route)));
  if (!Read)
    return;
  Expected<MoveState> State = parseMoveState(Read->Value);
  if (!State || State->Status != MoveStatus::UnderWay)
    return;
  State->Status = MoveStatus::RolledBack;
  State->Reason = "the rule was removed";
  State->Share = 0;
  State->Judge = this->Own.Node;
  // The result is ignored: on a conflict, another process has written the
  // state.
  this->recordAvailability(this->Platform.update(
      stateObjectName(Route), toJson(*State), Read->Version));
}

void MoveController::Impl::syncWithPlatform(const RoutingView &View,
                                            TimePoint Now) {
  std::set<ServiceName> LedServices;
  for (auto &[Route, Move] : this->Moves) {
    bool Leads = this->isLeader(View, Route.Service);
    const MoveRule *Rule =
        View.Configuration.moveFor(Route.Service, Route.Route);
    bool Ended = Move.State && Move.State->Rule == Move.RuleId &&
                 Move.State->Status != MoveStatus::UnderWay;
    if (Leads && !Ended)
      LedServices.insert(Route.Service);
    // The leader may have created the state after this process found it absent.
    if (Move.IsAbsent && isUnderWay(View, Route))
      Move.MustRead = true;
    bool Needed = Leads || isUnderWay(View, Route);
    if (Move.MustRead && Needed && this->isPlatformAvailable())
      this->readState(Route, Move);
    if (Rule)
      this->createMoves(View, Route, *Rule, Move, Leads);
    if (Move.Pending && !Move.MustRead && this->isPlatformAvailable())
      this->writeState(Route, Move);
  }
  for (const ServiceName &Service : LedServices)
    if (this->isPlatformAvailable())
      this->keepLease(Service, Now);
  for (const auto &[Route, Split] : View.Splits)
    if (Split.NextShare > 0 && !this->Moves.contains(Route) &&
        this->isLeader(View, Route.Service) && this->isPlatformAvailable())
      this->revertMoveWithoutRule(Route);
}

void MoveController::Impl::tick() {
  Ref<const RoutingView> View = this->Handlers.View();
  if (!View->Ready)
    return;
  std::map<RouteKey, std::string> Wanted;
  for (const auto &[Service, Catalog] : View->Services)
    for (const RouteName &Route : Catalog.Routes)
      if (const MoveRule *Rule = View->Configuration.moveFor(Service, Route))
        Wanted[{Service, Route}] = moveRuleId(*Rule);
  std::erase_if(this->Moves, [&](const auto &Item) {
    auto Found = Wanted.find(Item.first);
    return Found == Wanted.end() || Found->second != Item.second.RuleId;
  });
  for (const auto &[Route, RuleId] : Wanted)
    this->Moves[Route].RuleId = RuleId;
  TimePoint Now = steadyNow();
  // The evaluation needs no platform calls and comes first, so that a rollback
  // never waits for them.
  this->evaluate(*View, Now);
  this->syncWithPlatform(*View, Now);
}

void MoveController::Impl::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    TimePoint Due = steadyNow() + TickPeriod;
    Lock.unlock();
    this->tick();
    Lock.lock();
    this->Woken.wait_until(Lock, Due, [this] { return this->Stopping; });
  }
}

MoveController::MoveController(const Settings &Own, PlatformClient &Platform,
                               MoveHandlers Handlers)
    : Implementation(
          std::make_unique<Impl>(Own, Platform, std::move(Handlers))) {}

MoveController::~MoveController() { this->stop(); }

void MoveController::start() {
  this->Implementation->Thread = std::thread(
      [Controller = this->Implementation.get()] { Controller->run(); });
}

void MoveController::receive(const Evidence &Counts) {
  std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
  if (this->Implementation->ReceivedCounts.size() < MaxReceived)
    this->Implementation->ReceivedCounts.push_back(Counts);
}

void MoveController::receive(const VersionRolledBack &News) {
  std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
  if (this->Implementation->ReceivedNotices.size() < MaxReceived)
    this->Implementation->ReceivedNotices.push_back(News);
}

void MoveController::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Implementation->Mutex);
    this->Implementation->Stopping = true;
    this->Implementation->Woken.notify_all();
  }
  if (this->Implementation->Thread.joinable())
    this->Implementation->Thread.join();
}

} // namespace balsamyard
