#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Version/Catalog.h"
#include "balsamyard/src/Version/SharePlan.h"

#include <set>
#include <variant>
#include <vector>

namespace balsamyard {

/// \returns the limits at \p Slot of a node that owns \p Lanes. \p RuleShare is
/// the fraction of the connection limit that the rules permit.
SlotShare slotShare(const CatalogSlot &Slot, const OwnedLanes &Lanes,
                    double RuleShare);

/// \brief The node may use the lane from now on; its slots start cold.
struct LaneTaken {
  LaneKey Lane;
};

/// \brief The node may no longer use the lane.
struct LaneLost {
  LaneKey Lane;
};

using LaneEffect = std::variant<LaneTaken, LaneLost>;

/// \brief Lanes of one failure domain that this node uses.
///
/// The usable lanes come from a LaneLedger after each change of the share
/// table. A lane that is no longer usable is given up at once.
class LaneUsage {
public:
  std::vector<LaneEffect> apply(const std::set<LaneKey> &Usable);

  /// \brief Stops using lanes that are about to be given away.
  std::vector<LaneEffect> stop(const std::vector<LaneKey> &Lanes);

  /// \returns the lanes of \p Group that are used.
  OwnedLanes used(const GroupKey &Group) const;

  const std::set<LaneKey> &used() const { return this->Used; }

private:
  std::set<LaneKey> Used;
};

} // namespace balsamyard
