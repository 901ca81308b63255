#include "balsamyard/src/Request/Scatter.h"

#include "balsamyard/src/Core/Overload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace balsamyard {

namespace {

constexpr std::size_t RecordBytes = 16;

/// Below this, timer resolution causes more hedges than slow targets do.
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(3);

/// Late attempts are looked for at this interval at least; a wake-up costs
/// processor time.
constexpr Duration MinCheckInterval = std::chrono::milliseconds(4);

/// A hedge that was not possible is tried again at this interval, since budget
/// and targets come back.
constexpr Duration HedgeRetryInterval = std::chrono::milliseconds(20);

/// An attempt that is still queued for a connection after this time moves to
/// another target at no cost.
constexpr Duration QueuePatience = std::chrono::milliseconds(15);

/// Spreads consecutive requests evenly over the unit interval.
constexpr double GoldenRatio = 0.6180339887498949;

/// \returns whether the effect that starts an attempt was still in the list; it
/// is removed.
bool takeBackSubmit(AttemptIndex At, ScatterEffects &Effects) {
  return std::erase_if(Effects, [At](const ScatterEffect &Each) {
           const auto *Submit = std::get_if<SubmitAttempt>(&Each);
           return Submit != nullptr && Submit->Attempt == At;
         }) > 0;
}

} // namespace

bool promisesNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string mergeRecords(const std::vector<std::string_view> &Parts,
                         std::uint32_t Count) {
  std::vector<std::string_view> Records;
  for (std::string_view Part : Parts)
    for (; Part.size() >= RecordBytes; Part.remove_prefix(RecordBytes))
      Records.push_back(Part.substr(0, RecordBytes));
  const std::size_t Kept = std::min<std::size_t>(Count, Records.size());
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Records.end(), std::greater<>());
  std::string Result;
  Result.reserve(Kept * RecordBytes);
  for (std::size_t Index = 0; Index < Kept; ++Index)
    Result.append(Records[Index]);
  return Result;
}

Scatter::Scatter(ScatterInput Given)
    : Input(std::move(Given)), Stats(*this->Input.View->Stats[Input.RouteAt]),
      Random(this->Input.Seed) {
  std::visit(Overload{[this](const SplitDestination &Split) {
                        this->Shards.resize(1);
                        this->Shards[0].Service = this->chooseService(Split);
                      },
                      [this](const ShardedDestination &Plan) {
                        this->Sharded = &Plan;
                        this->Shards.resize(Plan.Shards.size());
                        for (std::size_t At = 0; At < Plan.Shards.size(); ++At)
                          this->Shards[At].Service = Plan.Shards[At];
                      }},
             this->route().To);
  this->OpenShards = static_cast<std::uint32_t>(this->Shards.size());
  this->Counts.Shards = this->OpenShards;
}

ServiceNumber Scatter::chooseService(const SplitDestination &Split) const {
  double Total = 0;
  for (const WeightedService &Part : Split.Services)
    Total += Part.Weight;
  const double Step = static_cast<double>(this->Stats.Requests.load(
                          std::memory_order_relaxed)) *
                      GoldenRatio;
  double Point = (Step - std::floor(Step)) * Total;
  for (const WeightedService &Part : Split.Services) {
    if (Point < Part.Weight)
      return Part.Service;
    Point -= Part.Weight;
  }
  return Split.Services.back().Service;
}

void Scatter::handle(ScatterEvent Event, TimePoint Now,
                     ScatterEffects &Effects) {
  if (this->Finished)
    return;
  std::visit([&](auto &Alternative) { this->on(Alternative, Now, Effects); },
             Event);
  // Reported while the effects of an earlier event are still carried out, so
  // nothing may end or start here.
  if (std::holds_alternative<AttemptSent>(Event))
    return;
  this->checkEnd(Now, Effects);
  if (!this->Finished)
    this->scheduleWake(Now, Effects);
}

