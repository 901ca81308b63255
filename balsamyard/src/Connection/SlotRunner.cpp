#include "balsamyard/src/Connection/SlotRunner.h"

#include "balsamyard/src/Process/TargetCodec.h"

#include <algorithm>

namespace balsamyard {

namespace {

/// Maximum number of queued requests per request that may run.
constexpr std::uint32_t MaxQueuedPerRunning = 4;

/// Timeout of a health poll.
constexpr Duration HealthTimeout = std::chrono::milliseconds(500);

SlotEvent toSlotEvent(Code Result, const TargetStatus &ReportedStatus,
                      SlotTicket Ticket, Duration Time) {
  if (ReportedStatus.Incarnation != 0)
    return SlotAnswered{Ticket, ReportedStatus.Incarnation,
                        ReportedStatus.State, Time};
  if (Result == Code::TargetShed)
    return SlotShed{Ticket};
  if (Result == Code::TargetLeaving)
    return SlotAnswered{Ticket, 0, TargetState::Leaving, Time};
  return SlotFailed{Ticket};
}

TaskResult toTaskResult(Code Result) {
  switch (Result) {
  case Code::Ok:
    return TaskResult::Good;
  case Code::DeadlineExceeded:
    return TaskResult::Late;
  case Code::Cancelled:
    return TaskResult::Cancelled;
  case Code::TargetFailed:
  case Code::TargetMalformed:
    return TaskResult::Error;
  default:
    return TaskResult::Refused;
  }
}

} // namespace

const RouteName &SlotTask::route() const {
  struct Visitor {
    const RouteName &operator()(const SearchTask &Task) const {
      return Task.Batch->Batch.Route;
    }
    const RouteName &operator()(const WriteTask &Task) const {
      return Task.Write.Route;
    }
  };
  return std::visit(Visitor{}, this->Body);
}

Fingerprint SlotTask::fingerprint() const {
  struct Visitor {
    Fingerprint operator()(const SearchTask &Task) const {
      return Task.Batch->Batch.Print;
    }
    Fingerprint operator()(const WriteTask &Task) const {
      return Task.Write.Print;
    }
  };
  return std::visit(Visitor{}, this->Body);
}

SlotRunner::SlotRunner(SlotKey Key, Endpoint Target, VersionName Version,
                       std::uint32_t MaxWorkers, const SlotObserver &Observer,
                       TimePoint Now)
    : Key(std::move(Key)), Target(std::move(Target)),
      Version(std::move(Version)), MaxWorkers(MaxWorkers), Observer(Observer),
      Limiter({}, Now), Client(this->Target) {}

void SlotRunner::submit(Ref<SlotTask> Task) {
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (auto Reason = this->refusal(steadyNow(), Task->Deadline)) {
      Later.Ended.emplace_back(std::move(Task), *Reason);
    } else {
      this->Queue.push_back(*Task.detach());
      ++this->Queued;
      this->dispatch(Later);
    }
  }
  this->carryOut(Later);
}

void SlotRunner::setShare(SlotShare Share, bool LaneTaken) {
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Share == this->Limiter.share() && !LaneTaken)
      return;
    this->apply(ShareChanged{Share, LaneTaken}, Later);
    this->Client.setLimit(Share.Connections);
    if (Share.Connections == 0)
      this->endQueued(Code::NotOwner, Later);
    this->dispatch(Later);
  }
  this->carryOut(Later);
}

bool SlotRunner::waitForShare(TimePoint Deadline) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  return this->ConnectionClosed.wait_until(Lock, Deadline, [this] {
    return this->Client.open() <= this->Limiter.share().Connections;
  });
}

void SlotRunner::cancelExcess() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Client.open() > this->Limiter.share().Connections)
    for (SlotTask &Task : this->Running)
      Task.Call.cancel();
}

void SlotRunner::notice(const SlotEvent &Event) {
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->apply(Event, Later);
  }
  this->carryOut(Later);
}

void SlotRunner::expire(TimePoint Now) {
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (SlotTask &Task : this->Running)
      if (Now >= Task.Deadline)
        Task.Call.expire();
    for (auto Next = this->Queue.begin(); Next != this->Queue.end();) {
      SlotTask &Task = *Next++;
      const Code Ended =
          Now >= Task.Deadline ? Code::DeadlineExceeded : Task.Call.ended();
      if (Ended == Code::Ok)
        continue;
      this->Queue.erase(this->Queue.iterator_to(Task));
      --this->Queued;
      Later.Ended.emplace_back(Ref<SlotTask>(&Task, false), Ended);
    }
  }
  this->carryOut(Later);
}

void SlotRunner::maintain() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Polling || this->Limiter.share().Connections == 0)
      return;
    this->Polling = true;
  }
  this->Observer.Post([Self = Ref<SlotRunner>(this)] { Self->poll(); });
}

