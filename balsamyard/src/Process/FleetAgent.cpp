#include "balsamyard/src/Process/FleetAgent.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Process/ResourceLimits.h"

#include <algorithm>
#include <array>
#include <random>

namespace balsamyard {

namespace {

/// Kinds without which requests could be sent where they must not go, for
/// example to evacuated targets.
constexpr std::array RequiredKinds = {
    ObjectKind::Configuration, ObjectKind::Targets, ObjectKind::Evacuations,
    ObjectKind::Moves};

/// Maximum number of crash records in one report. Losing many targets at once
/// breaks many requests, and the store has the other records.
constexpr std::size_t MaxCrashBatch = 8;

/// Source of updates that this node has read itself, in the log.
constexpr const char *StoreSource = "store";

} // namespace

FleetAgent::FleetAgent(asio::io_context &Context, const NodeSettings &Settings,
                       const PlatformAdapter &Adapter, RcuCell<FleetView> &View,
                       std::function<void()> OnPublished)
    : Settings(Settings), Adapter(Adapter), View(View),
      OnPublished(std::move(OnPublished)), Fleet(Settings),
      Source(peerNode(Settings), std::random_device()()),
      Reader(Context, Settings, Adapter,
             {[this](KindUpdate Update) {
                this->onUpdate(std::move(Update), StoreSource);
              },
              [this] { this->onStoreConnection(); },
              [this](const StoreProgress &Progress) { this->tell(Progress); }}),
      Subscription(
          Context,
          {[this](KindUpdate Update) {
             const std::optional<PeerNode> Peer = this->Source.followed();
             this->onUpdate(std::move(Update), Peer ? Peer->Node.Text : "");
           },
           [this](const FeedSourceState &State) { this->onPeerState(State); },
           [this](const TargetReport &Report) { this->applyReport(Report); },
           [this] { this->handle(PeerLost{}); }}),
      Relay(Context, this->Objects,
            {[this](const TargetReport &Report) { this->onReport(Report); },
             [this](const StoreProgress &Progress) {
               this->Reader.noteProgress(Progress);
             }}),
      Moves(Context, Settings, Adapter, this->Fleet,
            {[this] { this->scheduleUpdate(); },
             [this] { return this->readsStore(); },
             [this] { return this->rank(); }}),
      Crashes(Context, Settings, Adapter, this->Fleet,
              {[this] { this->scheduleUpdate(); },
               [this](KindUpdate Update) {
                 this->onUpdate(std::move(Update), StoreSource);
               },
               [this](const CrashRecord &Record) { this->tell(Record); },
               [this] { return this->readsStore(); }}),
      Registry(Context, Settings, Adapter, this->Fleet,
               {[this](KindUpdate Update) {
                  this->onUpdate(std::move(Update), StoreSource);
                },
                [this](std::vector<PeerNode> Nodes) {
                  this->setPeers(std::move(Nodes));
                },
                [this] { return this->readsStore(); }}),
      SourceTimer(Context), ScanTimer(Context), UpdateTimer(Context) {}

void FleetAgent::start() {
  // Without an address for other nodes, there is nothing to follow.
  if (this->Settings.Peers.Port == 0)
    this->on(ReadStore{});
  this->scanTargets();
  this->Registry.start();
  this->Crashes.start();
}

void FleetAgent::reload(const NodeSettings &Next) {
  this->Reader.reload(Next);
  this->Registry.reload(Next);
  this->Moves.reload(Next);
  this->Crashes.reload(Next);
  this->Fleet.setBounds(Next.Bounds);
  this->scheduleUpdate();
}

std::uint32_t FleetAgent::rank() const {
  return this->Settings.Peers.Port == 0 ? this->Fleet.rank()
                                        : this->Source.rank();
}

void FleetAgent::setPeers(std::vector<PeerNode> Nodes) {
  if (this->Settings.Peers.Port == 0)
    return;
  // Entries of releases that do not listen for other nodes have no address.
  std::erase_if(Nodes, [this](const PeerNode &Node) {
    return Node.Peers.Port == 0 && Node.Node != this->Settings.Node;
  });
  this->handle(PeersListed{std::move(Nodes)});
  if (!this->Source.isReader() || this->Relay.isListening())
    return;
  const Expected<void> Listening = this->Relay.listen(
      this->Settings.Peers, divideResources(this->Settings).PeerConnections);
  if (!Listening)
    logEvent(LogLevel::Error, "feed-relay-not-listening",
             {{"code", Listening.error().Value},
              {"detail", Listening.error().Detail}});
}

void FleetAgent::ReportQueues::add(const TargetReport &Report, TimePoint Now) {
  for (const TargetId &Target : Report.Slow)
    this->Slow.add(Target, Now);
  for (const TargetId &Target : Report.Unlimited)
    this->Unlimited.add(Target, Now);
  for (const CrashRecord &Record : Report.Crashes)
    if (this->Crashes.size() < TargetReports::MaxWaiting)
      this->Crashes[crashRecordName(Record)] = Record;
}

TargetReport FleetAgent::ReportQueues::take(bool Forwarded, TimePoint Now) {
  TargetReport Result{this->Slow.take(Now), this->Unlimited.take(Now),
                      Forwarded};
  while (!this->Crashes.empty() && Result.Crashes.size() < MaxCrashBatch)
    Result.Crashes.push_back(
        std::move(this->Crashes.extract(this->Crashes.begin()).mapped()));
  return Result;
}

void FleetAgent::scanTargets() {
  this->Fleet.applyDepartures();
  this->applyLostObjects();
  this->scheduleUpdate();
  if (this->Settings.Peers.Port != 0)
    this->exchangeReports();
  this->ScanTimer.expires_after(TargetReports::SendInterval);
  this->ScanTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->scanTargets();
  });
}

