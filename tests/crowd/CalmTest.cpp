#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

constexpr soak::NodeLimits UsualLimits{1, 260, 4100};
constexpr CallerBounds UsualBounds{16384, 262144, std::chrono::seconds(3),
                                   std::chrono::seconds(15)};

/// \returns a request of \p Path whose head takes \p Bytes in total, as far as
/// possible in fields of \p Each.
std::string requestOfLength(const std::string &Path, std::size_t Bytes,
                            const std::string &Each) {
  const std::size_t Rest = Bytes - request(Path, "id").size();
  std::string Fields;
  while (Fields.size() + Each.size() <= Rest)
    Fields += Each;
  return request(Path, "id", Fields);
}

std::string postOfLength(const std::string &Path, std::size_t Bytes) {
  std::string Result =
      request(Path, "id", "Content-Length: " + std::to_string(Bytes) + "\r\n");
  Result.replace(0, 3, "POST");
  return Result + std::string(Bytes, 'b');
}

} // namespace

// Guards against limits for crowds that a single caller within the limits of
// the configuration meets.
SCENARIO("a single caller goes to the limits", "[crowd][calm]") {
  CrowdWorld World(UsualLimits, UsualBounds);
  GIVEN("a request with the longest head") {
    THEN("it is served, whatever its fields are") {
      for (const char *Each : {"a:\r\n", "field-a: value-a\r\n"})
        CHECK(World.ask(requestOfLength("/small/x", 16'384, Each)).Status ==
              200);
    }
  }
  GIVEN("a request with the longest body") {
    THEN("it is served") {
      CHECK(World.ask(postOfLength("/small/x", 262'144)).Status == 200);
    }
  }
  GIVEN("a request for the longest answer") {
    World.addService("longest", std::string(16 * Mebibyte, 'l'));
    REQUIRE(World.isServed("/longest/first"));
    THEN("it is served") {
      const HttpResponse Answer = World.ask(request("/longest/x", "id"));
      CHECK(Answer.Status == 200);
      CHECK(Answer.Body.size() == 16 * Mebibyte);
    }
  }
  GIVEN("callers of long answers that read slowly, but read") {
    THEN("they get all of it") {
      for (const ReadPauses &Pauses :
           {ReadPauses{.Each = std::chrono::milliseconds(50)},
            ReadPauses{.Each = std::chrono::milliseconds(200)},
            ReadPauses{.First = std::chrono::seconds(5)}}) {
        const HttpResponse Answer = World.ask(request("/long/x", "id"), Pauses);
        CHECK(Answer.Status == 200);
        CHECK(Answer.Body.size() == CrowdWorld::LongBytes);
      }
    }
  }
}
