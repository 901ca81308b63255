#include "balsamyard/src/Process/RulesStore.h"
#include "tests/LocalPlatform.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

const std::string First = "drain domain=east # Ada Marsh\n";
const std::string Second = "drain domain=west # Lee\n";

} // namespace

// Guards against an operator's change that overwrites another one, and against
// an answer about it that is not true.
TEST_CASE("operators change the rules one after the other", "[apply]") {
  LocalPlatform Platform;
  PlatformClient Client(Platform.At, 2s);
  REQUIRE(readRules(Client)->Version == 0);
  ApplyResult Applied = applyRules(Client, First, 0);
  REQUIRE(Applied.Outcome == ApplyOutcome::Accepted);

  SECTION("what was accepted is read back") {
    CHECK(readRules(Client)->Text == First);
    CHECK(readRules(Client)->Version == Applied.Version);
  }
  SECTION("the first of two operators with one base wins") {
    ApplyResult Winner = applyRules(Client, Second, Applied.Version);
    ApplyResult Loser = applyRules(Client, "", Applied.Version);
    CHECK(Winner.Outcome == ApplyOutcome::Accepted);
    CHECK(Loser.Outcome == ApplyOutcome::Conflict);
    CHECK(readRules(Client)->Text == Second);
  }
  SECTION("rules cannot be created where there are some") {
    CHECK(applyRules(Client, Second, 0).Outcome == ApplyOutcome::Conflict);
  }
  SECTION("an answer is lost after the rules were accepted") {
    setFault(Platform.At,
             R"({"kind":"lost-answer","count":1,"prefix":"shared/"})");
    ApplyResult Result = applyRules(Client, Second, Applied.Version);
    CHECK(Result.Outcome == ApplyOutcome::Accepted);
    CHECK(Result.ReadBack);
    CHECK(Result.Version == readRules(Client)->Version);
  }
  SECTION("the answer about a part is lost") {
    setFault(Platform.At,
             R"({"kind":"lost-answer","count":1,"prefix":"rules-part/"})");
    CHECK(applyRules(Client, Second, Applied.Version).Outcome ==
          ApplyOutcome::Accepted);
  }
  SECTION("the platform is down: nothing was applied") {
    setFault(Platform.At, R"({"kind":"down"})");
    ApplyResult Result = applyRules(Client, Second, Applied.Version);
    CHECK(Result.Outcome == ApplyOutcome::Refused);
    setFault(Platform.At, R"({"kind":"down","on":false})");
    CHECK(readRules(Client)->Text == First);
  }
  SECTION("a large file is split at ends of lines") {
    std::string Large;
    while (Large.size() < 2 * MaxRulesPartBytes + 1000)
      Large += "# a line of a large file\n";
    std::vector<std::string> Parts = splitRules(Large);
    REQUIRE(Parts.size() == 3);
    for (const std::string &Part : Parts) {
      CHECK(Part.size() <= MaxRulesPartBytes);
      CHECK(Part.back() == '\n');
    }
    CHECK(applyRules(Client, Large, Applied.Version).Outcome ==
          ApplyOutcome::Accepted);
    CHECK(readRules(Client)->Text == Large);
  }
  SECTION("a line without end and an empty file can be stored") {
    std::string Long(MaxRulesPartBytes + 1, '#');
    CHECK(splitRules(Long).size() == 2);
    ApplyResult Next = applyRules(Client, Long, Applied.Version);
    CHECK(readRules(Client)->Text == Long);
    CHECK(applyRules(Client, "", Next.Version).Outcome ==
          ApplyOutcome::Accepted);
    CHECK(readRules(Client)->Text.empty());
  }
}

// Guards against a clear answer where none can be given.
TEST_CASE("an update of the rules without any answer stays unknown",
          "[apply]") {
  LocalServer Local;
  Local.Server.Put("/objects/rules-part/.*",
                   [](const httplib::Request &, httplib::Response &Answer) {
                     Answer.set_header("Version", "1");
                   });
  Local.Server.Put("/objects/shared/rules/head",
                   [](const httplib::Request &, httplib::Response &Answer) {
                     Answer.status = 503;
                   });
  PlatformClient Client(Local.start(), 2s);
  CHECK(applyRules(Client, First, 1).Outcome == ApplyOutcome::Unknown);
}
