#include "balsamyard/src/Process/WriteGate.h"

#include <algorithm>

namespace balsamyard {

namespace {

/// \returns the value of a lower-case hexadecimal digit, or -1.
int hexValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  return -1;
}

WriteReply makeReply(const RequestId &Request, Code Result, Outcome Ran) {
  WriteReply Reply;
  Reply.Request = Request;
  Reply.Result = Result;
  Reply.Ran = Ran;
  return Reply;
}

} // namespace

std::optional<WallTime> issueTime(const RequestId &Request) {
  const std::string &Text = Request.Text;
  if (Text.size() != 36)
    return std::nullopt;
  std::int64_t Time = 0;
  std::size_t Digits = 0;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Index == 8 || Index == 13 || Index == 18 || Index == 23) {
      if (Text[Index] != '-')
        return std::nullopt;
      continue;
    }
    const int Value = hexValue(Text[Index]);
    if (Value < 0)
      return std::nullopt;
    // The first 48 bits are a Unix timestamp in milliseconds.
    if (Digits++ < 12)
      Time = Time * 16 + Value;
  }
  if (Text[14] != '7' || (hexValue(Text[19]) & 0xc) != 0x8)
    return std::nullopt;
  return WallTime(std::chrono::milliseconds(Time));
}

WriteGate::WriteGate(NodeName Node, WallTime Started, GateLimits Limits)
    : Node(std::move(Node)), Started(Started), Limits(Limits), Now(Started),
      LastEvent(Started) {}

std::vector<GateEffect> WriteGate::apply(const GateEvent &Event,
                                         WallTime Time) {
  Effects Out;
  this->detectPause(Time, Out);
  this->LastEvent = Time;
  this->Now = std::max(this->Now, Time);
  this->removeExpired();
  std::visit([&](const auto &Body) { this->on(Body, Out); }, Event);
  return Out;
}

bool WriteGate::owned() const {
  return std::holds_alternative<Owned>(this->Owner);
}

std::string_view WriteGate::stateName() const {
  static constexpr std::string_view Names[] = {"waiting", "elsewhere", "owned",
                                               "giving-away", "given-away"};
  return Names[this->Owner.index()];
}

void WriteGate::detectPause(WallTime Time, Effects &Out) {
  if (Time - this->LastEvent <= TickPeriod + PauseLimit)
    return;
  this->NeedsRead = true;
  Out.emplace_back(RereadOwner{++this->ReadEpoch});
  if (std::holds_alternative<GivingAway>(this->Owner)) {
    // The gate may have another owner by now, so this process must not reply
    // "not run" to new ids any more.
    this->Owner = GivenAway{};
    Out.emplace_back(GateDrained{});
  } else if (!std::holds_alternative<GivenAway>(this->Owner)) {
    this->Owner = Waiting{};
  }
}

void WriteGate::on(const WriteArrived &Event, Effects &Out) {
  const RequestId &Request = Event.Write->Command.Request;
  // Stored outcomes are valid whichever process owns the gate now.
  if (auto Found = this->Entries.find(Request); Found != this->Entries.end()) {
    Out.emplace_back(AnswerWrite{Event.Caller, this->replay(Found->second)});
    return;
  }
  const bool Accepting = this->owned();
  const bool Draining = std::holds_alternative<GivingAway>(this->Owner);
  if (!Accepting && !Draining)
    return this->answer(Event, Code::NotOwner, Outcome::Unknown, Out);
  const std::optional<WallTime> Issued = issueTime(Request);
  if (Issued) {
    if (auto Reply = this->rejectByIssueTime(Request, *Issued)) {
      Out.emplace_back(AnswerWrite{Event.Caller, *std::move(Reply)});
      return;
    }
  } else if (Draining || Event.Refusal) {
    // Another owner may hold the claim of this id, so its outcome is unknown.
    return this->answer(Event, Event.Refusal.value_or(Code::Stopping),
                        Outcome::Unknown, Out);
  }
  Entry *Write = this->addEntry(Event, Issued.value_or(this->Now) +
                                           WriteGate::IdRetention);
  if (!Write)
    return this->answer(Event, Code::Overloaded, Outcome::Unknown, Out);
  if (!Issued) {
    Write->State = Claiming{};
    this->Running.push_back(*Write);
    Out.emplace_back(CreateClaim{Request});
    return;
  }
  if (auto Refusal = this->rejectBeforeSending(Event)) {
    Write->State = Refused{};
    Write->Write.reset();
    return this->answer(Event, *Refusal, Outcome::NotRun, Out);
  }
  this->Running.push_back(*Write);
  this->send(*Write, 0, Out);
}

