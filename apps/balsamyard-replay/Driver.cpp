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

/// Connections, and hence threads, to one entry address.
constexpr std::size_t MaxWorkers = 256;

/// A connection idle for longer is replaced before use, because the entry
/// process closes it after 1 s and the request would be lost in between.
constexpr std::chrono::milliseconds IdleLimit(500);

/// Time after its deadline in which an answer is still waited for.
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

/// One request that is due.
struct Job {
  const ReplayRequest *Asked = nullptr;
  RequestId Id;
  TimePoint Planned{};
  ReplayResult *Result = nullptr;
};

ReplayResult send(httplib::Client &Client, const Job &Due) {
  const ReplayRequest &Asked = *Due.Asked;
  TimePoint Started = steadyNow();
  httplib::Headers Headers = {
      {"Deadline-Ms", std::to_string(Asked.Deadline.count())},
      {"Request-Id", Due.Id.Text}};
  if (Asked.Repeatable)
    Headers.emplace("Repeatable", *Asked.Repeatable ? "yes" : "no");
  if (Asked.Coverage)
    Headers.emplace("Coverage", std::to_string(*Asked.Coverage));
  setTimeouts(Client, ConnectTimeout, Asked.Deadline + AnswerGrace);
  std::string Path = std::string(Asked.IsWrite ? "/v1/write/" : "/v1/search/") +
                     Asked.Service.Text + "/" + Asked.Route.Text;
  httplib::Result Answer =
      Client.Post(Path, Headers, Asked.Body, "application/json");
  TimePoint Ended = steadyNow();
  ReplayResult Result;
  if (Answer) {
    ReplayRequest Sent = Asked;
    Sent.Id = Due.Id;
    Result = validateAnswer(Sent, Answer->body);
  } else {
    Result.IsWrite = Asked.IsWrite;
    Result.Repeatable = Asked.Repeatable.value_or(!Asked.IsWrite);
    Result.Id = Due.Id;
  }
  Result.StartDelay = Started - Due.Planned;
  Result.Latency = Ended - Due.Planned;
  Result.InTime =
      Result.End != ReplayEnd::Lost && Result.Latency <= Asked.Deadline;
  return Result;
}

/// The connections to one entry address.
class EntryPool {
public:
  explicit EntryPool(Endpoint To) : To(std::move(To)) {}

  ~EntryPool() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Stopping = true;
      this->Changed.notify_all();
    }
    for (std::thread &Each : this->Threads)
      Each.join();
  }

  void add(Job Due) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Jobs.push_back(std::move(Due));
    if (this->Jobs.size() > this->Idle && this->Threads.size() < MaxWorkers)
      this->Threads.emplace_back([this] { this->work(); });
    else
      this->Changed.notify_one();
  }

  /// Asks the health page.
  void probe() {
    httplib::Client Client(this->To.Address, this->To.Port);
    setTimeouts(Client, HealthTimeout, HealthTimeout);
    httplib::Result Answer = Client.Get("/health");
    this->Healthy = Answer && Answer->status == 200;
  }

  const Endpoint To;
  std::atomic<bool> Healthy{true};
  std::atomic<std::size_t> Ended{0};

private:
  void work() {
    httplib::Client Client(this->To.Address, this->To.Port);
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
      Job Due = std::move(this->Jobs.front());
      this->Jobs.pop_front();
      Lock.unlock();
      if (steadyNow() - LastUse > IdleLimit)
        Client.stop();
      ReplayResult Result = send(Client, Due);
      Result.Line = Due.Result->Line;
      Result.At = Due.Result->At;
      Result.Entry = this->To;
      *Due.Result = std::move(Result);
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

/// Waits between periodic tasks until it is stopped.
class StopFlag {
public:
  void stop() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopped = true;
    this->Changed.notify_all();
  }

  /// \returns false once stopped.
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

Expected<void> applyRules(const Endpoint &At, const std::string &Text) {
  PlatformClient Platform(At, CommandTimeout);
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
    if (const auto *Unclear = std::get_if<RulesUnconfirmed>(&*Result))
      return fail(Code::PlatformUnavailable, Unclear->Detail);
  }
  return fail(Code::PlatformConflict, "the rules were changed meanwhile");
}

