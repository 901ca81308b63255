#include "tests/VirtualFleet.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);

/// Runs 400 queries, one every 2 ms.
/// \returns the number of extra requests per first attempt.
double extraShare(std::uint32_t Seed, const VirtualFleet::Targets &Behaviour) {
  const WorldShape Shape{.Leaves = 20};
  VirtualFleet Fleet(Shape, Behaviour);
  constexpr std::uint32_t Queries = 400;
  for (std::uint32_t Query = 0; Query < Queries; ++Query)
    Fleet.submit(TimePoint{Duration(1'000'000)} + Query * 2 * Millisecond,
                 160 * Millisecond, 1.0, Seed * 1000 + Query);
  Fleet.run();
  REQUIRE(Fleet.results().size() == Queries);
  const double First = static_cast<double>(Queries) * Shape.Leaves;
  const double Extra = static_cast<double>(Fleet.leafRequests()) - First;
  CHECK(static_cast<double>(Fleet.budget().spent()) == Extra);
  return Extra / First;
}

} // namespace

// Guards against a budget that grants more than its share, without traffic or
// after a pause.
TEST_CASE("extra requests are paid by first attempts", "[budget]") {
  ExtraLoadBudget Budget;
  constexpr std::int64_t Advance = ExtraLoadBudget::AdvanceRequests;

  SECTION("a new process gets a small advance and no more") {
    for (std::int64_t Request = 0; Request < Advance; ++Request)
      CHECK(Budget.trySpend());
    CHECK_FALSE(Budget.trySpend());

    SECTION("which its first attempts pay back") {
      Budget.earn(Advance * 20);
      CHECK_FALSE(Budget.trySpend());
    }
  }

  SECTION("after that") {
    Budget.earn(Advance * 20);
    for (std::int64_t Request = 0; Request < Advance; ++Request)
      CHECK(Budget.trySpend());
    CHECK_FALSE(Budget.trySpend());

    SECTION("20 first attempts pay for one extra request") {
      Budget.earn(19);
      CHECK_FALSE(Budget.trySpend());
      Budget.earn(1);
      CHECK(Budget.trySpend());
      CHECK_FALSE(Budget.trySpend());
      CHECK(Budget.spent() == Advance + 1);
      CHECK(Budget.denied() == 3);
    }

    SECTION("a rule can lower the share but not raise it") {
      Budget.earn(100, 0.01);
      CHECK(Budget.trySpend());
      CHECK_FALSE(Budget.trySpend());
      Budget.earn(20, 1.0);
      CHECK(Budget.trySpend());
      CHECK_FALSE(Budget.trySpend());
    }
  }

  SECTION("at no time more than the share or the advance is granted") {
    for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
      boost::random::mt19937 Random(Seed);
      ExtraLoadBudget Seeded;
      for (int Step = 0; Step < 5000; ++Step) {
        if (Random() % 2 == 0)
          Seeded.earn(Random() % 30);
        else
          Seeded.trySpend();
        CHECK(Seeded.spent() <=
              std::max<std::uint64_t>(Advance, Seeded.firstAttempts() / 20));
      }
    }
  }

  SECTION("only a small burst can be saved up") {
    Budget.earn(1'000'000);
    std::int64_t Granted = 0;
    while (Budget.trySpend())
      ++Granted;
    CHECK(Granted == ExtraLoadBudget::BurstRequests);
  }

  SECTION("threads together get no more than the share") {
    std::atomic<std::uint64_t> Granted{0};
    std::vector<std::thread> Threads;
    for (int Thread = 0; Thread < 4; ++Thread)
      Threads.emplace_back([&] {
        for (int Round = 0; Round < 20000; ++Round) {
          Budget.earn(7);
          if (Budget.trySpend())
            ++Granted;
        }
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    CHECK(Granted <= 4 * 20000 * 7 / 20);
    CHECK(Granted == Budget.spent());
  }
}

// Guards against load amplification: hedges and retries must stay within their
// share when every target is slow or fails.
TEST_CASE("extra load stays within 5 percent", "[budget]") {
  for (std::uint32_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    boost::random::mt19937 Random(Seed);

    SECTION("when every target is slow, seed " + std::to_string(Seed)) {
      boost::random::exponential_distribution<> Millis(1.0 / 80);
      CHECK(extraShare(Seed, [&](const TargetRequest &) {
              return TargetAnswer{
                  Duration(static_cast<std::int64_t>(Millis(Random) * 1000))};
            }) <= ExtraLoadBudget::MaxShare);
    }

    SECTION("when every target fails at once, seed " + std::to_string(Seed)) {
      CHECK(extraShare(Seed, [&](const TargetRequest &) {
              return TargetAnswer{Millisecond, Code::TargetFailed};
            }) <= ExtraLoadBudget::MaxShare);
    }

    SECTION("when half of the requests are shed, seed " +
            std::to_string(Seed)) {
      boost::random::uniform_01<> Uniform;
      const double Share = extraShare(Seed, [&](const TargetRequest &) {
        return TargetAnswer{
            Millisecond, Uniform(Random) < 0.5 ? Code::TargetShed : Code::Ok};
      });
      CHECK(Share <= ExtraLoadBudget::MaxShare);
      CHECK(Share > 0.04);
    }

    SECTION("when no target answers, seed " + std::to_string(Seed)) {
      CHECK(extraShare(Seed, [&](const TargetRequest &) {
              return TargetAnswer{Duration(0), Code::Ok, false};
            }) <= ExtraLoadBudget::MaxShare);
    }
  }
}
