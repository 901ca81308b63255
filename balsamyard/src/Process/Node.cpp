#include "balsamyard/src/Process/Node.h"

#include "balsamyard/src/Core/Log.h"

#include <asio/post.hpp>
#include <csignal>
#include <random>
#include <sys/stat.h>

namespace balsamyard {

namespace {

/// How often the settings file is checked for changes that come without a
/// signal.
constexpr Duration SettingsCheckInterval = std::chrono::seconds(1);

asio::ip::tcp::endpoint toEndpoint(const Endpoint &Source) {
  return {asio::ip::make_address(Source.Address), Source.Port};
}

ServerLimits limitsOf(const FleetView &View, CallerMemory &Memory) {
  ServerLimits Result;
  Result.Message.Memory = &Memory.Requests;
  Result.Answers = &Memory.Answers;
  if (!View.Config)
    return Result;
  const CallerLimits &Limits = View.Config->Limits;
  Result.Message = {Limits.HeaderBytes, Limits.BodyBytes, &Memory.Requests};
  Result.HeaderTimeout = Limits.HeaderTimeout;
  Result.IdleTimeout = Limits.IdleTimeout;
  return Result;
}

/// \returns the limits of pages, whose requests are short and have no body.
ServerLimits pageLimits(CallerMemory &Memory) {
  constexpr std::size_t HeaderBytes = 8UL * 1024;
  constexpr std::size_t BodyBytes = 1024;
  ServerLimits Result;
  Result.Message = {HeaderBytes, BodyBytes, &Memory.Requests};
  return Result;
}

/// \returns hooks for a page whose requests are answered synchronously.
ServerHooks immediateHooks(
    CallerMemory &Memory,
    std::function<void(ServerConnection &, const HttpRequest &)> Answer) {
  return {[Answer = std::move(Answer)](ServerConnection &Peer,
                                       const HttpRequest &Request) {
            Answer(Peer, Request);
          },
          [](ServerConnection &) {
            // Nothing to cancel: requests are answered synchronously.
          },
          [&Memory] { return pageLimits(Memory); }};
}

/// \returns the modification time in nanoseconds since the epoch, or 0 if the
/// file cannot be read.
std::int64_t modificationTime(const std::string &Path) {
  struct stat Status {};
  if (Path.empty() || ::stat(Path.c_str(), &Status) != 0)
    return 0;
  return std::int64_t(Status.st_mtim.tv_sec) * 1'000'000'000 +
         Status.st_mtim.tv_nsec;
}

} // namespace

WorkerThread::WorkerThread(const TargetProtocol &Protocol,
                           const RcuCell<FleetView> &View,
                           std::atomic<std::uint32_t> &InFlight,
                           CallerMemory &Memory, std::size_t MaxCallers,
                           std::uint64_t Seed, std::size_t Number,
                           std::size_t Threads,
                           std::function<void(RequestCrashEvent)> OnCrashEvent)
    : Io(1), Work(asio::make_work_guard(this->Io)), View(View), Memory(Memory),
      Channels(this->Io, Protocol, Threads,
               HttpLimits{.Memory = &Memory.Answers}),
      Context{this->Io,
              this->Channels,
              Protocol,
              View,
              this->Counters,
              InFlight,
              Seed,
              "thread=\"" + std::to_string(Number) + "\"",
              std::move(OnCrashEvent)},
      Callers(
          this->Io,
          ServerHooks{
              [this](ServerConnection &Caller, HttpRequest Request) {
                RequestRun::start(this->Context, Caller, std::move(Request));
              },
              [](ServerConnection &Caller) {
                RequestRun::callerDisconnected(Caller);
              },
              [this] { return limitsOf(*this->View.read(), this->Memory); }},
          MaxCallers),
      Timer(this->Io) {}

void WorkerThread::listen(const asio::ip::tcp::endpoint &Address) {
  this->Callers.listen(Address);
}

void WorkerThread::start() {
  this->tick();
  this->Thread = std::thread([this] { this->Io.run(); });
}

void WorkerThread::stop() {
  this->Io.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void WorkerThread::onViewChanged() {
  asio::post(this->Io, [this] {
    const Ref<const FleetView> Current = this->View.read();
    if (Current->Config)
      this->Channels.setView(Current);
  });
}

void WorkerThread::beginStop() {
  asio::post(this->Io, [this] { this->Callers.beginStop(); });
}

void WorkerThread::closeIdle() {
  asio::post(this->Io, [this] {
    this->Context.IsStopping = true;
    this->Callers.closeIdle();
  });
}

void WorkerThread::endRequests() {
  asio::post(this->Io, [this] {
    for (const Ref<ServerConnection> &Caller : this->Callers.open())
      RequestRun::stop(*Caller);
  });
}

void WorkerThread::tick() {
  this->Channels.tick(steadyNow());
  // While this thread does not run, no peer can take anything.
  const TimePoint Now = steadyNow();
  if (Now - this->Context.NextTick < MaxTickLag)
    this->Callers.endStalled(Now, &this->Memory.Answers);
  this->logEvictions();
  this->Context.NextTick = steadyNow() + TickInterval;
  this->Timer.expires_at(this->Context.NextTick);
  this->Timer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->tick();
  });
}

