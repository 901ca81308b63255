#include "balsamyard/src/Version/ServiceMove.h"

#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// The judges compare the new version with all others taken together.
const VersionName Others{"the others"};

Evidence evidence(const NodeMoveCounts &From, const VersionName &Version,
                  const VersionTally &Side) {
  Evidence Result;
  Result.From = From.Node;
  Result.Incarnation = From.Incarnation;
  Result.Version = Version;
  Result.Requests = Side.Answers;
  Result.Errors = Side.Errors;
  Result.Slow = Side.Slow;
  return Result;
}

} // namespace

std::string_view name(MoveStep Step) {
  switch (Step) {
  case MoveStep::Trial:
    return "trial";
  case MoveStep::Load:
    return "load";
  case MoveStep::Whole:
    return "whole";
  }
  return "unknown";
}

ServiceMove::ServiceMove(NodeName Self, double Exposure)
    : Self(std::move(Self)), Exposure(Exposure) {}

std::vector<ServiceMoveEffect>
ServiceMove::handle(const ServiceMoveEvent &Event, const MoveClock &At) {
  Effects Out;
  std::visit([&](const auto &Body) { this->on(Body, At, Out); }, Event);
  return Out;
}

double ServiceMove::share() const {
  if (this->Status == MoveStatus::Done)
    return 1;
  if (this->Status == MoveStatus::RolledBack || this->Reason)
    return 0;
  switch (this->Step) {
  case MoveStep::Trial:
    return TrialExposureFraction * this->Exposure;
  case MoveStep::Load:
    return LoadShare;
  case MoveStep::Whole:
    return 1;
  }
  return 0;
}

Duration ServiceMove::part(double Share) const {
  return Duration(static_cast<std::int64_t>(
      Share * static_cast<double>(this->Order.Within.count())));
}

void ServiceMove::begin(const MoveOrderUpdated &Event, const MoveClock &At) {
  this->Order = Event.Order;
  this->Status = MoveStatus::UnderWay;
  this->Step = MoveStep::Trial;
  this->OrderedAt = At.Now;
  this->StepSince = At.Now;
  this->DueSince.reset();
  this->Reason.reset();
  this->Counted.clear();
  this->Judges.assign(
      TallyBuckets, VersionJudge(Others, this->Order.To,
                                 std::log(static_cast<double>(TallyBuckets))));
}

void ServiceMove::on(const MoveOrderUpdated &Event, const MoveClock &At,
                     Effects &) {
  const bool Known = !this->Judges.empty() &&
                     this->Order.To == Event.Order.To &&
                     this->Order.Within == Event.Order.Within;
  if (!Known)
    this->begin(Event, At);
  this->Revision = Event.Revision;
  // A report of an earlier order says nothing about this one.
  this->Report = Event.Report && Event.Report->To == this->Order.To
                     ? Event.Report
                     : std::nullopt;
  if (!this->Report)
    return;
  if (!Known) {
    // The order is older than this process. Clocks of VMs differ by seconds,
    // so the time left may be a little wrong, but never more than the whole.
    const Duration Left = std::clamp(
        std::chrono::duration_cast<Duration>(this->Report->Due - At.Wall),
        Duration::zero(), this->Order.Within);
    this->OrderedAt = At.Now - (this->Order.Within - Left);
  }
  if (this->Report->Step != this->Step) {
    this->StepSince = At.Now;
    for (VersionJudge &Each : this->Judges)
      Each.beginStep();
  }
  this->Status = this->Report->Status;
  this->Step = this->Report->Step;
  this->DueSince.reset();
}

