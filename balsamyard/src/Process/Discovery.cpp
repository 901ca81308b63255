#include "balsamyard/src/Process/Discovery.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Process/DepartureTimes.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace balsamyard {

namespace {

/// Number of nodes that is assumed until they are counted. It exceeds that of
/// small deployments, so that this node's share of a limit starts too low
/// rather than too high.
constexpr std::uint32_t AssumedNodeCount = 12;

/// Entries that lapsed during an outage of the store are back about 2 s after
/// it returns. One that is still missing then belongs to a target that left.
constexpr Duration EntryReturnTime = std::chrono::milliseconds(2200);

/// The store removes the entry of a target after this many missed heartbeats, a
/// little late.
constexpr int MissedHeartbeats = 3;
constexpr Duration SilenceMargin = std::chrono::seconds(1);

/// Fraction of a target's connection limit that all nodes together use. The
/// rest is reserved for nodes that have started but are not counted yet.
constexpr double ConnectionLimitFraction = 0.94;

/// Fraction of the retry ratio that is used. The platform compares the extra
/// arrivals of a window with the requests of that window, or of the windows
/// that start half a window and a whole window earlier. Each of them overlaps
/// the window that is counted here by at least three quarters.
constexpr double RetryRatioFraction = 0.75;

/// Fraction of the retry slack that all nodes together use. The rest is
/// reserved for nodes that have started but are not counted yet.
constexpr double RetrySlackFraction = 0.9;

/// Difference between two statements of the end of a warm-up that entries of
/// the same warm-up have, as they arrive with different delays.
constexpr Duration WarmupTolerance = std::chrono::milliseconds(500);

/// The initial estimate of a route's median latency is its latency goal divided
/// by this.
constexpr int InitialMedianDivisor = 8;

} // namespace

std::string_view name(ObjectKind Kind) {
  switch (Kind) {
  case ObjectKind::Configuration:
    return "configuration";
  case ObjectKind::Targets:
    return "targets";
  case ObjectKind::Evacuations:
    return "evacuations";
  case ObjectKind::Moves:
    return "moves";
  case ObjectKind::Nodes:
    return "nodes";
  case ObjectKind::MoveCounts:
    return "move-counts";
  case ObjectKind::Crashes:
    return "crashes";
  }
  return "unknown";
}

Discovery::Discovery(const NodeSettings &Settings)
    : Settings(Settings), Gate(Settings.Bounds.ConfigurationTime),
      Nodes(AssumedNodeCount) {}

bool Discovery::configure(Ref<const Configuration> Next, TimePoint Now) {
  const auto Version = static_cast<std::int64_t>(Next->Version);
  if (!this->Gate.offer(std::move(Next), Now))
    return false;
  this->updateConfiguration(Now);
  if (this->Gate.isHolding())
    logEvent(LogLevel::Info, "configuration-held", {{"config", Version}});
  return true;
}

void Discovery::updateConfiguration(TimePoint Now) {
  if (!this->Gate.isHolding())
    return;
  ConfigurationGate::ReadinessByService Services;
  for (const auto &[Id, Target] : this->Targets) {
    if (Target.State->adminState() != AdminState::Serving)
      continue;
    ServiceReadiness &Service = Services[Target.State->Info.Service];
    Service.Announced = true;
    Service.Warm = Service.Warm || !Target.State->isCold(Now);
  }
  const Ref<const Configuration> Former = this->Gate.current();
  if (!this->Gate.update(Services, Now))
    return;
  const Configuration &Next = *this->Gate.current();
  logEvent(LogLevel::Info, "configuration-in-force",
           {{"config", static_cast<std::int64_t>(Next.Version)},
            {"former", Former ? static_cast<std::int64_t>(Former->Version)
                              : std::int64_t(0)},
            {"routes", static_cast<std::int64_t>(Next.Routes.size())},
            {"services", static_cast<std::int64_t>(Next.Services.size())}});
  this->Changed = true;
}

RegionName Discovery::regionOf(const DomainName &Domain) const {
  const auto Found = this->Settings.Regions.find(Domain);
  return Found == this->Settings.Regions.end() ? RegionName{} : Found->second;
}

