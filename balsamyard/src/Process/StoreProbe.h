#pragma once

#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Core/Time.h"

#include <optional>

namespace balsamyard {

/// \brief Decides when the callers of the store that failed try again.
///
/// Answers the load of a store that is down or turns nodes away: every call
/// counts against its rate, and each node has several callers. While the store
/// is lost, a node repeats one cheap call with a backoff, and all callers wait
/// for its answer. The pauses are random, so that nodes that lost the store
/// together do not return together.
class StoreProbe {
public:
  static constexpr Duration MinPause = std::chrono::milliseconds(150);
  static constexpr Duration MaxPause = std::chrono::milliseconds(900);

  /// A call that fails sooner than this after a successful probe shows that the
  /// store answers the probe only, so the backoff continues.
  static constexpr Duration StableTime = std::chrono::seconds(2);

  explicit StoreProbe(std::uint64_t Seed) : Random(Seed) {}

  /// \brief A call has failed. \returns the pause before the next probe, unless
  /// one is pending already.
  std::optional<Duration> callFailed(TimePoint Now);

  /// \brief The probe has failed. \returns the pause before the next one.
  Duration probeFailed();

  /// \brief The probe was answered.
  void probeSucceeded(TimePoint Now);

  /// \returns whether callers have to wait.
  bool isLost() const { return this->Lost; }

private:
  Duration nextPause();

  RandomGenerator Random;
  bool Lost = false;
  Duration Pause = MinPause;
  std::optional<TimePoint> Regained;
};

} // namespace balsamyard
