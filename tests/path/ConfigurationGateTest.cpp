#include "balsamyard/src/Process/ConfigurationGate.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \brief A configuration whose only route searches the shards of an index.
Ref<const Configuration> configuration(std::uint64_t Version,
                                       const std::string &Index, int Shards) {
  auto Result = makeRef<Configuration>();
  Result->Version = ConfigVersion{Version};
  Route Search = shardedRoute();
  ShardedDestination Plan;
  for (int Shard = 0; Shard < Shards; ++Shard)
    Plan.Shards.push_back(Result->findOrAddService(
        ServiceName{Index + "-" + std::to_string(Shard)}));
  Search.To = std::move(Plan);
  Result->Routes.push_back(std::move(Search));
  return Result;
}

/// \brief Readiness of the shards of two indexes.
struct Indexes {
  ConfigurationGate::ReadinessByService Services;

  void set(const std::string &Index, int Shards, bool Announced, int Warm) {
    for (int Shard = 0; Shard < Shards; ++Shard)
      this->Services[ServiceName{Index + "-" + std::to_string(Shard)}] = {
          Announced, Shard < Warm};
  }
};

} // namespace

// Guards against seconds without answers after an index is cut into other
// shards: 295 nodes may send nothing to cold targets, and the configuration
// named these while they were cold.
SCENARIO("a configuration waits for the targets that it names", "[gate]") {
  TimePoint Now{1000 * Second};
  const Duration ApplyTime = 6 * Second;
  ConfigurationGate Gate(ApplyTime);
  Indexes Known;
  Known.set("old", 180, true, 180);
  Gate.offer(configuration(1, "old", 180), Now);
  REQUIRE(Gate.update(Known.Services, Now));
  const auto Version = [&] {
    return static_cast<std::uint64_t>(Gate.current()->Version);
  };

  GIVEN("another set of shards whose targets are cold") {
    Known.set("new", 270, true, 0);
    REQUIRE(Gate.offer(configuration(2, "new", 270), Now));
    CHECK_FALSE(Gate.update(Known.Services, Now));
    THEN("the former one stays in force until they are warm") {
      CHECK(Version() == 1);
      Now += Second;
      Known.set("new", 270, true, 270);
      CHECK(Gate.update(Known.Services, Now));
      CHECK(Version() == 2);
    }
    THEN("it stays in force for less than half of the time allowed") {
      Now += ApplyTime / 2;
      CHECK(Gate.update(Known.Services, Now));
      CHECK(Version() == 2);
    }
    WHEN("some of the former targets are lost") {
      Known.set("old", 180, true, 170);
      Known.set("new", 270, true, 260);
      THEN("the new one takes over as soon as it can serve more") {
        CHECK(Gate.update(Known.Services, Now));
      }
    }
    WHEN("the former targets leave") {
      Known.set("old", 180, false, 0);
      THEN("the new one takes over at once") {
        CHECK(Gate.update(Known.Services, Now));
      }
    }
    WHEN("a further configuration follows") {
      Now += 2 * Second;
      CHECK(Gate.offer(configuration(3, "new", 270), Now));
      CHECK_FALSE(Gate.offer(configuration(2, "new", 270), Now));
      Now += 400 * Millisecond;
      THEN("the time does not start anew") {
        CHECK(Gate.update(Known.Services, Now));
        CHECK(Version() == 3);
      }
    }
  }
  GIVEN("another set of shards without any target") {
    THEN("the new configuration is in force at once") {
      Known.set("old", 180, true, 0);
      Gate.offer(configuration(2, "new", 270), Now);
      CHECK(Gate.update(Known.Services, Now));
    }
  }
  GIVEN("a change that names the same shards") {
    Known.set("old", 180, true, 90);
    Gate.offer(configuration(2, "old", 180), Now);
    THEN("it is in force at once") { CHECK(Gate.update(Known.Services, Now)); }
  }
  GIVEN("a change that adds shards and drops none") {
    Gate.offer(configuration(2, "old", 181), Now);
    THEN("it is in force at once") { CHECK(Gate.update(Known.Services, Now)); }
  }
}
