#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Version/Catalog.h"
#include "balsamyard/src/Version/SharePlan.h"

#include <set>
#include <variant>
#include <vector>

namespace balsamyard {

/// \returns what the owner of \p Lanes may do at \p Slot. \p RuleShare is the
/// share of the connection limit that the rules permit.
SlotShare slotShare(const CatalogSlot &Slot, const OwnedLanes &Lanes,
                    double RuleShare);

/// \brief The node may use the lane from now on; its slots start cold.
struct LaneTaken {
  LaneKey Lane;
};

/// \brief The lane may not be used any more.
struct LaneLost {
  LaneKey Lane;
};

using LaneEffect = std::variant<LaneTaken, LaneLost>;

/// \brief Lanes of one failure domain that this node uses.
///
/// What it may use comes from a LaneLedger, after each change of the share
/// table. A lane that is no longer in it is given up at once.
class LaneUsage {
public:
  std::vector<LaneEffect> apply(const std::set<LaneKey> &Usable);

  /// \brief Stops using lanes that are going to be given away.
  std::vector<LaneEffect> stop(const std::vector<LaneKey> &Lanes);

  /// \returns the lanes of \p Group that are used.
  OwnedLanes used(const GroupKey &Group) const;

  const std::set<LaneKey> &used() const { return this->Used; }

private:
  std::set<LaneKey> Used;
};

} // namespace balsamyard
