#include "apps/balsamyard-holder/GateService.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace balsamyard::holder {

namespace {

/// Longest request id of a write.
constexpr std::size_t MaxIdBytes = 128;

/// Longest time that a gate needs to finish its writes: their longest expiry
/// and one tick.
constexpr Duration StopGatesTimeout =
    WriteGate::MaxExpiry + WriteGate::TickPeriod;

WriteReply makeReply(const RequestId &Request, Code Result, Outcome Ran) {
  WriteReply Reply;
  Reply.Request = Request;
  Reply.Result = Result;
  Reply.Ran = Ran;
  return Reply;
}

/// \returns the name of the claim object of a request. Every byte of the id
/// except letters and digits is written as "-xx" in hexadecimal, so that two
/// ids never have the same object name.
std::string claimName(const RequestId &Request) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Result = "claims/";
  for (const char Byte : Request.Text) {
    if (std::isalnum(static_cast<unsigned char>(Byte)) != 0) {
      Result += Byte;
      continue;
    }
    const auto Value = static_cast<unsigned char>(Byte);
    Result += '-';
    Result += Digits[Value >> 4];
    Result += Digits[Value & 15];
  }
  return Result;
}

bool isJsonObject(const std::string &Text) {
  return nlohmann::json::parse(Text, nullptr, false).is_object();
}

void logWriteResult(const WriteReply &Reply) {
  struct Line {
    LogLevel Level;
    std::string_view Event;
  };
  const Line End = Reply.Ran == Outcome::Ran ? Line{LogLevel::Info, "write-ran"}
                   : Reply.Ran == Outcome::NotRun
                       ? Line{LogLevel::Info, "write-refused"}
                       : Line{LogLevel::Warning, "write-unknown"};
  logEvent(End.Level, End.Event,
           {{"request", Reply.Request.Text}, {"code", Reply.Result}});
}

} // namespace

GateService::GateService(HolderState &State, SlotTable &Slots)
    : State(State), Slots(Slots), Owned(makeRef<const OwnedShares>()) {
  const WallTime Started = wallNow();
  for (auto &Entry : this->Gates)
    Entry = std::make_unique<Gate>(State.Own.Node, Started);
}

void GateService::serveWrite(WriteCommand Command,
                             const Ref<PeerStream> &Stream) {
  ++this->State.InFlight;
  auto Answer = [this, Stream](const WriteReply &Reply) {
    logWriteResult(Reply);
    Stream->send(encode(Reply));
    Stream->finish();
    --this->State.InFlight;
  };
  const RequestId Id = Command.Request;
  if (Id.empty() || Id.Text.size() > MaxIdBytes)
    return Answer(makeReply(Id, Code::BadRequestId, Outcome::NotRun));
  std::optional<Code> Refusal;
  if (!isJsonObject(Command.Body))
    Refusal = Code::MalformedJson;
  else if (this->State.QuarantinedRequests.holds(Command.Print, steadyNow()))
    Refusal = Code::Quarantined;
  std::vector<SlotIndex> Slots = this->slotsFor(Command);
  if (Command.Repeatable) {
    if (Refusal || Slots.empty())
      return Answer(
          makeReply(Id, Refusal.value_or(Code::NoUsableSlot), Outcome::NotRun));
    Command.Slot = Slots.front();
    return this->attempt(Command, Answer);
  }
  const std::size_t Number = gateOf(Id);
  Gate &Entry = *this->Gates[Number];
  std::uint64_t Caller = 0;
  {
    std::lock_guard<std::mutex> Lock(Entry.Mutex);
    Caller = Entry.NextCaller++;
    Entry.Callers.emplace(Caller, Stream);
  }
  this->apply(Number,
              WriteArrived{GateCaller{Caller},
                           makeRef<const GateCommand>(std::move(Command)),
                           std::move(Slots), Refusal});
}

void GateService::serveLeafWrite(WriteCommand Command,
                                 const Ref<PeerStream> &Stream) {
  ++this->State.InFlight;
  auto Answer = [this, Stream](const WriteReply &Reply) {
    Stream->send(encode(Reply));
    Stream->finish();
    --this->State.InFlight;
  };
  const Ref<SlotRunner> Slot =
      this->Slots.find({Command.Service, Command.Leaf, Command.Slot});
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  if (this->State.isDrained(*View))
    return Answer(
        makeReply(Command.Request, Code::TargetLeaving, Outcome::NotRun));
  if (!Slot || Slot->version() != Command.Version)
    return Answer(makeReply(Command.Request, Code::NotOwner, Outcome::NotRun));
  const TimePoint Deadline = steadyNow() + Command.TimeLeft;
  Slot->submit(
      makeRef<SlotTask>(WriteTask{std::move(Command), Answer}, Deadline));
}

