#include "balsamyard/src/Process/StoreReader.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \brief A reader that is connected to a store with a configuration.
struct ReaderWorld {
  FakeStore Store;
  asio::io_context Io;
  const asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(this->Io);
  const PlatformAdapter Adapter = platform::makeAdapter();
  NodeSettings Settings;
  ObjectCache Known;
  std::optional<StoreProgress> Progress; ///< Of the last check.
  std::unique_ptr<StoreReader> Reader;

  ReaderWorld() {
    this->Store.put("config", "main", {{"version", 7}});
    const std::string Address = this->Store.address();
    this->Settings.Store = {
        "127.0.0.1", static_cast<std::uint16_t>(
                         std::stoi(Address.substr(Address.find(':') + 1)))};
    this->Reader = std::make_unique<StoreReader>(
        this->Io, this->Settings, this->Adapter,
        StoreReader::Handlers{
            [this](KindUpdate Update) {
              this->Known.update(std::move(Update));
            },
            [] {},
            [this](const StoreProgress &Next) { this->Progress = Next; }});
    this->Reader->start(this->Known);
    REQUIRE(this->runUntil([&] { return this->Reader->isConnected(); },
                           5 * Second));
  }

  ~ReaderWorld() { this->Reader->stop(); }

  template <typename Condition>
  bool runUntil(const Condition &Reached, Duration Limit) {
    const TimePoint GiveUp = steadyNow() + Limit;
    while (!Reached() && steadyNow() < GiveUp)
      this->Io.run_one_for(std::chrono::milliseconds(10));
    return Reached();
  }

  /// \returns whether the object is known within the time that targets and
  /// configurations have.
  bool learns(ObjectKind Kind, const std::string &Name) {
    return this->runUntil(
        [&] {
          const std::vector<StoredObject> Objects = this->Known.objects(Kind);
          return std::any_of(
              Objects.begin(), Objects.end(),
              [&](const StoredObject &Item) { return Item.Name == Name; });
        },
        std::min(this->Settings.Bounds.DrainTime,
                 this->Settings.Bounds.ConfigurationTime));
  }

  int version() const {
    return this->Known.objects(ObjectKind::Configuration)[0]
        .Content["version"]
        .get<int>();
  }
};

} // namespace

// Guards against followers that learn nothing for as long as the store is
// silent towards the node that they follow: its watches seemed to wait for
// changes. Found by a hunted day: lakeshore-sacks, trouble-1, seed
// 339007336561.
SCENARIO("a reader notices that the store is silent", "[reader]") {
  ReaderWorld World;
  GIVEN("a store that falls silent") {
    World.Store.setSilent(true);
    THEN("the node reports it in time for its followers to turn to others") {
      CHECK(World.runUntil([&] { return !World.Reader->isConnected(); },
                           5 * Second));
      AND_WHEN("the store answers again") {
        World.Store.setSilent(false);
        World.Store.put("config", "main", {{"version", 8}});
        THEN("the node is connected and has missed nothing") {
          CHECK(World.runUntil(
              [&] {
                return World.Reader->isConnected() && World.version() == 8;
              },
              5 * Second));
        }
      }
    }
  }
}

// Guards against changes that a node learns half a minute late: the answer to
// its watch was lost, and the connection stayed open, so that the watch seemed
// to wait for a change.
SCENARIO("an answer of the store to one watch is lost", "[reader]") {
  struct Watched {
    ObjectKind Kind;
    const char *Path;
  };
  for (const Watched &Item : {Watched{ObjectKind::Configuration, "config"},
                              Watched{ObjectKind::Targets, "servers"},
                              Watched{ObjectKind::Evacuations, "evacuations"},
                              Watched{ObjectKind::Moves, "rollouts"}}) {
    GIVEN(std::string("a lost answer about ") + Item.Path) {
      ReaderWorld World;
      World.Store.loseNextAnswer(Item.Path);
      World.Store.put(Item.Path, "lost", nlohmann::json::object());
      THEN("the change is known in time all the same") {
        CHECK(World.learns(Item.Kind, "lost"));
        CHECK(World.Store.lostAnswers() == 1);
        CHECK(World.Reader->isConnected());
        AND_WHEN("there is another change") {
          World.Store.put(Item.Path, "next", nlohmann::json::object());
          THEN("a new watch delivers it") {
            CHECK(World.learns(Item.Kind, "next"));
          }
        }
      }
      WHEN("a change of another kind follows, which is read") {
        World.Store.put("balsamyard-nodes", "other", nlohmann::json::object());
        THEN("the lost change is known in time all the same") {
          CHECK(World.learns(Item.Kind, "lost"));
        }
      }
      WHEN("the store is restored from a copy that lacks a later change") {
        World.Store.copy();
        World.Store.put(Item.Path, "after copy", nlohmann::json::object());
        World.Store.restore();
        World.Store.put(Item.Path, "rewritten", nlohmann::json::object());
        THEN("what the store has now is known in time") {
          CHECK(World.learns(Item.Kind, "rewritten"));
          CHECK(World.learns(Item.Kind, "lost"));
        }
      }
      WHEN("the store forgets its history") {
        World.Store.compact();
        THEN("the change is known in time from a list") {
          CHECK(World.learns(Item.Kind, "lost"));
        }
      }
    }
  }
}

