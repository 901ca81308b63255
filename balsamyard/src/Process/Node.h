#pragma once

#include "balsamyard/src/Connection/Listener.h"
#include "balsamyard/src/Connection/TargetChannel.h"
#include "balsamyard/src/Process/FleetAgent.h"
#include "balsamyard/src/Process/Metrics.h"
#include "balsamyard/src/Process/NodeSettings.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Process/ResourceLimits.h"
#include "balsamyard/src/Request/RequestRun.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace balsamyard {

/// \brief Timing of a graceful shutdown.
struct StopTimes {
  /// How long new connections are accepted after the stop signal: the load
  /// balancer checks readiness once a second and removes a node after two
  /// failed checks.
  Duration KeepAccepting = std::chrono::milliseconds(2300);

  /// Part of the stop time that is reserved for the exit of the process.
  Duration ExitMargin = std::chrono::milliseconds(500);

  /// Time in which the answers to the last requests are sent.
  Duration FlushTime = std::chrono::milliseconds(200);

  /// How often open connections are checked during the shutdown.
  Duration CheckInterval = std::chrono::milliseconds(50);
};

/// \brief Memory of a process for the messages of its callers.
struct CallerMemory {
  explicit CallerMemory(const ResourceLimits &Resources)
      : Requests(Resources.RequestBytes), Answers(Resources.AnswerBytes) {}

  MessageMemory Requests;
  MessageMemory Answers; ///< From the targets, until the callers took them.
};

/// \brief A thread that serves callers and owns its connections to callers and
/// targets.
class WorkerThread {
public:
  WorkerThread(const TargetProtocol &Protocol, const RcuCell<FleetView> &View,
               std::atomic<std::uint32_t> &InFlight, CallerMemory &Memory,
               std::size_t MaxCallers, std::uint64_t Seed, std::size_t Number,
               std::size_t Threads,
               std::function<void(RequestCrashEvent)> OnCrashEvent);

  /// \brief Listens for callers; throws std::system_error on failure.
  void listen(const asio::ip::tcp::endpoint &Address);
  std::uint16_t port() const { return this->Callers.port(); }

  void start();
  void stop();

  /// \brief Schedules the update of the connections to targets after a new view
  /// was published.
  void onViewChanged();

  void beginStop();

  /// \brief Rejects all requests from now on, and closes the connections
  /// without one.
  void closeIdle();

  /// \brief Ends all requests with a final answer.
  void endRequests();

  /// \returns the counters of this thread. Each thread has its own to avoid
  /// contention between requests.
  const Metrics &counters() const { return this->Counters; }

  /// \returns the number of open caller connections.
  std::size_t connections() const { return this->Callers.connections(); }

  /// \returns how many of them were closed to make room for others.
  std::uint64_t evictions() const { return this->Callers.evictions(); }

private:
  void tick();
  void logEvictions();

  /// How often deadlines and idle connections are checked.
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  /// A check that is later than this follows a pause of the process or the VM.
  static constexpr Duration MaxTickLag = std::chrono::seconds(1);

  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  const RcuCell<FleetView> &View;
  CallerMemory &Memory;
  Metrics Counters;
  TargetChannels Channels;
  RequestContext Context;
  Listener Callers;
  asio::steady_timer Timer;
  std::uint64_t LoggedEvictions = 0;
  std::thread Thread;
};

/// \brief A node process: worker threads that serve callers, a control thread
/// that watches the platform, the readiness and metrics endpoints, and graceful
/// shutdown.
class Node {
public:
  using SettingsReader = std::function<Expected<NodeSettings>()>;

  /// \p ReadSettings reads the settings again after SIGHUP or when the file at
  /// \p SettingsPath has changed.
  Node(NodeSettings Settings, PlatformAdapter Adapter,
       SettingsReader ReadSettings, std::string SettingsPath,
       StopTimes Stops = {});
  ~Node();

  /// \brief Serves until a graceful shutdown, which a stop signal starts, is
  /// complete.
  void run();

  /// \returns the ports for callers and for readiness, which the kernel chooses
  /// if the settings give 0.
  std::uint16_t callerPort() const { return this->Workers.front()->port(); }
  std::uint16_t readinessPort() const { return this->Readiness.port(); }

  /// \returns the number of open caller connections.
  std::size_t callerConnections() const;

private:
  /// Connections to the readiness page and to the metrics page, each. The load
  /// balancer and a collector of metrics need a few.
  static constexpr std::size_t MaxPageConnections = 64;

  std::string metricsText() const;
  void onReadinessRequest(ServerConnection &Peer, const HttpRequest &Request);
  void onSignal(int Number);
  void beginStop();
  void checkStop();
  void checkSettings();
  void checkPages();
  void reload(const char *Cause);
  bool isReady() const;

  NodeSettings Settings;
  const PlatformAdapter Adapter;
  const SettingsReader ReadSettings;
  const std::string SettingsPath;
  const StopTimes Stops;
  const ResourceLimits Resources;
  const TargetProtocol Protocol;
  RcuCell<FleetView> View;
  std::atomic<std::uint32_t> InFlight{0};
  CallerMemory Memory{this->Resources};
  std::vector<std::unique_ptr<WorkerThread>> Workers;
  asio::io_context Control;
  FleetAgent Agent;
  Listener Readiness;
  Listener MetricsPage;
  asio::signal_set Signals;
  asio::steady_timer StopTimer;
  asio::steady_timer SettingsTimer;
  std::int64_t SettingsModified = 0;
  TimePoint StopBegan{};
  bool Stopping = false;
  bool IdleClosed = false;
  std::optional<TimePoint> RequestsEndedAt;
};

} // namespace balsamyard
