#pragma once

#include "balsamyard/src/Version/MoveStatus.h"
#include "balsamyard/src/Version/RoutingView.h"
#include "balsamyard/src/Version/VersionJudge.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Share of the traffic that the new version gets in each step.
inline constexpr std::array<double, 5> MoveSteps = {0.01, 0.05, 0.25, 0.5, 1.0};

/// \brief Minimum number of requests to the new version in a step. On a route
/// with little traffic the share is raised so that they arrive in time.
inline constexpr double MinStepRequests = 50;

/// \brief Minimum length of a step, so that faults that only occur under more
/// load become visible.
inline constexpr Duration MinStepTime = std::chrono::seconds(30);

/// \brief Time for which a version is watched after the last step.
inline constexpr Duration WatchTime = std::chrono::minutes(10);

/// \returns "under way", "done" or "taken back".
std::string_view toText(MoveStatus Status);

/// \brief Value of the platform object `shared/moves/SERVICE/ROUTE`.
struct MoveState {
  ServiceName Service;
  RouteName Route;
  VersionName From;
  VersionName To;
  std::string Rule; ///< Identifies the rule. \sa moveRuleId
  MoveStatus Status = MoveStatus::UnderWay;
  std::string Reason; ///< Of a rollback.
  std::uint32_t Step = 0;
  double Share = 0; ///< Of the traffic of the route, 0 to 1.
  WallTime StepSince{};
  NodeName Judge;
  std::uint64_t Epoch = 0;   ///< Of the judge's lease.
  std::uint64_t Version = 0; ///< Of the object; not part of the value.
};

Expected<MoveState> parseMoveState(std::string_view Json);
std::string toJson(const MoveState &State);

/// \returns how \p State divides the traffic of the route.
TrafficSplit splitOf(const MoveState &State);

/// \returns an identifier that changes with the version or the time of the
/// rule. A version that was rolled back is not tried again under the same
/// identifier.
std::string moveRuleId(const MoveRule &Rule);

/// \returns the number that identifies the rule in notices.
ConfigVersion moveRuleNumber(const std::string &RuleId);

/// \brief Tick once per second. Leads: this process holds the lease of the
/// service.
struct MoveTick {
  TimePoint Now{};
  WallTime Wall{};
  bool Leads = false;
  std::uint64_t Epoch = 0;
};

/// \brief Counts of a holder were received.
struct MoveCounts {
  Evidence Counts;
};

/// \brief The state was read from the platform or was written there.
struct MoveLoaded {
  MoveState State;
};

/// \brief The platform has no state of this move.
struct MoveAbsent {};

/// \brief Another process rolled the version back.
struct MoveRolledBackElsewhere {
  std::string Reason;
};

/// \brief The rule no longer exists.
struct MoveRuleRemoved {};

using MoveEvent = std::variant<MoveTick, MoveCounts, MoveLoaded, MoveAbsent,
                               MoveRolledBackElsewhere, MoveRuleRemoved>;

/// \brief Replace the state if its version is still State.Version (0: create),
/// then report it by MoveLoaded.
struct WriteMove {
  MoveState State;
};

/// \brief Notify all processes at once that the version is rolled back.
struct AnnounceRollback {
  VersionRolledBack Body;
};

using MoveEffect = std::variant<WriteMove, AnnounceRollback>;

/// \brief Moves the traffic of one route to a new version.
///
/// Pure. Only the process that holds the lease steps forward; any process may
/// roll the version back. While the platform is down, no state is written and
/// thus no step is made, but AnnounceRollback is still sent.
class VersionMove {
public:
  /// \p Caution is passed to the judge of this move. \sa VersionJudge
  VersionMove(NodeName Self, RouteKey Route, MoveRule Rule, VersionName From,
              double Caution = 0);

  std::vector<MoveEffect> handle(const MoveEvent &Event);

  /// \returns the newest known state, if the platform has one of this rule.
  const std::optional<MoveState> &state() const { return this->State; }

  /// \returns whether the state has not been read yet.
  bool mustLoad() const { return !this->Loaded; }

  const std::string &ruleId() const { return this->RuleId; }
  const VersionJudge &judge() const { return this->Judge; }

private:
  using Effects = std::vector<MoveEffect>;

  void onTick(const MoveTick &Tick, Effects &Out);
  void onLoaded(const MoveState &Newer);
  void rollBack(const std::string &Reason, Effects &Out);
  MoveState first(const MoveTick &Tick) const;
  bool passes(const MoveTick &Tick, const Judgement &Found) const;
  Duration stepBudget(WallTime Wall) const;
  double wantedShare(const MoveTick &Tick) const;

  NodeName Self;
  RouteKey Route;
  MoveRule Rule;
  VersionName From;
  std::string RuleId;
  VersionJudge Judge;
  std::optional<MoveState> State;
  std::uint64_t ObjectVersion = 0; ///< Newest version of the object; 0: none.
  bool Loaded = false;
  std::optional<std::string> RollbackReason;
  bool Announced = false;
};

/// \brief Lease that lets one process step a move forward, as seen by one
/// process.
///
/// The lease is an object whose version changes with each renewal. Other
/// processes take it over once its version has not changed for LeaseTime on
/// their own clock; the owner relies on it only for the shorter TrustTime.
class MoveLease {
public:
  static constexpr Duration LeaseTime = std::chrono::seconds(10);
  static constexpr Duration TrustTime = std::chrono::seconds(7);
  static constexpr Duration RenewPeriod = std::chrono::seconds(3);

  explicit MoveLease(NodeName Self) : Self(std::move(Self)) {}

  /// \brief The object was read with this owner, epoch and version.
  void seen(const NodeName &Owner, std::uint64_t Epoch, std::uint64_t Version,
            TimePoint Now);
  void seenAbsent(TimePoint Now) { this->seen({}, 0, 0, Now); }

  /// \brief An update that was sent at \p SentAt succeeded.
  void written(std::uint64_t Epoch, std::uint64_t Version, TimePoint SentAt);

  /// \brief An update failed or its result is unknown.
  void lost() { this->MustRead = true; }

  bool mustRead(TimePoint Now) const;

  /// \returns the epoch to write if the lease is to be renewed or taken over
  /// now.
  std::optional<std::uint64_t> due(TimePoint Now) const;

  bool holds(TimePoint Now) const { return Now < this->TrustedUntil; }
  std::uint64_t epoch() const { return this->Epoch; }
  std::uint64_t version() const { return this->Version; }

private:
  NodeName Self;
  NodeName Owner;
  std::uint64_t Epoch = 0;
  std::uint64_t Version = 0;
  TimePoint ChangedAt{};
  TimePoint ReadAt{};
  TimePoint TrustedUntil{};
  TimePoint RenewAt{};
  bool MustRead = true;
};

} // namespace balsamyard
