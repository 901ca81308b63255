#include "balsamyard/src/Process/ControlAgent.h"
#include "balsamyard/src/Core/Overload.h"

#include "balsamyard/src/Connection/PeerClient.h"
#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Process/Codec.h"
#include "balsamyard/src/Process/ConfigSync.h"
#include "balsamyard/src/Process/GossipCodec.h"
#include "balsamyard/src/Process/RulesStore.h"
#include "balsamyard/src/Version/RulesDelta.h"
#include "balsamyard/src/Version/VersionMove.h"

#include <array>
#include <asio.hpp>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace balsamyard {

namespace {

using namespace std::chrono_literals;

/// The platform normally answers within milliseconds. After this time it is
/// considered unavailable.
constexpr Duration PlatformTimeout = 2s;

/// Two round trips between regions and the transfer of a page of 512 KB take
/// less than 1 s.
constexpr Duration FetchTimeout = 2s;

constexpr Duration NoticeTimeout = 1s;
constexpr unsigned NoticeAttempts = 3;
constexpr Duration NoticeRetryDelay = 500ms;

/// Minimum time between two publications of a view, so that the many changes
/// after the restart of a failure domain cause only few views.
constexpr Duration PublishPeriod = 50ms;

/// The VM list changes only when VMs are replaced. At this period, 840 holders
/// cause 28 reads per second at the platform.
constexpr Duration VmReadPeriod = 30s;

/// Time for which a slot is listed as leaving. By then it was normally
/// replaced; otherwise its next answer announces again that it is leaving.
constexpr Duration LeavingSlotTimeout = 5min;

/// Maximum time for which readiness is delayed until the member list was read.
constexpr Duration JoinTimeout = 3s;

const std::string SharedPrefix = "shared/";

asio::ip::udp::endpoint toUdp(const Endpoint &Address) {
  return {asio::ip::make_address(Address.Address), Address.Port};
}

Endpoint fromUdp(const asio::ip::udp::endpoint &Address) {
  return {Address.address().to_string(), Address.port()};
}

bool isPresent(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// A document after parsing.
using ParsedDocument = std::variant<std::monostate, Rules, ServiceCatalog,
                                    ShareTable, GateTable, MoveState>;

template <typename T>
Expected<ParsedDocument> toParsedDocument(Expected<T> Value) {
  if (!Value)
    return tl::unexpected(Value.error());
  return ParsedDocument(std::move(*Value));
}

Expected<ParsedDocument> parseDocument(const std::string &Name,
                                       const std::string &Text) {
  if (Name == "rules") {
    auto Parsed = parseRules(Text);
    if (Parsed)
      return ParsedDocument(std::move(*Parsed));
    const RuleFault &First = Parsed.error().front();
    return fail(First.Value, "line " + std::to_string(First.Line) +
                                 ", column " + std::to_string(First.Column) +
                                 ": expected " + First.Expectation);
  }
  if (Name == "gates")
    return toParsedDocument(parseGateTable(Text));
  if (Name.starts_with("catalog/"))
    return toParsedDocument(parseCatalog(Text));
  if (Name.starts_with("shares/"))
    return toParsedDocument(parseShareTable(Text));
  if (Name.starts_with("moves/"))
    return toParsedDocument(parseMoveState(Text));
  return ParsedDocument();
}

} // namespace

struct ControlAgent::Impl {
  /// Reference-counted state. Running calls to peers hold references, so that
  /// it lives until the last one has ended.
  struct Core : RefCounted<Core> {
    Core(const Settings &Own, ProcessRole Role, PeerClient &Peers);

    Expected<void> start();
    void stop();

    Settings Own;
    ProcessKey Self;
    PeerClient &Peers;
    PlatformClient Platform;
    RcuCell<RoutingView> View{makeRef<const RoutingView>()};

    asio::io_context Io;
    asio::ip::udp::socket Socket{Io};
    asio::steady_timer Timer{Io};
    asio::ip::udp::endpoint Sender;
    std::array<char, MaxGossipBytes + 1> Datagram{};

    /// Protects the members below, up to NoticeHandlers.
    std::mutex Mutex;
    std::condition_variable Changed;
    bool Stopping = false;
    std::mt19937_64 Random{std::random_device{}()};
    std::unique_ptr<Membership> Members;
    ConfigSync Sync;
    TimePoint StartedAt{};