Distance Discovery::distanceOf(const DomainName &Domain) const {
  if (Domain == this->Settings.Domain)
    return Distance::SameDomain;
  return this->regionOf(Domain) == this->Settings.Region
             ? Distance::SameRegion
             : Distance::OtherRegion;
}

TargetInfo Discovery::localInfo(const TargetAnnouncement &Announcement) const {
  TargetInfo Info = Announcement.Info;
  Info.Region = this->regionOf(Info.Domain);
  Info.NetworkDistance = this->distanceOf(Info.Domain);
  return Info;
}

bool Discovery::isCurrent(const TargetAnnouncement &Announcement,
                          TimePoint Now) const {
  const auto Found = this->Targets.find(Announcement.Info.Id);
  if (Found == this->Targets.end())
    return false;
  const Entry &Target = Found->second;
  if (Target.ExpiresAt || (Announcement.Leaving && !Target.Announced.Leaving) ||
      !(Target.State->Info == this->localInfo(Announcement)))
    return false;
  if (Announcement.RemainingWarmup <= Duration::zero())
    return true;
  const Duration Difference =
      Now + Announcement.RemainingWarmup - Target.Announced.ColdUntil;
  return Difference <= WarmupTolerance && Difference >= -WarmupTolerance;
}

Ref<KnownTarget> Discovery::stateOf(const TargetInfo &Info) const {
  Ref<KnownTarget> Known;
  if (const auto Found = this->Targets.find(Info.Id);
      Found != this->Targets.end() && Found->second.State)
    Known = Found->second.State;
  else if (const auto Former = this->FormerTargets.find(Info.Id);
           Former != this->FormerTargets.end())
    Known = Former->second.State;
  if (Known && Known->Info == Info)
    return Known;
  auto Result = makeRef<KnownTarget>(Info);
  // Observations of the former incarnation do not apply to the new one.
  if (Known && Known->Info.isSameIncarnation(Info))
    Result->inheritStatements(*Known);
  return Result;
}

void Discovery::announce(const TargetAnnouncement &Announcement,
                         TimePoint Now) {
  const TargetInfo Info = this->localInfo(Announcement);
  this->UnconfirmedTargets.erase(Info.Id);
  Entry &Target = this->Targets[Info.Id];
  const bool IsNew = !Target.State || !(Target.State->Info == Info);
  if (IsNew) {
    const Ref<KnownTarget> Next = this->stateOf(Info);
    if (Target.State)
      Target.State->setAdminState(AdminState::Gone);
    Target = {};
    Target.State = Next;
    this->FormerTargets.erase(Info.Id);
    this->Changed = true;
    logEvent(LogLevel::Info, "target-announced",
             {{"target", Info.Id.Text},
              {"service", Info.Service.Text},
              {"address", toText(Info.Address)},
              {"version", Info.Version.Text},
              {"cold", Announcement.RemainingWarmup},
              {"leaving", Announcement.Leaving}});
  }
  if (Target.ExpiresAt) {
    Target.ExpiresAt.reset();
    logEvent(LogLevel::Info, "target-announced-again",
             {{"target", Info.Id.Text}});
  }
  Target.Announced.Leaving = Announcement.Leaving;
  if (Announcement.Leaving && Target.State->noteDeparture())
    logEvent(LogLevel::Info, "target-leaving",
             {{"target", Info.Id.Text}, {"source", "entry"}});
  if (Announcement.RemainingWarmup > Duration::zero()) {
    if (!IsNew && !Target.State->isCold(Now))
      logEvent(
          LogLevel::Info, "target-cold",
          {{"target", Info.Id.Text}, {"left", Announcement.RemainingWarmup}});
    Target.Announced.ColdUntil = Now + Announcement.RemainingWarmup;
    Target.State->setColdUntil(Target.Announced.ColdUntil);
  }
  this->updateAdminState(Target);
}

bool Discovery::wasWithdrawn(const TargetInfo &Info) const {
  if (const auto Found = this->Targets.find(Info.Id);
      Found != this->Targets.end())
    return Found->second.ExpiresAt &&
           Found->second.State->Info.isSameIncarnation(Info);
  const auto Former = this->FormerTargets.find(Info.Id);
  return Former != this->FormerTargets.end() &&
         Former->second.State->Info.isSameIncarnation(Info);
}

