#include "balsamyard/src/Process/FleetAgent.h"

#include "balsamyard/src/Core/Log.h"

namespace balsamyard {

FleetAgent::FleetAgent(asio::io_context &Context, const NodeSettings &Settings,
                       const PlatformAdapter &Adapter, RcuCell<FleetView> &View,
                       std::function<void()> OnPublished)
    : Settings(Settings), Adapter(Adapter), View(View),
      OnPublished(std::move(OnPublished)), Fleet(Settings),
      Feeds{std::make_unique<Feed>(Context, ObjectKind::Configuration,
                                   Duration::zero(), Settings.Store),
            std::make_unique<Feed>(Context, ObjectKind::Targets,
                                   TargetWatchDelay, Settings.Store),
            std::make_unique<Feed>(Context, ObjectKind::Evacuations,
                                   Duration::zero(), Settings.Store),
            std::make_unique<Feed>(Context, ObjectKind::Moves, Duration::zero(),
                                   Settings.Store)},
      Moves(Context, Settings, Adapter, this->Fleet,
            [this] { this->scheduleUpdate(); }),
      Crashes(Context, Settings, Adapter, this->Fleet,
              [this] { this->scheduleUpdate(); }),
      Registry(Context, Settings, Adapter, this->Fleet,
               [this] { this->scheduleUpdate(); }),
      UpdateTimer(Context) {}

void FleetAgent::start() {
  for (const std::unique_ptr<Feed> &Item : this->Feeds)
    this->handle(*Item, FeedStarted{});
  this->Registry.start();
  this->Crashes.start();
}

void FleetAgent::reload(const NodeSettings &Next) {
  for (const std::unique_ptr<Feed> &Item : this->Feeds)
    Item->Channel.setStore(Next.Store);
  this->Registry.reload(Next);
  this->Moves.reload(Next);
  this->Crashes.reload(Next);
  this->Fleet.setBounds(Next.Bounds);
  this->scheduleUpdate();
}

void FleetAgent::handle(Feed &From, FeedInput Input) {
  FeedOutputs Outputs;
  From.State.handle(std::move(Input), Outputs);
  for (FeedOutput &Output : Outputs)
    std::visit([&](auto &Alternative) { this->on(From, Alternative); }, Output);
  this->scheduleUpdate();
}

void FleetAgent::on(Feed &From, const ListObjects &Output) {
  From.Channel.call(
      this->Adapter.ListCall(From.Kind, Output.After),
      StoreChannel::CallTimeout, [this, &From](Expected<HttpResponse> Result) {
        this->handle(From, Result ? this->Adapter.ReadPage(*Result)
                                  : FeedInput(FeedCallFailed{Result.error()}));
      });
}

void FleetAgent::on(Feed &From, const WatchObjects &Output) {
  From.Channel.call(
      this->Adapter.WatchCall(From.Kind, Output.Since, WatchWait),
      WatchWait + StoreChannel::CallTimeout,
      [this, &From](Expected<HttpResponse> Result) {
        this->handle(From, Result ? this->Adapter.ReadEvents(*Result)
                                  : FeedInput(FeedCallFailed{Result.error()}));
      });
}

void FleetAgent::on(Feed &From, const StartFeedTimer &Output) {
  From.Timer.expires_after(Output.After);
  From.Timer.async_wait([this, &From](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->handle(From, FeedTimerExpired{});
  });
}

void FleetAgent::on(Feed &From, FeedListed &Output) {
  this->Listed.insert(From.Kind);
  switch (From.Kind) {
  case ObjectKind::Configuration:
    for (const StoredObject &Object : Output.Objects)
      this->applyConfiguration(Object);
    return;
  case ObjectKind::Targets: {
    std::set<TargetId> Listed;
    for (const StoredObject &Object : Output.Objects) {
      Listed.insert(TargetId{Object.Name});
      this->applyTarget(Object);
    }
    this->Fleet.retainTargets(Listed, steadyNow());
    return;
  }
  case ObjectKind::Evacuations: {
    std::set<DomainName> Domains;
    for (const StoredObject &Object : Output.Objects)
      Domains.insert(DomainName{Object.Name});
    this->Fleet.setEvacuatedDomains(Domains);
    return;
  }
  case ObjectKind::Moves: {
    std::set<ServiceName> Ordered;
    for (const StoredObject &Object : Output.Objects) {
      Ordered.insert(ServiceName{Object.Name});
      this->applyMove(Object);
    }
    this->Moves.retainOrders(Ordered);
    return;
  }
  case ObjectKind::Nodes:
  case ObjectKind::MoveCounts:
  case ObjectKind::Crashes:
    return;
  }
}

void FleetAgent::on(Feed &From, FeedChanged &Output) {
  for (const ObjectChange &Change : Output.Changes)
    this->apply(From.Kind, Change);
}

void FleetAgent::apply(ObjectKind Kind, const ObjectChange &Change) {
  const std::string &Name = Change.Object.Name;
  switch (Kind) {
  case ObjectKind::Configuration:
    if (!Change.Removed)
      this->applyConfiguration(Change.Object);
    return;
  case ObjectKind::Targets:
    if (Change.Removed)
      this->Fleet.withdraw(TargetId{Name}, steadyNow());
    else
      this->applyTarget(Change.Object);
    return;
  case ObjectKind::Evacuations:
    if (Change.Removed)
      this->Fleet.endEvacuation(DomainName{Name});
    else
      this->Fleet.evacuate(DomainName{Name});
    return;
  case ObjectKind::Moves:
    if (Change.Removed)
      this->Moves.removeOrder(ServiceName{Name});
    else
      this->applyMove(Change.Object);
    return;
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
  this->Fleet.configure(std::move(*Read));
}

void FleetAgent::applyTarget(const StoredObject &Object) {
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

void FleetAgent::on(Feed &From, const FeedDisconnected &Output) {
  this->Fleet.markStoreUnstable(steadyNow());
  logEvent(LogLevel::Warning, "store-lost",
           {{"kind", std::string(name(From.Kind))},
            {"code", Output.Cause.Value},
            {"detail", Output.Cause.Detail}});
}

void FleetAgent::on(Feed &From, const FeedReconnected &) {
  this->Fleet.markStoreUnstable(steadyNow());
  logEvent(LogLevel::Info, "store-regained",
           {{"kind", std::string(name(From.Kind))}});
}

void FleetAgent::scheduleUpdate() {
  const TimePoint Now = steadyNow();
  TimePoint Next = TimePoint::max();
  if (this->Fleet.changed())
    Next = Now + PublishDelay;
  if (const std::optional<TimePoint> Expiry = this->Fleet.nextExpiry())
    Next = std::min(Next, *Expiry);
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
  this->Fleet.expire(steadyNow());
  if (this->Fleet.changed()) {
    this->View.publish(this->Fleet.build());
    const bool CanServe =
        this->Listed.size() == this->Feeds.size() && this->Fleet.canServe();
    if (CanServe != this->Ready.exchange(CanServe, std::memory_order_relaxed))
      logEvent(LogLevel::Info, CanServe ? "node-ready" : "node-not-ready",
               {{"targets", static_cast<std::int64_t>(this->Fleet.targets())}});
    this->OnPublished();
  }
  this->scheduleUpdate();
}

} // namespace balsamyard
