#pragma once

#include "balsamyard/Core"

#include <optional>
#include <string>
#include <vector>

namespace balsamyard::ctl {

/// \brief Exit status of balsamyardctl.
enum ExitStatus {
  Success = 0,
  Faulty = 1,      ///< A rules file or log has faults.
  BadUsage = 2,    ///< Wrong arguments or an unreadable file.
  Conflict = 3,    ///< Another operator's rules are in force; nothing changed.
  Unclear = 4,     ///< The platform did not say whether an update took effect.
  Unreachable = 5, ///< The platform or a process does not answer.
};

/// \brief Arguments of all commands.
struct Arguments {
  std::vector<std::string> Files;
  std::optional<Endpoint> Platform;
  std::vector<Endpoint> Nodes;
  std::vector<std::string> Logs;
  std::optional<std::uint64_t> Base;
  std::string Out;
  Duration Timeout = std::chrono::seconds(5);
};

ExitStatus check(const Arguments &Given);
ExitStatus diff(const Arguments &Given);
ExitStatus fetch(const Arguments &Given);
ExitStatus apply(const Arguments &Given);
ExitStatus status(const Arguments &Given);
ExitStatus explain(const Arguments &Given);
ExitStatus timeline(const Arguments &Given);

} // namespace balsamyard::ctl
