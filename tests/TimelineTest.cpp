#include "balsamyard/src/Process/Timeline.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace balsamyard;

namespace {

std::vector<std::string>
names(const std::vector<const TimelineEvent *> &Events) {
  std::vector<std::string> Result;
  for (const TimelineEvent *Event : Events)
    Result.push_back(Event->Name);
  return Result;
}

using Names = std::vector<std::string>;

} // namespace

// Guards against an event that is lost, out of order or attributed to the wrong
// request.
TEST_CASE("an operator follows a request through all logs", "[timeline]") {
  std::istringstream Entry(
      R"({"time":"2026-12-04T08:00:00.000001Z","level":"info","event":"query-started","process":"entry","node":"east-1","domain":"east","request":"r1","query":"7","service":"portal"}
{"time":"2026-12-04T08:00:00.000009Z","level":"info","event":"query-answered","process":"entry","node":"east-1","domain":"east","request":"r1","code":1000}
{"time":"2026-12-04T08:00:00.000020Z","level":"info","event":"query-started","process":"entry","node":"east-1","domain":"east","request":"r2","query":"8","service":"permits"}
)");
  std::istringstream Holder(
      R"({"time":"2026-12-04T08:00:00.000005Z","level":"warning","event":"leaf-shed","process":"holder","node":"west-1","domain":"west","query":"7","target":"portal/3/1","version":"v2"}
{"time":"2026-12-04T10:00:00.000002+02:00","level":"info","event":"leaf-started","process":"holder","node":"west-1","domain":"west","query":"7","target":"portal/3/1"}
{"time":"2026-12-04T08:00:00.000005Z","level":"info","event":"slot-cold","process":"holder","node":"west-1","domain":"west","target":"portal/31/0"}
)");
  Timeline Merged;
  Merged.read("entry.log", Entry);
  Merged.read("holder.log", Holder);

  SECTION(
      "all events are sorted by time; equal times keep the order of reading") {
    CHECK(names(Merged.select({})) == Names{"query-started", "leaf-started",
                                            "leaf-shed", "slot-cold",
                                            "query-answered", "query-started"});
    CHECK(Merged.faults().empty());
  }

  SECTION("a request selects the events of its query as well") {
    CHECK(
        names(Merged.select({.Request = "r1"})) ==
        Names{"query-started", "leaf-started", "leaf-shed", "query-answered"});
    CHECK(names(Merged.select({.Request = "r2"})) == Names{"query-started"});
    CHECK(Merged.select({.Request = "r3"}).empty());
  }

  SECTION("the other filters select by value") {
    CHECK(names(Merged.select({.Target = "portal/3"})) ==
          Names{"leaf-started", "leaf-shed"});
    CHECK(names(Merged.select({.Target = "portal/31/0"})) ==
          Names{"slot-cold"});
    CHECK(names(Merged.select({.Version = "v2"})) == Names{"leaf-shed"});
    CHECK(Merged.select({.Domain = "west"}).size() == 3);
    CHECK(names(Merged.select({.Service = "portal"})) ==
          Names{"query-started", "leaf-started", "leaf-shed", "slot-cold"});
    CHECK(names(Merged.select({.Service = "port"})).empty());
    CHECK(names(Merged.select({.Event = "slot-cold"})) == Names{"slot-cold"});
  }

  SECTION("filters combine") {
    CHECK(names(Merged.select({.Request = "r1", .Domain = "west"})) ==
          Names{"leaf-started", "leaf-shed"});
  }

  SECTION("the table shows every field once") {
    std::string Table = toTable(Merged.select({.Version = "v2"}));
    CHECK(Table ==
          "time                         level    node    process  event      "
          "fields\n"
          "2026-12-04T08:00:00.000005Z  warning  west-1  holder   leaf-shed  "
          "domain=west query=7 target=portal/3/1 version=v2\n");
  }
}

