#include "platform/Platform.h"
#include "balsamyard/src/Process/ObjectCache.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace balsamyard;
using nlohmann::json;

namespace {

StoredObject object(const std::string &Name, const std::string &Spec) {
  StoredObject Result;
  Result.Name = Name;
  Result.Content = nlohmann::json::parse(Spec);
  return Result;
}

HttpResponse response(int Status, const std::string &Body) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Body = Body;
  return Result;
}

/// \brief A temporary file that the destructor removes.
struct TemporaryFile {
  std::string Path;

  explicit TemporaryFile(const std::string &Text) {
    char Name[] = "/tmp/balsamyard-test-XXXXXX";
    const int Handle = ::mkstemp(Name);
    REQUIRE(Handle >= 0);
    ::close(Handle);
    this->Path = Name;
    std::ofstream(this->Path) << Text;
  }
  ~TemporaryFile() { std::remove(this->Path.c_str()); }
};

constexpr const char *Settings = R"(nodeName: "front-east-1"
zone: "east"
region: "north"
zones:
  east: "north"
  west: "south"
listen:
  front: "10.1.0.9:8104"
  readinessAddr: "10.1.0.9:8108"
ip: "10.1.0.9"
internalPorts:
  - 7380
  - 7395
bootstrap: true
limits:
  cores: 2
  cpuShare: 0.25
bounds:
  drainMs: 4000
  retryBudgetRatio: 0.3
platform:
  address: "10.200.1.7:8102"
unknown: 1
)";

} // namespace

SCENARIO("the settings of the platform are read", "[platform]") {
  GIVEN("a whole file") {
    const TemporaryFile File(Settings);
    const auto Read = platform::readSettings(File.Path);
    REQUIRE(Read);
    THEN("its fields have the product's names, and unknown ones are ignored") {
      CHECK(Read->Node.Text == "front-east-1");
      CHECK(Read->Domain.Text == "east");
      CHECK(Read->Regions.at(DomainName{"west"}).Text == "south");
      CHECK(toText(Read->Callers) == "10.1.0.9:8104");
      CHECK(Read->Cores == 2);
      CHECK(toText(Read->Peers) == "10.1.0.9:7380");
      CHECK(Read->FirstStart);
      CHECK(Read->Capacity == 500);
      CHECK(Read->Bounds.DrainTime == std::chrono::seconds(4));
      CHECK(Read->Bounds.RetryRatio == Approx(0.3));
      CHECK(Read->Bounds.RetryWindow == std::chrono::seconds(10));
    }
  }
  GIVEN("files with an error") {
    const auto CodeOf = [](std::string Text, const std::string &From,
                           const std::string &To) {
      Text.replace(Text.find(From), From.size(), To);
      const TemporaryFile File(Text);
      const auto Read = platform::readSettings(File.Path);
      REQUIRE_FALSE(Read);
      CHECK(Read.error().Detail.find(File.Path + ":") == 0);
      return Read.error().Value;
    };
    THEN("the error has a code and names the position") {
      CHECK(CodeOf(Settings, "nodeName", "other") == Code::SettingsMissingKey);
      CHECK(CodeOf(Settings, "10.1.0.9:8104", "10.1.0.9") ==
            Code::SettingsBadValue);
      CHECK(CodeOf(Settings, "drainMs: 4000", "drainMs: soon") ==
            Code::SettingsBadValue);
      CHECK(CodeOf(Settings, "zones:", "zones: [") == Code::SettingsSyntax);
      CHECK(platform::readSettings("/nowhere").error().Value ==
            Code::SettingsUnreadable);
    }
  }
}

