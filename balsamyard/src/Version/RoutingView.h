#pragma once

#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Version/Catalog.h"
#include "balsamyard/src/Version/Rules.h"
#include "balsamyard/src/Version/ShareTable.h"

#include <compare>
#include <map>
#include <set>

namespace balsamyard {

/// \brief One node and its state.
struct NodeInfo {
  NodeName Name;
  DomainName Domain;
  RegionName Region;
  Endpoint Peer;     ///< HTTP/2 address of its holder process.
  bool Alive = true; ///< According to this process.
  bool Leaving = false;
};

/// \brief Identifies the traffic of one route.
struct RouteKey {
  ServiceName Service;
  RouteName Route;

  auto operator<=>(const RouteKey &) const = default;
};

/// \brief How the queries of a route are divided between two versions.
struct TrafficSplit {
  VersionName Current;
  VersionName Next;
  double NextShare = 0; ///< 0 to 1.
};

/// \brief Immutable snapshot of everything that is needed to route a request.
///
/// The control agent builds a new one on each change and publishes it through
/// an RcuCell.
struct RoutingView : RefCounted<RoutingView> {
  ConfigVersion Version{};
  bool Ready = false; ///< False until a configuration has been read.
  Rules Configuration;
  std::map<ServiceName, ServiceCatalog> Services;
  std::map<DomainName, ShareTable> Shares;
  GateTable Gates;
  std::map<NodeName, NodeInfo> Nodes;
  std::map<RouteKey, TrafficSplit> Splits;
  std::set<SlotKey> LeavingSlots;

  const ServiceCatalog *service(const ServiceName &Service) const;
  const NodeInfo *node(const NodeName &Node) const;

  /// \returns whether the slot may get new requests: it is not leaving, and its
  /// failure domain is not drained.
  bool usable(const ServiceName &Service, LeafIndex Leaf,
              const CatalogSlot &Slot) const;
};

} // namespace balsamyard