void WriteGate::on(const AttemptEnded &Event, Effects &Out) {
  auto Found = this->Entries.find(Event.Request);
  if (Found == this->Entries.end())
    return;
  Entry &Write = Found->second;
  if (auto *Late = std::get_if<Unresolved>(&Write.State)) {
    // The first caller was told "unknown". The late reply is stored for later
    // copies.
    if (Late->Attempt != Event.Attempt)
      return;
    if (Event.Reply.Ran == Outcome::Ran)
      this->storeReply(Write, Event.Reply);
    else if (Event.Reply.Ran == Outcome::NotRun)
      Write.State = Refused{};
    return;
  }
  auto *Running = std::get_if<Sent>(&Write.State);
  if (!Running || Running->Attempt != Event.Attempt)
    return;
  const std::size_t Next = Event.Attempt + 1;
  const bool MayRetry =
      this->owned() || std::holds_alternative<GivingAway>(this->Owner);
  if (Event.Reply.Ran == Outcome::NotRun && MayRetry &&
      Next < Write.Slots.size() && this->Now < Write.Expiry)
    return this->send(Write, Next, Out);
  this->finish(Write, Event.Reply, Out);
}

void WriteGate::on(const ClaimEnded &Event, Effects &Out) {
  auto Found = this->Entries.find(Event.Request);
  if (Found == this->Entries.end() ||
      !std::holds_alternative<Claiming>(Found->second.State))
    return;
  Entry &Write = Found->second;
  if (Event.Result != ClaimResult::Created) {
    const Code Result = Event.Result == ClaimResult::Exists
                            ? Code::OutcomeUnknown
                            : Code::PlatformUnavailable;
    return this->finish(
        Write, makeReply(Event.Request, Result, Outcome::Unknown), Out);
  }
  // The claim prevents every other copy from running, so "not run" is final.
  if (this->Now >= Write.Expiry || Write.Slots.empty())
    return this->finish(Write,
                        makeReply(Event.Request,
                                  Write.Slots.empty() ? Code::NoUsableSlot
                                                      : Code::DeadlineExceeded,
                                  Outcome::NotRun),
                        Out);
  this->send(Write, 0, Out);
}

void WriteGate::on(const OwnerRead &Event, Effects &Out) {
  if (Event.Version < this->TableVersion)
    return;
  this->TableVersion = Event.Version;
  const bool Fresh = Event.Epoch == this->ReadEpoch;
  if (this->NeedsRead && !Fresh)
    return;
  this->NeedsRead = false;
  if (auto *Given = std::get_if<GivenAway>(&this->Owner))
    if (!Given->TableVersion || Event.Version < *Given->TableVersion)
      return;
  if (Event.Owner.Node == this->Node &&
      std::holds_alternative<GivingAway>(this->Owner))
    return;
  this->applyOwner(Event);
  this->checkDrained(Out);
}

void WriteGate::on(const GiveAwayRequested &, Effects &Out) {
  if (auto *Held = std::get_if<Owned>(&this->Owner))
    this->Owner = GivingAway{Held->Since};
  if (std::holds_alternative<Waiting>(this->Owner)) {
    this->Owner = GivenAway{};
    Out.emplace_back(GateDrained{});
  }
  this->checkDrained(Out);
}

void WriteGate::on(const GiveAwaySettled &Event, Effects &) {
  if (auto *Given = std::get_if<GivenAway>(&this->Owner))
    Given->TableVersion = Event.TableVersion;
}

void WriteGate::on(const GateTick &, Effects &Out) {
  for (auto Next = this->Running.begin(); Next != this->Running.end();) {
    Entry &Write = *Next++;
    if (this->Now < Write.Expiry)
      continue;
    this->finish(
        Write, makeReply(Write.Request, Code::OutcomeUnknown, Outcome::Unknown),
        Out);
  }
  if (this->NeedsRead)
    Out.emplace_back(RereadOwner{this->ReadEpoch});
  this->checkDrained(Out);
}

std::optional<WriteReply> WriteGate::rejectByIssueTime(const RequestId &Request,
                                                       WallTime Issued) const {
  // A later owner may accept an id with a future timestamp, so "not run" could
  // become false.
  if (Issued > this->Now + MaxClockLead)
    return makeReply(Request, Code::BadRequestId, Outcome::Unknown);
  if (Issued <= this->Now - WriteGate::IdRetention)
    return makeReply(Request, Code::RequestIdTooOld, Outcome::Unknown);
  struct Visitor {
    WallTime operator()(const Owned &Held) const { return Held.Since; }
    WallTime operator()(const GivingAway &Held) const { return Held.Since; }
    WallTime operator()(const Waiting &) const { return WallTime::max(); }
    WallTime operator()(const OwnedElsewhere &) const {
      return WallTime::max();
    }
    WallTime operator()(const GivenAway &) const { return WallTime::max(); }
  };
  const WallTime Since = std::visit(Visitor{}, this->Owner);
  if (Since == WallTime::max() || Issued <= Since + MaxClockLead)
    return makeReply(Request, Code::RequestIdTooOld, Outcome::Unknown);
  return std::nullopt;
}