SCENARIO("a list of objects is read", "[platform]") {
  GIVEN("a page with entries of other writers among them") {
    const FeedInput Page = platform::readPage(response(
        200, std::string(R"({"items":[{"meta":{"name":"a","revision":3},)"
                         R"("spec":{"x":1}},17,{"meta":{"name":5}},)"
                         R"({"meta":{"name":"b","revision":4},"spec":")") +
                 "\xff\xfe" + R"("}],"hasMore":true,"asOf":9})"));
    THEN("those that can be read are kept") {
      const auto *Read = std::get_if<FeedPage>(&Page);
      REQUIRE(Read != nullptr);
      REQUIRE(Read->Objects.size() == 2);
      CHECK(Read->Objects[0].Name == "a");
      CHECK(Read->Objects[1].Name == "b");
      CHECK(Read->HasMore);
      CHECK(Read->AsOf == StoreRevision{9});
    }
  }
  GIVEN("a page of a store that was restored from a copy") {
    HttpResponse Restored = response(
        200, R"({"items":[{"meta":{"name":"a","revision":3}}],"asOf":9})");
    Restored.Fields.add("Store-Era", "4");
    const FeedInput Page = platform::readPage(Restored);
    THEN("its revisions are of the era that the response names") {
      const auto *Read = std::get_if<FeedPage>(&Page);
      REQUIRE(Read != nullptr);
      CHECK(Read->AsOf == StoreRevision{9, 4});
      CHECK(Read->Objects[0].Revision == StoreRevision{3, 4});
      CHECK(StoreRevision{3, 4} > StoreRevision{1000, 3});
    }
    THEN("an era that is not a number is an error") {
      HttpResponse Odd = response(200, R"({"items":[],"asOf":9})");
      Odd.Fields.add("Store-Era", "4x");
      CHECK(std::holds_alternative<FeedCallFailed>(platform::readPage(Odd)));
    }
  }
  GIVEN("responses that are not lists") {
    THEN("the call has failed") {
      for (const HttpResponse &Response :
           {response(503, ""), response(429, ""), response(200, "{"),
            response(200, "[]"), response(200, R"({"items":[]})")})
        CHECK(std::holds_alternative<FeedCallFailed>(
            platform::readPage(Response)));
    }
  }
  GIVEN("events") {
    const FeedInput Events = platform::readEvents(response(
        200, R"({"events":[{"removed":true,"object":{"meta":{"name":"a",)"
             R"("revision":3},"spec":{}}}],"asOf":12})"));
    THEN("removed objects are marked") {
      const auto *Read = std::get_if<FeedEvents>(&Events);
      REQUIRE(Read != nullptr);
      REQUIRE(Read->Changes.size() == 1);
      CHECK(Read->Changes[0].Removed);
    }
    THEN("status 410 means that the history has expired") {
      CHECK(std::holds_alternative<FeedHistoryExpired>(
          platform::readEvents(response(410, ""))));
    }
  }
}

SCENARIO("a configuration is read", "[platform]") {
  const auto Read = platform::readConfiguration(object("main", R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "H.example", "pathPrefix": "/a/",
       "type": "idempotent", "timeoutMs": 600, "targetLatencyMs": 120,
       "attempts": 2, "gather": ["s1", "s2"], "topK": 5, "minCoverage": 0.75},
      {"name": "r2", "host": "h.example", "pathPrefix": "/a/b/",
       "type": "non_idempotent", "timeoutMs": 6000,
       "trafficSplit": [{"service": "s1", "weight": 1},
                        {"service": "s3", "weight": 3}],
       "allowedRegions": ["north"]}],
    "services": [{"name": "s1", "healthPath": "/h", "maxConnections": 31,
                  "warmupS": 3.0, "warmupPerS": 2.0}],
    "limits": {"maxHeaderBytes": 8000, "idleTimeoutMs": 5000}})"));
  REQUIRE(Read);
  const Configuration &Config = **Read;
  THEN("routes are found by host and longest prefix") {
    CHECK(Config.match("h.example", "/a/x") == 0);
    CHECK(Config.match("h.EXAMPLE:80", "/a/b/x") == 1);
    CHECK(Config.match("h.example", "/b/") == -1);
    CHECK(Config.match("other", "/a/x") == -1);
  }
  THEN("their kinds and destinations are known") {
    CHECK(Config.Routes[0].Idempotent);
    const auto &Plan = std::get<ShardedDestination>(Config.Routes[0].To);
    CHECK(Plan.Shards.size() == 2);
    CHECK(Plan.TopRecords == 5);
    CHECK_FALSE(Config.Routes[1].Idempotent);
    CHECK(std::get<SplitDestination>(Config.Routes[1].To).Services.size() == 2);
    CHECK(Config.Routes[1].Regions.front().Text == "north");
  }
  THEN("services and limits are known") {
    CHECK(Config.Services[0].MaxConnections == 31);
    CHECK(Config.Services[0].ColdRequestRate == Approx(2));
    CHECK(Config.Limits.HeaderBytes == 8000);
    CHECK(Config.Limits.IdleTimeout == std::chrono::seconds(5));
  }
  THEN("a document without a version is refused") {
    CHECK_FALSE(platform::readConfiguration(object("main", "{}")));
  }
}