void Discovery::announceRestored(const TargetAnnouncement &Announcement,
                                 TimePoint Now) {
  if (!this->wasWithdrawn(Announcement.Info)) {
    this->announce(Announcement, Now);
    return;
  }
  logEvent(LogLevel::Info, "target-unconfirmed",
           {{"target", Announcement.Info.Id.Text}});
  const Duration SilenceLimit =
      MissedHeartbeats * this->Settings.Bounds.TargetHeartbeat + SilenceMargin;
  this->UnconfirmedTargets[Announcement.Info.Id] = {Announcement,
                                                    Now + SilenceLimit};
}

void Discovery::applyUnconfirmed(TimePoint Now) {
  std::vector<TargetAnnouncement> Due;
  for (const auto &[Id, Target] : this->UnconfirmedTargets)
    if (Target.AppliesAt <= Now)
      Due.push_back(Target.Announcement);
  for (const TargetAnnouncement &Announcement : Due)
    this->announce(Announcement, Now);
}

void Discovery::updateAdminState(Entry &Target) {
  const AdminState Former = Target.State->adminState();
  AdminState Next = AdminState::Serving;
  if (Target.State->isDeparting())
    Next = AdminState::Leaving;
  else if (this->Evacuated.contains(Target.State->Info.Domain))
    Next = AdminState::Evacuated;
  Target.State->setAdminState(Next);
  this->Changed = this->Changed || Former != Next;
}

Duration Discovery::withdrawalGrace(TimePoint Now) const {
  const Duration Grace =
      DepartureTimes(this->Settings.Bounds.DrainTime).RemovalGrace;
  if (!this->StoreReturnedAt)
    return Grace;
  return std::max(Grace, *this->StoreReturnedAt + EntryReturnTime - Now);
}

void Discovery::withdraw(const TargetId &Id, TimePoint Now) {
  this->UnconfirmedTargets.erase(Id);
  const auto Found = this->Targets.find(Id);
  if (Found == this->Targets.end() || Found->second.ExpiresAt)
    return;
  logEvent(
      LogLevel::Info, "target-withdrawn",
      {{"target", Id.Text}, {"leaving", Found->second.State->isDeparting()}});
  Found->second.ExpiresAt = Now + this->withdrawalGrace(Now);
}

void Discovery::applyDepartures() {
  for (auto &[Id, Target] : this->Targets)
    if (Target.State->isDeparting() &&
        Target.State->adminState() != AdminState::Leaving)
      this->updateAdminState(Target);
}

void Discovery::evacuate(const DomainName &Domain) {
  if (!this->Evacuated.insert(Domain).second)
    return;
  logEvent(LogLevel::Info, "domain-evacuated", {{"domain", Domain.Text}});
  for (auto &[Id, Target] : this->Targets)
    this->updateAdminState(Target);
}

void Discovery::endEvacuation(const DomainName &Domain) {
  if (this->Evacuated.erase(Domain) == 0)
    return;
  logEvent(LogLevel::Info, "evacuation-ended", {{"domain", Domain.Text}});
  for (auto &[Id, Target] : this->Targets)
    this->updateAdminState(Target);
}

void Discovery::setNodes(const std::map<NodeName, DomainName> &Listed) {
  if (this->NodesCounted && Listed == this->NodeDomains)
    return;
  this->NodesCounted = true;
  this->NodeDomains = Listed;
  const auto Next =
      std::max<std::uint32_t>(static_cast<std::uint32_t>(Listed.size()), 1);
  this->Rank = static_cast<std::uint32_t>(
      std::distance(Listed.begin(), Listed.lower_bound(this->Settings.Node)));
  for (const auto &[Domain, Region] : this->Settings.Regions)
    this->SharerPositions[Domain] = this->sharerPosition(Domain);
  logEvent(
      LogLevel::Info, "nodes-counted",
      {{"nodes", std::int64_t(Next)}, {"former", std::int64_t(this->Nodes)}});
  this->Nodes = Next;
  this->Changed = true;
}

