#include "balsamyard/src/Version/RoutingView.h"

namespace balsamyard {

const ServiceCatalog *RoutingView::service(const ServiceName &Service) const {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

const NodeInfo *RoutingView::node(const NodeName &Node) const {
  auto Found = this->Nodes.find(Node);
  return Found == this->Nodes.end() ? nullptr : &Found->second;
}

bool RoutingView::usable(const ServiceName &Service, LeafIndex Leaf,
                         const CatalogSlot &Slot) const {
  return !Slot.Leaving && !this->Configuration.isDrained(Slot.Domain) &&
         !this->LeavingSlots.contains({Service, Leaf, Slot.Index});
}

} // namespace balsamyard
