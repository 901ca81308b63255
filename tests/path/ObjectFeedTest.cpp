#include "balsamyard/src/Process/ObjectFeed.h"

#include <catch2/catch.hpp>

using namespace balsamyard;

namespace {

StoredObject object(const std::string &Name) {
  StoredObject Result;
  Result.Name = Name;
  return Result;
}

FeedPage page(const std::vector<std::string> &Names, bool More,
              std::uint64_t AsOf) {
  FeedPage Result;
  for (const std::string &Name : Names)
    Result.Objects.push_back(object(Name));
  Result.HasMore = More;
  Result.AsOf = StoreRevision{AsOf};
  return Result;
}

/// \brief A feed and the outputs of its last input.
struct RunningFeed {
  ObjectFeed Feed;
  FeedOutputs Outputs;

  void tell(FeedInput Input) {
    this->Outputs.clear();
    this->Feed.handle(std::move(Input), this->Outputs);
  }

  template <typename Output> const Output *find() const {
    for (const FeedOutput &Alternative : this->Outputs)
      if (const auto *Found = std::get_if<Output>(&Alternative))
        return Found;
    return nullptr;
  }
};

} // namespace

SCENARIO("a feed lists, then watches", "[feed]") {
  RunningFeed Run;
  Run.tell(FeedStarted{});
  REQUIRE(Run.find<ListObjects>() != nullptr);

  GIVEN("a list of two pages") {
    Run.tell(page({"a", "b"}, true, 10));
    REQUIRE(Run.find<ListObjects>() != nullptr);
    CHECK(Run.find<ListObjects>()->After == "b");
    Run.tell(page({"c"}, false, 12));
    THEN("all objects are reported together, and watched from the revision of "
         "the first page") {
      REQUIRE(Run.find<FeedListed>() != nullptr);
      CHECK(Run.find<FeedListed>()->Objects.size() == 3);
      REQUIRE(Run.find<WatchObjects>() != nullptr);
      CHECK(Run.find<WatchObjects>()->Since == StoreRevision{10});
    }

    WHEN("something changes") {
      FeedEvents Events;
      Events.Changes.push_back({object("b"), true});
      Events.AsOf = StoreRevision{15};
      Run.tell(Events);
      THEN("it is reported, and the watch goes on from there") {
        REQUIRE(Run.find<FeedChanged>() != nullptr);
        CHECK(Run.find<WatchObjects>()->Since == StoreRevision{15});
      }
    }
    WHEN("a restored store answers from the revision, which it has given out "
         "again") {
      FeedEvents Events;
      Events.Changes.push_back({object("b"), true});
      Events.AsOf = StoreRevision{15, 1};
      Run.tell(Events);
      THEN("everything is listed again") {
        CHECK(Run.find<FeedChanged>() == nullptr);
        REQUIRE(Run.find<ListObjects>() != nullptr);
        CHECK(Run.find<ListObjects>()->After.empty());
      }
      AND_WHEN("it is restored once more between two pages") {
        FeedPage Page = page({"a"}, true, 8);
        Page.AsOf.Era = 1;
        Run.tell(Page);
        Page = page({"b"}, false, 8);
        Page.AsOf.Era = 2;
        Run.tell(Page);
        THEN("the pages are not mixed") {
          CHECK(Run.find<FeedListed>() == nullptr);
          REQUIRE(Run.find<ListObjects>() != nullptr);
          CHECK(Run.find<ListObjects>()->After.empty());
        }
      }
    }
    WHEN("the history has expired") {
      Run.tell(FeedHistoryExpired{});
      THEN("everything is listed again") {
        CHECK(Run.find<ListObjects>()->After.empty());
      }
    }
    WHEN("the store becomes unreachable") {
      Run.tell(FeedCallFailed{Error{Code::PlatformUnavailable, "silent"}});
      THEN("the loss is reported once, with pauses that grow up to a bound") {
        CHECK(Run.find<FeedDisconnected>() != nullptr);
        Duration Pause = Run.find<StartFeedTimer>()->After;
        for (int Try = 0; Try < 10; ++Try) {
          Run.tell(FeedTimerExpired{});
          CHECK(Run.find<WatchObjects>()->Since == StoreRevision{10});
          Run.tell(FeedCallFailed{Error{Code::PlatformUnavailable, "silent"}});
          CHECK(Run.find<FeedDisconnected>() == nullptr);
          CHECK(Run.find<StartFeedTimer>()->After >= Pause);
          Pause = Run.find<StartFeedTimer>()->After;
          CHECK(Pause <= ObjectFeed::MaxBackoff);
        }
        AND_WHEN("it answers again") {
          FeedEvents Events;
          Events.AsOf = StoreRevision{20};
          Run.tell(Events);
          THEN("its return is reported") {
            CHECK(Run.find<FeedReconnected>() != nullptr);
            CHECK(Run.find<WatchObjects>()->Since == StoreRevision{20});
          }
        }
      }
    }
  }

  GIVEN("a call that fails within the list") {
    Run.tell(page({"a"}, true, 10));
    Run.tell(FeedCallFailed{Error{Code::PlatformUnavailable, "silent"}});
    Run.tell(FeedTimerExpired{});
    THEN("the list restarts from the first page") {
      CHECK(Run.find<ListObjects>()->After.empty());
      Run.tell(page({"a"}, false, 11));
      CHECK(Run.find<FeedListed>()->Objects.size() == 1);
    }
  }
}

