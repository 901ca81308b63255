#include "balsamyard/src/Version/ServiceIndex.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <xxhash.h>

namespace balsamyard {

namespace {

/// Builds the index of one service.
class IndexBuilder {
public:
  IndexBuilder(const RoutingView &View, const ServiceCatalog &Catalog,
               const Location &Own, StatsTable &Stats)
      : View(View), Catalog(Catalog), Own(Own), Stats(Stats) {}

  Ref<ServiceIndex> build() {
    this->Index->Service = this->Catalog.Name;
    this->Index->Stats = this->Stats.service(this->Catalog.Name);
    this->addSnapshot();
    std::map<LeafIndex, const CatalogLeaf *> ByIndex;
    std::set<VersionName> Names;
    for (const CatalogLeaf &Leaf : this->Catalog.Leaves) {
      ByIndex[Leaf.Index] = &Leaf;
      for (const CatalogSlot &Slot : Leaf.Slots)
        Names.insert(Slot.Version);
    }
    for (const VersionName &Name : Names)
      this->addVersion(Name, ByIndex);
    return std::move(this->Index);
  }

private:
  void addSnapshot() {
    const CatalogSnapshot *Newest = this->Catalog.newest();
    if (!Newest)
      return;
    this->Index->HasSnapshot = true;
    this->Index->Snapshot = Newest->Id;
    std::vector<CatalogShard> Sorted = Newest->Shards;
    std::sort(Sorted.begin(), Sorted.end(),
              [](const CatalogShard &Left, const CatalogShard &Right) {
                return std::tie(Left.Leaf, Left.Id) <
                       std::tie(Right.Leaf, Right.Id);
              });
    for (const CatalogShard &Shard : Sorted) {
      std::vector<LeafShards> &Leaves = this->Index->Leaves;
      if (Leaves.empty() || Leaves.back().Leaf != Shard.Leaf)
        Leaves.push_back(
            {Shard.Leaf, static_cast<std::uint32_t>(this->Index->Shards.size()),
             0});
      ++Leaves.back().Count;
      this->Index->Shards.push_back({Shard.Id, Shard.Weight});
      this->Index->TotalWeight += Shard.Weight;
    }
  }

  void addVersion(const VersionName &Name,
                  const std::map<LeafIndex, const CatalogLeaf *> &ByIndex) {
    VersionRoutes Routes;
    Routes.Version = Name;
    for (const LeafShards &Leaf : this->Index->Leaves) {
      LeafRoute Route{Leaf.Leaf,
                      static_cast<std::uint32_t>(Routes.Slots.size()), 0};
      auto Found = ByIndex.find(Leaf.Leaf);
      if (Found != ByIndex.end())
        for (const CatalogSlot &Slot : Found->second->Slots)
          if (Slot.Version == Name)
            this->addSlot(Leaf.Leaf, Slot, Routes);
      Route.SlotCount =
          static_cast<std::uint32_t>(Routes.Slots.size()) - Route.FirstSlot;
      std::stable_sort(Routes.Slots.begin() + Route.FirstSlot,
                       Routes.Slots.end(),
                       [](const SlotRoute &Left, const SlotRoute &Right) {
                         return Left.Distance < Right.Distance;
                       });
      Routes.ServedLeaves += Route.SlotCount > 0 ? 1 : 0;
      Routes.Leaves.push_back(Route);
    }
    this->Index->Versions.push_back(std::move(Routes));
  }

  void addSlot(LeafIndex Leaf, const CatalogSlot &Slot, VersionRoutes &Routes) {
    if (!this->View.usable(this->Catalog.Name, Leaf, Slot))
      return;
    const std::uint32_t Lanes = this->laneSet(Leaf, Slot.Domain);
    if (this->Index->OwnerSets[Lanes].Count == 0)
      return;
    Routes.Slots.push_back(
        {Slot.Index, this->distance(Slot.Domain), Lanes,
         this->Stats.slot({this->Catalog.Name, Leaf, Slot.Index}, Slot.Version,
                          Slot.Address)});
  }

  /// \returns the position in OwnerSets of the group of \p Leaf in \p Domain.
  std::uint32_t laneSet(LeafIndex Leaf, const DomainName &Domain) {
    const GroupKey Group = groupOf(this->Catalog.Name, Leaf);
    auto [Entry, Added] = this->SetOf.try_emplace(
        {Group.Group, Domain},
        static_cast<std::uint32_t>(this->Index->OwnerSets.size()));
    if (Added)
      this->Index->OwnerSets.push_back(this->makeLaneSet(Group, Domain));
    return Entry->second;
  }

