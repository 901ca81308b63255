#include "balsamyard/Version"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace balsamyard;

namespace {

ServiceCatalog example() {
  ServiceCatalog Catalog;
  Catalog.Name = {"permits"};
  Catalog.Routes = {{"find"}, {"upload"}};
  Catalog.Leaves = {
      {0,
       {{0, {"east"}, {"v1"}, {"127.0.0.1", 8000}, 100, 4, false},
        {1, {"west"}, {"v2"}, {"::1", 8001}, 30, 1, true}}},
      {3, {{0, {"east"}, {"v1"}, {"127.0.0.1", 8002}, 100, 4, false}}}};
  Catalog.Snapshots = {{SnapshotId{7}, true, {{0, 0, 10}, {1, 3, 20}}},
                       {SnapshotId{8}, false, {{0, 0, 11}}}};
  return Catalog;
}

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

void refuses(const std::string &Text, const std::string &Expectation) {
  Expected<ServiceCatalog> Parsed = parseCatalog(Text);
  REQUIRE_FALSE(Parsed.has_value());
  CHECK(Parsed.error().Value == Code::PlatformMalformed);
  CHECK(Parsed.error().Detail == Expectation);
}

} // namespace

// Guards against a catalog that is misread, so that queries go to wrong slots
// or coverage is counted with wrong weights.
TEST_CASE("the catalog of a service is read strictly", "[catalog]") {
  const std::string Text = toJson(example());

  SECTION("a number that no type can hold is a fault, not an exception") {
    refuses(replaced(Text, "\"connection_limit\":100",
                     "\"connection_limit\":1e999"),
            "expected numbers within range");
  }
  SECTION("a catalog is read back as it was written") {
    Expected<ServiceCatalog> Read = parseCatalog(Text);
    REQUIRE(Read.has_value());
    CHECK(toJson(*Read) == Text);
    CHECK(Read->newest()->Id == SnapshotId{7});
    CHECK(Read->find(0, 1)->Leaving);
    CHECK(Read->find(0, 1)->Address == Endpoint{"::1", 8001});
    CHECK(Read->find(3, 1) == nullptr);
  }
  SECTION("each slot and shard has a line of its own") {
    CHECK(std::count(Text.begin(), Text.end(), '\n') == 12);
  }
  SECTION("a leaf without slots is kept, so that its shards count as missing") {
    ServiceCatalog Lost = example();
    Lost.Leaves.pop_back();
    CHECK(parseCatalog(toJson(Lost))->Leaves.size() == 2);
  }
  SECTION("faults name the path and the expectation") {
    refuses("{", "expected JSON, fault at byte 2");
    refuses("[]", ": expected an object");
    refuses(replaced(Text, "\"routes\"", "\"roads\""),
            "routes: expected this member");
    refuses(replaced(Text, "\"routes\"", "\"extra\":1,\"routes\""),
            "extra: expected no such member");
    refuses(replaced(Text, "\"routes\"", "\"service\":\"b\",\"routes\""),
            "expected member \"service\" once");
    refuses(replaced(Text, "\"slot\":1", "\"slot\":0"),
            "slots[1].slot: expected each slot of a leaf once");
    refuses(replaced(Text, "\"slot\":1", "\"slot\":70000"),
            "slots[1].slot: expected a whole number from 0 to 65535");
    refuses(replaced(Text, "127.0.0.1:8000", "localhost:8000"),
            "slots[0].address: expected IP:PORT, found \"localhost:8000\"");
    refuses(replaced(Text, "127.0.0.1:8000", "127.0.0.1:80000"),
            "slots[0].address: expected IP:PORT, found \"127.0.0.1:80000\"");
    refuses(replaced(Text, "\"shard\":1", "\"shard\":0"),
            "snapshots[0].shards[1].shard: expected each shard once");
    refuses(replaced(Text, "\"weight\":20", "\"weight\":-20"),
            "snapshots[0].shards[1].weight: expected a whole number from 0 to "
            "18446744073709551615");
    refuses(replaced(Text, "\"id\":8", "\"id\":7"),
            "snapshots[1].id: expected each snapshot once");
  }
}

// Guards against two owners of a lane or gate because a table was misread.
TEST_CASE("share and gate tables are read strictly", "[catalog]") {
  SECTION("lanes") {
    ShareTable Table;
    Table.Domain = {"east"};
    Table.Lanes[{{"permits"}, 0}] = {{"east-1"}, {""}, {"east-2"}};
    Table.Lanes[{{"permits"}, 1}] = {{"east-2"}};
    std::string Text = toJson(Table);
    CHECK(toJson(*parseShareTable(Text)) == Text);
    CHECK(parseShareTable(Text)->Lanes == Table.Lanes);
    CHECK(std::count(Text.begin(), Text.end(), '\n') == 6);
    for (std::string Bad : {"\"lane\":1", "\"lane\":0"})
      CHECK(parseShareTable(replaced(Text, "\"lane\":2", Bad)).error().Value ==
            Code::PlatformMalformed);
    CHECK_FALSE(parseShareTable(replaced(Text, "east-2", "east 2")));
    CHECK_FALSE(parseShareTable(Text + "x"));
  }
  SECTION("gates") {
    GateTable Table;
    Table.Gates[63] = {{"west-1"}, WallTime(std::chrono::seconds(1790000000))};
    std::string Text = toJson(Table);
    Expected<GateTable> Read = parseGateTable(Text);
    REQUIRE(Read.has_value());
    CHECK(toJson(*Read) == Text);
    CHECK(Read->Gates[63].Node == NodeName{"west-1"});
    CHECK(Read->Gates[63].Since == Table.Gates[63].Since);
    CHECK_FALSE(parseGateTable(replaced(Text, "\"gate\":5", "\"gate\":6")));
    CHECK_FALSE(parseGateTable("{\"gates\":[]}"));
    CHECK_FALSE(
        parseGateTable(replaced(Text, "1790000000000", "1790000000000.5")));
  }
}
