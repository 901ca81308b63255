#include "balsamyard/Version"

#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;

namespace {

/// Both members always have the same value, so a torn read or a read after free
/// is detected.
struct Pair : RefCounted<Pair> {
  explicit Pair(int Value) : First(Value), Second(Value) {}
  int First;
  int Second;
};

} // namespace

// Guards against a reader that sees a version after it was freed.
TEST_CASE("a version is readable while it is replaced", "[rcu]") {
  RcuCell<Pair> Cell(makeRef<const Pair>(0));

  SECTION("a request keeps the version that it started with") {
    Ref<const Pair> Held = Cell.read();
    Cell.publish(makeRef<const Pair>(1));
    CHECK(Held->First == 0);
    CHECK(Cell.read()->First == 1);
  }

  SECTION("readers never see a torn or an older version") {
    std::vector<std::thread> Readers;
    std::atomic<int> Faults{0};
    for (int Thread = 0; Thread < 4; ++Thread)
      Readers.emplace_back([&] {
        for (int Last = 0; Last < 200;) {
          Ref<const Pair> Seen = Cell.read();
          if (Seen->First != Seen->Second || Seen->First < Last)
            ++Faults;
          Last = Seen->First;
        }
      });
    for (int Value = 1; Value <= 200; ++Value)
      Cell.publish(makeRef<const Pair>(Value));
    for (std::thread &Reader : Readers)
      Reader.join();
    CHECK(Faults == 0);
  }
}
