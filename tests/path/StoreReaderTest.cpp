#include "balsamyard/src/Process/StoreReader.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against followers that learn nothing for as long as the store is
// silent towards the node that they follow: its watches seemed to wait for
// changes. Found by a hunted day: lakeshore-sacks, trouble-1, seed
// 339007336561.
SCENARIO("a reader notices that the store is silent", "[reader]") {
  FakeStore Store;
  Store.put("config", "main", {{"version", 7}});
  asio::io_context Io;
  const auto Work = asio::make_work_guard(Io);
  const PlatformAdapter Adapter = platform::makeAdapter();
  NodeSettings Settings;
  const std::string Address = Store.address();
  Settings.Store = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                     Address.substr(Address.find(':') + 1)))};
  bool Followed = true;
  ObjectCache Known;
  StoreReader Reader(
      Io, Settings, Adapter,
      {[&](KindUpdate Update) { Known.update(std::move(Update)); }, [] {},
       [&] { return Followed; }});
  const auto RunUntil = [&](const auto &Reached, Duration Limit) {
    const TimePoint GiveUp = steadyNow() + Limit;
    while (!Reached() && steadyNow() < GiveUp)
      Io.run_one_for(std::chrono::milliseconds(10));
    return Reached();
  };
  Reader.start(Known);
  REQUIRE(RunUntil([&] { return Reader.isConnected(); }, 5 * Second));

  GIVEN("a store that falls silent while others follow the node") {
    Store.setSilent(true);
    THEN("the node reports it in time for its followers to turn to others") {
      CHECK(RunUntil([&] { return !Reader.isConnected(); }, 5 * Second));
      AND_WHEN("the store answers again") {
        Store.setSilent(false);
        Store.put("config", "main", {{"version", 8}});
        const auto Version = [&] {
          return Known.objects(ObjectKind::Configuration)[0]
              .Content["version"]
              .get<int>();
        };
        THEN("the node is connected and has missed nothing") {
          CHECK(RunUntil([&] { return Reader.isConnected() && Version() == 8; },
                         5 * Second));
        }
      }
    }
  }
  GIVEN("a node that nobody follows") {
    Followed = false;
    Store.setSilent(true);
    THEN("it makes no calls to check the store") {
      CHECK_FALSE(RunUntil([&] { return !Reader.isConnected(); }, 2 * Second));
    }
  }
  Reader.stop();
}
