#include "balsamyard/src/Process/StoreReader.h"

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <asio/post.hpp>
#include <random>
#include <utility>

namespace balsamyard {

namespace {

/// Checks are spread over this part of their interval.
constexpr int CheckSpreadDivisor = 4;

/// A lost answer may hold a configuration as well as a departure.
Duration checkInterval(const FleetBounds &Bounds) {
  return DepartureTimes(std::min(Bounds.DrainTime, Bounds.ConfigurationTime))
      .CheckInterval;
}

Duration watchDelay(ObjectKind Kind) {
  return Kind == ObjectKind::Targets ? StoreReader::TargetWatchDelay
                                     : Duration::zero();
}

} // namespace

StoreReader::Feed::Feed(asio::io_context &Context, ObjectKind Kind,
                        const Endpoint &Store, const DepartureTimes &Departure)
    : Kind(Kind), State(watchDelay(Kind), Departure.ReadPause),
      Channel(Context, Store), Timer(Context) {}

StoreReader::StoreReader(asio::io_context &Context,
                         const NodeSettings &Settings,
                         const PlatformAdapter &Adapter, Handlers Events)
    : Context(Context), Store(Settings.Store),
      Departure(Settings.Bounds.DrainTime),
      CheckInterval(checkInterval(Settings.Bounds)), Adapter(Adapter),
      Events(std::move(Events)), Probe(std::random_device()()),
      ProbeChannel(Context, Settings.Store), ProbeTimer(Context),
      CheckTimer(Context), Random(std::random_device()()) {}

StoreReader::~StoreReader() { this->stop(); }

void StoreReader::start(const ObjectCache &Known) {
  for (const ObjectKind Kind : {ObjectKind::Configuration, ObjectKind::Targets,
                                ObjectKind::Evacuations, ObjectKind::Moves})
    this->Feeds.push_back(std::make_unique<Feed>(this->Context, Kind,
                                                 this->Store, this->Departure));
  for (const std::unique_ptr<Feed> &Item : this->Feeds) {
    const std::optional<StoreRevision> Since = Known.asOf(Item->Kind);
    this->Era = std::max(this->Era, Since.value_or(StoreRevision{}).Era);
    Item->Listed = Since.has_value();
    this->handle(*Item, FeedStarted{Since});
  }
  this->Events.OnConnection();
  this->scheduleCheck();
}

void StoreReader::stop() {
  this->CheckTimer.cancel();
  this->Checking = false;
  for (const std::unique_ptr<Feed> &Item : this->Feeds) {
    Item->Stopped = true;
    Item->Channel.cancel();
    Item->Timer.cancel();
  }
  // Handlers of timers that have expired already still run. They precede this
  // one.
  if (!this->Feeds.empty())
    asio::post(this->Context, [Former = std::exchange(this->Feeds, {})] {});
  this->ProbeChannel.cancel();
  this->ProbeTimer.cancel();
  this->Probe.abandon();
}

void StoreReader::reload(const NodeSettings &Next) {
  this->Departure = DepartureTimes(Next.Bounds.DrainTime);
  this->CheckInterval = checkInterval(Next.Bounds);
  this->Store = Next.Store;
  this->ProbeChannel.setStore(this->Store);
  for (const std::unique_ptr<Feed> &Item : this->Feeds)
    Item->Channel.setStore(this->Store);
}

bool StoreReader::isConnected() const {
  return !this->Feeds.empty() && !this->Probe.isLost() &&
         std::all_of(this->Feeds.begin(), this->Feeds.end(),
                     [](const auto &Item) { return Item->Listed; });
}

void StoreReader::handle(Feed &From, FeedInput Input) {
  FeedOutputs Outputs;
  const bool Failed = std::holds_alternative<FeedCallFailed>(Input);
  From.State.handle(std::move(Input), Outputs);
  if (Failed)
    if (const std::optional<Duration> Pause =
            this->Probe.callFailed(steadyNow())) {
      this->scheduleProbe(*Pause);
      this->Events.OnConnection();
    }
  for (FeedOutput &Output : Outputs)
    std::visit([&](auto &Alternative) { this->on(From, Alternative); }, Output);
}

void StoreReader::on(Feed &From, const ListObjects &Output) {
  From.Channel.call(
      this->Adapter.ListCall(From.Kind, Output.After),
      StoreChannel::CallTimeout, [this, &From](Expected<HttpResponse> Result) {
        this->handle(From, Result ? this->Adapter.ReadPage(*Result)
                                  : FeedInput(FeedCallFailed{Result.error()}));
      });
}

void StoreReader::on(Feed &From, const WatchObjects &Output) {
  From.Channel.call(
      this->Adapter.WatchCall(From.Kind, Output.Since, WatchWait),
      WatchWait + StoreChannel::CallTimeout,
      [this, &From](Expected<HttpResponse> Result) {
        this->handle(From, Result ? this->Adapter.ReadEvents(*Result)
                                  : FeedInput(FeedCallFailed{Result.error()}));
      });
}

void StoreReader::on(Feed &From, const StartFeedTimer &Output) {
  From.Timer.expires_after(Output.After);
  From.Timer.async_wait([this, &From](const asio::error_code &Cancelled) {
    if (Cancelled || From.Stopped)
      return;
    if (this->Probe.isLost())
      From.Waiting = true;
    else
      this->handle(From, FeedTimerExpired{});
  });
}

void StoreReader::noteEra(std::uint64_t Next) {
  if (Next <= this->Era)
    return;
  this->Era = Next;
  for (const std::unique_ptr<Feed> &Item : this->Feeds)
    if (Item->State.era() < Next)
      this->relist(*Item);
}

void StoreReader::relist(Feed &Expired) {
  Expired.Channel.cancel();
  Expired.Timer.cancel();
  Expired.Waiting = false;
  this->handle(Expired, FeedHistoryExpired{});
}

std::optional<StoreRevision>
StoreReader::revisionOf(const HttpResponse &Listed) const {
  const FeedInput Read = this->Adapter.ReadPage(Listed);
  const auto *Page = std::get_if<FeedPage>(&Read);
  return Page == nullptr ? std::nullopt : std::optional(Page->AsOf);
}

void StoreReader::on(Feed &From, FeedListed &Output) {
  KindUpdate Update;
  Update.Kind = From.Kind;
  Update.Complete = true;
  Update.AsOf = Output.AsOf;
  for (StoredObject &Object : Output.Objects)
    Update.Changes.push_back({std::move(Object), false});
  this->Events.OnUpdate(std::move(Update));
  if (!std::exchange(From.Listed, true))
    this->Events.OnConnection();
}

void StoreReader::on(Feed &From, FeedChanged &Output) {
  KindUpdate Update;
  Update.Kind = From.Kind;
  Update.AsOf = Output.AsOf;
  Update.Changes = std::move(Output.Changes);
  this->Events.OnUpdate(std::move(Update));
}

void StoreReader::on(Feed &From, const FeedDisconnected &Output) {
  logEvent(LogLevel::Warning, "store-lost",
           {{"kind", std::string(name(From.Kind))},
            {"code", Output.Cause.Value},
            {"detail", Output.Cause.Detail}});
}

void StoreReader::on(Feed &From, const FeedReconnected &) {
  logEvent(LogLevel::Info, "store-regained",
           {{"kind", std::string(name(From.Kind))}});
}

void StoreReader::scheduleCheck() {
  this->Checking = false;
  // The reader whose time comes first checks the store; the others are told
  // before their time has come.
  const Duration Spread = this->CheckInterval / CheckSpreadDivisor;
  this->CheckTimer.expires_after(
      this->CheckInterval -
      Duration(
          this->Random.below(static_cast<std::uint32_t>(Spread.count()) + 1)));
  this->CheckTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->check();
  });
}

