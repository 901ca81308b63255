#pragma once

#include "Faults.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace standin {

/// \brief What the server does with the connection once the answer is ready.
enum class DeliveryMode : std::uint8_t {
  Answer,
  CloseWithoutAnswer,
  Truncate,
  Freeze,
  Crash,
};

/// \brief How the server answers a request.
struct ResponsePlan {
  int Status = 200;
  std::string Body;
  std::chrono::microseconds Delay{0};
  DeliveryMode Mode = DeliveryMode::Answer;
};

/// \brief A request with its parsed body.
struct TargetRequest {
  bool IsWrite = false;
  std::string Route;
  std::string Text;
  nlohmann::json Body;
  balsamyard::WallTime Expiry{};        ///< Used by writes.
  balsamyard::Duration RemainingTime{}; ///< Used by searches.
};

/// \brief State of one stand-in target. Thread-safe.
class TargetModel {
public:
  TargetModel(TargetSettings Settings, std::uint64_t Incarnation);

  /// \brief Admits a request and decides how to answer it. Each call is paired
  /// with one of finish().
  ResponsePlan begin(const TargetRequest &Request, balsamyard::TimePoint Now,
                     balsamyard::WallTime Wall);
  void finish(balsamyard::TimePoint Now);
  void countCancelled();

  /// \brief Counts a new connection unless the limit is reached.
  /// \returns whether the connection was counted.
  bool tryAddConnection();
  void removeConnection();

  /// \brief Applies a command of POST /fault, except crash and exit, which the
  /// server executes.
  void apply(const FaultCommand &Command, balsamyard::TimePoint Now);

  /// \brief Simulates a restart: the target is cold and has a new incarnation.
  /// Faults, settings and counters are kept.
  void restart(balsamyard::TimePoint Now);

  nlohmann::json health() const;
  nlohmann::json stats() const;

  const TargetSettings &settings() const { return this->Settings; }

private:
  ResponsePlan search(const TargetRequest &Request, ResponsePlan Result);
  ResponsePlan write(const TargetRequest &Request, balsamyard::WallTime Wall,
                     ResponsePlan Result);
  bool affects(Fault &Entry, const TargetRequest &Request,
               balsamyard::TimePoint Now);
  void applyFault(const FaultKind &Kind, const TargetRequest &Request,
                  ResponsePlan &Result);
  nlohmann::json rows(const ShardSetting &Shard, std::uint64_t Snapshot,
                      const nlohmann::json &Body) const;
  std::string stateName() const;

  mutable std::mutex Mutex;
  TargetSettings Settings;
  std::uint64_t Incarnation;
  bool Cold = true;
  bool Leaving = false;
  std::string ReportedState;
  balsamyard::TimePoint ColdSince;
  std::uint32_t AnswersWhileCold = 0;
  std::vector<Fault> Faults;
  std::uint64_t MatchedRequests = 0; ///< Shared by all faults.

  // Counters survive a simulated crash, because tests compare them afterwards.
  std::map<std::string, std::uint64_t> Writes;
  std::uint64_t Searches = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Expired = 0;
  std::uint64_t ColdOverloads = 0;
  std::uint32_t HighestCold = 0;
  std::uint64_t RequestsAfterLeaving = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Crashes = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t HighestInFlight = 0;
  std::uint32_t Connections = 0;
  std::uint32_t HighestConnections = 0;
  std::uint64_t ConnectionsRefused = 0;
};

} // namespace standin
