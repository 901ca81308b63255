#include "balsamyard/Process"

#include <catch2/catch.hpp>

using namespace balsamyard;

// Guards against poison requests that are admitted and against harmless ones
// that are never released.
TEST_CASE("quarantined fingerprints are refused for a while",
          "[quarantine-list]") {
  constexpr TimePoint Now{Duration(1'000'000)};
  constexpr Duration Hold = std::chrono::minutes(10);
  QuarantineList List;
  List.add(Fingerprint{1}, Hold, Now);

  SECTION("only the one that was noticed") {
    CHECK(List.contains(Fingerprint{1}, Now));
    CHECK_FALSE(List.contains(Fingerprint{2}, Now));
  }

  SECTION("until the time is over") {
    CHECK(List.contains(Fingerprint{1}, Now + Hold - Duration(1)));
    CHECK_FALSE(List.contains(Fingerprint{1}, Now + Hold));
  }

  SECTION("a later notice with less time does not shorten it") {
    List.add(Fingerprint{1}, Duration(1), Now);
    CHECK(List.contains(Fingerprint{1}, Now + Hold - Duration(1)));
  }

  SECTION("many notices do not use up the memory") {
    for (std::uint64_t Print = 2; Print < QuarantineList::MaxEntries + 100;
         ++Print)
      List.add(Fingerprint{Print}, Hold + Duration(Print), Now);
    CHECK(List.size() == QuarantineList::MaxEntries);
    CHECK_FALSE(List.contains(Fingerprint{1}, Now));
  }
}