    std::optional<ReadPlatform> PlatformJob;
    bool PlatformDown = false;
    std::vector<PlatformVm> Vms;

    bool ViewRequested = false;
    std::set<std::string> ChangedDocuments;
    std::map<SlotKey, TimePoint> LeavingSlots; ///< With the time of removal.
    std::map<RouteKey, VersionRolledBack> RolledBack;
    std::vector<std::function<void(Ref<const RoutingView>)>> ChangeHandlers;
    std::vector<std::function<void(const Notice &)>> NoticeHandlers;

    /// Accessed only by the view thread.
    std::map<std::string, ParsedDocument> Parsed;

    std::thread GossipThread;
    std::thread PlatformThread;
    std::thread ViewThread;

    void receive();
    void scheduleTick(TimePoint Due);
    void feed(const MembershipEvent &Event);
    void feed(const ConfigEvent &Event);
    void carryOut(const MembershipEffect &Effect);
    void carryOut(const ConfigEffect &Effect);
    void send(const SendGossip &Effect);
    void fetch(const FetchFromPeer &Effect);
    void requestView();

    void runPlatform();
    ConfigEvent readPlatform(const ReadPlatform &Job);
    void readVms();

    void runViews();
    void parseChanged(
        const std::map<std::string, std::pair<ConfigVersion, std::string>>
            &ChangedTexts);
    void addNodes(RoutingView &Next);

    void acceptNotice(const Notice &Received);
    void sendNotice(const Endpoint &To, const std::string &Message,
                    unsigned AttemptsLeft);
  };

  Ref<Core> Shared;
};

ControlAgent::Impl::Core::Core(const Settings &Own, ProcessRole Role,
                               PeerClient &Peers)
    : Own(Own), Self{Own.Node, Role}, Peers(Peers),
      Platform(Own.Platform, PlatformTimeout), Sync(Self, Own.Domain) {}

Expected<void> ControlAgent::Impl::Core::start() {
  asio::error_code Fault;
  asio::ip::udp::endpoint Local = toUdp(this->Own.Gossip);
  this->Socket.open(Local.protocol(), Fault);
  if (!Fault)
    this->Socket.bind(Local, Fault);
  if (Fault)
    return fail(Code::SettingsBadValue, "cannot bind the gossip address " +
                                            toText(this->Own.Gossip) + ": " +
                                            Fault.message());
  MemberInfo Info{this->Self, this->Own.Domain, this->Own.Region,
                  fromUdp(this->Socket.local_endpoint()), this->Own.Peer};
  this->StartedAt = steadyNow();
  this->Members = std::make_unique<Membership>(
      Info, static_cast<std::uint64_t>(wallNow().time_since_epoch().count()),
      this->Own.Seeds);
  this->receive();
  this->scheduleTick(this->StartedAt);
  this->GossipThread = std::thread([this] { this->Io.run(); });
  this->PlatformThread = std::thread([this] { this->runPlatform(); });
  this->ViewThread = std::thread([this] { this->runViews(); });
  return {};
}

void ControlAgent::Impl::Core::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Stopping)
      return;
    this->Stopping = true;
  }
  this->Changed.notify_all();
  this->Platform.stop();
  this->Io.stop();
  for (std::thread *Thread :
       {&this->GossipThread, &this->PlatformThread, &this->ViewThread})
    if (Thread->joinable())
      Thread->join();
  asio::error_code Ignored;
  this->Socket.close(Ignored);
}

void ControlAgent::Impl::Core::receive() {
  this->Socket.async_receive_from(
      asio::buffer(this->Datagram), this->Sender,
      [this](asio::error_code Fault, std::size_t Size) {
        if (Fault == asio::error::operation_aborted)
          return;
        // An ICMP error for a datagram sent earlier may be reported by the next
        // receive. The socket stays usable.
        if (!Fault) {
          Expected<GossipMessage> Message =
              decodeGossip({this->Datagram.data(), Size});
          std::lock_guard<std::mutex> Lock(this->Mutex);
          if (Message)
            this->feed(GossipReceived{fromUdp(this->Sender), *Message});
          else
            logEvent(LogLevel::Warning, "gossip-refused",
                     {{"from", toText(fromUdp(this->Sender))},
                      {"code", Message.error().Value},
                      {"detail", Message.error().Detail}});
        }
        this->receive();
      });
}

