#include "balsamyard/src/Version/Catalog.h"

#include "balsamyard/src/Version/internal/JsonObject.h"

#include <algorithm>
#include <map>

namespace balsamyard {

using internal::Json;
using internal::JsonFaults;
using internal::JsonObject;

namespace {

std::string element(const char *Array, std::size_t Index) {
  return std::string(Array) + "[" + std::to_string(Index) + "].";
}

CatalogSlot readSlot(JsonObject &Object, JsonFaults &Faults) {
  CatalogSlot Slot;
  Slot.Index = Object.number<SlotIndex>("slot");
  Slot.Domain = Object.name<DomainName>("domain");
  Slot.Version = Object.name<VersionName>("version");
  Expected<Endpoint> Address = internal::parseEndpoint(Object.text("address"));
  if (Address)
    Slot.Address = *Address;
  else
    Faults.report(Object.at("address"), Address.error().Detail);
  Slot.ConnectionLimit = Object.number<std::uint32_t>("connection_limit", 1);
  Slot.ColdLimit = Object.number<std::uint32_t>("cold_limit", 1);
  if (Object.has("leaving"))
    Slot.Leaving = Object.flag("leaving");
  return Slot;
}

std::vector<CatalogShard>
readShards(const Json &Elements, const std::string &Path, JsonFaults &Faults) {
  std::vector<CatalogShard> Shards;
  std::set<ShardId> Seen;
  for (const Json &Element : Elements) {
    JsonObject Object(Element, Path + element("shards", Shards.size()), Faults);
    CatalogShard Shard;
    Shard.Id = Object.number<ShardId>("shard");
    Shard.Leaf = Object.number<LeafIndex>("leaf");
    if (Object.has("weight"))
      Shard.Weight = Object.number<std::uint64_t>("weight");
    if (!Seen.insert(Shard.Id).second)
      Faults.report(Object.at("shard"), "expected each shard once");
    Shards.push_back(Shard);
  }
  return Shards;
}

} // namespace

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

Expected<ServiceCatalog> parseCatalog(std::string_view Text) {
  Expected<Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  JsonFaults Faults;
  ServiceCatalog Catalog;
  {
    JsonObject Top(*Document, "", Faults);
    Catalog.Name = Top.name<ServiceName>("service");
    for (const Json &Element : Top.array("routes")) {
      if (!Element.is_string() ||
          !internal::isName(Element.get<std::string>()) ||
          Catalog.hasRoute(RouteName{Element.get<std::string>()}))
        Faults.report("routes", "expected names, each once");
      else
        Catalog.Routes.push_back(RouteName{Element.get<std::string>()});
    }
    std::map<LeafIndex, std::map<SlotIndex, CatalogSlot>> Leaves;
    std::size_t Index = 0;
    for (const Json &Element : Top.array("slots")) {
      JsonObject Object(Element, element("slots", Index++), Faults);
      auto Leaf = Object.number<LeafIndex>("leaf");
      CatalogSlot Slot = readSlot(Object, Faults);
      if (!Leaves[Leaf].emplace(Slot.Index, Slot).second)
        Faults.report(Object.at("slot"), "expected each slot of a leaf once");
    }
    Index = 0;
    std::set<SnapshotId> Seen;
    for (const Json &Element : Top.array("snapshots")) {
      std::string Path = element("snapshots", Index++);
      JsonObject Object(Element, Path, Faults);
      CatalogSnapshot Snapshot;
      Snapshot.Id = SnapshotId{Object.number<std::uint64_t>("id", 1)};
      Snapshot.Complete = Object.flag("complete");
      Snapshot.Shards = readShards(Object.array("shards"), Path, Faults);
      if (!Seen.insert(Snapshot.Id).second)
        Faults.report(Object.at("id"), "expected each snapshot once");
      // Keep a leaf without slots, so that its shards count as missing.
      for (const CatalogShard &Shard : Snapshot.Shards)
        Leaves[Shard.Leaf];
      Catalog.Snapshots.push_back(std::move(Snapshot));
    }
    for (const auto &[Leaf, Slots] : Leaves) {
      Catalog.Leaves.push_back({Leaf, {}});
      for (const auto &[Slot, Entry] : Slots)
        Catalog.Leaves.back().Slots.push_back(Entry);
    }
  }
  if (!Faults.none())
    return Faults.error();
  return Catalog;
}

std::string toJson(const ServiceCatalog &Catalog) {
  std::vector<Json> Slots;
  for (const CatalogLeaf &Leaf : Catalog.Leaves)
    for (const CatalogSlot &Slot : Leaf.Slots)
      Slots.push_back({{"leaf", Leaf.Index},
                       {"slot", Slot.Index},
                       {"domain", Slot.Domain.Text},
                       {"version", Slot.Version.Text},
                       {"address", toText(Slot.Address)},
                       {"connection_limit", Slot.ConnectionLimit},
                       {"cold_limit", Slot.ColdLimit},
                       {"leaving", Slot.Leaving}});
  std::vector<std::string> Routes;
  for (const RouteName &Route : Catalog.Routes)
    Routes.push_back(Route.Text);
  std::string Text = "{\"service\":" + Json(Catalog.Name.Text).dump() +
                     ",\"routes\":" + Json(Routes).dump() +
                     ",\"slots\":" + internal::toLines(Slots) +
                     ",\"snapshots\":[";
  for (std::size_t Index = 0; Index < Catalog.Snapshots.size(); ++Index) {
    const CatalogSnapshot &Snapshot = Catalog.Snapshots[Index];
    std::vector<Json> Shards;
    for (const CatalogShard &Shard : Snapshot.Shards)
      Shards.push_back({{"shard", Shard.Id},
                        {"leaf", Shard.Leaf},
                        {"weight", Shard.Weight}});
    Text += std::string(Index ? "," : "") + "\n{\"id\":" +
            std::to_string(static_cast<std::uint64_t>(Snapshot.Id)) +
            ",\"complete\":" + (Snapshot.Complete ? "true" : "false") +
            ",\"shards\":" + internal::toLines(Shards) + "}";
  }
  return Text + "]}\n";
}

} // namespace balsamyard
