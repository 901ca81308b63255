#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \returns a request that states a body of \p Stated bytes and has \p Sent.
std::string post(const std::string &Path, std::size_t Stated,
                 std::size_t Sent) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Balsamyard-Attempt-Id: {id}\r\n"
         "Content-Length: " +
         std::to_string(Stated) + "\r\n\r\n" + std::string(Sent, 'b');
}

} // namespace

// Guards against bodies that are too small to be counted one by one.
SCENARIO("callers send a part of a body", "[crowd][body]") {
  CrowdWorld World;
  GIVEN("a small part") {
    checkBears(World, World.node().callers(), 1500,
               {post("/small/crowd", 200'000, 16'000)});
  }
  GIVEN("nearly all") {
    checkBears(World, World.node().callers(), 500,
               {post("/small/crowd", 262'144, 250'000)});
  }
  GIVEN("all of it, for a silent target") {
    checkBears(World, World.node().callers(), 500,
               {post("/silent/crowd", 200'000, 200'000), SendsWithoutEnd{}});
  }
}
