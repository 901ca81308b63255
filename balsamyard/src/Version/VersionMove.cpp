#include "balsamyard/src/Version/VersionMove.h"

#include "balsamyard/src/Version/internal/JsonObject.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace balsamyard {

namespace {

constexpr std::array<std::string_view, 3> StatusNames = {"under way", "done",
                                                         "taken back"};

/// Fraction of the time until the deadline that is planned for the steps. The
/// rest is a reserve for requests that come later than expected.
constexpr double PlannedTimeFraction = 0.8;

/// A raised share aims to reach MinStepRequests in this fraction of the time of
/// the step.
constexpr double RaisedShareTimeFraction = 0.5;

/// Minimum relative change of the share for which it is written again.
constexpr double MinShareChange = 0.25;

/// Maximum share that is used to reach MinStepRequests.
constexpr double MaxRaisedShare = 0.5;

constexpr std::size_t LastStep = MoveSteps.size() - 1;

template <typename... Kinds> struct Visitor : Kinds... {
  using Kinds::operator()...;
};
template <typename... Kinds> Visitor(Kinds...) -> Visitor<Kinds...>;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

std::string_view toText(MoveStatus Status) {
  return StatusNames[static_cast<std::size_t>(Status)];
}

Expected<MoveState> parseMoveState(std::string_view Text) {
  Expected<internal::Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  internal::JsonFaults Faults;
  MoveState State;
  {
    internal::JsonObject Top(*Document, "", Faults);
    State.Service = Top.name<ServiceName>("service");
    State.Route = Top.name<RouteName>("route");
    State.From = Top.name<VersionName>("from");
    State.To = Top.name<VersionName>("to");
    State.Rule = Top.text("rule");
    std::string Status = Top.text("status");
    const auto *Found =
        std::find(StatusNames.begin(), StatusNames.end(), Status);
    if (Found == StatusNames.end())
      Faults.report("status", "expected under way, done or taken back");
    else
      State.Status = static_cast<MoveStatus>(Found - StatusNames.begin());
    State.Reason = Top.text("reason");
    State.Step = Top.number<std::uint32_t>("step", 0, LastStep);
    State.Share = Top.real("share");
    if (!(State.Share >= 0 && State.Share <= 1))
      Faults.report("share", "expected a number from 0 to 1");
    // The bound keeps the value within the range of WallTime.
    State.StepSince = WallTime(std::chrono::milliseconds(
        Top.number<std::uint64_t>("since", 0, std::uint64_t(1) << 60)));
    State.Judge = Top.name<NodeName>("judge");
    State.Epoch = Top.number<std::uint64_t>("epoch");
  }
  if (!Faults.none())
    return Faults.error();
  return State;
}

std::string toJson(const MoveState &State) {
  internal::Json Value = {
      {"service", State.Service.Text},
      {"route", State.Route.Text},
      {"from", State.From.Text},
      {"to", State.To.Text},
      {"rule", State.Rule},
      {"status", std::string(toText(State.Status))},
      {"reason", State.Reason},
      {"step", State.Step},
      {"share", State.Share},
      {"since",
       static_cast<std::uint64_t>(State.StepSince.time_since_epoch().count())},
      {"judge", State.Judge.Text},
      {"epoch", State.Epoch}};
  return Value.dump() + "\n";
}

TrafficSplit splitOf(const MoveState &State) {
  switch (State.Status) {
  case MoveStatus::UnderWay:
    return {State.From, State.To, State.Share};
  case MoveStatus::Done:
    return {State.To, {}, 0};
  case MoveStatus::RolledBack:
    return {State.From, State.To, 0};
  }
  return {State.From, {}, 0};
}

std::string moveRuleId(const MoveRule &Rule) {
  return Rule.To.Text + "@" +
         std::to_string(Rule.By.time_since_epoch().count());
}

ConfigVersion moveRuleNumber(const std::string &RuleId) {
  return ConfigVersion{XXH3_64bits(RuleId.data(), RuleId.size())};
}

VersionMove::VersionMove(NodeName Self, RouteKey Route, MoveRule Rule,
                         VersionName From, double Caution)
    : Self(std::move(Self)), Route(std::move(Route)), Rule(std::move(Rule)),
      From(std::move(From)), RuleId(moveRuleId(this->Rule)),
      Judge(this->From, this->Rule.To, Caution) {}

std::vector<MoveEffect> VersionMove::handle(const MoveEvent &Event) {
  Effects Out;
  std::visit(
      Visitor{[&](const MoveTick &Tick) { this->onTick(Tick, Out); },
              [&](const MoveCounts &News) { this->Judge.add(News.Counts); },
              [&](const MoveLoaded &News) { this->onLoaded(News.State); },
              [&](const MoveAbsent &) { this->Loaded = true; },
              [&](const MoveRolledBackElsewhere &News) {
                this->Announced = true;
                this->rollBack(News.Reason, Out);
              },
              [&](const MoveRuleRemoved &) {
                if (this->State && this->State->Status == MoveStatus::UnderWay)
                  this->rollBack("the rule was removed", Out);
              }},
      Event);
  return Out;
}

void VersionMove::onLoaded(const MoveState &Newer) {
  this->Loaded = true;
  this->ObjectVersion = std::max(this->ObjectVersion, Newer.Version);
  if (Newer.Rule != this->RuleId)
    return;
  if (this->State && Newer.Version < this->State->Version)
    return;
  if (!this->State || this->State->Step != Newer.Step)
    this->Judge.beginStep();
  this->State = Newer;
}

void VersionMove::rollBack(const std::string &Reason, Effects &Out) {
  if (!this->RollbackReason)
    this->RollbackReason = Reason;
  if (!this->Announced)
    Out.emplace_back(AnnounceRollback{
        {this->Route.Service, this->Route.Route, this->Rule.To,
         moveRuleNumber(this->RuleId), *this->RollbackReason}});
  this->Announced = true;
  // Repeated on each tick until the platform has the state.
  if (!this->State || this->State->Status == MoveStatus::RolledBack)
    return;
  MoveState Next = *this->State;
  Next.Status = MoveStatus::RolledBack;
  Next.Reason = *this->RollbackReason;
  Next.Share = 0;
  Next.Judge = this->Self;
  Next.Version = this->ObjectVersion;
  Out.emplace_back(WriteMove{Next});
}

MoveState VersionMove::first(const MoveTick &Tick) const {
  MoveState Next;
  Next.Service = this->Route.Service;
  Next.Route = this->Route.Route;
  Next.From = this->From;
  Next.To = this->Rule.To;
  Next.Rule = this->RuleId;
  Next.Share = MoveSteps[0];
  Next.StepSince = Tick.Wall;
  Next.Judge = this->Self;
  Next.Epoch = Tick.Epoch;
  Next.Version = this->ObjectVersion;
  return Next;
}

Duration VersionMove::stepBudget(WallTime Wall) const {
  auto StepsLeft = static_cast<double>(LastStep - this->State->Step);
  Duration Left = std::max(Duration(0), Duration(this->Rule.By - Wall));
  Duration Used = Duration(Wall - this->State->StepSince);
  // Adding the time that the step has used keeps its budget constant while the
  // time left shrinks.
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      seconds(Left + Used) * PlannedTimeFraction / std::max(1.0, StepsLeft)));
}

