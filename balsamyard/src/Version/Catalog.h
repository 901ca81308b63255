#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace balsamyard {

/// \brief One replica of a leaf: one target in one failure domain.
struct CatalogSlot {
  SlotIndex Index = 0;
  DomainName Domain;
  VersionName Version;
  Endpoint Address;
  std::uint32_t ConnectionLimit = 30;
  std::uint32_t ColdLimit = 4;
  bool Leaving = false;
};

/// \brief A part of a service that holds some of its shards.
struct CatalogLeaf {
  LeafIndex Index = 0;
  std::vector<CatalogSlot> Slots;
};

/// \brief Leaf of a shard in one snapshot, and its weight in records.
struct CatalogShard {
  ShardId Id = 0;
  LeafIndex Leaf = 0;
  std::uint64_t Weight = 1;
};

/// \brief Shard map of one index version.
struct CatalogSnapshot {
  SnapshotId Id{};
  bool Complete = false;
  std::vector<CatalogShard> Shards;
};

/// \brief Slots and snapshots of one service, as published by the platform.
struct ServiceCatalog {
  ServiceName Name;
  std::vector<RouteName> Routes;
  std::vector<CatalogLeaf> Leaves;
  std::vector<CatalogSnapshot> Snapshots;

  /// \returns the newest complete snapshot, or nullptr.
  const CatalogSnapshot *newest() const;

  /// \returns the slot, or nullptr if it does not exist.
  const CatalogSlot *find(LeafIndex Leaf, SlotIndex Slot) const;

  bool hasRoute(const RouteName &Route) const;
};

/// \brief Reads the JSON value of the platform object `shared/catalog/SERVICE`.
///
/// \code
/// {"service":"permits","routes":["find"],"slots":[
/// {"leaf":0,"slot":0,"domain":"east","version":"v1",
///  "address":"127.0.0.1:8000","connection_limit":30,"cold_limit":4}
/// ],"snapshots":[
/// {"id":7,"complete":true,"shards":[
/// {"shard":0,"leaf":0,"weight":10}
/// ]}]}
/// \endcode
/// `leaving` (default false) and `weight` (default 1) are optional; unknown
/// members are faults. \returns PlatformMalformed with the path of the fault
/// and the expectation.
Expected<ServiceCatalog> parseCatalog(std::string_view Json);

/// \returns the JSON value of \p Catalog. \sa parseCatalog
std::string toJson(const ServiceCatalog &Catalog);

} // namespace balsamyard
