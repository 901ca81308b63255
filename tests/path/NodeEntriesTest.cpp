#include "balsamyard/src/Process/NodeEntries.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against stale entries of nodes that have permanently gone. Each one
// reduced the share of the remaining nodes in every limit.
SCENARIO("entries of nodes that are gone are removed", "[nodes]") {
  TimePoint Now{1000 * Second};
  const NodeName A{"a"};
  const NodeName B{"b"};
  const NodeName C{"c"};
  NodeEntries First(A);
  NodeEntries Other(B);
  std::map<NodeName, std::uint64_t> Heartbeats = {{A, 1}, {B, 1}, {C, 1}};
  const auto Read = [&] {
    First.update(Heartbeats, Now);
    Other.update(Heartbeats, Now);
  };
  Read();

  GIVEN("nodes that renew their entries") {
    for (int Minute = 0; Minute < 10; ++Minute) {
      Now += 60 * Second;
      for (auto &[Node, Heartbeat] : Heartbeats)
        ++Heartbeat;
      Read();
    }
    THEN("all stay") {
      CHECK(First.expired(Now).empty());
      CHECK(First.nodes().size() == 3);
    }
  }
  GIVEN("a node that stops renewing its entry") {
    for (int Minute = 0; Minute < 4; ++Minute) {
      Now += 60 * Second;
      ++Heartbeats[A];
      ++Heartbeats[B];
      Read();
    }
    THEN("it stays for its lifetime") { CHECK(First.expired(Now).empty()); }
    WHEN("its lifetime is over") {
      Now += 60 * Second;
      ++Heartbeats[A];
      ++Heartbeats[B];
      Read();
      THEN("one of the others removes it") {
        CHECK(First.expired(Now) == std::set<NodeName>{C});
        CHECK(Other.expired(Now).empty());
      }
    }
    WHEN("it comes back") {
      Now += 60 * Second;
      ++Heartbeats[C];
      Read();
      THEN("it stays") { CHECK(First.expired(Now).empty()); }
    }
  }
  GIVEN("the first node is gone as well") {
    for (int Minute = 0; Minute < 6; ++Minute) {
      Now += 60 * Second;
      ++Heartbeats[B];
      Other.update(Heartbeats, Now);
    }
    THEN("the next one removes both") {
      CHECK(Other.expired(Now) == std::set<NodeName>{A, C});
    }
  }
}
