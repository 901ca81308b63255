#include "tests/path/PlatformWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against callers that keep memory for ever by sending or taking a byte
// now and then, or nothing at all.
SCENARIO("a caller keeps a least pace", "[pace]") {
  constexpr Duration IdleTimeout = std::chrono::milliseconds(500);
  constexpr std::size_t BodyBytes = 64UL * 1024;
  PlatformWorld World;
  World.Config["limits"]["idleTimeoutMs"] = IdleTimeout / Millisecond;
  World.Config["limits"]["maxBodyBytes"] = BodyBytes;
  World.add("small", "i-small", record('a'), WellBehaved{});
  World.add("long", "i-long", std::string(8UL * 1024 * 1024, 'l'),
            WellBehaved{});
  World.addRoute("/small/", {{"service", "small"}});
  World.addRoute("/long/", {{"service", "long"}});
  World.start();
  REQUIRE(World.caller().ask(get("/small/x")).Status == 200);
  FakeCaller Caller = World.caller();
  const TimePoint GiveUp = steadyNow() + 20 * Second;
  const std::string Post = "POST /small/x HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Balsamyard-Attempt-Id: id\r\nContent-Length: " +
                           std::to_string(BodyBytes) + "\r\n\r\n";

  GIVEN("a caller that sends a body in single bytes") {
    Caller.send(Post);
    THEN("its request is rejected as not run") {
      while (Caller.unread() == 0 && steadyNow() < GiveUp) {
        Caller.send("b");
        ::usleep(20'000);
      }
      CHECK(Caller.receive().Status == 408);
    }
  }
  GIVEN("a caller that sends a body in parts, for longer than the timeout") {
    Caller.send(Post);
    constexpr std::size_t Parts = 16;
    for (std::size_t Part = 0; Part < Parts; ++Part) {
      Caller.send(std::string(BodyBytes / Parts, 'b'));
      ::usleep(50'000);
    }
    THEN("its request is served") { CHECK(Caller.receive().Status == 200); }
  }
  GIVEN("a caller that reads nothing of a long answer") {
    Caller.send(get("/long/x"));
    while (Caller.unread() == 0 && steadyNow() < GiveUp)
      ::usleep(2000);
    THEN("its connection ends, and with it the answer") {
      while (World.Process->callerConnections() > 0 && steadyNow() < GiveUp)
        ::usleep(2000);
      CHECK(World.Process->callerConnections() == 0);
      CHECK(Caller.receive().Status == 0);
    }
  }
}
