#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \returns fields that take \p Bytes in total.
std::string fields(std::size_t Bytes, const std::string &Each) {
  std::string Result;
  while (Result.size() + Each.size() <= Bytes)
    Result += Each;
  return Result;
}

constexpr CallerBounds LongHeads{.HeaderBytes = 65536};
constexpr std::size_t LongHeadBytes = 60'000;
constexpr std::size_t HeadBytes = 12'000;
constexpr const char *SmallField = "a:\r\n";
constexpr const char *OrdinaryField = "field-a: value-a\r\n";

/// \returns the beginning of a request, up to its fields.
std::string requestStart(const std::string &Path) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Balsamyard-Attempt-Id: {id}\r\n";
}

} // namespace

// Guards against heads that cost many times their bytes and are in no sum.
SCENARIO("callers send long heads and no end of them", "[crowd][head]") {
  CrowdWorld World(CrowdWorld::LowLimits, LongHeads);
  checkBears(
      World, World.node().callers(), 1000,
      {requestStart("/small/crowd") + fields(LongHeadBytes, OrdinaryField)});
}

SCENARIO("callers send heads of thousands of fields and no end of them",
         "[crowd][head]") {
  CrowdWorld World;
  checkBears(World, World.node().callers(), 1000,
             {requestStart("/small/crowd") + fields(HeadBytes, SmallField)});
}

SCENARIO("requests with thousands of fields wait for a silent target",
         "[crowd][head]") {
  CrowdWorld World;
  checkBears(
      World, World.node().callers(), 1000,
      {requestStart("/silent/crowd") + fields(HeadBytes, SmallField) + "\r\n",
       SendsWithoutEnd{}});
}
