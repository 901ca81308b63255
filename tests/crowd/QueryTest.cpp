#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against queries whose messages are copied for each of their shards.
SCENARIO("queries wait for the silent targets of all shards",
         "[crowd][query]") {
  CrowdWorld World;
  const std::string Start = " /shards/crowd HTTP/1.1\r\nHost: a.example\r\n"
                            "X-Balsamyard-Attempt-Id: {id}\r\n";
  GIVEN("queries with long heads") {
    std::string Fields;
    while (Fields.size() < 12'000)
      Fields += "field-a: value-a\r\n";
    checkBears(
        World, World.node().callers(), 1000,
        {"GET" + Start + Fields + "\r\n", SendsWithoutEnd{}, ReadsAll{}});
  }
  GIVEN("queries with long bodies") {
    const std::string Body(100'000, 'b');
    checkBears(World, World.node().callers(), 300,
               {"POST" + Start + "Content-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body,
                SendsWithoutEnd{}, ReadsAll{}});
  }
}