std::optional<Code>
WriteGate::rejectBeforeSending(const WriteArrived &Event) const {
  if (Event.Refusal)
    return Event.Refusal;
  if (!this->owned())
    return Code::Stopping;
  if (Event.Write->Command.Expiry <= this->Now)
    return Code::DeadlineExpired;
  if (Event.Slots.empty())
    return Code::NoUsableSlot;
  return std::nullopt;
}

WriteGate::Entry *WriteGate::addEntry(const WriteArrived &Event,
                                      WallTime RemoveAt) {
  // Entries are never evicted early, because a copy of an evicted id could run
  // again.
  if (this->Entries.size() >= this->Limits.Entries)
    return nullptr;
  const WriteCommand &Command = Event.Write->Command;
  Entry &Write = this->Entries[Command.Request];
  Write.Request = Command.Request;
  Write.Expiry = std::min(Command.Expiry, this->Now + MaxExpiry);
  // The entry of a running write must outlive the tick that ends the write.
  Write.RemoveAt = std::max(RemoveAt, Write.Expiry + PauseLimit);
  Write.Caller = Event.Caller;
  Write.Write = Event.Write;
  Write.Slots = Event.Slots;
  this->RemovalQueue.insert(Write);
  return &Write;
}

void WriteGate::send(Entry &Write, std::size_t Attempt, Effects &Out) {
  Write.State = Sent{Attempt};
  Out.emplace_back(
      SendWrite{Write.Write, Write.Slots[Attempt], Attempt, Write.Expiry});
}

void WriteGate::finish(Entry &Write, WriteReply Reply, Effects &Out) {
  const auto *Running = std::get_if<Sent>(&Write.State);
  const std::size_t Attempt = Running ? Running->Attempt : 0;
  Reply.Request = Write.Request;
  if (Reply.Ran == Outcome::Ran)
    this->storeReply(Write, Reply);
  else if (Reply.Ran == Outcome::NotRun)
    Write.State = Refused{};
  else
    Write.State = Unresolved{Attempt};
  Write.Write.reset();
  Write.Slots.clear();
  this->Running.erase(this->Running.iterator_to(Write));
  Out.emplace_back(AnswerWrite{Write.Caller, std::move(Reply)});
  this->checkDrained(Out);
}

void WriteGate::storeReply(Entry &Write, const WriteReply &Reply) {
  Finished Kept{Reply.Version, {}};
  // If the reply exceeds the limit, only the fact that the write ran is stored.
  if (this->AnswerBytes + Reply.Body.size() <= this->Limits.AnswerBytes) {
    Kept.Body = Reply.Body;
    this->AnswerBytes += Kept.Body.size();
  }
  Write.State = std::move(Kept);
}

void WriteGate::answer(const WriteArrived &Event, Code Result, Outcome Ran,
                       Effects &Out) const {
  Out.emplace_back(AnswerWrite{
      Event.Caller, makeReply(Event.Write->Command.Request, Result, Ran)});
}

WriteReply WriteGate::replay(const Entry &Write) const {
  struct Visitor {
    const RequestId &Request;
    WriteReply operator()(const Claiming &) const {
      return makeReply(this->Request, Code::StillRunning, Outcome::Unknown);
    }
    WriteReply operator()(const Sent &) const {
      return makeReply(this->Request, Code::StillRunning, Outcome::Unknown);
    }
    WriteReply operator()(const Refused &) const {
      return makeReply(this->Request, Code::AlreadyRefused, Outcome::NotRun);
    }
    WriteReply operator()(const Finished &Kept) const {
      WriteReply Reply = makeReply(this->Request, Code::Replayed, Outcome::Ran);
      Reply.Version = Kept.Version;
      Reply.Body = Kept.Body;
      return Reply;
    }
    WriteReply operator()(const Unresolved &) const {
      return makeReply(this->Request, Code::OutcomeUnknown, Outcome::Unknown);
    }
  };
  return std::visit(Visitor{Write.Request}, Write.State);
}

void WriteGate::removeExpired() {
  while (!this->RemovalQueue.empty()) {
    Entry &First = *this->RemovalQueue.begin();
    if (this->Now < First.RemoveAt)
      return;
    if (const auto *Kept = std::get_if<Finished>(&First.State))
      this->AnswerBytes -= Kept->Body.size();
    const RequestId Request = First.Request;
    this->Entries.erase(Request);
  }
}

void WriteGate::applyOwner(const OwnerRead &Event) {
  if (Event.Owner.Node == this->Node)
    this->Owner = Owned{std::max(Event.Owner.Since, this->Started)};
  else
    this->Owner = OwnedElsewhere{};
}

void WriteGate::checkDrained(Effects &Out) {
  if (!std::holds_alternative<GivingAway>(this->Owner) ||
      !this->Running.empty())
    return;
  this->Owner = GivenAway{};
  Out.emplace_back(GateDrained{});
}

} // namespace balsamyard