void Scatter::on(const ScatterStarted &, TimePoint Now,
                 ScatterEffects &Effects) {
  this->Stats.Requests.fetch_add(1, std::memory_order_relaxed);
  for (std::uint32_t At = 0; At < this->Shards.size(); ++At) {
    Shard &Part = this->Shards[At];
    this->Input.View->Services[Part.Service].Budget->countRequest(Now);
    if (!this->submit(At, false, Now, Effects)) {
      ++this->Counts.NoTarget;
      Part.GivenUp = true;
      --this->OpenShards;
    }
  }
}

TargetChoice Scatter::choose(const Shard &Part, TimePoint Now) {
  const FleetView &View = *this->Input.View;
  const ServiceEntry &Service = View.Services[Part.Service];
  ChoiceRules Rules;
  Rules.Usual = this->Stats.Median.value();
  Rules.ColdInterval = View.coldRequestInterval(Part.Service);
  Rules.Regions = &this->route().Regions;
  if (Service.Move) {
    Rules.MovesTo = &Service.Move->To;
    Rules.WantsNew = Service.Move->assignNextToNew();
  }
  const TargetChoice Choice =
      chooseTarget(Service, Rules, Part.Tried, Now, this->Random);
  // An unproven version must not get more because the old one is full or away.
  if (Choice.Target != nullptr || !Service.Move ||
      (!Rules.WantsNew && !Service.Move->mayFallBackToNew()))
    return Choice;
  Rules.WantsNew = !Rules.WantsNew;
  return chooseTarget(Service, Rules, Part.Tried, Now, this->Random);
}

bool Scatter::submit(std::uint32_t ShardAt, bool Hedge, TimePoint Now,
                     ScatterEffects &Effects) {
  Shard &Part = this->Shards[ShardAt];
  if (Part.SentCount + Part.QueuedCount >= this->route().MaxTargets)
    return false;
  const FleetView &View = *this->Input.View;
  const ServiceEntry &Service = View.Services[Part.Service];
  const TargetChoice Choice = this->choose(Part, Now);
  if (Choice.Target == nullptr)
    return false;
  // A hedge that would come after the goal is of no use while the first
  // attempt may still answer.
  if (Hedge && Now < this->Input.GoalAt &&
      Now + Choice.Expected > this->Input.GoalAt)
    return false;
  const bool Extra = Part.SentCount > 0;
  if (Extra && !Service.Budget->trySpend(View.Shares.Retry, Now)) {
    ++this->Counts.Denied;
    return false;
  }
  Part.Tried.push_back(Choice.Target);
  ++Part.OpenCount;
  ++Part.QueuedCount;
  Attempt Next;
  Next.Target = Ref<KnownTarget>(Choice.Target);
  Next.Shard = ShardAt;
  Next.Extra = Extra;
  Next.Hedge = Hedge;
  Next.At = Now;
  this->Attempts.push_back(std::move(Next));
  if (Extra)
    ++(Hedge ? this->Counts.Hedges : this->Counts.Retries);
  Effects.push_back(
      SubmitAttempt{static_cast<AttemptIndex>(this->Attempts.size() - 1)});
  return true;
}

void Scatter::on(const AttemptSent &Event, TimePoint Now, ScatterEffects &) {
  Attempt &Sent = this->Attempts[Event.Attempt];
  Sent.Current = State::Sent;
  Sent.At = Now;
  Shard &Part = this->Shards[Sent.Shard];
  ++Part.SentCount;
  --Part.QueuedCount;
  ++this->MayHaveRun;
}

