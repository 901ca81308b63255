#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <sys/types.h>

namespace balsamyard::soak {

/// \brief What the platform grants a node process. Zero leaves the field out of
/// its settings.
struct NodeLimits {
  std::uint32_t Cores = 2;
  std::uint32_t MemoryMegabytes = 0;
  std::uint32_t Descriptors = 0; ///< Also a limit of the process itself.
};

/// \brief Location and addresses of a node process.
struct NodeOptions {
  std::string Program; ///< Path of balsamyard-node.
  std::string Folder;  ///< Folder of its settings and its log.
  std::string Name;
  std::string Address; ///< Loopback address that only this node uses.
  asio::ip::tcp::endpoint Store;
  NodeLimits Limits{};
  bool ServesMetrics = false;
};

/// \brief A balsamyard-node running as a child process.
class NodeProcess {
public:
  static constexpr std::uint16_t CallerPort = 8104;
  static constexpr std::uint16_t ReadinessPort = 8108;
  static constexpr std::uint16_t PeerPort = 7380;
  static constexpr std::uint16_t MetricsPort = 9464;

  /// Time between the stop signal and the kill by the platform.
  static constexpr Duration GraceTime = std::chrono::seconds(6);

  explicit NodeProcess(NodeOptions Options);
  ~NodeProcess();

  void start();

  /// \brief Sends a signal to the process that this object started.
  void signal(int Number);

  /// \brief Rewrites the settings file with a changed retry bound.
  void changeSettings();

  /// \returns the wait status of the process if it has ended since the last
  /// call.
  std::optional<int> takeExitStatus();

  bool isRunning() const { return this->Process > 0; }
  pid_t id() const { return this->Process; }
  asio::ip::tcp::endpoint callers() const;
  asio::ip::tcp::endpoint readiness() const;
  asio::ip::tcp::endpoint metrics() const;
  asio::ip::tcp::endpoint peers() const;
  const std::string &name() const { return this->Options.Name; }

  /// \brief Signals and faults that the soak test has applied to the process.
  std::optional<TimePoint> StopSince;   ///< When the stop signal was sent.
  std::optional<TimePoint> KilledAt;    ///< When SIGKILL was sent.
  std::optional<TimePoint> PausedUntil; ///< End of its pause by SIGSTOP.
  TimePoint LastFaultAt{};              ///< End of its last unplanned fault.

private:
  void writeSettings() const;
  asio::ip::tcp::endpoint at(std::uint16_t Port) const;

  const NodeOptions Options;
  pid_t Process = 0;
  int SettingsVersion = 0;
};

} // namespace balsamyard::soak
