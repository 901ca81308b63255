#pragma once

#include "balsamyard/src/Connection/SlotStats.h"
#include "balsamyard/src/Version/RoutingView.h"

#include <cstdint>
#include <map>
#include <vector>

namespace balsamyard {

/// \brief Location of a process, from which slot distances are derived.
struct Location {
  DomainName Domain;
  RegionName Region;
};

/// \brief Distance of a slot. A lower value is nearer.
enum class SlotDistance : std::uint8_t { OwnDomain, OwnRegion, Elsewhere };

/// \brief A holder that owns a lane of the service.
struct HolderRoute {
  NodeName Node;
  Endpoint Peer;
  Ref<HolderStats> Stats;
};

/// \brief Alive owners of the lanes of one leaf group in one failure domain, as
/// a range of ServiceIndex::LaneHolders.
struct LaneOwners {
  std::uint32_t First = 0;
  std::uint32_t Count = 0;
};

/// \brief A usable slot and the owners of the lanes of its leaf group.
struct SlotRoute {
  SlotIndex Slot = 0;
  SlotDistance Distance = SlotDistance::Elsewhere;
  std::uint32_t Lanes = 0; ///< Position in ServiceIndex::OwnerSets.
  Ref<SlotStats> Stats;
};

/// \brief A leaf and its range of VersionRoutes::Slots, nearest first.
struct LeafRoute {
  LeafIndex Leaf = 0;
  std::uint32_t FirstSlot = 0;
  std::uint32_t SlotCount = 0;
};

/// \brief Usable slots of one back end version, grouped by leaf.
struct VersionRoutes {
  VersionName Version;
  std::vector<LeafRoute> Leaves; ///< Parallel to ServiceIndex::Leaves.
  std::vector<SlotRoute> Slots;
  std::uint32_t ServedLeaves = 0; ///< Leaves with at least one usable slot.
};

/// \brief Shards of one leaf, as a range of ServiceIndex::Shards.
struct LeafShards {
  LeafIndex Leaf = 0;
  std::uint32_t First = 0;
  std::uint32_t Count = 0;
};

/// \brief Weight of one shard in the pinned snapshot.
struct ShardRoute {
  ShardId Shard = 0;
  std::uint64_t Weight = 1;
};

/// \brief One service of a routing view, arranged so that planning a query
/// takes time linear in the leaves and no look-up by name.
struct ServiceIndex : RefCounted<ServiceIndex> {
  ServiceName Service;
  SnapshotId Snapshot{};
  bool HasSnapshot = false;
  std::vector<LeafShards> Leaves; ///< Leaves that hold shards, ascending.
  std::vector<ShardRoute> Shards; ///< Ascending within each leaf.
  std::uint64_t TotalWeight = 0;
  std::vector<HolderRoute> Holders;
  std::vector<LaneOwners> OwnerSets;
  std::vector<std::uint32_t> LaneHolders; ///< Positions in Holders.
  std::vector<VersionRoutes> Versions;
  Ref<ServiceStats> Stats;

  /// \returns the position of \p Leaf in Leaves, or Leaves.size().
  std::size_t positionOf(LeafIndex Leaf) const;

  /// \returns the routes of the version that \p Request uses.
  ///
  /// A hash of the request id chooses between the versions of \p Split. The
  /// next version is used only if it serves at least as many leaves as the
  /// current one. Without a split, the version that serves most leaves is used.
  /// \returns nullptr if no version has a usable slot.
  const VersionRoutes *choose(const TrafficSplit *Split,
                              const RequestId &Request) const;
};

/// \brief The index of every service of one routing view.
struct RoutingIndex : RefCounted<RoutingIndex> {
  Ref<const RoutingView> View;
  std::map<ServiceName, Ref<const ServiceIndex>> Services;

  /// \returns the index of the service, or nullptr.
  const ServiceIndex *service(const ServiceName &Service) const;
};

/// \returns the index of \p View as seen from \p Own. Slots that are drained,
/// leaving or without an alive lane owner are left out.
Ref<const RoutingIndex> buildIndex(Ref<const RoutingView> View,
                                   const Location &Own, StatsTable &Stats);

/// \returns whether \p Request belongs to the share that uses the next version.
bool usesNextVersion(const TrafficSplit &Split, const RequestId &Request);

} // namespace balsamyard