std::string Scatter::describe(TimePoint Now) const {
  constexpr std::array<std::string_view, 7> Fates = {
      "open",   "answered", "not-executed", "failed",
      "broken", "not-sent", "withdrawn"};
  constexpr std::array<std::string_view, 3> Places = {"domain", "region",
                                                      "far"};
  std::string Result;
  std::size_t Count = 0;
  for (const Attempt &Each : this->Attempts) {
    const bool Ordinary =
        !Each.Extra && !Each.Late && Each.Result == Fate::Answered;
    if (Ordinary || ++Count > MaxDescribed)
      continue;
    const Duration Took = Each.Result == Fate::Open ? Now - Each.At : Each.Took;
    Result.append(Result.empty() ? "" : "; ")
        .append(Each.Target->Info.Id.Text)
        .append("@")
        .append(
            Places[static_cast<std::size_t>(Each.Target->Info.NetworkDistance)])
        .append(Each.Hedge   ? " hedge "
                : Each.Extra ? " retry "
                             : " first ")
        .append(Fates[static_cast<std::size_t>(Each.Result)])
        .append(" after ")
        .append(std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(Took)
                .count()));
  }
  if (Count > MaxDescribed)
    Result.append("; and ").append(std::to_string(Count - MaxDescribed));
  return Result;
}

std::vector<TargetId> Scatter::crashedTargets() const {
  std::vector<TargetId> Result;
  for (const Attempt &Each : this->Attempts)
    if (Each.Crashed)
      Result.push_back(Each.Target->Info.Id);
  return Result;
}

void Scatter::closeAttempt(Attempt &Closed, Fate Result, TimePoint Now) {
  Closed.Result = Result;
  Closed.Took = Now - Closed.At;
  Shard &Part = this->Shards[Closed.Shard];
  --Part.OpenCount;
  if (Closed.Current == State::Queued)
    --Part.QueuedCount;
  else
    this->countForMove(Closed, Now);
  Closed.Current = State::Ended;
}

void Scatter::countForMove(const Attempt &Closed, TimePoint Now) const {
  MoveTraffic *Move =
      this->Input.View->Services[this->Shards[Closed.Shard].Service].Move.get();
  // A cold target is slow whatever its version.
  if (Move == nullptr || Closed.Target->isCold(Now))
    return;
  const bool IsSlow =
      Closed.Took > MoveTraffic::SlowFactor * this->Stats.Median.value();
  AnswerQuality Quality = IsSlow ? AnswerQuality::Slow : AnswerQuality::Good;
  switch (Closed.Result) {
  case Fate::Answered:
    break;
  case Fate::Failed:
  case Fate::Broken:
    Quality = AnswerQuality::Error;
    break;
  case Fate::Open:
    // Nobody waits any more; how it would have ended is only known if it was
    // slow already.
    if (!IsSlow)
      return;
    break;
  case Fate::NotExecuted:
  case Fate::NotSent:
  case Fate::Withdrawn:
    return;
  }
  Move->count(this->route().Name, Closed.Target->Info.Version == Move->To,
              Quality);
}

bool Scatter::mayRepeat(const Shard &Part, AnswerKind Kind) const {
  return Part.SentCount + Part.QueuedCount < this->route().MaxTargets &&
         (this->route().Idempotent || Kind == AnswerKind::NotExecuted);
}

void Scatter::on(AttemptAnswered &Event, TimePoint Now,
                 ScatterEffects &Effects) {
  Attempt &Answered = this->Attempts[Event.Attempt];
  if (Answered.Current == State::Ended)
    return;
  this->closeAttempt(Answered,
                     Event.Answer.Kind == AnswerKind::Complete ? Fate::Answered
                     : Event.Answer.Kind == AnswerKind::Failed
                         ? Fate::Failed
                         : Fate::NotExecuted,
                     Now);
  if (Event.Answer.Kind == AnswerKind::NotExecuted)
    --this->MayHaveRun;
  Shard &Part = this->Shards[Answered.Shard];
  if (Part.Answered || Part.GivenUp)
    return;
  switch (Event.Answer.Kind) {
  case AnswerKind::Complete:
    Part.Answered = true;
    Part.Answer = std::move(Event.Answer);
    --this->OpenShards;
    ++this->Counts.Answered;
    if (Answered.Hedge)
      ++this->Counts.HedgesWon;
    return;
  case AnswerKind::NotExecuted:
    this->SawNotExecuted = true;
    break;
  case AnswerKind::Failed:
    this->LastFailure = std::move(Event.Answer.Response);
    break;
  }
  this->repeatOrGiveUp(Answered.Shard, this->mayRepeat(Part, Event.Answer.Kind),
                       Now, Effects);
}

