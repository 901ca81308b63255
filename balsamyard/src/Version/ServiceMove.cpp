#include "balsamyard/src/Version/ServiceMove.h"

#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// Stands for the old version in the judges, which compare the new version with
/// all other versions together.
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

Duration ServiceMove::fractionOfTime(double Fraction) const {
  return Duration(static_cast<std::int64_t>(
      Fraction * static_cast<double>(this->Order.Within.count())));
}

void ServiceMove::begin(const MoveOrderUpdated &Event, const MoveClock &At) {
  this->Order = Event.Order;
  this->Status = MoveStatus::UnderWay;
  this->Step = MoveStep::Trial;
  this->OrderedAt = At.Now;
  this->StepSince = At.Now;
  this->ReportDueSince.reset();
  this->Reason.reset();
  this->Incarnations.clear();
  this->Judges.assign(
      TallyBuckets, VersionJudge(Others, this->Order.To,
                                 std::log(static_cast<double>(TallyBuckets))));
}

void ServiceMove::on(const MoveOrderUpdated &Event, const MoveClock &At,
                     Effects &) {
  const bool IsSameOrder = !this->Judges.empty() &&
                           this->Order.To == Event.Order.To &&
                           this->Order.Within == Event.Order.Within;
  if (!IsSameOrder)
    this->begin(Event, At);
  this->Revision = Event.Revision;
  // Ignore the report of an earlier order.
  this->Report = Event.Report && Event.Report->To == this->Order.To
                     ? Event.Report
                     : std::nullopt;
  // A store that was restored from a copy may have lost the end, after which
  // the old targets have stopped or the new ones are known to be bad.
  if (!this->Report || (IsSameOrder && this->isEnded() &&
                        this->Report->Status == MoveStatus::UnderWay))
    return;
  if (!IsSameOrder) {
    // The order is older than this process, so the time left follows from the
    // wall clock. It is clamped, because the clocks of VMs differ by seconds.
    const Duration Left = std::clamp(
        std::chrono::duration_cast<Duration>(this->Report->Due - At.Wall),
        Duration::zero(), this->Order.Within);
    this->OrderedAt = At.Now - (this->Order.Within - Left);
  }
  if (this->Report->Step != this->Step) {
    this->StepSince = At.Now;
    for (VersionJudge &Judge : this->Judges)
      Judge.beginStep();
  }
  this->Status = this->Report->Status;
  this->Step = this->Report->Step;
  this->ReportDueSince.reset();
}

void ServiceMove::on(const NodeMoveCounts &Event, const MoveClock &,
                     Effects &) {
  const auto [At, First] =
      this->Incarnations.try_emplace(Event.Node, Event.Incarnation);
  const bool Restarted = !First && At->second != Event.Incarnation;
  At->second = Event.Incarnation;
  for (std::size_t Bucket = 0; Bucket < this->Judges.size(); ++Bucket) {
    VersionJudge &Judge = this->Judges[Bucket];
    // Counts start at 0 with the order, but a judge uses the first counts that
    // it gets only as its baseline.
    if (First || Restarted) {
      NodeMoveCounts Zero = Event;
      Zero.Tally = {};
      Judge.add(evidence(Zero, this->Order.To, {}));
      Judge.add(evidence(Zero, Others, {}));
    }
    Judge.add(evidence(Event, this->Order.To, Event.Tally[Bucket].New));
    Judge.add(evidence(Event, Others, Event.Tally[Bucket].Old));
  }
}

void ServiceMove::on(const MoveWriteFailed &, const MoveClock &At, Effects &) {
  this->NextWrite = At.Now + WritePause;
}

void ServiceMove::judge(TimePoint Now) {
  for (VersionJudge &Judge : this->Judges) {
    Judge.closePeriod(Now);
    const Judgement Result = Judge.judgement();
    if (Result.Value == Verdict::Bad && !this->Reason)
      this->Reason = Result.Reason;
  }
}

bool ServiceMove::isBlockedByEvidence() const {
  return std::any_of(this->Judges.begin(), this->Judges.end(),
                     [](const VersionJudge &Judge) {
                       return Judge.judgement().StepEvidence > BlockingEvidence;
                     });
}

std::optional<MoveStep> ServiceMove::nextStep(TimePoint Now) const {
  const Duration Age = Now - this->OrderedAt;
  const Duration StepAge = Now - this->StepSince;
  if (this->Step == MoveStep::Trial &&
      Age >= this->fractionOfTime(TrialFraction))
    return MoveStep::Load;
  if (this->Step == MoveStep::Load &&
      StepAge >= this->fractionOfTime(LoadFraction))
    return MoveStep::Whole;
  return std::nullopt;
}

MoveReport ServiceMove::nextReport(const MoveClock &At) const {
  MoveReport Next;
  Next.To = this->Order.To;
  Next.Step = this->Step;
  Next.Due =
      this->Report
          ? this->Report->Due
          : At.Wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                          this->Order.Within);
  return Next;
}

std::optional<MoveReport> ServiceMove::dueReport(const MoveTimePassed &Event,
                                                 const MoveClock &At) const {
  MoveReport Next = this->nextReport(At);
  if (this->hasUnstoredEnd()) {
    Next.Status = this->Status;
    Next.Reason = this->Reason.value_or("");
    return Next;
  }
  if (this->Reason) {
    Next.Status = MoveStatus::RolledBack;
    Next.Reason = *this->Reason;
    return Next;
  }
  if (!this->Report)
    return Next;
  const Duration Age = At.Now - this->OrderedAt;
  if (this->isBlockedByEvidence() || !Event.NewTargets) {
    if (Age < this->fractionOfTime(DecisionFraction))
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
          std::max(MinWholeTime, this->fractionOfTime(WholeFraction))) {
    Next.Status = MoveStatus::Done;
    return Next;
  }
  return std::nullopt;
}

void ServiceMove::on(const MoveTimePassed &Event, const MoveClock &At,
                     Effects &Out) {
  if (this->Judges.empty() || (this->isEnded() && !this->hasUnstoredEnd()))
    return;
  if (!this->isEnded())
    this->judge(At.Now);
  const std::optional<MoveReport> Due = this->dueReport(Event, At);
  if (!Due) {
    this->ReportDueSince.reset();
    return;
  }
  if (!this->ReportDueSince)
    this->ReportDueSince = At.Now;
  // A rollback is urgent, and few nodes detect the need at the same time.
  const Duration Wait = Due->Status == MoveStatus::RolledBack
                            ? Duration::zero()
                            : RankDelay * Event.Rank;
  if (At.Now < *this->ReportDueSince + Wait || At.Now < this->NextWrite)
    return;
  this->NextWrite = At.Now + WritePause;
  Out.push_back(WriteMoveReport{*Due, this->Revision});
}

} // namespace balsamyard
