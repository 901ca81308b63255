#pragma once

#include "balsamyard/src/Version/Catalog.h"
#include "balsamyard/src/Version/ShareTable.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Time that a VM must be missing in the VM list before other nodes take
/// over its lanes and gates. Exceeds the longest expiry of a write (10 s) plus
/// the clock error.
inline constexpr Duration TransferDelay = std::chrono::seconds(30);

/// \brief Maximum lanes or gates that one update moves to nodes with a higher
/// weight. Limits the number of slots that become cold at the same time.
inline constexpr std::size_t MaxMovesPerWrite = 32;

/// \brief Inputs for planning a change of ownership.
struct ShareInputs {
  NodeName Self;
  bool Leaving = false;                    ///< Self releases everything.
  std::set<NodeName> Usable;               ///< Nodes that may become owners.
  std::map<NodeName, TimePoint> GoneSince; ///< Missing in the VM list since.
  TimePoint Now{};
  WallTime Wall{};
};

/// \brief A planned change of a table. A unit is a lane or a gate.
template <typename Table, typename Unit> struct ShareStep {
  Table Next;
  bool Changed = false;
  std::vector<Unit> Released; ///< Own units to stop using before the update.
  std::vector<Unit> Moved;    ///< All units that change their owner.
};

using LaneStep = ShareStep<ShareTable, LaneKey>;
using GateStep = ShareStep<GateTable, std::size_t>;

/// \brief Plans the next change of the lanes of a failure domain.
///
/// Only three kinds of lanes change their owner: lanes without an owner, lanes
/// of VMs that have been gone for TransferDelay, and lanes of Self. Each group
/// always has MaxLaneCount lanes, so that the share of a lane is constant. If
/// there are fewer nodes than lanes, a node owns several lanes of a group.
LaneStep planShares(const ShareTable &Table,
                    const std::map<ServiceName, ServiceCatalog> &Services,
                    const ShareInputs &Inputs);

/// \brief Plans the next change of the write gates. \sa planShares
GateStep planGates(const GateTable &Table, const ShareInputs &Inputs);

/// \returns the units of a table that \p Node owns.
std::set<LaneKey> ownedBy(const ShareTable &Table, const NodeName &Node);
std::set<std::size_t> ownedBy(const GateTable &Table, const NodeName &Node);

/// \returns all owners in a table.
std::set<NodeName> ownersOf(const ShareTable &Table);
std::set<NodeName> ownersOf(const GateTable &Table);

/// \returns the rank of \p Self among \p Nodes for \p Subject, from 0. The node
/// of rank 0 acts first, so that not all of them act at the same time.
std::size_t rankFor(const NodeName &Self, const std::set<NodeName> &Nodes,
                    const std::string &Subject);

/// \brief Nothing to read or write.
struct ShareIdle {};

/// \brief Read the object, then call ShareLedger::readDone.
struct ShareRead {};

/// \brief Stop using Released, then replace the object if its version is still
/// IfVersion (0: create it), then call ShareLedger::writeDone.
template <typename Table, typename Unit> struct ShareWrite {
  Table Next;
  std::uint64_t IfVersion = 0;
  std::vector<Unit> Released;
  std::vector<Unit> Moved;
};

/// \brief The units of a table that one process may use, safe under updates
/// with an unknown outcome.
///
/// Pure: the caller reads and writes the object and reports the results.
///
/// - An update with an unknown outcome may still take effect until the object
///   has a newer version. Until then the units that it releases stay unused,
///   and the table is written again.
/// - An update of an earlier process on this node may still be in flight.
///   Therefore a starting process that owns units first writes the table
///   unchanged, so that no older update can take effect (fencing).
template <typename Table, typename Unit> class ShareLedger {
public:
  using Step = ShareStep<Table, Unit>;
  using Write = ShareWrite<Table, Unit>;
  using Action = std::variant<ShareIdle, ShareRead, Write>;

  /// \param First is the table to start from if the object does not exist.
  ShareLedger(NodeName Self, Table First)
      : Self(std::move(Self)), First(std::move(First)) {}

  /// \brief Takes in a table of the platform, read directly or passed on by a
  /// node.
  void learn(const Table &Newer) {
    if (this->Newest && Newer.Version <= this->Newest->Version)
      return;
    this->Newest = Newer;
    this->ReleasedUnits.clear();
    this->OutcomeUnknown = false;
  }

  /// \brief Makes all units unusable until the next read. For a process that
  /// was paused, so that others may have taken over its units.
  void suspendUntilRead() {
    this->Suspended = true;
    this->ReadOnce = false;
  }

  /// \returns the next action. \p PlanStep maps a table to a Step.
  template <typename Plan> Action next(Plan PlanStep) const {
    if (!this->ReadOnce)
      return ShareRead{};
    if (this->Newest && (this->OutcomeUnknown || !this->Fenced))
      return Write{*this->Newest, this->Newest->Version, {}, {}};
    Step Planned = PlanStep(this->Newest ? *this->Newest : this->First);
    if (!Planned.Changed)
      return ShareIdle{};
    return Write{std::move(Planned.Next),
                 this->Newest ? this->Newest->Version : 0,
                 std::move(Planned.Released), std::move(Planned.Moved)};
  }

  /// \brief Begins an update: the units that it releases are unusable from now
  /// on.
  void begin(const Write &Update) {
    if (this->Newest && this->Newest->Version == Update.IfVersion)
      this->ReleasedUnits.insert(Update.Released.begin(),
                                 Update.Released.end());
  }

  /// \brief Reports the result of a read; ObjectAbsent: there is no table yet.
  void readDone(const Expected<Table> &Read) {
    if (!Read && Read.error().Value != Code::ObjectAbsent)
      return;
    this->ReadOnce = true;
    this->Suspended = false;
    if (Read)
      this->learn(*Read);
    // A process that owns no units needs no fencing.
    if (!this->Newest || ownedBy(*this->Newest, this->Self).empty())
      this->Fenced = true;
  }

  /// \brief Reports the result of an update: its new version, PlatformConflict,
  /// or any other error if the update may still take effect.
  void writeDone(const Write &Update, const Expected<std::uint64_t> &Result) {
    if (Result) {
      this->Fenced = true;
      Table Written = Update.Next;
      Written.Version = *Result;
      this->learn(Written);
      return;
    }
    this->ReadOnce = false;
    if (Result.error().Value != Code::PlatformConflict && this->Newest &&
        this->Newest->Version == Update.IfVersion)
      this->OutcomeUnknown = true;
  }

  const std::optional<Table> &newest() const { return this->Newest; }

  /// \returns the units that this process may use now.
  std::set<Unit> usable() const {
    if (!this->Fenced || !this->Newest || this->Suspended)
      return {};
    std::set<Unit> Result = ownedBy(*this->Newest, this->Self);
    for (const Unit &Released : this->ReleasedUnits)
      Result.erase(Released);
    return Result;
  }

  /// \returns whether a read has confirmed that this process owns no units.
  bool ownsNothing() const {
    return this->ReadOnce &&
           (!this->Newest || ownedBy(*this->Newest, this->Self).empty());
  }

private:
  NodeName Self;
  Table First;
  std::optional<Table> Newest;
  std::set<Unit> ReleasedUnits;
  bool ReadOnce = false;
  bool Fenced = false;
  bool OutcomeUnknown = false;
  bool Suspended = false;
};

using LaneLedger = ShareLedger<ShareTable, LaneKey>;
using GateLedger = ShareLedger<GateTable, std::size_t>;

} // namespace balsamyard
