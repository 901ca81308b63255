#pragma once

#include "Faults.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace standin {

/// \brief How a request ends, apart from its status and body.
enum class Ending : std::uint8_t {
  Answer,
  CloseWithoutAnswer,
  Truncate,
  Freeze,
  Crash,
};

/// \brief What the server does with a request.
struct Plan {
  int Status = 200;
  std::string Body;
  std::chrono::microseconds Delay{0};
  Ending End = Ending::Answer;
};

/// \brief A request after its JSON was read.
struct TargetRequest {
  bool IsWrite = false;
  std::string Route;
  std::string Text;
  nlohmann::json Body;
  balsamyard::WallTime Expiry{};   ///< Writes.
  balsamyard::Duration TimeLeft{}; ///< Searches.
};

/// \brief State of one stand-in target. Thread-safe.
class TargetModel {
public:
  TargetModel(TargetSettings Settings, std::uint64_t Incarnation);

  /// \brief Takes in a request and says what to do; finish() ends it.
  Plan begin(const TargetRequest &Request, balsamyard::TimePoint Now,
             balsamyard::WallTime Wall);
  void finish(balsamyard::TimePoint Now);
  void cancelled();

  /// \brief Counts a connection. \returns whether the limit permits it.
  bool connect();
  void disconnect();

  /// \brief Changes state; crash and exit are left to the server.
  void apply(const FaultCommand &Command, balsamyard::TimePoint Now);

  /// \brief Forgets everything and starts cold as a new incarnation.
  void restart(balsamyard::TimePoint Now);

  nlohmann::json health() const;
  nlohmann::json stats() const;

  const TargetSettings &settings() const { return this->Settings; }

private:
  Plan search(const TargetRequest &Request, Plan Result);
  Plan write(const TargetRequest &Request, balsamyard::WallTime Wall,
             Plan Result);
  bool touches(Fault &Entry, const TargetRequest &Request,
               balsamyard::TimePoint Now);
  void applyFault(const FaultKind &Kind, const TargetRequest &Request,
                  Plan &Result);
  nlohmann::json rows(const ShardSetting &Shard, std::uint64_t Snapshot,
                      const nlohmann::json &Body) const;
  std::string stateName() const;

  mutable std::mutex Mutex;
  TargetSettings Settings;
  std::uint64_t Incarnation;
  bool Cold = true;
  bool Leaving = false;
  std::string Lie;
  balsamyard::TimePoint ColdSince;
  std::uint32_t AnsweredCold = 0;
  std::vector<Fault> Faults;
  std::uint64_t Touched = 0;

  // Counts that outlast a crash, because tests compare them afterwards.
  std::map<std::string, std::uint64_t> Writes;
  std::uint64_t Searches = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Expired = 0;
  std::uint64_t ColdOverloads = 0;
  std::uint32_t HighestCold = 0;
  std::uint64_t AfterLeaving = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Crashes = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t HighestInFlight = 0;
  std::uint32_t Connections = 0;
  std::uint32_t HighestConnections = 0;
  std::uint64_t ConnectionsRefused = 0;
};

} // namespace standin
