#include "balsamyard/src/Request/RequestRun.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Core/Overload.h"
#include "balsamyard/src/Process/Metrics.h"
#include "balsamyard/src/Request/Fingerprint.h"

#include <algorithm>

namespace balsamyard {

namespace {

/// A process that has just started loads its configuration within this time.
constexpr Duration StartRetryAfter = std::chrono::milliseconds(500);

/// Another process is ready at once.
constexpr Duration StopRetryAfter = std::chrono::milliseconds(100);

/// An overloaded process has finished most of its requests after this time.
constexpr Duration OverloadRetryAfter = std::chrono::milliseconds(300);

/// The answer to a request that is not run.
struct Rejection {
  int Status = 0;
  std::string_view Reason;
  Duration RetryAfter{};
};

void reject(RequestContext &Context, ServerConnection &Caller,
            const Rejection &Details) {
  Context.Counters.add("requests_rejected_total",
                       Context.ThreadLabel + ",status=\"" +
                           std::to_string(Details.Status) + "\"");
  logEvent(LogLevel::Info, "request-rejected",
           {{"status", std::int64_t(Details.Status)},
            {"detail", std::string(Details.Reason)}});
  const bool Malformed = Details.Status == 400;
  const bool KeepOpen = Caller.mayKeepOpen() && !Malformed;
  Caller.answer(
      plainAnswer(Details.Status, Details.Reason, KeepOpen, Details.RetryAfter),
      KeepOpen);
}

/// A request that crashes targets keeps being refused, so retrying it soon is
/// useless.
constexpr Duration CrashRetryAfter = std::chrono::seconds(10);

Fingerprint fingerprintOf(const HttpRequest &Request) {
  const std::string *Host = Request.Fields.find("host");
  return balsamyard::fingerprintOf(Request.Method, Host ? *Host : "",
                                   Request.Target, Request.Body);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// \returns an estimate of the time that the caller has spent on earlier
/// attempts of the request: how much less time it has left than the longest
/// time that any request of the route arrived with.
Duration timeUsedByEarlierAttempts(RouteStats &Stats, Duration CallerTimeLeft) {
  std::int64_t Longest =
      Stats.LongestCallerWaitMicros.load(std::memory_order_relaxed);
  while (CallerTimeLeft.count() > Longest &&
         !Stats.LongestCallerWaitMicros.compare_exchange_weak(
             Longest, CallerTimeLeft.count(), std::memory_order_relaxed)) {
  }
  return Duration(std::max<std::int64_t>(Longest - CallerTimeLeft.count(), 0));
}

/// \returns an estimate of the time that a request which is read now has waited
/// for this thread. The time left that its caller states does not include it.
Duration timeUnread(const RequestContext &Context, TimePoint Now) {
  return Context.NextTick == TimePoint{}
             ? Duration::zero()
             : std::max(Now - Context.NextTick, Duration::zero());
}

} // namespace

void RequestRun::start(RequestContext &Context, ServerConnection &Caller,
                       HttpRequest Request) {
  const TimePoint Now = steadyNow();
  const std::string *Host = Request.Fields.find("host");
  const std::string_view Id = Context.Protocol.requestId(Request);
  if (Host == nullptr || Request.Fields.count("host") != 1 || Id.empty() ||
      !Request.Target.starts_with('/')) {
    reject(Context, Caller, {400, "host, path or request id is missing"});
    return;
  }
  if (Context.IsStopping) {
    reject(Context, Caller, {503, "the node is stopping", StopRetryAfter});
    return;
  }
  Ref<const FleetView> View = Context.View.read();
  if (!View->Config) {
    reject(Context, Caller,
           {503, "no configuration is known yet", StartRetryAfter});
    return;
  }
  // The view may be newer than the one that the channels use.
  Context.Channels.setView(View);
  const std::ptrdiff_t RouteIndex =
      View->Config->match(*Host, pathOf(Request.Target));
  if (RouteIndex < 0) {
    reject(Context, Caller, {404, "no route matches"});
    return;
  }
  if (Context.InFlight.load(std::memory_order_relaxed) >= MaxRequestsInFlight) {
    reject(Context, Caller, {503, "too many requests", OverloadRetryAfter});
    return;
  }
  if (!View->Crashes->Entries.empty() &&
      View->Crashes->find(fingerprintOf(Request)) == CrashStatus::Refused) {
    reject(Context, Caller,
           {503, "the request crashes targets", CrashRetryAfter});
    return;
  }
  const Route &Matched =
      View->Config->Routes[static_cast<std::size_t>(RouteIndex)];
  RouteStats &Stats = *View->Stats[static_cast<std::size_t>(RouteIndex)];
  const Duration CallerTimeLeft =
      Context.Protocol.timeLeft(Request).value_or(Matched.Timeout);
  const TimePoint Received = Now - timeUnread(Context, Now);
  ScatterInput Input;
  Input.RouteIndex = static_cast<std::size_t>(RouteIndex);
  Input.Deadline = Received + std::min(CallerTimeLeft, Matched.Timeout);
  Input.GoalTime =
      Received + Matched.LatencyGoal - CallerNetworkTime -
      std::min(Context.GoalLag.value(), RequestContext::MaxGoalLag) -
      timeUsedByEarlierAttempts(Stats, CallerTimeLeft);
  Input.Seed = Context.NextSeed++;
  Input.View = std::move(View);
  const auto Run = makeRef<RequestRun>(Context, Caller, std::move(Request),
                                       std::move(Input));
  Context.InFlight.fetch_add(1, std::memory_order_relaxed);
  Caller.Attached = Run.get();
  // Released when the request ends.
  intrusive_ptr_add_ref(Run.get());
  Run->handle(ScatterStarted{});
}

RequestRun::RequestRun(RequestContext &Context, ServerConnection &Caller,
                       HttpRequest Received, ScatterInput Input)
    : Context(Context), Caller(&Caller), Request(std::move(Received)),
      RequestId(Context.Protocol.requestId(this->Request)),
      SharedHead(Context.Protocol.sharedHead(this->Request)),
      Decisions(std::move(Input)), Timer(Context.Io), Arrived(steadyNow()) {}

void RequestRun::stop(ServerConnection &Caller) {
  if (const Ref<RequestRun> Run(static_cast<RequestRun *>(Caller.Attached));
      Run)
    Run->handle(ScatterStopped{});
}

void RequestRun::callerDisconnected(ServerConnection &Caller) {
  const Ref<RequestRun> Run(static_cast<RequestRun *>(Caller.Attached));
  if (!Run)
    return;
  logEvent(LogLevel::Info, "caller-left",
           {{"request", Run->RequestId}, {"age", steadyNow() - Run->Arrived}});
  Run->Context.Counters.add("requests_abandoned_total",
                            Run->Context.ThreadLabel);
  for (const Ref<LinkCall> &Call : Run->Calls)
    if (Call)
      Run->Context.Channels.channelFor(*Call->Target).abort(*Call);
  Run->reportBroken();
  Run->release();
}

void RequestRun::release() {
  if (this->Released)
    return;
  this->Released = true;
  this->Timer.cancel();
  for (const Ref<LinkCall> &Call : this->Calls)
    if (Call)
      Call->detach();
  this->Caller->Attached = nullptr;
  this->Context.InFlight.fetch_sub(1, std::memory_order_relaxed);
  intrusive_ptr_release(this);
}

void RequestRun::handle(ScatterEvent Event) {
  const Ref<RequestRun> Self(this);
  ScatterEffects Effects;
  this->Decisions.handle(std::move(Event), steadyNow(), Effects);
  this->perform(Effects);
}

void RequestRun::perform(const ScatterEffects &Effects) {
  for (const ScatterEffect &Effect : Effects)
    if (!this->Released)
      std::visit([this](const auto &Alternative) { this->on(Alternative); },
                 Effect);
}

void RequestRun::on(const SubmitAttempt &Effect) {
  auto Call = makeRef<LinkCall>();
  Call->Target = Ref<KnownTarget>(&this->Decisions.targetOf(Effect.Attempt));
  const ScatterInput &Input = this->Decisions.input();
  Call->Stats = Input.View->Stats[Input.RouteIndex];
  Call->Method = this->Request.Method;
  Call->Deadline = Input.Deadline;
  const Ref<RequestRun> Self(this);
  // A call that waits for a connection is owned by its request, so `this` is
  // valid when the message is built.
  Call->MakeMessage = [this, Target = Call->Target](TimePoint Now) {
    return this->Context.Protocol.message(
        this->SharedHead, this->Request.Body, Target->Info,
        this->Decisions.input().Deadline - Now);
  };
  Call->OnSent = [Self, Attempt = Effect.Attempt] {
    Self->handle(AttemptSent{Attempt});
  };
  Call->OnEnd = [Self, Attempt = Effect.Attempt](Expected<HttpResponse> Result,
                                                 bool Sent) {
    Self->onEnd(Attempt, std::move(Result), Sent);
  };
  if (this->Calls.size() <= Effect.Attempt)
    this->Calls.resize(Effect.Attempt + 1);
  this->Calls[Effect.Attempt] = Call;
  this->Context.Channels.channelFor(*Call->Target).submit(Call);
}

void RequestRun::onEnd(AttemptIndex Attempt, Expected<HttpResponse> Result,
                       bool Sent) {
  if (Result) {
    if (std::optional<PartAnswer> Answer =
            this->Context.Protocol.read(std::move(*Result), this->RequestId)) {
      this->handle(AttemptAnswered{Attempt, std::move(*Answer)});
      return;
    }
    this->Context.Counters.add("target_answers_unusable_total",
                               this->Context.ThreadLabel);
  }
  const bool Discarded = !Result && Result.error().Value == Code::Overloaded;
  this->handle(AttemptLost{Attempt, Discarded ? AttemptFailure::Discarded
                                    : Sent    ? AttemptFailure::Broken
                                              : AttemptFailure::NotSent});
}

void RequestRun::on(const WithdrawAttempt &Effect) {
  LinkCall &Call = *this->Calls[Effect.Attempt];
  this->Context.Channels.channelFor(*Call.Target).withdraw(Call);
}

void RequestRun::on(const AttemptLate &Effect) {
  this->Calls[Effect.Attempt]->markLate();
}

void RequestRun::on(const WakeScatter &Effect) {
  if (Effect.At == this->WakeAt)
    return;
  this->WakeAt = Effect.At;
  const Ref<RequestRun> Self(this);
  this->Timer.expires_at(Effect.At);
  this->Timer.async_wait([Self](const asio::error_code &Cancelled) {
    if (Cancelled || Self->Released)
      return;
    Self->WakeAt = {};
    Self->handle(ScatterTimeReached{});
  });
}

void RequestRun::on(const ScatterFinished &) {
  CallerAnswer Answer = this->Decisions.takeOutcome();
  this->log(Answer, steadyNow());
  this->reportOutcome(Answer);
  const bool KeepOpen = this->Caller->mayKeepOpen();
  EncodedMessage Message = this->Context.Protocol.answer(
      std::move(Answer), KeepOpen, this->Request.Method != "HEAD");
  const Ref<ServerConnection> Connection = this->Caller;
  RequestContext &Shared = this->Context;
  const std::optional<TimePoint> Goal = this->Decisions.endedAtGoal();
  this->release();
  Connection->answer(std::move(Message), KeepOpen);
  if (Goal)
    Shared.GoalLag.observe(steadyNow() - *Goal);
}

bool RequestRun::reportBroken() const {
  std::vector<BrokenAttempt> Broken = this->Decisions.brokenAttempts();
  if (Broken.empty())
    return false;
  this->Context.OnCrashEvent(
      RequestBroken{fingerprintOf(this->Request), std::move(Broken)});
  return true;
}

void RequestRun::reportOutcome(const CallerAnswer &Answer) const {
  // A partial answer is no evidence against the request, nor for it: targets
  // of the missing shards may have crashed.
  const auto [Failed, Succeeded] = std::visit(
      Overload{
          [](const MergedAnswer &Merged) {
            return std::pair(false, Merged.MissingParts == 0);
          },
          [](const ForwardedAnswer &Forwarded) {
            const bool Success = Forwarded.Response.Status / 100 == 2;
            return std::pair(!Success, Success);
          },
          [](const NotExecutedAnswer &) { return std::pair(false, false); },
          [](const FailedAnswer &) { return std::pair(true, false); }},
      Answer);
  if (Failed)
    this->reportBroken();
  // Read the current view: the request may have become suspected while it ran.
  const Ref<const FleetView> View = this->Context.View.read();
  if (!Succeeded || View->Crashes->Entries.empty())
    return;
  const Fingerprint Print = fingerprintOf(this->Request);
  // A refusal is not lifted: an attempt that started before it is weak evidence
  // against it.
  if (View->Crashes->find(Print) == CrashStatus::Suspected)
    this->Context.OnCrashEvent(SuspectedRequestSucceeded{Print});
}

void RequestRun::log(const CallerAnswer &Answer, TimePoint Now) const {
  const ScatterCounts &Counts = this->Decisions.counts();
  const auto [Status, Detail] = std::visit(
      Overload{[](const MergedAnswer &) {
                 return std::pair<int, std::string_view>(200, "merged");
               },
               [](const ForwardedAnswer &Forwarded) {
                 return std::pair<int, std::string_view>(
                     Forwarded.Response.Status, "forwarded");
               },
               [](const NotExecutedAnswer &Refused) {
                 return std::pair<int, std::string_view>(503, Refused.Reason);
               },
               [](const FailedAnswer &Failed) {
                 return std::pair<int, std::string_view>(Failed.Status,
                                                         Failed.Reason);
               }},
      Answer);
  const Route &Matched = this->Decisions.route();
  const Duration Age = Now - this->Arrived;
  Metrics &Metric = this->Context.Counters;
  const std::string Labels =
      this->Context.ThreadLabel + ",route=\"" + Matched.Name.Text + "\"";
  Metric.observe("request_seconds", Labels, Age);
  Metric.add("requests_total",
             Labels + ",status=\"" + std::to_string(Status) + "\"");
  const auto Count = [&](std::string_view Name, std::uint32_t Amount) {
    if (Amount > 0)
      Metric.add(Name, Labels, Amount);
  };
  Count("hedges_total", Counts.Hedges);
  Count("hedges_won_total", Counts.HedgesWon);
  Count("retries_total", Counts.Retries);
  Count("extra_requests_denied_total", Counts.Denied);
  Count("choices_limited_total", Counts.Limited);
  Count("shards_missing_total", Counts.Shards - Counts.Answered);
  logEvent(
      LogLevel::Info, "request-ended",
      {{"request", this->RequestId},
       {"route", Matched.Name.Text},
       {"config", static_cast<std::int64_t>(
                      this->Decisions.input().View->Config->Version)},
       {"targets_as_of", static_cast<std::int64_t>(
                             this->Decisions.input().View->TargetsAsOf.Number)},
       {"status", std::int64_t(Status)},
       {"detail", std::string(Detail)},
       {"time", Age},
       {"queued", Counts.LongestQueued},
       {"goal_in", this->Decisions.input().GoalTime - Now},
       {"decisions", this->Decisions.describe(Now)},
       {"shards", std::int64_t(Counts.Shards)},
       {"answered", std::int64_t(Counts.Answered)},
       {"hedges", std::int64_t(Counts.Hedges)},
       {"hedges_won", std::int64_t(Counts.HedgesWon)},
       {"retries", std::int64_t(Counts.Retries)},
       {"denied", std::int64_t(Counts.Denied)},
       {"no_target", std::int64_t(Counts.NoTarget)},
       {"limited", std::int64_t(Counts.Limited)}});
}

} // namespace balsamyard
