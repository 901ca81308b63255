#include "balsamyard/Process"
#include "balsamyard/Version"
#include "balsamyard/src/Process/GossipCodec.h"
#include "fuzz/Mutate.h"

#include <sstream>

using namespace balsamyard;
using std::chrono::milliseconds;

namespace {

/// Checks that an accepted value is the same after it was written as JSON and
/// parsed again.
template <typename Value, Expected<Value> (*Parse)(std::string_view)>
int checkJson(const std::string &Text) {
  Expected<Value> First = Parse(Text);
  if (!First)
    return First.error().Value == Code::PlatformMalformed ? 0 : -1;
  std::string Encoded = toJson(*First);
  Expected<Value> Second = Parse(Encoded);
  return Second && toJson(*Second) == Encoded ? 1 : -1;
}

int checkRules(const std::string &Text) {
  auto Parsed = parseRules(Text);
  if (Parsed)
    return 1;
  return Parsed.error().empty() ? -1 : 0;
}

int checkSettings(const std::string &Text) {
  auto Parsed = parseSettings(Text);
  if (Parsed)
    return 1;
  return Parsed.error().empty() ? -1 : 0;
}

int checkGossip(const std::string &Bytes) {
  Expected<GossipMessage> First = decodeGossip(Bytes);
  if (!First)
    return First.error().Value == Code::MalformedMessage ? 0 : -1;
  Expected<GossipMessage> Second = decodeGossip(encodeGossip(*First));
  return Second && *Second == *First ? 1 : -1;
}

int checkListing(const std::string &Text) {
  return internal::parseListing(Text) ? 1 : 0;
}

int checkVms(const std::string &Text) {
  return internal::parseVms(Text) ? 1 : 0;
}

LeafBatch requestedBatch() {
  LeafBatch Batch;
  Batch.Query = QueryId(7);
  Batch.Service.Text = "portal";
  Batch.Route.Text = "find";
  Batch.Version.Text = "v1";
  Batch.Snapshot = SnapshotId(3);
  Batch.Body = "{}";
  Batch.Items = {{2, 1, 1, {4, 5}}};
  return Batch;
}

TargetExchange okExchange(const std::string &Body) {
  TargetExchange Exchange;
  Exchange.Status = 200;
  Exchange.Body = Body;
  Exchange.Sent = true;
  return Exchange;
}

/// Checks that an accepted answer belongs to this request and holds only shards
/// that were requested.
int checkSearchAnswer(const std::string &Body) {
  LeafBatch Batch = requestedBatch();
  LeafReply Reply = decodeSearch(Batch, Batch.Items[0], okExchange(Body)).Reply;
  if (Reply.Query != Batch.Query || Reply.Leaf != 2 || Reply.Slot != 1 ||
      Reply.Attempt != 1)
    return -1;
  if (Reply.Result != Code::Ok)
    return Reply.Parts.empty() ? 0 : -1;
  for (const ShardPart &Part : Reply.Parts)
    if (Part.Shard != 4 && Part.Shard != 5)
      return -1;
  return Reply.Snapshot == Batch.Snapshot ? 1 : -1;
}

/// Checks that an answer that doesn't match this write leaves its outcome
/// unknown, because the write may have run.
int checkWriteAnswer(const std::string &Body) {
  WriteCommand Command;
  Command.Request.Text = "w-1";
  Command.Version.Text = "v1";
  Command.Body = "{}";
  WriteReply Reply = decodeWrite(Command, okExchange(Body)).Reply;
  if (Reply.Result == Code::Ok)
    return Reply.Ran == Outcome::Ran ? 1 : -1;
  return Reply.Ran == Outcome::Unknown ? 0 : -1;
}

int checkTrace(const std::string &Text) {
  std::istringstream Lines(Text);
  auto Parsed = parseTrace(Lines);
  if (Parsed)
    return 1;
  return Parsed.error().empty() ? -1 : 0;
}

int checkTimeline(const std::string &Text) {
  std::istringstream Lines(Text);
  Timeline Merged;
  Merged.read("log", Lines);
  toTable(Merged.select({}));
  return Merged.faults().empty() ? 1 : 0;
}

std::string catalogJson() {
  ServiceCatalog Catalog;
  Catalog.Name = {"permits"};
  Catalog.Routes = {{"find"}, {"upload"}};
  Catalog.Leaves = {{0,
                     {{0, {"east"}, {"v1"}, {"127.0.0.1", 8000}, 100, 4, false},
                      {1, {"west"}, {"v2"}, {"::1", 8001}, 30, 1, true}}}};
  Catalog.Snapshots = {{SnapshotId{7}, true, {{0, 0, 10}, {1, 0, 20}}}};
  return toJson(Catalog);
}

std::string shareTableJson() {
  ShareTable Table;
  Table.Domain = {"east"};
  Table.Lanes[{{"permits"}, 0}] = {{"east-1"}, {"east-2"}, {""}};
  Table.Lanes[{{"permits"}, 1}] = {{"east-2"}};
  return toJson(Table);
}

std::string gateTableJson() {
  GateTable Table;
  for (GateOwner &Gate : Table.Gates)
    Gate = {{"east-1"}, WallTime(milliseconds(1790000000000))};
  return toJson(Table);
}

std::vector<std::string> encodedGossip() {
  MemberUpdate Sender{{{{"east-1"}, ProcessRole::Holder},
                       {"east"},
                       {"north"},
                       {"127.0.0.1", 7100},
                       {"127.0.0.1", 7000}},
                      1790000000000,
                      MemberState::Alive};
  MemberUpdate Other = Sender;
  Other.Info.Key.Node.Text = "west-1";
  Other.State = MemberState::Suspect;
  std::vector<std::string> Encoded;
  for (const GossipBody &Body :
       {GossipBody(Ping{1, true, ProcessKey{{"west-1"}, ProcessRole::Entry}}),
        GossipBody(PingRequest{2, {{"west-1"}, ProcessRole::Holder}}),
        GossipBody(Ack{3, true, false, true}), GossipBody(Announce{})})
    Encoded.push_back(
        encodeGossip({Sender, ConfigVersion(9), 2, Body, {Other}}));
  return Encoded;
}

constexpr const char *RulesText =
    "# Rules\n"
    "search service=portal-* route=* deadline=160ms coverage=1 hedge=0.05  "
    "# asked by the duty desk\n"
    "write service=* route=* deadline=2s repeat=no  # asked by the office\n"
    "drain domain=east  # asked by operations\n"
    "move service=permits route=* to=v2 by=2026-12-04T10:00:00Z  # asked by "
    "the release desk\n";

constexpr const char *SettingsText =
    "[node]\nname = \"east-1\"\ndomain = \"east\"\nregion = \"north\"\n"
    "[listen]\nhttp = \"127.0.0.1:8080\"\npeer = \"127.0.0.1:7000\"\n"
    "gossip = \"127.0.0.1:7100\"\n"
    "[platform]\naddress = \"127.0.0.1:9000\"\n"
    "[peers]\nseeds = [\"127.0.0.1:7101\"]\n"
    "[limits]\nin_flight = 256\n";

constexpr const char *ListingText =
    R"({"version":9,"objects":[{"name":"shared/gates","version":7},{"name":"shared/rules/head","version":9}]})";

constexpr const char *VmsText =
    R"({"vms":[{"node":"east-1","state":"live","domain":"east","region":"north","holder":"127.0.0.1:7000"},)"
    R"({"node":"east-2","state":"leaving","domain":"east","region":"north","holder":"127.0.0.1:7001"}]})";

constexpr const char *SearchAnswerText =
    R"({"query":7,"leaf":2,"slot":1,"attempt":1,"snapshot":3,"version":"v1","incarnation":5,"state":"warm",)"
    R"("shards":[{"shard":4,"weight":10,"rows":[{"id":"4-0"}]},{"shard":5,"weight":20,"rows":[]}]})";

constexpr const char *WriteAnswerText =
    R"({"request":"w-1","version":"v1","incarnation":5,"state":"warm","result":{"stored":1}})";

constexpr const char *TraceText =
    R"({"at_ms":5,"kind":"search","service":"portal","route":"find","id":"r-1","deadline_ms":160,"body":{}})"
    "\n"
    R"({"at_ms":7,"kind":"fault","url":"http://127.0.0.1:8001/fault","body":{}})"
    "\n";

constexpr const char *LogText =
    R"({"time":"2026-12-04T08:00:00.000001Z","level":"info","event":"query-started","node":"east-1","request":"r1"})"
    "\n";

} // namespace

int main() {
  bool Passed = true;
  Passed &= fuzz::run("rules", {RulesText}, checkRules);
  Passed &= fuzz::run("settings", {SettingsText}, checkSettings);
  Passed &= fuzz::run("catalog", {catalogJson()},
                      checkJson<ServiceCatalog, parseCatalog>);
  Passed &= fuzz::run("share table", {shareTableJson()},
                      checkJson<ShareTable, parseShareTable>);
  Passed &= fuzz::run("write gates", {gateTableJson()},
                      checkJson<GateTable, parseGateTable>);
  Passed &= fuzz::run("gossip", encodedGossip(), checkGossip);
  Passed &= fuzz::run("platform listing", {ListingText}, checkListing);
  Passed &= fuzz::run("platform VMs", {VmsText}, checkVms);
  Passed &= fuzz::run("search answer", {SearchAnswerText}, checkSearchAnswer);
  Passed &= fuzz::run("write answer", {WriteAnswerText}, checkWriteAnswer);
  Passed &= fuzz::run("trace", {TraceText}, checkTrace);
  Passed &= fuzz::run("log lines", {LogText}, checkTimeline);
  return Passed ? 0 : 1;
}