std::uint32_t Discovery::sharerPosition(const DomainName &Domain) const {
  const RegionName Region = this->regionOf(Domain);
  // Among nodes at the same distance, the order is the same for all domains, so
  // that the nodes that share the limits of many targets can serve whole
  // queries. It hardly changes when nodes join or leave.
  const auto Order = [&](const NodeName &Node, const DomainName &At) {
    const Distance Away = At == Domain ? Distance::SameDomain
                          : this->regionOf(At) == Region
                              ? Distance::SameRegion
                              : Distance::OtherRegion;
    return std::tuple(Away, XXH3_64bits(Node.Text.data(), Node.Text.size()),
                      Node.Text);
  };
  const auto Self = Order(this->Settings.Node, this->Settings.Domain);
  return static_cast<std::uint32_t>(std::count_if(
      this->NodeDomains.begin(), this->NodeDomains.end(),
      [&](const auto &Item) { return Order(Item.first, Item.second) < Self; }));
}

void Discovery::setMove(const ServiceName &Service, Ref<MoveTraffic> Move) {
  if (Move)
    this->Moves[Service] = std::move(Move);
  else
    this->Moves.erase(Service);
  this->Changed = true;
}

bool Discovery::serves(const ServiceName &Service,
                       const VersionName &Version) const {
  return std::any_of(this->Targets.begin(), this->Targets.end(),
                     [&](const auto &Item) {
                       const KnownTarget &Target = *Item.second.State;
                       return Target.Info.Service == Service &&
                              Target.Info.Version == Version &&
                              Target.adminState() == AdminState::Serving;
                     });
}

Ref<MoveTraffic> Discovery::moveOf(const ServiceName &Service) const {
  const auto Found = this->Moves.find(Service);
  if (Found == this->Moves.end())
    return nullptr;
  const MoveTraffic &Move = *Found->second;
  const bool HasOld = std::any_of(
      this->Targets.begin(), this->Targets.end(), [&](const auto &Item) {
        const TargetInfo &Info = Item.second.State->Info;
        return Info.Service == Service && Info.Version != Move.To;
      });
  // Without targets of another version the new one gets every request, unless
  // it was rolled back.
  return HasOld || Move.share() <= 0 ? Found->second : nullptr;
}

std::optional<TimePoint> Discovery::nextUpdate(TimePoint Now) const {
  std::optional<TimePoint> Next;
  if (this->Gate.isHolding())
    Next = Now + ConfigurationGate::CheckInterval;
  for (const auto &[Id, Target] : this->Targets)
    if (Target.ExpiresAt && (!Next || *Target.ExpiresAt < *Next))
      Next = Target.ExpiresAt;
  for (const auto &[Id, Target] : this->UnconfirmedTargets)
    Next = std::min(Next.value_or(Target.AppliesAt), Target.AppliesAt);
  return Next;
}

void Discovery::update(TimePoint Now) {
  this->expireTargets(Now);
  this->applyUnconfirmed(Now);
  this->updateConfiguration(Now);
}

void Discovery::expireTargets(TimePoint Now) {
  for (auto It = this->Targets.begin(); It != this->Targets.end();) {
    if (!It->second.ExpiresAt || *It->second.ExpiresAt > Now) {
      ++It;
      continue;
    }
    logEvent(LogLevel::Info, "target-gone", {{"target", It->first.Text}});
    It->second.State->setAdminState(AdminState::Gone);
    this->FormerTargets[It->first] = {It->second.State, Now};
    It = this->Targets.erase(It);
    this->Changed = true;
  }
  std::erase_if(this->FormerTargets, [Now](const auto &Item) {
    return Now - Item.second.GoneAt >= FormerTargetLifetime;
  });
}

std::vector<TargetId> Discovery::slowTargets(TimePoint Since) const {
  std::vector<TargetId> Result;
  for (const auto &[Id, Target] : this->Targets)
    if (Target.State->slowSeenAt() > Since)
      Result.push_back(Id);
  return Result;
}

void Discovery::reportSlow(const std::vector<TargetId> &Slow, TimePoint Now) {
  for (const TargetId &Id : Slow)
    if (const auto Found = this->Targets.find(Id); Found != this->Targets.end())
      Found->second.State->reportSlow(Now);
}

std::vector<TargetId> Discovery::endedLimits(TimePoint Since,
                                             TimePoint Until) const {
  std::vector<TargetId> Result;
  for (const auto &[Id, Target] : this->Targets) {
    const TimePoint Ended = Target.State->limitEndedAt();
    if (Ended > Since && Ended <= Until && !Target.State->requestLimit())
      Result.push_back(Id);
  }
  return Result;
}

