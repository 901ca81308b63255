#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/DepartureTimes.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

Ref<const Configuration> configuration(std::uint64_t Version) {
  const auto Result = makeRef<Configuration>();
  Result->Version = ConfigVersion{Version};
  Result->findOrAddService(ServiceName{"records"});
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

std::size_t servingTargets(Discovery &Fleet) {
  return Fleet.build()->Services.front().Targets.size();
}

} // namespace

SCENARIO("targets come and go", "[discovery]") {
  TimePoint Now{1000 * Second};
  Discovery Fleet(settings());
  Fleet.configure(configuration(7), Now);
  Fleet.announce(announcement("one"), Now);
  Fleet.announce(announcement("two", "west"), Now);
  REQUIRE(servingTargets(Fleet) == 2);

  GIVEN("a target that announces that it leaves") {
    TargetAnnouncement Leaving = announcement("one");
    Leaving.Leaving = true;
    Fleet.announce(Leaving, Now);
    THEN("it immediately gets no more requests") {
      CHECK(servingTargets(Fleet) == 1);
    }
  }

  GIVEN("a target whose entry disappears") {
    WHEN("the store has just come back") {
      Fleet.markStoreReturned(Now);
      Fleet.withdraw(TargetId{"one"}, Now);
      THEN("it is used until its entry could have come back") {
        Fleet.update(Now + 2 * Second);
        CHECK(servingTargets(Fleet) == 2);
        Fleet.update(Now + 3 * Second);
        CHECK(servingTargets(Fleet) == 1);
      }
    }
    WHEN("the store came back a second before") {
      Fleet.markStoreReturned(Now - Second);
      Fleet.withdraw(TargetId{"one"}, Now);
      THEN("the time since then counts") {
        Fleet.update(Now + Second);
        CHECK(servingTargets(Fleet) == 2);
        Fleet.update(Now + 2 * Second);
        CHECK(servingTargets(Fleet) == 1);
      }
    }
    Fleet.withdraw(TargetId{"one"}, Now);
    THEN("it is removed within the drain time") {
      REQUIRE(Fleet.nextUpdate(Now));
      // The event may have been delayed by this much.
      const Duration Drain = settings().Bounds.DrainTime;
      CHECK(*Fleet.nextUpdate(Now) + DepartureTimes(Drain).ReadPause <
            Now + Drain);
      Fleet.update(*Fleet.nextUpdate(Now));
      CHECK(servingTargets(Fleet) == 1);
    }
    WHEN("the entry comes back") {
      Fleet.announce(announcement("one"), Now + Second / 2);
      THEN("the target stays") {
        Fleet.update(Now + 10 * Second);
        CHECK(servingTargets(Fleet) == 2);
      }
    }
  }

  GIVEN("a target that starts again under its id") {
    const Ref<const FleetView> Before = Fleet.build();
    const Ref<KnownTarget> Former = Before->Services[0].Targets[0];
    Former->observe(Second, Millisecond, Now);
    Fleet.announce(announcement("one", "east", 2), Now);
    const Ref<const FleetView> After = Fleet.build();
    THEN("observations of the former process do not apply to it") {
      const Ref<KnownTarget> Next = After->Services[0].Targets[0];
      CHECK(Next.get() != Former.get());
      CHECK(Next->slowness(Now) == Approx(1.0));
      CHECK(Former->adminState() == AdminState::Gone);
    }
  }

  GIVEN("a target whose entry is gone") {
    // A list that lacks an object reports its removal; see ObjectCacheTest.
    Fleet.withdraw(TargetId{"one"}, Now);
    THEN("that target is withdrawn") {
      REQUIRE(Fleet.nextUpdate(Now));
      Fleet.update(*Fleet.nextUpdate(Now));
      CHECK(servingTargets(Fleet) == 1);
    }
  }

  GIVEN("a failure domain that is evacuated") {
    Fleet.evacuate(DomainName{"west"});
    THEN("its targets, including new ones, get no requests") {
      Fleet.announce(announcement("three", "west"), Now);
      CHECK(servingTargets(Fleet) == 1);
      AND_WHEN("the evacuation ends") {
        Fleet.endEvacuation(DomainName{"west"});
        THEN("they are used again") { CHECK(servingTargets(Fleet) == 3); }
      }
    }
  }

  GIVEN("a cold target") {
    TargetAnnouncement Cold = announcement("one");
    Cold.RemainingWarmup = 3 * Second;
    Fleet.announce(Cold, Now);
    const Ref<const FleetView> View = Fleet.build();
    THEN("further heartbeats of its warm-up say nothing new") {
      TargetAnnouncement Next = Cold;
      Next.RemainingWarmup = 1800 * Millisecond;
      CHECK(Fleet.isCurrent(Next, Now + 1300 * Millisecond));
      Next.RemainingWarmup = Duration::zero();
      CHECK(Fleet.isCurrent(Next, Now + 4 * Second));
    }
    THEN("another warm-up, its leaving and another start are new") {
      TargetAnnouncement Next = Cold;
      CHECK_FALSE(Fleet.isCurrent(Next, Now + 2 * Second));
      Next.RemainingWarmup = Second;
      Next.Leaving = true;
      CHECK_FALSE(Fleet.isCurrent(Next, Now + 2 * Second));
      Next = announcement("one", "east", 2);
      CHECK_FALSE(Fleet.isCurrent(Next, Now));
      Fleet.withdraw(TargetId{"one"}, Now);
      CHECK_FALSE(Fleet.isCurrent(Cold, Now));
    }
    THEN("it is cold for as long as it says") {
      CHECK(View->Services[0].Targets[0]->isCold(Now + 2 * Second));
      CHECK_FALSE(View->Services[0].Targets[0]->isCold(Now + 4 * Second));
    }
  }
}

