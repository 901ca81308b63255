#pragma once

#include "balsamyard/src/Core/Time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace balsamyard {

/// \brief How long the news that a target has left may take at each stage.
///
/// A target that leaves keeps serving for the drain time after the store has
/// accepted its departure. The stages share this time, because a departure may
/// take the longest time at each of them. What they leave is for the calls to
/// the store, for passing the news on to other nodes, and for requests that are
/// under way.
struct DepartureTimes {
  /// \brief How often a node checks that it has read all changes. An answer of
  /// the store that was lost looks like a watch that still waits for a change;
  /// the changes in it are read this much later at most.
  Duration CheckInterval;

  /// \brief Maximum pause before changes of targets are read.
  Duration ReadPause;

  /// \brief From the removal of an entry to the end of requests to its target,
  /// while the store is stable. A removed entry may belong to a target that
  /// crashed, which also shows on the connections, or have lapsed in an outage
  /// that nobody noticed.
  Duration RemovalGrace;

  explicit DepartureTimes(Duration DrainTime)
      : CheckInterval(part(DrainTime, CheckPart)),
        ReadPause(std::min(MaxReadPause, part(DrainTime, ReadPart))),
        RemovalGrace(std::min(MaxRemovalGrace, part(DrainTime, GracePart))) {}

private:
  static constexpr Duration MaxReadPause = std::chrono::milliseconds(900);
  static constexpr Duration MaxRemovalGrace = std::chrono::milliseconds(800);
  static constexpr double CheckPart = 0.4;
  static constexpr double ReadPart = 0.3;
  static constexpr double GracePart = 0.27;

  static Duration part(Duration Whole, double Fraction) {
    return Duration(static_cast<std::int64_t>(
        Fraction * static_cast<double>(Whole.count())));
  }
};

} // namespace balsamyard
