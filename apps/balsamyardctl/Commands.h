#pragma once

#include "balsamyard/Core"

#include <optional>
#include <string>
#include <vector>

namespace balsamyard::ctl {

/// \brief Exit status of balsamyardctl.
enum ExitStatus {
  Success = 0,
  FaultsFound = 1, ///< Faults in a file, or a request that no log has.
  BadUsage = 2,    ///< Wrong arguments or an unreadable file.
  Conflict = 3,    ///< Another operator's rules are in force; nothing changed.
  Unconfirmed = 4, ///< The platform did not say whether an update took effect.
  Unreachable = 5, ///< The platform or a process does not answer.
};

/// \brief Command-line arguments; each command uses some of them.
struct Arguments {
  /// Positional arguments: files, or the request id of `explain`.
  std::vector<std::string> Operands;
  std::optional<Endpoint> Platform;
  std::vector<Endpoint> Nodes;
  std::vector<std::string> Logs;
  std::optional<std::uint64_t> Base; ///< Version that the file is based on.
  std::string Out;
  Duration Timeout = std::chrono::seconds(5);
};

ExitStatus check(const Arguments &Args);
ExitStatus diff(const Arguments &Args);
ExitStatus fetch(const Arguments &Args);
ExitStatus apply(const Arguments &Args);
ExitStatus status(const Arguments &Args);
ExitStatus explain(const Arguments &Args);
ExitStatus timeline(const Arguments &Args);

} // namespace balsamyard::ctl