void FleetAgent::exchangeReports() {
  const TimePoint Now = steadyNow();
  const TimePoint Confirmed = Now - Discovery::LimitEndConfirmation;
  this->OwnReports.add(
      {this->Fleet.slowTargets(this->ReportsScannedAt),
       this->Fleet.endedLimits(
           this->ReportsScannedAt - Discovery::LimitEndConfirmation, Confirmed),
       false},
      Now);
  this->ReportsScannedAt = Now;
  const TargetReport Own = this->OwnReports.take(false, Now);
  const TargetReport Forwarded = this->ForwardedReports.take(true, Now);
  if (const std::optional<PeerNode> Peer = this->Source.followed()) {
    if (!Own.empty())
      this->Subscription.report(Peer->Peers, Own);
  } else if (this->Source.isReader()) {
    for (const TargetReport &Report : {Own, Forwarded})
      if (!Report.empty())
        this->Relay.sendReport(Report);
    for (const PeerNode &Reader : this->Source.readers()) {
      // Whether a target is slow depends on where it is called from.
      const bool IsNear = Reader.Domain == this->Settings.Domain;
      const TargetReport Report{IsNear ? Own.Slow : std::vector<TargetId>{},
                                Own.Unlimited, true, Own.Crashes};
      if (!Report.empty())
        this->Subscription.report(Reader.Peers, Report);
    }
  }
}

void FleetAgent::tell(const StoreProgress &Progress) {
  if (!this->Source.isReader())
    return;
  for (const PeerNode &Other : this->Source.readers())
    this->Subscription.tell(Other.Peers, Progress);
}

void FleetAgent::applyReport(const TargetReport &Report) {
  this->Fleet.reportSlow(Report.Slow, steadyNow());
  this->Fleet.reportEndedLimits(Report.Unlimited);
  for (const CrashRecord &Record : Report.Crashes)
    this->Crashes.hear(Record);
}

void FleetAgent::tell(const CrashRecord &Record) {
  if (this->Settings.Peers.Port != 0)
    this->OwnReports.add({{}, {}, false, {Record}}, steadyNow());
}

void FleetAgent::onReport(const TargetReport &Report) {
  this->applyReport(Report);
  (Report.Forwarded ? this->ForwardedReports : this->OwnReports)
      .add(Report, steadyNow());
}

void FleetAgent::handle(const FeedSourceEvent &Event) {
  for (const FeedSourceEffect &Effect : this->Source.handle(Event, steadyNow()))
    std::visit([this](const auto &Body) { this->on(Body); }, Effect);
}

void FleetAgent::on(const ReadStore &) {
  logEvent(LogLevel::Info, "store-reading", {});
  this->ReadingStore.store(true, std::memory_order_relaxed);
  this->Reader.start(this->Objects);
  this->Crashes.refresh();
}

void FleetAgent::on(const LeaveStore &) {
  logEvent(LogLevel::Info, "store-left", {});
  this->ReadingStore.store(false, std::memory_order_relaxed);
  this->Reader.stop();
  this->Relay.setState(false, this->Reader.storeReturnedAt());
}

void FleetAgent::on(const FollowPeer &Effect) {
  logEvent(LogLevel::Info, "peer-followed", {{"peer", Effect.To.Node.Text}});
  FeedRequest Request;
  Request.Node = this->Settings.Node;
  for (const ObjectKind Kind : RelayedKinds)
    if (const std::optional<StoreRevision> AsOf = this->Objects.asOf(Kind))
      Request.Known[Kind] = *AsOf;
  this->Subscription.open(Effect.To.Peers, Request);
}