void ServiceMove::on(const NodeMoveCounts &Event, const MoveClock &,
                     Effects &) {
  const auto [At, First] =
      this->Counted.try_emplace(Event.Node, Event.Incarnation);
  const bool Restarted = !First && At->second != Event.Incarnation;
  At->second = Event.Incarnation;
  for (std::size_t Place = 0; Place < this->Judges.size(); ++Place) {
    VersionJudge &Judge = this->Judges[Place];
    // Counts begin at 0 with the order, and a judge takes the first ones only
    // as its start.
    if (First || Restarted) {
      NodeMoveCounts Zero = Event;
      Zero.Tally = {};
      Judge.add(evidence(Zero, this->Order.To, {}));
      Judge.add(evidence(Zero, Others, {}));
    }
    Judge.add(evidence(Event, this->Order.To, Event.Tally[Place].New));
    Judge.add(evidence(Event, Others, Event.Tally[Place].Old));
  }
}

void ServiceMove::on(const MoveWriteFailed &, const MoveClock &At, Effects &) {
  this->NextWrite = At.Now + WritePause;
}

void ServiceMove::judge(TimePoint Now) {
  for (VersionJudge &Each : this->Judges) {
    Each.closePeriod(Now);
    const Judgement Found = Each.judgement();
    if (Found.Value == Verdict::Bad && !this->Reason)
      this->Reason = Found.Reason;
  }
}

bool ServiceMove::isBlockedByEvidence() const {
  return std::any_of(this->Judges.begin(), this->Judges.end(),
                     [](const VersionJudge &Each) {
                       return Each.judgement().StepEvidence > BlockingEvidence;
                     });
}

std::optional<MoveStep> ServiceMove::nextStep(TimePoint Now) const {
  const Duration Age = Now - this->OrderedAt;
  const Duration StepAge = Now - this->StepSince;
  if (this->Step == MoveStep::Trial && Age >= this->part(TrialFraction))
    return MoveStep::Load;
  if (this->Step == MoveStep::Load && StepAge >= this->part(LoadFraction))
    return MoveStep::Whole;
  return std::nullopt;
}

std::optional<MoveReport> ServiceMove::dueReport(const MoveTimePassed &Event,
                                                 const MoveClock &At) const {
  MoveReport Next;
  Next.To = this->Order.To;
  Next.Step = this->Step;
  Next.Due =
      this->Report
          ? this->Report->Due
          : At.Wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->Order.Within);
  if (this->Reason) {
    Next.Status = MoveStatus::RolledBack;
    Next.Reason = *this->Reason;
    return Next;
  }
  if (!this->Report)
    return Next;
  const Duration Age = At.Now - this->OrderedAt;
  if (this->isBlockedByEvidence() || !Event.NewTargets) {
    if (Age < this->part(DecisionFraction))
      return std::nullopt;
    Next.Status = MoveStatus::RolledBack;
    Next.Reason = Event.NewTargets ? "the evidence was still undecided"
                                   : "the version had no target that serves";
    return Next;
  }
  if (const std::optional<MoveStep> Step = this->nextStep(At.Now)) {
    Next.Step = *Step;
    return Next;
  }
  if (this->Step == MoveStep::Whole &&
      At.Now - this->StepSince >=
          std::max(MinWholeTime, this->part(WholeFraction))) {
    Next.Status = MoveStatus::Done;
    return Next;
  }
  return std::nullopt;
}

void ServiceMove::on(const MoveTimePassed &Event, const MoveClock &At,
                     Effects &Out) {
  if (this->Judges.empty() || this->Status != MoveStatus::UnderWay)
    return;
  this->judge(At.Now);
  const std::optional<MoveReport> Due = this->dueReport(Event, At);
  if (!Due) {
    this->DueSince.reset();
    return;
  }
  if (!this->DueSince)
    this->DueSince = At.Now;
  // Taking a version back is urgent, and few nodes find it at the same time.
  const Duration Wait = Due->Status == MoveStatus::RolledBack
                            ? Duration::zero()
                            : RankDelay * Event.Rank;
  if (At.Now < *this->DueSince + Wait || At.Now < this->NextWrite)
    return;
  this->NextWrite = At.Now + WritePause;
  Out.push_back(WriteMoveReport{*Due, this->Revision});
}

} // namespace balsamyard
