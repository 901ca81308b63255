#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against connections that take all descriptors: new callers were not
// accepted, and neither targets nor the store could be reached any more.
SCENARIO("callers open connections and send nothing", "[crowd][connections]") {
  CrowdWorld World;
  checkBears(World, World.node().callers(), 3000, {""});
}

SCENARIO("a target joins while callers hold all connections that they get",
         "[crowd][connections]") {
  CrowdWorld World;
  Crowd Callers(World.node().callers(), 3000, {""});
  REQUIRE(Callers.waitUntilArrived());
  World.addService("joined", "sixteen bytes...");
  CHECK(World.isServed("/joined/ordinary"));
  REQUIRE(World.isAlive());
  CHECK(World.usage().peak().Descriptors < World.descriptors());
}

SCENARIO("callers send their next requests while one is handled",
         "[crowd][connections]") {
  CrowdWorld World;
  std::string Pipelined;
  while (Pipelined.size() < 64 * Kibibyte)
    Pipelined += request("/silent/crowd", "{id}");
  checkBears(World, World.node().callers(), 1500, {Pipelined});
}
