#include "balsamyard/Process"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint Poison{666};
constexpr Fingerprint Harmless{1};

TargetIncarnation incarnation(SlotIndex Slot, std::uint64_t Generation = 0) {
  return {{{"permits"}, 0, Slot}, Generation};
}

} // namespace

TEST_CASE("a request that crashes targets is quarantined", "[quarantine]") {
  Quarantine Detector;
  TimePoint Now{1h};
  auto Crash = [&](const TargetIncarnation &Target,
                   std::vector<Fingerprint> Prints) {
    Now += 1s;
    return Detector.apply(TargetCrashed{Target, std::move(Prints)}, Now);
  };

  // Guards against a poison request that takes one target down after another.
  SECTION("after it crashed three targets") {
    CHECK(Crash(incarnation(0), {Poison}).empty());
    CHECK(Crash(incarnation(1), {Poison}).empty());
    CHECK_FALSE(Detector.holds(Poison, Now));
    const auto Effects = Crash(incarnation(2), {Poison});
    REQUIRE(Effects.size() == 1);
    CHECK(std::get<AnnounceQuarantine>(Effects.front()).Print == Poison);
    CHECK(Detector.holds(Poison, Now));

    SECTION("and is released after 10 minutes") {
      Now += Quarantine::HoldTime - 1us;
      CHECK(Detector.holds(Poison, Now));
      Now += 1us;
      CHECK_FALSE(Detector.holds(Poison, Now));
      CHECK(Detector.held(Now).empty());
    }
  }

  SECTION("after it crashed two slots that came back") {
    Crash(incarnation(0, 1), {Poison});
    Crash(incarnation(1, 1), {Poison});
    CHECK(Crash(incarnation(0, 2), {Poison}).size() == 1);
  }

  // Guards against one crash that is counted once per connection.
  SECTION("one crash counts once") {
    for (int Connection = 0; Connection < 10; ++Connection)
      CHECK(Crash(incarnation(0), {Poison, Poison}).empty());
  }

  // Guards against requests that are quarantined because one target keeps
  // crashing for other reasons.
  SECTION("one slot alone blames nobody") {
    for (std::uint64_t Generation = 0; Generation < 20; ++Generation)
      CHECK(Crash(incarnation(0, Generation), {Harmless}).empty());
  }

  // Guards against a frequent request that is quarantined because a poison
  // request crashed the targets that were running it.
  SECTION("a popular harmless request is not blamed") {
    for (SlotIndex Slot = 0; Slot < 20; ++Slot) {
      for (int Success = 0; Success < 3; ++Success)
        Detector.apply(RequestSucceeded{Harmless}, Now);
      Crash(incarnation(Slot), {Harmless, Poison});
      for (int Success = 0; Success < 3; ++Success)
        Detector.apply(RequestSucceeded{Harmless}, Now);
    }
    CHECK_FALSE(Detector.holds(Harmless, Now));
    CHECK(Detector.holds(Poison, Now));
  }

  SECTION("crashes that are more than a minute apart do not add up") {
    for (SlotIndex Slot = 0; Slot < 20; ++Slot) {
      Now += 31s;
      CHECK(Crash(incarnation(Slot), {Poison}).empty());
    }
  }

  SECTION("what another process found is held for the remaining time") {
    Detector.apply(QuarantineReceived{Poison, 60s}, Now);
    CHECK(Detector.holds(Poison, Now + 59s));
    CHECK_FALSE(Detector.holds(Poison, Now + 60s));
    Detector.apply(QuarantineReceived{Poison, 24h}, Now);
    CHECK_FALSE(Detector.holds(Poison, Now + Quarantine::HoldTime));
  }

  // Guards against memory use that grows with the number of requests.
  SECTION("memory is bounded") {
    for (std::uint64_t Print = 0; Print < 10000; ++Print)
      Detector.apply(TargetCrashed{incarnation(0), {Fingerprint{Print}}}, Now);
    CHECK(Detector.suspects() <= Quarantine::MaxEntries);
    for (std::uint64_t Print = 0; Print < 10000; ++Print)
      Detector.apply(QuarantineReceived{Fingerprint{Print}, 60s}, Now);
    CHECK(Detector.held(Now).size() <= Quarantine::MaxEntries);
    Now += 2min;
    Detector.apply(TargetCrashed{incarnation(0), {}}, Now);
    CHECK(Detector.suspects() == 0);
  }
}

// Guards, in mixed traffic, against a poison request that is not found and
// harmless ones that are quarantined.
TEST_CASE("poison is found among popular requests", "[quarantine][seeded]") {
  for (std::uint32_t Seed = 1; Seed <= 200; ++Seed) {
    INFO("seed " << Seed);
    boost::random::mt19937 Random(Seed);
    auto Draw = [&](std::uint32_t Most) {
      return boost::random::uniform_int_distribution<std::uint32_t>(0, Most)(
          Random);
    };
    Quarantine Detector;
    TimePoint Now{1h};
    std::array<std::uint64_t, 6> Generations{};
    std::uint32_t Crashes = 0;
    std::uint32_t UntilCrash = 50 + Draw(100);
    for (int Step = 0; Step < 3000 && !Detector.holds(Poison, Now); ++Step) {
      Now += 5ms;
      // Ten frequent requests; each succeeds several times between two crashes.
      Detector.apply(RequestSucceeded{Fingerprint{1 + Draw(9)}}, Now);
      if (--UntilCrash > 0)
        continue;
      UntilCrash = 50 + Draw(100);
      const auto Slot = static_cast<SlotIndex>(Draw(5));
      Detector.apply(TargetCrashed{incarnation(Slot, Generations[Slot]++),
                                   {Poison, Fingerprint{1 + Draw(9)},
                                    Fingerprint{1 + Draw(9)}}},
                     Now);
      ++Crashes;
    }
    CHECK(Detector.holds(Poison, Now));
    CHECK(Crashes <= 8);
    for (std::uint64_t Print = 1; Print <= 10; ++Print)
      CHECK_FALSE(Detector.holds(Fingerprint{Print}, Now));
  }
}
