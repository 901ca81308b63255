#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <sys/types.h>

namespace balsamyard::soak {

/// \brief Where a node process runs and whom it talks to.
struct NodePlace {
  std::string Program; ///< Path of balsamyard-node.
  std::string Folder;  ///< For its settings and its log.
  std::string Name;
  std::string Address; ///< On loopback, of its own.
  asio::ip::tcp::endpoint Store;
};

/// \brief A balsamyard-node as a process of its own.
class NodeProcess {
public:
  static constexpr std::uint16_t CallerPort = 8104;
  static constexpr std::uint16_t ReadinessPort = 8108;

  /// The time from the stop signal until the platform kills the process.
  static constexpr Duration GraceTime = std::chrono::seconds(6);

  explicit NodeProcess(NodePlace Place);
  ~NodeProcess();

  void start();

  /// \brief Sends a signal to the process that this object started.
  void signal(int Number);

  /// \brief Writes the settings file again, with another bound in it.
  void changeSettings();

  /// \returns the wait status of the process if it has ended since the last
  /// call.
  std::optional<int> takeEnd();

  bool isRunning() const { return this->Process > 0; }
  asio::ip::tcp::endpoint callers() const;
  asio::ip::tcp::endpoint readiness() const;
  const std::string &name() const { return this->Place.Name; }

  /// \brief What the soak has done to the process.
  std::optional<TimePoint> StopSince;  ///< Sent a stop signal.
  std::optional<TimePoint> KilledAt;   ///< Sent SIGKILL.
  std::optional<TimePoint> PausedTill; ///< Stands still until then.
  TimePoint LastFaultAt{};             ///< Its last unplanned fault ended.

private:
  void writeSettings() const;

  const NodePlace Place;
  pid_t Process = 0;
  int SettingsVersion = 0;
};

} // namespace balsamyard::soak