void StoreReader::check() {
  if (this->Feeds.empty())
    return;
  // While the store is lost, the probe asks it.
  if (this->Probe.isLost()) {
    this->scheduleCheck();
    return;
  }
  this->Checking = true;
  // A stale read may lag behind the changes that were lost.
  this->ProbeChannel.call(
      this->Adapter.ListCall(ObjectKind::Evacuations, {}), CheckTimeout,
      [this](const Expected<HttpResponse> &Result) {
        if (!hasSuccessStatus(Result)) {
          this->onCheckFailed(
              Error{Code::PlatformUnavailable, describeResult(Result)});
          return;
        }
        const std::optional<StoreRevision> Current = this->revisionOf(*Result);
        if (!Current) {
          this->scheduleCheck();
          return;
        }
        this->noteEra(Current->Era);
        RequiredRevisions Required;
        for (const std::unique_ptr<Feed> &Item : this->Feeds)
          Required[Item->Kind] = *Current;
        this->checkFeeds(Required, 0,
                         [this, Current] { this->reportProgress(*Current); });
      });
}

void StoreReader::checkFeeds(const RequiredRevisions &Required,
                             std::size_t Next,
                             const std::function<void()> &Done) {
  const auto IsBehind = [&](const Feed &Item) {
    const auto Found = Required.find(Item.Kind);
    return Found != Required.end() && Item.State.isBehind(Found->second);
  };
  while (Next < this->Feeds.size() && !IsBehind(*this->Feeds[Next]))
    ++Next;
  if (Next >= this->Feeds.size()) {
    Done();
    this->scheduleCheck();
    return;
  }
  Feed &Checked = *this->Feeds[Next];
  this->ProbeChannel.call(
      this->Adapter.WatchCall(Checked.Kind, Checked.State.since(),
                              Duration::zero()),
      CheckTimeout,
      [this, &Checked, Required, Next,
       Done](const Expected<HttpResponse> &Result) {
        if (!Result) {
          this->onCheckFailed(Result.error());
          return;
        }
        this->onFeedChecked(Checked, this->Adapter.ReadEvents(*Result));
        this->checkFeeds(Required, Next + 1, Done);
      });
}