// Guards against a reader that is stopped in the moment in which the pause of a
// watch ends: the handler of the timer used the watch, which was freed.
SCENARIO("a reader stops while the pause of a watch ends", "[reader]") {
  ReaderWorld World;
  World.Store.put("servers", "one", nlohmann::json::object());
  REQUIRE(World.learns(ObjectKind::Targets, "one"));
  const std::size_t Before = World.Store.calls();
  // The timer expires while no handler runs, and its handler follows the stop.
  std::this_thread::sleep_for(StoreReader::TargetWatchDelay +
                              100 * Millisecond);
  asio::post(World.Io, [&] { World.Reader->stop(); });
  World.runUntil([] { return false; }, 500 * Millisecond);
  THEN("it makes no call any more") { CHECK(World.Store.calls() == Before); }
  AND_WHEN("it starts again") {
    World.Reader->start(World.Known);
    World.Store.put("servers", "two", nlohmann::json::object());
    THEN("it learns of changes") {
      CHECK(World.learns(ObjectKind::Targets, "two"));
    }
  }
}

// The platform charges each call.
SCENARIO("a reader calls a store that does not change", "[reader]") {
  ReaderWorld World;
  // The reader is connected when it has its lists. The first watches, which
  // follow, may reach the store later.
  constexpr std::size_t ListsAndWatches = 8;
  REQUIRE(World.runUntil([&] { return World.Store.calls() >= ListsAndWatches; },
                         5 * Second));
  const std::size_t Before = World.Store.calls();
  const TimePoint Start = steadyNow();
  World.runUntil([] { return false; }, 3 * Second);
  const Duration Elapsed = steadyNow() - Start;
  THEN("it makes one call for each check, for all kinds together") {
    const Duration Interval =
        DepartureTimes(World.Settings.Bounds.DrainTime).CheckInterval;
    const auto Made = static_cast<std::int64_t>(World.Store.calls() - Before);
    CHECK(Made >= 1);
    CHECK(Made <= Elapsed / Interval + 1);
  }
}

// Guards against checks whose price grows with the number of readers.
SCENARIO("readers share the checks of the store", "[reader]") {
  ReaderWorld World;
  REQUIRE(
      World.runUntil([&] { return World.Progress.has_value(); }, 5 * Second));
  const StoreProgress Quiet = *World.Progress;
  const Duration Interval =
      DepartureTimes(World.Settings.Bounds.DrainTime).CheckInterval;
  const auto HearFor = [&](const StoreProgress &Told, Duration Time) {
    const TimePoint End = steadyNow() + Time;
    while (steadyNow() < End) {
      World.Reader->noteProgress(Told);
      World.runUntil([] { return false; }, Interval / 6);
    }
  };

  GIVEN("another reader that tells of its checks") {
    World.Reader->noteProgress(Quiet);
    const std::size_t Before = World.Store.calls();
    HearFor(Quiet, 2 * Interval);
    THEN("this one makes no calls") { CHECK(World.Store.calls() == Before); }
    AND_WHEN("it ends") {
      THEN("this one checks the store itself") {
        CHECK(World.runUntil([&] { return World.Store.calls() > Before; },
                             5 * Second));
      }
    }
  }
  GIVEN("a change, the answer about which is lost") {
    World.Store.loseNextAnswer("servers");
    World.Store.put("servers", "lost", nlohmann::json::object());
    WHEN("another reader tells that it has read it") {
      StoreProgress Told = Quiet;
      ++Told.ReadUpTo.Number;
      Told.Changed[ObjectKind::Targets] = Told.ReadUpTo;
      const std::size_t Before = World.Store.calls();
      World.Reader->noteProgress(Told);
      THEN("this one asks the store for it") {
        CHECK(World.learns(ObjectKind::Targets, "lost"));
        // For the changes, and the next watch.
        CHECK(World.Store.calls() <= Before + 2);
      }
    }
  }
  GIVEN("a change that is read") {
    World.Store.put("evacuations", "east", nlohmann::json::object());
    REQUIRE(World.learns(ObjectKind::Evacuations, "east"));
    World.Progress.reset();
    REQUIRE(
        World.runUntil([&] { return World.Progress.has_value(); }, 5 * Second));
    THEN("the progress names its revision for its kind only") {
      const StoreProgress &Next = *World.Progress;
      CHECK(Next.ReadUpTo > Quiet.ReadUpTo);
      CHECK(Next.Changed.at(ObjectKind::Evacuations) == Next.ReadUpTo);
      CHECK(Next.Changed.at(ObjectKind::Targets) ==
            Quiet.Changed.at(ObjectKind::Targets));
    }
  }
  GIVEN("a store that was restored") {
    World.Store.copy();
    World.Store.put("config", "main", {{"version", 8}});
    REQUIRE(World.runUntil([&] { return World.version() == 8; }, 5 * Second));
    World.Store.restore();
    WHEN("another reader has read the new era") {
      StoreProgress Told = Quiet;
      ++Told.ReadUpTo.Era;
      World.Reader->noteProgress(Told);
      THEN("this one lists everything again") {
        CHECK(World.runUntil([&] { return World.version() == 7; }, 5 * Second));
      }
    }
  }
}
