#include "tests/MoveWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

/// Maximum number of requests that may reach a bad version before it is judged:
/// 1% of the requests of the route plus four standard deviations, or
/// MinStepRequests plus the requests of one second at the raised share.
double maxExposedRequests(const MoveResult &Result) {
  double Share = MoveSteps[0] * Result.Requests;
  return std::max(MinStepRequests + 10, Share + 4 * std::sqrt(Share));
}

struct Totals {
  int Runs = 0;
  int RolledBack = 0;
  int Overexposed = 0;
  int AfterRollback = 0;
};

Totals runAll(const MoveSettings &Settings, int Runs) {
  Totals Sum;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    MoveResult Result = runMove(Settings, Seed);
    ++Sum.Runs;
    Sum.RolledBack += Result.Status == MoveStatus::RolledBack;
    Sum.Overexposed += Result.FirstStepNew > maxExposedRequests(Result);
    Sum.AfterRollback += Result.NewAfterRollback > 0;
  }
  return Sum;
}

MoveRule ruleTo(const std::string &Version) {
  MoveRule Rule;
  Rule.To = {Version};
  Rule.By = WallTime(1790003600s);
  return Rule;
}

MoveTick tickAt(Duration Passed, bool Leads = true, std::uint64_t Epoch = 1) {
  return {TimePoint(1h) + Passed,
          WallTime(1790000000s) +
              std::chrono::duration_cast<std::chrono::milliseconds>(Passed),
          Leads, Epoch};
}

template <typename Effect>
const Effect *find(const std::vector<MoveEffect> &Effects) {
  for (const MoveEffect &Item : Effects)
    if (const auto *Found = std::get_if<Effect>(&Item))
      return Found;
  return nullptr;
}

const RouteKey Route{{"depot"}, {"find"}};

/// Feeds a move with the counts of one second and ticks it.
class Counter {
public:
  Evidence Old{{"east-2"}, 1, Route.Service, Route.Route, {"v1"}, 0, 0, 0};
  Evidence New{{"east-2"}, 1, Route.Service, Route.Route, {"v2"}, 0, 0, 0};

  std::vector<MoveEffect> second(VersionMove &Move, std::uint64_t Requests,
                                 std::uint64_t NewErrors, bool Leads,
                                 std::uint64_t Epoch = 1) {
    Move.handle(MoveCounts{this->Old});
    Move.handle(MoveCounts{this->New});
    this->Old.Requests += Requests;
    this->New.Requests += Requests;
    this->New.Errors += NewErrors;
    Move.handle(MoveCounts{this->Old});
    Move.handle(MoveCounts{this->New});
    return Move.handle(tickAt(this->Passed += 1s, Leads, Epoch));
  }

  Duration Passed{};
};

} // namespace

// Guards against a bad version that gets more than its small share of the
// traffic, or any traffic after the evidence has crossed the threshold.
TEST_CASE("a bad version is rolled back", "[moves]") {
  constexpr int Runs = 100;
  MoveSettings Settings;
  Settings.Rate = 60;

  SECTION("that fails from the start") {
    Settings.Extra = {0.3, 0};
    Totals Sum = runAll(Settings, Runs);
    CHECK(Sum.RolledBack == Runs);
    CHECK(Sum.Overexposed == 0);
    CHECK(Sum.AfterRollback == 0);
    SECTION("at night too") {
      Settings.Rate = 1;
      Settings.Limit = 4h;
      Totals Night = runAll(Settings, Runs);
      CHECK(Night.RolledBack == Runs);
      CHECK(Night.Overexposed == 0);
      CHECK(Night.AfterRollback == 0);
    }
  }
  SECTION("that fails slightly more often from the start") {
    Settings.Extra = {BadIncrease, 0};
    Totals Sum = runAll(Settings, Runs);
    CHECK(Sum.RolledBack == Runs);
    CHECK(Sum.Overexposed == 0);
    CHECK(Sum.AfterRollback == 0);
  }
  SECTION("that is slow") {
    Settings.Extra = {0, BadIncrease};
    Totals Sum = runAll(Settings, Runs);
    CHECK(Sum.RolledBack == Runs);
    CHECK(Sum.Overexposed == 0);
  }
  SECTION("that fails only later") {
    for (Duration Later : {Duration(2min), Duration(6min), Duration(12min)}) {
      CAPTURE(Later.count());
      Settings.Extra = {0.1, 0};
      Settings.From = Later;
      Totals Sum = runAll(Settings, Runs);
      CHECK(Sum.RolledBack == Runs);
      CHECK(Sum.AfterRollback == 0);
    }
  }
  SECTION("that is slow under load only") {
    // The load passes this rate about half an hour into the move.
    Settings.Rate = 10;
    Settings.Limit = 2h;
    Settings.Extra = {0, 0.2};
    Settings.MinFaultyRate = 14;
    Totals Sum = runAll(Settings, Runs);
    CHECK(Sum.RolledBack == Runs);
    CHECK(Sum.AfterRollback == 0);
  }
  SECTION("on one route only, while another route moves on") {
    Settings.Extra = {0.2, 0};
    CHECK(runMove(Settings, 1).Status == MoveStatus::RolledBack);
    Settings.Extra = {};
    CHECK(runMove(Settings, 1).Status == MoveStatus::Done);
  }
  SECTION("while the platform is down") {
    Settings.Extra = {0.3, 0};
    Settings.From = 20s;
    Settings.PlatformDownFrom = 10s;
    Settings.PlatformDownFor = 2h;
    Totals Sum = runAll(Settings, Runs);
    CHECK(Sum.RolledBack == Runs);
    CHECK(Sum.AfterRollback == 0);
  }
}

