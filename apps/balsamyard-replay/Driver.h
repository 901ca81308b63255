#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Process/Replay.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace balsamyard::replay {

/// \brief How a trace is driven.
struct DriverOptions {
  std::vector<Endpoint> Entries;
  std::optional<Endpoint> Platform; ///< Takes the rules of the trace.
  std::uint64_t Seed = 1;
  double Speed = 1;
  bool FreshIds = false; ///< Replaces recorded ids by new UUIDv7.
};

/// \brief Counts while a trace is driven.
struct DriverProgress {
  Duration Elapsed{};
  std::size_t Total = 0;
  std::size_t Started = 0;
  std::size_t Ended = 0;
  std::size_t CommandFailures = 0;
};

/// \brief Sends the requests of a trace at their times, whatever has become of
/// the earlier ones.
///
/// Stands in for a load balancer: an entry address whose health page does not
/// answer 200 gets no requests, unless that is true of all. A latency runs from
/// the planned start, so that a delay of this process is not hidden.
class Driver {
public:
  explicit Driver(DriverOptions Options);
  ~Driver();

  /// \brief Returns when every request has ended. \p Report is called about
  /// once a second.
  std::vector<ReplayResult>
  run(const std::vector<ReplayEvent> &Events,
      const std::function<void(const DriverProgress &)> &Report);

  /// \returns faults and rules that could not be put in force.
  std::size_t commandFailures() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

/// \returns what the stand-in targets executed, or the first that does not
/// answer.
Expected<ReplayExecutions> readExecutions(const std::vector<Endpoint> &Targets);

} // namespace balsamyard::replay