SCENARIO("the entry of a target is read", "[platform]") {
  constexpr const char *Good =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"east","version":"v1",
          "slots":3,"state":"draining","warmupLeftMs":1500,"sequence":4,
          "born":1700000000000})";
  GIVEN("an entry as targets write it") {
    const auto Read = platform::readTarget(object("i-1", Good));
    REQUIRE(Read);
    THEN("its address, state and remaining cold time are read") {
      CHECK(toText(Read->Info.Address) == "10.0.0.9:8080");
      CHECK(Read->Info.Id.Text == "i-1");
      CHECK(Read->Info.Slots == 3);
      CHECK(Read->Leaving);
      CHECK(Read->RemainingWarmup == std::chrono::milliseconds(1500));
    }
  }
  GIVEN("entries of other writers") {
    THEN("they are refused") {
      for (const char *Change :
           {R"({"address":null})", R"({"state":"odd"})", R"({"slots":"3"})",
            R"({"address":"10.0.0.9"})", R"({"address":"10.0.0.9:x"})",
            R"({"born":1.5})", R"({"sequence":-1})", R"({"zone":7})"}) {
        INFO(Change);
        StoredObject Entry = object("i-1", Good);
        Entry.Content.merge_patch(nlohmann::json::parse(Change));
        CHECK_FALSE(platform::readTarget(Entry));
      }
      CHECK_FALSE(platform::readTarget(object("i-1", "[1]")));
    }
  }
}

SCENARIO("orders to move a service are read and reported", "[platform]") {
  GIVEN("an order without a report") {
    const auto Read = platform::readMove(object("records", R"({
      "service": "records", "targetVersion": "v2", "durationS": 12})"));
    THEN("its service, version and duration are read") {
      REQUIRE(Read);
      CHECK(Read->Order.Service.Text == "records");
      CHECK(Read->Order.To.Text == "v2");
      CHECK(Read->Order.Within == std::chrono::seconds(12));
      CHECK(!Read->Report);
    }
  }
  GIVEN("a report that was written") {
    MoveReport Report;
    Report.To.Text = "v2";
    Report.Status = MoveStatus::RolledBack;
    Report.Step = MoveStep::Load;
    Report.Due = WallTime(std::chrono::milliseconds(1234567));
    Report.Reason = "it failed";
    const std::string Call = platform::makeAdapter().MoveReportCall(
        ServiceName{"records"}, Report, StoreRevision{41});
    const auto Body =
        nlohmann::json::parse(Call.substr(Call.find("\r\n\r\n") + 4));
    THEN("it names the order's revision and the platform's state") {
      CHECK(Call.starts_with("PUT /objects/rollouts/records/status HTTP/1.1"));
      CHECK(Body["meta"]["revision"] == 41);
      CHECK(Body["status"]["state"] == "rolled_back");
      CHECK(Body["status"]["targetVersion"] == "v2");
    }
    THEN("reading it returns the same report") {
      StoredObject Stored = object("records", R"({
        "service": "records", "targetVersion": "v2", "durationS": 12})");
      Stored.Status = Body["status"];
      const auto Read = platform::readMove(Stored);
      REQUIRE(Read);
      REQUIRE(Read->Report);
      CHECK(Read->Report->To == Report.To);
      CHECK(Read->Report->Status == Report.Status);
      CHECK(Read->Report->Step == Report.Step);
      CHECK(Read->Report->Due == Report.Due);
      CHECK(Read->Report->Reason == Report.Reason);
    }
  }
  GIVEN("orders with missing or invalid fields") {
    THEN("they are refused") {
      CHECK_FALSE(platform::readMove(object("a", "[]")));
      CHECK_FALSE(platform::readMove(object("a", R"({"service": "a"})")));
      CHECK_FALSE(platform::readMove(object("a", R"({
        "service": "a", "targetVersion": "v2", "durationS": "soon"})")));
    }
  }
}

