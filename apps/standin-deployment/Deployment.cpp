#include "Deployment.h"

#include <asio.hpp>

namespace standin {

using namespace balsamyard;

namespace {

constexpr std::uint32_t ShardsPerLeaf = 4;
constexpr std::uint32_t ColdLimit = 4;

/// Allocates ports of one loopback address that are free for TCP and UDP. Each
/// port stays bound while the allocator exists, so that none is returned twice.
class PortAllocator {
public:
  explicit PortAllocator(const std::string &Address)
      : Address(asio::ip::make_address(Address)) {}

  Endpoint next() {
    for (;;) {
      asio::ip::tcp::acceptor Stream(this->Context, {this->Address, 0});
      const std::uint16_t Port = Stream.local_endpoint().port();
      asio::ip::udp::socket Datagrams(this->Context, asio::ip::udp::v4());
      asio::error_code Fault;
      Datagrams.bind({this->Address, Port}, Fault);
      this->Streams.push_back(std::move(Stream));
      if (!Fault)
        return {this->Address.to_string(), Port};
    }
  }

private:
  asio::io_context Context;
  asio::ip::address Address;
  std::vector<asio::ip::tcp::acceptor> Streams;
};

CatalogSlot placeSlot(const ServiceGroup &Group, SlotIndex Index,
                      const std::string &Domain, const std::string &Version,
                      PortAllocator &Ports) {
  CatalogSlot Slot;
  Slot.Index = Index;
  Slot.Domain.Text = Domain;
  Slot.Version.Text = Version;
  Slot.Address = Ports.next();
  Slot.ConnectionLimit = Group.ConnectionLimit;
  Slot.ColdLimit = ColdLimit;
  return Slot;
}

ServiceCatalog placeService(const DeploymentLayout &Layout,
                            const ServiceGroup &Group, const std::string &Name,
                            bool Moved, PortAllocator &Ports) {
  ServiceCatalog Result;
  Result.Name.Text = Name;
  Result.Routes.push_back({Group.Route});
  CatalogSnapshot Snapshot;
  Snapshot.Id = SnapshotId{1};
  Snapshot.Complete = true;
  for (LeafIndex Index = 0; Index < Group.Leaves; ++Index) {
    CatalogLeaf Leaf;
    Leaf.Index = Index;
    const std::uint32_t Slots = Group.SlotsPerLeaf * (Moved ? 2 : 1);
    for (std::uint32_t Slot = 0; Slot < Slots; ++Slot)
      Leaf.Slots.push_back(
          placeSlot(Group, static_cast<SlotIndex>(Slot),
                    Layout.Domains[(Slot + Index) % Layout.Domains.size()],
                    Slot < Group.SlotsPerLeaf ? "v1" : "v2", Ports));
    Result.Leaves.push_back(std::move(Leaf));
    for (std::uint32_t Shard = 0; Shard < ShardsPerLeaf; ++Shard)
      Snapshot.Shards.push_back(
          {Index * ShardsPerLeaf + Shard, Index, 10 + Shard});
  }
  Result.Snapshots.push_back(std::move(Snapshot));
  return Result;
}

std::string numberedName(const std::string &Prefix, std::uint32_t Number) {
  return Prefix + (Number < 10 ? "-0" : "-") + std::to_string(Number);
}

} // namespace

Expected<DeploymentLayout> findDeploymentLayout(const std::string &Name) {
  using std::chrono::milliseconds;
  // Service counts and connection limits are a fifth to a quarter of those of
  // the users' deployments; leaves, slots and connection times are the same.
  if (Name == "maracas")
    return DeploymentLayout{Name,
                            {"north", "centre", "south"},
                            {{"portal", "find", 4, 2, 3, 8, milliseconds(6)},
                             {"budget", "publish", 6, 2, 3, 8, milliseconds(6)},
                             {"permits", "file", 1, 9, 6, 16, milliseconds(1)},
                             {"roads", "find", 1, 4, 6, 16, milliseconds(1)}}};
  if (Name == "lakeshore")
    return DeploymentLayout{
        Name,
        {"erie", "huron", "superior"},
        {{"depot", "find", 4, 2, 2, 8, milliseconds(6)},
         {"crew", "roster", 6, 2, 2, 8, milliseconds(6)},
         {"manifests", "file", 1, 5, 3, 12, milliseconds(1)},
         {"fill", "status", 1, 3, 3, 12, milliseconds(1)}}};
  return fail(Code::SettingsBadValue,
              "deployment must be maracas or lakeshore, not " + Name);
}

const ServiceGroup &
Deployment::findServiceGroup(const ServiceName &Service) const {
  for (const ServiceGroup &Candidate : this->Layout.Services)
    if (Service.Text.starts_with(Candidate.Prefix + "-"))
      return Candidate;
  return this->Layout.Services.front();
}

Deployment placeDeployment(DeploymentLayout Layout,
                           std::uint32_t NodesPerDomain,
                           const std::string &Address) {
  PortAllocator Ports(Address);
  Deployment Result;
  Result.Platform = Ports.next();
  for (const std::string &Domain : Layout.Domains)
    for (std::uint32_t Node = 1; Node <= NodesPerDomain; ++Node) {
      DeployedNode Placed;
      Placed.Name.Text = Domain + "-" + std::to_string(Node);
      Placed.Domain.Text = Domain;
      for (Endpoint *Listen :
           {&Placed.EntryHttp, &Placed.EntryPeer, &Placed.EntryGossip,
            &Placed.HolderHttp, &Placed.HolderPeer, &Placed.HolderGossip})
        *Listen = Ports.next();
      Result.Nodes.push_back(std::move(Placed));
    }
  for (const ServiceGroup &Service : Layout.Services)
    for (std::uint32_t Number = 0; Number < Service.Services; ++Number) {
      const bool Moved = Result.MovedService.empty();
      Result.Services.push_back(placeService(
          Layout, Service, numberedName(Service.Prefix, Number), Moved, Ports));
      if (Moved)
        Result.MovedService = Result.Services.back().Name;
    }
  Result.Layout = std::move(Layout);
  return Result;
}

} // namespace standin
