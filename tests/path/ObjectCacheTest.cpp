#include "balsamyard/src/Process/ObjectCache.h"
#include "balsamyard/src/Process/FeedCodec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace balsamyard;

namespace {

StoredObject object(const std::string &Name, std::uint64_t Revision) {
  StoredObject Result;
  Result.Name = Name;
  Result.Revision = StoreRevision{Revision};
  Result.Content = {{"value", Revision}};
  return Result;
}

KindUpdate update(bool Complete, std::vector<ObjectChange> Changes,
                  std::uint64_t AsOf) {
  return {ObjectKind::Targets, Complete, std::move(Changes),
          StoreRevision{AsOf}};
}

std::vector<std::string> names(const ObjectCache &Cache) {
  std::vector<std::string> Result;
  for (const StoredObject &Object : Cache.objects(ObjectKind::Targets))
    Result.push_back(Object.Name);
  return Result;
}

/// \brief The same update, sent to another node and received there.
KindUpdate transferred(const KindUpdate &Sent) {
  UpdateAssembler Parts;
  std::optional<KindUpdate> Result;
  for (const std::string &Message : encodeKindUpdate(Sent)) {
    REQUIRE_FALSE(Result);
    const Expected<FeedMessage> Read = decodeFeedMessage(Message);
    REQUIRE(Read);
    Result = Parts.add(std::get<KindUpdatePart>(*Read));
  }
  REQUIRE(Result);
  return *Result;
}

} // namespace

// Guards against a target that has left, or an evacuation that was lifted,
// coming back because a lagging node reported it.
SCENARIO("a cache never goes back to an older state", "[cache]") {
  ObjectCache Cache;
  REQUIRE_FALSE(Cache.asOf(ObjectKind::Targets));
  CHECK(Cache.update(update(false, {{object("a", 3), false}}, 3)).empty());
  CHECK(Cache
            .update(update(
                true, {{object("a", 3), false}, {object("b", 5), false}}, 10))
            .size() == 2);

  GIVEN("a complete list without one of the objects") {
    const auto Changes =
        Cache.update(update(true, {{object("a", 3), false}}, 12));
    THEN("its removal is reported") {
      REQUIRE(Changes.size() == 1);
      CHECK(Changes[0].Removed);
      CHECK(Changes[0].Object.Name == "b");
      CHECK(names(Cache) == std::vector<std::string>{"a"});
    }
    WHEN("a lagging source still lists the object") {
      THEN("it does not come back") {
        CHECK(Cache
                  .update(update(
                      true, {{object("a", 3), false}, {object("b", 5), false}},
                      11))
                  .empty());
        CHECK(names(Cache) == std::vector<std::string>{"a"});
      }
    }
  }
  GIVEN("an older revision of an object, in a newer update") {
    THEN("it is ignored") {
      CHECK(Cache.update(update(false, {{object("b", 4), false}}, 11)).empty());
      CHECK(Cache.objects(ObjectKind::Targets)[1].Content["value"] == 5);
    }
  }
  GIVEN("a list that was read in pages while an object was added") {
    // The revision of a list is that of its first page.
    Cache.update(update(false, {{object("c", 14), false}}, 14));
    THEN("the object stays") {
      CHECK(
          Cache
              .update(update(
                  true, {{object("a", 3), false}, {object("b", 5), false}}, 14))
              .size() == 1);
      Cache.update(update(false, {{object("d", 20), false}}, 16));
      Cache.update(
          update(true, {{object("a", 3), false}, {object("b", 5), false}}, 17));
      CHECK(names(Cache) == std::vector<std::string>{"a", "b", "d"});
    }
  }
}

// Guards against changes that are taken for old ones after the store came back
// from a copy, in which their revisions were given out again.
SCENARIO("a cache takes over the objects of a restored store", "[cache]") {
  const auto InEra = [](KindUpdate Update, std::uint64_t Era) {
    Update.AsOf.Era = Era;
    for (ObjectChange &Change : Update.Changes)
      Change.Object.Revision.Era = Era;
    return Update;
  };
  ObjectCache Cache;
  Cache.update(InEra(update(true,
                            {{object("a", 3), false},
                             {object("b", 15), false},
                             {object("c", 16), false}},
                            20),
                     1));

  GIVEN("changes of the new era, before a list") {
    THEN("they are not applied: others may be missing") {
      CHECK(
          Cache.update(InEra(update(false, {{object("a", 25), false}}, 25), 2))
              .empty());
      CHECK(Cache.asOf(ObjectKind::Targets) == StoreRevision{20, 1});
    }
  }
  GIVEN("a list of the new era with a lower revision") {
    const auto Changes = Cache.update(InEra(
        update(true, {{object("a", 3), false}, {object("b", 11), false}}, 12),
        2));
    THEN("it holds what is new, but not what is the same") {
      REQUIRE(Changes.size() == 2);
      CHECK(Changes[0].Object.Name == "b");
      CHECK(Changes[1].Removed);
      CHECK(Changes[1].Object.Name == "c");
      CHECK(names(Cache) == std::vector<std::string>{"a", "b"});
    }
    THEN("a change with a revision that was given out before is new") {
      CHECK(
          Cache.update(InEra(update(false, {{object("b", 15), false}}, 15), 2))
              .size() == 1);
    }
    THEN("a source that has not noticed yet changes nothing") {
      CHECK(Cache.update(InEra(update(true, {{object("c", 16), false}}, 30), 1))
                .empty());
      CHECK(names(Cache) == std::vector<std::string>{"a", "b"});
    }
    THEN("a follower gets all objects, in the new era") {
      const KindUpdate Sent =
          transferred(Cache.since(ObjectKind::Targets, StoreRevision{20, 1}));
      CHECK(Sent.Complete);
      CHECK(Sent.AsOf == StoreRevision{12, 2});
      CHECK(Sent.Changes.size() == 2);
      CHECK(Sent.Changes[1].Object.Revision == StoreRevision{11, 2});
    }
  }
}

