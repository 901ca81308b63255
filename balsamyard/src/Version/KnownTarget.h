#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace balsamyard {

/// \brief Network distance of a target from this process.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/// \brief Immutable description of one incarnation of a target.
struct TargetInfo {
  TargetId Id;
  WallTime Started{}; ///< Incarnations may share an id.
  ServiceName Service;
  Endpoint Address;
  DomainName Domain;
  RegionName Region;
  VersionName Version;
  std::uint32_t Slots = 1; ///< Requests that it runs concurrently.
  Distance NetworkDistance = Distance::SameDomain;

  bool operator==(const TargetInfo &) const = default;

  /// \returns whether both describe the same process.
  bool isSameIncarnation(const TargetInfo &Other) const {
    return this->Id == Other.Id && this->Started == Other.Started;
  }
};

/// \brief Administrative state of a target, set by its announcements and by
/// operators. Only a Serving target gets new requests.
enum class AdminState : std::uint8_t { Serving, Leaving, Evacuated, Gone };

/// \brief Whether the connections of this process reach a target.
///
/// After a broken connection a target is Suspect until its health page has
/// shown that it is still the same incarnation and whether it is cold.
enum class Reach : std::uint8_t { Up, Suspect, Down };

/// \brief State of one incarnation of a target, as this process sees it, with
/// the statistics of its answers.
///
/// Thread-safe. Concurrent observations may overwrite each other, because the
/// averages are only estimates.
class KnownTarget : public RefCounted<KnownTarget> {
public:
  explicit KnownTarget(TargetInfo Info) : Info(std::move(Info)) {}

  const TargetInfo Info;

  /// \brief Weight of a new observation in the moving average of the slowness.
  static constexpr double ObservationWeight = 0.3;

  /// \brief Maximum slowness of one observation, as a multiple of the usual
  /// time. Without it, a pause of a fraction of a second would make the target
  /// look permanently slow.
  static constexpr double MaxSlowness = 4;

  /// \brief Half-life of the slowness above 1 while there are no observations,
  /// so that a recovered target is tried again.
  static constexpr Duration HalfLife = std::chrono::seconds(2);

  /// \brief Age at which a reported load is ignored, because the load changes
  /// within the time of a few requests.
  static constexpr Duration LoadLifetime = std::chrono::milliseconds(300);

  /// \brief An answer that takes this many times the usual time, or none within
  /// it, is reported to other nodes.
  static constexpr double ReportedSlowness = 3;

  /// \brief How long a report of another node counts. A pause of the target is
  /// over by then; a target that stays slow is reported again.
  static constexpr Duration ReportLifetime = std::chrono::seconds(3);

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

  /// \brief Records that the target has said that it leaves. This is final: a
  /// target that returns is another incarnation.
  /// \returns whether it was not known before.
  bool noteDeparture() {
    return !this->Departing.exchange(true, std::memory_order_relaxed);
  }
  bool isDeparting() const {
    return this->Departing.load(std::memory_order_relaxed);
  }

  /// \brief The target wants no requests from this process until \p Until. A
  /// longer pause that it asked for before still holds.
  void pauseUntil(TimePoint Until);
  bool isPaused(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           this->PausedUntilMicros.load(std::memory_order_relaxed);
  }

  /// \brief Takes over what \p Former, the same incarnation under another
  /// description, has said of itself.
  void inheritStatements(const KnownTarget &Former);

  /// \brief Records that all connections to the target broke.
  void noteLoss(TimePoint Now) {
    this->LostAtMicros.store(Now.time_since_epoch().count(),
                             std::memory_order_relaxed);
  }

  /// \returns when all connections to the target last broke.
  TimePoint lostAt() const {
    return TimePoint(
        Duration(this->LostAtMicros.load(std::memory_order_relaxed)));
  }

  /// \brief Whether this process keeps connections to the target open. A target
  /// accepts too few for every process to do so; the others connect on demand.
  bool preferred() const {
    return this->Preferred.load(std::memory_order_relaxed);
  }
  void setPreferred(bool Value) {
    this->Preferred.store(Value, std::memory_order_relaxed);
  }

  /// \brief Marks the target as cold until \p Until.
  void setColdUntil(TimePoint Until) {
    this->ColdUntilMicros.store(Until.time_since_epoch().count(),
                                std::memory_order_relaxed);
  }
  TimePoint coldUntil() const {
    return TimePoint(
        Duration(this->ColdUntilMicros.load(std::memory_order_relaxed)));
  }
  bool isCold(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           this->ColdUntilMicros.load(std::memory_order_relaxed);
  }

  /// \returns whether the last request to the cold target was sent at least
  /// \p Interval ago.
  bool mayStartColdRequest(Duration Interval, TimePoint Now) const;

  /// \brief Claims the right to send one request to the cold target; of several
  /// threads only one gets it.
  /// \returns whether the caller has it. \sa mayStartColdRequest
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

