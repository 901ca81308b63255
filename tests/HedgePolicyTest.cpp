#include "balsamyard/Request"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);

Duration exponential(boost::random::mt19937 &Random, double MeanMillis) {
  boost::random::exponential_distribution<> Millis(1.0 / MeanMillis);
  return Duration(static_cast<std::int64_t>(Millis(Random) * 1000) + 1);
}

} // namespace

// Guards against hedges that are sent too early, which spends the budget on
// ordinary answers, or too late to help.
TEST_CASE("the hedge delay follows the 95th percentile", "[hedge]") {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    boost::random::mt19937 Random(Seed);
    ServiceStats Stats;
    for (int Sample = 0; Sample < 5000; ++Sample)
      Stats.LeafTime.observe(exponential(Random, 10));
    // The 95th percentile of this distribution is 30 ms.
    std::uint32_t Above = 0;
    const Duration Delay = HedgePolicy::forService(Stats).Delay;
    for (int Sample = 0; Sample < 20000; ++Sample)
      Above += exponential(Random, 10) > Delay ? 1 : 0;
    CHECK(Above > 20000 * 0.02);
    CHECK(Above < 20000 * 0.10);

    SECTION("it rises soon when the service becomes slow, seed " +
            std::to_string(Seed)) {
      for (int Sample = 0; Sample < 200; ++Sample)
        Stats.LeafTime.observe(exponential(Random, 100));
      CHECK(HedgePolicy::forService(Stats).Delay > 150 * Millisecond);
    }

    SECTION("it never falls below the minimum, seed " + std::to_string(Seed)) {
      for (int Sample = 0; Sample < 20000; ++Sample)
        Stats.LeafTime.observe(Duration(20));
      CHECK(HedgePolicy::forService(Stats).Delay == HedgePolicy::MinDelay);
    }
  }
}

// Guards against missed checks for late leaves and against an unbounded number
// of them.
TEST_CASE("late leaves are looked for at a few points in time", "[hedge]") {
  const HedgePolicy Policy{10 * Millisecond};
  const TimePoint Started{Duration(1'000'000)};
  const TimePoint Deadline = Started + 1000 * Millisecond;

  SECTION("at the delay, at twice the delay, and then seldom") {
    TimePoint Now = Policy.nextCheck(Started, Deadline, Started);
    CHECK(Now == Started + 10 * Millisecond);
    Now = Policy.nextCheck(Started, Deadline, Now);
    CHECK(Now == Policy.partialAnswerTime(Started));
    CHECK(Policy.nextCheck(Started, Deadline, Now) - Now ==
          Duration(1'000'000) / 16);
  }

  SECTION("at most 18 times in all") {
    int Checks = 0;
    for (TimePoint Now = Started; Now < Deadline; ++Checks)
      Now = Policy.nextCheck(Started, Deadline, Now);
    CHECK(Checks <= 18);
  }

  SECTION("never after the deadline") {
    const TimePoint Soon = Started + 4 * Millisecond;
    CHECK(Policy.nextCheck(Started, Soon, Started) == Soon);
  }

  SECTION("a leaf is late by its newest attempt") {
    CHECK_FALSE(Policy.isLate(Started, Started + 9 * Millisecond));
    CHECK(Policy.isLate(Started, Started + 10 * Millisecond));
  }
}

// Guards against concurrent observations that corrupt the estimate.
TEST_CASE("many threads can feed one percentile", "[hedge]") {
  LatencyQuantile Quantile(0.95, 10 * Millisecond);
  std::vector<std::thread> Threads;
  for (std::uint32_t Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&, Thread] {
      boost::random::mt19937 Random(Thread + 1);
      for (int Sample = 0; Sample < 20000; ++Sample)
        Quantile.observe(exponential(Random, 10));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Quantile.value() > 20 * Millisecond);
  CHECK(Quantile.value() < 45 * Millisecond);
}
