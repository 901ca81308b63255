#pragma once

#include "TargetSettings.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace standin {

/// \brief Requests that a fault affects.
struct FaultScope {
  std::string Route = "*";
  std::uint32_t Every = 1;       ///< Affects one in this many requests.
  std::uint32_t MinInFlight = 0; ///< Minimum number of requests in flight.
  balsamyard::TimePoint From;
  balsamyard::TimePoint Until;
};

struct SlowFault {
  std::chrono::milliseconds Delay{0};
};
struct FrozenFault {};       ///< Never answers.
struct ShedFault {};         ///< Answers 503 without running the request.
struct ErrorFault {};        ///< Runs, then answers 500.
struct LostAnswerFault {};   ///< Runs, then closes the connection.
struct TruncatedFault {};    ///< Sends half of the answer.
struct MismatchedIdFault {}; ///< Answers with a request id that doesn't match.
struct GarbledFault {};      ///< Answers with invalid JSON.
struct OversizedFault {
  std::size_t Bytes = 0; ///< Padding appended to the answer.
};
struct PoisonFault {
  std::string Token; ///< A request body with this text crashes the target.
};

using FaultKind =
    std::variant<SlowFault, FrozenFault, ShedFault, ErrorFault, LostAnswerFault,
                 TruncatedFault, MismatchedIdFault, GarbledFault,
                 OversizedFault, PoisonFault>;

struct Fault {
  FaultKind Kind;
  FaultScope Scope;
};

struct CrashCommand {};
struct ExitCommand {};
struct TurnColdCommand {};
struct LeaveCommand {};
struct ClearCommand {};
struct OverrideHealthCommand {
  std::string State; ///< Reported by /health instead of the real state.
};
struct SnapshotCommand {
  std::vector<std::uint64_t> Snapshots;
  std::optional<std::vector<ShardSetting>> Shards;
};

/// \brief Body of POST /fault.
using FaultCommand = std::variant<Fault, CrashCommand, ExitCommand,
                                  TurnColdCommand, LeaveCommand, ClearCommand,
                                  OverrideHealthCommand, SnapshotCommand>;

/// \returns the command, BadHeader for an unknown kind, or MalformedJson for a
/// body that is not valid JSON or has a missing or mistyped field.
balsamyard::Expected<FaultCommand> parseFault(const std::string &Body,
                                              balsamyard::TimePoint Now);

} // namespace standin
