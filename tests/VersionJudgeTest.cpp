#include "tests/MoveWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

// Guards against wrong counts in the judge, so that a fault is missed.
TEST_CASE("the judge compares both versions in the same period", "[moves]") {
  VersionJudge Judge({"v1"}, {"v2"});
  TimePoint Now(1h);
  Evidence Old{{"east-1"}, 1, {"depot"}, {"find"}, {"v1"}, 0, 0, 0};
  Evidence New{{"east-1"}, 1, {"depot"}, {"find"}, {"v2"}, 0, 0, 0};
  auto Second = [&](std::uint64_t Requests, std::uint64_t OldErrors,
                    std::uint64_t NewErrors) {
    Old.Requests += Requests;
    Old.Errors += OldErrors;
    New.Requests += Requests;
    New.Errors += NewErrors;
    Judge.add(Old);
    Judge.add(New);
    Judge.closePeriod(Now += 1s);
  };
  Second(0, 0, 0);

  SECTION("equal versions pass") {
    for (int Round = 0; Round < 10; ++Round)
      Second(50, 1, 1);
    CHECK(Judge.judgement().Value == Verdict::Good);
    CHECK(Judge.stepRequests() == 500);
    CHECK(Judge.requestRate() > 80);
  }
  SECTION("errors of the new version alone make it bad") {
    for (int Round = 0; Round < 10; ++Round)
      Second(50, 0, 10);
    Judgement Found = Judge.judgement();
    CHECK(Found.Value == Verdict::Bad);
    CHECK(Found.Reason.find("failed") != std::string::npos);
  }
  SECTION("errors of both versions do not") {
    for (int Round = 0; Round < 20; ++Round)
      Second(50, Round < 10 ? 0 : 25, Round < 10 ? 0 : 25);
    CHECK(Judge.judgement().Value != Verdict::Bad);
  }
  SECTION("a fault that begins late is detected as fast") {
    for (int Round = 0; Round < 1000; ++Round)
      Second(50, 0, 0);
    int Rounds = 0;
    while (Judge.judgement().Value != Verdict::Bad && Rounds < 100) {
      Second(50, 0, 5);
      ++Rounds;
    }
    CHECK(Rounds <= 5);
  }
  SECTION("a holder that restarts counts from 0") {
    Second(100, 0, 0);
    Old = {{"east-1"}, 2, {"depot"}, {"find"}, {"v1"}, 0, 0, 0};
    New = {{"east-1"}, 2, {"depot"}, {"find"}, {"v2"}, 0, 0, 0};
    Second(30, 0, 0);
    CHECK(Judge.stepRequests() == 130);
  }
  SECTION("impossible counts are ignored") {
    New.Requests = 10;
    New.Errors = 11;
    Judge.add(New);
    New.Errors = 0;
    Judge.add(New);
    New.Requests = 5;
    Judge.add(New);
    Judge.closePeriod(Now += 1s);
    CHECK(Judge.stepRequests() == 10);
  }
}

// Guards against good versions that are rolled back and bad ones that are let
// through. Bad means 5 percentage points more errors or slow answers.
TEST_CASE("error rates of the judgement over seeded moves", "[moves]") {
  struct Kind {
    const char *Name;
    double Rate;
    double Base;
  };
  constexpr int Runs = 1000;
  for (const Kind &Traffic :
       {Kind{"high traffic", 60, 0.01}, Kind{"medium traffic", 10, 0.02},
        Kind{"night traffic", 1, 0.01}}) {
    CAPTURE(Traffic.Name);
    MoveSettings Settings;
    Settings.Rate = Traffic.Rate;
    Settings.Base = {Traffic.Base, Traffic.Base};
    Settings.Limit = Traffic.Rate < 5 ? Duration(4h) : Duration(1h);

    int RolledBack = 0;
    int Late = 0;
    for (int Seed = 1; Seed <= Runs; ++Seed) {
      MoveResult Result = runMove(Settings, Seed);
      RolledBack += Result.Status == MoveStatus::RolledBack;
      Late += Result.Status != MoveStatus::RolledBack && !Result.InTime;
    }
    int LetThrough = 0;
    int Open = 0;
    for (int Seed = 1; Seed <= Runs; ++Seed) {
      MoveSettings Bad = Settings;
      if (Seed % 2)
        Bad.Extra = {BadIncrease, 0};
      else
        Bad.Extra = {0, BadIncrease};
      MoveResult Result = runMove(Bad, Seed + Runs);
      LetThrough += Result.Status == MoveStatus::Done ||
                    (Result.Status == MoveStatus::UnderWay &&
                     Result.HighestStep == MoveSteps.size() - 1);
      Open += Result.Status == MoveStatus::UnderWay;
    }
    WARN(Traffic.Name << ": " << RolledBack << " of " << Runs
                      << " good versions taken back, " << Late << " late, "
                      << LetThrough << " of " << Runs
                      << " bad versions let through, " << Open
                      << " not judged by then");
    CHECK(RolledBack <= Runs / 100);
    CHECK(LetThrough <= Runs / 100);
    CHECK(Late <= Runs / 100);
  }
}