void ControlAgent::Impl::Core::scheduleTick(TimePoint Due) {
  this->Timer.expires_at(Due);
  this->Timer.async_wait([this, Due](asio::error_code Fault) {
    if (Fault)
      return;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->feed(MembershipEvent(MembershipTick{}));
      this->feed(ConfigEvent(ConfigTick{}));
    }
    // Ticks that were missed during a pause are skipped.
    this->scheduleTick(std::max(Due + MembershipTimes{}.Tick, steadyNow()));
  });
}

void ControlAgent::Impl::Core::feed(const MembershipEvent &Event) {
  for (const MembershipEffect &Effect :
       this->Members->handle(Event, steadyNow(), this->Random()))
    this->carryOut(Effect);
}

void ControlAgent::Impl::Core::feed(const ConfigEvent &Event) {
  for (const ConfigEffect &Effect :
       this->Sync.handle(Event, steadyNow(), this->Random()))
    this->carryOut(Effect);
}

void ControlAgent::Impl::Core::carryOut(const MembershipEffect &Effect) {
  std::visit(Overload{[&](const SendGossip &Sent) { this->send(Sent); },
                      [&](const MemberChanged &Change) {
                        const Member &Entry = Change.Now;
                        if (!Change.Forgotten)
                          logEvent(LogLevel::Info, "member-changed",
                                   {{"member", toText(Entry.Info.Key)},
                                    {"state", std::string(toText(Entry.State))},
                                    {"incarnation", static_cast<std::int64_t>(
                                                        Entry.Incarnation)}});
                        this->feed(ConfigEvent(ConfigPeerChanged{
                            Entry.Info.Key, Entry.Info.Peer, Entry.Info.Domain,
                            !Change.Forgotten && isPresent(Entry.State)}));
                        this->requestView();
                      },
                      [&](const MemberConfigAnnounced &Announced) {
                        this->feed(ConfigEvent(PeerVersionAnnounced{
                            Announced.Key, Announced.Peer, Announced.Version}));
                      }},
             Effect);
}

void ControlAgent::Impl::Core::send(const SendGossip &Effect) {
  // The protocol tolerates lost datagrams, so send errors are ignored.
  asio::error_code Ignored;
  this->Socket.send_to(asio::buffer(encodeGossip(Effect.Message)),
                       toUdp(Effect.To), 0, Ignored);
}

void ControlAgent::Impl::Core::carryOut(const ConfigEffect &Effect) {
  std::visit(
      Overload{[&](const AnnounceVersion &Announced) {
                 this->feed(MembershipEvent(AnnounceConfig{Announced.Peers}));
               },
               [&](const FetchFromPeer &Fetch) { this->fetch(Fetch); },
               [&](const ReadPlatform &Read) {
                 this->PlatformJob = Read;
                 this->Changed.notify_all();
               },
               [&](const DocumentsApplied &Applied) {
                 this->ChangedDocuments.insert(Applied.Names.begin(),
                                               Applied.Names.end());
                 this->requestView();
               },
               [&](const VersionReached &Reached) {
                 logEvent(
                     LogLevel::Info, "config-applied",
                     {{"config", static_cast<std::int64_t>(Reached.Version)}});
                 this->feed(MembershipEvent(ConfigAdvanced{Reached.Version}));
                 this->requestView();
               },
               [&](const DocumentRefused &Refused) {
                 logEvent(LogLevel::Warning, "document-refused",
                          {{"document", Refused.Name},
                           {"from", toText(Refused.From)},
                           {"code", Code::DigestMismatch}});
               },
               [&](const ConfigReady &) {
                 logEvent(LogLevel::Info, "config-ready", {});
                 this->requestView();
               }},
      Effect);
}

void ControlAgent::Impl::Core::fetch(const FetchFromPeer &Effect) {
  Ref<Core> Reference(this);
  auto Reply = std::make_shared<std::string>();
  auto Event = std::make_shared<ConfigEvent>(FetchFailed{Effect.Key});
  this->Peers.call(
      Effect.Peer, "/v1/config", encode(Effect.Question), FetchTimeout,
      [Reply](std::string Message) { *Reply = std::move(Message); },
      [Reference, Reply, Event, Key = Effect.Key](Code Result, bool) {
        if (Result == Code::Ok)
          if (auto Answer = decode<ConfigDelta>(*Reply))
            Event->emplace<FetchAnswered>(
                FetchAnswered{Key, std::move(*Answer)});
        // Handlers in the queue of Io are destroyed together with the core, so
        // a reference to it would be a cycle.
        asio::post(Reference->Io, [Shared = Reference.get(), Event] {
          std::lock_guard<std::mutex> Lock(Shared->Mutex);
          Shared->feed(*Event);
        });
      });
}