void WorkerThread::logEvictions() {
  const std::uint64_t Total = this->Callers.evictions();
  if (Total == this->LoggedEvictions)
    return;
  logEvent(LogLevel::Warning, "callers-evicted",
           {{"count", static_cast<std::int64_t>(Total - this->LoggedEvictions)},
            {"open", static_cast<std::int64_t>(this->Callers.connections())}});
  this->LoggedEvictions = Total;
}

Node::Node(NodeSettings Settings, PlatformAdapter Adapter,
           SettingsReader ReadSettings, std::string SettingsPath,
           StopTimes Stops)
    : Settings(std::move(Settings)), Adapter(std::move(Adapter)),
      ReadSettings(std::move(ReadSettings)),
      SettingsPath(std::move(SettingsPath)), Stops(Stops),
      Resources(divideResources(this->Settings)),
      Protocol(this->Adapter.Headers), View(makeRef<const FleetView>()),
      Control(1),
      Agent(this->Control, this->Settings, this->Adapter, this->View,
            [this] {
              for (const auto &Worker : this->Workers)
                Worker->onViewChanged();
            }),
      Readiness(this->Control,
                immediateHooks(
                    this->Memory,
                    [this](ServerConnection &Peer, const HttpRequest &Request) {
                      this->onReadinessRequest(Peer, Request);
                    }),
                MaxPageConnections),
      MetricsPage(
          this->Control,
          immediateHooks(this->Memory,
                         [this](ServerConnection &Peer, const HttpRequest &) {
                           const bool KeepOpen = Peer.mayKeepOpen();
                           Peer.answer(plainAnswer(200, this->metricsText(),
                                                   KeepOpen, {},
                                                   "text/plain; version=0.0.4"),
                                       KeepOpen);
                         }),
          MaxPageConnections),
      Signals(this->Control, SIGTERM, SIGINT, SIGHUP), StopTimer(this->Control),
      SettingsTimer(this->Control),
      SettingsModified(modificationTime(this->SettingsPath)) {
  std::random_device Entropy;
  for (std::uint32_t Count = 0; Count < this->Settings.Cores; ++Count) {
    this->Workers.push_back(std::make_unique<WorkerThread>(
        this->Protocol, this->View, this->InFlight, this->Memory,
        this->Resources.Connections / this->Settings.Cores,
        (std::uint64_t(Entropy()) << 32) + Entropy(), Count,
        this->Settings.Cores, [this](RequestCrashEvent Event) {
          asio::post(this->Control, [this, Event = std::move(Event)] {
            this->Agent.report(Event);
          });
        }));
    // The kernel may choose the port for the first thread; the others share it.
    if (Count > 0)
      this->Settings.Callers.Port = this->Workers.front()->port();
    this->Workers.back()->listen(toEndpoint(this->Settings.Callers));
  }
  this->Readiness.listen(toEndpoint(this->Settings.Readiness));
  if (this->Settings.MetricsPort != 0)
    this->MetricsPage.listen(toEndpoint(
        {this->Settings.Callers.Address, this->Settings.MetricsPort}));
}

Node::~Node() {
  for (const auto &Worker : this->Workers)
    Worker->stop();
}

void Node::run() {
  this->onSignal(0);
  for (const auto &Worker : this->Workers)
    Worker->start();
  this->Agent.start();
  this->checkSettings();
  this->Control.run();
}

bool Node::isReady() const { return !this->Stopping && this->Agent.isReady(); }

std::size_t Node::callerConnections() const {
  std::size_t Result = 0;
  for (const auto &Worker : this->Workers)
    Result += Worker->connections();
  return Result;
}

