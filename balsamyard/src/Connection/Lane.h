#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Version/Catalog.h"
#include "balsamyard/src/Version/ShareTable.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace balsamyard {

/// \returns the lanes of \p Group that \p Table lists for \p Node.
LaneSet lanesOf(const ShareTable &Table, const GroupKey &Group,
                const NodeName &Node);

/// \returns what the owner of \p Lanes may do at \p Slot. \p RuleShare is the
/// share of the connection limit that the rules permit.
SlotShare shareOf(const CatalogSlot &Slot, const LaneSet &Lanes,
                  double RuleShare);

/// \brief The node may use the lane from now on; its slots start cold.
struct LaneTaken {
  LaneKey Lane;
};

/// \brief The lane may not be used any more; its connections are closed.
struct LaneLost {
  LaneKey Lane;
};

using LaneEffect = std::variant<LaneTaken, LaneLost>;

/// \brief Lanes of one failure domain that this node may use.
///
/// A lane that is given away stays unused from giveAway() until settle() says
/// what became of the update of the share table.
class LaneBook {
public:
  explicit LaneBook(NodeName Node) : Node(std::move(Node)) {}

  /// \brief Takes in a share table. An older version than the last is ignored.
  std::vector<LaneEffect> apply(const ShareTable &Table);

  /// \brief Stops using a lane.
  std::vector<LaneEffect> giveAway(const LaneKey &Lane);

  /// \brief The update that gives the lane away succeeded or can no longer
  /// take effect, and a table of at least version \p Known shows its owner.
  std::vector<LaneEffect> settle(const LaneKey &Lane, std::uint64_t Known);

  /// \returns the lanes of \p Group that may be used now.
  LaneSet usable(const GroupKey &Group) const;

  const std::set<LaneKey> &used() const { return this->Used; }

private:
  std::vector<LaneEffect> refresh();

  NodeName Node;
  std::uint64_t Version = 0;
  std::map<GroupKey, std::vector<NodeName>> Owners;
  std::map<LaneKey, std::uint64_t> Settled; ///< Table version that is needed.
  std::set<LaneKey> GivenAway;
  std::set<LaneKey> Used;
};

} // namespace balsamyard
