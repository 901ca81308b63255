#include "balsamyard/src/Process/Node.h"

#include "balsamyard/src/Core/Log.h"

#include <asio/post.hpp>
#include <csignal>
#include <random>
#include <sys/stat.h>

namespace balsamyard {

namespace {

/// How often the settings file is looked at; it may change without a signal.
constexpr Duration SettingsInterval = std::chrono::seconds(1);

asio::ip::tcp::endpoint toEndpoint(const Endpoint &At) {
  return {asio::ip::make_address(At.Address), At.Port};
}

ServerLimits limitsOf(const FleetView &View) {
  ServerLimits Result;
  if (!View.Config)
    return Result;
  const CallerLimits &Limits = View.Config->Limits;
  Result.Message = {Limits.HeaderBytes, Limits.BodyBytes};
  Result.HeaderTimeout = Limits.HeaderTimeout;
  Result.IdleTimeout = Limits.IdleTimeout;
  return Result;
}

/// \returns the hooks of a page that answers at once.
ServerHooks
pageHooks(std::function<void(ServerConnection &, const HttpRequest &)> Answer) {
  return {[Answer = std::move(Answer)](ServerConnection &Peer,
                                       const HttpRequest &Request) {
            Answer(Peer, Request);
          },
          [](ServerConnection &) {
            // Its answer is not needed any more.
          },
          [] { return ServerLimits{}; }};
}

/// \returns when the file was changed, 0 if that is not known.
std::int64_t changeTime(const std::string &Path) {
  struct stat Status {};
  if (Path.empty() || ::stat(Path.c_str(), &Status) != 0)
    return 0;
  return std::int64_t(Status.st_mtim.tv_sec) * 1'000'000'000 +
         Status.st_mtim.tv_nsec;
}

} // namespace

PathThread::PathThread(const TargetProtocol &Protocol,
                       const RcuCell<FleetView> &View,
                       std::atomic<std::uint32_t> &InFlight, std::uint64_t Seed,
                       std::size_t Number, std::size_t Threads,
                       std::function<void(RequestCrashEvent)> OnCrashEvent)
    : Io(1), Work(asio::make_work_guard(this->Io)), View(View),
      Channels(this->Io, Protocol, Threads),
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
              [](ServerConnection &Caller) { RequestRun::callerGone(Caller); },
              [this] { return limitsOf(*this->View.read()); }}),
      Timer(this->Io) {}

void PathThread::listen(const asio::ip::tcp::endpoint &At) {
  this->Callers.listen(At);
}

void PathThread::start() {
  this->tick();
  this->Thread = std::thread([this] { this->Io.run(); });
}

void PathThread::stop() {
  this->Io.stop();
  if (this->Thread.joinable())
    this->Thread.join();
}

void PathThread::follow() {
  asio::post(this->Io, [this] {
    const Ref<const FleetView> Current = this->View.read();
    if (Current->Config)
      this->Channels.setView(Current);
  });
}

void PathThread::beginStop() {
  asio::post(this->Io, [this] { this->Callers.beginStop(); });
}

void PathThread::closeIdle() {
  asio::post(this->Io, [this] { this->Callers.closeIdle(); });
}

void PathThread::tick() {
  this->Channels.tick(steadyNow());
  this->ConnectionCount.store(this->Callers.connections(),
                              std::memory_order_relaxed);
  this->Timer.expires_after(TickInterval);
  this->Timer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->tick();
  });
}