SCENARIO("a node brings another one up to date", "[cache]") {
  ObjectCache Reader;
  ObjectCache Follower;
  const auto Transfer = [&] {
    KindUpdate Sent =
        Reader.since(ObjectKind::Targets, Follower.asOf(ObjectKind::Targets));
    Follower.update(transferred(Sent));
    return Sent;
  };
  Reader.update(
      update(true, {{object("a", 3), false}, {object("b", 5), false}}, 10));

  GIVEN("a node that knows nothing") {
    THEN("it gets all objects") {
      CHECK(Transfer().Complete);
      CHECK(names(Follower) == names(Reader));
    }
  }
  GIVEN("a node that has missed changes and removals") {
    Transfer();
    Reader.update(update(false, {{object("c", 11), false}}, 11));
    Reader.update(update(false, {{object("a", 3), true}}, 12));
    THEN("it gets just these") {
      const KindUpdate Sent = Transfer();
      CHECK_FALSE(Sent.Complete);
      CHECK(Sent.Changes.size() == 2);
      CHECK(names(Follower) == std::vector<std::string>{"b", "c"});
    }
    WHEN("the removed object was added again") {
      Reader.update(update(false, {{object("a", 13), false}}, 13));
      THEN("its new state arrives") {
        Transfer();
        CHECK(names(Follower) == names(Reader));
      }
    }
  }
  GIVEN("a node that has missed more removals than are remembered") {
    Transfer();
    std::uint64_t Revision = 10;
    for (std::size_t Count = 0; Count < ObjectCache::MaxRemovals + 10;
         ++Count) {
      ++Revision;
      Reader.update(update(false, {{object("x", Revision), false}}, Revision));
      ++Revision;
      Reader.update(update(false, {{object("x", Revision), true}}, Revision));
    }
    THEN("it gets all objects") {
      CHECK(Transfer().Complete);
      CHECK(names(Follower) == names(Reader));
    }
  }
  GIVEN("objects that do not fit one message") {
    StoredObject Large = object("large", 11);
    Large.Content = std::string(MaxPartBytes, 'x');
    Reader.update(
        update(false, {{Large, false}, {object("z", 12), false}}, 12));
    THEN("they arrive in parts") {
      CHECK(encodeKindUpdate(Reader.since(ObjectKind::Targets, {})).size() > 1);
      Transfer();
      CHECK(names(Follower) == names(Reader));
    }
  }
  GIVEN("random histories, of which the other node sees random excerpts") {
    std::mt19937 Random(20261204);
    std::uint64_t Revision = 10;
    bool Same = true;
    for (int Step = 0; Step < 5000; ++Step) {
      ++Revision;
      Reader.update(
          update(false,
                 {{object("o" + std::to_string(Random() % 40), Revision),
                   Random() % 3 == 0}},
                 Revision));
      if (Random() % 7 == 0) {
        Transfer();
        Same = Same && names(Follower) == names(Reader);
      }
    }
    THEN("both always agree after a transfer") { CHECK(Same); }
  }
}

SCENARIO("messages of other nodes are checked", "[cache]") {
  GIVEN("a request") {
    FeedRequest Sent;
    Sent.Node.Text = "node-1";
    Sent.Known[ObjectKind::Moves] = StoreRevision{7};
    THEN("it is read as it was sent") {
      const Expected<FeedRequest> Read =
          decodeFeedRequest(encodeFeedRequest(Sent));
      REQUIRE(Read);
      CHECK(Read->Node == Sent.Node);
      CHECK(Read->Known == Sent.Known);
    }
  }
  GIVEN("a state") {
    const FeedSourceState Sent{true, std::chrono::milliseconds(30)};
    THEN("it is read as it was sent") {
      const Expected<FeedMessage> Read =
          decodeFeedMessage(encodeFeedState(Sent));
      REQUIRE(Read);
      CHECK(std::get<FeedSourceState>(*Read) == Sent);
    }
  }
  GIVEN("messages that were cut or changed") {
    const std::string Sound = encodeKindUpdate(
        update(true, {{object("a", 3), false}, {object("b", 5), true}}, 10))[0];
    THEN("each is read or rejected") {
      std::size_t Rejected = 0;
      for (std::size_t Length = 0; Length < Sound.size(); ++Length)
        Rejected += decodeFeedMessage(Sound.substr(0, Length)) ? 0 : 1;
      CHECK(Rejected == Sound.size());
      std::mt19937 Random(1);
      for (int Round = 0; Round < 20000; ++Round) {
        std::string Changed = Sound;
        Changed[Random() % Changed.size()] = static_cast<char>(Random());
        decodeFeedMessage(Changed);
        decodeFeedRequest(Changed);
      }
    }
  }
}
