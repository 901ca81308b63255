#include "balsamyard/Process"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint Poison{666};
constexpr Fingerprint Harmless{1};

TargetIncarnation life(SlotIndex Slot, std::uint64_t Generation = 0) {
  return {{{"permits"}, 0, Slot}, Generation};
}

} // namespace

TEST_CASE("a request that crashes targets is quarantined", "[quarantine]") {
  Quarantine Decision;
  TimePoint Now{1h};
  auto Crash = [&](const TargetIncarnation &Target,
                   std::vector<Fingerprint> Prints) {
    Now += 1s;
    return Decision.apply(TargetCrashed{Target, std::move(Prints)}, Now);
  };

  // Guards against a poison request that takes one target down after another.
  SECTION("after it crashed three targets") {
    CHECK(Crash(life(0), {Poison}).empty());
    CHECK(Crash(life(1), {Poison}).empty());
    CHECK_FALSE(Decision.holds(Poison, Now));
    const auto Effects = Crash(life(2), {Poison});
    REQUIRE(Effects.size() == 1);
    CHECK(std::get<AnnounceQuarantine>(Effects.front()).Print == Poison);
    CHECK(Decision.holds(Poison, Now));

    SECTION("and is released after 10 minutes") {
      Now += Quarantine::HoldTime - 1us;
      CHECK(Decision.holds(Poison, Now));
      Now += 1us;
      CHECK_FALSE(Decision.holds(Poison, Now));
      CHECK(Decision.held(Now).empty());
    }
  }

  SECTION("after it crashed two slots that came back") {
    Crash(life(0, 1), {Poison});
    Crash(life(1, 1), {Poison});
    CHECK(Crash(life(0, 2), {Poison}).size() == 1);
  }

  // Guards against several connections of one crash that count as several.
  SECTION("one crash counts once") {
    for (int Connection = 0; Connection < 10; ++Connection)
      CHECK(Crash(life(0), {Poison, Poison}).empty());
  }

  // Guards against a target that crashes on its own and blames its requests.
  SECTION("one slot alone blames nobody") {
    for (std::uint64_t Generation = 0; Generation < 20; ++Generation)
      CHECK(Crash(life(0, Generation), {Harmless}).empty());
  }

  // Guards against a popular request that is refused because a poison request
  // crashed the targets under it.
  SECTION("a popular harmless request is not blamed") {
    for (SlotIndex Slot = 0; Slot < 20; ++Slot) {
      for (int Success = 0; Success < 3; ++Success)
        Decision.apply(RequestSucceeded{Harmless}, Now);
      Crash(life(Slot), {Harmless, Poison});
      for (int Success = 0; Success < 3; ++Success)
        Decision.apply(RequestSucceeded{Harmless}, Now);
    }
    CHECK_FALSE(Decision.holds(Harmless, Now));
    CHECK(Decision.holds(Poison, Now));
  }

  SECTION("crashes that are more than a minute apart do not add up") {
    for (SlotIndex Slot = 0; Slot < 20; ++Slot) {
      Now += 31s;
      CHECK(Crash(life(Slot), {Poison}).empty());
    }
  }

  SECTION("what another process found is held for the remaining time") {
    Decision.apply(QuarantineReceived{Poison, 60s}, Now);
    CHECK(Decision.holds(Poison, Now + 59s));
    CHECK_FALSE(Decision.holds(Poison, Now + 60s));
    Decision.apply(QuarantineReceived{Poison, 24h}, Now);
    CHECK_FALSE(Decision.holds(Poison, Now + Quarantine::HoldTime));
  }

  // Guards against memory that grows with the number of requests in flight.
  SECTION("memory is bounded") {
    for (std::uint64_t Print = 0; Print < 10000; ++Print)
      Decision.apply(TargetCrashed{life(0), {Fingerprint{Print}}}, Now);
    CHECK(Decision.suspects() <= Quarantine::MaxEntries);
    for (std::uint64_t Print = 0; Print < 10000; ++Print)
      Decision.apply(QuarantineReceived{Fingerprint{Print}, 60s}, Now);
    CHECK(Decision.held(Now).size() <= Quarantine::MaxEntries);
    Now += 2min;
    Decision.apply(TargetCrashed{life(0), {}}, Now);
    CHECK(Decision.suspects() == 0);
  }
}

// Guards against both faults in mixed traffic: a poison request that stays, and
// harmless ones that are blamed.
TEST_CASE("poison is found among popular requests", "[quarantine][seeded]") {
  for (std::uint32_t Seed = 1; Seed <= 200; ++Seed) {
    INFO("seed " << Seed);
    boost::random::mt19937 Random(Seed);
    auto Draw = [&](std::uint32_t Most) {
      return boost::random::uniform_int_distribution<std::uint32_t>(0, Most)(
          Random);
    };
    Quarantine Decision;
    TimePoint Now{1h};
    std::array<std::uint64_t, 6> Generations{};
    std::uint32_t Crashes = 0;
    std::uint32_t UntilCrash = 50 + Draw(100);
    for (int Step = 0; Step < 3000 && !Decision.holds(Poison, Now); ++Step) {
      Now += 5ms;
      // Ten popular requests: each succeeds several times between two crashes.
      Decision.apply(RequestSucceeded{Fingerprint{1 + Draw(9)}}, Now);
      if (--UntilCrash > 0)
        continue;
      UntilCrash = 50 + Draw(100);
      const auto Slot = static_cast<SlotIndex>(Draw(5));
      Decision.apply(TargetCrashed{life(Slot, Generations[Slot]++),
                                   {Poison, Fingerprint{1 + Draw(9)},
                                    Fingerprint{1 + Draw(9)}}},
                     Now);
      ++Crashes;
    }
    CHECK(Decision.holds(Poison, Now));
    CHECK(Crashes <= 8);
    for (std::uint64_t Print = 1; Print <= 10; ++Print)
      CHECK_FALSE(Decision.holds(Fingerprint{Print}, Now));
  }
}