void Scatter::on(const AttemptLost &Event, TimePoint Now,
                 ScatterEffects &Effects) {
  Attempt &Ended = this->Attempts[Event.Attempt];
  if (Ended.Current == State::Ended)
    return;
  Ended.Crashed = Event.Failure == AttemptFailure::Broken &&
                  Ended.Target->reach() != Reach::Up;
  this->closeAttempt(Ended,
                     Event.Failure == AttemptFailure::NotSent ? Fate::NotSent
                                                              : Fate::Broken,
                     Now);
  Shard &Part = this->Shards[Ended.Shard];
  if (Part.Answered || Part.GivenUp)
    return;
  const bool Repeatable = Event.Failure == AttemptFailure::NotSent ||
                          this->mayRepeat(Part, AnswerKind::Failed);
  this->repeatOrGiveUp(Ended.Shard, Repeatable, Now, Effects);
}

void Scatter::repeatOrGiveUp(std::uint32_t ShardAt, bool Repeatable,
                             TimePoint Now, ScatterEffects &Effects) {
  Shard &Part = this->Shards[ShardAt];
  if (Repeatable && this->submit(ShardAt, false, Now, Effects))
    return;
  if (Part.OpenCount == 0) {
    Part.GivenUp = true;
    --this->OpenShards;
  }
}

Duration Scatter::hedgeDelay() const {
  return std::max(this->Stats.HedgeDelay.value(), MinHedgeDelay);
}

void Scatter::on(const ScatterTimeReached &, TimePoint Now,
                 ScatterEffects &Effects) {
  this->checkLate(Now, Effects);
}

void Scatter::checkLate(TimePoint Now, ScatterEffects &Effects) {
  const Duration Delay = this->hedgeDelay();
  // submit() appends attempts, so the bound is taken first.
  const auto Count = static_cast<AttemptIndex>(this->Attempts.size());
  for (AttemptIndex At = 0; At < Count; ++At) {
    const std::uint32_t ShardAt = this->Attempts[At].Shard;
    Shard &Part = this->Shards[ShardAt];
    if (this->Attempts[At].Current == State::Ended || Part.Answered)
      continue;
    const Duration Age = Now - this->Attempts[At].At;
    if (this->Attempts[At].Current == State::Queued) {
      if (Age >= QueuePatience && Part.OpenCount == 1)
        this->moveQueued(At, Now, Effects);
      continue;
    }
    if (Age < Delay)
      continue;
    if (!this->Attempts[At].Late) {
      this->Attempts[At].Late = true;
      Effects.push_back(AttemptLate{At});
    }
    if (this->route().Idempotent && Part.OpenCount == 1)
      this->submit(ShardAt, true, Now, Effects);
  }
}

void Scatter::moveQueued(AttemptIndex At, TimePoint Now,
                         ScatterEffects &Effects) {
  // Nothing was sent, so the request may go elsewhere instead.
  const std::uint32_t ShardAt = this->Attempts[At].Shard;
  --this->Shards[ShardAt].QueuedCount;
  const bool Moved = this->submit(ShardAt, false, Now, Effects);
  ++this->Shards[ShardAt].QueuedCount;
  if (!Moved)
    return;
  this->closeAttempt(this->Attempts[At], Fate::Withdrawn, Now);
  Effects.push_back(WithdrawAttempt{At});
}

bool Scatter::coverageMet() const {
  // A share of 0.89 of 20 shards is 17.8, so 18 of them are needed.
  constexpr double Rounding = 1e-9;
  return this->Counts.Answered > 0 &&
         this->Counts.Answered + Rounding >=
             this->Sharded->MinCoverage *
                 static_cast<double>(this->Shards.size());
}

