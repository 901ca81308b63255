#include "balsamyard/src/Request/TargetChoice.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

SCENARIO("a target is chosen by its expected latency", "[choice]") {
  PathWorld World(singleRoute(true));
  const ServiceNumber Number = World.addService("records");
  KnownTarget &Near = World.addTarget(Number, "near");
  KnownTarget &Far =
      World.addTarget(Number, "far", Distance::OtherRegion, "south");
  const ServiceEntry &Service = World.View->Services[Number];
  TargetCriteria Criteria;
  Criteria.MedianLatency = 30 * Millisecond;
  RandomGenerator Random(1);
  const auto Chosen = [&] {
    return chooseTarget(Service, Criteria, {}, World.Now, Random).Target;
  };

  GIVEN("two targets that are equally fast") {
    THEN("the near one is chosen") { CHECK(Chosen() == &Near); }
  }
  GIVEN("a near target that is several times slower") {
    for (int Answer = 0; Answer < 5; ++Answer)
      Near.observe(300 * Millisecond, Criteria.MedianLatency, World.Now);
    THEN("the far one is chosen") { CHECK(Chosen() == &Far); }
    AND_WHEN("it was not asked for a while") {
      World.Now += 20 * Second;
      THEN("it is tried again") { CHECK(Chosen() == &Near); }
    }
  }
  GIVEN("a near target that paused once") {
    for (int Answer = 0; Answer < 20; ++Answer)
      Near.observe(30 * Millisecond, Criteria.MedianLatency, World.Now);
    Near.observe(280 * Millisecond, Criteria.MedianLatency, World.Now);
    THEN("it is preferred again soon") {
      World.Now += 2 * Second;
      CHECK(Chosen() == &Near);
    }
  }
  GIVEN("a near target with a late request") {
    Near.lateStarted();
    THEN("the far one is chosen until the late one ends") {
      CHECK(Chosen() == &Far);
      Near.lateEnded();
      CHECK(Chosen() == &Near);
    }
  }
  GIVEN("a near target that may not be used") {
    WHEN("it leaves") { Near.setAdminState(AdminState::Leaving); }
    WHEN("its domain is evacuated") {
      Near.setAdminState(AdminState::Evacuated);
    }
    WHEN("it is unreachable") { Near.setReach(Reach::Down); }
    WHEN("it is cold") { Near.setColdUntil(World.Now + Second); }
    if (Near.adminState() != AdminState::Serving ||
        Near.reach() == Reach::Down || Near.isCold(World.Now)) {
      THEN("the far one is chosen") { CHECK(Chosen() == &Far); }
    }
  }
  GIVEN("a route that only one region may serve") {
    const std::vector<RegionName> Regions = {RegionName{"south"}};
    Criteria.Regions = &Regions;
    THEN("a nearer target of another region is passed over") {
      CHECK(Chosen() == &Far);
    }
  }
  GIVEN("targets that are all cold and may get a few requests") {
    Near.setColdUntil(World.Now + 10 * Second);
    Far.setColdUntil(World.Now + 10 * Second);
    Criteria.ColdInterval = 500 * Millisecond;
    THEN("each gets one request in the interval") {
      CHECK(Chosen() != nullptr);
      CHECK(Chosen() != nullptr);
      CHECK(Chosen() == nullptr);
      World.Now += 500 * Millisecond;
      CHECK(Chosen() != nullptr);
    }
  }
}

// Guards against processes that together send more requests to a cold target
// than its rate allows, whatever their number.
TEST_CASE("all processes together respect the rate of a cold target",
          "[choice]") {
  PathWorld World(singleRoute(true));
  const ServiceNumber Number = World.addService("records");
  World.input();
  for (std::uint32_t Nodes : {1U, 2U, 7U, 87U, 840U})
    for (double Rate : {0.0, 2.0, 20.0, 400.0}) {
      INFO("nodes " << Nodes << ", rate " << Rate);
      World.Config->Services[Number].ColdRequestRate = Rate;
      World.View->Shares.Nodes = Nodes;
      World.View->Shares.ColdRateFactor = 1.5;
      World.View->Shares.ColdSlack = 5;
      const Duration Interval = World.View->coldRequestInterval(Number);
      // One request at the start of a second, then one each interval.
      const double PerNode =
          Interval == Duration::max()
              ? 0
              : 1 + std::floor(1e6 / static_cast<double>(Interval.count()));
      CHECK(PerNode * Nodes <= Rate * 1.5 + 5);
    }
}
