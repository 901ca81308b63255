#include "balsamyard/src/Process/Discovery.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

Ref<const Configuration> configuration(std::uint64_t Version) {
  const auto Result = makeRef<Configuration>();
  Result->Version = ConfigVersion{Version};
  Result->numberOf(ServiceName{"records"});
  Result->Routes.push_back(singleRoute(true));
  Result->index();
  return Result;
}

TargetAnnouncement announcement(const std::string &Id,
                                const std::string &Domain = "east",
                                std::int64_t Started = 1) {
  TargetAnnouncement Result;
  Result.Info.Id.Text = Id;
  Result.Info.Service.Text = "records";
  Result.Info.Domain.Text = Domain;
  Result.Info.Started = WallTime(std::chrono::milliseconds(Started));
  return Result;
}

NodeSettings settings() {
  NodeSettings Result;
  Result.Domain.Text = "east";
  Result.Region.Text = "north";
  Result.Regions = {{DomainName{"east"}, RegionName{"north"}},
                    {DomainName{"west"}, RegionName{"south"}}};
  return Result;
}

std::size_t usable(Discovery &Known) {
  return Known.build()->Services.front().Targets.size();
}

} // namespace

SCENARIO("targets come and go", "[discovery]") {
  TimePoint Now{1000 * Second};
  Discovery Known(settings());
  Known.configure(configuration(7));
  Known.announce(announcement("one"), Now);
  Known.announce(announcement("two", "west"), Now);
  REQUIRE(usable(Known) == 2);

  GIVEN("a target that announces that it leaves") {
    TargetAnnouncement Leaving = announcement("one");
    Leaving.Leaving = true;
    Known.announce(Leaving, Now);
    THEN("it gets no more requests at once") { CHECK(usable(Known) == 1); }
  }

  GIVEN("a target whose entry disappears") {
    WHEN("the store was away shortly before") {
      Known.markStoreUnstable(Now - Second);
      Known.withdraw(TargetId{"one"}, Now);
      THEN("it is used until the entry had time to come back") {
        Known.expire(Now + 2 * Second);
        CHECK(usable(Known) == 2);
        Known.expire(Now + 3 * Second);
        CHECK(usable(Known) == 1);
      }
    }
    Known.withdraw(TargetId{"one"}, Now);
    THEN("it is given up within the time that a leaving target serves") {
      REQUIRE(Known.nextExpiry());
      // The event may have come this much late.
      CHECK(*Known.nextExpiry() + ObjectFeed::MaxWatchDelay <
            Now + settings().Bounds.DrainTime);
      Known.expire(*Known.nextExpiry());
      CHECK(usable(Known) == 1);
    }
    WHEN("the entry comes back") {
      Known.announce(announcement("one"), Now + Second / 2);
      THEN("the target stays") {
        Known.expire(Now + 10 * Second);
        CHECK(usable(Known) == 2);
      }
    }
  }

  GIVEN("a target that starts again under its id") {
    const Ref<const FleetView> Before = Known.build();
    const Ref<KnownTarget> Former = Before->Services[0].Targets[0];
    Former->observe(Second, Millisecond, Now);
    Known.announce(announcement("one", "east", 2), Now);
    const Ref<const FleetView> After = Known.build();
    THEN("nothing that was learned of the former process holds for it") {
      const Ref<KnownTarget> Next = After->Services[0].Targets[0];
      CHECK(Next.get() != Former.get());
      CHECK(Next->slowness(Now) == Approx(1.0));
      CHECK(Former->standing() == Standing::Gone);
    }
  }

  GIVEN("a list that lacks a target") {
    Known.retainTargets({TargetId{"two"}}, Now);
    THEN("that target is withdrawn") {
      REQUIRE(Known.nextExpiry());
      Known.expire(*Known.nextExpiry());
      CHECK(usable(Known) == 1);
    }
  }

  GIVEN("a failure domain that is evacuated") {
    Known.evacuate(DomainName{"west"});
    THEN("its targets get nothing, also new ones") {
      Known.announce(announcement("three", "west"), Now);
      CHECK(usable(Known) == 1);
      AND_WHEN("the evacuation ends") {
        Known.setEvacuatedDomains({});
        THEN("they are used again") { CHECK(usable(Known) == 3); }
      }
    }
  }

  GIVEN("a cold target") {
    TargetAnnouncement Cold = announcement("one");
    Cold.ColdLeft = 3 * Second;
    Known.announce(Cold, Now);
    const Ref<const FleetView> View = Known.build();
    THEN("it is cold for as long as it says") {
      CHECK(View->Services[0].Targets[0]->isCold(Now + 2 * Second));
      CHECK_FALSE(View->Services[0].Targets[0]->isCold(Now + 4 * Second));
    }
  }
}

// Guards against more connections to a target than it accepts, from nodes that
// cannot ask each other.
TEST_CASE("nodes share the connections of each target", "[discovery]") {
  constexpr std::uint32_t MaxConnections = 66;
  std::set<NodeName> Nodes;
  for (int Count = 0; Count < 87; ++Count)
    Nodes.insert(NodeName{"node-" + std::to_string(Count)});
  const std::vector<std::string> Domains = {"east", "west", "south"};
  std::map<std::string, std::uint32_t> PreferredBy;
  int Number = 0;
  for (const NodeName &Name : Nodes) {
    NodeSettings Own;
    Own.Node = Name;
    for (const std::string &Domain : Domains)
      Own.Regions[DomainName{Domain}] = RegionName{Domain};
    Own.Domain.Text = Domains[Number++ % Domains.size()];
    Own.Region.Text = Own.Domain.Text;
    Discovery Known(Own);
    const auto Config = makeRef<Configuration>();
    Config->Version = ConfigVersion{1};
    for (int Service = 0; Service < 30; ++Service) {
      const std::string Called = "s" + std::to_string(Service);
      ServiceSpec &Spec =
          Config->Services[Config->numberOf(ServiceName{Called})];
      Spec.MaxConnections = MaxConnections;
      for (const std::string &Domain : Domains) {
        TargetAnnouncement Target = announcement(Called + Domain, Domain);
        Target.Info.Service.Text = Called;
        Known.announce(Target, TimePoint{Second});
      }
    }
    Config->index();
    Known.configure(Config);
    Known.setNodes(Nodes);
    const Ref<const FleetView> View = Known.build();
    for (const ServiceEntry &Service : View->Services) {
      std::size_t Preferred = 0;
      for (const Ref<KnownTarget> &Target : Service.Targets) {
        Preferred += Target->preferred() ? 1 : 0;
        PreferredBy[Target->Info.Id.Text] += Target->preferred() ? 1 : 0;
        if (Target->Info.Far == Distance::SameDomain)
          CHECK(Target->preferred());
      }
      // A second one is needed for hedges and retries.
      CHECK(Preferred >= 2);
    }
  }
  std::uint32_t Most = 0;
  for (const auto &[Id, Count] : PreferredBy)
    Most = std::max(Most, Count);
  CHECK(Most <= MaxConnections);
}

// Guards against a configuration that goes back to an older version.
SCENARIO("configurations only go forward", "[discovery]") {
  Discovery Known(settings());
  CHECK_FALSE(Known.canServe());
  CHECK(Known.configure(configuration(7)));
  CHECK_FALSE(Known.configure(configuration(6)));
  CHECK_FALSE(Known.configure(configuration(7)));
  CHECK(Known.configure(configuration(9)));
  CHECK(Known.build()->Config->Version == ConfigVersion{9});
}
