#include "balsamyard/src/Version/ServiceMove.h"
#include "balsamyard/src/Process/MoveCounts.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// Limits that the platform sets for a bad version.
constexpr double Exposure = 0.1;
constexpr double ExposureSlack = 50;
constexpr Duration RollbackTime = std::chrono::seconds(5);
constexpr std::uint64_t BadUntilRollback = 50;

/// \brief Quality of an answer of the new version, given the time since the
/// order, the share of the new version, the route and a random number from 0
/// to 1.
using NewVersion =
    std::function<AnswerQuality(Duration Age, double Share, int Route, double)>;

/// \brief Simulates several nodes that move one service and share a store, in
/// virtual time.
struct MovingFleet {
  struct Member {
    std::string Name;
    ServiceMove Move;
    Ref<MoveTraffic> Traffic;
    MoveTally Published;
    TimePoint PublishedAt{};
    TimePoint ReadAt{};
    bool Alive = true;
  };

  MoveClock Clock{TimePoint{1000 * Second},
                  WallTime{std::chrono::seconds(5000)}};
  MoveOrderUpdated Order;
  std::vector<Member> Members;
  std::minstd_rand Random{7};
  double RequestsPerSecond = 90;
  double OldErrors = 0.01;
  bool StoreDown = false;
  bool HasNewTargets = true;

  std::uint64_t Requests = 0;
  std::uint64_t ToNew = 0;
  std::uint64_t Bad = 0;
  std::optional<TimePoint> RollbackDueAt;
  TimePoint LastNewAt{};
  std::optional<TimePoint> DoneAt;
  std::optional<TimePoint> RolledBackAt;
  TimePoint OrderedAt;

  MovingFleet(std::size_t Count, Duration Within) : OrderedAt(Clock.Now) {
    this->Order.Order = {ServiceName{"records"}, VersionName{"v2"}, Within};
    this->Order.Revision = StoreRevision{10};
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->addMember("node-" + std::to_string(Index));
  }

  void addMember(const std::string &Name) {
    Member Next{Name,
                ServiceMove(NodeName{Name}, Exposure),
                makeRef<MoveTraffic>(VersionName{"v2"}, this->draw()),
                {},
                {},
                {}};
    Next.Move.handle(this->Order, this->Clock);
    Next.Traffic->setShare(Next.Move.share());
    this->Members.push_back(std::move(Next));
  }

  double draw() {
    return static_cast<double>(this->Random() % 100000) / 100000;
  }

  void request(const NewVersion &Version) {
    std::vector<Member *> AliveMembers;
    for (Member &Node : this->Members)
      if (Node.Alive)
        AliveMembers.push_back(&Node);
    if (AliveMembers.empty())
      return;
    Member &Served = *AliveMembers[this->Random() % AliveMembers.size()];
    const int Route = static_cast<int>(this->Random() % 3);
    const RouteName Name{"route-" + std::to_string(Route)};
    ++this->Requests;
    if (!Served.Traffic->assignNextToNew()) {
      Served.Traffic->count(Name, false,
                            this->draw() < this->OldErrors
                                ? AnswerQuality::Error
                                : AnswerQuality::Good);
      return;
    }
    ++this->ToNew;
    this->LastNewAt = this->Clock.Now;
    const AnswerQuality Quality =
        Version(this->Clock.Now - this->OrderedAt, Served.Traffic->share(),
                Route, this->draw());
    Served.Traffic->count(Name, true, Quality);
    if (Quality != AnswerQuality::Good && ++this->Bad == BadUntilRollback)
      this->RollbackDueAt = this->Clock.Now;
  }

  void write(const WriteMoveReport &Effect) {
    if (this->StoreDown || Effect.Base != this->Order.Revision)
      return;
    this->Order.Report = Effect.Report;
    this->Order.Revision = StoreRevision{this->Order.Revision.Number + 1};
    if (Effect.Report.Status == MoveStatus::Done)
      this->DoneAt = this->Clock.Now;
    if (Effect.Report.Status == MoveStatus::RolledBack)
      this->RolledBackAt = this->Clock.Now;
    for (Member &Node : this->Members)
      if (Node.Alive)
        Node.Move.handle(this->Order, this->Clock);
  }

