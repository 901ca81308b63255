#include "Faults.h"

#include <nlohmann/json.hpp>

namespace standin {

using namespace balsamyard;
using Json = nlohmann::json;

namespace {

std::optional<FaultKind> parseFaultKind(const std::string &Kind,
                                        const Json &Body) {
  if (Kind == "slow")
    return SlowFault{std::chrono::milliseconds(Body.value("delay_ms", 100))};
  if (Kind == "frozen")
    return FrozenFault{};
  if (Kind == "shed")
    return ShedFault{};
  if (Kind == "error")
    return ErrorFault{};
  if (Kind == "lost-answer")
    return LostAnswerFault{};
  if (Kind == "truncated")
    return TruncatedFault{};
  if (Kind == "crossed")
    return MismatchedIdFault{};
  if (Kind == "garbled")
    return GarbledFault{};
  if (Kind == "oversized")
    return OversizedFault{Body.value("bytes", std::size_t(4) << 20)};
  if (Kind == "poison")
    return PoisonFault{Body.value("token", std::string("poison"))};
  return std::nullopt;
}

std::optional<FaultCommand> parseCommand(const std::string &Kind,
                                         const Json &Body) {
  if (Kind == "crash")
    return CrashCommand{};
  if (Kind == "exit")
    return ExitCommand{};
  if (Kind == "cold")
    return TurnColdCommand{};
  if (Kind == "leaving")
    return LeaveCommand{};
  if (Kind == "clear")
    return ClearCommand{};
  if (Kind == "lying-health")
    return OverrideHealthCommand{Body.value("state", std::string("warm"))};
  if (Kind != "snapshot")
    return std::nullopt;
  SnapshotCommand Result;
  Result.Snapshots = Body.at("snapshots").get<std::vector<std::uint64_t>>();
  if (Body.contains("shards")) {
    Result.Shards.emplace();
    for (const Json &Shard : Body.at("shards"))
      Result.Shards->push_back({Shard.at("shard").get<ShardId>(),
                                Shard.value("weight", std::uint64_t(10))});
  }
  return Result;
}

} // namespace

Expected<FaultCommand> parseFault(const std::string &Body, TimePoint Now) {
  try {
    const Json Parsed = Json::parse(Body);
    const std::string Kind = Parsed.at("kind").get<std::string>();
    if (auto Command = parseCommand(Kind, Parsed))
      return *std::move(Command);
    auto Found = parseFaultKind(Kind, Parsed);
    if (!Found)
      return fail(Code::BadHeader, "unknown fault kind " + Kind);
    Fault Result{*std::move(Found), {}};
    Result.Scope.Route = Parsed.value("route", std::string("*"));
    Result.Scope.Every = std::max(1U, Parsed.value("every", 1U));
    Result.Scope.MinInFlight = Parsed.value("min_in_flight", 0U);
    Result.Scope.From =
        Now + std::chrono::milliseconds(Parsed.value("after_ms", 0));
    const int ForMs = Parsed.value("for_ms", 0);
    Result.Scope.Until =
        ForMs == 0 ? TimePoint::max()
                   : Result.Scope.From + std::chrono::milliseconds(ForMs);
    return Result;
  } catch (const Json::exception &Exception) {
    return fail(Code::MalformedJson, Exception.what());
  }
}

} // namespace standin
