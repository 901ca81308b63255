#include "tests/VirtualFleet.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr TimePoint Now{Duration(1'000'000)};

/// A service with one leaf whose slots get a simulated history.
struct LeafWorld {
  explicit LeafWorld(const WorldShape &Shape)
      : Index(buildIndex(makeView(Shape), makeLocation(), Stats)) {}

  const ServiceIndex &service() const {
    return *this->Index->service({"portal"});
  }
  const VersionRoutes &routes() const { return this->service().Versions[0]; }
  const LeafRoute &leaf() const { return this->routes().Leaves[0]; }

  SlotStats &stats(SlotIndex Slot) const {
    for (const SlotRoute &Route : this->routes().Slots)
      if (Route.Slot == Slot)
        return *Route.Stats;
    FAIL("no such slot");
    return *this->routes().Slots[0].Stats;
  }

  void observe(SlotIndex Slot, Duration Latency, int Times = 40) const {
    for (int Time = 0; Time < Times; ++Time)
      this->stats(Slot).observe(Latency, Now);
  }

  /// \returns how often each slot is chosen with 1,000 seeds.
  std::map<SlotIndex, int> choices(const SlotSet &Tried = {},
                                   TimePoint At = Now) const {
    std::map<SlotIndex, int> Count;
    for (std::uint64_t Seed = 0; Seed < 1000; ++Seed) {
      RandomGenerator Random(Seed);
      const auto Chosen = chooseSlot(this->service(), this->routes(),
                                     this->leaf(), Tried, At, Random);
      if (Chosen)
        ++Count[this->routes().Slots[*Chosen].Slot];
    }
    return Count;
  }

  StatsTable Stats;
  Ref<const RoutingIndex> Index;
};

} // namespace

// Guards against load that leaves the own failure domain unnecessarily, and
// against a straggler that keeps its load.
TEST_CASE("the better of two near slots is chosen", "[choice]") {
  SECTION("with three slots in the own failure domain") {
    LeafWorld World({.Leaves = 1, .Slots = 3, .Domains = 1});
    for (SlotIndex Slot = 0; Slot < 3; ++Slot)
      World.observe(Slot, 5 * Millisecond);

    SECTION("equal slots get equal shares") {
      for (const auto &[Slot, Count] : World.choices())
        CHECK(std::abs(Count - 333) < 80);
    }

    SECTION("the slowest gets nothing, because it loses each comparison") {
      World.observe(1, 50 * Millisecond);
      CHECK(World.choices().count(1) == 0);
      CHECK(World.choices().size() == 2);
    }

    SECTION("a busy slot gets less") {
      for (int Request = 0; Request < 9; ++Request)
        World.stats(2).started();
      CHECK(World.choices().count(2) == 0);
    }

    SECTION("a slot that was tried is never chosen again") {
      SlotSet Tried;
      Tried.insert(0);
      CHECK(World.choices(Tried).count(0) == 0);
      Tried.insert(1);
      CHECK(World.choices(Tried) == std::map<SlotIndex, int>{{2, 1000}});
      Tried.insert(2);
      CHECK(World.choices(Tried).empty());
    }

    SECTION("a slot that fails at once does not attract requests") {
      for (int Failure = 0; Failure < 3; ++Failure)
        World.stats(0).observeFailure(Now);
      CHECK(World.choices().count(0) == 0);

      SECTION("and is tried again later") {
        TimePoint Later = Now;
        for (int Step = 0; Step < 20; ++Step) {
          Later += std::chrono::seconds(1);
          World.stats(1).observe(5 * Millisecond, Later);
          World.stats(2).observe(5 * Millisecond, Later);
        }
        CHECK(World.choices({}, Later).count(0) == 1);
      }
    }
  }

  SECTION("with one slot in each failure domain") {
    LeafWorld World({.Leaves = 1, .Slots = 3, .Domains = 3, .Regions = 1});
    World.observe(0, 5 * Millisecond);
    World.observe(1, 6 * Millisecond);
    World.observe(2, 6 * Millisecond);

    SECTION("the own domain serves") {
      CHECK(World.choices() == std::map<SlotIndex, int>{{0, 1000}});
    }

    SECTION("a straggler there is avoided") {
      World.observe(0, 50 * Millisecond);
      CHECK(World.choices().count(0) == 0);
    }

    SECTION("a few requests in flight are no reason to leave the domain") {
      for (int Request = 0; Request < 4; ++Request)
        World.stats(0).started();
      CHECK(World.choices() == std::map<SlotIndex, int>{{0, 1000}});
    }

    SECTION("many requests in flight are") {
      for (int Request = 0; Request < 30; ++Request)
        World.stats(0).started();
      CHECK(World.choices().count(0) == 0);
    }
  }

  SECTION("a straggler is avoided although the others are in other regions") {
    // 60 ms against 14 ms: with a distance factor of 4, the straggler keeps
    // half of the load.
    LeafWorld World({.Leaves = 1, .Slots = 3, .Domains = 3, .Regions = 3});
    World.observe(0, 50 * Millisecond);
    World.observe(1, 14 * Millisecond);
    World.observe(2, 14 * Millisecond);
    CHECK(World.choices().count(0) == 0);
  }

  SECTION("a slot of the own region comes before one of another") {
    // Domains 0 and 2 lie in region 0, domain 1 in region 1.
    LeafWorld World({.Leaves = 1, .Slots = 3, .Domains = 3, .Regions = 2});
    for (SlotIndex Slot = 0; Slot < 3; ++Slot)
      World.observe(Slot, 5 * Millisecond);
    World.observe(0, 100 * Millisecond);
    CHECK(World.choices() == std::map<SlotIndex, int>{{2, 1000}});
  }

  SECTION("a slot whose holders cannot be reached comes last") {
    LeafWorld World(
        {.Leaves = 1, .Slots = 3, .Domains = 3, .NodesPerDomain = 1});
    for (const HolderRoute &Holder : World.service().Holders)
      if (Holder.Node == nodeName(0, 0))
        Holder.Stats->observeFailure(Now);
    CHECK(World.choices().count(0) == 0);
  }
}

