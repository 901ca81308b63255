#pragma once

#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <tuple>
#include <vector>

namespace balsamyard {

/// \brief Moving average of the latency of a route, over all versions.
class RouteLatency : public RefCounted<RouteLatency> {
public:
  /// An answer is slow if its latency exceeds the average by this factor.
  static constexpr double SlowFactor = 4.0;

  /// Answers up to this latency are never slow.
  static constexpr Duration MinSlow = std::chrono::milliseconds(2);

  /// \brief Adds the latency of a successful answer to the average.
  /// \returns whether it was slow, compared with the average before.
  bool update(Duration Latency);

  /// \returns whether \p Latency is slow. The average does not change.
  bool isSlow(Duration Latency) const;

private:
  std::atomic<std::int64_t> MeanMicroseconds{0};
};

/// \brief Cumulative counts of one version on one route.
class EvidenceCounter : public RefCounted<EvidenceCounter> {
public:
  explicit EvidenceCounter(Ref<RouteLatency> Baseline)
      : Baseline(std::move(Baseline)) {}

  void countSuccess(Duration Latency);
  void countError();
  void countSlow();

  /// \brief Counts a request that was cancelled after \p Waited, if it was
  /// already slow by then. Otherwise the slow requests that hedges replace and
  /// cancel would not be counted.
  void countCancelled(Duration Waited);

private:
  friend class EvidenceCollector;
  Ref<RouteLatency> Baseline;
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> Errors{0};
  std::atomic<std::uint64_t> Slow{0};
};

/// \brief Collects the request counts of each version in a holder process, from
/// which a MoveController decides about a rollout. Thread-safe; counting takes
/// no lock.
class EvidenceCollector {
public:
  EvidenceCollector(NodeName Node, std::uint64_t Incarnation)
      : Node(std::move(Node)), Incarnation(Incarnation) {}

  /// \returns the counter of a version. Callers keep it for the lifetime of
  /// their slot, because the lookup takes a lock.
  Ref<EvidenceCounter> counter(const ServiceName &Service,
                               const RouteName &Route,
                               const VersionName &Version);

  /// \returns the counts of all versions on all routes.
  std::vector<Evidence> read() const;

private:
  using Key = std::tuple<ServiceName, RouteName, VersionName>;

  NodeName Node;
  std::uint64_t Incarnation;
  mutable std::mutex Mutex;
  std::map<std::pair<ServiceName, RouteName>, Ref<RouteLatency>> Baselines;
  std::map<Key, Ref<EvidenceCounter>> Counters;
};

} // namespace balsamyard
