#include "balsamyard/src/Connection/TargetChannel.h"

#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <asio/post.hpp>
#include <unordered_set>
#include <utility>

namespace balsamyard {

namespace {

bool isMalformed(const Expected<HttpResponse> &Result) {
  return !Result && Result.error().Value == Code::TargetMalformed;
}

/// \returns whether this process had no memory for the answer, which says
/// nothing about the target.
bool isDiscarded(const Expected<HttpResponse> &Result) {
  return !Result && Result.error().Value == Code::Overloaded;
}

} // namespace

TargetChannel::TargetChannel(asio::io_context &Context, Ref<KnownTarget> Target,
                             const TargetProtocol &Protocol,
                             const HttpLimits &Answers)
    : Context(Context), Target(std::move(Target)), Protocol(Protocol),
      Answers(Answers), IdleLimit(Times.IdleLimit) {}

std::size_t TargetChannel::openLinks() const {
  return static_cast<std::size_t>(std::count_if(
      this->Links.begin(), this->Links.end(),
      [](const Ref<LinkEntry> &Entry) { return !Entry->Opening; }));
}

void TargetChannel::submit(Ref<LinkCall> Call) {
  this->Target->started();
  if (this->Retired || this->Target->reach() == Reach::Down ||
      !this->acceptsRequests(steadyNow())) {
    // Posted, because the request that calls submit() cannot handle the result
    // yet.
    asio::post(this->Context, [Self = Ref<TargetChannel>(this), Call] {
      Self->endCall(*Call,
                    fail(Code::PeerUnreachable, "no connection to the target"));
    });
    return;
  }
  this->Waiting.push_back(*Call.detach());
  this->dispatch();
}

bool TargetChannel::acceptsRequests(TimePoint Now) const {
  return !this->Target->isDeparting() && !this->Target->isPaused(Now);
}

void TargetChannel::dispatch() {
  const TimePoint Now = steadyNow();
  if (!this->acceptsRequests(Now)) {
    this->failWaiting();
    return;
  }
  if (this->Target->reach() != Reach::Up)
    return;
  while (!this->Waiting.empty()) {
    // Uses the connection that was idle longest, so that none reaches the idle
    // limit of the target while there is traffic.
    LinkEntry *LongestIdle = nullptr;
    for (const Ref<LinkEntry> &Entry : this->Links)
      if (!Entry->Opening && !Entry->Running &&
          Now - Entry->Link->idleSince() < this->IdleLimit &&
          (LongestIdle == nullptr ||
           Entry->Link->idleSince() < LongestIdle->Link->idleSince()))
        LongestIdle = Entry.get();
    if (LongestIdle == nullptr)
      break;
    const Ref<LinkEntry> Chosen(LongestIdle);
    if (!Chosen->Link->isReady()) {
      Chosen->Link->close();
      this->remove(*Chosen);
      continue;
    }
    const Ref<LinkCall> Call(&this->Waiting.front(), false);
    this->Waiting.pop_front();
    this->run(*Chosen, Call);
  }
  const std::size_t Opening = this->Links.size() - this->openLinks();
  if (this->Waiting.size() > Opening)
    this->openLink();
}

void TargetChannel::run(LinkEntry &Entry, const Ref<LinkCall> &Call) {
  const TimePoint Now = steadyNow();
  this->NextCheck = {};
  Call->Sent = true;
  Call->SentAt = Now;
  Entry.Running = Call;
  Ref<TargetChannel> Self(this);
  Ref<LinkEntry> Held(&Entry);
  Entry.Link->send(Call->MakeMessage(Now), Call->Method != "HEAD",
                   [Self, Held](Expected<HttpResponse> Result) {
                     Self->onAnswer(Held, std::move(Result));
                   });
  if (Call->OnSent)
    Call->OnSent();
}

bool TargetChannel::openLink() {
  const TimePoint Now = steadyNow();
  if (this->Retired || this->Links.size() >= this->Limit.Max ||
      Now < this->NextOpen)
    return false;
  this->NextCheck = {};
  auto Entry = makeRef<LinkEntry>();
  Entry->Link = makeRef<HttpLink>(this->Context, this->Answers);
  this->Links.push_back(Entry);
  Ref<TargetChannel> Self(this);
  Entry->Link->onIdleClose([Self, Entry] {
    const TimePoint At = steadyNow();
    const bool IsNew = At - Entry->OpenedAt < Self->Times.FullPause;
    if (IsNew)
      Self->NextOpen = At + Self->Times.FullPause;
    Self->onIdleClose(*Entry, At);
  });
  Entry->Link->open(this->Target->Info.Address, this->Times.OpenTimeout,
                    [Self, Entry](const Expected<void> &Result) {
                      if (!Result) {
                        Self->onLinkLost(*Entry, false);
                        return;
                      }
                      Entry->Opening = false;
                      Entry->OpenedAt = steadyNow();
                      Self->dispatch();
                    });
  return true;
}

void TargetChannel::onIdleClose(const LinkEntry &Entry, TimePoint Now) {
  const Duration Idle = Now - Entry.Link->idleSince();
  // If the target advertises no idle timeout, the close reveals it. A close
  // before an advertised timeout may be a crash.
  const bool IdleTimeoutInferred =
      !this->IdleTimeoutAdvertised && Idle >= this->Times.MinIdleLimit;
  if (IdleTimeoutInferred)
    this->IdleLimit =
        std::max(Idle - this->Times.IdleMargin, this->Times.MinIdleLimit);
  this->onLinkLost(Entry, IdleTimeoutInferred || Idle >= this->IdleLimit);
}

void TargetChannel::remove(const LinkEntry &Entry) {
  this->NextCheck = {};
  std::erase_if(this->Links, [&](const Ref<LinkEntry> &Item) {
    return Item.get() == &Entry;
  });
}

void TargetChannel::onLinkLost(const LinkEntry &Entry, bool Expected) {
  const Ref<TargetChannel> Self(this);
  this->remove(Entry);
  // After a request was broken, a close is no idle timeout: the target may have
  // crashed.
  const bool MayBeCrash = !Expected || steadyNow() - this->RequestBrokenAt <
                                           this->Times.CrashSpread;
  // A crash breaks all connections at once. If others are still open, the
  // target has closed only this one.
  if (MayBeCrash && this->openLinks() == 0)
    this->onAllLinksLost();
  else
    this->dispatch();
}

void TargetChannel::observe(LinkCall &Call,
                            const Expected<HttpResponse> &Result,
                            TimePoint Now) {
  if (isMalformed(Result))
    logEvent(LogLevel::Warning, "target-answer-malformed",
             {{"target", this->Target->Info.Id.Text},
              {"service", this->Target->Info.Service.Text},
              {"detail", Result.error().Detail}});
  if (isDiscarded(Result))
    return;
  if (!Result) {
    this->Target->observeFailure(Now);
    return;
  }
  this->Protocol.readLoad(*Result, *this->Target, Now);
  this->observeRequestLimit(*Result, Now);
  this->observeDeparture(*Result);
  this->observePause(*Result, Now);
  if (const std::optional<Duration> Stated = advertisedIdleTimeout(*Result)) {
    this->IdleLimit = std::max(*Stated - this->Times.IdleMargin, *Stated / 2);
    this->IdleTimeoutAdvertised = true;
  }
  if (Result->Status / 100 != 2) {
    this->Target->observeFailure(Now);
    return;
  }
  const Duration Latency = Now - Call.SentAt;
  this->Target->observe(Latency, Call.Stats->Median.value(), Now);
  Call.Stats->Median.observe(Latency);
  Call.Stats->HedgeDelay.observe(Latency);
}

void TargetChannel::observeRequestLimit(const HttpResponse &Response,
                                        TimePoint Now) {
  if (!this->Protocol.readRequestLimit(Response, *this->Target, Now))
    return;
  if (const std::optional<double> Limit = this->Target->requestLimit())
    logEvent(LogLevel::Info, "target-limited",
             {{"target", this->Target->Info.Id.Text},
              {"service", this->Target->Info.Service.Text},
              {"per_second", *Limit}});
  else
    logEvent(LogLevel::Info, "target-limit-ended",
             {{"target", this->Target->Info.Id.Text},
              {"service", this->Target->Info.Service.Text}});
}

void TargetChannel::observeDeparture(const HttpResponse &Response) {
  if (this->Protocol.announcesDeparture(Response) &&
      this->Target->noteDeparture())
    logEvent(LogLevel::Info, "target-leaving",
             {{"target", this->Target->Info.Id.Text}, {"source", "answer"}});
}

void TargetChannel::observePause(const HttpResponse &Response, TimePoint Now) {
  const std::optional<Duration> Pause = this->Protocol.requestedPause(Response);
  if (!Pause)
    return;
  this->Target->pauseUntil(Now + *Pause);
  logEvent(LogLevel::Info, "target-paused",
           {{"target", this->Target->Info.Id.Text},
            {"service", this->Target->Info.Service.Text},
            {"pause", *Pause}});
}

void TargetChannel::endCall(LinkCall &Call, Expected<HttpResponse> Result) {
  this->Target->ended();
  if (Call.Late)
    this->Target->lateEnded();
  Call.Late = false;
  // The handler may drop the last other reference to the call.
  const auto Handler = std::exchange(Call.OnEnd, nullptr);
  Call.OnSent = nullptr;
  if (Handler)
    Handler(std::move(Result), Call.Sent);
}

void TargetChannel::onAnswer(const Ref<LinkEntry> &Entry,
                             Expected<HttpResponse> Result) {
  const Ref<TargetChannel> Self(this);
  const Ref<LinkCall> Call = std::move(Entry->Running);
  this->NextCheck = {};
  this->observe(*Call, Result, steadyNow());
  // The target is not there any more, or not yet known under its new id.
  if (Result && Result->Status == MisdirectedStatus)
    this->suspect();
  const bool Alive = Entry->Link->isOpen();
  // A malformed answer ends the connection from this side: its target lives.
  const bool Malformed = isMalformed(Result);
  const bool Broken = !Result && !Malformed && !isDiscarded(Result);
  if (!Alive) {
    this->remove(*Entry);
    if (Broken)
      this->RequestBrokenAt = steadyNow();
    if (Broken && this->openLinks() == 0)
      this->onAllLinksLost();
    else if (Malformed && this->openLinks() == 0)
      this->suspect();
  }
  this->endCall(*Call, std::move(Result));
  this->dispatch();
}

void TargetChannel::withdraw(LinkCall &Call) {
  if (Call.Sent || !Call.Hook.is_linked())
    return;
  Call.detach();
  this->Waiting.erase(this->Waiting.iterator_to(Call));
  this->Target->ended();
  Ref<LinkCall> Released(&Call, false);
}

void TargetChannel::abort(LinkCall &Call) {
  Call.detach();
  if (!Call.Sent) {
    this->withdraw(Call);
    return;
  }
  for (const Ref<LinkEntry> &Entry : this->Links) {
    if (Entry->Running.get() != &Call)
      continue;
    const Ref<LinkEntry> Held = Entry;
    const Ref<LinkCall> Ended = std::move(Held->Running);
    Held->Link->close();
    this->remove(*Held);
    this->endCall(*Ended, fail(Code::Cancelled, "the call was cancelled"));
    this->dispatch();
    return;
  }
}

void TargetChannel::failWaiting() {
  while (!this->Waiting.empty()) {
    const Ref<LinkCall> Call(&this->Waiting.front(), false);
    this->Waiting.pop_front();
    this->endCall(*Call,
                  fail(Code::PeerUnreachable, "no connection to the target"));
  }
}

void TargetChannel::onAllLinksLost() {
  const TimePoint Now = steadyNow();
  // Connections that cannot be opened afterwards are no further loss.
  if (this->Target->reach() == Reach::Up || this->Retired) {
    this->Target->noteLoss(Now);
    logEvent(LogLevel::Info, "target-lost",
             {{"target", this->Target->Info.Id.Text},
              {"service", this->Target->Info.Service.Text},
              {"request_broken",
               Now - this->RequestBrokenAt < this->Times.CrashSpread}});
  }
  this->suspect();
}

void TargetChannel::suspect() {
  if (this->Target->reach() != Reach::Up || this->Retired) {
    this->failWaiting();
    return;
  }
  this->Target->setReach(Reach::Suspect);
  this->ProbePause = this->Times.MinProbePause;
  logEvent(LogLevel::Info, "target-suspect",
           {{"target", this->Target->Info.Id.Text},
            {"service", this->Target->Info.Service.Text}});
  // tick() starts the check of a paused target when the pause is over.
  this->NextProbe = {};
  if (!this->Target->isPaused(steadyNow()))
    this->probe();
}

void TargetChannel::probe() {
  const TimePoint Now = steadyNow();
  this->ProbeDeadline = Now + this->Times.ProbeTimeout;
  // A check that is already running may have been answered before the
  // connections broke, so it is replaced.
  if (this->ProbeLink)
    this->ProbeLink->close();
  this->ProbeLink = makeRef<HttpLink>(this->Context, this->Answers);
  Ref<TargetChannel> Self(this);
  const Ref<HttpLink> Link = this->ProbeLink;
  Link->open(this->Target->Info.Address, this->Times.ProbeTimeout,
             [Self, Link](const Expected<void> &Result) {
               if (!Result) {
                 Self->onProbe(tl::unexpected(Result.error()));
                 return;
               }
               Link->send(Self->Protocol.healthRequest(Self->Target->Info,
                                                       Self->HealthPath),
                          true, [Self](Expected<HttpResponse> Answer) {
                            Self->onProbe(std::move(Answer));
                          });
             });
}

void TargetChannel::onProbe(Expected<HttpResponse> Result) {
  const TimePoint Now = steadyNow();
  const Ref<HttpLink> Link = std::exchange(this->ProbeLink, nullptr);
  if (!Result) {
    Link->close();
    this->probeFailed();
    return;
  }
  const std::string_view Id = this->Protocol.targetId(*Result);
  if (!Id.empty() && Id != this->Target->Info.Id.Text) {
    // Another target has taken over the address; a later view will reflect
    // that.
    Link->close();
    this->probeFailed();
    return;
  }
  this->observePause(*Result, Now);
  // A target at its limit rejects the health request without stating its id or
  // warm-up state.
  if (Id.empty()) {
    Link->close();
    logEvent(LogLevel::Info, "target-check-rejected",
             {{"target", this->Target->Info.Id.Text},
              {"status", std::int64_t(Result->Status)}});
    this->NextProbe = Now + this->ProbePause;
    return;
  }
  this->observeDeparture(*Result);
  const Duration Cold = this->Protocol.remainingWarmup(*Result);
  if (Cold > Duration::zero())
    this->Target->setColdUntil(Now + Cold);
  this->Target->setReach(Reach::Up);
  logEvent(LogLevel::Info, "target-reached",
           {{"target", this->Target->Info.Id.Text}, {"cold", Cold}});
  if (Link->isOpen() && !this->Retired &&
      this->Links.size() < this->Limit.Max) {
    auto Entry = makeRef<LinkEntry>();
    Entry->Link = Link;
    Entry->Opening = false;
    Entry->OpenedAt = Now;
    this->Links.push_back(Entry);
    Ref<TargetChannel> Self(this);
    Link->onIdleClose(
        [Self, Entry] { Self->onIdleClose(*Entry, steadyNow()); });
  } else {
    Link->close();
  }
  this->dispatch();
}

void TargetChannel::probeFailed() {
  if (this->Target->reach() != Reach::Down)
    logEvent(LogLevel::Warning, "target-unreachable",
             {{"target", this->Target->Info.Id.Text},
              {"service", this->Target->Info.Service.Text}});
  this->Target->setReach(Reach::Down);
  this->NextProbe = steadyNow() + this->ProbePause;
  this->ProbePause = std::min(2 * this->ProbePause, this->Times.MaxProbePause);
  this->failWaiting();
}

void TargetChannel::tick(TimePoint Now) {
  const Ref<TargetChannel> Self(this);
  if (this->ProbeLink && Now >= this->ProbeDeadline) {
    std::exchange(this->ProbeLink, nullptr)->close();
    this->probeFailed();
  }
  if (!this->Retired && !this->ProbeLink &&
      this->Target->reach() != Reach::Up && Now >= this->NextProbe &&
      !this->Target->isPaused(Now))
    this->probe();

  const Duration MaxIdle = this->maxIdle();
  const std::vector<Ref<LinkEntry>> Current = this->Links;
  for (const Ref<LinkEntry> &Entry : Current) {
    if (Entry->Running &&
        Now > Entry->Running->Deadline + this->Times.AnswerGrace) {
      Entry->Link->close();
      this->onAnswer(Entry, fail(Code::DeadlineExceeded,
                                 "no response before the deadline"));
    } else if (!Entry->Opening && !Entry->Running &&
               (this->Retired || Now - Entry->Link->idleSince() >= MaxIdle)) {
      Entry->Link->close();
      this->remove(*Entry);
    }
  }
  this->scheduleCheck(Now);
}

bool TargetChannel::preopen() {
  return this->Target->reach() == Reach::Up &&
         this->Links.size() < this->Limit.Preopened && this->openLink();
}

Duration TargetChannel::maxIdle() const {
  return this->Target->preferred()
             ? this->IdleLimit
             : std::min(this->IdleLimit, this->Times.SpareIdleLimit);
}

void TargetChannel::scheduleCheck(TimePoint Now) {
  this->NextCheck = TimePoint::max();
  if (this->Links.size() < this->Limit.Preopened)
    this->NextCheck = Now;
  for (const Ref<LinkEntry> &Entry : this->Links) {
    if (Entry->Running)
      this->NextCheck = std::min(this->NextCheck, Entry->Running->Deadline +
                                                      this->Times.AnswerGrace);
    else if (!Entry->Opening)
      this->NextCheck =
          std::min(this->NextCheck, Entry->Link->idleSince() + this->maxIdle());
  }
}

void TargetChannel::retire() {
  this->Retired = true;
  if (this->ProbeLink)
    std::exchange(this->ProbeLink, nullptr)->close();
  this->failWaiting();
}

void TargetChannel::resume() {
  if (!this->Retired)
    return;
  this->Retired = false;
  // The target may have become cold while the channel was retired.
  this->suspect();
}

template <typename Filter>
std::vector<Ref<TargetChannel>> TargetChannels::channels(Filter Wanted) const {
  std::vector<Ref<TargetChannel>> Result;
  for (const auto &[Target, Channel] : this->Channels)
    if (Wanted(*Channel))
      Result.push_back(Channel);
  return Result;
}

void TargetChannels::setView(const Ref<const FleetView> &Next) {
  if (Next == this->View)
    return;
  this->View = Next;
  this->applyView();
}

void TargetChannels::applyView() {
  const TimePoint Now = steadyNow();
  std::unordered_set<const KnownTarget *> Listed;
  for (ServiceNumber At = 0; At < this->View->Services.size(); ++At)
    for (const Ref<KnownTarget> &Target : this->View->Services[At].Targets) {
      Listed.insert(Target.get());
      Ref<TargetChannel> &Entry = this->Channels[Target.get()];
      if (!Entry)
        Entry = makeRef<TargetChannel>(this->Context, Target, this->Protocol,
                                       this->Answers);
      const Ref<TargetChannel> Channel = Entry;
      Channel->configure(this->View->connectionQuota(At, Target->preferred(),
                                                     this->Threads,
                                                     Now - this->Started),
                         this->View->Config->Services[At].HealthPath);
      Channel->resume();
      Channel->tick(Now);
    }
  for (const Ref<TargetChannel> &Channel :
       this->channels([&Listed](const TargetChannel &Item) {
         return !Listed.contains(&Item.target());
       }))
    Channel->retire();
}

TargetChannel &TargetChannels::channelFor(KnownTarget &Target) {
  Ref<TargetChannel> &Channel = this->Channels[&Target];
  if (!Channel) {
    Channel = makeRef<TargetChannel>(this->Context, Ref<KnownTarget>(&Target),
                                     this->Protocol, this->Answers);
    Channel->retire();
  }
  return *Channel;
}

void TargetChannels::tick(TimePoint Now) {
  if (!this->FormerLinksExpired && this->View &&
      Now - this->Started >= TargetIdleTimeout) {
    this->FormerLinksExpired = true;
    this->applyView();
  }
  std::size_t Preopened = 0;
  for (const Ref<TargetChannel> &Channel : this->channels(
           [Now](const TargetChannel &Item) { return Item.isDue(Now); })) {
    Channel->tick(Now);
    if (Preopened < MaxPreopensPerTick && Channel->preopen())
      ++Preopened;
    if (Channel->isRetired() && Channel->isIdle())
      this->Channels.erase(&Channel->target());
  }
}

} // namespace balsamyard
