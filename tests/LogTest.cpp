#include "balsamyard/src/Core/Log.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

using namespace balsamyard;

namespace {

std::vector<nlohmann::json> readLines(const std::string &Path) {
  std::ifstream File(Path);
  std::vector<nlohmann::json> Lines;
  for (std::string Line; std::getline(File, Line);)
    Lines.push_back(nlohmann::json::parse(Line));
  return Lines;
}

} // namespace

// Guards against lines that balsamyard-timeline cannot parse or sort.
TEST_CASE("a process writes its log", "[log]") {
  std::string Path = (std::filesystem::temp_directory_path() /
                      ("balsamyard-log-" + std::to_string(getpid())))
                         .string();
  std::filesystem::remove(Path);
  openLog("holder", {"east-1"}, {"east"}, Path);

  SECTION("one JSON object per line, readable at once") {
    logEvent(LogLevel::Warning, "slot-cold",
             {{"target", std::string("portal/1/2")},
              {"code", Code::Overloaded},
              {"wait_us", Duration(1500)},
              {"ratio", 0.5},
              {"final", true},
              {"config", std::int64_t(7)}});
    auto Lines = readLines(Path);
    REQUIRE(Lines.size() == 1);
    const nlohmann::json &Line = Lines[0];
    CHECK(Line["level"] == "warning");
    CHECK(Line["event"] == "slot-cold");
    CHECK(Line["process"] == "holder");
    CHECK(Line["node"] == "east-1");
    CHECK(Line["domain"] == "east");
    CHECK(Line["code"] == 3001);
    CHECK(Line["wait_us"] == 1500);
    CHECK(Line["final"] == true);
    std::string Time = Line["time"];
    CHECK(Time.size() == std::string("2026-12-04T08:00:00.000000Z").size());
    CHECK(Time.back() == 'Z');
  }

  SECTION("text of callers does not break a line") {
    logEvent(LogLevel::Info, "refused",
             {{"detail", std::string("a\"b\n\\ \x01 \xff end")}});
    auto Lines = readLines(Path);
    REQUIRE(Lines.size() == 1);
    CHECK(Lines[0]["detail"].get<std::string>().starts_with("a\"b\n\\"));
  }

  SECTION("from several threads without mixed lines") {
    std::vector<std::thread> Writers;
    for (std::int64_t Writer = 0; Writer < 4; ++Writer)
      Writers.emplace_back([Writer] {
        for (int Line = 0; Line < 200; ++Line)
          logEvent(LogLevel::Info, "line", {{"writer", Writer}});
      });
    for (std::thread &Writer : Writers)
      Writer.join();
    CHECK(readLines(Path).size() == 800);
  }
  openLog("test", {"none"}, {"none"}, "/dev/null");
  std::filesystem::remove(Path);
}
