#include "balsamyard/src/Process/Settings.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace balsamyard;

namespace {

const std::string Complete = R"([node]
name = "east-1"
domain = "east"
region = "north"
[listen]
http = "127.0.0.1:8080"
peer = "127.0.0.1:7000"
gossip = "[::1]:7100"
[platform]
address = "127.0.0.1:9000"
[peers]
seeds = ["127.0.0.1:7101", "127.0.0.1:7102"]
[limits]
in_flight = 100
)";

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

// Guards against a process that starts with settings other than those
// that the operator intended.
TEST_CASE("an operator writes a settings file", "[settings]") {
  SECTION("that is complete") {
    auto Result = parseSettings(Complete);
    REQUIRE(Result);
    CHECK(Result->Node.Text == "east-1");
    CHECK(Result->Gossip == Endpoint{"::1", 7100});
    CHECK(Result->Seeds.size() == 2);
    CHECK(Result->InFlight == 100);
    CHECK(Result->CallerThreads == 64);
  }

  SECTION("with several errors, which are all reported with line and column") {
    std::string Text = replaced(Complete, "in_flight = 100", "in_flight = 0");
    Text = replaced(Text, "domain = \"east\"", "domian = \"east\"");
    Text = replaced(Text, "\"127.0.0.1:8080\"", "\"localhost:8080\"");
    Text = replaced(Text, "\"127.0.0.1:7102\"", "7102");
    auto Result = parseSettings(Text);
    REQUIRE_FALSE(Result);
    auto Has = [&](Code Value, std::uint32_t Line, std::uint32_t Column) {
      return std::any_of(Result.error().begin(), Result.error().end(),
                         [&](const SettingsFault &Fault) {
                           return Fault.Value == Value && Fault.Line == Line &&
                                  Fault.Column == Column &&
                                  Fault.Detail.find("expected") !=
                                      std::string::npos;
                         });
    };
    CHECK(Result.error().size() == 5);
    CHECK(Has(Code::SettingsMissingKey, 1, 1));
    CHECK(Has(Code::SettingsUnknownKey, 3, 1));
    CHECK(Has(Code::SettingsBadValue, 6, 8));
    CHECK(Has(Code::SettingsBadValue, 12, 28));
    CHECK(Has(Code::SettingsBadValue, 14, 13));
  }

  SECTION("with a syntax error") {
    auto Result = parseSettings(replaced(Complete, "[peers]", "[peers"));
    REQUIRE_FALSE(Result);
    CHECK(Result.error()[0].Value == Code::SettingsSyntax);
    CHECK(Result.error()[0].Line == 11);
  }

  SECTION("with values of a wrong type or form") {
    auto [From, To] = GENERATE(table<std::string, std::string>(
        {{"name = \"east-1\"", "name = 7"},
         {"name = \"east-1\"", "name = \"\""},
         {"name = \"east-1\"", "name = \"a b\""},
         {"in_flight = 100", "in_flight = 1.5"},
         {"in_flight = 100", "in_flight = \"100\""},
         {"in_flight = 100", "in_flight = 9999999"},
         {"\"127.0.0.1:9000\"", "\"127.0.0.1\""},
         {"\"127.0.0.1:9000\"", "\"127.0.0.1:90000\""},
         {"\"127.0.0.1:9000\"", "\"::1:9000\""},
         {"[\"127.0.0.1:7101\", \"127.0.0.1:7102\"]", "\"127.0.0.1:7101\""}}));
    INFO(To);
    auto Result = parseSettings(replaced(Complete, From, To));
    REQUIRE_FALSE(Result);
    CHECK(Result.error().size() == 1);
    CHECK(Result.error()[0].Value == Code::SettingsBadValue);
    CHECK(Result.error()[0].Line > 0);
  }

  SECTION("with a value in place of a table, or with an unknown table") {
    CHECK(parseSettings("log = 3\n" + Complete).error()[0].Value ==
          Code::SettingsBadValue);
    CHECK(parseSettings(Complete + "[extra]\n").error()[0].Value ==
          Code::SettingsUnknownKey);
  }

  SECTION("that cannot be read") {
    auto Result = readSettings("/nonexistent/settings.toml");
    REQUIRE_FALSE(Result);
    CHECK(Result.error()[0].Value == Code::SettingsUnreadable);
  }
}