void GateService::update(const OwnedShares &Owned) {
  {
    std::lock_guard<std::mutex> Lock(this->OwnedMutex);
    this->Owned = makeRef<const OwnedShares>(Owned);
  }
  const GateTable &Table = Owned.Table;
  if (Table.Version == 0)
    return;
  for (std::size_t Number = 0; Number < WriteGateCount; ++Number) {
    const GateOwner &Owner = Table.Gates[Number];
    // A gate that is listed for this node but may not be used is about to be
    // given away, or the share controller was paused. stopGates() and the gate
    // itself handle these cases.
    if (Owner.Node == this->State.Own.Node && !Owned.Gates.contains(Number))
      continue;
    if (Owned.Gates.contains(Number))
      this->apply(Number, GiveAwaySettled{Table.Version});
    this->apply(Number, OwnerRead{Table.Version, Owner, 0});
  }
}

void GateService::stopGates(const std::vector<std::size_t> &GateNumbers) {
  for (std::size_t Number : GateNumbers)
    this->apply(Number, GiveAwayRequested{});
  const TimePoint Deadline = steadyNow() + StopGatesTimeout;
  for (std::size_t Number : GateNumbers) {
    Gate &Entry = *this->Gates[Number];
    std::unique_lock<std::mutex> Lock(Entry.Mutex);
    Entry.Drained.wait_until(Lock, Deadline,
                             [&Entry] { return Entry.IsDrained; });
  }
}

void GateService::tick() {
  for (std::size_t Number = 0; Number < WriteGateCount; ++Number)
    this->apply(Number, GateTick{});
}

std::array<GateService::GateStatus, WriteGateCount>
GateService::status() const {
  std::array<GateStatus, WriteGateCount> Result;
  for (std::size_t Number = 0; Number < WriteGateCount; ++Number) {
    const Gate &Entry = *this->Gates[Number];
    std::lock_guard<std::mutex> Lock(Entry.Mutex);
    Result[Number] = {Entry.Decision.stateName(), Entry.Decision.entries()};
  }
  return Result;
}

void GateService::apply(std::size_t Number, const GateEvent &Event) {
  Gate &Entry = *this->Gates[Number];
  std::vector<GateEffect> Effects;
  {
    std::lock_guard<std::mutex> Lock(Entry.Mutex);
    if (std::holds_alternative<GiveAwayRequested>(Event))
      Entry.IsDrained = Entry.Decision.stateName() == "elsewhere";
    // Read the time inside the lock: if the thread is paused before it has the
    // lock, the gate must see the later time.
    Effects = Entry.Decision.apply(Event, wallNow());
  }
  for (const GateEffect &Effect : Effects)
    std::visit([&](const auto &Body) { this->carryOut(Number, Body); }, Effect);
}

void GateService::carryOut(std::size_t Number, const SendWrite &Effect) {
  WriteCommand Command = Effect.Write->Command;
  Command.Slot = Effect.Slot;
  Command.Expiry = Effect.Expiry;
  Command.TimeLeft = std::clamp<Duration>(Effect.Expiry - wallNow(),
                                          Duration::zero(), Command.TimeLeft);
  this->attempt(Command, [this, Number, Request = Command.Request,
                          Attempt = Effect.Attempt](WriteReply Reply) {
    this->apply(Number, AttemptEnded{Request, Attempt, std::move(Reply)});
  });
}

void GateService::carryOut(std::size_t Number, const AnswerWrite &Effect) {
  Gate &Entry = *this->Gates[Number];
  Ref<PeerStream> Stream;
  {
    std::lock_guard<std::mutex> Lock(Entry.Mutex);
    auto Found = Entry.Callers.find(static_cast<std::uint64_t>(Effect.Caller));
    if (Found == Entry.Callers.end())
      return;
    Stream = std::move(Found->second);
    Entry.Callers.erase(Found);
  }
  logWriteResult(Effect.Reply);
  this->State.ProcessMetrics.add(
      "balsamyard_gate_answers_total",
      "code=\"" + std::to_string(static_cast<int>(Effect.Reply.Result)) + "\"");
  Stream->send(encode(Effect.Reply));
  Stream->finish();
  --this->State.InFlight;
}

void GateService::carryOut(std::size_t Number, const CreateClaim &Effect) {
  asio::post(this->State.Platform, [this, Number, Request = Effect.Request] {
    const Expected<std::uint64_t> Made = this->State.Agent.platform().create(
        claimName(Request),
        "{\"node\":\"" + this->State.Own.Node.Text + "\"}\n");
    ClaimResult Result = ClaimResult::Unclear;
    if (Made)
      Result = ClaimResult::Created;
    else if (Made.error().Value == Code::PlatformConflict)
      Result = ClaimResult::Exists;
    this->apply(Number, ClaimEnded{Request, Result});
  });
}

void GateService::carryOut(std::size_t Number, const RereadOwner &Effect) {
  {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    this->PendingReads[Number] = Effect.Epoch;
    if (this->ReadScheduled)
      return;
    this->ReadScheduled = true;
  }
  asio::post(this->State.Platform, [this] { this->rereadOwners(); });
}

void GateService::carryOut(std::size_t Number, const GateDrained &) {
  Gate &Entry = *this->Gates[Number];
  std::lock_guard<std::mutex> Lock(Entry.Mutex);
  Entry.IsDrained = true;
  Entry.Drained.notify_all();
}