void ControlAgent::Impl::Core::requestView() {
  this->ViewRequested = true;
  this->Changed.notify_all();
}

void ControlAgent::Impl::Core::runPlatform() {
  TimePoint NextVms = this->StartedAt;
  for (;;) {
    std::optional<ReadPlatform> Job;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      auto Wanted = [&] { return this->Stopping || this->PlatformJob; };
      if (this->Self.Role == ProcessRole::Holder)
        this->Changed.wait_until(Lock, NextVms, Wanted);
      else
        this->Changed.wait(Lock, Wanted);
      if (this->Stopping)
        return;
      Job.swap(this->PlatformJob);
    }
    if (Job) {
      ConfigEvent Event = this->readPlatform(*Job);
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Stopping)
        return;
      bool Down = std::holds_alternative<PlatformFailed>(Event);
      if (Down != this->PlatformDown)
        logEvent(Down ? LogLevel::Warning : LogLevel::Info,
                 Down ? "platform-unavailable" : "platform-available", {});
      this->PlatformDown = Down;
      this->feed(Event);
    }
    if (this->Self.Role == ProcessRole::Holder && steadyNow() >= NextVms) {
      this->readVms();
      NextVms = steadyNow() + VmReadPeriod;
    }
  }
}

ConfigEvent ControlAgent::Impl::Core::readPlatform(const ReadPlatform &Job) {
  Expected<PlatformListing> Listing =
      Job.Wait ? this->Platform.watch(SharedPrefix, Job.After)
               : this->Platform.list(SharedPrefix);
  if (!Listing)
    return PlatformFailed{};
  PlatformAnswered Result{Listing->Version, {}, {}};
  for (const PlatformEntry &Entry : Listing->Entries) {
    if (!Entry.Name.starts_with(SharedPrefix))
      continue;
    Result.Newest = std::max(Result.Newest, ConfigVersion{Entry.Version});
    std::string Name = Entry.Name.substr(SharedPrefix.size());
    bool IsRules = Name == "rules/head";
    if (IsRules)
      Name = "rules";
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      auto Held = this->Sync.documents().find(Name);
      if (Held != this->Sync.documents().end() &&
          Held->second.Version >= ConfigVersion{Entry.Version})
        continue;
    }
    Expected<PlatformObject> Object = this->Platform.get(Entry.Name);
    if (!Object && Object.error().Value == Code::ObjectAbsent)
      continue;
    if (!Object)
      return PlatformFailed{};
    std::string Text = std::move(Object->Value);
    if (IsRules) {
      Expected<std::string> Whole = RulesStore(this->Platform).assemble(Text);
      if (!Whole) {
        logEvent(LogLevel::Error, "document-refused",
                 {{"document", Name},
                  {"code", Whole.error().Value},
                  {"detail", Whole.error().Detail}});
        // A malformed head does not become valid by a retry. Other errors are
        // retried.
        if (Whole.error().Value == Code::PlatformMalformed)
          continue;
        return PlatformFailed{};
      }
      Text = std::move(*Whole);
    }
    Result.Documents.push_back(
        {Name, ConfigVersion{Object->Version}, std::move(Text)});
  }
  return Result;
}

void ControlAgent::Impl::Core::readVms() {
  Expected<std::vector<PlatformVm>> List = this->Platform.vms();
  if (!List)
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Vms = std::move(*List);
  this->requestView();
}

void ControlAgent::Impl::Core::parseChanged(
    const std::map<std::string, std::pair<ConfigVersion, std::string>>
        &ChangedTexts) {
  for (const auto &[Name, Item] : ChangedTexts) {
    const auto &[Version, Text] = Item;
    Expected<ParsedDocument> Value = parseDocument(Name, Text);
    if (!Value) {
      logEvent(LogLevel::Error, "document-refused",
               {{"document", Name},
                {"config", static_cast<std::int64_t>(Version)},
                {"code", Value.error().Value},
                {"detail", Value.error().Detail}});
      continue;
    }
    if (auto *Table = std::get_if<ShareTable>(&*Value))
      Table->Version = static_cast<std::uint64_t>(Version);
    if (auto *Table = std::get_if<GateTable>(&*Value))
      Table->Version = static_cast<std::uint64_t>(Version);
    this->Parsed[Name] = std::move(*Value);
  }
}

