#pragma once

#include "TargetSettings.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace standin {

/// \brief Requests that a fault touches.
struct FaultScope {
  std::string Route = "*";
  std::uint32_t Every = 1;       ///< Touches each Every-th request.
  std::uint32_t MinInFlight = 0; ///< Only under this load.
  balsamyard::TimePoint From;
  balsamyard::TimePoint Until;
};

struct SlowFault {
  std::chrono::milliseconds Delay{0};
};
struct FrozenFault {};     ///< Never answers.
struct ShedFault {};       ///< 503 before running.
struct ErrorFault {};      ///< 500.
struct LostAnswerFault {}; ///< Runs, then closes the connection.
struct TruncatedFault {};  ///< Sends half of the answer.
struct CrossedFault {};    ///< Answers with the ids of another request.
struct GarbledFault {};    ///< Answers with bytes that are no JSON.
struct OversizedFault {
  std::size_t Bytes = 0;
};
struct PoisonFault {
  std::string Token; ///< A body that contains it crashes the target.
};

using FaultKind = std::variant<SlowFault, FrozenFault, ShedFault, ErrorFault,
                               LostAnswerFault, TruncatedFault, CrossedFault,
                               GarbledFault, OversizedFault, PoisonFault>;

struct Fault {
  FaultKind Kind;
  FaultScope Scope;
};

struct CrashCommand {};
struct ExitCommand {};
struct TurnColdCommand {};
struct LeaveCommand {};
struct ClearCommand {};
struct LieCommand {
  std::string State;
};
struct SnapshotCommand {
  std::vector<std::uint64_t> Snapshots;
  std::optional<std::vector<ShardSetting>> Shards;
};

/// \brief Body of POST /fault.
using FaultCommand =
    std::variant<Fault, CrashCommand, ExitCommand, TurnColdCommand,
                 LeaveCommand, ClearCommand, LieCommand, SnapshotCommand>;

/// \returns the command, or BadHeader-like errors for unknown kinds.
balsamyard::Expected<FaultCommand> parseFault(const std::string &Body,
                                              balsamyard::TimePoint Now);

} // namespace standin