// Guards against a reader that falls ever further behind: it paused after each
// part of a backlog, and requests went to targets that had left seconds before.
SCENARIO("a feed that is behind catches up without pauses", "[feed][drain]") {
  constexpr std::size_t BatchLimit = 500; // Of one response of the store.
  const Duration CallTime = std::chrono::milliseconds(20);
  const Duration FirstPause = std::chrono::milliseconds(300);
  const Duration LongestPause = std::chrono::milliseconds(900);
  for (const std::size_t ChangesPerSecond : {100U, 1000U, 5000U}) {
    GIVEN("5,000 changes that were missed, and " +
          std::to_string(ChangesPerSecond) + " more each second") {
      RunningFeed Run{ObjectFeed(FirstPause, LongestPause), {}};
      std::size_t Written = 5000;
      std::size_t Read = 0;
      Duration Elapsed{};
      Duration CaughtUpAfter{};
      int Calls = 0;
      Run.tell(FeedStarted{StoreRevision{0}});
      while (Elapsed < std::chrono::seconds(10)) {
        Duration Step = CallTime;
        if (const auto *Pause = Run.find<StartFeedTimer>()) {
          Step = Pause->After;
          Run.tell(FeedTimerExpired{});
        } else {
          ++Calls;
          FeedEvents Events;
          Events.Changes.resize(std::min(BatchLimit, Written - Read));
          Read += Events.Changes.size();
          Events.AsOf = StoreRevision{Read};
          Run.tell(Events);
        }
        Elapsed += Step;
        Written = 5000 + ChangesPerSecond *
                             static_cast<std::size_t>(Elapsed.count()) /
                             1'000'000;
        // What comes within a pause and a call is no backlog.
        const auto Normal = static_cast<std::size_t>(
            static_cast<double>(ChangesPerSecond) * 0.92);
        if (Written - Read > Normal + 1)
          CaughtUpAfter = Elapsed;
      }
      THEN("it is up to date again within a second, and stays so") {
        CHECK(CaughtUpAfter <= std::chrono::seconds(1));
      }
      THEN("calls remain in proportion to the changes") {
        // A pause at least every 0.3 s, and a call for each 200 changes.
        CHECK(Calls <= 10'000 / 300 + static_cast<int>(Written / 200) + 1);
      }
    }
  }
}

// Guards against a watch that is waited for after its answer was lost.
SCENARIO("a check reads what the watch has not delivered", "[feed]") {
  RunningFeed Run{ObjectFeed(std::chrono::milliseconds(300),
                             std::chrono::milliseconds(900)),
                  {}};
  Run.tell(FeedStarted{StoreRevision{30}});
  CHECK_FALSE(Run.Feed.isBehind(StoreRevision{30}));
  CHECK(Run.Feed.isBehind(StoreRevision{33}));
  FeedChecked Checked;
  Checked.AsOf = StoreRevision{33};

  GIVEN("changes of other kinds only") {
    Run.tell(Checked);
    THEN("the watch goes on, and no check is needed up to that revision") {
      CHECK(Run.Outputs.empty());
      CHECK_FALSE(Run.Feed.isBehind(StoreRevision{33}));
      AND_WHEN("the watch fails") {
        Run.tell(FeedCallFailed{Error{Code::PlatformUnavailable, "silent"}});
        Run.tell(FeedTimerExpired{});
        THEN("the next one starts there") {
          CHECK(Run.find<WatchObjects>()->Since == StoreRevision{33});
        }
      }
    }
  }
  GIVEN("a change while the watch waits") {
    Checked.Changes.push_back({object("a"), false});
    Run.tell(Checked);
    THEN("it is reported, and a new watch replaces the one that waits") {
      REQUIRE(Run.find<FeedChanged>() != nullptr);
      CHECK(Run.find<FeedChanged>()->AsOf == StoreRevision{33});
      REQUIRE(Run.find<WatchObjects>() != nullptr);
      CHECK(Run.find<WatchObjects>()->Since == StoreRevision{33});
    }
  }
  GIVEN("a change during the pause after an event") {
    FeedEvents Events;
    Events.Changes.push_back({object("b"), false});
    Events.AsOf = StoreRevision{31};
    Run.tell(Events);
    REQUIRE(Run.find<StartFeedTimer>() != nullptr);
    Checked.Changes.push_back({object("a"), false});
    Run.tell(Checked);
    THEN("it is reported, and the next watch still comes after the pause") {
      CHECK(Run.find<FeedChanged>() != nullptr);
      CHECK(Run.find<WatchObjects>() == nullptr);
      Run.tell(FeedTimerExpired{});
      CHECK(Run.find<WatchObjects>()->Since == StoreRevision{33});
    }
  }
  GIVEN("a watch that is answered before the check") {
    FeedEvents Events;
    Events.Changes.push_back({object("a"), false});
    Events.AsOf = StoreRevision{34};
    Run.tell(Events);
    Checked.Changes = Events.Changes;
    Run.tell(Checked);
    THEN("the older answer of the check is ignored") {
      CHECK(Run.Outputs.empty());
      CHECK(Run.Feed.since() == StoreRevision{34});
    }
  }
  GIVEN("a store that was restored") {
    Checked.AsOf = StoreRevision{20, 1};
    Run.tell(Checked);
    THEN("everything is listed again") {
      CHECK(Run.find<ListObjects>() != nullptr);
      AND_THEN("the list is not disturbed by checks") {
        CHECK_FALSE(Run.Feed.isBehind(StoreRevision{50, 1}));
        Checked.AsOf = StoreRevision{50, 1};
        Run.tell(Checked);
        CHECK(Run.Outputs.empty());
      }
    }
  }
}

SCENARIO("a feed resumes where its objects are known", "[feed]") {
  RunningFeed Run;
  Run.tell(FeedStarted{StoreRevision{30}});
  REQUIRE(Run.find<WatchObjects>() != nullptr);
  CHECK(Run.find<WatchObjects>()->Since == StoreRevision{30});
  CHECK(Run.find<ListObjects>() == nullptr);

  GIVEN("a watch that ends without changes") {
    FeedEvents Events;
    Events.AsOf = StoreRevision{33};
    Run.tell(Events);
    THEN("the revision that was reached is reported") {
      REQUIRE(Run.find<FeedChanged>() != nullptr);
      CHECK(Run.find<FeedChanged>()->Changes.empty());
      CHECK(Run.find<FeedChanged>()->AsOf == StoreRevision{33});
    }
  }
  GIVEN("a history that no longer reaches back so far") {
    Run.tell(FeedHistoryExpired{});
    THEN("everything is listed") {
      CHECK(Run.find<ListObjects>() != nullptr);
      Run.tell(page({"a"}, false, 40));
      CHECK(Run.find<FeedListed>()->AsOf == StoreRevision{40});
    }
  }
}
