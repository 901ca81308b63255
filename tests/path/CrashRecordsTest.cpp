#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/CrashWatch.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

constexpr Fingerprint Print{42};

/// \brief Nodes that share their records through a simulated store and clock.
struct CrashWorld {
  std::vector<CrashRecords> Nodes;
  std::map<std::string, CrashRecord> Stored;
  TimePoint Now{Second * 1000};
  bool Telling = true; ///< Nodes reach each other.
  bool Lossy = false;  ///< The store accepts no record.

  explicit CrashWorld(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Nodes.emplace_back(NodeName{"node-" + std::to_string(Index)});
  }

  void handle(std::size_t Node, const CrashRecordEvent &Event) {
    for (const CrashRecordEffect &Effect :
         this->Nodes[Node].handle(Event, this->Now))
      std::visit([&](const auto &Body) { this->perform(Node, Body); }, Effect);
  }

  void perform(std::size_t Node, const WriteCrashRecord &Effect) {
    if (!this->Lossy)
      this->Stored[crashRecordName(Effect.Record)] = Effect.Record;
    this->handle(Node, CrashRecordWritten{Effect.Record, !this->Lossy});
  }

  void perform(std::size_t Node, const TellCrashRecord &Effect) {
    for (std::size_t Other = 0; Other < this->Nodes.size(); ++Other)
      if (Other != Node && this->Telling)
        this->handle(Other, CrashRecordHeard{Effect.Record});
  }