// Guards against requests that reach a target after the time for which it keeps
// serving: reading the removal of its entry late, and waiting for the entry to
// come back, each fitted that time, but not both together.
SCENARIO("a target that has left gets no requests after its drain time",
         "[discovery][drain]") {
  // The store comes back at 0; the node notices it with a probe.
  const TimePoint Returned{1000 * Second};
  for (const Duration Noticed : {10 * Millisecond, 900 * Millisecond})
    for (const Duration Drain : {3 * Second, 6 * Second}) {
      GIVEN("a store that was back for " + std::to_string(Noticed.count()) +
            " us when the node noticed it, and a drain time of " +
            std::to_string(Drain.count()) + " us") {
        NodeSettings Settings = settings();
        Settings.Bounds.DrainTime = Drain;
        WHEN("a target leaves at any time after that") {
          Duration Longest{};
          for (Duration Left = Second; Left < 8 * Second;
               Left += 50 * Millisecond) {
            Discovery Fleet(Settings);
            Fleet.configure(configuration(7), Returned);
            Fleet.announce(announcement("one"), Returned);
            Fleet.markStoreReturned(Returned + Noticed);
            const TimePoint Read =
                Returned + Left + DepartureTimes(Drain).ReadPause;
            Fleet.withdraw(TargetId{"one"}, Read);
            Longest =
                std::max(Longest, *Fleet.nextUpdate(Read) - (Returned + Left));
          }
          THEN("it is given up while it still serves") {
            // The rest is for the store's answer, other nodes and requests.
            CHECK(Longest <= Drain * 9 / 10);
          }
        }
      }
    }
  for (const Duration Drain : {Second, 3 * Second, 6 * Second}) {
    GIVEN("an answer of the store that was lost, and a drain time of " +
          std::to_string(Drain.count()) + " us") {
      NodeSettings Settings = settings();
      Settings.Bounds.DrainTime = Drain;
      const DepartureTimes Times(Drain);
      Discovery Fleet(Settings);
      Fleet.configure(configuration(7), Returned);
      Fleet.announce(announcement("one"), Returned);
      WHEN("the removal in it is read by the next check") {
        const TimePoint Read = Returned + Times.CheckInterval;
        Fleet.withdraw(TargetId{"one"}, Read);
        THEN("the target is given up while it still serves") {
          CHECK(*Fleet.nextUpdate(Read) - Returned <= Drain * 9 / 10);
        }
      }
    }
  }
  GIVEN("a drain time of a second") {
    NodeSettings Settings = settings();
    Settings.Bounds.DrainTime = Second;
    Discovery Fleet(Settings);
    Fleet.configure(configuration(7), Returned);
    Fleet.announce(announcement("one"), Returned);
    WHEN("a target leaves while the store is stable") {
      const TimePoint Read = Returned + DepartureTimes(Second).ReadPause;
      Fleet.withdraw(TargetId{"one"}, Read);
      THEN("the stages are shorter") {
        CHECK(*Fleet.nextUpdate(Read) - Returned <= 900 * Millisecond);
      }
    }
  }
}