void FleetAgent::on(const LeavePeer &) {
  logEvent(LogLevel::Info, "peer-left", {});
  this->Subscription.close();
}

void FleetAgent::on(const WakeFeedSource &Effect) {
  this->SourceTimer.expires_at(Effect.At);
  this->SourceTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->handle(FeedSourceTimeReached{});
  });
}

void FleetAgent::onPeerState(const FeedSourceState &State) {
  if (State.SinceStoreReturn)
    this->Fleet.markStoreReturned(steadyNow() - *State.SinceStoreReturn);
  this->handle(PeerReported{State.Connected});
}

void FleetAgent::onStoreConnection() {
  const std::optional<TimePoint> Returned = this->Reader.storeReturnedAt();
  if (Returned)
    this->Fleet.markStoreReturned(*Returned);
  if (this->Reader.isConnected())
    this->Crashes.refresh();
  this->Relay.setState(this->Reader.isConnected(), Returned);
}

void FleetAgent::dropHeartbeats(KindUpdate &Update) const {
  // A complete list says which objects are gone, so it stays whole.
  if (Update.Kind != ObjectKind::Targets || Update.Complete)
    return;
  const TimePoint Now = steadyNow();
  std::erase_if(Update.Changes, [&](const ObjectChange &Change) {
    if (Change.Removed)
      return false;
    const Expected<TargetAnnouncement> Read =
        this->Adapter.ReadTarget(Change.Object);
    return Read && this->Fleet.isCurrent(*Read, Now);
  });
}

void FleetAgent::onStoreRestored(std::uint64_t NextEra) {
  this->Era = NextEra;
  this->Reader.noteEra(NextEra);
  // A process that starts knows nothing of a former era.
  const bool KnowsFormerEra = std::any_of(
      RelayedKinds.begin(), RelayedKinds.end(),
      [this](ObjectKind Kind) { return this->Objects.asOf(Kind).has_value(); });
  if (!KnowsFormerEra)
    return;
  logEvent(LogLevel::Warning, "store-restored",
           {{"era", static_cast<std::int64_t>(NextEra)}});
  // Targets write again what the copy lacks, as after an outage.
  this->Fleet.markStoreReturned(steadyNow());
  this->Registry.onStoreRestored();
  this->Crashes.onStoreRestored();
}

void FleetAgent::applyLostObjects() {
  const TimePoint Now = steadyNow();
  std::erase_if(this->LostOrders, [&](const auto &Item) {
    if (Now < Item.second)
      return false;
    this->applyRemoval(Item.first.first, Item.first.second);
    return true;
  });
}

void FleetAgent::onUpdate(KindUpdate Update, const std::string &Source) {
  if (Update.AsOf.Era > this->Era)
    this->onStoreRestored(Update.AsOf.Era);
  const ObjectKind Kind = Update.Kind;
  const std::optional<StoreRevision> Former = this->Objects.asOf(Kind);
  const bool IsRestored = Former && Former->Era != Update.AsOf.Era;
  const std::size_t Received = Update.Changes.size();
  const bool Complete = Update.Complete;
  const StoreRevision AsOf = Update.AsOf;
  this->dropHeartbeats(Update);
  const std::vector<ObjectChange> Changes =
      this->Objects.update(std::move(Update));
  // Lists that change nothing come regularly.
  if (!Changes.empty() || (Received > 0 && !Complete))
    logEvent(LogLevel::Info, "objects-updated",
             {{"kind", std::string(name(Kind))},
              {"source", Source},
              {"complete", Complete},
              {"received", static_cast<std::int64_t>(Received)},
              {"applied", static_cast<std::int64_t>(Changes.size())},
              {"as_of", static_cast<std::int64_t>(AsOf.Number)},
              {"era", static_cast<std::int64_t>(AsOf.Era)}});
  for (const ObjectChange &Change : Changes) {
    const std::pair Key(Kind, Change.Object.Name);
    const bool IsOrder =
        Kind == ObjectKind::Evacuations || Kind == ObjectKind::Moves;
    if (IsRestored && IsOrder && Change.Removed) {
      this->LostOrders[Key] = steadyNow() + RewriteTime;
      continue;
    }
    this->LostOrders.erase(Key);
    this->apply(Kind, Change, IsRestored);
  }
  if (const auto Known = this->Objects.asOf(ObjectKind::Targets))
    this->Fleet.setTargetsAsOf(*Known);
  if (Kind == ObjectKind::Nodes)
    this->Registry.setEntries(this->Objects.objects(Kind));
  else if (Kind == ObjectKind::Crashes)
    this->Crashes.setRecords(this->Objects.objects(Kind));
  this->Relay.publish();
  this->scheduleUpdate();
}

