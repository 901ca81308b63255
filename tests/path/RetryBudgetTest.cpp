#include "balsamyard/src/Process/Discovery.h"
#include "tests/path/PathWorld.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <deque>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// Arrivals at one service, as the platform's rule counts them.
struct Arrivals {
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Extras;

  static std::size_t within(const std::deque<TimePoint> &Times, TimePoint From,
                            TimePoint To) {
    return static_cast<std::size_t>(
        std::upper_bound(Times.begin(), Times.end(), To) -
        std::upper_bound(Times.begin(), Times.end(), From));
  }

  /// Extra arrivals of the window that ends at \p Now, against requests of
  /// that window, the one before it or the one half a window before it.
  bool keepsTo(double Ratio, double Slack, TimePoint Now) const {
    const Duration Window = 10 * Second;
    std::size_t Most = 0;
    for (const Duration Before : {Duration(0), Window / 2, Window})
      Most = std::max(
          Most, within(this->Requests, Now - Window - Before, Now - Before));
    return static_cast<double>(within(this->Extras, Now - Window, Now)) <=
           Ratio * static_cast<double>(Most) + Slack;
  }
};

} // namespace

// Guards against more extra arrivals than the rule allows in any window,
// wherever it begins and however uneven the load is.
TEST_CASE("extra arrivals keep to the ratio in every window", "[budget]") {
  NodeSettings Settings;
  Settings.Bounds.RetryRatio = 0.2;
  Settings.Bounds.RetrySlack = 5;
  Discovery Known(Settings);
  Known.setNodes({Settings.Node});
  const RetryBounds Bounds = Known.build()->Shares.Retry;
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    boost::random::mt19937 Random(Seed);
    boost::random::uniform_int_distribution<> Dice(0, 199);
    RetryBudget Budget;
    Arrivals Seen;
    TimePoint Now{1000 * Second};
    bool Busy = true;
    std::size_t Broken = 0;
    for (int Step = 0; Step < 20000; ++Step) {
      Now += Duration((Busy ? 2 : 40) * 1000 + Dice(Random));
      if (Dice(Random) == 0)
        Busy = !Busy;
      Budget.countRequest(Now);
      Seen.Requests.push_back(Now);
      for (int Wish = 0; Wish < 2; ++Wish)
        if (Budget.trySpend(Bounds, Now))
          Seen.Extras.push_back(Now);
      Broken += Seen.keepsTo(0.2, 5, Now) ? 0 : 1;
    }
    CHECK(Broken == 0);
  }
}

SCENARIO("the budget follows the requests", "[budget]") {
  RetryBudget Budget;
  const RetryBounds Bounds{0.2, 2, 10 * Second};
  TimePoint Now{1000 * Second};
  GIVEN("a service without requests") {
    THEN("only the slack can be spent") {
      CHECK(Budget.trySpend(Bounds, Now));
      CHECK(Budget.trySpend(Bounds, Now));
      CHECK_FALSE(Budget.trySpend(Bounds, Now));
    }
  }
  GIVEN("a hundred requests") {
    for (int Request = 0; Request < 100; ++Request)
      Budget.countRequest(Now);
    THEN("a fifth of them and the slack can be spent") {
      int Spent = 0;
      while (Budget.trySpend(Bounds, Now))
        ++Spent;
      CHECK(Spent == 22);
      AND_THEN("everything comes back when the window has passed") {
        Now += 11 * Second;
        CHECK(Budget.trySpend(Bounds, Now));
      }
    }
  }
}
