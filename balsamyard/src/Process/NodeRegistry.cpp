#include "balsamyard/src/Process/NodeRegistry.h"

#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <random>
#include <utility>

namespace balsamyard {

namespace {

/// Separates the parts of the name of an entry.
constexpr char EntrySeparator = '.';

/// Larger capacities are equal in the order of the entries.
constexpr std::uint32_t MaxListedCapacity = 99'999;
constexpr std::size_t CapacityDigits = 5;

std::string textField(const nlohmann::json &Content, const char *Name,
                      const std::string &Default = {}) {
  if (!Content.is_object())
    return Default;
  const auto Found = Content.find(Name);
  return Found != Content.end() && Found->is_string()
             ? Found->get<std::string>()
             : Default;
}

/// \returns the endpoint in "ADDRESS:PORT", or one with port 0.
Endpoint readEndpoint(const std::string &Text) {
  Endpoint Result;
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Result;
  const char *Last = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, Last, Result.Port);
  if (Read.ec != std::errc() || Read.ptr != Last)
    return {};
  Result.Address = Text.substr(0, Colon);
  return Result;
}

std::uint64_t numberField(const nlohmann::json &Content, const char *Name) {
  if (!Content.is_object())
    return 0;
  const auto Found = Content.find(Name);
  return Found != Content.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

} // namespace

PeerNode peerNode(const NodeSettings &Settings) {
  return {Settings.Node, Settings.Domain, Settings.Peers, Settings.Capacity};
}

std::string nodeEntryName(const PeerNode &Node) {
  // Names are listed in ascending order.
  std::string Order = std::to_string(
      MaxListedCapacity - std::min(Node.Capacity, MaxListedCapacity));
  Order.insert(0, CapacityDigits - Order.size(), '0');
  return Node.Domain.Text + EntrySeparator + Order + EntrySeparator +
         Node.Node.Text;
}

PeerNode readNodeEntry(const StoredObject &Object) {
  PeerNode Result;
  Result.Node.Text = textField(Object.Content, "node", Object.Name);
  Result.Domain.Text = textField(Object.Content, "domain");
  Result.Peers = readEndpoint(textField(Object.Content, "peers"));
  Result.Capacity = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(numberField(Object.Content, "capacity"),
                              std::numeric_limits<std::uint32_t>::max()));
  return Result;
}

NodeRegistry::NodeRegistry(asio::io_context &Context,
                           const NodeSettings &Settings,
                           const PlatformAdapter &Adapter, Discovery &Fleet,
                           Handlers Events)
    : Self(peerNode(Settings)), FirstStart(Settings.FirstStart),
      EntryName(nodeEntryName(this->Self)), Adapter(Adapter), Fleet(Fleet),
      Events(std::move(Events)), Entries(Settings.Node),
      Calls(Context, Settings.Store), Timer(Context), RenewTimer(Context),
      Random(std::random_device()()),
      // A restarted process must not repeat a heartbeat of the former process.
      Heartbeat(std::uint64_t(std::random_device()()) << 20) {}

void NodeRegistry::reload(const NodeSettings &Next) {
  this->Calls.setStore(Next.Store);
}

nlohmann::json NodeRegistry::content() const {
  return {{"node", this->Self.Node.Text},
          {"domain", this->Self.Domain.Text},
          {"peers", toText(this->Self.Peers)},
          {"capacity", this->Self.Capacity},
          {"heartbeat", this->Heartbeat}};
}

void NodeRegistry::scheduleAfter(Duration Time, void (NodeRegistry::*Next)()) {
  this->Timer.expires_after(Time);
  this->Timer.async_wait([this, Next](const asio::error_code &Cancelled) {
    if (!Cancelled)
      (this->*Next)();
  });
}

void NodeRegistry::registerNode() {
  this->RenewedAt = steadyNow();
  this->Calls.call(
      this->Adapter.CreateCall(ObjectKind::Nodes, this->EntryName,
                               this->content()),
      [this](const Expected<HttpResponse> &Result) {
        // A former process of this node registered it.
        const bool WasRegistered =
            Result && Result->Status == StoreChannel::ConflictStatus;
        if (!WasRegistered && !hasSuccessStatus(Result)) {
          logEvent(LogLevel::Warning, "node-not-registered",
                   {{"detail", describeResult(Result)}});
          this->scheduleAfter(ObjectFeed::MaxBackoff,
                              &NodeRegistry::registerNode);
          return;
        }
        // The other nodes are registering at the same time if all start.
        if (this->FirstStart && !WasRegistered)
          this->scheduleAfter(FirstListDelay, &NodeRegistry::findReaders);
        else
          this->findReaders();
      });
}

void NodeRegistry::findReaders() {
  this->Calls.call(
      this->Adapter.StaleListCall(ObjectKind::Nodes,
                                  this->Self.Domain.Text + EntrySeparator),
      [this](const Expected<HttpResponse> &Result) {
        const FeedInput Read = Result
                                   ? this->Adapter.ReadPage(*Result)
                                   : FeedInput(FeedCallFailed{Result.error()});
        const auto *Page = std::get_if<FeedPage>(&Read);
        if (Page == nullptr) {
          logEvent(LogLevel::Warning, "nodes-not-read",
                   {{"detail", describeResult(Result)}});
          this->scheduleAfter(ObjectFeed::MaxBackoff,
                              &NodeRegistry::findReaders);
          return;
        }
        std::vector<PeerNode> Found;
        for (const StoredObject &Object : Page->Objects)
          Found.push_back(readNodeEntry(Object));
        this->Events.OnPeers(std::move(Found));
        this->maintain();
      });
}

