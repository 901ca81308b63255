#include "balsamyard/src/Version/Catalog.h"

#include <algorithm>

namespace balsamyard {

const CatalogSnapshot *ServiceCatalog::newest() const {
  const CatalogSnapshot *Best = nullptr;
  for (const CatalogSnapshot &Snapshot : this->Snapshots)
    if (Snapshot.Complete && (!Best || Snapshot.Id > Best->Id))
      Best = &Snapshot;
  return Best;
}

const CatalogSlot *ServiceCatalog::find(LeafIndex Leaf, SlotIndex Slot) const {
  for (const CatalogLeaf &Candidate : this->Leaves) {
    if (Candidate.Index != Leaf)
      continue;
    for (const CatalogSlot &Replica : Candidate.Slots)
      if (Replica.Index == Slot)
        return &Replica;
  }
  return nullptr;
}

bool ServiceCatalog::hasRoute(const RouteName &Route) const {
  return std::find(this->Routes.begin(), this->Routes.end(), Route) !=
         this->Routes.end();
}

} // namespace balsamyard
