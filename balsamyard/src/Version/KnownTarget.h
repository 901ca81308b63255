#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Network distance of a target from this process.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/// \brief What identifies one incarnation of a target; never changes.
struct TargetInfo {
  TargetId Id;
  WallTime Started{}; ///< Two incarnations may have the same id.
  ServiceName Service;
  Endpoint Address;
  DomainName Domain;
  RegionName Region;
  VersionName Version;
  std::uint32_t Slots = 1; ///< Requests that it runs at once.
  Distance NetworkDistance = Distance::SameDomain;

  bool operator==(const TargetInfo &) const = default;
};

/// \brief Whether new requests may be sent to a target, by its announcements
/// and the orders of operators.
enum class AdminState : std::uint8_t { Serving, Leaving, Evacuated, Gone };

/// \brief Whether a target is reachable, by the connections of this process.
///
/// After a broken connection a target is Suspect until its health page has
/// shown that it is still the same incarnation and whether it is cold.
enum class Reach : std::uint8_t { Up, Suspect, Down };

/// \brief What this process believes of one incarnation of a target and has
/// observed of it.
///
/// Every member may be called from any thread. Concurrent observations may
/// overwrite each other; the averages are estimates and need no exact count.
class KnownTarget : public RefCounted<KnownTarget> {
public:
  explicit KnownTarget(TargetInfo Info) : Info(std::move(Info)) {}

  const TargetInfo Info;

  /// \brief Weight of a new observation in the average of slowness.
  static constexpr double ObservationWeight = 0.3;

  /// \brief One observation counts at most as this many times slower than
  /// usual: a pause of a fraction of a second ends by itself and must not look
  /// like a target that is slow for good.
  static constexpr double MaxSlowness = 4;

  /// \brief The excess slowness halves in this time without an observation, so
  /// that a recovered target is tried again.
  static constexpr Duration HalfLife = std::chrono::seconds(2);

  /// \brief Age from which a reported load says nothing: it changes within the
  /// time of a few requests.
  static constexpr Duration LoadLifetime = std::chrono::milliseconds(300);

  AdminState adminState() const {
    return this->CurrentAdminState.load(std::memory_order_relaxed);
  }
  void setAdminState(AdminState Value) {
    this->CurrentAdminState.store(Value, std::memory_order_relaxed);
  }

  Reach reach() const {
    return this->CurrentReach.load(std::memory_order_relaxed);
  }
  void setReach(Reach Value) {
    this->CurrentReach.store(Value, std::memory_order_relaxed);
  }

  /// \brief Whether this process keeps connections to the target. A target has
  /// too few of them for every process; the others connect when they must.
  bool preferred() const {
    return this->Preferred.load(std::memory_order_relaxed);
  }
  void setPreferred(bool Value) {
    this->Preferred.store(Value, std::memory_order_relaxed);
  }

  /// \brief The target is in cold start until \p Until.
  void setColdUntil(TimePoint Until) {
    this->ColdUntilMicros.store(Until.time_since_epoch().count(),
                                std::memory_order_relaxed);
  }
  bool isCold(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           this->ColdUntilMicros.load(std::memory_order_relaxed);
  }

  /// \returns whether the last request in cold start was sent at least
  /// \p Interval ago.
  bool mayStartColdRequest(Duration Interval, TimePoint Now) const;

  /// \brief Takes the place of one request in cold start. \returns whether
  /// there was one. \sa hasColdPlace
  bool tryStartColdRequest(Duration Interval, TimePoint Now);

  void started() { this->InFlight.fetch_add(1, std::memory_order_relaxed); }
  void ended() { this->InFlight.fetch_sub(1, std::memory_order_relaxed); }
  std::uint32_t inFlight() const {
    return this->InFlight.load(std::memory_order_relaxed);
  }

  /// \brief A request to the target became late, or a late one ended.
  void lateStarted() { this->Late.fetch_add(1, std::memory_order_relaxed); }
  void lateEnded() { this->Late.fetch_sub(1, std::memory_order_relaxed); }
  std::uint32_t late() const {
    return this->Late.load(std::memory_order_relaxed);
  }

  /// \brief Adds an answer that took \p Latency where \p Usual was usual.
  void observe(Duration Latency, Duration Usual, TimePoint Now);

  /// \brief Adds a failure, which counts as the slowest answer.
  void observeFailure(TimePoint Now);

  /// \brief The target reported its load.
  void reportLoad(std::uint32_t Running, std::uint32_t Waiting, TimePoint Now);

  /// \returns how many times slower than usual the target is.
  double slowness(TimePoint Now) const;

  /// \returns requests that were reported as running or waiting, 0 if the
  /// report is too old.
  double reportedLoad(TimePoint Now) const;

private:
  void addSlowness(double Value, TimePoint Now);

  std::atomic<AdminState> CurrentAdminState{AdminState::Serving};
  std::atomic<Reach> CurrentReach{Reach::Up};
  std::atomic<bool> Preferred{true};
  std::atomic<std::int64_t> ColdUntilMicros{0};
  std::atomic<std::int64_t> LastColdMicros{0};
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<std::uint32_t> Late{0};
  std::atomic<double> Slowness{1};
  std::atomic<std::int64_t> ObservedAtMicros{0};
  std::atomic<std::uint32_t> ReportedLoad{0};
  std::atomic<std::int64_t> ReportedAtMicros{0};
};

} // namespace balsamyard