// Guards against a stack overflow of the control thread, on all nodes at once,
// by an entry of another writer with very deep nesting.
SCENARIO("an entry nests very deeply", "[platform]") {
  constexpr std::size_t Levels = 400000;
  const std::string Deep = std::string(Levels, '[') + std::string(Levels, ']');
  const auto Item = [](const std::string &Name, const std::string &Spec) {
    return R"({"meta":{"name":")" + Name + R"(","revision":1},"spec":)" + Spec +
           "}";
  };
  GIVEN("a list that also holds a valid entry") {
    HttpResponse Answer;
    Answer.Status = 200;
    Answer.Body = R"({"items":[)" + Item("deep", Deep) + "," +
                  Item("sound", R"({"service":"records","targetVersion":"v2",
                       "durationS":12})") +
                  R"(],"hasMore":false,"asOf":3})";
    THEN("only the valid entry is used") {
      const FeedInput Input = platform::readPage(Answer);
      const auto *Page = std::get_if<FeedPage>(&Input);
      REQUIRE(Page != nullptr);
      REQUIRE(Page->Objects.size() == 2);
      CHECK_FALSE(platform::readMove(Page->Objects[0]));
      CHECK(platform::readMove(Page->Objects[1]));
    }
  }
}

// Guards against code outside the platform folder that depends on the names of
// the platform and so decodes its formats a second time.
TEST_CASE("names of the platform stay in its folder", "[platform]") {
  const std::string Root = BALSAMYARD_SOURCE_DIR;
  for (const char *Folder : {"/balsamyard/src", "/apps/balsamyard-node"})
    for (const auto &Source :
         std::filesystem::recursive_directory_iterator(Root + Folder)) {
      if (!Source.is_regular_file())
        continue;
      std::ifstream File(Source.path());
      std::stringstream Text;
      Text << File.rdbuf();
      for (const char *Name :
           {"X-Balsamyard", "pathPrefix", "warmupLeftMs", "minCoverage",
            "trafficSplit", "maxConnections", "targetLatencyMs",
            "readinessAddr", "nodeName", "allowedRegions",
            "BALSAMYARD_CONFIG\"", "allowStale", "targetVersion", "rolled_back",
            "durationS", "canaryShare"}) {
        INFO(Source.path() << " " << Name);
        CHECK(Text.str().find(Name) == std::string::npos);
      }
    }
}

