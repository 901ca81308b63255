#pragma once

#include "balsamyard/Request"
#include "balsamyard/Version"

#include <string>

namespace balsamyard::testing {

/// \brief Dimensions of a generated service. The slots of a leaf are spread
/// over the failure domains.
struct WorldShape {
  std::uint32_t Leaves = 4;
  std::uint32_t Slots = 3;
  std::uint32_t ShardsPerLeaf = 2;
  std::uint32_t Domains = 3;
  std::uint32_t Regions = 1;
  std::uint32_t NodesPerDomain = 2;
};

inline DomainName domainName(std::uint32_t Domain) {
  return {"domain-" + std::to_string(Domain)};
}

inline NodeName nodeName(std::uint32_t Domain, std::uint32_t Node) {
  return {"node-" + std::to_string(Domain) + "-" + std::to_string(Node)};
}

/// \returns a catalog with one complete snapshot; shard I weighs 10 + I % 7.
inline ServiceCatalog makeCatalog(const WorldShape &Shape) {
  ServiceCatalog Catalog;
  Catalog.Name = {"portal"};
  Catalog.Routes = {{"find"}};
  CatalogSnapshot Snapshot;
  Snapshot.Id = SnapshotId{7};
  Snapshot.Complete = true;
  for (std::uint32_t Leaf = 0; Leaf < Shape.Leaves; ++Leaf) {
    CatalogLeaf Entry;
    Entry.Index = Leaf;
    for (std::uint32_t Slot = 0; Slot < Shape.Slots; ++Slot) {
      CatalogSlot Replica;
      Replica.Index = static_cast<SlotIndex>(Slot);
      Replica.Domain = domainName(Slot % Shape.Domains);
      Replica.Version = {"v1"};
      Replica.Address = {"127.0.0.1",
                         static_cast<std::uint16_t>(20000 + Leaf * 8 + Slot)};
      Entry.Slots.push_back(Replica);
    }
    Catalog.Leaves.push_back(Entry);
    for (std::uint32_t Shard = 0; Shard < Shape.ShardsPerLeaf; ++Shard) {
      const ShardId Id = Leaf * Shape.ShardsPerLeaf + Shard;
      Snapshot.Shards.push_back({Id, Leaf, 10 + Id % 7});
    }
  }
  Catalog.Snapshots.push_back(Snapshot);
  return Catalog;
}

/// \returns a view with one service and all lanes owned.
inline Ref<RoutingView> makeView(const WorldShape &Shape) {
  Ref<RoutingView> View = makeRef<RoutingView>();
  View->Ready = true;
  View->Version = ConfigVersion{1};
  ServiceCatalog Catalog = makeCatalog(Shape);
  for (std::uint32_t Domain = 0; Domain < Shape.Domains; ++Domain) {
    ShareTable Table;
    Table.Domain = domainName(Domain);
    const std::uint32_t Groups =
        (Shape.Leaves + LeafGroupSize - 1) / LeafGroupSize;
    for (std::uint32_t Group = 0; Group < Groups; ++Group) {
      std::vector<NodeName> &Owners = Table.Lanes[{Catalog.Name, Group}];
      for (std::uint32_t Lane = 0;
           Lane < std::min<std::uint32_t>(Shape.NodesPerDomain, MaxLaneCount);
           ++Lane)
        Owners.push_back(
            nodeName(Domain, (Group + Lane) % Shape.NodesPerDomain));
    }
    View->Shares[Table.Domain] = Table;
    for (std::uint32_t Node = 0; Node < Shape.NodesPerDomain; ++Node) {
      NodeInfo Info;
      Info.Name = nodeName(Domain, Node);
      Info.Domain = domainName(Domain);
      Info.Region = {"region-" + std::to_string(Domain % Shape.Regions)};
      Info.Peer = {"127.0.0.1",
                   static_cast<std::uint16_t>(30000 + Domain * 200 + Node)};
      View->Nodes[Info.Name] = Info;
    }
  }
  View->Services[Catalog.Name] = std::move(Catalog);
  return View;
}

/// \returns the location of the entry process of a generated world.
inline Location makeLocation() { return {domainName(0), {"region-0"}}; }

/// \returns the answer that a correct target gives to one item of a batch.
inline LeafReply answerTo(const LeafBatch &Batch, const LeafItem &Item) {
  LeafReply Reply;
  Reply.Query = Batch.Query;
  Reply.Leaf = Item.Leaf;
  Reply.Slot = Item.Slot;
  Reply.Attempt = Item.Attempt;
  Reply.Snapshot = Batch.Snapshot;
  Reply.Version = Batch.Version;
  for (ShardId Shard : Item.Shards)
    Reply.Parts.push_back({Shard, 1, "[" + std::to_string(Shard) + "]"});
  return Reply;
}

/// \returns the answer of a target that failed one item of a batch.
inline LeafReply failureOf(const LeafBatch &Batch, const LeafItem &Item,
                           Code Result) {
  LeafReply Reply = answerTo(Batch, Item);
  Reply.Result = Result;
  Reply.Parts.clear();
  return Reply;
}

} // namespace balsamyard::testing
