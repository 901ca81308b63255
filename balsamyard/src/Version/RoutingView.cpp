#include "balsamyard/src/Version/RoutingView.h"

namespace balsamyard {

const ServiceCatalog *RoutingView::service(const ServiceName &Service) const {
  auto Entry = this->Services.find(Service);
  return Entry == this->Services.end() ? nullptr : &Entry->second;
}

const NodeInfo *RoutingView::node(const NodeName &Node) const {
  auto Entry = this->Nodes.find(Node);
  return Entry == this->Nodes.end() ? nullptr : &Entry->second;
}

bool RoutingView::usable(const ServiceName &Service, LeafIndex Leaf,
                         const CatalogSlot &Slot) const {
  return !Slot.Leaving && !this->Configuration.isDrained(Slot.Domain) &&
         !this->LeavingSlots.contains({Service, Leaf, Slot.Index});
}

} // namespace balsamyard