// Guards against a move that misses its deadline, and against a step forward
// without evidence, without the lease or while the platform is down.
TEST_CASE("a good version is moved in time", "[moves]") {
  MoveSettings Settings;
  SECTION("by day and at night") {
    for (double Rate : {100.0, 5.0, 0.5}) {
      CAPTURE(Rate);
      Settings.Rate = Rate;
      Settings.Limit = 6h;
      int Done = 0;
      for (int Seed = 1; Seed <= 50; ++Seed) {
        MoveResult Result = runMove(Settings, Seed);
        Done += Result.InTime && Result.Status == MoveStatus::Done;
      }
      CHECK(Done >= 48);
    }
  }
  SECTION("but not without evidence") {
    Settings.Rate = 0;
    MoveResult Result = runMove(Settings, 1);
    CHECK(Result.Status == MoveStatus::UnderWay);
    CHECK(Result.HighestStep == 0);
  }
  SECTION("but not without the lease") {
    Settings.Leads = false;
    CHECK(runMove(Settings, 1).HighestStep == 0);
  }
  SECTION("and does not advance while the platform is down") {
    Settings.Rate = 100;
    Settings.PlatformDownFrom = 5s;
    Settings.PlatformDownFor = 2h;
    CHECK(runMove(Settings, 1).HighestStep == 0);
  }
}