std::string Node::metricsText() const {
  const Ref<const FleetView> Current = this->View.read();
  Metrics ProcessMetrics;
  ProcessMetrics.set("node_ready", "", this->isReady() ? 1 : 0);
  ProcessMetrics.set("requests_in_flight", "", this->InFlight.load());
  const auto SetMemory = [&](const std::string &Labels,
                             const MessageMemory &Messages) {
    ProcessMetrics.set("message_memory_bytes", Labels,
                       static_cast<double>(Messages.used()));
    ProcessMetrics.set("messages_refused_total", Labels,
                       static_cast<double>(Messages.refusals()));
  };
  SetMemory("of=\"requests\"", this->Memory.Requests);
  SetMemory("of=\"answers\"", this->Memory.Answers);
  ProcessMetrics.set("nodes_counted", "", Current->Shares.Nodes);
  ProcessMetrics.set("store_read", "", this->Agent.readsStore() ? 1 : 0);
  ProcessMetrics.set("followers", "",
                     static_cast<double>(this->Agent.followers()));
  ProcessMetrics.set("targets_as_of", "",
                     static_cast<double>(Current->TargetsAsOf.Number));
  ProcessMetrics.set("log_lines_dropped_total", "",
                     static_cast<double>(droppedLogLines()));
  if (Current->Config)
    ProcessMetrics.set("configuration_version", "",
                       static_cast<double>(static_cast<std::uint64_t>(
                           Current->Config->Version)));
  std::uint64_t Evictions = 0;
  for (const auto &Worker : this->Workers)
    Evictions += Worker->evictions();
  ProcessMetrics.set("caller_connections", "",
                     static_cast<double>(this->callerConnections()));
  ProcessMetrics.set("callers_evicted_total", "",
                     static_cast<double>(Evictions));
  std::string Text = ProcessMetrics.toText();
  for (const auto &Worker : this->Workers)
    Text += Worker->counters().toText();
  return Text;
}

void Node::onReadinessRequest(ServerConnection &Peer,
                              const HttpRequest &Request) {
  const bool KeepOpen = Peer.mayKeepOpen();
  if (Request.Target != this->Adapter.ReadinessPath) {
    Peer.answer(plainAnswer(404, "unknown path", KeepOpen), KeepOpen);
    return;
  }
  const bool Ready = this->isReady();
  Peer.answer(
      plainAnswer(Ready ? 200 : 503, Ready ? "ready" : "not ready", KeepOpen),
      KeepOpen);
}

void Node::onSignal(int Number) {
  if (Number == SIGTERM || Number == SIGINT)
    this->beginStop();
  else if (Number == SIGHUP)
    this->reload("signal");
  this->Signals.async_wait([this](const asio::error_code &Cancelled, int Next) {
    if (!Cancelled)
      this->onSignal(Next);
  });
}

void Node::reload(const char *Cause) {
  this->SettingsModified = modificationTime(this->SettingsPath);
  const Expected<NodeSettings> Next = this->ReadSettings();
  if (!Next) {
    logEvent(LogLevel::Error, "settings-rejected",
             {{"cause", std::string(Cause)},
              {"code", Next.error().Value},
              {"detail", Next.error().Detail}});
    return;
  }
  logEvent(LogLevel::Info, "settings-reloaded",
           {{"cause", std::string(Cause)}});
  // Changes of the listen addresses need a restart.
  this->Settings.Bounds = Next->Bounds;
  this->Settings.Store = Next->Store;
  this->Agent.reload(*Next);
}

void Node::checkPages() {
  const TimePoint Now = steadyNow();
  this->Readiness.endStalled(Now);
  this->MetricsPage.endStalled(Now);
}

void Node::checkSettings() {
  this->checkPages();
  if (modificationTime(this->SettingsPath) != this->SettingsModified)
    this->reload("file");
  this->SettingsTimer.expires_after(SettingsCheckInterval);
  this->SettingsTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->checkSettings();
  });
}

void Node::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->StopBegan = steadyNow();
  logEvent(LogLevel::Info, "node-stopping", {});
  this->Agent.beginStop();
  for (const auto &Worker : this->Workers)
    Worker->beginStop();
  this->checkStop();
}

void Node::checkStop() {
  const Duration Age = steadyNow() - this->StopBegan;
  if (Age >= this->Stops.KeepAccepting && !this->IdleClosed) {
    this->IdleClosed = true;
    for (const auto &Worker : this->Workers)
      Worker->closeIdle();
  }
  const std::size_t Open = this->callerConnections();
  const TimePoint Now = steadyNow();
  if (Age >= this->Settings.Bounds.StopTime - this->Stops.ExitMargin &&
      !this->RequestsEndedAt) {
    this->RequestsEndedAt = Now;
    for (const auto &Worker : this->Workers)
      Worker->endRequests();
  }
  const bool TimeOver = this->RequestsEndedAt &&
                        Now - *this->RequestsEndedAt >= this->Stops.FlushTime;
  // Connections that were accepted last may not be counted yet.
  const bool Settled =
      Age >= this->Stops.KeepAccepting + std::chrono::milliseconds(200);
  if ((this->IdleClosed && Settled && Open == 0) || TimeOver) {
    logEvent(LogLevel::Info, "node-stopped",
             {{"connections", static_cast<std::int64_t>(Open)}, {"age", Age}});
    this->Control.stop();
    return;
  }
  this->StopTimer.expires_after(this->Stops.CheckInterval);
  this->StopTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->checkStop();
  });
}

} // namespace balsamyard
