#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \returns the beginning of a large request to a page that expects none.
ClientPlan largeRequest() {
  return {
      "POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 16777216\r\n\r\n" +
      std::string(4 * Mebibyte, 'b')};
}

} // namespace

// Guards against pages beside the one for callers, which had no common limit.
SCENARIO("clients call the readiness page", "[crowd][pages]") {
  CrowdWorld World;
  GIVEN("clients with large requests") {
    checkBears(World, World.node().readiness(), 60, largeRequest());
  }
  GIVEN("clients that send nothing") {
    checkBears(World, World.node().readiness(), 3000, {""});
  }
  GIVEN("clients that ask on and on and read nothing") {
    checkBears(World, World.node().readiness(), 500,
               {"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", SendsWithoutEnd{}});
  }
}

SCENARIO("clients call the metrics page", "[crowd][pages]") {
  CrowdWorld World;
  GIVEN("clients with large requests") {
    checkBears(World, World.node().metrics(), 60, largeRequest());
  }
  GIVEN("clients that send nothing") {
    checkBears(World, World.node().metrics(), 3000, {""});
  }
  GIVEN("clients that ask on and on and read nothing") {
    checkBears(World, World.node().metrics(), 500,
               {"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", SendsWithoutEnd{}});
  }
}

SCENARIO("clients call the port for other nodes", "[crowd][pages]") {
  CrowdWorld World;
  GIVEN("clients that send nothing") {
    checkBears(World, World.node().peers(), 3000, {""});
  }
  GIVEN("clients that begin the protocol and send nothing more") {
    checkBears(World, World.node().peers(), 1000,
               {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(9, '\0'),
                SendsOnce{}});
  }
}