  void tick(std::size_t Index) {
    Member &Node = this->Members[Index];
    const auto Rank = static_cast<std::uint32_t>(Index);
    std::vector<ServiceMoveEffect> Effects;
    const auto Handle = [&](const ServiceMoveEvent &Event) {
      for (const ServiceMoveEffect &Effect :
           Node.Move.handle(Event, this->Clock))
        Effects.push_back(Effect);
    };
    Handle(NodeMoveCounts{NodeName{Node.Name}, 1, Node.Traffic->tally()});
    if (!this->StoreDown && this->Clock.Now - Node.ReadAt >=
                                800 * Millisecond + 750 * Millisecond * Rank) {
      Node.ReadAt = this->Clock.Now;
      for (const Member &Other : this->Members)
        if (Other.Name != Node.Name)
          Handle(NodeMoveCounts{NodeName{Other.Name}, 1, Other.Published});
    }
    Handle(MoveTimePassed{this->HasNewTargets, Rank});
    for (const ServiceMoveEffect &Effect : Effects)
      this->write(std::get<WriteMoveReport>(Effect));
    if (!this->StoreDown &&
        this->Clock.Now - Node.PublishedAt >= 400 * Millisecond) {
      Node.PublishedAt = this->Clock.Now;
      Node.Published = Node.Traffic->tally();
    }
  }

  void run(Duration Time, const NewVersion &Version) {
    const Duration Step = 10 * Millisecond;
    double Due = 0;
    for (Duration Passed{}; Passed < Time; Passed += Step) {
      this->Clock.Now += Step;
      this->Clock.Wall += std::chrono::milliseconds(10);
      for (Due += this->RequestsPerSecond * 0.01; Due >= 1; --Due)
        this->request(Version);
      // The ticks of the nodes are staggered.
      for (std::size_t Index = 0; Index < this->Members.size(); ++Index)
        if (this->Members[Index].Alive &&
            (Passed + Step * static_cast<int>(Index % 25)) %
                    (250 * Millisecond) ==
                Duration::zero())
          this->tick(Index);
      for (Member &Node : this->Members)
        Node.Traffic->setShare(Node.Move.share());
    }
  }

  Duration within() const { return this->Order.Order.Within; }

  void checkExposure() const {
    CAPTURE(this->ToNew, this->Requests, this->Bad);
    CHECK(static_cast<double>(this->ToNew) <=
          Exposure * static_cast<double>(this->Requests) + ExposureSlack);
    if (this->RollbackDueAt)
      CHECK(this->LastNewAt - *this->RollbackDueAt <= RollbackTime);
  }
};

AnswerQuality good(Duration, double, int, double Draw) {
  return Draw < 0.01 ? AnswerQuality::Error : AnswerQuality::Good;
}

} // namespace

SCENARIO("a service moves to a good version", "[move]") {
  for (const Duration Within : {12 * Second, 30 * Second})
    for (const double Rate : {5.0, 22.0, 90.0})
      for (const std::size_t Nodes : {std::size_t(1), std::size_t(7)}) {
        GIVEN("a version as good as the old one, " +
              std::to_string(Within / Second) + " s, " + std::to_string(Rate) +
              " requests/s, " + std::to_string(Nodes) + " nodes") {
          MovingFleet Fleet(Nodes, Within);
          Fleet.RequestsPerSecond = Rate;
          Fleet.run(Within, good);
          THEN("the move is done in time, and every node sends it all "
               "requests") {
            REQUIRE(Fleet.DoneAt);
            CHECK(*Fleet.DoneAt - Fleet.OrderedAt <= Within);
            for (const MovingFleet::Member &Node : Fleet.Members)
              CHECK(Node.Move.share() == 1);
          }
        }
      }

  GIVEN("nodes of the lowest ranks that end during the trial") {
    MovingFleet Fleet(7, 30 * Second);
    Fleet.run(8 * Second, good);
    for (std::size_t Index = 0; Index < 3; ++Index)
      Fleet.Members[Index].Alive = false;
    Fleet.run(22 * Second, good);
    THEN("another node writes the steps") { CHECK(Fleet.DoneAt); }
  }

  GIVEN("a node that starts during the move") {
    MovingFleet Fleet(3, 30 * Second);
    Fleet.run(20 * Second, good);
    Fleet.addMember("node-late");
    THEN("it takes the step from the store") {
      CHECK(Fleet.Members.back().Move.share() ==
            Fleet.Members.front().Move.share());
    }
  }

  GIVEN("a new version without serving targets") {
    MovingFleet Fleet(3, 12 * Second);
    Fleet.HasNewTargets = false;
    Fleet.run(12 * Second, good);
    THEN("the move is rolled back before its deadline") {
      REQUIRE(Fleet.RolledBackAt);
      CHECK(*Fleet.RolledBackAt - Fleet.OrderedAt <= Fleet.within());
    }
  }
}

