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

/// \brief Statistics of one route in this process. Thread-safe.
struct RouteStats : RefCounted<RouteStats> {
  /// \brief Quantile of the answer times after which a hedge is sent. Hedges
  /// for the remaining answers, plus those caused by pauses and failures, fit
  /// into a retry budget of 0.2.
  static constexpr double HedgeQuantile = 0.92;

  /// \brief \p InitialMedian and twice that are the initial estimates.
  explicit RouteStats(Duration InitialMedian)
      : Median(0.5, InitialMedian),
        HedgeDelay(HedgeQuantile, 2 * InitialMedian) {}

  LatencyQuantile Median;
  LatencyQuantile HedgeDelay;

  /// \brief Longest time that a caller allowed for a request of this route. If
  /// one allows less, the difference is the time that its earlier attempts
  /// took.
  std::atomic<std::int64_t> LongestCallerWaitMicros{0};

  /// \brief Requests so far; used to distribute the requests of a split evenly.
  std::atomic<std::uint64_t> Requests{0};
};

/// \brief A service and the targets that may get its requests.
struct ServiceEntry {
  std::vector<Ref<KnownTarget>> Targets;
  Ref<RetryBudget> Budget;
  Ref<MoveTraffic> Move; ///< Null unless a move of the service is ordered.
};

/// \brief Limits of this process, derived from the number of processes.
struct FleetShares {
  std::uint32_t Nodes = 1;
  bool NodesCounted = false; ///< False while Nodes is an assumption.
  RetryBounds Retry;

  /// A cold target gets at most its configured rate times ColdRateFactor plus
  /// ColdSlack, in requests per second from all processes.
  double ColdRateFactor = 1;
  double ColdSlack = 0;
};

/// \brief Limits on the connections of one thread to one target.
struct ConnectionQuota {
  std::size_t Max = 1;       ///< Maximum at the same time.
  std::size_t Preopened = 0; ///< Opened in advance.
};

/// \brief Connections that a thread keeps open in advance, because opening one
/// takes several milliseconds.
inline constexpr std::size_t PreopenedConnections = 2;

/// \brief Time after which a target closes an idle connection. After a power
/// failure it counts the connections of the previous process until then.
inline constexpr Duration TargetIdleTimeout = std::chrono::seconds(10);

/// \brief Immutable snapshot of everything that a request reads: the
/// configuration and the targets of each service. The objects that it refers to
/// are thread-safe.
struct FleetView : RefCounted<FleetView> {
  Ref<const Configuration> Config;    ///< Null until one was read.
  std::vector<ServiceEntry> Services; ///< By ServiceNumber.
  std::vector<Ref<RouteStats>> Stats; ///< By position of the route.
  FleetShares Shares;
  StoreRevision TargetsAsOf{}; ///< Includes every change up to this revision.
  Ref<const CrashList> Crashes = makeRef<const CrashList>();

  /// \returns the limits for each of \p Threads threads on connections to one
  /// target of \p Service, in a process that has run for \p Age.
  ConnectionQuota connectionQuota(ServiceNumber Service, bool Preferred,
                                  std::size_t Threads, Duration Age) const;

  /// \returns the minimum time between two requests to a cold target of
  /// \p Service, or Duration::max() if this process may send none. In any
  /// second the requests of all processes together stay within the limit of the
  /// target.
  Duration coldRequestInterval(ServiceNumber Service) const;

  /// \returns the time between two requests of this process to a target that
  /// accepts \p Limit requests per second, or Duration::max() if the process
  /// may send none. All processes together stay within the limit.
  ///
  /// A few processes near the target share most of the limit, so that each of
  /// them can send a useful number. The others share the rest, which tells them
  /// when the limit has ended.
  Duration limitedRequestInterval(const KnownTarget &Target,
                                  double Limit) const;
};

} // namespace balsamyard
