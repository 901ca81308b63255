#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Process/Discovery.h"
#include "platform/Platform.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

TargetAnnouncement announcement(bool Leaving, std::int64_t Started = 1) {
  TargetAnnouncement Result;
  Result.Info.Id.Text = "one";
  Result.Info.Service.Text = "records";
  Result.Info.Started = WallTime(std::chrono::milliseconds(Started));
  Result.Leaving = Leaving;
  return Result;
}

HttpResponse answerWith(int Status, const std::string &Leaving) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Fields.add("Server-Leaving", Leaving);
  return Result;
}

/// \brief The state of a fleet with one service on virtual time.
struct DepartureWorld {
  TimePoint Now{1000 * Second};
  Discovery Fleet{NodeSettings{}};

  DepartureWorld() {
    const auto Config = makeRef<Configuration>();
    Config->Version = ConfigVersion{1};
    Config->findOrAddService(ServiceName{"records"});
    Config->Routes.push_back(singleRoute(true));
    Config->index();
    this->Fleet.configure(Config, this->Now);
  }

  void announce(const TargetAnnouncement &Entry) {
    this->Fleet.announce(Entry, this->Now);
  }

  /// \brief The entry is removed, and the grace period ends.
  void remove() {
    this->Fleet.withdraw(TargetId{"one"}, this->Now);
    this->Now += 10 * Second;
    this->Fleet.update(this->Now);
  }

  /// \returns the only target, or null if it gets no requests.
  Ref<KnownTarget> serving() {
    this->Fleet.applyDepartures();
    const Ref<const FleetView> View = this->Fleet.build();
    const auto &Targets = View->Services.front().Targets;
    return Targets.empty() ? nullptr : Targets.front();
  }
};

} // namespace

SCENARIO("an answer says that its target leaves", "[departure]") {
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  GIVEN("an answer of the target itself, of any status") {
    for (const int Status : {200, 500, 503})
      CHECK(Protocol.announcesDeparture(answerWith(Status, "1")));
  }
  GIVEN("an answer of another target that has taken over the address") {
    CHECK_FALSE(Protocol.announcesDeparture(answerWith(421, "1")));
  }
  GIVEN("another value") {
    for (const char *Value : {"0", "", "10", "yes"})
      CHECK_FALSE(Protocol.announcesDeparture(answerWith(200, Value)));
  }
}

// Guards against a target that has left and is used again, because a list that
// is older than its departure says that it is ready.
SCENARIO("an older entry does not bring a leaving target back", "[departure]") {
  DepartureWorld World;
  World.announce(announcement(false));
  const Ref<KnownTarget> Target = World.serving();
  REQUIRE(Target);

  GIVEN("a target that has said so in an answer") {
    Target->noteDeparture();
    CHECK_FALSE(World.serving());
    THEN("an entry that says it is ready says nothing new") {
      CHECK(World.Fleet.isCurrent(announcement(false), World.Now));
      World.announce(announcement(false));
      CHECK_FALSE(World.serving());
    }
    THEN("neither does one with another description of it") {
      TargetAnnouncement Changed = announcement(false);
      Changed.Info.Slots = 7;
      World.announce(Changed);
      CHECK_FALSE(World.serving());
    }
    THEN("neither does one that comes after the removal of its entry") {
      World.remove();
      World.announce(announcement(false));
      CHECK_FALSE(World.serving());
    }
    THEN("a new process under its id is used") {
      World.announce(announcement(false, 2));
      REQUIRE(World.serving());
      CHECK(World.serving() != Target);
    }
  }
  GIVEN("a target whose entry has said so") {
    World.announce(announcement(true));
    CHECK_FALSE(World.serving());
    WHEN("an entry says that it is ready") {
      World.announce(announcement(false));
      THEN("it stays out of use") { CHECK_FALSE(World.serving()); }
    }
  }
  GIVEN("a target whose entry lapsed") {
    Target->setRequestLimit(3.0, World.Now);
    World.remove();
    CHECK_FALSE(World.serving());
    WHEN("the entry comes back") {
      World.announce(announcement(false));
      THEN("the target is used, and what it has said before holds") {
        REQUIRE(World.serving());
        CHECK(World.serving()->requestLimit() == 3.0);
      }
    }
    WHEN("a restored store brings the entry back") {
      World.Fleet.announceRestored(announcement(false), World.Now);
      THEN("it may be from before its removal: it is used once the store would "
           "have removed it again") {
        CHECK_FALSE(World.serving());
        REQUIRE(World.Fleet.nextUpdate(World.Now));
        World.Now = *World.Fleet.nextUpdate(World.Now);
        World.Fleet.update(World.Now);
        CHECK(World.serving());
      }
      THEN("it is used at once if it changes") {
        World.announce(announcement(false));
        CHECK(World.serving());
      }
      THEN("it is not used if it is removed again") {
        World.remove();
        World.Fleet.update(World.Now + 60 * Second);
        CHECK_FALSE(World.serving());
      }
    }
    WHEN("it does not come back") {
      World.Now += Discovery::FormerTargetLifetime;
      World.Fleet.update(World.Now);
      World.announce(announcement(false));
      THEN("its state is forgotten") {
        REQUIRE(World.serving());
        CHECK_FALSE(World.serving()->requestLimit());
      }
    }
  }
}