bool FleetAgent::knowsAllKinds() const {
  return std::all_of(
      RequiredKinds.begin(), RequiredKinds.end(),
      [this](ObjectKind Kind) { return this->Objects.asOf(Kind).has_value(); });
}

void FleetAgent::apply(ObjectKind Kind, const ObjectChange &Change,
                       bool IsRestored) {
  if (Change.Removed) {
    this->applyRemoval(Kind, Change.Object.Name);
    return;
  }
  switch (Kind) {
  case ObjectKind::Configuration:
    this->applyConfiguration(Change.Object);
    return;
  case ObjectKind::Targets:
    this->applyTarget(Change.Object, IsRestored);
    return;
  case ObjectKind::Evacuations:
    this->Fleet.evacuate(DomainName{Change.Object.Name});
    return;
  case ObjectKind::Moves:
    this->applyMove(Change.Object);
    return;
  case ObjectKind::Nodes:
  case ObjectKind::MoveCounts:
  case ObjectKind::Crashes:
    return;
  }
}

void FleetAgent::applyRemoval(ObjectKind Kind, const std::string &Name) {
  switch (Kind) {
  case ObjectKind::Targets:
    this->Fleet.withdraw(TargetId{Name}, steadyNow());
    return;
  case ObjectKind::Evacuations:
    this->Fleet.endEvacuation(DomainName{Name});
    return;
  case ObjectKind::Moves:
    this->Moves.removeOrder(ServiceName{Name});
    return;
  case ObjectKind::Configuration: // Stays in force.
  case ObjectKind::Nodes:
  case ObjectKind::MoveCounts:
  case ObjectKind::Crashes:
    return;
  }
}

void FleetAgent::applyConfiguration(const StoredObject &Object) {
  Expected<Ref<const Configuration>> Read =
      this->Adapter.ReadConfiguration(Object);
  if (!Read) {
    logEvent(LogLevel::Error, "configuration-unreadable",
             {{"object", Object.Name},
              {"code", Read.error().Value},
              {"detail", Read.error().Detail}});
    return;
  }
  this->Fleet.configure(std::move(*Read), steadyNow());
}

void FleetAgent::applyTarget(const StoredObject &Object, bool IsRestored) {
  const Expected<TargetAnnouncement> Read = this->Adapter.ReadTarget(Object);
  if (!Read) {
    logEvent(LogLevel::Warning, "target-entry-unreadable",
             {{"object", Object.Name},
              {"code", Read.error().Value},
              {"detail", Read.error().Detail}});
    // The last readable entry is out of date.
    this->Fleet.withdraw(TargetId{Object.Name}, steadyNow());
    return;
  }
  if (IsRestored)
    this->Fleet.announceRestored(*Read, steadyNow());
  else
    this->Fleet.announce(*Read, steadyNow());
}

void FleetAgent::applyMove(const StoredObject &Object) {
  const Expected<MoveOrderUpdated> Read = this->Adapter.ReadMove(Object);
  if (!Read) {
    logEvent(LogLevel::Error, "move-order-unreadable",
             {{"object", Object.Name},
              {"code", Read.error().Value},
              {"detail", Read.error().Detail}});
    return;
  }
  this->Moves.updateOrder(*Read);
}

void FleetAgent::scheduleUpdate() {
  const TimePoint Now = steadyNow();
  TimePoint Next = TimePoint::max();
  if (this->Fleet.changed())
    Next = Now + PublishDelay;
  if (const std::optional<TimePoint> Due = this->Fleet.nextUpdate(Now))
    Next = std::min(Next, *Due);
  if (Next >= this->UpdateAt)
    return;
  this->UpdateAt = Next;
  this->UpdateTimer.expires_at(Next);
  this->UpdateTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->update();
  });
}

void FleetAgent::update() {
  this->UpdateAt = TimePoint::max();
  this->Fleet.update(steadyNow());
  if (this->Fleet.changed()) {
    const Ref<const FleetView> Next = this->Fleet.build();
    this->View.publish(Next);
    logEvent(
        LogLevel::Info, "view-published",
        {{"targets_as_of", static_cast<std::int64_t>(Next->TargetsAsOf.Number)},
         {"targets", static_cast<std::int64_t>(this->Fleet.targets())}});
    const bool CanServe = this->knowsAllKinds() && this->Fleet.canServe();
    if (CanServe != this->Ready.exchange(CanServe, std::memory_order_relaxed))
      logEvent(LogLevel::Info, CanServe ? "node-ready" : "node-not-ready",
               {{"targets", static_cast<std::int64_t>(this->Fleet.targets())}});
    this->OnPublished();
  }
  this->scheduleUpdate();
}

} // namespace balsamyard
