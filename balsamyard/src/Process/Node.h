#pragma once

#include "balsamyard/src/Connection/ServerConnection.h"
#include "balsamyard/src/Connection/TargetChannel.h"
#include "balsamyard/src/Process/FleetAgent.h"
#include "balsamyard/src/Process/Metrics.h"
#include "balsamyard/src/Process/NodeSettings.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Request/RequestRun.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace balsamyard {

/// \brief How the stop of a node proceeds.
struct StopTimes {
  /// The balancer asks once a second and takes a node out after two misses.
  Duration KeepAccepting = std::chrono::milliseconds(2300);

  /// Part of the stop time that is left for the end of the process itself.
  Duration ExitMargin = std::chrono::milliseconds(500);

  /// How often the connections are looked at.
  Duration CheckInterval = std::chrono::milliseconds(50);
};

/// \brief One thread that serves callers, with connections of its own.
class PathThread {
public:
  PathThread(const TargetProtocol &Protocol, const RcuCell<FleetView> &View,
             std::atomic<std::uint32_t> &InFlight, std::uint64_t Seed,
             std::size_t Number, std::size_t Threads,
             std::function<void(RequestCrashEvent)> OnCrashEvent);

  /// \brief Listens for callers; throws std::system_error if it cannot.
  void listen(const asio::ip::tcp::endpoint &At);
  std::uint16_t port() const { return this->Callers.port(); }

  void start();
  void stop();

  /// \brief The view has changed.
  void follow();

  void beginStop();
  void closeIdle();

  /// \returns the counters of this thread; each thread has its own, so that
  /// requests share no lock.
  const Metrics &counters() const { return this->Counters; }

  /// \returns open connections of callers, as of the last tick.
  std::size_t connections() const {
    return this->ConnectionCount.load(std::memory_order_relaxed);
  }

private:
  void tick();

  /// How often deadlines and idle connections are checked.
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);

  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  const RcuCell<FleetView> &View;
  Metrics Counters;
  TargetChannels Channels;
  RequestContext Context;
  Listener Callers;
  asio::steady_timer Timer;
  std::atomic<std::size_t> ConnectionCount{0};
  std::thread Thread;
};

/// \brief A node process: the threads that serve callers, the control thread
/// that follows the platform, readiness, and the orderly stop.
class Node {
public:
  using SettingsReader = std::function<Expected<NodeSettings>()>;

  /// \p Reread gives the settings again after SIGHUP.
  Node(NodeSettings Settings, PlatformAdapter Adapter, SettingsReader Reread,
       std::string SettingsPath, StopTimes Stops = {});
  ~Node();

  /// \brief Serves until a stop signal has been carried out.
  void run();

  /// \returns the ports for callers and for readiness; of use when the kernel
  /// chose them.
  std::uint16_t callerPort() const { return this->Paths.front()->port(); }
  std::uint16_t readinessPort() const { return this->Readiness.port(); }

private:
  std::string metricsText() const;
  void onReadinessRequest(ServerConnection &Peer, const HttpRequest &Request);
  void onSignal(int Number);
  void beginStop();
  void checkStop();
  void watchSettings();
  void reload(const char *Cause);
  bool isReady() const;

  NodeSettings Settings;
  const PlatformAdapter Adapter;
  const SettingsReader Reread;
  const std::string SettingsPath;
  const StopTimes Stops;
  const TargetProtocol Protocol;
  RcuCell<FleetView> View;
  std::atomic<std::uint32_t> InFlight{0};
  std::vector<std::unique_ptr<PathThread>> Paths;
  asio::io_context Control;
  FleetAgent Agent;
  Listener Readiness;
  Listener MetricsPage;
  asio::signal_set Signals;
  asio::steady_timer StopTimer;
  asio::steady_timer SettingsTimer;
  std::int64_t SettingsChangedAt = 0;
  TimePoint StopSince{};
  bool Stopping = false;
  bool IdleClosed = false;
};

} // namespace balsamyard
