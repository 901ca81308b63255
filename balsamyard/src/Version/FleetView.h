#pragma once

#include "balsamyard/src/Core/LatencyQuantile.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Version/Configuration.h"
#include "balsamyard/src/Version/CrashList.h"
#include "balsamyard/src/Version/KnownTarget.h"
#include "balsamyard/src/Version/MoveTraffic.h"
#include "balsamyard/src/Version/RetryBudget.h"

#include <vector>

namespace balsamyard {

/// \brief What this process observed of one route. Thread-safe.
struct RouteStats : RefCounted<RouteStats> {
  /// \brief Share of the answers of targets that come before a second request
  /// is sent. The rest, with pauses and failures on top, fits a budget of 0.2.
  static constexpr double HedgeQuantile = 0.92;

  /// \brief \p First is where both estimates start.
  explicit RouteStats(Duration First)
      : Median(0.5, First), HedgeDelay(HedgeQuantile, 2 * First) {}

  LatencyQuantile Median;
  LatencyQuantile HedgeDelay;

  /// \brief Longest time that a caller of this route gave its request. A
  /// shorter one shows how much time earlier attempts have used up.
  std::atomic<std::int64_t> LongestCallerWaitMicros{0};

  /// \brief Requests so far; spreads the parts of a split evenly.
  std::atomic<std::uint64_t> Requests{0};
};

/// \brief A service and the targets that may get its requests.
struct ServiceEntry {
  std::vector<Ref<KnownTarget>> Targets;
  Ref<RetryBudget> Budget;
  Ref<MoveTraffic> Move; ///< Null unless the service has an order to move.
};

/// \brief Limits that follow from the number of processes.
struct FleetShares {
  std::uint32_t Nodes = 1;
  bool NodesCounted = false; ///< False while Nodes is an assumption.
  RetryBounds Retry;

  /// Of the requests that a cold target bears, on top of its rate.
  double ColdRateFactor = 1;
  double ColdSlack = 0;
};

/// \brief Connections of one thread to one target.
struct ConnectionQuota {
  std::size_t Max = 1;       ///< At once.
  std::size_t Preopened = 0; ///< Opened in advance.
};

/// \brief Connections that are kept open in advance: requests come in at any
/// time, and a new connection takes several milliseconds.
inline constexpr std::size_t PreopenedConnections = 2;

/// \brief After a loss of power the targets still count the connections of the
/// former process. They close them when they have been idle for this long.
inline constexpr Duration TargetIdleTimeout = std::chrono::seconds(10);

/// \brief One version of everything that a request reads: the configuration and
/// the targets of each of its services. Immutable; the objects that it refers
/// to are thread-safe.
struct FleetView : RefCounted<FleetView> {
  Ref<const Configuration> Config;    ///< Null before one is known.
  std::vector<ServiceEntry> Services; ///< By ServiceNumber.
  std::vector<Ref<RouteStats>> Stats; ///< By position of the route.
  FleetShares Shares;
  Ref<const CrashList> Crashes = makeRef<const CrashList>();

  /// \returns the connections of one of \p Threads threads to a target of a
  /// service, when the process has run for \p Age.
  ConnectionQuota connectionQuota(ServiceNumber Service, bool Preferred,
                                  std::size_t Threads, Duration Age) const;

  /// \returns the least time between two requests to a cold target of a
  /// service, or Duration::max() if it gets none from this process. The sum
  /// over all processes stays within what the target bears in any second.
  Duration coldRequestInterval(ServiceNumber Service) const;
};

} // namespace balsamyard