void GateService::attempt(const WriteCommand &Command, AttemptHandler OnEnd) {
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  const ServiceCatalog *Service = View->service(Command.Service);
  const CatalogSlot *Slot =
      Service ? Service->find(Command.Leaf, Command.Slot) : nullptr;
  if (!Slot || !View->usable(Command.Service, Command.Leaf, *Slot))
    return OnEnd(
        makeReply(Command.Request, Code::NoUsableSlot, Outcome::NotRun));
  if (Slot->Domain == this->State.Own.Domain) {
    const Ref<SlotRunner> Own =
        this->Slots.find({Command.Service, Command.Leaf, Command.Slot});
    if (Own && Own->status().Share.Connections > 0) {
      const TimePoint Deadline = steadyNow() + Command.TimeLeft;
      return Own->submit(
          makeRef<SlotTask>(WriteTask{Command, std::move(OnEnd)}, Deadline));
    }
  }
  auto Table = View->Shares.find(Slot->Domain);
  const std::vector<NodeName> *Owners =
      Table == View->Shares.end()
          ? nullptr
          : Table->second.owners(groupOf(Command.Service, Command.Leaf));
  const NodeInfo *Chosen = nullptr;
  if (Owners && !Owners->empty()) {
    // Start at a lane that depends on the request, to spread the load.
    const std::size_t First =
        XXH3_64bits(Command.Request.Text.data(), Command.Request.Text.size()) %
        Owners->size();
    for (std::size_t Step = 0; Step < Owners->size() && !Chosen; ++Step) {
      const NodeName &Owner = (*Owners)[(First + Step) % Owners->size()];
      const NodeInfo *Node = View->node(Owner);
      if (Node && Node->Alive && Owner != this->State.Own.Node)
        Chosen = Node;
    }
  }
  if (!Chosen)
    return OnEnd(
        makeReply(Command.Request, Code::NoUsableSlot, Outcome::NotRun));
  this->sendAttempt(Chosen->Peer, Command, std::move(OnEnd));
}

void GateService::sendAttempt(const Endpoint &Holder,
                              const WriteCommand &Command,
                              AttemptHandler OnEnd) {
  struct Exchange : RefCounted<Exchange> {
    std::optional<WriteReply> Reply;
  };
  auto Shared = makeRef<Exchange>();
  this->State.Peers.call(
      Holder, "/v1/leaf-write", encode(Command), Command.TimeLeft,
      [Shared, Request = Command.Request](const std::string &Bytes) {
        Expected<WriteReply> Reply = decode<WriteReply>(Bytes);
        if (Reply && Reply->Request == Request)
          Shared->Reply = std::move(*Reply);
      },
      [Shared, Request = Command.Request, OnEnd = std::move(OnEnd)](Code Result,
                                                                    bool Sent) {
        if (Shared->Reply)
          return OnEnd(std::move(*Shared->Reply));
        const bool NotRun = !Sent && Result != Code::Ok;
        OnEnd(makeReply(Request,
                        Result == Code::Ok ? Code::MalformedMessage : Result,
                        NotRun ? Outcome::NotRun : Outcome::Unknown));
      });
}

std::vector<SlotIndex>
GateService::slotsFor(const WriteCommand &Command) const {
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  std::vector<SlotIndex> Local;
  std::vector<SlotIndex> Remote;
  const ServiceCatalog *Service = View->service(Command.Service);
  if (!Service)
    return Local;
  for (const CatalogLeaf &Leaf : Service->Leaves) {
    if (Leaf.Index != Command.Leaf)
      continue;
    for (const CatalogSlot &Slot : Leaf.Slots) {
      if (Slot.Version != Command.Version ||
          !View->usable(Command.Service, Leaf.Index, Slot))
        continue;
      (Slot.Domain == this->State.Own.Domain ? Local : Remote)
          .push_back(Slot.Index);
    }
  }
  Local.insert(Local.end(), Remote.begin(), Remote.end());
  return Local;
}

void GateService::rereadOwners() {
  std::map<std::size_t, std::uint64_t> Pending;
  {
    std::lock_guard<std::mutex> Lock(this->ReadMutex);
    Pending.swap(this->PendingReads);
    this->ReadScheduled = false;
  }
  const Expected<PlatformObject> Object =
      this->State.Agent.platform().get("shared/gates");
  if (!Object)
    return;
  const Expected<GateTable> Table = parseGateTable(Object->Value);
  if (!Table)
    return;
  Ref<const OwnedShares> Current;
  {
    std::lock_guard<std::mutex> Lock(this->OwnedMutex);
    Current = this->Owned;
  }
  for (const auto &[Number, Epoch] : Pending) {
    GateOwner Owner = Table->Gates[Number];
    // The share controller may be giving the gate away, or may not have fenced
    // the updates of an earlier process yet.
    if (Owner.Node == this->State.Own.Node && !Current->Gates.contains(Number))
      continue;
    this->apply(Number, OwnerRead{Object->Version, std::move(Owner), Epoch});
  }
}

} // namespace balsamyard::holder