  LaneOwners makeLaneSet(const GroupKey &Group, const DomainName &Domain) {
    LaneOwners Set{static_cast<std::uint32_t>(this->Index->LaneHolders.size()),
                   0};
    auto Table = this->View.Shares.find(Domain);
    const std::vector<NodeName> *Owners = Table == this->View.Shares.end()
                                              ? nullptr
                                              : Table->second.owners(Group);
    if (!Owners)
      return Set;
    // A leaving owner serves until it has released its lanes, but is used only
    // if there is no other.
    for (bool Leaving : {false, true}) {
      for (const NodeName &Owner : *Owners) {
        const NodeInfo *Node = this->View.node(Owner);
        if (Node && Node->Alive && Node->Leaving == Leaving)
          this->Index->LaneHolders.push_back(this->holder(*Node));
      }
      Set.Count = static_cast<std::uint32_t>(this->Index->LaneHolders.size()) -
                  Set.First;
      if (Set.Count > 0)
        break;
    }
    return Set;
  }

  std::uint32_t holder(const NodeInfo &Node) {
    auto [Entry, Added] = this->HolderOf.try_emplace(
        Node.Name, static_cast<std::uint32_t>(this->Index->Holders.size()));
    if (Added)
      this->Index->Holders.push_back(
          {Node.Name, Node.Peer, this->Stats.holder(Node.Name)});
    return Entry->second;
  }

  SlotDistance distance(const DomainName &Domain) const {
    if (Domain == this->Own.Domain)
      return SlotDistance::OwnDomain;
    // A domain is in the region of its nodes.
    auto [Entry, Added] = this->InOwnRegion.try_emplace(Domain, false);
    if (Added)
      Entry->second =
          std::any_of(this->View.Nodes.begin(), this->View.Nodes.end(),
                      [&](const auto &Node) {
                        return Node.second.Domain == Domain &&
                               Node.second.Region == this->Own.Region;
                      });
    return Entry->second ? SlotDistance::OwnRegion : SlotDistance::Elsewhere;
  }

  const RoutingView &View;
  const ServiceCatalog &Catalog;
  const Location &Own;
  StatsTable &Stats;
  Ref<ServiceIndex> Index = makeRef<ServiceIndex>();
  std::map<std::pair<std::uint32_t, DomainName>, std::uint32_t> SetOf;
  std::unordered_map<NodeName, std::uint32_t> HolderOf;
  mutable std::map<DomainName, bool> InOwnRegion;
};

} // namespace

std::size_t ServiceIndex::positionOf(LeafIndex Leaf) const {
  if (this->Leaves.empty() || Leaf < this->Leaves.front().Leaf)
    return this->Leaves.size();
  // Fast path: leaves are usually numbered without gaps.
  const std::size_t Guess = Leaf - this->Leaves.front().Leaf;
  if (Guess < this->Leaves.size() && this->Leaves[Guess].Leaf == Leaf)
    return Guess;
  auto Found = std::lower_bound(
      this->Leaves.begin(), this->Leaves.end(), Leaf,
      [](const LeafShards &Entry, LeafIndex Key) { return Entry.Leaf < Key; });
  return Found != this->Leaves.end() && Found->Leaf == Leaf
             ? static_cast<std::size_t>(Found - this->Leaves.begin())
             : this->Leaves.size();
}

const VersionRoutes *ServiceIndex::choose(const TrafficSplit *Split,
                                          const RequestId &Request) const {
  const VersionRoutes *Most = nullptr;
  const VersionRoutes *Current = nullptr;
  const VersionRoutes *Next = nullptr;
  for (const VersionRoutes &Routes : this->Versions) {
    if (!Most || Routes.ServedLeaves > Most->ServedLeaves)
      Most = &Routes;
    if (Split && Routes.Version == Split->Current)
      Current = &Routes;
    if (Split && Routes.Version == Split->Next)
      Next = &Routes;
  }
  if (Current && Next && Next->ServedLeaves >= Current->ServedLeaves &&
      usesNextVersion(*Split, Request))
    return Next;
  const VersionRoutes *Chosen = Split && Current ? Current : Most;
  return Chosen && Chosen->ServedLeaves > 0 ? Chosen : nullptr;
}

const ServiceIndex *RoutingIndex::service(const ServiceName &Service) const {
  auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : Found->second.get();
}

Ref<const RoutingIndex> buildIndex(Ref<const RoutingView> View,
                                   const Location &Own, StatsTable &Stats) {
  Ref<RoutingIndex> Result = makeRef<RoutingIndex>();
  Stats.beginVersion();
  Result->View = std::move(View);
  for (const auto &[Name, Catalog] : Result->View->Services)
    Result->Services.emplace(
        Name, IndexBuilder(*Result->View, Catalog, Own, Stats).build());
  return Result;
}

bool usesNextVersion(const TrafficSplit &Split, const RequestId &Request) {
  // The seed keeps this hash independent of the one that selects a write gate.
  constexpr XXH64_hash_t Seed = 1;
  const XXH64_hash_t Hash =
      XXH3_64bits_withSeed(Request.Text.data(), Request.Text.size(), Seed);
  const double Position = static_cast<double>(Hash >> 11) / 9007199254740992.0;
  return Position < Split.NextShare;
}

} // namespace balsamyard
