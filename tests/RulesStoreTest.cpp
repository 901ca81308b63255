#include "balsamyard/src/Process/RulesStore.h"
#include "apps/standin-platform/PlatformStandIn.h"
#include "tests/LocalServer.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

const std::string First = "drain domain=east  # asked by Ada\n";
const std::string Second = "drain domain=west  # asked by Ben\n";

std::uint64_t accepted(const Expected<ApplyResult> &Result) {
  REQUIRE(Result);
  REQUIRE(std::holds_alternative<RulesAccepted>(*Result));
  return std::get<RulesAccepted>(*Result).Version;
}

} // namespace

// Guards against one operator's rules silently replacing another's, and against
// a result that contradicts the rules in force.
TEST_CASE("operators replace the rules one after another", "[rules-store]") {
  standin::PlatformStandIn StandIn;
  LocalServer Local;
  StandIn.mount(Local.Server, 16);
  const Endpoint Platform = Local.start();
  PlatformClient Client(Platform, 2s);
  RulesStore Store(Client);
  auto SetFault = [&](const std::string &Body) {
    httplib::Client Direct(Platform.Address, Platform.Port);
    REQUIRE(Direct.Post("/fault", Body, "application/json")->status == 200);
  };

  CHECK(Store.read()->Version == 0);
  const std::uint64_t Version = accepted(Store.apply(First, 0));
  CHECK(Store.read()->Text == First);

  SECTION("an apply on the newest version is accepted") {
    CHECK(accepted(Store.apply(Second, Version)) > Version);
    CHECK(Store.read()->Text == Second);

    SECTION("an apply on the older version shows what is in force") {
      Expected<ApplyResult> Outdated = Store.apply(First + Second, Version);
      REQUIRE(std::holds_alternative<RulesConflict>(*Outdated));
      CHECK(std::get<RulesConflict>(*Outdated).Current.Text == Second);
      CHECK(Store.read()->Text == Second);
    }
  }

  SECTION("a lost answer is resolved by reading back") {
    SetFault(R"({"kind":"lost-answer","on":true,"prefix":"shared/rules"})");
    CHECK(accepted(Store.apply(Second, Version)) > Version);
    CHECK(Store.read()->Text == Second);
  }

  SECTION("a text of several parts is replaced atomically") {
    std::string Long;
    while (Long.size() < 2 * MaxRulesPartBytes)
      Long += "# A line that makes the text longer than one value may be.\n";
    accepted(Store.apply(Long, Version));
    CHECK(Store.read()->Text == Long);
  }

  SECTION("while the platform is down nothing is accepted") {
    SetFault(R"({"kind":"down","on":true})");
    CHECK(Store.apply(Second, Version).error().Value ==
          Code::PlatformUnavailable);
    SetFault(R"({"kind":"down","on":false})");
    CHECK(Store.read()->Text == First);
  }
}

// Guards against a conflict being reported after a lost answer. The rules may
// have been in force until another operator replaced them.
TEST_CASE("a lost update that another operator replaced is unclear",
          "[rules-store]") {
  standin::PlatformStandIn StandIn;
  LocalServer Local;
  StandIn.mount(Local.Server, 16);
  const Endpoint Platform = Local.start();
  LocalServer Proxy;
  PlatformClient Direct(Platform, 2s);
  bool IsFirstUpdate = true;
  // Forwards updates, but drops the answer to the first update of the head.
  // Another operator replaces the rules before the update is retried.
  Proxy.Server.Put("/objects/(.+)", [&](const httplib::Request &From,
                                        httplib::Response &To) {
    const std::string Name = From.matches[1];
    Expected<std::uint64_t> Done =
        From.has_header("If-Match")
            ? Direct.update(Name, From.body,
                            std::stoull(From.get_header_value("If-Match")))
            : Direct.create(Name, From.body);
    To.status = Done ? 200 : 412;
    if (Done)
      To.set_header("Version", std::to_string(*Done));
    if (Name == "shared/rules/head" && Done &&
        std::exchange(IsFirstUpdate, false)) {
      accepted(RulesStore(Direct).apply(Second, *Done));
      To.status = 503;
    }
  });
  Proxy.Server.Get("/objects/(.+)", [&](const httplib::Request &From,
                                        httplib::Response &To) {
    Expected<PlatformObject> Read = Direct.get(From.matches[1]);
    REQUIRE(Read);
    To.set_header("Version", std::to_string(Read->Version));
    To.set_content(Read->Value, "text/plain");
  });
  PlatformClient Client(Proxy.start(), 2s);
  Expected<ApplyResult> Result = RulesStore(Client).apply(First, 0);
  REQUIRE(Result);
  CHECK(std::holds_alternative<RulesUnconfirmed>(*Result));
  CHECK(RulesStore(Direct).read()->Text == Second);
}
