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

/// \brief How long the VM list must show a VM as gone before others take over
/// its lanes and gates. Exceeds the longest expiry of a write (10 s) plus clock
/// error.
inline constexpr Duration TransferDelay = std::chrono::seconds(30);

/// \brief Lanes or gates that one update gives to nodes that are better
/// placed. Keeps the number of slots that turn cold at once small.
inline constexpr std::size_t MaxMovesPerWrite = 32;

/// \brief What a process knows when it plans a change of ownership.
struct ShareInputs {
  NodeName Self;
  bool Leaving = false;                    ///< Self gives everything away.
  std::set<NodeName> Usable;               ///< Nodes that may become owners.
  std::map<NodeName, TimePoint> GoneSince; ///< Absent from the VM list since.
  TimePoint Now{};
  WallTime Wall{};
};

/// \brief A planned change of a table.
template <typename Table, typename Unit> struct ShareStep {
  Table Next;
  bool Changed = false;
  std::vector<Unit> Released; ///< Own units to stop using before the update.
  std::vector<Unit> Moved;    ///< All units that get another owner.
};

using LaneStep = ShareStep<ShareTable, LaneKey>;
using GateStep = ShareStep<GateTable, std::size_t>;

/// \brief Plans the next change of the lanes of a failure domain.
///
/// Only three kinds of lanes change: those without an owner, those of VMs that
/// are gone for TransferDelay, and those of Self. Each group always has
/// MaxLaneCount lanes, so that the part of a lane never changes; a node owns
/// several lanes of a group if there are fewer nodes than lanes.
LaneStep planShares(const ShareTable &Table,
                    const std::map<ServiceName, ServiceCatalog> &Services,
                    const ShareInputs &Inputs);

/// \brief Plans the next change of the write gates. \sa planShares
GateStep planGates(const GateTable &Table, const ShareInputs &Inputs);

/// \returns the units of a table that are listed under \p Node.
std::set<LaneKey> ownedBy(const ShareTable &Table, const NodeName &Node);
std::set<std::size_t> ownedBy(const GateTable &Table, const NodeName &Node);

/// \returns all owners in a table.
std::set<NodeName> ownersOf(const ShareTable &Table);
std::set<NodeName> ownersOf(const GateTable &Table);

/// \brief Place of \p Self in the order in which nodes take care of \p Subject,
/// from 0. Lets one of many nodes act first.
std::size_t rankFor(const NodeName &Self, const std::set<NodeName> &Nodes,
                    const std::string &Subject);

/// \brief Nothing to do at the platform.
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

/// \brief What one process may use of a table, whatever becomes of its updates.
///
/// Pure: the caller reads and writes the object and reports the results.
///
/// - An update without a clear answer may still take effect until the object
///   has a newer version. Until then the units it gives away stay unused, and
///   the table is written again.
/// - An update of an earlier process on this node may be on its way too.
///   Therefore a starting process that owns a part of the table first writes
///   the table as it is, so that no older update can take effect.
template <typename Table, typename Unit> class ShareLedger {
public:
  using Step = ShareStep<Table, Unit>;
  using Write = ShareWrite<Table, Unit>;
  using Action = std::variant<ShareIdle, ShareRead, Write>;

  /// \param First is the table to start from if the object does not exist.
  ShareLedger(NodeName Self, Table First)
      : Self(std::move(Self)), First(std::move(First)) {}

  /// \brief Learns a table that came from the platform by any way.
  void learn(const Table &Newer) {
    if (this->Newest && Newer.Version <= this->Newest->Version)
      return;
    this->Newest = Newer;
    this->Stopped.clear();
    this->Unclear = false;
  }

  /// \brief Nothing may be used before the next read, because the process was
  /// paused and others may have taken over.
  void suspendUntilRead() {
    this->Distrusted = true;
    this->ReadOnce = false;
  }

  /// \returns what to do next. \p Plan maps a table to a Step.
  template <typename Plan> Action next(Plan PlanStep) const {
    if (!this->ReadOnce)
      return ShareRead{};
    if (this->Newest && (this->Unclear || !this->Fenced))
      return Write{*this->Newest, this->Newest->Version, {}, {}};
    Step Planned = PlanStep(this->Newest ? *this->Newest : this->First);
    if (!Planned.Changed)
      return ShareIdle{};
    return Write{std::move(Planned.Next),
                 this->Newest ? this->Newest->Version : 0,
                 std::move(Planned.Released), std::move(Planned.Moved)};
  }

  /// \brief Begins an update: what it gives away is unused from now on.
  void begin(const Write &Update) {
    if (this->Newest && this->Newest->Version == Update.IfVersion)
      this->Stopped.insert(Update.Released.begin(), Update.Released.end());
  }

  /// \brief Reports a read; ObjectAbsent means that there is no table yet.
  void readDone(const Expected<Table> &Read) {
    if (!Read && Read.error().Value != Code::ObjectAbsent)
      return;
    this->ReadOnce = true;
    this->Distrusted = false;
    if (Read)
      this->learn(*Read);
    // Without a part of the table there is nothing to protect.
    if (!this->Newest || ownedBy(*this->Newest, this->Self).empty())
      this->Fenced = true;
  }

  /// \brief Reports an update with its new version, PlatformConflict, or any
  /// other error if it may take effect later.
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
      this->Unclear = true;
  }

  const std::optional<Table> &newest() const { return this->Newest; }

  /// \returns the units that this process may use now.
  std::set<Unit> usable() const {
    if (!this->Fenced || !this->Newest || this->Distrusted)
      return {};
    std::set<Unit> Result = ownedBy(*this->Newest, this->Self);
    for (const Unit &Released : this->Stopped)
      Result.erase(Released);
    return Result;
  }

  /// \returns whether a table without any unit of this process is confirmed.
  bool ownsNothing() const {
    return this->ReadOnce &&
           (!this->Newest || ownedBy(*this->Newest, this->Self).empty());
  }

private:
  NodeName Self;
  Table First;
  std::optional<Table> Newest;
  std::set<Unit> Stopped;
  bool ReadOnce = false;
  bool Fenced = false;
  bool Unclear = false;
  bool Distrusted = false;
};

using LaneLedger = ShareLedger<ShareTable, LaneKey>;
using GateLedger = ShareLedger<GateTable, std::size_t>;

} // namespace balsamyard
