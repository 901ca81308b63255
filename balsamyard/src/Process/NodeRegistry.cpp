#include "balsamyard/src/Process/NodeRegistry.h"

#include "balsamyard/src/Core/Log.h"

#include <random>

namespace balsamyard {

NodeRegistry::NodeRegistry(asio::io_context &Context,
                           const NodeSettings &Settings,
                           const PlatformAdapter &Adapter, Discovery &Fleet,
                           std::function<void()> OnChanged)
    : Self(Settings.Node), Domain(Settings.Domain), Adapter(Adapter),
      Fleet(Fleet), OnChanged(std::move(OnChanged)), Entries(Settings.Node),
      Calls(Context, Settings.Store), Timer(Context),
      // A restarted process must not repeat a heartbeat of the former process.
      Heartbeat(std::uint64_t(std::random_device()()) << 20) {}

void NodeRegistry::reload(const NodeSettings &Next) {
  this->Calls.setStore(Next.Store);
}

nlohmann::json NodeRegistry::content() const {
  return {{"domain", this->Domain.Text}, {"heartbeat", this->Heartbeat}};
}

void NodeRegistry::scheduleAfter(Duration Time, void (NodeRegistry::*Next)()) {
  this->Timer.expires_after(Time);
  this->Timer.async_wait([this, Next](const asio::error_code &Cancelled) {
    if (!Cancelled)
      (this->*Next)();
  });
}

void NodeRegistry::registerNode() {
  this->Calls.call(
      this->Adapter.CreateCall(ObjectKind::Nodes, this->Self.Text,
                               this->content()),
      [this](const Expected<HttpResponse> &Result) {
        // A former process of this node registered it, so this is a restart
        // and the other nodes are already running.
        const bool WasRegistered =
            Result && Result->Status == StoreChannel::ConflictStatus;
        if (WasRegistered || hasSuccessStatus(Result)) {
          this->StartupCounted = WasRegistered;
          if (WasRegistered)
            this->countNodes();
          else
            this->scheduleAfter(FirstCountDelay, &NodeRegistry::countNodes);
          return;
        }
        logEvent(LogLevel::Warning, "node-not-registered",
                 {{"detail", describeResult(Result)}});
        this->scheduleAfter(ObjectFeed::MaxBackoff,
                            &NodeRegistry::registerNode);
      });
}

void NodeRegistry::renewEntry() {
  ++this->Heartbeat;
  this->Calls.call(this->Adapter.ReplaceCall(ObjectKind::Nodes, this->Self.Text,
                                             this->content()),
                   [this](const Expected<HttpResponse> &Result) {
                     if (Result &&
                         Result->Status == StoreChannel::NotFoundStatus) {
                       this->registerNode();
                       return;
                     }
                     if (!hasSuccessStatus(Result))
                       logEvent(LogLevel::Warning, "node-not-renewed",
                                {{"detail", describeResult(Result)}});
                     this->countNodes();
                   });
}

void NodeRegistry::readPage(const std::string &After) {
  if (After.empty())
    this->Heartbeats.clear();
  this->Calls.call(this->Adapter.StaleListCall(ObjectKind::Nodes, After),
                   [this](const Expected<HttpResponse> &Result) {
                     const FeedInput Read =
                         Result ? this->Adapter.ReadPage(*Result)
                                : FeedInput(FeedCallFailed{Result.error()});
                     const auto *Page = std::get_if<FeedPage>(&Read);
                     if (Page == nullptr) {
                       logEvent(LogLevel::Warning, "nodes-not-counted",
                                {{"detail", describeResult(Result)}});
                       this->scheduleAfter(ObjectFeed::MaxBackoff,
                                           &NodeRegistry::countNodes);
                       return;
                     }
                     for (const StoredObject &Object : Page->Objects)
                       this->Heartbeats[NodeName{Object.Name}] =
                           Object.Content.is_object()
                               ? Object.Content.value("heartbeat",
                                                      std::uint64_t(0))
                               : 0;
                     if (Page->HasMore && !Page->Objects.empty())
                       this->readPage(Page->Objects.back().Name);
                     else
                       this->onListRead();
                   });
}

void NodeRegistry::onListRead() {
  const TimePoint Now = steadyNow();
  this->Entries.update(this->Heartbeats, Now);
  this->Fleet.setNodes(this->Entries.nodes());
  this->OnChanged();
  for (const NodeName &Expired : this->Entries.expired(Now)) {
    logEvent(LogLevel::Info, "node-entry-expired", {{"name", Expired.Text}});
    this->Calls.call(this->Adapter.RemoveCall(ObjectKind::Nodes, Expired.Text),
                     [Expired](const Expected<HttpResponse> &Result) {
                       if (!hasSuccessStatus(Result))
                         logEvent(LogLevel::Warning, "node-entry-not-removed",
                                  {{"name", Expired.Text},
                                   {"detail", describeResult(Result)}});
                     });
  }
  if (this->StartupCounted)
    this->scheduleAfter(RecountInterval, &NodeRegistry::renewEntry);
  else
    this->scheduleAfter(FirstRecountDelay, &NodeRegistry::countNodes);
  this->StartupCounted = true;
}

} // namespace balsamyard
