#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Process/Replay.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace balsamyard::replay {

/// \brief Settings of a replay.
struct DriverOptions {
  std::vector<Endpoint> Entries;
  std::optional<Endpoint> Platform; ///< Receives the rules of the trace.
  std::uint64_t Seed = 1;
  double Speed = 1;
  bool FreshIds = false; ///< Replace recorded ids by new UUIDv7.
};

/// \brief Progress of a running replay.
struct DriverProgress {
  Duration Elapsed{};
  std::size_t Total = 0;
  std::size_t Started = 0;
  std::size_t Ended = 0;
  std::size_t CommandFailures = 0;
};

/// \brief Sends the requests of a trace at their recorded times, without
/// waiting for the answers to earlier ones.
///
/// Acts as the load balancer: entry addresses whose health page does not answer
/// 200 get no requests; if none answers 200, all get requests. Latency is
/// measured from the planned start, so that it includes delays of this process.
class Driver {
public:
  explicit Driver(DriverOptions Options);
  ~Driver();

  /// \brief Replays \p Events and returns when every request has ended. Calls
  /// \p Report about once a second.
  std::vector<ReplayResult>
  run(const std::vector<ReplayEvent> &Events,
      const std::function<void(const DriverProgress &)> &Report);

  /// \returns the number of faults and rules that could not be applied.
  std::size_t commandFailures() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

/// \returns the number of executions of each write on the stand-in targets, or
/// an error that names the first target that does not answer.
Expected<ReplayExecutions> readExecutions(const std::vector<Endpoint> &Targets);

} // namespace balsamyard::replay