SlotStatus SlotRunner::status() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return {name(this->Limiter.state()),
          this->Limiter.limit(),
          this->Limiter.inFlight(),
          this->Workers,
          this->Queued,
          this->Client.open(),
          this->Limiter.incarnation(),
          this->Limiter.share()};
}

std::optional<Code> SlotRunner::refusal(TimePoint Now,
                                        TimePoint Deadline) const {
  const std::uint32_t Concurrency =
      std::min(this->Limiter.limit(), this->MaxWorkers);
  if (this->Limiter.share().Connections == 0)
    return Code::NotOwner;
  if (std::holds_alternative<LeavingSlot>(this->Limiter.state()))
    return Code::TargetLeaving;
  if (Now >= Deadline)
    return Code::DeadlineExceeded;
  if (Concurrency == 0)
    return Code::ColdLimited;
  const bool Warm = std::holds_alternative<WarmSlot>(this->Limiter.state());
  if (this->Queued >= Concurrency * MaxQueuedPerRunning)
    return Warm ? Code::Overloaded : Code::ColdLimited;
  // Number of mean service times that pass before this request runs.
  const std::uint32_t Rounds = (this->Queued + this->Workers) / Concurrency;
  if (Now + this->MeanServiceTime * Rounds >= Deadline)
    return Warm ? Code::Overloaded : Code::ColdLimited;
  return std::nullopt;
}

void SlotRunner::dispatch(Deferred &Later) {
  while (!this->Queue.empty() && this->Workers < this->MaxWorkers) {
    const std::optional<SlotTicket> Ticket = this->Limiter.start();
    if (!Ticket)
      return;
    SlotTask &Task = this->Queue.front();
    this->Queue.pop_front();
    --this->Queued;
    ++this->Workers;
    this->Running.push_back(Task);
    Later.Started.emplace_back(&Task, *Ticket);
  }
}

void SlotRunner::apply(const SlotEvent &Event, Deferred &Later) {
  for (const SlotEffect &Effect : this->Limiter.apply(Event, steadyNow())) {
    if (std::holds_alternative<BecameLeaving>(Effect))
      this->endQueued(Code::TargetLeaving, Later);
    Later.Effects.push_back(Effect);
  }
}

void SlotRunner::endQueued(Code Reason, Deferred &Later) {
  while (!this->Queue.empty()) {
    SlotTask &Task = this->Queue.front();
    this->Queue.pop_front();
    Later.Ended.emplace_back(Ref<SlotTask>(&Task, false), Reason);
  }
  this->Queued = 0;
}

void SlotRunner::carryOut(const Deferred &Later) {
  for (const SlotEffect &Effect : Later.Effects)
    this->Observer.OnEffect(this->Key, Effect);
  for (const auto &[Task, Reason] : Later.Ended)
    this->completeUnsent(*Task, Reason);
  for (const auto &[Task, Ticket] : Later.Started)
    this->Observer.Post([Self = Ref<SlotRunner>(this), Task = Task,
                         Ticket = Ticket] { Self->run(Task, Ticket); });
}

void SlotRunner::run(const Ref<SlotTask> &Task, SlotTicket Ticket) {
  TargetExchange Exchange;
  TargetLease Lease;
  if (steadyNow() >= Task->Deadline) {
    Exchange.Result = Code::DeadlineExceeded;
    return this->finish(Task, Ticket, Lease, std::move(Exchange));
  }
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Lease = this->Client.take();
  }
  // The target may have been replaced by a cold one while its connections were
  // idle, so the limit is checked again before anything is sent.
  if (Lease.AllLost || !Lease.Connection) {
    if (Lease.Connection) {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Exchange.Result = Code::Cancelled;
      this->Client.giveBack(Lease, Exchange);
    }
    return this->requeue(Task, Ticket, Lease.AllLost);
  }
  struct Encoder {
    Duration Left;
    TargetMessage operator()(const SearchTask &Search) const {
      const LeafBatch &Batch = Search.Batch->Batch;
      return encodeSearch(Batch, Batch.Items[Search.Item], this->Left);
    }
    TargetMessage operator()(const WriteTask &Write) const {
      return encodeWrite(Write.Write);
    }
  };
  const TargetMessage Message =
      std::visit(Encoder{Task->Deadline - steadyNow()}, Task->Body);
  Exchange = Lease.Connection->exchange(Task->Call, Message, Task->Deadline);
  this->finish(Task, Ticket, Lease, std::move(Exchange));
}