// Guards against a damaged line that hides the rest of a log or is skipped
// silently.
TEST_CASE("a log is damaged", "[timeline]") {
  std::istringstream Lines(
      "{\"time\":\"2026-12-04T08:00:00Z\",\"event\":\"first\"}\n"
      "{\"time\":\"2026-12-04T08:0\n"
      "\n"
      "[1]\n"
      "{\"event\":\"timeless\"}\n"
      "{\"time\":\"yesterday\",\"event\":\"vague\"}\n"
      "{\"time\":\"2026-12-04T08:00:01Z\"}\n"
      "{\"time\":\"2026-12-04T08:00:02Z\",\"event\":\"last\"}");
  Timeline Merged;
  Merged.read("cut.log", Lines);

  SECTION("the good lines are kept") {
    CHECK(names(Merged.select({})) == Names{"first", "last"});
  }

  SECTION("each bad line is reported with file and number") {
    std::vector<std::uint32_t> Numbers;
    for (const TimelineFault &Fault : Merged.faults()) {
      CHECK(Fault.File == "cut.log");
      CHECK_FALSE(Fault.Detail.empty());
      Numbers.push_back(Fault.Line);
    }
    CHECK(Numbers == std::vector<std::uint32_t>{2, 4, 5, 6, 7});
  }

  SECTION("a file that does not exist is reported") {
    Merged.readFile("/nonexistent/balsamyard.log");
    CHECK(Merged.faults().back().Line == 0);
  }
}

// Guards against an explanation that leaves out why a target was slow or
// unavailable.
TEST_CASE("a request is explained by what its node knew of its targets",
          "[timeline]") {
  std::istringstream Lines(
      R"({"time":"2026-12-04T08:00:00Z","event":"target-cold","node":"n1","target":"i-1"})"
      "\n"
      R"({"time":"2026-12-04T08:00:18Z","event":"target-suspect","node":"n1","target":"i-2"})"
      "\n"
      R"({"time":"2026-12-04T08:00:18Z","event":"target-suspect","node":"n2","target":"i-1"})"
      "\n"
      R"({"time":"2026-12-04T08:00:19Z","event":"target-suspect","node":"n1","target":"i-1"})"
      "\n"
      R"({"time":"2026-12-04T08:00:20Z","event":"request-ended","node":"n1","request":"r",)"
      R"("decisions":"i-1@domain first broken after 5; i-3@far retry answered after 2"})"
      "\n"
      R"({"time":"2026-12-04T08:00:21Z","event":"target-reached","node":"n1","target":"i-1"})"
      "\n");
  Timeline Merged;
  Merged.read("node.log", Lines);
  REQUIRE(Merged.faults().empty());
  const std::vector<const TimelineEvent *> Request =
      Merged.select({.Request = "r"});
  REQUIRE(Request.size() == 1);

  SECTION("only events of its node and its targets in the given time before it "
          "are selected") {
    const auto Earlier =
        Merged.precedingEvents(*Request.front(), std::chrono::seconds(10));
    REQUIRE(Earlier.size() == 1);
    CHECK(Earlier.front()->Name == "target-suspect");
    CHECK(Earlier.front()->field("target") == "i-1");
  }
  SECTION("a longer period selects more events") {
    CHECK(Merged.precedingEvents(*Request.front(), std::chrono::minutes(1))
              .size() == 2);
  }
}

// Guards against timestamps that are misread, which would reorder events.
TEST_CASE("times of log lines are read strictly", "[timeline]") {
  SECTION("with fractions and offsets") {
    auto Base = parseLogTime("2026-12-04T08:00:00Z");
    REQUIRE(Base);
    using std::chrono::microseconds;
    CHECK(*parseLogTime("2026-12-04T08:00:00.25Z") - *Base ==
          microseconds(250000));
    CHECK(*parseLogTime("2026-12-04T08:00:00.0000019Z") - *Base ==
          microseconds(1));
    CHECK(*parseLogTime("2026-12-04T03:30:00-04:30") == *Base);
    CHECK(parseLogTime("1970-01-01T00:00:00Z")->time_since_epoch().count() ==
          0);
  }
  SECTION("and rejected otherwise") {
    for (const char *Text :
         {"", "2026-12-04", "2026-12-04T08:00Z", "2026-13-04T08:00:00Z",
          "2026-02-29T08:00:00Z", "2026-12-04T24:00:00Z", "2026-12-04T08:00:00",
          "2026-12-04T08:00:00.Z", "2026-12-04T08:00:00Zx",
          "2026-12-04 08:00:00Z", "2026-12-04T08:00:00+1:00"})
      CHECK_FALSE(parseLogTime(Text));
  }
}