void Discovery::reportEndedLimits(const std::vector<TargetId> &Unlimited) {
  for (const TargetId &Id : Unlimited) {
    const auto Found = this->Targets.find(Id);
    if (Found != this->Targets.end() && Found->second.State->dropRequestLimit())
      logEvent(LogLevel::Info, "target-limit-ended",
               {{"target", Id.Text},
                {"service", Found->second.State->Info.Service.Text}});
  }
}

void Discovery::choosePreferred(const ServiceSpec &Spec,
                                std::vector<Ref<KnownTarget>> &Targets) const {
  const std::size_t Count = Targets.size();
  const auto PreferredCount =
      static_cast<std::size_t>(ConnectionLimitFraction * Spec.MaxConnections *
                               static_cast<double>(Count) / this->Nodes);
  // All nodes sort the targets by id and start at an offset that depends on
  // their rank, so that each target is preferred by about as many nodes.
  const std::size_t Offset =
      this->Rank + XXH3_64bits(Spec.Name.Text.data(), Spec.Name.Text.size()) %
                       std::max<std::size_t>(Count, 1);
  const auto IsNearer = [](const Ref<KnownTarget> &Left,
                           const Ref<KnownTarget> &Right) {
    return Left->Info.NetworkDistance < Right->Info.NetworkDistance;
  };
  std::stable_sort(Targets.begin(), Targets.end(), IsNearer);
  for (auto First = Targets.begin(); First != Targets.end();) {
    const auto Last = std::upper_bound(First, Targets.end(), *First, IsNearer);
    std::rotate(First,
                First + static_cast<std::ptrdiff_t>(
                            Offset % static_cast<std::size_t>(Last - First)),
                Last);
    First = Last;
  }
  for (std::size_t Index = 0; Index < Count; ++Index)
    Targets[Index]->setPreferred(Index <
                                 std::max<std::size_t>(PreferredCount, 1));
}

Ref<const FleetView> Discovery::build() {
  this->Changed = false;
  auto View = makeRef<FleetView>();
  View->TargetsAsOf = this->TargetsAsOf;
  View->Shares.Nodes = this->Nodes;
  View->Shares.NodesCounted = this->NodesCounted;
  const FleetBounds &Bounds = this->Settings.Bounds;
  View->Shares.Retry = {RetryRatioFraction * Bounds.RetryRatio,
                        RetrySlackFraction * Bounds.RetrySlack / this->Nodes,
                        Bounds.RetryWindow};
  View->Shares.ColdRateFactor = Bounds.ColdRateFactor;
  View->Shares.ColdSlack = Bounds.ColdSlack;
  const Ref<const Configuration> &Config = this->Gate.current();
  if (!Config)
    return View;
  View->Config = Config;
  View->Crashes = this->Crashes;
  std::map<ServiceName, std::vector<Ref<KnownTarget>>> ByService;
  for (const auto &[Id, Target] : this->Targets)
    if (Target.State->adminState() == AdminState::Serving) {
      if (const auto Found =
              this->SharerPositions.find(Target.State->Info.Domain);
          Found != this->SharerPositions.end())
        Target.State->setSharerPosition(Found->second);
      ByService[Target.State->Info.Service].push_back(Target.State);
    }
  for (const ServiceSpec &Spec : Config->Services) {
    ServiceEntry &Service = View->Services.emplace_back();
    Service.Targets = std::move(ByService[Spec.Name]);
    this->choosePreferred(Spec, Service.Targets);
    Ref<RetryBudget> &Budget = this->Budgets[Spec.Name];
    if (!Budget)
      Budget = makeRef<RetryBudget>();
    Service.Budget = Budget;
    Service.Move = this->moveOf(Spec.Name);
  }
  // Keep the statistics of the routes that are still configured.
  const std::map<RouteName, Ref<RouteStats>> Former =
      std::exchange(this->Stats, {});
  for (const Route &Served : Config->Routes) {
    const auto Found = Former.find(Served.Name);
    Ref<RouteStats> &Statistics = this->Stats[Served.Name];
    Statistics =
        Found != Former.end()
            ? Found->second
            : makeRef<RouteStats>(Served.LatencyGoal / InitialMedianDivisor);
    View->Stats.push_back(Statistics);
  }
  return View;
}

} // namespace balsamyard
