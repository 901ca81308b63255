#pragma once

#include "balsamyard/src/Version/VersionMove.h"

#include <algorithm>
#include <boost/random/binomial_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <cmath>

namespace balsamyard {

/// \brief Fractions of failed and of slow answers.
struct BadShares {
  double Errors = 0;
  double Slow = 0;
};

/// \brief Settings of a simulated move of one route.
struct MoveSettings {
  double Rate = 20; ///< Requests per second of the route.
  Duration Limit = std::chrono::hours(1);
  BadShares Base{0.01, 0.01};  ///< Of the old version.
  BadShares Extra{};           ///< Added for the new version.
  Duration From{};             ///< Start of Extra.
  double MinFaultyRate = 0;    ///< Minimum rate for Extra.
  Duration PlatformDownFrom{}; ///< Start of an outage.
  Duration PlatformDownFor{};  ///< Length of the outage.
  bool Leads = true;
};

struct MoveResult {
  MoveStatus Status = MoveStatus::UnderWay;
  bool InTime = false;         ///< 100% was reached before the limit.
  double Requests = 0;         ///< Of the route while at the first step.
  double FirstStepNew = 0;     ///< Of these, to the new version.
  double NewAfterRollback = 0; ///< To the new version more than 5 s after the
                               ///< evidence crossed the threshold.
  Duration Length{};
  std::uint32_t HighestStep = 0;
};

/// \brief Time that a notice takes to reach the entry processes.
inline constexpr Duration NoticeTime = std::chrono::seconds(2);

/// \brief Simulates a move in virtual time, with seeded Poisson traffic that
/// two holders count, until it ends or half an hour after the limit.
inline MoveResult runMove(const MoveSettings &Settings, int Seed) {
  using namespace std::chrono_literals;
  boost::random::mt19937 Random(static_cast<std::uint32_t>(Seed));
  auto Poisson = [&](double Mean) {
    return Mean <= 0 ? 0
                     : boost::random::poisson_distribution<int>(Mean)(Random);
  };
  auto Binomial = [&](int Count, double Share) {
    return Count == 0 || Share <= 0 ? 0
                                    : boost::random::binomial_distribution<int>(
                                          Count, std::min(1.0, Share))(Random);
  };

  const WallTime Start(1790000000s);
  MoveRule Rule;
  Rule.To = {"v2"};
  Rule.By = Start + std::chrono::duration_cast<std::chrono::milliseconds>(
                        Settings.Limit);
  const RouteKey Route{{"depot"}, {"find"}};
  VersionMove Move({"east-1"}, Route, Rule, {"v1"});
  // A second judge with the same counts records when the threshold is crossed.
  VersionJudge Observer({"v1"}, {"v2"});
  Evidence Counts[2][2];
  for (int Holder = 0; Holder < 2; ++Holder)
    for (int Version = 0; Version < 2; ++Version) {
      Evidence &Sums = Counts[Holder][Version];
      Sums.From = {Holder ? "east-2" : "east-1"};
      Sums.Incarnation = 1;
      Sums.Service = Route.Service;
      Sums.Route = Route.Route;
      Sums.Version = {Version ? "v2" : "v1"};
      Move.handle(MoveCounts{Sums});
      Observer.add(Sums);
    }
  Move.handle(MoveAbsent{});

  MoveResult Result;
  std::uint64_t ObjectVersion = 0;
  std::optional<Duration> CrossedAt;
  std::optional<Duration> RollbackAt;
  for (Duration Passed{}; Passed < Settings.Limit + 30min; Passed += 1s) {
    // The rate varies by half over a period of an hour.
    double RateFactor =
        1 + 0.5 * std::sin(std::chrono::duration<double>(Passed).count() / 573);
    double Rate = Settings.Rate * RateFactor;
    double Share = 0;
    if (Move.state() && !(RollbackAt && Passed >= *RollbackAt + NoticeTime))
      Share = splitOf(*Move.state()).NextShare;
    bool Faulty = Passed >= Settings.From && Rate >= Settings.MinFaultyRate;
    for (auto &Holder : Counts)
      for (int Version = 0; Version < 2; ++Version) {
        Evidence &Sums = Holder[Version];
        int Requests = Poisson(Rate / 2 * (Version ? Share : 1 - Share));
        BadShares Bad = Settings.Base;
        if (Version && Faulty) {
          Bad.Errors += Settings.Extra.Errors;
          Bad.Slow += Settings.Extra.Slow;
        }
        Sums.Requests += static_cast<std::uint64_t>(Requests);
        Sums.Errors +=
            static_cast<std::uint64_t>(Binomial(Requests, Bad.Errors));
        Sums.Slow += static_cast<std::uint64_t>(Binomial(Requests, Bad.Slow));
        if (Move.state() && Move.state()->Step == 0) {
          Result.Requests += Requests;
          if (Version)
            Result.FirstStepNew += Requests;
        }
        if (Version && CrossedAt && Passed > *CrossedAt + 5s)
          Result.NewAfterRollback += Requests;
        Move.handle(MoveCounts{Sums});
        Observer.add(Sums);
      }
    Observer.closePeriod(TimePoint(1h) + Passed);
    if (!CrossedAt && Observer.judgement().Value == Verdict::Bad)
      CrossedAt = Passed;
    bool Down = Passed >= Settings.PlatformDownFrom &&
                Passed < Settings.PlatformDownFrom + Settings.PlatformDownFor;
    MoveTick Tick{
        TimePoint(1h) + Passed,
        Start + std::chrono::duration_cast<std::chrono::milliseconds>(Passed),
        Settings.Leads && !Down, 1};
    for (const MoveEffect &Effect : Move.handle(Tick)) {
      if (std::holds_alternative<AnnounceRollback>(Effect))
        RollbackAt = Passed;
      const auto *Write = std::get_if<WriteMove>(&Effect);
      if (!Write || Down)
        continue;
      MoveState Written = Write->State;
      Written.Version = ++ObjectVersion;
      Move.handle(MoveLoaded{Written});
    }
    if (!Move.state())
      continue;
    Result.Status = Move.state()->Status;
    Result.Length = Passed;
    Result.HighestStep = std::max(Result.HighestStep, Move.state()->Step);
    if (Move.state()->Step == MoveSteps.size() - 1 && Passed <= Settings.Limit)
      Result.InTime = true;
    if (Result.Status == MoveStatus::Done)
      break;
    // Continues after a rollback, to check that it is permanent.
    if (RollbackAt && Passed >= *RollbackAt + 20s)
      break;
  }
  if (RollbackAt)
    Result.Status = MoveStatus::RolledBack;
  return Result;
}

} // namespace balsamyard