// Guards against a version that returns after a rollback, and against two
// processes that both step forward.
TEST_CASE("a move follows its stored state", "[moves]") {
  VersionMove Move({"east-1"}, Route, ruleTo("v2"), {"v1"});
  Counter Counts;
  CHECK(Move.mustLoad());
  CHECK(Move.handle(tickAt(0s)).empty());
  Move.handle(MoveAbsent{});

  auto Effects = Move.handle(tickAt(0s));
  const auto *First = find<WriteMove>(Effects);
  REQUIRE(First);
  CHECK(First->State.Version == 0);
  CHECK(First->State.Share == MoveSteps[0]);
  MoveState State = First->State;
  State.Version = 5;
  Move.handle(MoveLoaded{State});

  SECTION("the state is read back as it was written") {
    CHECK(toJson(*parseMoveState(toJson(State))) == toJson(State));
    CHECK(splitOf(State).NextShare == MoveSteps[0]);
    std::string Text = toJson(State);
    Text.replace(Text.find("under way"), 9, "finished!");
    CHECK(parseMoveState(Text).error().Value == Code::PlatformMalformed);
  }
  SECTION("the judge finds it bad") {
    std::vector<MoveEffect> Found;
    for (int Second = 0; Second < 20 && !find<AnnounceRollback>(Found);
         ++Second)
      Found = Counts.second(Move, 20, 10, true);
    const auto *Announced = find<AnnounceRollback>(Found);
    const auto *Written = find<WriteMove>(Found);
    REQUIRE(Announced);
    REQUIRE(Written);
    CHECK(Written->State.Status == MoveStatus::RolledBack);
    CHECK(Written->State.Version == 5);
    CHECK_FALSE(Written->State.Reason.empty());
    CHECK(splitOf(Written->State).NextShare == 0);

    SECTION(
        "while the platform is down, the write is repeated, not the notice") {
      auto Again = Counts.second(Move, 0, 0, false);
      CHECK(find<WriteMove>(Again));
      CHECK_FALSE(find<AnnounceRollback>(Again));
    }
    SECTION("a newer state without the rollback is rolled back too") {
      State.Version = 6;
      State.Step = 2;
      Move.handle(MoveLoaded{State});
      auto Again = Counts.second(Move, 0, 0, false);
      REQUIRE(find<WriteMove>(Again));
      CHECK(find<WriteMove>(Again)->State.Version == 6);
    }
    SECTION("it stays rolled back for the same rule") {
      MoveState Back = Written->State;
      Back.Version = 6;
      VersionMove Later({"west-1"}, Route, ruleTo("v2"), {"v1"});
      Later.handle(MoveLoaded{Back});
      for (int Second = 0; Second < 100; ++Second)
        CHECK(Counts.second(Later, 50, 0, true).empty());
    }
    SECTION("a changed rule starts again from the first step") {
      MoveState Back = Written->State;
      Back.Version = 6;
      MoveRule Changed = ruleTo("v2");
      Changed.By += 1s;
      VersionMove Later({"west-1"}, Route, Changed, {"v1"});
      Later.handle(MoveLoaded{Back});
      auto Started = Later.handle(tickAt(100s));
      REQUIRE(find<WriteMove>(Started));
      CHECK(find<WriteMove>(Started)->State.Step == 0);
      CHECK(find<WriteMove>(Started)->State.Version == 6);
    }
  }
  SECTION("a process without the lease rolls it back too") {
    std::vector<MoveEffect> Found;
    for (int Second = 0; Second < 20 && !find<AnnounceRollback>(Found);
         ++Second)
      Found = Counts.second(Move, 20, 10, false);
    CHECK(find<AnnounceRollback>(Found));
  }
  SECTION("without the lease good evidence changes nothing") {
    for (int Second = 0; Second < 100; ++Second)
      CHECK(Counts.second(Move, 50, 0, false).empty());
    SECTION("with it, the next step follows") {
      auto Found = Counts.second(Move, 50, 0, true);
      REQUIRE(find<WriteMove>(Found));
      CHECK(find<WriteMove>(Found)->State.Step == 1);
    }
  }
  SECTION("another process rolled it back") {
    auto Found = Move.handle(MoveRolledBackElsewhere{"slow"});
    REQUIRE(find<WriteMove>(Found));
    CHECK(find<WriteMove>(Found)->State.Reason == "slow");
    CHECK_FALSE(find<AnnounceRollback>(Found));
  }
  SECTION("the rule is removed") {
    auto Found = Move.handle(MoveRuleRemoved{});
    REQUIRE(find<WriteMove>(Found));
    CHECK(find<WriteMove>(Found)->State.Status == MoveStatus::RolledBack);
  }
  SECTION("a new judge writes its epoch before anything else") {
    auto Found = Counts.second(Move, 0, 0, true, 2);
    REQUIRE(find<WriteMove>(Found));
    CHECK(find<WriteMove>(Found)->State.Epoch == 2);
    CHECK(find<WriteMove>(Found)->State.Step == 0);
  }
}

// Guards against a process that was paused and acts on a lease that another one
// has taken over.
TEST_CASE("a lease is taken over only after it expired", "[moves]") {
  TimePoint Now(1h);
  MoveLease First({"east-1"});
  MoveLease Second({"east-2"});
  CHECK(First.mustRead(Now));
  First.seenAbsent(Now);
  CHECK(First.due(Now) == 1);
  First.written(1, 7, Now);
  CHECK(First.holds(Now));
  Second.seen({"east-1"}, 1, 7, Now);

  SECTION("it is renewed with the same epoch") {
    CHECK_FALSE(First.due(Now + 1s));
    CHECK(First.due(Now + MoveLease::RenewPeriod) == 1);
  }
  SECTION("others wait while it is renewed") {
    CHECK_FALSE(Second.due(Now + 9s));
    Second.seen({"east-1"}, 1, 8, Now + 9s);
    CHECK_FALSE(Second.due(Now + 18s));
  }
  SECTION("the holder is paused") {
    TimePoint Later = Now + MoveLease::LeaseTime;
    CHECK(Second.due(Later) == 2);
    Second.written(2, 8, Later);
    CHECK(Second.holds(Later));
    CHECK_FALSE(First.holds(Later));
    CHECK_FALSE(First.holds(Now + MoveLease::TrustTime));
  }
  SECTION("the lease is trusted from the time of the request") {
    First.written(1, 9, Now + 3s);
    CHECK_FALSE(First.holds(Now + 3s + MoveLease::TrustTime));
  }
  SECTION("a restarted process takes its own lease with a new epoch") {
    MoveLease Restarted({"east-1"});
    Restarted.seen({"east-1"}, 1, 7, Now);
    CHECK_FALSE(Restarted.holds(Now));
    CHECK(Restarted.due(Now) == 2);
  }
}
