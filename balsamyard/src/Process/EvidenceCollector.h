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

/// \brief Latency that answers of one route usually have, over all versions.
class RouteLatency : public RefCounted<RouteLatency> {
public:
  /// An answer is slow above this multiple of the usual latency.
  static constexpr double SlowFactor = 4.0;

  /// Answers below this time are never slow.
  static constexpr Duration NeverSlow = std::chrono::milliseconds(2);

  /// \brief Takes in the latency of a good answer.
  /// \returns whether it was slow.
  bool learn(Duration Latency);

  /// \returns whether \p Latency is slow, without learning it.
  bool isSlow(Duration Latency) const;

private:
  std::atomic<std::int64_t> MeanMicroseconds{0};
};

/// \brief Cumulative counts of one version on one route.
class EvidenceCounter : public RefCounted<EvidenceCounter> {
public:
  explicit EvidenceCounter(Ref<RouteLatency> Usual) : Usual(std::move(Usual)) {}

  void countSuccess(Duration Latency);
  void countError();
  void countSlow();

  /// \brief Counts a request that was cancelled after \p Waited, if it was slow
  /// already. A hedge cancels the slower request, which would else not count.
  void countCancelled(Duration Waited);

private:
  friend class EvidenceCollector;
  Ref<RouteLatency> Usual;
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> Errors{0};
  std::atomic<std::uint64_t> Slow{0};
};

/// \brief Gathers what the holder sees of each version, for the judge of a
/// move. Thread-safe; counting takes no lock.
class EvidenceCollector {
public:
  EvidenceCollector(NodeName Node, std::uint64_t Incarnation)
      : Node(std::move(Node)), Incarnation(Incarnation) {}

  /// \returns the counter, which callers keep for as long as their slot lives.
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
  std::map<std::pair<ServiceName, RouteName>, Ref<RouteLatency>> Usual;
  std::map<Key, Ref<EvidenceCounter>> Counters;
};

} // namespace balsamyard
