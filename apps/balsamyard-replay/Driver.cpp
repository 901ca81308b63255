#include "apps/balsamyard-replay/Driver.h"

#include "balsamyard/src/Process/RulesStore.h"

#include <atomic>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace balsamyard::replay {

namespace {

/// Limit on connections to one entry address; each has its own thread.
constexpr std::size_t MaxWorkers = 256;

/// A connection that was idle for longer is replaced before use. The entry
/// process closes it after 1 s, and a request sent at that moment would be
/// lost.
constexpr std::chrono::milliseconds IdleLimit(500);

/// How long to wait for an answer after the deadline of its request.
constexpr std::chrono::milliseconds AnswerGrace(2000);

constexpr std::chrono::milliseconds ConnectTimeout(1000);
constexpr std::chrono::milliseconds HealthInterval(250);
constexpr std::chrono::milliseconds HealthTimeout(500);
constexpr std::chrono::milliseconds CommandTimeout(5000);
constexpr std::chrono::milliseconds ReportInterval(1000);

constexpr int RulesAttempts = 3;

void setTimeouts(httplib::Client &Client, std::chrono::milliseconds Connect,
                 std::chrono::milliseconds Transfer) {
  Client.set_connection_timeout(Connect);
  Client.set_read_timeout(Transfer);
  Client.set_write_timeout(Transfer);
}

/// A request that is due and where its result goes.
struct Job {
  const ReplayRequest *Request = nullptr;
  RequestId Id;
  TimePoint Planned{};
  ReplayResult *Result = nullptr;
};

ReplayResult send(httplib::Client &Client, const Job &Pending) {
  const ReplayRequest &Request = *Pending.Request;
  TimePoint Started = steadyNow();
  httplib::Headers Headers = {
      {"Deadline-Ms", std::to_string(Request.Deadline.count())},
      {"Request-Id", Pending.Id.Text}};
  if (Request.Repeatable)
    Headers.emplace("Repeatable", *Request.Repeatable ? "yes" : "no");
  if (Request.Coverage)
    Headers.emplace("Coverage", std::to_string(*Request.Coverage));
  setTimeouts(Client, ConnectTimeout, Request.Deadline + AnswerGrace);
  std::string Path =
      std::string(Request.IsWrite ? "/v1/write/" : "/v1/search/") +
      Request.Service.Text + "/" + Request.Route.Text;
  httplib::Result Answer =
      Client.Post(Path, Headers, Request.Body, "application/json");
  TimePoint Ended = steadyNow();
  ReplayResult Result;
  if (Answer) {
    ReplayRequest Sent = Request;
    Sent.Id = Pending.Id;
    Result = validateAnswer(Sent, Answer->body);
  } else {
    Result.IsWrite = Request.IsWrite;
    Result.Repeatable = Request.Repeatable.value_or(!Request.IsWrite);
    Result.Id = Pending.Id;
  }
  Result.StartDelay = Started - Pending.Planned;
  Result.Latency = Ended - Pending.Planned;
  Result.InTime =
      Result.End != ReplayEnd::Lost && Result.Latency <= Request.Deadline;
  return Result;
}

/// Connections to one entry address, opened as needed, and their job queue.
class EntryPool {
public:
  explicit EntryPool(Endpoint Address) : Address(std::move(Address)) {}

  ~EntryPool() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Stopping = true;
      this->Changed.notify_all();
    }
    for (std::thread &Thread : this->Threads)
      Thread.join();
  }

  void add(Job Pending) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Jobs.push_back(std::move(Pending));
    if (this->Jobs.size() > this->Idle && this->Threads.size() < MaxWorkers)
      this->Threads.emplace_back([this] { this->work(); });
    else
      this->Changed.notify_one();
  }

  /// Queries the health page and updates Healthy.
  void probe() {
    httplib::Client Client(this->Address.Address, this->Address.Port);
    setTimeouts(Client, HealthTimeout, HealthTimeout);
    httplib::Result Answer = Client.Get("/health");
    this->Healthy = Answer && Answer->status == 200;
  }

  const Endpoint Address;
  std::atomic<bool> Healthy{true};
  std::atomic<std::size_t> Ended{0};

