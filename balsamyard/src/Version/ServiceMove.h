#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/MoveStatus.h"
#include "balsamyard/src/Version/MoveTraffic.h"
#include "balsamyard/src/Version/VersionJudge.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief An operator's order to move the traffic of a service.
struct MoveOrder {
  ServiceName Service;
  VersionName To;
  Duration Within{}; ///< Time limit, from the order to Done.
};

/// \brief Steps of a move, in order.
///
/// In the trial step the new version gets less traffic than a bad version is
/// allowed to get. The rest of that allowance is kept for the load step, which
/// reveals faults that only occur under load. In the whole step the new version
/// gets all traffic, and the old one is still available for a rollback.
enum class MoveStep : std::uint8_t { Trial, Load, Whole };

/// \returns the name of a step in logs.
std::string_view name(MoveStep Step);

/// \brief Progress of a move, stored next to its order.
struct MoveReport {
  VersionName To;
  MoveStatus Status = MoveStatus::UnderWay;
  MoveStep Step = MoveStep::Trial;
  WallTime Due{};     ///< Deadline of the move.
  std::string Reason; ///< Of a rollback.
};

/// \brief The order or its report was read or has changed.
struct MoveOrderUpdated {
  MoveOrder Order;
  std::optional<MoveReport> Report;
  StoreRevision Revision{};
};

/// \brief Answer counts of a node since it started.
struct NodeMoveCounts {
  NodeName Node;
  std::uint64_t Incarnation = 0;
  MoveTally Tally;
};

/// \brief Periodic tick. NewTargets: the new version has serving targets.
struct MoveTimePassed {
  bool NewTargets = false;
  std::uint32_t Rank = 0; ///< Of this node among all.
};

/// \brief The report was not written, because the order had changed or the
/// store did not answer.
struct MoveWriteFailed {};

using ServiceMoveEvent = std::variant<MoveOrderUpdated, NodeMoveCounts,
                                      MoveTimePassed, MoveWriteFailed>;

/// \brief Steady and wall time of one moment.
struct MoveClock {
  TimePoint Now{};
  WallTime Wall{};
};

/// \brief Replace the report if the revision of the order is still Base.
struct WriteMoveReport {
  MoveReport Report;
  StoreRevision Base{};
};

using ServiceMoveEffect = std::variant<WriteMoveReport>;

/// \brief Moves the traffic of one service to another version.
///
/// Pure. Every node runs it on the counts that it has received. Writes are
/// conditional on the revision of the order, so no leader is needed: the node
/// of the lowest rank writes a due step at once, the others with a delay per
/// rank if it is still due. Any node that has the evidence rolls a version
/// back, for itself at once and for all nodes with its write.
class ServiceMove {
public:
  /// Minimum length of each step as a fraction of the time limit. Together with
  /// MinWholeTime the move is done within 0.8 of the time limit.
  static constexpr double TrialFraction = 0.45;
  static constexpr double LoadFraction = 0.12;
  static constexpr double WholeFraction = 0.12;

  /// Minimum length of the whole step. Every node has to learn of it and finish
  /// its running requests before the old version may be removed.
  static constexpr Duration MinWholeTime = std::chrono::seconds(2);

  /// A version that is still undecided after this fraction of the time limit is
  /// rolled back.
  static constexpr double DecisionFraction = 0.85;

  /// Fraction of the share that a bad version may get, used in the trial step.
  static constexpr double TrialExposureFraction = 0.4;

  static constexpr double LoadShare = 0.3;

  /// Log likelihood ratio above which no step forward is made: the version is
  /// e^4, about 55, times more likely to be bad than good. Two random failures
  /// in a row stay below it.
  static constexpr double BlockingEvidence = 4;

  /// Delay of a due write per rank of the node.
  static constexpr Duration RankDelay = std::chrono::milliseconds(300);

  /// Time between two attempts to write.
  static constexpr Duration WritePause = std::chrono::milliseconds(500);

  /// \p Exposure is the share of the requests that a bad version may get.
  ServiceMove(NodeName Self, double Exposure);

  std::vector<ServiceMoveEffect> handle(const ServiceMoveEvent &Event,
                                        const MoveClock &At);

  /// \returns the share of the requests that the new version gets, 0 to 1.
  double share() const;

  bool isUnderWay() const {
    return this->Status == MoveStatus::UnderWay && !this->Reason;
  }
  /// \brief Whether the stored status is Done or RolledBack, or has been: the
  /// end of a move is final, also if the store loses it.
  bool isEnded() const { return this->Status != MoveStatus::UnderWay; }
  /// \brief Whether the end of the move is not in the store any more, so that
  /// it has to be written again.
  bool hasUnstoredEnd() const {
    return this->isEnded() &&
           (!this->Report || this->Report->Status != this->Status);
  }
  bool isRolledBack() const { return this->Status == MoveStatus::RolledBack; }

  MoveStep step() const { return this->Step; }
  const MoveOrder &order() const { return this->Order; }

private:
  using Effects = std::vector<ServiceMoveEffect>;

  void on(const MoveOrderUpdated &Event, const MoveClock &At, Effects &Out);
  void on(const NodeMoveCounts &Event, const MoveClock &At, Effects &Out);
  void on(const MoveTimePassed &Event, const MoveClock &At, Effects &Out);
  void on(const MoveWriteFailed &Event, const MoveClock &At, Effects &Out);

  void begin(const MoveOrderUpdated &Event, const MoveClock &At);
  void judge(TimePoint Now);
  MoveReport nextReport(const MoveClock &At) const;
  bool isBlockedByEvidence() const;
  std::optional<MoveReport> dueReport(const MoveTimePassed &Event,
                                      const MoveClock &At) const;
  std::optional<MoveStep> nextStep(TimePoint Now) const;
  Duration fractionOfTime(double Fraction) const;

  const NodeName Self;
  const double Exposure;
  MoveOrder Order;
  StoreRevision Revision{};
  std::optional<MoveReport> Report; ///< As stored.
  MoveStatus Status = MoveStatus::UnderWay;
  MoveStep Step = MoveStep::Trial;
  TimePoint OrderedAt{};
  TimePoint StepSince{};
  std::optional<TimePoint> ReportDueSince;
  TimePoint NextWrite{};
  std::optional<std::string> Reason; ///< Of a rollback by this node.
  std::vector<VersionJudge> Judges;  ///< By bucket of the tally.
  std::map<NodeName, std::uint64_t> Incarnations; ///< Of the counts.
};

} // namespace balsamyard