// Guards against readers that end, or stop following the list of targets,
// because of one odd entry.
SCENARIO("an entry holds a number or text that is not valid", "[platform]") {
  const json Valid = {{"service", "records"},
                      {"address", "10.1.0.9:7001"},
                      {"zone", "east"},
                      {"version", "v1"},
                      {"state", "ready"},
                      {"warmupLeftMs", 0},
                      {"slots", 3},
                      {"sequence", 1},
                      {"born", 1}};
  const auto Entry = [&Valid](const char *Field, const std::string &Value) {
    json Changed = Valid;
    Changed[Field] = "@";
    std::string Text = Changed.dump();
    return Text.replace(Text.find("\"@\""), 3, Value);
  };
  /// Returns the entry after it was read in a list and passed between nodes.
  const auto Read = [&Valid](const std::string &Text) {
    const FeedInput Input = platform::readPage(response(
        200, R"({"items":[{"meta":{"name":"odd","revision":3},"spec":)" + Text +
                 R"(},{"meta":{"name":"valid","revision":4},"spec":)" +
                 Valid.dump() + R"(}],"asOf":9})"));
    const auto *Page = std::get_if<FeedPage>(&Input);
    REQUIRE(Page != nullptr);
    REQUIRE(Page->Objects.size() == 2);
    CHECK(platform::readTarget(Page->Objects[1]));
    StoredObject Passed;
    REQUIRE(decodeObject(encodeObject(Page->Objects[0]), Passed));
    Passed.Name = "odd";
    return platform::readTarget(Passed);
  };
  REQUIRE(Read(Valid.dump()));
  GIVEN("a number that is too large for any type") {
    for (const char *Field : {"slots", "warmupLeftMs", "sequence", "born"})
      for (const char *Value : {"1e400", "-1e999", "123456789012345678901e300"})
        CHECK_FALSE(Read(Entry(Field, Value)));
  }
  GIVEN("a number that is too large for its field") {
    CHECK_FALSE(Read(Entry("slots", "4294967296")));
    CHECK_FALSE(Read(Entry("slots", "18446744073709551615")));
    CHECK_FALSE(Read(Entry("warmupLeftMs", "1e300")));
    CHECK_FALSE(Read(Entry("warmupLeftMs", "-1")));
    CHECK_FALSE(Read(Entry("born", "18446744073709551615")));
  }
  GIVEN("an address that cannot be connected to") {
    for (const char *Address :
         {"10.1.0.9:65536", "10.1.0.9:0", "10.1.0.9:-1",
          "10.1.0.9:", "10.1.0.9:99999999999999999999", "10.1.0.999:80",
          "records:80", ":80", "[::1]:80", "10.1.0.9:80 "})
      CHECK_FALSE(Read(Entry("address", json(Address).dump())));
  }
  GIVEN("a text that is not valid") {
    const std::vector<std::string> Invalid = {
        // Not UTF-8: stray and missing bytes, surrogates, overlong forms, and
        // values above U+10FFFF.
        "\x80", "\xc3", "\xe2\x82", "\xff", "\xed\xa0\x80", "\xed\xbf\xbf",
        "\xc0\xaf", "\xe0\x80\xaf", "\xf0\x80\x80\xaf", "\xf4\x90\x80\x80",
        "\xf5\x80\x80\x80",
        // Escapes: surrogates without the other half, and unknown ones.
        "\\ud800", "\\udc00", "\\ud800x", "\\ud800\\u0041", "\\ud800\\ud800",
        "\\udc00\\ud800", "\\u12", "\\uzzzz", "\\x41", "\\u-123",
        // Control characters.
        std::string("\0", 1), "\n", "\x1f"};
    for (const std::string &Value : Invalid) {
      INFO(json(Value).dump(-1, ' ', true, json::error_handler_t::replace));
      const auto Text = Read(Entry("service", "\"odd" + Value + "\""));
      REQUIRE(Text);
      CHECK(Text->Info.Service.Text.starts_with("odd?"));
      // In the field that the others need, and at the end of the text.
      CHECK_FALSE(Read(Entry("address", "\"" + Value + "\"")));
    }
  }
  GIVEN("a valid text in a list that has to be repaired") {
    json Named = Valid;
    Named["extra"] = "@";
    std::string Text = Named.dump();
    Text.replace(Text.find("\"@\""), 3, "\"\\ud800\"");
    Text.replace(
        Text.find("\"v1\""), 4,
        "\"\xc3\xa9\xed\x9f\xbf\xf0\x9f\x98\x80\\ud83d\\ude00\\u00e9\\n\"");
    const auto Repaired = Read(Text);
    THEN("it is not changed") {
      REQUIRE(Repaired);
      CHECK(Repaired->Info.Version.Text ==
            "\xc3\xa9\xed\x9f\xbf\xf0\x9f\x98\x80\xf0\x9f\x98\x80\xc3\xa9\n");
    }
  }
  GIVEN("texts that look like such numbers") {
    json Named = Valid;
    Named["version"] = "v\"1e400";
    Named["service"] = "\\\"1e999\\";
    const auto Text = Read(Named.dump());
    REQUIRE(Text);
    CHECK(Text->Info.Version.Text == "v\"1e400");
    // Also in a list that has to be repaired.
    Named["extra"] = "@";
    std::string Broken = Named.dump();
    Broken.replace(Broken.find("\"@\""), 3, "1e400");
    const auto Repaired = Read(Broken);
    REQUIRE(Repaired);
    CHECK(Repaired->Info.Version.Text == "v\"1e400");
    CHECK(Repaired->Info.Service.Text == "\\\"1e999\\");
  }
}

SCENARIO("a number out of range in another document", "[platform]") {
  GIVEN("an order to move a service") {
    StoredObject Order;
    Order.Content = {
        {"service", "records"}, {"targetVersion", "v2"}, {"durationS", 1e300}};
    THEN("its duration stays within bounds") {
      const auto Read = platform::readMove(Order);
      REQUIRE(Read);
      CHECK(Read->Order.Within > Duration::zero());
      CHECK(Read->Order.Within <= std::chrono::hours(24 * 366));
    }
  }
}