void SlotRunner::finish(const Ref<SlotTask> &Task, SlotTicket Ticket,
                        const TargetLease &Lease, TargetExchange Exchange) {
  struct Decoder {
    TargetExchange &Exchange;
    Code Result = Code::Ok;
    TargetStatus ReportedStatus;
    std::function<void()> End;
    void operator()(const SearchTask &Search) {
      const LeafBatch &Batch = Search.Batch->Batch;
      SearchAnswer Answer =
          decodeSearch(Batch, Batch.Items[Search.Item], this->Exchange);
      this->Result = Answer.Reply.Result;
      this->ReportedStatus = Answer.ReportedStatus;
      this->End = [&Search, Reply = std::move(Answer.Reply)]() mutable {
        Search.OnEnd(std::move(Reply));
      };
    }
    void operator()(const WriteTask &Write) {
      WriteAnswer Answer = decodeWrite(Write.Write, this->Exchange);
      this->Result = Answer.Reply.Result;
      this->ReportedStatus = Answer.ReportedStatus;
      this->End = [&Write, Reply = std::move(Answer.Reply)]() mutable {
        Write.OnEnd(std::move(Reply));
      };
    }
  };
  Decoder Decoded{Exchange, Code::Ok, {}, {}};
  std::visit(Decoded, Task->Body);
  const bool ConnectionBroken = Exchange.ConnectionBroken && Exchange.Sent;
  // Bytes of another answer may follow a malformed one, so the connection is
  // not reused.
  if (Decoded.Result == Code::TargetMalformed)
    Exchange.Result = Code::TargetMalformed;

  Deferred Later;
  Ref<SlotTask> Last;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    --this->Workers;
    this->Running.erase(this->Running.iterator_to(*Task));
    Last = Ref<SlotTask>(Task.get(), false);
    const bool AllLost =
        Lease.Connection && this->Client.giveBack(Lease, Exchange);
    this->ConnectionClosed.notify_all();
    if (Decoded.Result == Code::Ok)
      this->MeanServiceTime += (Exchange.Time - this->MeanServiceTime) / 16;
    this->apply(toSlotEvent(Decoded.Result, Decoded.ReportedStatus, Ticket,
                            Exchange.Time),
                Later);
    if (AllLost && Ticket.Generation == this->Limiter.generation())
      this->apply(ConnectionsLost{}, Later);
    this->dispatch(Later);
  }
  if (ConnectionBroken)
    this->Observer.OnCrash(this->Key, Ticket.Generation, Task->fingerprint());
  if (Decoded.Result == Code::Ok)
    this->Observer.OnSuccess(Task->fingerprint());
  this->Observer.OnResult(this->Key, Task->route(),
                          toTaskResult(Decoded.Result), Exchange.Time);
  Decoded.End();
  this->carryOut(Later);
}

void SlotRunner::requeue(const Ref<SlotTask> &Task, SlotTicket Ticket,
                         bool AllLost) {
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    --this->Workers;
    this->Running.erase(this->Running.iterator_to(*Task));
    this->apply(SlotFailed{Ticket}, Later);
    if (AllLost)
      this->apply(ConnectionsLost{}, Later);
    if (this->Limiter.limit() == 0) {
      Later.Ended.emplace_back(Ref<SlotTask>(Task.get(), false),
                               Code::ColdLimited);
    } else {
      this->Queue.push_front(*Task);
      ++this->Queued;
    }
    // Without a free connection the request waits until one is given back, or
    // until expire() ends it.
    if (AllLost)
      this->dispatch(Later);
  }
  this->carryOut(Later);
}

void SlotRunner::poll() {
  TargetLease Lease;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    // If all connections are in use, a spare one is opened, so that none is
    // opened on the path of a request.
    const bool InUse = this->Client.idle() == 0 && this->Client.open() > 0;
    Lease = InUse ? this->Client.takeNew() : this->Client.takeOldest();
  }
  TargetExchange Exchange;
  Exchange.Result = Code::Cancelled;
  if (Lease.Connection && !Lease.AllLost) {
    TargetCall Call;
    Exchange = Lease.Connection->exchange(Call, {"/health", {}, {}},
                                          steadyNow() + HealthTimeout);
  }
  const Expected<TargetStatus> ReportedStatus = decodeHealth(Exchange);
  Deferred Later;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Polling = false;
    bool AllLost = Lease.AllLost;
    if (Lease.Connection)
      AllLost |= this->Client.giveBack(Lease, Exchange);
    this->ConnectionClosed.notify_all();
    if (AllLost)
      this->apply(ConnectionsLost{}, Later);
    if (ReportedStatus)
      this->apply(
          HealthSeen{ReportedStatus->State, ReportedStatus->Incarnation},
          Later);
    this->dispatch(Later);
  }
  this->carryOut(Later);
}

void SlotRunner::completeUnsent(const SlotTask &Task, Code Reason) const {
  TargetExchange Exchange;
  Exchange.Result = Reason;
  struct Visitor {
    const TargetExchange &Exchange;
    void operator()(const SearchTask &Search) const {
      const LeafBatch &Batch = Search.Batch->Batch;
      Search.OnEnd(
          decodeSearch(Batch, Batch.Items[Search.Item], this->Exchange).Reply);
    }
    void operator()(const WriteTask &Write) const {
      Write.OnEnd(decodeWrite(Write.Write, this->Exchange).Reply);
    }
  };
  std::visit(Visitor{Exchange}, Task.Body);
}

} // namespace balsamyard