// Guards against more connections to a target than it accepts. Nodes choose
// their preferred targets without communicating.
TEST_CASE("nodes share the connections of each target", "[discovery]") {
  constexpr std::uint32_t MaxConnections = 66;
  std::map<NodeName, DomainName> Nodes;
  const std::vector<std::string> Domains = {"east", "west", "south"};
  for (int Count = 0; Count < 87; ++Count)
    Nodes[NodeName{"node-" + std::to_string(Count)}] = {};
  std::size_t Number = 0;
  for (auto &[Name, Domain] : Nodes)
    Domain.Text = Domains[Number++ % Domains.size()];
  std::map<std::string, std::uint32_t> PreferredBy;
  for (const auto &[Name, Domain] : Nodes) {
    NodeSettings Settings;
    Settings.Node = Name;
    for (const std::string &Domain : Domains)
      Settings.Regions[DomainName{Domain}] = RegionName{Domain};
    Settings.Domain = Domain;
    Settings.Region.Text = Settings.Domain.Text;
    Discovery Fleet(Settings);
    const auto Config = makeRef<Configuration>();
    Config->Version = ConfigVersion{1};
    for (int Service = 0; Service < 30; ++Service) {
      const std::string ServiceText = "s" + std::to_string(Service);
      ServiceSpec &Spec =
          Config->Services[Config->findOrAddService(ServiceName{ServiceText})];
      Spec.MaxConnections = MaxConnections;
      for (const std::string &Domain : Domains) {
        TargetAnnouncement Target = announcement(ServiceText + Domain, Domain);
        Target.Info.Service.Text = ServiceText;
        Fleet.announce(Target, TimePoint{Second});
      }
    }
    Config->index();
    Fleet.configure(Config, TimePoint{});
    Fleet.setNodes(Nodes);
    const Ref<const FleetView> View = Fleet.build();
    for (const ServiceEntry &Service : View->Services) {
      std::size_t Preferred = 0;
      for (const Ref<KnownTarget> &Target : Service.Targets) {
        Preferred += Target->preferred() ? 1 : 0;
        PreferredBy[Target->Info.Id.Text] += Target->preferred() ? 1 : 0;
        if (Target->Info.NetworkDistance == Distance::SameDomain)
          CHECK(Target->preferred());
      }
      // Hedges and retries need a second target.
      CHECK(Preferred >= 2);
    }
  }
  std::uint32_t MaxPreferred = 0;
  for (const auto &[Id, Count] : PreferredBy)
    MaxPreferred = std::max(MaxPreferred, Count);
  CHECK(MaxPreferred <= MaxConnections);
}

// Guards against replacing the configuration with an older version.
SCENARIO("configurations only go forward", "[discovery]") {
  Discovery Fleet(settings());
  CHECK_FALSE(Fleet.canServe());
  CHECK(Fleet.configure(configuration(7), TimePoint{}));
  CHECK_FALSE(Fleet.configure(configuration(6), TimePoint{}));
  CHECK_FALSE(Fleet.configure(configuration(7), TimePoint{}));
  CHECK(Fleet.configure(configuration(9), TimePoint{}));
  CHECK(Fleet.build()->Config->Version == ConfigVersion{9});
}
