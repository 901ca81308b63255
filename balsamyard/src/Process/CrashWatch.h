#pragma once

#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/CrashList.h"

#include <deque>
#include <optional>
#include <vector>

namespace balsamyard {

/// \brief Finds out which broken attempts of requests were crashes of their
/// targets.
///
/// A target that crashes loses all its connections, but they end one by one, so
/// the connection with the request may be the first. Whether it was a crash is
/// decided some time later.
class CrashWatch {
public:
  /// All connections of a crashed target have ended after this time.
  static constexpr Duration ConfirmTime = std::chrono::milliseconds(250);

  /// Limit on the requests that wait for the decision. Losing many targets at
  /// once breaks many requests, none of which is the cause.
  static constexpr std::size_t MaxWaiting = 512;

  void add(RequestBroken Event, TimePoint Now);

  /// \returns the requests during which targets crashed, as far as it is known
  /// now.
  std::vector<RequestCrashedTargets> take(TimePoint Now);

  /// \returns when take() has to be called next, if at all.
  std::optional<TimePoint> nextCheck() const;

private:
  struct Entry {
    RequestBroken Event;
    TimePoint DueAt{};
  };

  std::deque<Entry> Waiting; ///< Those due first at the front.
};

} // namespace balsamyard