void NodeRegistry::maintain() {
  if (steadyNow() - this->RenewedAt >= RenewInterval)
    this->renewEntry();
  if (this->Events.ReadsStore())
    this->readPage({});
  this->scheduleAfter(this->Recounted ? RecountInterval : FirstRecountDelay,
                      &NodeRegistry::maintain);
  this->Recounted = true;
}

void NodeRegistry::renewEntry() {
  this->RenewedAt = steadyNow();
  ++this->Heartbeat;
  this->Calls.call(this->Adapter.ReplaceCall(ObjectKind::Nodes, this->EntryName,
                                             this->content()),
                   [this](const Expected<HttpResponse> &Result) {
                     if (Result &&
                         Result->Status == StoreChannel::NotFoundStatus) {
                       this->createEntryAgain();
                       return;
                     }
                     if (hasSuccessStatus(Result))
                       return;
                     logEvent(LogLevel::Warning, "node-not-renewed",
                              {{"detail", describeResult(Result)}});
                     this->renewAfter(RenewRetryPause);
                   });
}

void NodeRegistry::createEntryAgain() {
  this->Calls.call(this->Adapter.CreateCall(ObjectKind::Nodes, this->EntryName,
                                            this->content()),
                   [this](const Expected<HttpResponse> &Result) {
                     if (hasSuccessStatus(Result))
                       return;
                     logEvent(LogLevel::Warning, "node-not-registered",
                              {{"detail", describeResult(Result)}});
                     this->renewAfter(RenewRetryPause);
                   });
}

void NodeRegistry::renewAfter(Duration Time) {
  this->RenewTimer.expires_after(Time);
  this->RenewTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->renewEntry();
  });
}

void NodeRegistry::onStoreRestored() {
  this->renewAfter(Duration(
      this->Random.below(static_cast<std::uint32_t>(RestoreSpread.count()))));
}

void NodeRegistry::readPage(const std::string &After) {
  if (After.empty()) {
    if (std::exchange(this->Reading, true))
      return;
    this->Listing = {ObjectKind::Nodes, true, {}, {}};
  }
  this->Calls.call(
      this->Adapter.StaleListCall(ObjectKind::Nodes, After),
      [this](const Expected<HttpResponse> &Result) {
        FeedInput Read = Result ? this->Adapter.ReadPage(*Result)
                                : FeedInput(FeedCallFailed{Result.error()});
        auto *Page = std::get_if<FeedPage>(&Read);
        if (Page == nullptr) {
          this->Reading = false;
          logEvent(LogLevel::Warning, "nodes-not-counted",
                   {{"detail", describeResult(Result)}});
          this->scheduleAfter(ObjectFeed::MaxBackoff, &NodeRegistry::maintain);
          return;
        }
        if (this->Listing.Changes.empty())
          this->Listing.AsOf = Page->AsOf;
        for (StoredObject &Object : Page->Objects)
          this->Listing.Changes.push_back({std::move(Object), false});
        if (Page->HasMore && !this->Listing.Changes.empty()) {
          this->readPage(this->Listing.Changes.back().Object.Name);
          return;
        }
        this->Reading = false;
        this->Events.OnListed(std::exchange(this->Listing, {}));
      });
}

void NodeRegistry::setEntries(const std::vector<StoredObject> &Listed) {
  std::map<NodeName, std::uint64_t> Heartbeats;
  std::map<NodeName, std::string> EntryNames;
  std::vector<PeerNode> Found;
  for (const StoredObject &Object : Listed) {
    Found.push_back(readNodeEntry(Object));
    Heartbeats[Found.back().Node] = numberField(Object.Content, "heartbeat");
    EntryNames[Found.back().Node] = Object.Name;
  }
  const TimePoint Now = steadyNow();
  this->Entries.update(Heartbeats, Now);
  // The list may be older than the entry of this node.
  std::map<NodeName, DomainName> Domains = {
      {this->Self.Node, this->Self.Domain}};
  for (const PeerNode &Node : Found)
    Domains[Node.Node] = Node.Domain;
  this->Fleet.setNodes(Domains);
  this->Events.OnPeers(std::move(Found));
  if (this->Events.ReadsStore())
    for (const NodeName &Expired : this->Entries.expired(Now))
      this->removeEntry(EntryNames[Expired]);
}

void NodeRegistry::removeEntry(const std::string &Name) {
  logEvent(LogLevel::Info, "node-entry-expired", {{"name", Name}});
  this->Calls.call(
      this->Adapter.RemoveCall(ObjectKind::Nodes, Name),
      [Name](const Expected<HttpResponse> &Result) {
        if (!hasSuccessStatus(Result))
          logEvent(LogLevel::Warning, "node-entry-not-removed",
                   {{"name", Name}, {"detail", describeResult(Result)}});
      });
}

} // namespace balsamyard