Expected<void> post(const ReplayFault &Fault) {
  httplib::Client Client(Fault.To.Address, Fault.To.Port);
  setTimeouts(Client, ConnectTimeout, CommandTimeout);
  httplib::Result Answer =
      Client.Post(Fault.Path, Fault.Body, "application/json");
  // A crash ends the connection before its answer.
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
  explicit Impl(DriverOptions Given)
      : Options(std::move(Given)), Random(this->Options.Seed) {
    for (const Endpoint &To : this->Options.Entries)
      this->Pools.push_back(std::make_unique<EntryPool>(To));
  }

  EntryPool &choose();
  void command(const ReplayEvent &Event);
  DriverProgress progress(TimePoint Start) const;

  DriverOptions Options;
  boost::random::mt19937_64 Random;
  std::vector<std::unique_ptr<EntryPool>> Pools;
  std::atomic<std::size_t> Total{0};
  std::atomic<std::size_t> Started{0};
  std::atomic<std::size_t> CommandFailures{0};
};

EntryPool &Driver::Impl::choose() {
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

void Driver::Impl::command(const ReplayEvent &Event) {
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
  Impl &Own = *this->Implementation;
  std::vector<ReplayResult> Results;
  for (const ReplayEvent &Event : Events)
    if (std::holds_alternative<ReplayRequest>(Event.Body)) {
      Results.emplace_back().Line = Event.Line;
      Results.back().At = Event.At;
    }
  Own.Total = Results.size();

  StopFlag Stop;
  for (const auto &Pool : Own.Pools)
    Pool->probe();
  std::thread Health([&] {
    while (Stop.wait(HealthInterval))
      for (const auto &Pool : Own.Pools)
        Pool->probe();
  });
  TimePoint Start = steadyNow();
  std::thread Reporter([&] {
    while (Stop.wait(ReportInterval))
      Report(Own.progress(Start));
  });

  std::vector<std::thread> Commands;
  std::map<RequestId, RequestId> Fresh;
  std::size_t Next = 0;
  for (const ReplayEvent &Event : Events) {
    auto Offset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::micro>(Event.At) /
        Own.Options.Speed);
    TimePoint Planned = Start + Offset;
    std::this_thread::sleep_until(Planned);
    const auto *Asked = std::get_if<ReplayRequest>(&Event.Body);
    if (!Asked) {
      // On a thread of its own, so that it does not delay the requests.
      Commands.emplace_back([&Own, &Event] { Own.command(Event); });
      continue;
    }
    RequestId Id = Asked->Id;
    if (Own.Options.FreshIds)
      Id =
          Fresh.try_emplace(Id, freshRequestId(Id, Own.Options.Seed, wallNow()))
              .first->second;
    Results[Next].At = Offset;
    ++Own.Started;
    Own.choose().add({Asked, std::move(Id), Planned, &Results[Next++]});
  }
  for (std::thread &Each : Commands)
    Each.join();
  while (Own.progress(Start).Ended < Results.size() &&
         Stop.wait(std::chrono::milliseconds(20)))
    ;
  Stop.stop();
  Health.join();
  Reporter.join();
  Report(Own.progress(Start));
  return Results;
}

Expected<ReplayExecutions>
readExecutions(const std::vector<Endpoint> &Targets) {
  ReplayExecutions Sum;
  for (const Endpoint &At : Targets) {
    httplib::Client Client(At.Address, At.Port);
    setTimeouts(Client, CommandTimeout, CommandTimeout);
    httplib::Result Answer = Client.Get("/stats");
    nlohmann::json Stats =
        Answer ? nlohmann::json::parse(Answer->body, nullptr, false)
               : nlohmann::json();
    if (!Stats.is_object() || !Stats.contains("writes") ||
        !Stats["writes"].is_object())
      return fail(Code::TargetMalformed,
                  "target " + toText(At) + " does not answer on /stats");
    for (const auto &[Id, Count] : Stats["writes"].items())
      if (Count.is_number_unsigned())
        Sum[Id] += Count.get<std::uint64_t>();
  }
  return Sum;
}

} // namespace balsamyard::replay
