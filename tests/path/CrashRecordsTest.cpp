#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/CrashWatch.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

constexpr Fingerprint Print{42};

/// \brief Nodes that share their records through a simulated store and clock.
struct CrashWorld {
  std::vector<CrashRecords> Nodes;
  std::map<std::string, CrashRecord> Stored;
  TimePoint Now{Second * 1000};

  explicit CrashWorld(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Nodes.emplace_back(NodeName{"node-" + std::to_string(Index)});
  }

  void handle(std::size_t Node, const CrashRecordEvent &Event) {
    for (const CrashRecordEffect &Effect :
         this->Nodes[Node].handle(Event, this->Now))
      std::visit([this](const auto &Body) { this->perform(Body); }, Effect);
  }

  void perform(const WriteCrashRecord &Effect) {
    this->Stored[crashRecordName(Effect.Record)] = Effect.Record;
  }

  void perform(const RemoveCrashRecord &Effect) {
    this->Stored.erase(Effect.Name);
  }

  /// \brief Delivers the stored records to every node.
  void readAll() {
    CrashRecordsListed Event;
    for (const auto &[Name, Record] : this->Stored)
      Event.Records.push_back(Record);
    for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index)
      this->handle(Index, Event);
  }

  void crash(std::size_t Node, std::initializer_list<const char *> Targets) {
    RequestCrashedTargets Event{Print, {}};
    for (const char *Target : Targets)
      Event.Targets.push_back(TargetId{Target});
    this->handle(Node, Event);
    this->readAll();
  }

  std::optional<CrashStatus> status(std::size_t Node) const {
    return this->Nodes[Node].list()->find(Print);
  }
};

} // namespace

SCENARIO("requests that crash targets are found by all nodes", "[crash]") {
  CrashWorld World(3);

  GIVEN("one attempt of a caller that lost many targets at once") {
    World.crash(0, {"a", "b", "c", "d"});
    THEN(
        "the request is only suspected: the targets may have failed together") {
      for (std::size_t Node = 0; Node < 3; ++Node)
        CHECK(World.status(Node) == CrashStatus::Suspected);
    }
    WHEN("an attempt at another node loses targets as well") {
      World.crash(1, {"e"});
      THEN("every node refuses the request") {
        for (std::size_t Node = 0; Node < 3; ++Node)
          CHECK(World.status(Node) == CrashStatus::Refused);
      }
      AND_WHEN("a long time has passed") {
        World.Now += CrashRecords::RefuseTime;
        World.handle(0, CrashTimePassed{0});
        World.handle(1, CrashTimePassed{1});
        World.readAll();
        THEN("it may run again, and its records are removed") {
          CHECK(!World.status(2));
          CHECK(World.Stored.empty());
        }
      }
    }
    WHEN("an attempt succeeds at another node") {
      World.handle(2, SuspectedRequestSucceeded{Print});
      World.Now += CrashRecords::StaleTime;
      World.readAll();
      THEN("it is cleared everywhere") {
        for (std::size_t Node = 0; Node < 3; ++Node)
          CHECK(!World.status(Node));
        CHECK(World.Stored.empty());
      }
    }
    WHEN("a list is read that is older than its own record") {
      World.handle(0, CrashRecordsListed{});
      THEN("the record stays") {
        CHECK(World.status(0) == CrashStatus::Suspected);
      }
    }
    WHEN("it is not sent again") {
      World.Now += CrashRecords::SuspectTime;
      World.handle(0, CrashTimePassed{0});
      World.readAll();
      THEN("it is forgotten") { CHECK(!World.status(1)); }
    }
    WHEN("its node has permanently gone") {
      World.Now += CrashRecords::SuspectTime + 2 * CrashRecords::RankDelay;
      World.handle(1, CrashTimePassed{1});
      THEN("another node removes the record") { CHECK(World.Stored.empty()); }
    }
  }

  GIVEN("two attempts that lost the same two targets") {
    World.crash(0, {"a", "b"});
    World.crash(1, {"a", "b"});
    THEN("the request is only suspected: the targets may crash without it") {
      CHECK(World.status(2) == CrashStatus::Suspected);
    }
  }

  GIVEN("a loss of all targets that breaks very many requests") {
    for (std::uint64_t Number = 0; Number < 1000; ++Number)
      World.handle(0,
                   RequestCrashedTargets{Fingerprint{Number}, {TargetId{"a"}}});
    THEN("the records stay bounded") {
      CHECK(World.Stored.size() == CrashRecords::MaxOwnRecords);
    }
  }
}

SCENARIO("crash records pass through the store", "[crash]") {
  CrashRecord Record;
  Record.Print = Print;
  Record.Node.Text = "node-1";
  Record.Requests = 3;
  Record.Targets = {TargetId{"a"}, TargetId{"b"}};
  GIVEN("a record that was written") {
    const Expected<CrashRecord> Read =
        decodeCrashRecord(encodeCrashRecord(Record));
    THEN("reading it returns the same record") {
      REQUIRE(Read);
      CHECK(Read->Print == Record.Print);
      CHECK(Read->Node == Record.Node);
      CHECK(Read->Requests == Record.Requests);
      CHECK(Read->Targets == Record.Targets);
    }
  }
  GIVEN("content of another writer") {
    THEN("it is refused") {
      CHECK(!decodeCrashRecord(nullptr));
      CHECK(!decodeCrashRecord({{"print", -1}}));
      nlohmann::json Other = encodeCrashRecord(Record);
      Other["targets"][0] = 7;
      CHECK(!decodeCrashRecord(Other));
    }
  }
}

SCENARIO("a broken attempt turns out to be a crash", "[crash]") {
  const TimePoint Broken{1000 * Second};
  TargetInfo Info;
  Info.Id.Text = "a";
  const auto Target = makeRef<KnownTarget>(Info);
  CrashWatch Watch;
  const auto Found = [&](TimePoint Now) { return Watch.take(Now).size(); };
  Watch.add({Print, {{Target, Broken}}}, Broken);
  REQUIRE(Watch.nextCheck());
  CHECK(Found(Broken) == 0);
  GIVEN("a target whose other connections end after that of the request") {
    Target->noteLoss(Broken + 100 * Millisecond);
    THEN("it has crashed") { CHECK(Found(*Watch.nextCheck()) == 1); }
  }
  GIVEN("a target whose other connections ended before") {
    Target->noteLoss(Broken - 100 * Millisecond);
    THEN("it has crashed") { CHECK(Found(*Watch.nextCheck()) == 1); }
  }
  GIVEN("a target that keeps other connections") {
    Target->noteLoss(Broken - 10 * Second);
    THEN("it has closed only this one") {
      CHECK(Found(*Watch.nextCheck()) == 0);
      CHECK_FALSE(Watch.nextCheck());
    }
  }
  GIVEN("a loss of all targets that breaks very many requests") {
    for (int Count = 0; Count < 10000; ++Count)
      Watch.add({Print, {{Target, Broken}}}, Broken);
    Target->noteLoss(Broken);
    THEN("the requests that wait stay bounded") {
      CHECK(Found(*Watch.nextCheck()) == CrashWatch::MaxWaiting);
    }
  }
}