void Scatter::checkEnd(TimePoint Now, ScatterEffects &Effects) {
  const bool TimeOver = Now >= this->Input.Deadline;
  if (!this->isSharded()) {
    if (this->Shards[0].Answered)
      this->finish(ForwardedAnswer{std::move(this->Shards[0].Answer.Response)},
                   Now, Effects);
    else if (this->OpenShards == 0 || TimeOver)
      this->finish(this->failure(TimeOver), Now, Effects);
    return;
  }
  const bool Met = this->coverageMet();
  if (Met && (this->OpenShards == 0 || TimeOver || Now >= this->Input.GoalAt)) {
    MergedAnswer Merged;
    std::vector<std::string_view> Parts;
    for (Shard &Part : this->Shards) {
      if (!Part.Answered)
        continue;
      Merged.Receipts.push_back(std::move(Part.Answer.Receipt));
      Parts.push_back(Part.Answer.Response.Body);
    }
    Merged.MissingParts = this->Counts.Shards - this->Counts.Answered;
    Merged.Records = mergeRecords(Parts, this->Sharded->TopRecords);
    this->finish(std::move(Merged), Now, Effects);
    return;
  }
  const double Reachable =
      static_cast<double>(this->Counts.Answered + this->OpenShards);
  const bool Hopeless =
      Reachable + 1e-9 < this->Sharded->MinCoverage *
                             static_cast<double>(this->Shards.size()) ||
      Reachable == 0;
  if (TimeOver || Hopeless)
    this->finish(this->failure(TimeOver), Now, Effects);
}

CallerAnswer Scatter::failure(bool TimeOver) const {
  if (this->MayHaveRun == 0)
    return NotExecutedAnswer{
        this->SawNotExecuted ? FullRetryAfter : NoTargetRetryAfter,
        this->SawNotExecuted ? "every target rejected the request"
                             : "no target is usable"};
  if (TimeOver)
    return FailedAnswer{504, "the time of the request is over"};
  // A promise of the target's own that came without its statement is not true.
  if (!this->isSharded() && this->LastFailure &&
      !promisesNotExecuted(this->LastFailure->Status))
    return ForwardedAnswer{*this->LastFailure};
  return FailedAnswer{502, "targets failed"};
}

void Scatter::scheduleWake(TimePoint Now, ScatterEffects &Effects) {
  TimePoint Next = this->Input.Deadline;
  if (this->isSharded() && Now < this->Input.GoalAt)
    Next = std::min(Next, this->Input.GoalAt);
  const Duration Delay = this->hedgeDelay();
  for (const Attempt &Open : this->Attempts) {
    const Shard &Part = this->Shards[Open.Shard];
    if (Open.Current == State::Ended || Part.Answered)
      continue;
    TimePoint Due = Open.At + Delay;
    if (Open.Current == State::Queued)
      Due = std::max(Open.At + QueuePatience, Now + MinCheckInterval);
    else if (Open.Late) {
      if (Part.OpenCount > 1 || !this->mayRepeat(Part, AnswerKind::Failed))
        continue;
      Due = Now + HedgeRetryInterval;
    }
    Next = std::min(Next, std::max(Due, Now + MinCheckInterval));
  }
  Effects.push_back(WakeScatter{Next});
}

void Scatter::finish(CallerAnswer Result, TimePoint Now,
                     ScatterEffects &Effects) {
  this->Finished = true;
  this->Outcome = std::move(Result);
  for (AttemptIndex At = 0; At < this->Attempts.size(); ++At) {
    Attempt &Each = this->Attempts[At];
    if (Each.Current == State::Queued) {
      this->closeAttempt(Each, Fate::Withdrawn, Now);
      // An attempt of this very event must not start: the answer may say that
      // the request has not run.
      if (!takeBackSubmit(At, Effects))
        Effects.push_back(WithdrawAttempt{At});
    } else if (Each.Current == State::Sent) {
      Each.Took = Now - Each.At;
      this->countForMove(Each, Now);
    }
  }
  Effects.push_back(ScatterFinished{});
}

CallerAnswer Scatter::takeOutcome() { return std::move(this->Outcome); }

} // namespace balsamyard