void ControlAgent::Impl::Core::addNodes(RoutingView &Next) {
  for (const PlatformVm &Vm : this->Vms)
    Next.Nodes[Vm.Node] = {Vm.Node,   Vm.Domain, Vm.Region,
                           Vm.Holder, false,     Vm.Leaving};
  auto Add = [&](const MemberInfo &Info, MemberState State) {
    NodeInfo &Node = Next.Nodes[Info.Key.Node];
    Node.Name = Info.Key.Node;
    Node.Domain = Info.Domain;
    Node.Region = Info.Region;
    Node.Peer = Info.Peer;
    // A member in state Left serves requests until it is declared dead.
    Node.Alive = State != MemberState::Dead;
    Node.Leaving = Node.Leaving || State == MemberState::Left;
  };
  for (const auto &[Key, Entry] : this->Members->members())
    if (Key.Role == ProcessRole::Holder)
      Add(Entry.Info, Entry.State);
  if (this->Self.Role == ProcessRole::Holder)
    Add(this->Members->self().Info, this->Members->self().State);
}

void ControlAgent::Impl::Core::runViews() {
  TimePoint NotBefore{};
  for (;;) {
    auto Next = makeRef<RoutingView>();
    std::map<std::string, std::pair<ConfigVersion, std::string>> ChangedTexts;
    std::map<RouteKey, VersionRolledBack> RolledBack;
    std::vector<std::function<void(Ref<const RoutingView>)>> Handlers;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->Changed.wait(Lock,
                         [&] { return this->Stopping || this->ViewRequested; });
      this->Changed.wait_until(Lock, NotBefore, [&] { return this->Stopping; });
      if (this->Stopping)
        return;
      this->ViewRequested = false;
      for (const std::string &Name : this->ChangedDocuments) {
        const ConfigDocument &Document = this->Sync.documents().at(Name);
        ChangedTexts[Name] = {Document.Version, Document.Text};
      }
      this->ChangedDocuments.clear();
      TimePoint Now = steadyNow();
      bool Joined = this->Members->joined() || this->Own.Seeds.empty() ||
                    Now - this->StartedAt >= JoinTimeout;
      Next->Ready = this->Sync.ready() && Joined;
      Next->Version = this->Sync.version();
      this->addNodes(*Next);
      std::erase_if(this->LeavingSlots,
                    [&](const auto &Item) { return Item.second <= Now; });
      for (const auto &[Slot, Until] : this->LeavingSlots)
        Next->LeavingSlots.insert(Slot);
      RolledBack = this->RolledBack;
      Handlers = this->ChangeHandlers;
    }
    this->parseChanged(ChangedTexts);
    for (const auto &[Name, Document] : this->Parsed)
      std::visit(
          Overload{
              [](std::monostate) {},
              [&](const Rules &Value) { Next->Configuration = Value; },
              [&](const ServiceCatalog &Value) {
                Next->Services[Value.Name] = Value;
              },
              [&](const ShareTable &Value) {
                Next->Shares[Value.Domain] = Value;
              },
              [&](const GateTable &Value) { Next->Gates = Value; },
              [&](const MoveState &Value) {
                Next->Splits[{Value.Service, Value.Route}] = splitOf(Value);
                // A notice applies only to the rule for which it was sent.
                auto Revoked = RolledBack.find({Value.Service, Value.Route});
                if (Revoked != RolledBack.end() &&
                    Revoked->second.Version == Value.To &&
                    Revoked->second.RuleVersion == moveRuleNumber(Value.Rule))
                  Next->Splits[{Value.Service, Value.Route}].NextShare = 0;
              }},
          Document);
    this->View.publish(Next);
    for (const auto &Handler : Handlers)
      Handler(Next);
    NotBefore = steadyNow() + PublishPeriod;
  }
}

void ControlAgent::Impl::Core::acceptNotice(const Notice &Received) {
  std::visit(Overload{[](const SlotCold &) {},
                      [&](const SlotLeaving &Body) {
                        this->LeavingSlots[Body.Slot] =
                            steadyNow() + LeavingSlotTimeout;
                        this->requestView();
                      },
                      [](const RequestQuarantined &) {},
                      [&](const VersionRolledBack &Body) {
                        this->RolledBack[{Body.Service, Body.Route}] = Body;
                        this->requestView();
                      }},
             Received.Body);
}

