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

/// \brief One lane of a leaf group.
struct LaneKey {
  GroupKey Group;
  std::size_t Lane = 0;

  auto operator<=>(const LaneKey &) const = default;
};

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
  std::vector<Unit> Given; ///< Own units to stop using before the update.
  std::vector<Unit> Moved; ///< All units that get another owner.
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

/// \brief What one process may use of a table, whatever becomes of its updates.
///
/// Pure: the caller reads and writes the object and reports the results.
///
/// - An update without a clear answer may still take effect until the object
///   has a newer version. Until then the units it gives away stay unused.
/// - An update of an earlier process on this node may be on its way too.
///   Therefore a starting process first rewrites the table if it owns a part.
template <typename Table, typename Unit> class ShareLedger {
public:
  using Step = ShareStep<Table, Unit>;

  explicit ShareLedger(NodeName Self) : Self(std::move(Self)) {}

  /// \brief Learns a table from the platform or from another node.
  void learn(const Table &Newer) {
    if (this->Known && Newer.Version <= this->Known->Version)
      return;
    this->Known = Newer;
    this->Stopped.clear();
    this->Unclear = false;
  }

  /// \brief Nothing may be used before the next read, because the process was
  /// paused and others may have taken over.
  void distrust() {
    this->Distrusted = true;
    this->ReadOnce = false;
  }

  /// \brief Learns a table that the platform answered to a read.
  void learnRead(const Table &Read) {
    this->learn(Read);
    this->ReadOnce = true;
    this->Distrusted = false;
    if (!this->Fenced && ownedBy(*this->Known, this->Self).empty())
      this->Fenced = true;
  }

  /// \brief The object does not exist yet.
  void learnAbsent() { this->ReadOnce = true; }

  /// \brief Begins an update: \p Given stays unused until a newer version.
  void begin(const std::vector<Unit> &Given) {
    this->Stopped.insert(Given.begin(), Given.end());
  }

  /// \brief The update was accepted.
  void accepted(const Table &Written) {
    this->Fenced = true;
    this->learn(Written);
  }

  /// \brief Another update came first.
  void refused() { this->ReadOnce = false; }

  /// \brief The update got no answer and may take effect later.
  void unclear() {
    this->Unclear = true;
    this->ReadOnce = false;
  }

  bool mustRead() const { return !this->ReadOnce; }

  /// \returns whether the table must be rewritten as it is, so that an older
  /// update can no longer take effect.
  bool mustRewrite() const {
    return this->ReadOnce && this->Known && (this->Unclear || !this->Fenced);
  }

  const std::optional<Table> &known() const { return this->Known; }

  /// \returns the units that this process may use now.
  std::set<Unit> usable() const {
    if (!this->Fenced || !this->Known || this->Distrusted)
      return {};
    std::set<Unit> Result = ownedBy(*this->Known, this->Self);
    for (const Unit &Given : this->Stopped)
      Result.erase(Given);
    return Result;
  }

private:
  NodeName Self;
  std::optional<Table> Known;
  std::set<Unit> Stopped;
  bool ReadOnce = false;
  bool Fenced = false;
  bool Unclear = false;
  bool Distrusted = false;
};

using LaneLedger = ShareLedger<ShareTable, LaneKey>;
using GateLedger = ShareLedger<GateTable, std::size_t>;

} // namespace balsamyard