  void perform(std::size_t, const RemoveCrashRecord &Effect) {
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

  GIVEN("a record that the store does not accept") {
    World.Lossy = true;
    World.Telling = false;
    World.crash(0, {"a", "b", "c"});
    REQUIRE(World.Stored.empty());
    World.Lossy = false;
    WHEN("time passes") {
      World.handle(0, CrashTimePassed{0});
      THEN("it is written again, not too soon") {
        CHECK(World.Stored.empty());
        World.Now += CrashRecords::RewriteInterval;
        World.handle(0, CrashTimePassed{0});
        CHECK(World.Stored.size() == 1);
        World.Now += CrashRecords::RewriteInterval;
        World.Stored.clear();
        World.handle(0, CrashTimePassed{0});
        CHECK(World.Stored.empty());
      }
    }
  }

  GIVEN("a refused request whose records are lost") {
    World.crash(0, {"a", "b"});
    World.crash(1, {"c"});
    World.Stored.clear();
    World.Now += CrashRecords::StaleTime;
    World.readAll();
    THEN("all nodes refuse it, and write the records again") {
      for (std::size_t Node = 0; Node < 3; ++Node) {
        CHECK(World.status(Node) == CrashStatus::Refused);
        World.handle(Node, CrashTimePassed{static_cast<std::uint32_t>(Node)});
      }
      CHECK(World.Stored.size() == 2);
    }
  }

  GIVEN("a store that was restored from a copy without a record") {
    World.crash(0, {"a", "b"});
    World.Stored.clear();
    World.Now += CrashRecords::StaleTime;
    for (std::size_t Node = 0; Node < 3; ++Node)
      World.handle(Node, CrashStoreRestored{});
    World.readAll();
    THEN("its node writes it again, and the others keep it") {
      CHECK(World.Stored.size() == 1);
      CHECK(World.status(2) == CrashStatus::Suspected);
    }
  }

  GIVEN("a node that has told of a crash") {
    CrashRecord Record;
    Record.Print = Print;
    Record.Node.Text = "node-7";
    Record.Requests = 2;
    Record.Targets = {TargetId{"a"}, TargetId{"b"}, TargetId{"c"}};
    World.handle(0, CrashRecordHeard{Record});
    REQUIRE(World.status(0) == CrashStatus::Refused);
    THEN("a list that is older does not take it back") {
      World.handle(0, CrashRecordsListed{});
      CHECK(World.status(0) == CrashStatus::Refused);
      Record.Requests = 1;
      Record.Targets.clear();
      World.handle(0, CrashRecordsListed{{Record}});
      CHECK(World.status(0) == CrashStatus::Refused);
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

namespace {

/// \brief A fleet whose callers repeat one request that crashes each target
/// which runs it. Lists of the store are read every 4 s and are 3 s old; nodes
/// tell each other of records within 0.75 s.
class CrashingFleet {
public:
  /// Attempts that are sent later than this after the third crash count.
  static constexpr Duration ContactTime = std::chrono::seconds(4);

  explicit CrashingFleet(std::size_t Count) : Random(Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->addNode("node-" + std::to_string(Index));
  }

  /// \brief Replaces the process of a node by one that knows nothing.
  void restart(std::size_t Node) {
    const std::string Name =
        "node-" + std::to_string(Node) + "." + std::to_string(++this->Starts);
    this->Nodes[Node] = std::make_unique<CrashRecords>(NodeName{Name});
    this->list(Node);
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += Step) {
      this->History[this->Now] = this->Stored;
      this->deliver();
      for (std::size_t Node = 0; Node < this->Nodes.size(); ++Node)
        this->handle(Node, CrashTimePassed{static_cast<std::uint32_t>(Node)});
      for (std::size_t Node = 0; Node < this->Nodes.size(); ++Node)
        if ((this->Now.time_since_epoch() + Node * Step) % ReadInterval ==
            Duration::zero())
          this->list(Node);
      this->request(
          this->Random.below(static_cast<std::uint32_t>(this->Nodes.size())));
    }
  }

  bool StoreAway = false;
  bool Telling = true;
  int Crashes = 0;
  int LateAttempts = 0; ///< Attempts that count, and reach targets.

private:
  static constexpr Duration Step = std::chrono::milliseconds(250);
  static constexpr Duration ReadInterval = std::chrono::seconds(4);
  static constexpr Duration ListAge = std::chrono::seconds(3);
  static constexpr Duration TellTime = std::chrono::milliseconds(750);

  struct Told {
    TimePoint At{};
    CrashRecord Record;
  };

  void addNode(const std::string &Name) {
    this->Nodes.push_back(std::make_unique<CrashRecords>(NodeName{Name}));
  }

  /// Each attempt crashes one target, whose replacement has another id.
  void request(std::size_t Node) {
    if (this->Nodes[Node]->list()->find(Print) == CrashStatus::Refused)
      return;
    if (this->ThirdAt && this->Now - *this->ThirdAt > ContactTime)
      ++this->LateAttempts;
    if (++this->Crashes == 3)
      this->ThirdAt = this->Now;
    this->handle(Node,
                 RequestCrashedTargets{
                     Print, {TargetId{"t" + std::to_string(this->Crashes)}}});
  }

  void handle(std::size_t Node, const CrashRecordEvent &Event) {
    for (const CrashRecordEffect &Effect :
         this->Nodes[Node]->handle(Event, this->Now))
      std::visit([&](const auto &Body) { this->perform(Node, Body); }, Effect);
  }

  void perform(std::size_t Node, const WriteCrashRecord &Effect) {
    if (!this->StoreAway)
      this->Stored[crashRecordName(Effect.Record)] = Effect.Record;
    this->handle(Node, CrashRecordWritten{Effect.Record, !this->StoreAway});
  }

  void perform(std::size_t, const TellCrashRecord &Effect) {
    if (this->Telling)
      this->Underway.push_back({this->Now + TellTime, Effect.Record});
  }

  void perform(std::size_t, const RemoveCrashRecord &Effect) {
    this->Stored.erase(Effect.Name);
  }

  void deliver() {
    const std::vector<Told> Sent = std::exchange(this->Underway, {});
    for (const Told &Message : Sent)
      if (Message.At > this->Now)
        this->Underway.push_back(Message);
      else
        for (std::size_t Node = 0; Node < this->Nodes.size(); ++Node)
          this->handle(Node, CrashRecordHeard{Message.Record});
  }

  void list(std::size_t Node) {
    const auto Past = this->History.upper_bound(this->Now - ListAge);
    if (this->StoreAway || Past == this->History.begin())
      return;
    CrashRecordsListed Event;
    for (const auto &[Name, Record] : std::prev(Past)->second)
      Event.Records.push_back(Record);
    this->handle(Node, Event);
  }

  std::vector<std::unique_ptr<CrashRecords>> Nodes;
  RandomGenerator Random;
  TimePoint Now{Second * 1000};
  std::optional<TimePoint> ThirdAt;
  int Starts = 0;
  std::map<std::string, CrashRecord> Stored;
  std::map<TimePoint, std::map<std::string, CrashRecord>> History;
  std::vector<Told> Underway;
};

} // namespace

// Guards against a request that goes on to crash targets after the third crash:
// three attempts that count are allowed.
SCENARIO("a request that crashes targets is soon refused by all nodes",
         "[crash]") {
  for (const std::size_t Count : {7U, 87U, 295U}) {
    CrashingFleet Fleet(Count);
    GIVEN("a fleet of " + std::to_string(Count) + " nodes") {
      WHEN("the request is repeated") {
        Fleet.run(60 * Second);
        THEN("few of the attempts that count reach targets") {
          CHECK(Fleet.LateAttempts <= 3);
        }
      }
      WHEN("nodes are restarted meanwhile") {
        for (std::size_t Node = 0; Node < 6; ++Node) {
          Fleet.run(5 * Second);
          Fleet.restart(Node);
        }
        THEN("few of the attempts that count reach targets") {
          CHECK(Fleet.LateAttempts <= 3);
        }
      }
      WHEN("the store is away for half a minute") {
        Fleet.StoreAway = true;
        Fleet.run(30 * Second);
        Fleet.StoreAway = false;
        Fleet.run(60 * Second);
        THEN("the nodes refuse it all the same") {
          CHECK(Fleet.LateAttempts <= 3);
        }
      }
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
  GIVEN("a target that starts again under its id, and crashes again") {
    Target->noteLoss(Broken);
    TargetInfo Later = Target->Info;
    Later.Started += std::chrono::seconds(1);
    const auto Again = makeRef<KnownTarget>(Later);
    Again->noteLoss(Broken);
    Watch.add({Print, {{Again, Broken}}}, Broken);
    THEN("these are two crashes") {
      const auto Crashes = Watch.take(*Watch.nextCheck());
      REQUIRE(Crashes.size() == 2);
      CHECK(Crashes[0].Targets != Crashes[1].Targets);
    }
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
