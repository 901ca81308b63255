#include "balsamyard/Version"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

const std::string Example =
    "# Rules of the civic data desk\n"
    "\n"
    "search service=portal-* route=* deadline=150ms coverage=0.95 hedge=0.05"
    "  # asked by Ada Marsh, permits desk\n"
    "write service=permits route=* deadline=2s repeat=no # permits desk\n"
    "limit service=portal-* share=0.5 # budget team\n"
    "drain domain=east # Ada Marsh, until the rack is replaced\n"
    "move service=portal-01 route=* to=v2 by=2026-12-05T06:00:00Z # Lee\n";

std::vector<RuleFault> faultsOf(const std::string &Text) {
  auto Parsed = parseRules(Text);
  return Parsed ? std::vector<RuleFault>{} : Parsed.error();
}

RuleFault onlyFault(const std::string &Text) {
  std::vector<RuleFault> Faults = faultsOf(Text);
  REQUIRE(Faults.size() == 1);
  return Faults.front();
}

} // namespace

// Guards against a rule that is read differently from what the operator wrote.
TEST_CASE("operators write rules in plain text", "[rules]") {
  SECTION("a file with every kind of rule is read whole") {
    auto Parsed = parseRules(Example);
    REQUIRE(Parsed.has_value());
    REQUIRE(Parsed->Lines.size() == 5);

    SECTION("each rule keeps its values") {
      SearchRule Search = Parsed->searchFor({"portal-07"}, {"find"});
      CHECK(Search.Deadline == 150ms);
      CHECK(Search.Coverage == 0.95);
      CHECK(Search.Hedge == 0.05);
      CHECK(Parsed->writeFor({"permits"}, {"upload"}).Deadline == 2s);
      CHECK_FALSE(Parsed->writeFor({"permits"}, {"upload"}).Repeatable);
      CHECK(Parsed->connectionShare({"portal-07"}, {"find"}) == 0.5);
      CHECK(Parsed->isDrained({"east"}));
      const MoveRule *Move = Parsed->moveFor({"portal-01"}, {"find"});
      REQUIRE(Move);
      CHECK(Move->To == VersionName{"v2"});
      CHECK(Move->By == WallTime(1796450400s));
    }
    SECTION("each rule keeps who asked for it and its line") {
      CHECK(Parsed->Lines[0].AskedBy == "asked by Ada Marsh, permits desk");
      CHECK(Parsed->Lines[0].Line == 3);
    }
    SECTION("services without a rule get the defaults") {
      CHECK(Parsed->searchFor({"roads"}, {"find"}).Deadline == 160ms);
      CHECK(Parsed->connectionShare({"roads"}, {"find"}) == 1.0);
      CHECK_FALSE(Parsed->isDrained({"west"}));
      CHECK(Parsed->moveFor({"portal-02"}, {"find"}) == nullptr);
    }
  }
  SECTION("an empty file has no rules") {
    CHECK(parseRules("").value().Lines.empty());
    CHECK(parseRules("\n# nothing\n").value().Lines.empty());
  }
}

// Guards against an invalid file that is applied in part, and against faults
// that the operator cannot locate.
TEST_CASE("an invalid rules file is refused with all faults", "[rules]") {
  SECTION("a missing comment is reported at the end of the line") {
    RuleFault Fault = onlyFault("drain domain=east\n");
    CHECK(Fault.Value == Code::RuleMissingComment);
    CHECK(Fault.Line == 1);
    CHECK(Fault.Column == 18);
    CHECK(onlyFault("drain domain=east #  \n").Value ==
          Code::RuleMissingComment);
  }
  SECTION("unknown kinds, keys and words") {
    CHECK(onlyFault("close domain=east # A\n").Value == Code::RuleUnknownKind);
    CHECK(onlyFault("drain domain=east now # A\n").Value == Code::RuleSyntax);
    CHECK(onlyFault("drain domain=east now # A\n").Column == 19);
    CHECK(onlyFault("drain domain=east domain=west # A\n").Value ==
          Code::RuleSyntax);
    CHECK(onlyFault("drain domain=east share=1 # A\n").Value ==
          Code::RuleUnknownKey);
    CHECK(onlyFault("drain # A\n").Value == Code::RuleMissingKey);
    CHECK(onlyFault("limit service=a # A\n").Expectation == "expected share=");
  }
  SECTION("values outside their range or without a unit") {
    for (std::string Bad :
         {"deadline=150", "deadline=0ms", "deadline=61s", "deadline=1.5s",
          "deadline=-1s", "deadline=4294967297ms", "coverage=1.01",
          "coverage=-0.1", "coverage=nan", "coverage=", "hedge=0.051",
          "hedge=5%", "route=", "route=a*b", "route=a/b"}) {
      CAPTURE(Bad);
      RuleFault Fault = onlyFault("search service=a " + Bad + " # A\n");
      CHECK(Fault.Value == Code::RuleBadValue);
      CHECK(Fault.Column == 18 + Bad.find('=') + 1);
    }
    CHECK(onlyFault("limit service=a share=0 # A").Value == Code::RuleBadValue);
    CHECK(onlyFault("write service=a repeat=maybe # A").Value ==
          Code::RuleBadValue);
    for (std::string Bad :
         {"tomorrow", "2026-02-30T06:00:00Z", "2026-12-05T24:00:00Z",
          "2026-12-05T06:00:00+01:00", "2026-12-05 06:00:00"}) {
      CAPTURE(Bad);
      CHECK_FALSE(faultsOf("move service=a to=v2 by=" + Bad + " # A").empty());
    }
  }
  SECTION("the bounds of the ranges are valid") {
    CHECK(faultsOf("search service=a deadline=1ms coverage=0 hedge=0 # A\n"
                   "search service=b deadline=60s coverage=1 hedge=0.05 # A\n"
                   "limit service=a share=1 # A\n")
              .empty());
  }
  SECTION("rules that contradict each other") {
    RuleFault Fault = onlyFault("drain domain=east # A\n"
                                "drain domain=west # A\n"
                                "drain domain=east # B\n");
    CHECK(Fault.Value == Code::RuleConflict);
    CHECK(Fault.Line == 3);
    CHECK(onlyFault("limit service=a share=1 # A\n"
                    "limit service=a route=* share=0.5 # B\n")
              .Value == Code::RuleConflict);
    CHECK(faultsOf("limit service=a share=1 # A\n"
                   "search service=a # B\n")
              .empty());
  }
  SECTION("all faults of a file are reported at once and nothing is read") {
    std::vector<RuleFault> Faults =
        faultsOf("drain domain=east # fine\n"
                 "search service=a deadline=5 hedge=1\n"
                 "open\n");
    REQUIRE(Faults.size() == 5);
    CHECK(Faults[0].Column == 27);
    CHECK(Faults[1].Column == 35);
    CHECK(Faults[2].Value == Code::RuleMissingComment);
    CHECK(Faults[3].Value == Code::RuleUnknownKind);
    CHECK(Faults[4].Line == 3);
  }
}