SCENARIO("a bad version is rolled back", "[move]") {
  struct Kind {
    const char *Name;
    NewVersion Version;
  };
  const std::vector<Kind> Kinds = {
      {"fails from the start",
       [](Duration, double, int, double Draw) {
         return Draw < 0.4 ? AnswerQuality::Error : AnswerQuality::Good;
       }},
      {"is slow from the start",
       [](Duration, double, int, double Draw) {
         return Draw < 0.8 ? AnswerQuality::Slow : AnswerQuality::Good;
       }},
      {"fails later",
       [](Duration Age, double, int, double Draw) {
         return Age > 4 * Second && Draw < 0.4 ? AnswerQuality::Error
                                               : AnswerQuality::Good;
       }},
      {"fails under load",
       [](Duration, double Share, int, double Draw) {
         return Share > 0.2 && Draw < 0.5 ? AnswerQuality::Error
                                          : AnswerQuality::Good;
       }},
      {"fails on one route",
       [](Duration, double, int Route, double Draw) {
         return Route == 1 && Draw < 0.6 ? AnswerQuality::Error
                                         : AnswerQuality::Good;
       }},
  };
  for (const Kind &Fault : Kinds)
    for (const Duration Within : {12 * Second, 30 * Second})
      for (const double Rate : {22.0, 90.0}) {
        GIVEN("a version that " + std::string(Fault.Name) + ", " +
              std::to_string(Within / Second) + " s, " + std::to_string(Rate) +
              " requests/s") {
          MovingFleet Fleet(7, Within);
          Fleet.RequestsPerSecond = Rate;
          Fleet.run(Within, Fault.Version);
          THEN("it is rolled back in time and got a small share of requests") {
            CHECK(Fleet.RolledBackAt);
            CHECK(!Fleet.DoneAt);
            Fleet.checkExposure();
          }
        }
      }

  GIVEN("a store that fails at the start of the move") {
    MovingFleet Fleet(7, 30 * Second);
    Fleet.run(1 * Second, Kinds[0].Version);
    Fleet.StoreDown = true;
    Fleet.run(29 * Second, Kinds[0].Version);
    THEN("each node rolls it back for itself") {
      CHECK(!Fleet.RolledBackAt);
      for (const MovingFleet::Member &Node : Fleet.Members)
        CHECK(Node.Move.share() <= Exposure);
      CHECK(static_cast<double>(Fleet.ToNew) <=
            Exposure * static_cast<double>(Fleet.Requests) + ExposureSlack);
    }
    WHEN("the store is back") {
      Fleet.StoreDown = false;
      Fleet.run(2 * Second, Kinds[0].Version);
      THEN("it is rolled back for all") { CHECK(Fleet.RolledBackAt); }
    }
  }
}

// Guards against requests to a version that was rolled back, or to
// targets that have stopped, after the store has lost the end of the move.
SCENARIO("a restored store lacks the end of a move", "[move]") {
  struct Kind {
    const char *Name;
    bool HasNewTargets;
    MoveStatus End;
  };
  for (const Kind &Case : {Kind{"done", true, MoveStatus::Done},
                           Kind{"rolled back", false, MoveStatus::RolledBack}})
    GIVEN("a move that was " + std::string(Case.Name)) {
      MovingFleet Fleet(3, 12 * Second);
      Fleet.HasNewTargets = Case.HasNewTargets;
      Fleet.run(12 * Second, good);
      REQUIRE(Fleet.Order.Report->Status == Case.End);
      const double Share = Fleet.Members.front().Move.share();
      WHEN("the store comes back with an earlier report, or with none") {
        const bool HasReport = GENERATE(true, false);
        Fleet.Order.Revision = StoreRevision{5, 1};
        Fleet.Order.Report->Status = MoveStatus::UnderWay;
        Fleet.Order.Report->Step = MoveStep::Trial;
        if (!HasReport)
          Fleet.Order.Report.reset();
        for (MovingFleet::Member &Node : Fleet.Members)
          Node.Move.handle(Fleet.Order, Fleet.Clock);
        THEN("all nodes stay at the end, which is written again") {
          for (const MovingFleet::Member &Node : Fleet.Members)
            CHECK(Node.Move.share() == Share);
          Fleet.run(2 * Second, good);
          REQUIRE(Fleet.Order.Report);
          CHECK(Fleet.Order.Report->Status == Case.End);
          for (const MovingFleet::Member &Node : Fleet.Members)
            CHECK_FALSE(Node.Move.hasUnstoredEnd());
        }
      }
    }
}

SCENARIO("requests are assigned to a new version by its share", "[move]") {
  MoveTraffic Traffic(VersionName{"v2"}, 0.5);
  GIVEN("a share of 0.04") {
    Traffic.setShare(0.04);
    THEN("of any number of requests it gets its share, rounded") {
      int Turns = 0;
      for (int Count = 1; Count <= 1000; ++Count) {
        Turns += Traffic.assignNextToNew() ? 1 : 0;
        CHECK(std::abs(Turns - 0.04 * Count) <= 1);
      }
    }
  }
  GIVEN("a version that was rolled back") {
    Traffic.setShare(0);
    THEN("it gets none") {
      for (int Count = 0; Count < 1000; ++Count)
        CHECK(!Traffic.assignNextToNew());
    }
  }
}

