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

  /// A shorter loss is a connection that was cut rather than an outage: the
  /// entries of targets lapse only after seconds without a heartbeat.
  static constexpr Duration MinOutage = std::chrono::milliseconds(500);

  explicit StoreProbe(std::uint64_t Seed) : Random(Seed) {}

  /// \brief A call has failed. \returns the pause before the next probe, unless
  /// one is pending already.
  std::optional<Duration> callFailed(TimePoint Now);

  /// \brief The probe has failed. \returns the pause before the next one.
  Duration probeFailed();

  /// \brief The probe was answered.
  void probeSucceeded(TimePoint Now);

  /// \brief The store is no longer called, so nothing has to wait for it.
  void abandon() { this->LostAt.reset(); }

  /// \returns whether callers have to wait.
  bool isLost() const { return this->LostAt.has_value(); }

  /// \returns when the store was last found back after an outage. Entries that
  /// lapsed in it are written anew from then on.
  std::optional<TimePoint> returnedAt() const { return this->ReturnedAt; }

private:
  Duration nextPause();

  RandomGenerator Random;
  std::optional<TimePoint> LostAt; ///< Set while the store is lost.
  std::optional<TimePoint> ReturnedAt;
  Duration Pause = MinPause;
  std::optional<TimePoint> Regained;
};

} // namespace balsamyard