Node::Node(NodeSettings Given, PlatformAdapter Spoken, SettingsReader Reread,
           std::string SettingsPath, StopTimes Stops)
    : Settings(std::move(Given)), Adapter(std::move(Spoken)),
      Reread(std::move(Reread)), SettingsPath(std::move(SettingsPath)),
      Stops(Stops), Protocol(this->Adapter.Headers),
      View(makeRef<const FleetView>()), Control(1),
      Agent(this->Control, this->Settings, this->Adapter, this->View,
            [this] {
              for (const auto &Path : this->Paths)
                Path->follow();
            }),
      Readiness(this->Control, pageHooks([this](ServerConnection &Peer,
                                                const HttpRequest &Request) {
                  this->onReadinessRequest(Peer, Request);
                })),
      MetricsPage(this->Control, pageHooks([this](ServerConnection &Peer,
                                                  const HttpRequest &) {
                    const bool KeepOpen = Peer.mayKeepOpen();
                    Peer.answer(plainAnswer(200, this->metricsText(), KeepOpen,
                                            {}, "text/plain; version=0.0.4"),
                                KeepOpen);
                  })),
      Signals(this->Control, SIGTERM, SIGINT, SIGHUP), StopTimer(this->Control),
      SettingsTimer(this->Control),
      SettingsChangedAt(changeTime(this->SettingsPath)) {
  std::random_device Entropy;
  for (std::uint32_t Count = 0; Count < this->Settings.Cores; ++Count) {
    this->Paths.push_back(std::make_unique<PathThread>(
        this->Protocol, this->View, this->InFlight,
        (std::uint64_t(Entropy()) << 32) + Entropy(), Count,
        this->Settings.Cores, [this](RequestCrashEvent Event) {
          asio::post(this->Control, [this, Event = std::move(Event)] {
            this->Agent.report(Event);
          });
        }));
    // All threads listen on the port that the first one got.
    if (Count > 0)
      this->Settings.Callers.Port = this->Paths.front()->port();
    this->Paths.back()->listen(toEndpoint(this->Settings.Callers));
  }
  this->Readiness.listen(toEndpoint(this->Settings.Readiness));
  if (this->Settings.MetricsPort != 0)
    this->MetricsPage.listen(toEndpoint(
        {this->Settings.Callers.Address, this->Settings.MetricsPort}));
}

Node::~Node() {
  for (const auto &Path : this->Paths)
    Path->stop();
}

void Node::run() {
  this->onSignal(0);
  for (const auto &Path : this->Paths)
    Path->start();
  this->Agent.start();
  this->watchSettings();
  this->Control.run();
}

bool Node::isReady() const { return !this->Stopping && this->Agent.isReady(); }

std::string Node::metricsText() const {
  const Ref<const FleetView> Current = this->View.read();
  Metrics Own;
  Own.set("node_ready", "", this->isReady() ? 1 : 0);
  Own.set("requests_in_flight", "", this->InFlight.load());
  Own.set("nodes_counted", "", Current->Shares.Nodes);
  Own.set("log_lines_dropped_total", "",
          static_cast<double>(droppedLogLines()));
  if (Current->Config)
    Own.set("configuration_version", "",
            static_cast<double>(
                static_cast<std::uint64_t>(Current->Config->Version)));
  std::string Text = Own.toText();
  for (const auto &Path : this->Paths)
    Text += Path->counters().toText();
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
  this->SettingsChangedAt = changeTime(this->SettingsPath);
  const Expected<NodeSettings> Next = this->Reread();
  if (!Next) {
    logEvent(LogLevel::Error, "settings-rejected",
             {{"cause", std::string(Cause)},
              {"code", Next.error().Value},
              {"detail", Next.error().Detail}});
    return;
  }
  logEvent(LogLevel::Info, "settings-reloaded",
           {{"cause", std::string(Cause)}});
  // Addresses on which the process listens stay until it starts again.
  this->Settings.Bounds = Next->Bounds;
  this->Settings.Store = Next->Store;
  this->Agent.reload(*Next);
}

void Node::watchSettings() {
  if (changeTime(this->SettingsPath) != this->SettingsChangedAt)
    this->reload("file");
  this->SettingsTimer.expires_after(SettingsInterval);
  this->SettingsTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->watchSettings();
  });
}

void Node::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->StopSince = steadyNow();
  logEvent(LogLevel::Info, "node-stopping", {});
  for (const auto &Path : this->Paths)
    Path->beginStop();
  this->checkStop();
}

void Node::checkStop() {
  const Duration Age = steadyNow() - this->StopSince;
  if (Age >= this->Stops.KeepAccepting && !this->IdleClosed) {
    this->IdleClosed = true;
    for (const auto &Path : this->Paths)
      Path->closeIdle();
  }
  std::size_t Open = 0;
  for (const auto &Path : this->Paths)
    Open += Path->connections();
  const bool TimeOver =
      Age >= this->Settings.Bounds.StopTime - this->Stops.ExitMargin;
  // The count of connections is one tick old.
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
