#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against answers that wait for their callers for ever: they took all
// memory of the process, or of its machine, and nobody else got a long answer.
SCENARIO("callers do not read their long answers", "[crowd][reading]") {
  CrowdWorld World;
  GIVEN("answers that the buffers of a connection can take") {
    World.addService("buffered", std::string(Mebibyte, 'b'));
    REQUIRE(World.isServed("/buffered/first"));
    checkBears(World, World.node().callers(), 300,
               {request("/buffered/crowd", "{id}"), SendsWithoutEnd{},
                ReadsNothing{}, true});
  }
  GIVEN("longer answers") {
    checkBears(World, World.node().callers(), 100,
               {request("/long/crowd", "{id}"), SendsWithoutEnd{},
                ReadsNothing{}, true});
  }
}

SCENARIO("callers read a few bytes of their long answers now and then",
         "[crowd][reading]") {
  CrowdWorld World;
  checkBears(
      World, World.node().callers(), 100,
      {request("/long/crowd", "{id}"), SendsWithoutEnd{}, ReadsSlowly{}, true});
}

// Guards against small answers, which nobody counts one by one.
SCENARIO("callers ask on and on and read nothing", "[crowd][reading]") {
  CrowdWorld World;
  std::string Requests;
  for (int Count = 0; Count < 100; ++Count)
    Requests += request("/small/crowd", "{id}");
  checkBears(World, World.node().callers(), 700, {Requests, SendsWithoutEnd{}});
}
