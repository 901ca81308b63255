#include "Deployment.h"

#include <asio.hpp>

namespace standin {

using namespace balsamyard;

namespace {

constexpr std::uint32_t ShardsPerLeaf = 4;
constexpr std::uint32_t ColdLimit = 4;

/// Hands out ports of one loopback address that are free for TCP and UDP. Every
/// port stays bound until the allocator ends, so that none is handed out twice.
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

CatalogSlot placeSlot(const ServiceKind &Kind, SlotIndex Index,
                      const std::string &Domain, const std::string &Version,
                      PortAllocator &Ports) {
  CatalogSlot Slot;
  Slot.Index = Index;
  Slot.Domain.Text = Domain;
  Slot.Version.Text = Version;
  Slot.Address = Ports.next();
  Slot.ConnectionLimit = Kind.ConnectionLimit;
  Slot.ColdLimit = ColdLimit;
  return Slot;
}

ServiceCatalog placeService(const DeploymentKind &Deployed,
                            const ServiceKind &Kind, const std::string &Name,
                            bool Moved, PortAllocator &Ports) {
  ServiceCatalog Result;
  Result.Name.Text = Name;
  Result.Routes.push_back({Kind.Route});
  CatalogSnapshot Snapshot;
  Snapshot.Id = SnapshotId{1};
  Snapshot.Complete = true;
  for (LeafIndex Index = 0; Index < Kind.Leaves; ++Index) {
    CatalogLeaf Leaf;
    Leaf.Index = Index;
    const std::uint32_t Slots = Kind.SlotsPerLeaf * (Moved ? 2 : 1);
    for (std::uint32_t Slot = 0; Slot < Slots; ++Slot)
      Leaf.Slots.push_back(
          placeSlot(Kind, static_cast<SlotIndex>(Slot),
                    Deployed.Domains[(Slot + Index) % Deployed.Domains.size()],
                    Slot < Kind.SlotsPerLeaf ? "v1" : "v2", Ports));
    Result.Leaves.push_back(std::move(Leaf));
    for (std::uint32_t Shard = 0; Shard < ShardsPerLeaf; ++Shard)
      Snapshot.Shards.push_back(
          {Index * ShardsPerLeaf + Shard, Index, 10 + Shard});
  }
  Result.Snapshots.push_back(std::move(Snapshot));
  return Result;
}

std::string numbered(const std::string &Prefix, std::uint32_t Number) {
  return Prefix + (Number < 10 ? "-0" : "-") + std::to_string(Number);
}

} // namespace

Expected<DeploymentKind> deploymentKind(const std::string &Name) {
  using std::chrono::milliseconds;
  // Service counts and connection limits are a fifth to a quarter of the
  // users' sizes; leaves, slots and connection costs are theirs.
  if (Name == "maracas")
    return DeploymentKind{Name,
                          {"north", "centre", "south"},
                          {{"portal", "find", 4, 2, 3, 8, milliseconds(6)},
                           {"budget", "publish", 6, 2, 3, 8, milliseconds(6)},
                           {"permits", "file", 1, 9, 6, 16, milliseconds(1)},
                           {"roads", "find", 1, 4, 6, 16, milliseconds(1)}}};
  if (Name == "lakeshore")
    return DeploymentKind{Name,
                          {"erie", "huron", "superior"},
                          {{"depot", "find", 4, 2, 2, 8, milliseconds(6)},
                           {"crew", "roster", 6, 2, 2, 8, milliseconds(6)},
                           {"manifests", "file", 1, 5, 3, 12, milliseconds(1)},
                           {"fill", "status", 1, 3, 3, 12, milliseconds(1)}}};
  return fail(Code::SettingsBadValue,
              "deployment must be maracas or lakeshore, not " + Name);
}

const ServiceKind &Deployment::kindOf(const ServiceName &Service) const {
  for (const ServiceKind &Candidate : this->Kind.Services)
    if (Service.Text.starts_with(Candidate.Prefix + "-"))
      return Candidate;
  return this->Kind.Services.front();
}

Deployment placeDeployment(DeploymentKind Kind, std::uint32_t NodesPerDomain,
                           const std::string &Address) {
  PortAllocator Ports(Address);
  Deployment Result;
  Result.Platform = Ports.next();
  for (const std::string &Domain : Kind.Domains)
    for (std::uint32_t Node = 1; Node <= NodesPerDomain; ++Node) {
      DeployedNode Placed;
      Placed.Name.Text = Domain + "-" + std::to_string(Node);
      Placed.Domain.Text = Domain;
      for (Endpoint *At :
           {&Placed.EntryHttp, &Placed.EntryPeer, &Placed.EntryGossip,
            &Placed.HolderHttp, &Placed.HolderPeer, &Placed.HolderGossip})
        *At = Ports.next();
      Result.Nodes.push_back(std::move(Placed));
    }
  for (const ServiceKind &Service : Kind.Services)
    for (std::uint32_t Number = 0; Number < Service.Services; ++Number) {
      const bool Moved = Result.MovedService.empty();
      Result.Services.push_back(placeService(
          Kind, Service, numbered(Service.Prefix, Number), Moved, Ports));
      if (Moved)
        Result.MovedService = Result.Services.back().Name;
    }
  Result.Kind = std::move(Kind);
  return Result;
}

} // namespace standin