double VersionMove::wantedShare(const MoveTick &Tick) const {
  double MinShare = MoveSteps[this->State->Step];
  if (this->State->Step == LastStep ||
      this->Judge.stepRequests() >= MinStepRequests)
    return MinShare;
  double Rate = this->Judge.requestRate();
  double Time = seconds(this->stepBudget(Tick.Wall)) * RaisedShareTimeFraction;
  if (Rate <= 0 || Time <= 0)
    return MinShare;
  return std::clamp(MinStepRequests / (Rate * Time), MinShare,
                    std::max(MinShare, MaxRaisedShare));
}

bool VersionMove::passes(const MoveTick &Tick, const Judgement &Found) const {
  Duration Used = Duration(Tick.Wall - this->State->StepSince);
  if (this->State->Step == LastStep)
    return Used >= WatchTime && Found.NoWorseSoFar;
  if (this->Judge.stepRequests() < MinStepRequests)
    return false;
  Duration Budget = this->stepBudget(Tick.Wall);
  if (Found.Value == Verdict::Good)
    return Used >= std::min(MinStepTime, Budget);
  return Used >= Budget && Found.NoWorseSoFar;
}

void VersionMove::onTick(const MoveTick &Tick, Effects &Out) {
  this->Judge.closePeriod(Tick.Now);
  if (!this->Loaded)
    return;
  if (this->RollbackReason)
    return this->rollBack(*this->RollbackReason, Out);
  if (!this->State) {
    if (Tick.Leads && this->Rule.To != this->From)
      Out.emplace_back(WriteMove{this->first(Tick)});
    return;
  }
  if (this->State->Status != MoveStatus::UnderWay)
    return;
  Judgement Found = this->Judge.judgement();
  if (Found.Value == Verdict::Bad)
    return this->rollBack(Found.Reason, Out);
  if (!Tick.Leads)
    return;
  MoveState Next = *this->State;
  Next.Judge = this->Self;
  Next.Epoch = Tick.Epoch;
  if (this->passes(Tick, Found)) {
    if (Next.Step == LastStep) {
      Next.Status = MoveStatus::Done;
    } else {
      Next.Share = MoveSteps[++Next.Step];
      Next.StepSince = Tick.Wall;
    }
    Out.emplace_back(WriteMove{Next});
    return;
  }
  double Wanted = this->wantedShare(Tick);
  if (std::abs(Wanted - Next.Share) > MinShareChange * Next.Share ||
      Next.Epoch != this->State->Epoch) {
    Next.Share = Wanted;
    Out.emplace_back(WriteMove{Next});
  }
}

void MoveLease::seen(const NodeName &Owner, std::uint64_t Epoch,
                     std::uint64_t Version, TimePoint Now) {
  if (Version != this->Version)
    this->ChangedAt = Now;
  this->Owner = Owner;
  this->Epoch = Epoch;
  this->Version = Version;
  this->ReadAt = Now;
  this->MustRead = false;
}

void MoveLease::written(std::uint64_t Epoch, std::uint64_t Version,
                        TimePoint SentAt) {
  this->seen(this->Self, Epoch, Version, SentAt);
  this->TrustedUntil = SentAt + TrustTime;
  this->RenewAt = SentAt + RenewPeriod;
}

bool MoveLease::mustRead(TimePoint Now) const {
  return this->MustRead ||
         (this->Owner != this->Self && Now - this->ReadAt >= RenewPeriod);
}

std::optional<std::uint64_t> MoveLease::due(TimePoint Now) const {
  if (this->holds(Now))
    return Now >= this->RenewAt ? std::optional(this->Epoch) : std::nullopt;
  if (this->Version == 0)
    return 1;
  // The owner may be an earlier process of this node, so the lease is free.
  if (this->Owner == this->Self || Now - this->ChangedAt >= LeaseTime)
    return this->Epoch + 1;
  return std::nullopt;
}

} // namespace balsamyard