void StoreReader::onCheckFailed(const Error &Cause) {
  this->restartSilentFeeds(Cause);
  this->scheduleCheck();
}

void StoreReader::reportProgress(StoreRevision Current) {
  StoreProgress Progress{Current, {}};
  for (const std::unique_ptr<Feed> &Item : this->Feeds) {
    if (!Item->State.isUpTo(Current))
      return;
    Progress.Changed[Item->Kind] = Item->State.changedAt();
  }
  this->Events.OnChecked(Progress);
}

void StoreReader::noteProgress(const StoreProgress &Other) {
  // The own check that is under way shows as much, and so does a store that is
  // back.
  if (this->Feeds.empty() || this->Checking || this->Probe.isLost())
    return;
  this->noteEra(Other.ReadUpTo.Era);
  this->Checking = true;
  this->CheckTimer.cancel();
  this->checkFeeds(Other.Changed, 0, [] {});
}

void StoreReader::onFeedChecked(Feed &Checked, FeedInput Read) {
  if (std::holds_alternative<FeedHistoryExpired>(Read)) {
    this->relist(Checked);
    return;
  }
  auto *Events = std::get_if<FeedEvents>(&Read);
  if (Events == nullptr)
    return;
  this->noteEra(Events->AsOf.Era);
  if (!Events->Changes.empty() && Checked.State.isBehind(Events->AsOf))
    logEvent(
        LogLevel::Warning, "store-answer-overtaken",
        {{"kind", std::string(name(Checked.Kind))},
         {"changes", static_cast<std::int64_t>(Events->Changes.size())},
         {"since", static_cast<std::int64_t>(Checked.State.since().Number)},
         {"as_of", static_cast<std::int64_t>(Events->AsOf.Number)}});
  this->handle(Checked, FeedChecked{std::move(Events->Changes), Events->AsOf});
}

void StoreReader::restartSilentFeeds(const Error &Cause) {
  // Connections on which the store fell silent may stay so after its return.
  for (const std::unique_ptr<Feed> &Item : this->Feeds) {
    Item->Channel.cancel();
    this->handle(*Item, FeedCallFailed{Cause});
  }
}

void StoreReader::scheduleProbe(Duration After) {
  this->ProbeTimer.expires_after(After);
  this->ProbeTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->probe();
  });
}

void StoreReader::probe() {
  if (!this->Probe.isLost())
    return;
  this->ProbeChannel.call(
      this->Adapter.StaleListCall(ObjectKind::Evacuations, {}),
      StoreChannel::CallTimeout,
      [this](const Expected<HttpResponse> &Result) { this->onProbe(Result); });
}

void StoreReader::onProbe(const Expected<HttpResponse> &Result) {
  if (!Result || Result->Status / 100 != 2) {
    this->scheduleProbe(this->Probe.probeFailed());
    return;
  }
  this->Probe.probeSucceeded(steadyNow());
  logEvent(LogLevel::Info, "store-answers", {});
  // A check that was under way when the store was lost has been replaced.
  this->scheduleCheck();
  if (const std::optional<StoreRevision> Current = this->revisionOf(*Result))
    this->noteEra(Current->Era);
  this->Events.OnConnection();
  for (const std::unique_ptr<Feed> &Item : this->Feeds)
    if (std::exchange(Item->Waiting, false))
      this->handle(*Item, FeedTimerExpired{});
}

} // namespace balsamyard