private:
  void work() {
    httplib::Client Client(this->Address.Address, this->Address.Port);
    Client.set_tcp_nodelay(true);
    Client.set_keep_alive(true);
    TimePoint LastUse = steadyNow();
    std::unique_lock<std::mutex> Lock(this->Mutex);
    for (;;) {
      ++this->Idle;
      this->Changed.wait(
          Lock, [this] { return this->Stopping || !this->Jobs.empty(); });
      --this->Idle;
      if (this->Jobs.empty())
        return;
      Job Pending = std::move(this->Jobs.front());
      this->Jobs.pop_front();
      Lock.unlock();
      if (steadyNow() - LastUse > IdleLimit)
        Client.stop();
      ReplayResult Result = send(Client, Pending);
      Result.Line = Pending.Result->Line;
      Result.At = Pending.Result->At;
      Result.Entry = this->Address;
      *Pending.Result = std::move(Result);
      LastUse = steadyNow();
      ++this->Ended;
      Lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Job> Jobs;
  std::vector<std::thread> Threads;
  std::size_t Idle = 0;
  bool Stopping = false;
};

/// Lets loops of periodic tasks wait, and ends their wait at once on stop().
class StopSignal {
public:
  void stop() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopped = true;
    this->Changed.notify_all();
  }

  /// Waits for \p Time or stop(). \returns false once stopped.
  bool wait(std::chrono::milliseconds Time) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    return !this->Changed.wait_for(Lock, Time,
                                   [this] { return this->Stopped; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
};

Expected<void> applyRules(const Endpoint &Address, const std::string &Text) {
  PlatformClient Platform(Address, CommandTimeout);
  RulesStore Store(Platform);
  for (int Attempt = 0; Attempt < RulesAttempts; ++Attempt) {
    Expected<StoredRules> Current = Store.read();
    if (!Current)
      return tl::unexpected(Current.error());
    Expected<ApplyResult> Result = Store.apply(Text, Current->Version);
    if (!Result)
      return tl::unexpected(Result.error());
    if (std::holds_alternative<RulesAccepted>(*Result))
      return {};
    if (const auto *Unconfirmed = std::get_if<RulesUnconfirmed>(&*Result))
      return fail(Code::PlatformUnavailable, Unconfirmed->Detail);
  }
  return fail(Code::PlatformConflict, "the rules were changed meanwhile");
}

Expected<void> post(const ReplayFault &Fault) {
  httplib::Client Client(Fault.To.Address, Fault.To.Port);
  setTimeouts(Client, ConnectTimeout, CommandTimeout);
  httplib::Result Answer =
      Client.Post(Fault.Path, Fault.Body, "application/json");
  // A process that crashes on command closes the connection without an
  // answer.
  if (!Answer && Answer.error() == httplib::Error::Read)
    return {};
  if (!Answer)
    return fail(Code::PeerUnreachable, httplib::to_string(Answer.error()));
  if (Answer->status != 200 && Answer->status != 204)
    return fail(Code::PeerUnreachable,
                "status " + std::to_string(Answer->status));
  return {};
}

} // namespace

struct Driver::Impl {
  explicit Impl(DriverOptions Options)
      : Options(std::move(Options)), Random(this->Options.Seed) {
    for (const Endpoint &To : this->Options.Entries)
      this->Pools.push_back(std::make_unique<EntryPool>(To));
  }

  EntryPool &choosePool();
  void runCommand(const ReplayEvent &Event);
  DriverProgress progress(TimePoint Start) const;

  DriverOptions Options;
  boost::random::mt19937_64 Random;
  std::vector<std::unique_ptr<EntryPool>> Pools;
  std::atomic<std::size_t> Total{0};
  std::atomic<std::size_t> Started{0};
  std::atomic<std::size_t> CommandFailures{0};
};

EntryPool &Driver::Impl::choosePool() {
  std::vector<EntryPool *> Usable;
  for (const auto &Pool : this->Pools)
    if (Pool->Healthy)
      Usable.push_back(Pool.get());
  if (Usable.empty())
    for (const auto &Pool : this->Pools)
      Usable.push_back(Pool.get());
  boost::random::uniform_int_distribution<std::size_t> Draw(0,
                                                            Usable.size() - 1);
  return *Usable[Draw(this->Random)];
}

void Driver::Impl::runCommand(const ReplayEvent &Event) {
  Expected<void> Result;
  if (const auto *Fault = std::get_if<ReplayFault>(&Event.Body))
    Result = post(*Fault);
  else if (!this->Options.Platform)
    Result = fail(Code::PlatformUnavailable, "rules need --platform");
  else
    Result = applyRules(*this->Options.Platform,
                        std::get<ReplayRules>(Event.Body).Text);
  if (Result)
    return;
  ++this->CommandFailures;
  std::cerr << "line " << Event.Line
            << " of the trace failed: " << Result.error().Detail << '\n';
}

DriverProgress Driver::Impl::progress(TimePoint Start) const {
  DriverProgress Now;
  Now.Elapsed = steadyNow() - Start;
  Now.Total = this->Total;
  Now.Started = this->Started;
  for (const auto &Pool : this->Pools)
    Now.Ended += Pool->Ended;
  Now.CommandFailures = this->CommandFailures;
  return Now;
}

Driver::Driver(DriverOptions Options)
    : Implementation(std::make_unique<Impl>(std::move(Options))) {}

Driver::~Driver() = default;

std::size_t Driver::commandFailures() const {
  return this->Implementation->CommandFailures;
}

std::vector<ReplayResult>
Driver::run(const std::vector<ReplayEvent> &Events,
            const std::function<void(const DriverProgress &)> &Report) {
  Impl &State = *this->Implementation;
  std::vector<ReplayResult> Results;
  for (const ReplayEvent &Event : Events)
    if (std::holds_alternative<ReplayRequest>(Event.Body)) {
      Results.emplace_back().Line = Event.Line;
      Results.back().At = Event.At;
    }
  State.Total = Results.size();

  StopSignal Stop;
  for (const auto &Pool : State.Pools)
    Pool->probe();
  std::thread Health([&] {
    while (Stop.wait(HealthInterval))
      for (const auto &Pool : State.Pools)
        Pool->probe();
  });
  TimePoint Start = steadyNow();
  std::thread Reporter([&] {
    while (Stop.wait(ReportInterval))
      Report(State.progress(Start));
  });

  std::vector<std::thread> Commands;
  std::map<RequestId, RequestId> NewIds;
  std::size_t Next = 0;
  for (const ReplayEvent &Event : Events) {
    auto Offset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::micro>(Event.At) /
        State.Options.Speed);
    TimePoint Planned = Start + Offset;
    std::this_thread::sleep_until(Planned);
    const auto *Request = std::get_if<ReplayRequest>(&Event.Body);
    if (!Request) {
      // Runs on a separate thread so that it does not delay the requests.
      Commands.emplace_back([&State, &Event] { State.runCommand(Event); });
      continue;
    }
    RequestId Id = Request->Id;
    if (State.Options.FreshIds)
      Id = NewIds
               .try_emplace(Id,
                            freshRequestId(Id, State.Options.Seed, wallNow()))
               .first->second;
    Results[Next].At = Offset;
    ++State.Started;
    State.choosePool().add({Request, std::move(Id), Planned, &Results[Next++]});
  }
  for (std::thread &Thread : Commands)
    Thread.join();
  while (State.progress(Start).Ended < Results.size() &&
         Stop.wait(std::chrono::milliseconds(20)))
    ;
  Stop.stop();
  Health.join();
  Reporter.join();
  Report(State.progress(Start));
  return Results;
}

Expected<ReplayExecutions>
readExecutions(const std::vector<Endpoint> &Targets) {
  ReplayExecutions Sum;
  for (const Endpoint &Target : Targets) {
    httplib::Client Client(Target.Address, Target.Port);
    setTimeouts(Client, CommandTimeout, CommandTimeout);
    httplib::Result Answer = Client.Get("/stats");
    nlohmann::json Stats =
        Answer ? nlohmann::json::parse(Answer->body, nullptr, false)
               : nlohmann::json();
    if (!Stats.is_object() || !Stats.contains("writes") ||
        !Stats["writes"].is_object())
      return fail(Code::TargetMalformed,
                  "target " + toText(Target) + " does not answer on /stats");
    for (const auto &[Id, Count] : Stats["writes"].items())
      if (Count.is_number_unsigned())
        Sum[Id] += Count.get<std::uint64_t>();
  }
  return Sum;
}

} // namespace balsamyard::replay