  /// \brief Records an answer that took \p Latency, where \p Usual is the usual
  /// time.
  void observe(Duration Latency, Duration Usual, TimePoint Now);

  /// \brief Records a failure, which counts as an answer of MaxSlowness.
  void observeFailure(TimePoint Now);

  /// \brief Records that a later request to another target was answered first,
  /// or that the answer was slow. \sa slowSeenAt
  void noteSlow(TimePoint Now) {
    this->SlowSeenMicros.store(Now.time_since_epoch().count(),
                               std::memory_order_relaxed);
  }

  /// \returns when this process last found the target slow.
  TimePoint slowSeenAt() const {
    return TimePoint(
        Duration(this->SlowSeenMicros.load(std::memory_order_relaxed)));
  }

  /// \brief Records that another node found the target slow.
  void reportSlow(TimePoint Now) {
    this->ReportedSlowMicros.store(Now.time_since_epoch().count(),
                                   std::memory_order_relaxed);
  }

  /// \brief Stores the load that the target reported.
  void reportLoad(std::uint32_t Running, std::uint32_t Waiting, TimePoint Now);

  /// \brief Sets the requests per second that the target accepts from all
  /// processes together, or that it names no limit any more.
  /// \returns whether a limit began or ended.
  bool setRequestLimit(std::optional<double> PerSecond, TimePoint Now);

  /// \brief Drops the limit, because another node has heard that it ended.
  /// \returns whether there was one.
  bool dropRequestLimit();

  /// \returns when this process last heard that a limit ended.
  TimePoint limitEndedAt() const {
    return TimePoint(
        Duration(this->LimitEndedMicros.load(std::memory_order_relaxed)));
  }

  /// \returns the limit that the target names in its answers, if any.
  std::optional<double> requestLimit() const {
    const double Limit = this->RequestLimit.load(std::memory_order_relaxed);
    return Limit < 0 ? std::nullopt : std::optional(Limit);
  }

  /// \brief Position of this process among all, the nearest to the target
  /// first. The first ones share its request limit. \sa
  /// FleetView::limitedRequestInterval
  std::uint32_t sharerPosition() const {
    return this->SharerPosition.load(std::memory_order_relaxed);
  }
  void setSharerPosition(std::uint32_t Value) {
    this->SharerPosition.store(Value, std::memory_order_relaxed);
  }

  /// \brief A turn to send to the limited target that is not taken for this
  /// time lapses. Otherwise the turns of all processes would add up while there
  /// are no requests, and be taken at once by the next ones.
  static constexpr Duration TurnLifetime = std::chrono::seconds(4);

  /// \returns whether it is the turn of this process to send a request to the
  /// limited target. The first turn, and the one after a turn that has lapsed,
  /// come after \p Phase of \p Interval, where \p Phase is a random number in
  /// [0, 1): processes that learn of a limit together must not send together.
  bool hasLimitedTurn(Duration Interval, double Phase, TimePoint Now);

  /// \brief Takes the turn; the next one comes after \p Interval.
  /// \returns false if another thread has taken it.
  bool tryTakeLimitedTurn(Duration Interval, TimePoint Now);

  /// \returns how many times slower than usual the target is, by the answers
  /// that this process has seen or, unless one came later, by reports of other
  /// nodes.
  double slowness(TimePoint Now) const;

  /// \returns the reported number of running and waiting requests, which
  /// decreases linearly to 0 until the report is LoadLifetime old.
  double reportedLoad(TimePoint Now) const;

private:
  static constexpr double NoRequestLimit = -1;
  static constexpr std::int64_t NoTurn = 0;

  bool isTurn(std::int64_t TurnMicros, TimePoint Now) const;

  void addSlowness(double Value, TimePoint Now);
  double observedSlowness(TimePoint Now) const;

  std::atomic<AdminState> CurrentAdminState{AdminState::Serving};
  std::atomic<Reach> CurrentReach{Reach::Up};
  std::atomic<std::int64_t> LostAtMicros{0};
  std::atomic<bool> Departing{false};
  std::atomic<std::int64_t> PausedUntilMicros{0};
  std::atomic<bool> Preferred{true};
  std::atomic<std::int64_t> ColdUntilMicros{0};
  std::atomic<std::int64_t> LastColdMicros{0};
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<std::uint32_t> Late{0};
  std::atomic<double> Slowness{1};
  std::atomic<std::int64_t> ObservedAtMicros{0};
  std::atomic<std::int64_t> SlowSeenMicros{0};
  std::atomic<std::int64_t> ReportedSlowMicros{0};
  std::atomic<std::uint32_t> ReportedLoad{0};
  std::atomic<std::int64_t> ReportedAtMicros{0};
  std::atomic<double> RequestLimit{NoRequestLimit};
  std::atomic<std::int64_t> LimitEndedMicros{0};
  std::atomic<std::int64_t> NextTurnMicros{NoTurn};
  std::atomic<std::uint32_t> SharerPosition{0};
};

} // namespace balsamyard