void ControlAgent::Impl::Core::sendNotice(const Endpoint &To,
                                          const std::string &Message,
                                          unsigned AttemptsLeft) {
  Ref<Core> Reference(this);
  this->Peers.call(
      To, "/v1/notice", Message, NoticeTimeout, [](const std::string &) {},
      [Reference, To, Message, AttemptsLeft](Code Result, bool) {
        if (Result == Code::Ok || AttemptsLeft <= 1)
          return;
        Reference->Peers.after(
            NoticeRetryDelay, [Reference, To, Message, AttemptsLeft] {
              Reference->sendNotice(To, Message, AttemptsLeft - 1);
            });
      });
}

ControlAgent::ControlAgent(const Settings &Own, ProcessRole Role,
                           PeerClient &Peers)
    : Implementation(std::make_unique<Impl>()) {
  this->Implementation->Shared = makeRef<Impl::Core>(Own, Role, Peers);
}

ControlAgent::~ControlAgent() { this->stop(); }

Expected<void> ControlAgent::start() {
  return this->Implementation->Shared->start();
}

const RcuCell<RoutingView> &ControlAgent::view() const {
  return this->Implementation->Shared->View;
}

PlatformClient &ControlAgent::platform() {
  return this->Implementation->Shared->Platform;
}

void ControlAgent::onChange(
    std::function<void(Ref<const RoutingView>)> Handler) {
  Impl::Core &Shared = *this->Implementation->Shared;
  std::lock_guard<std::mutex> Lock(Shared.Mutex);
  Shared.ChangeHandlers.push_back(std::move(Handler));
}

void ControlAgent::onNotice(std::function<void(const Notice &)> Handler) {
  Impl::Core &Shared = *this->Implementation->Shared;
  std::lock_guard<std::mutex> Lock(Shared.Mutex);
  Shared.NoticeHandlers.push_back(std::move(Handler));
}

void ControlAgent::notify(const decltype(Notice::Body) &Body) {
  Impl::Core &Shared = *this->Implementation->Shared;
  Notice Sent{Shared.Own.Node, Body};
  std::string Message = encode(Sent);
  std::vector<Endpoint> Receivers;
  {
    std::lock_guard<std::mutex> Lock(Shared.Mutex);
    if (!Shared.Members)
      return;
    Shared.acceptNotice(Sent);
    bool All = std::holds_alternative<VersionRolledBack>(Body);
    for (const auto &[Key, Entry] : Shared.Members->members())
      if (isPresent(Entry.State) &&
          (All || Entry.Info.Domain == Shared.Own.Domain))
        Receivers.push_back(Entry.Info.Peer);
  }
  for (const Endpoint &To : Receivers)
    Shared.sendNotice(To, Message, NoticeAttempts);
}

Expected<std::string> ControlAgent::handle(const std::string &Path,
                                           const std::string &Message) {
  Ref<Impl::Core> Shared = this->Implementation->Shared;
  if (Path == "/v1/config") {
    Expected<ConfigFetch> Question = decode<ConfigFetch>(Message);
    if (!Question)
      return tl::unexpected(Question.error());
    ConfigDelta Answer;
    {
      std::lock_guard<std::mutex> Lock(Shared->Mutex);
      Answer = Shared->Sync.answer(*Question);
    }
    return encode(Answer);
  }
  if (Path == "/v1/notice") {
    Expected<Notice> Received = decode<Notice>(Message);
    if (!Received)
      return tl::unexpected(Received.error());
    asio::post(Shared->Io,
               [Core = Shared.get(), Received = std::move(*Received)] {
                 std::vector<std::function<void(const Notice &)>> Handlers;
                 {
                   std::lock_guard<std::mutex> Lock(Core->Mutex);
                   Core->acceptNotice(Received);
                   Handlers = Core->NoticeHandlers;
                 }
                 for (const auto &Handler : Handlers)
                   Handler(Received);
               });
    return std::string();
  }
  return fail(Code::UnknownPath, "no control path '" + Path + "'");
}

void ControlAgent::leave() {
  Impl::Core *Shared = this->Implementation->Shared.get();
  asio::post(Shared->Io, [Shared] {
    std::lock_guard<std::mutex> Lock(Shared->Mutex);
    Shared->feed(MembershipEvent(LeaveRequested{}));
  });
}

void ControlAgent::stop() { this->Implementation->Shared->stop(); }

} // namespace balsamyard