SCENARIO("requests choose between the versions of a moving service",
         "[move][scatter]") {
  PathWorld World(singleRoute(true, 3));
  const ServiceNumber Service = World.addService("records");
  KnownTarget &Old = World.addTarget(Service, "old");
  TargetInfo Info = Old.Info;
  Info.Id.Text = "new";
  Info.Version.Text = "v2";
  const auto New = makeRef<KnownTarget>(Info);
  World.View->Services[Service].Targets.push_back(New);
  const auto Traffic = makeRef<MoveTraffic>(VersionName{"v2"}, 0.0);
  World.View->Services[Service].Move = Traffic;

  GIVEN("a version in trial") {
    Traffic->setShare(0.25);
    THEN("it gets its share") {
      int ToNew = 0;
      for (int Count = 0; Count < 100; ++Count) {
        RunningRequest Run(World);
        Run.tell(ScatterStarted{});
        ToNew += &Run.Decisions.targetOf(0) == New.get() ? 1 : 0;
      }
      CHECK(ToNew == 25);
    }
    AND_GIVEN("an old target that is unreachable") {
      Old.setReach(Reach::Down);
      THEN("the new version gets no more than its share") {
        int Refused = 0;
        for (int Count = 0; Count < 100; ++Count) {
          RunningRequest Run(World);
          Run.tell(ScatterStarted{});
          Refused += Run.Decisions.finished() ? 1 : 0;
        }
        CHECK(Refused == 75);
      }
    }
  }
  GIVEN("a version that gets all requests, but has no usable target") {
    Traffic->setShare(1);
    New->setReach(Reach::Down);
    THEN("the old version serves") {
      RunningRequest Run(World);
      Run.tell(ScatterStarted{});
      CHECK(&Run.Decisions.targetOf(0) == &Old);
    }
  }
  GIVEN("answers of the new version") {
    Traffic->setShare(1);
    const auto Sum = [&] {
      VersionTally Result;
      for (const RouteTally &Place : Traffic->tally()) {
        Result.Answers += Place.New.Answers;
        Result.Errors += Place.New.Errors;
        Result.Slow += Place.New.Slow;
      }
      return Result;
    };
    RunningRequest Run(World);
    Run.startAndSend();
    WHEN("it answers in the usual time") {
      Run.answer(0, "receipt");
      THEN("the answer is good") { CHECK(Sum() == VersionTally{1, 0, 0}); }
    }
    WHEN("it answers several times later") {
      Run.pass(4 * World.View->Stats[0]->Median.value());
      Run.answer(0, "receipt");
      THEN("the answer is slow") { CHECK(Sum() == VersionTally{1, 0, 1}); }
    }
    WHEN("it fails") {
      Run.failWith(0, 500);
      THEN("the answer is an error") { CHECK(Sum() == VersionTally{1, 1, 0}); }
    }
    WHEN("it rejects the request") {
      Run.reject(0);
      THEN("the answer is not counted for the version") {
        CHECK(Sum() == VersionTally{0, 0, 0});
      }
    }
    WHEN("it is cold") {
      New->setColdUntil(World.Now + Second);
      Run.failWith(0, 500);
      THEN("the answer is not counted for the version") {
        CHECK(Sum() == VersionTally{0, 0, 0});
      }
    }
  }
}

SCENARIO("counts of a move pass through the store", "[move]") {
  SharedCounts Counts;
  Counts.Service.Text = "records";
  Counts.To.Text = "v2";
  Counts.Counts.Node.Text = "node-1";
  Counts.Counts.Incarnation = 77;
  Counts.Counts.Tally[3] = {{10, 2, 1}, {90, 0, 4}};
  GIVEN("what a node wrote") {
    const Expected<SharedCounts> Read = decodeCounts(encodeCounts(Counts));
    THEN("it is read back unchanged") {
      REQUIRE(Read);
      CHECK(Read->Service == Counts.Service);
      CHECK(Read->To == Counts.To);
      CHECK(Read->Counts.Node == Counts.Counts.Node);
      CHECK(Read->Counts.Incarnation == 77);
      CHECK(Read->Counts.Tally == Counts.Counts.Tally);
    }
  }
  GIVEN("content of another writer") {
    THEN("it is refused") {
      CHECK(!decodeCounts(nlohmann::json(3)));
      CHECK(!decodeCounts({{"service", "records"}}));
      nlohmann::json Row = encodeCounts(Counts);
      Row["rows"][0][0] = TallyBuckets;
      CHECK(!decodeCounts(Row));
      Row["rows"][0] = {1, 2, -3, 4, 5, 6, 7};
      CHECK(!decodeCounts(Row));
    }
  }
}
