#include "balsamyard/src/Version/ShareTable.h"

#include "balsamyard/src/Version/internal/JsonObject.h"

#include <xxhash.h>

namespace balsamyard {

using internal::Json;
using internal::JsonFaults;
using internal::JsonObject;

namespace {

/// \returns a node name, or an empty one for a lane or gate without an owner.
NodeName readOwner(JsonObject &Object, JsonFaults &Faults) {
  NodeName Node{Object.text("node")};
  if (!Node.empty() && !internal::isName(Node.Text))
    Faults.report(Object.at("node"), "expected a name or an empty text");
  return Node;
}

std::string element(const char *Array, std::size_t Index) {
  return std::string(Array) + "[" + std::to_string(Index) + "].";
}

} // namespace

const std::vector<NodeName> *ShareTable::owners(const GroupKey &Group) const {
  auto Found = this->Lanes.find(Group);
  return Found == this->Lanes.end() ? nullptr : &Found->second;
}

std::size_t gateOf(const RequestId &Request) {
  return XXH3_64bits(Request.Text.data(), Request.Text.size()) % WriteGateCount;
}

Expected<ShareTable> parseShareTable(std::string_view Text) {
  Expected<Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  JsonFaults Faults;
  ShareTable Table;
  {
    JsonObject Top(*Document, "", Faults);
    Table.Domain = Top.name<DomainName>("domain");
    std::size_t Index = 0;
    for (const Json &Element : Top.array("lanes")) {
      JsonObject Object(Element, element("lanes", Index++), Faults);
      GroupKey Group{Object.name<ServiceName>("service"),
                     Object.number<std::uint32_t>("group")};
      auto Lane = Object.number<std::size_t>("lane", 0, MaxLaneCount - 1);
      std::vector<NodeName> &Lanes = Table.Lanes[Group];
      if (Lane != Lanes.size())
        Faults.report(Object.at("lane"), "expected the lanes of a group in "
                                         "ascending order from 0, each once");
      Lanes.push_back(readOwner(Object, Faults));
    }
  }
  if (!Faults.none())
    return Faults.error();
  return Table;
}

std::string toJson(const ShareTable &Table) {
  std::vector<Json> Lines;
  for (const auto &[Group, Lanes] : Table.Lanes)
    for (std::size_t Lane = 0; Lane < Lanes.size(); ++Lane)
      Lines.push_back({{"service", Group.Service.Text},
                       {"group", Group.Group},
                       {"lane", Lane},
                       {"node", Lanes[Lane].Text}});
  return "{\"domain\":" + Json(Table.Domain.Text).dump() +
         ",\"lanes\":" + internal::toLines(Lines) + "}\n";
}

Expected<GateTable> parseGateTable(std::string_view Text) {
  Expected<Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  JsonFaults Faults;
  GateTable Table;
  {
    JsonObject Top(*Document, "", Faults);
    const Json &Elements = Top.array("gates");
    if (Elements.size() != WriteGateCount)
      Faults.report("gates", "expected " + std::to_string(WriteGateCount) +
                                 " gates, found " +
                                 std::to_string(Elements.size()));
    for (std::size_t Index = 0; Index < Elements.size() && Faults.none();
         ++Index) {
      JsonObject Object(Elements[Index], element("gates", Index), Faults);
      if (Object.number<std::size_t>("gate") != Index)
        Faults.report(Object.at("gate"),
                      "expected the gates in ascending order from 0");
      Table.Gates[Index].Node = readOwner(Object, Faults);
      // The bound keeps the value within the range of WallTime.
      Table.Gates[Index].Since = WallTime(std::chrono::milliseconds(
          Object.number<std::uint64_t>("since", 0, std::uint64_t(1) << 60)));
    }
  }
  if (!Faults.none())
    return Faults.error();
  return Table;
}

std::string toJson(const GateTable &Table) {
  std::vector<Json> Lines;
  for (std::size_t Gate = 0; Gate < WriteGateCount; ++Gate)
    Lines.push_back(
        {{"gate", Gate},
         {"node", Table.Gates[Gate].Node.Text},
         {"since", static_cast<std::uint64_t>(
                       Table.Gates[Gate].Since.time_since_epoch().count())}});
  return "{\"gates\":" + internal::toLines(Lines) + "}\n";
}

} // namespace balsamyard