// Guards against one message per leaf: at full scale that would be 35,000
// messages per second and node.
TEST_CASE("a query needs few messages", "[choice]") {
  StatsTable Stats;
  ExtraLoadBudget Budget;

  SECTION("270 leaves in 9 groups, 4 domains with 120 nodes") {
    const WorldShape Shape{.Leaves = 270,
                           .Slots = 4,
                           .ShardsPerLeaf = 1,
                           .Domains = 4,
                           .NodesPerDomain = 120};
    Ref<const RoutingIndex> Index =
        buildIndex(makeView(Shape), makeLocation(), Stats);
    const ServiceIndex &Service = *Index->service({"portal"});
    std::set<std::string> Holders;
    for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
      QueryInput Input;
      Input.Seed = Seed;
      Input.Deadline = Now + 160 * Millisecond;
      Query Search(Input, Service, Service.Versions[0], Budget);
      QueryEffects Effects;
      Search.handle(QueryStarted{}, Now, Effects);
      CHECK(Search.counts().Batches <= 9);
      for (std::uint32_t Batch = 0; Batch < Search.counts().Batches; ++Batch)
        Holders.insert(Search.holderOf(Batch).Node.Text);
    }
    // All lane owners of the own domain are used: lanes 0 to 3 of 9 groups that
    // start at nodes 0 to 8.
    CHECK(Holders.size() == 12);
  }

  SECTION("lane owners that are already in the plan are preferred") {
    const WorldShape Shape{
        .Leaves = 90, .Slots = 3, .ShardsPerLeaf = 1, .NodesPerDomain = 3};
    Ref<const RoutingIndex> Index =
        buildIndex(makeView(Shape), makeLocation(), Stats);
    const ServiceIndex &Service = *Index->service({"portal"});
    std::map<std::string, int> Used;
    for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
      QueryInput Input;
      Input.Seed = Seed;
      Input.Deadline = Now + 160 * Millisecond;
      Query Search(Input, Service, Service.Versions[0], Budget);
      QueryEffects Effects;
      Search.handle(QueryStarted{}, Now, Effects);
      CHECK(Search.counts().Batches == 1);
      ++Used[Search.holderOf(0).Node.Text];
    }
    // All owners are used about equally often.
    CHECK(Used.size() == 3);
    for (const auto &[Node, Count] : Used)
      CHECK(std::abs(Count - 100) < 40);
  }

  SECTION("an owner that failed lately is replaced by another one") {
    const WorldShape Shape{.Leaves = 4, .NodesPerDomain = 2};
    Ref<const RoutingIndex> Index =
        buildIndex(makeView(Shape), makeLocation(), Stats);
    const ServiceIndex &Service = *Index->service({"portal"});
    RandomGenerator Random(1);
    LaneChoice Lanes(Service);
    const std::uint32_t First = Lanes.choose(0, Now, Random);
    CHECK(Lanes.choose(0, Now, Random) == First);
    Service.Holders[First].Stats->observeFailure(Now);
    const std::uint32_t Second = Lanes.choose(0, Now, Random);
    CHECK(Second != First);
  }
}

// Guards against memory that grows with each replaced VM, and against losing
// the history on each change of the configuration.
TEST_CASE("statistics follow the routing data", "[choice]") {
  StatsTable Stats;
  const WorldShape Shape{.Leaves = 2, .Slots = 3, .NodesPerDomain = 1};
  Ref<RoutingView> View = makeView(Shape);
  Ref<const RoutingIndex> First = buildIndex(View, makeLocation(), Stats);
  const SlotStats *Slot =
      First->service({"portal"})->Versions[0].Slots[0].Stats.get();

  SECTION("a slot keeps its history from version to version") {
    Ref<const RoutingIndex> Next = buildIndex(View, makeLocation(), Stats);
    CHECK(Next->service({"portal"})->Versions[0].Slots[0].Stats.get() == Slot);
  }

  SECTION("replaced targets are forgotten") {
    for (std::uint16_t Version = 1; Version <= 500; ++Version) {
      Ref<RoutingView> Next = makeRef<RoutingView>(*View);
      for (CatalogLeaf &Leaf : Next->Services[{"portal"}].Leaves)
        for (CatalogSlot &Replica : Leaf.Slots)
          Replica.Address.Port = static_cast<std::uint16_t>(
              Version * 100 + Leaf.Index * 10 + Replica.Index);
      buildIndex(Next, makeLocation(), Stats);
    }
    CHECK(Stats.size() <= (StatsTable::KeptVersions + 2) * 6 + 4);
  }
}
