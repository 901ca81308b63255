#include "balsamyard/src/Process/MoveController.h"
#include "balsamyard/src/Process/ShareController.h"
#include "tests/LocalPlatform.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

constexpr Duration WaitLimit = 20s;

/// Waits until \p Condition returns true, checking every 50 ms.
/// \returns whether it did so within WaitLimit.
template <typename Test> bool eventually(Test Condition) {
  for (TimePoint End = steadyNow() + WaitLimit; steadyNow() < End;) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

Settings settingsOf(const std::string &Node) {
  Settings Own;
  Own.Node = {Node};
  Own.Domain = {"east"};
  return Own;
}

/// Builds routing views of a failure domain from the objects of the platform.
class ViewSource {
public:
  explicit ViewSource(const Endpoint &Address) : Client(Address, 2s) {}

  Ref<const RoutingView> view() {
    auto View = makeRef<RoutingView>();
    View->Ready = true;
    ServiceCatalog &Catalog = View->Services[{"depot"}];
    Catalog.Name = {"depot"};
    Catalog.Routes = {{"find"}};
    Catalog.Leaves = {
        {0, {{0, {"east"}, {"v1"}, {"127.0.0.1", 1}, 30, 4, false}}},
        {40, {{0, {"east"}, {"v2"}, {"127.0.0.1", 1}, 30, 4, false}}}};
    for (const char *Node : {"east-1", "east-2"})
      if (std::string(Node) == "east-1" || this->SecondAlive)
        View->Nodes[{Node}] = {{Node}, {"east"}, {"north"}, {}, true, false};
    if (auto Object = this->Client.get("shared/shares/east")) {
      View->Shares[{"east"}] = *parseShareTable(Object->Value);
      View->Shares[{"east"}].Version = Object->Version;
    }
    if (auto Object = this->Client.get("shared/gates")) {
      View->Gates = *parseGateTable(Object->Value);
      View->Gates.Version = Object->Version;
    }
    if (auto Object = this->Client.get("shared/moves/depot/find"))
      View->Splits[{{"depot"}, {"find"}}] =
          splitOf(*parseMoveState(Object->Value));
    View->Configuration =
        parseRules("move service=depot to=v2 by=2099-01-01T00:00:00Z # Ada\n")
            .value();
    return View;
  }

  PlatformClient Client;
  std::atomic<bool> SecondAlive{false};
};

} // namespace

// Guards against lanes that have no owner or two owners when the platform loses
// answers.
TEST_CASE("holder processes share the lanes through the platform", "[keeper]") {
  LocalPlatform Platform;
  ViewSource Source(Platform.At);
  PlatformClient FirstClient(Platform.At, 2s);
  PlatformClient SecondClient(Platform.At, 2s);
  std::atomic<int> Stopped{0};
  auto HandlersFor = [&](bool Count) {
    ShareHandlers Handlers;
    Handlers.View = [&Source] { return Source.view(); };
    if (Count)
      Handlers.StopLanes = [&Stopped](const std::vector<LaneKey> &Lanes) {
        Stopped += static_cast<int>(Lanes.size());
      };
    return Handlers;
  };
  ShareController First(settingsOf("east-1"), FirstClient, HandlersFor(true));
  ShareController Second(settingsOf("east-2"), SecondClient,
                         HandlersFor(false));
  auto Lanes = [](const ShareController &Controller) {
    return Controller.owned().read()->Lanes.size();
  };
  auto Gates = [](const ShareController &Controller) {
    return Controller.owned().read()->Gates.size();
  };

  // Two groups with four lanes each.
  First.start();
  REQUIRE(eventually(
      [&] { return Lanes(First) == 8 && Gates(First) == WriteGateCount; }));

  setFault(Platform.At,
           R"({"kind":"lost-answer","count":2,"prefix":"shared/shares"})");
  Source.SecondAlive = true;
  Second.start();
  REQUIRE(eventually([&] { return Lanes(First) == 4 && Lanes(Second) == 4; }));
  REQUIRE(eventually(
      [&] { return Gates(First) + Gates(Second) == WriteGateCount; }));
  CHECK(Gates(Second) > 0);
  CHECK(Stopped == 4);

  CHECK(First.giveAwayAll(10s));
  CHECK(Lanes(First) == 0);
  CHECK(Gates(First) == 0);
  REQUIRE(eventually(
      [&] { return Lanes(Second) == 8 && Gates(Second) == WriteGateCount; }));
  First.stop();
  Second.stop();
}

// Guards against a controller that decides correctly but does not apply its
// decision.
TEST_CASE("a holder process moves a version and takes it back", "[keeper]") {
  LocalPlatform Platform;
  ViewSource Source(Platform.At);
  PlatformClient Client(Platform.At, 2s);
  std::atomic<int> Announced{0};
  std::atomic<std::uint64_t> NewErrors{0};
  Evidence Old{{"east-1"}, 1, {"depot"}, {"find"}, {"v1"}, 0, 0, 0};
  Evidence New{{"east-1"}, 1, {"depot"}, {"find"}, {"v2"}, 0, 0, 0};
  MoveHandlers Handlers;
  Handlers.View = [&] { return Source.view(); };
  Handlers.Counts = [&] {
    Old.Requests += 100;
    New.Requests += 100;
    New.Errors += NewErrors;
    return std::vector<Evidence>{Old, New};
  };
  Handlers.Announce = [&](const VersionRolledBack &) { ++Announced; };
  MoveController Controller(settingsOf("east-1"), Client, Handlers);
  auto State = [&]() -> std::optional<MoveState> {
    Expected<PlatformObject> Object =
        Source.Client.get("shared/moves/depot/find");
    if (!Object)
      return std::nullopt;
    return *parseMoveState(Object->Value);
  };
  Controller.start();
  REQUIRE(eventually([&] { return State().has_value(); }));
  CHECK(State()->From == VersionName{"v1"});
  CHECK(State()->Share == MoveSteps[0]);

  SECTION("the version turns bad") {
    NewErrors = 30;
    REQUIRE(eventually([&] { return Announced > 0; }));
    REQUIRE(
        eventually([&] { return State()->Status == MoveStatus::RolledBack; }));
    CHECK_FALSE(State()->Reason.empty());
  }
  SECTION("the version turns bad while the platform is down") {
    REQUIRE(eventually([&] {
      return Source.view()->Splits.count({{"depot"}, {"find"}}) == 1;
    }));
    std::this_thread::sleep_for(2s);
    // The views of the processes do not change during an outage.
    Client.stop();
    NewErrors = 30;
    REQUIRE(eventually([&] { return Announced > 0; }));
    CHECK(State()->Status == MoveStatus::UnderWay);
  }
  SECTION("another process takes it back") {
    Controller.receive(VersionRolledBack{{"depot"},
                                         {"find"},
                                         {"v2"},
                                         moveRuleNumber(State()->Rule),
                                         "slow answers"});
    REQUIRE(
        eventually([&] { return State()->Status == MoveStatus::RolledBack; }));
    CHECK(State()->Reason == "slow answers");
  }
  Controller.stop();
}
