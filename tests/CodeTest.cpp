#include "balsamyard/Core"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>

using namespace balsamyard;

namespace {

/// Reads the rows of the table in docs/codes.md as number and name.
std::map<int, std::string> documentedCodes() {
  std::ifstream Page(BALSAMYARD_SOURCE_DIR "/docs/codes.md");
  std::map<int, std::string> Rows;
  for (std::string Line; std::getline(Page, Line);) {
    std::istringstream Fields(Line);
    std::string Bar;
    std::string Name;
    int Number = 0;
    if (Fields >> Bar >> Number >> Bar >> Name)
      Rows[Number] = Name;
  }
  return Rows;
}

} // namespace

// Guards against codes that are added or renamed without documentation.
TEST_CASE("result codes are documented", "[code]") {
  std::map<int, std::string> Rows = documentedCodes();

  SECTION("the page and the source list the same codes") {
    REQUIRE(Rows.size() == CodeTable.size());
    for (const CodeInfo &Info : CodeTable)
      CHECK(Rows[static_cast<int>(Info.Value)] ==
            "`" + std::string(Info.Name) + "`");
  }

  SECTION("codes ascend, so that look-ups find each of them") {
    for (const CodeInfo &Info : CodeTable)
      CHECK(find(Info.Value)->Name == Info.Name);
    CHECK(find(static_cast<Code>(1)) == nullptr);
  }
}
