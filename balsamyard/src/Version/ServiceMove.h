#pragma once

#include "balsamyard/src/Core/Draws.h"
#include "balsamyard/src/Core/Names.h"
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
  Duration Within{}; ///< From the order until the move is done.
};

/// \brief Steps of a move, in their order.
///
/// While a version is in trial, it gets less of the traffic than a bad one may
/// get, and the rest is saved for the load step, which shows faults that need
/// load. In the whole step the old version is still there to go back to.
enum class MoveStep : std::uint8_t { Trial, Load, Whole };

/// \returns the name of a step in logs.
std::string_view name(MoveStep Step);

/// \brief Where a move stands, as kept beside its order.
struct MoveReport {
  VersionName To;
  MoveStatus Status = MoveStatus::UnderWay;
  MoveStep Step = MoveStep::Trial;
  WallTime Due{};     ///< When the move has to be done.
  std::string Reason; ///< Why it was taken back.
};

/// \brief The order or its report was read or has changed.
struct MoveOrderUpdated {
  MoveOrder Order;
  std::optional<MoveReport> Report;
  StoreRevision Revision{};
};

/// \brief What a node has counted since it started.
struct NodeMoveCounts {
  NodeName Node;
  std::uint64_t Incarnation = 0;
  MoveTally Tally;
};

/// \brief Time has passed. NewTargets: the version has targets that serve.
struct MoveTimePassed {
  bool NewTargets = false;
  std::uint32_t Rank = 0; ///< Of this node among all.
};

/// \brief The report was not written: the order had changed, or the store did
/// not answer.
struct MoveWriteFailed {};

using ServiceMoveEvent = std::variant<MoveOrderUpdated, NodeMoveCounts,
                                      MoveTimePassed, MoveWriteFailed>;

/// \brief Both clocks at one moment.
struct MoveClock {
  TimePoint Now{};
  WallTime Wall{};
};

/// \brief Replace the report if the order is still at Base.
struct WriteMoveReport {
  MoveReport Report;
  StoreRevision Base{};
};

using ServiceMoveEffect = std::variant<WriteMoveReport>;

/// \brief Moves the traffic of one service to another version.
///
/// Pure. Every node runs it on the counts that it knows. Steps are written
/// under a condition, so they need no leader: the node of the lowest rank
/// writes at once, each other one a little later if the step is still due. A
/// version is taken back by whichever node has the evidence, for itself at once
/// and for all with its write.
class ServiceMove {
public:
  /// Part of the time that the trial and the load step take at least. With the
  /// wait below the move is done before 0.8 of the time is over.
  static constexpr double TrialFraction = 0.45;
  static constexpr double LoadFraction = 0.12;
  static constexpr double WholeFraction = 0.12;

  /// The whole step lasts this long at least: each node has to hear of it, and
  /// its running requests have to end, before the old version may go.
  static constexpr Duration MinWholeTime = std::chrono::seconds(2);

  /// An undecided version is taken back when this part of the time is over.
  static constexpr double DecisionFraction = 0.85;

  /// Of the share that a bad version may get, what the trial uses.
  static constexpr double TrialExposureFraction = 0.4;

  static constexpr double LoadShare = 0.3;

  /// No step forward while a version is e^4, about 55, times more likely to be
  /// bad than good. Two chance failures in a row stay below.
  static constexpr double BlockingEvidence = 4;

  /// A node writes a due step this much later for each node of a lower rank.
  static constexpr Duration RankDelay = std::chrono::milliseconds(300);

  /// Between two tries to write.
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
  /// \brief Whether the store says that the move is done or taken back.
  bool isEnded() const { return this->Status != MoveStatus::UnderWay; }
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
  bool isBlockedByEvidence() const;
  std::optional<MoveReport> dueReport(const MoveTimePassed &Event,
                                      const MoveClock &At) const;
  std::optional<MoveStep> nextStep(TimePoint Now) const;
  Duration part(double Share) const;

  const NodeName Self;
  const double Exposure;
  MoveOrder Order;
  StoreRevision Revision{};
  std::optional<MoveReport> Report; ///< As it stands in the store.
  MoveStatus Status = MoveStatus::UnderWay;
  MoveStep Step = MoveStep::Trial;
  TimePoint OrderedAt{};
  TimePoint StepSince{};
  std::optional<TimePoint> DueSince; ///< A report is due since then.
  TimePoint NextWrite{};
  std::optional<std::string> Reason; ///< Of taking it back, by this node.
  std::vector<VersionJudge> Judges;  ///< By place of the tally.
  std::map<NodeName, std::uint64_t> Counted; ///< Incarnations heard of.
};

} // namespace balsamyard
