#pragma once

#include "balsamyard/src/Connection/SlotStats.h"
#include "balsamyard/src/Core/Time.h"

namespace balsamyard {

/// \brief When a leaf that has not answered may be sent to another slot.
struct HedgePolicy {
  /// \brief Below this, timer resolution and network jitter cause more hedges
  /// than slow targets do.
  static constexpr Duration MinDelay = std::chrono::milliseconds(2);

  /// \brief Attempts per leaf, the first one included.
  static constexpr std::uint32_t MaxAttempts = 3;

  Duration Delay = MinDelay;

  /// \returns the policy for a query: the delay is the observed 95th percentile
  /// of the service's leaf answers, at least MinDelay.
  static HedgePolicy forService(const ServiceStats &Stats);

  /// \returns whether a leaf is late whose newest attempt was sent at \p Sent.
  bool isLate(TimePoint Sent, TimePoint Now) const {
    return Now - Sent >= this->Delay;
  }

  /// \returns the time from which on a query that has its wanted coverage stops
  /// waiting. It is twice the delay after the start, so that a hedge that was
  /// already paid for may still answer.
  TimePoint partialAnswerTime(TimePoint Started) const {
    return Started + 2 * this->Delay;
  }

  /// \returns when late leaves are looked for next: once and twice the delay
  /// after the start, later at intervals of at least a sixteenth of the whole
  /// time, which bounds the work per query.
  TimePoint nextCheck(TimePoint Started, TimePoint Deadline,
                      TimePoint Now) const;
};

} // namespace balsamyard
