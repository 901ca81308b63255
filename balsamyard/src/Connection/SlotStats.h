#pragma once

#include "balsamyard/src/Core/LatencyQuantile.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>

namespace balsamyard {

/// \brief Latency and load of one slot as this entry process sees them.
///
/// Every member may be called from any thread. Concurrent observations may
/// overwrite each other; the average is an estimate and needs no exact count.
class SlotStats : public RefCounted<SlotStats> {
public:
  /// \brief The average of a slot without observations halves in this time, so
  /// that a recovered straggler is tried again.
  static constexpr Duration HalfLife = std::chrono::seconds(2);

  /// \brief A failure counts as an answer this many times slower than usual,
  /// so that a slot that fails fast does not attract requests. Each repeated
  /// failure doubles the average; the effect of a single one fades soon.
  static constexpr std::int64_t FailureFactor = 8;

  /// \brief Bounds of the latency that a failure counts as.
  static constexpr Duration MinFailureTime = std::chrono::milliseconds(10);
  static constexpr Duration MaxFailureTime = std::chrono::seconds(1);

  void started() { this->InFlight.fetch_add(1, std::memory_order_relaxed); }
  void ended() { this->InFlight.fetch_sub(1, std::memory_order_relaxed); }

  /// \brief Adds the latency of an answer to the moving average.
  void observe(Duration Latency, TimePoint Now);

  /// \brief Adds a failure to the moving average. \sa FailureFactor
  void observeFailure(TimePoint Now);

  /// \brief Records a request abandoned at \p Age without an answer. Counts as
  /// a failure if \p Age exceeds the average latency.
  void observeUnanswered(Duration Age, TimePoint Now);

  /// \returns the average latency, halved for each HalfLife without an
  /// observation; 0 if the slot was never observed.
  Duration latency(TimePoint Now) const;

  std::uint32_t inFlight() const {
    return this->InFlight.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> AverageMicros{0};
  std::atomic<std::int64_t> ObservedAtMicros{0};
  std::atomic<std::uint32_t> InFlight{0};
};

/// \brief Recent reachability of a holder. Thread-safe.
class HolderStats : public RefCounted<HolderStats> {
public:
  /// \brief Other lane owners are preferred for this time after a failure,
  /// because membership takes seconds to detect a lost node.
  static constexpr Duration AvoidTime = std::chrono::seconds(1);

  void observeFailure(TimePoint Now);
  void observeSuccess() {
    this->AvoidUntilMicros.store(0, std::memory_order_relaxed);
  }
  bool avoided(TimePoint Now) const;

private:
  std::atomic<std::int64_t> AvoidUntilMicros{0};
};

/// \brief Observations of one service by this entry process. Thread-safe.
class ServiceStats : public RefCounted<ServiceStats> {
public:
  /// \brief 95th percentile of the time until a leaf answered.
  LatencyQuantile LeafTime{0.95, std::chrono::milliseconds(10)};

  void started() { this->InFlight.fetch_add(1, std::memory_order_relaxed); }

  /// \brief Ends a query. \p MedianLeafTime is the time after which half of its
  /// leaves had answered, or its age if fewer did.
  void ended(Duration MedianLeafTime, std::uint32_t InFlightAtStart);

  std::uint32_t inFlight() const {
    return this->InFlight.load(std::memory_order_relaxed);
  }

  /// \returns the average time after which half of the leaves had answered.
  Duration medianLeafTime() const;

  /// \returns the average number of queries in flight when queries started.
  double averageInFlight() const;

private:
  std::atomic<std::int64_t> MedianLeafTimeMicros{0};
  std::atomic<double> AverageInFlight{0};
  std::atomic<std::uint32_t> InFlight{0};
};

/// \brief Statistics objects by name. Used when a version of the routing data
/// is built, not on the path of a request.
class StatsTable {
public:
  /// \brief Versions that may be built without a name before its statistics are
  /// dropped. VMs are replaced all the time, so their names do not return.
  static constexpr std::uint64_t KeptVersions = 64;

  /// \brief Starts a new version and drops statistics that no recent version
  /// used.
  void beginVersion();

  Ref<SlotStats> slot(const SlotKey &Key, const VersionName &Version,
                      const Endpoint &Address);
  Ref<HolderStats> holder(const NodeName &Node);
  Ref<ServiceStats> service(const ServiceName &Service);

  /// \returns the number of names.
  std::size_t size() const;

private:
  struct SlotIdentity {
    SlotKey Key;
    VersionName Version;
    Endpoint Address;
    auto operator<=>(const SlotIdentity &) const = default;
  };

  template <typename Stats> struct Entry {
    Ref<Stats> Object;
    std::uint64_t LastUsedVersion = 0;
  };

  template <typename Key, typename Stats>
  Ref<Stats> find(std::map<Key, Entry<Stats>> &Table, const Key &Name);

  mutable std::mutex Mutex;
  std::uint64_t CurrentVersion = 0;
  std::map<SlotIdentity, Entry<SlotStats>> Slots;
  std::map<NodeName, Entry<HolderStats>> Holders;
  std::map<ServiceName, Entry<ServiceStats>> Services;
};

} // namespace balsamyard
