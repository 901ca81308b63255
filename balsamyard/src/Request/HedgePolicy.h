#pragma once

#include "balsamyard/src/Connection/SlotStats.h"
#include "balsamyard/src/Core/Time.h"

namespace balsamyard {

/// \brief Decides when a leaf that has not answered may be sent to another
/// slot.
struct HedgePolicy {
  /// \brief Minimum hedge delay. With a shorter one, timer resolution and
  /// network jitter cause more hedges than slow targets do.
  static constexpr Duration MinDelay = std::chrono::milliseconds(2);

  /// \brief Maximum number of attempts per leaf, including the first.
  static constexpr std::uint32_t MaxAttempts = 3;

  Duration Delay = MinDelay;

  /// \returns the policy for a query: the delay is the observed 95th percentile
  /// of the service's leaf answers, at least MinDelay.
  static HedgePolicy forService(const ServiceStats &Stats);

  /// \returns whether a leaf is late if its newest attempt was sent at \p Sent.
  bool isLate(TimePoint Sent, TimePoint Now) const {
    return Now - Sent >= this->Delay;
  }

  /// \returns the time from which a query with the wanted coverage may return a
  /// partial answer. It is twice the delay after the start, so that a hedge
  /// that was already charged to the budget has time to answer.
  TimePoint partialAnswerTime(TimePoint Started) const {
    return Started + 2 * this->Delay;
  }

  /// \returns the time of the next check for late leaves: once and twice the
  /// delay after the start, then at intervals of at least a sixteenth of the
  /// time between start and deadline, which bounds the work per query.
  TimePoint nextCheck(TimePoint Started, TimePoint Deadline,
                      TimePoint Now) const;
};

} // namespace balsamyard
