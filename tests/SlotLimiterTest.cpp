#include "balsamyard/Connection"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

/// Drives one limiter in virtual time.
struct SlotWorld {
  explicit SlotWorld(SlotShare Share) : Limiter(Share, TimePoint(0s)) {}

  std::vector<SlotEffect> apply(const SlotEvent &Event) {
    return this->Limiter.apply(Event, this->Now);
  }

  SlotTicket start() {
    auto Ticket = this->Limiter.start();
    REQUIRE(Ticket);
    return *Ticket;
  }

  std::vector<SlotEffect> answer(const SlotTicket &Ticket,
                                 std::uint64_t Incarnation = 1,
                                 TargetState State = TargetState::Warm,
                                 Duration Latency = 1ms) {
    return this->apply(SlotAnswered{Ticket, Incarnation, State, Latency});
  }

  /// Answers \p Count requests one after the other.
  void serve(int Count, Duration Latency = 1ms) {
    for (int Request = 0; Request < Count; ++Request)
      this->answer(this->start(), 1, TargetState::Warm, Latency);
  }

  void warmUp() {
    for (int Window = 0; Window < 20; ++Window) {
      this->Now += 1s;
      this->serve(static_cast<int>(this->Limiter.limit()));
    }
    REQUIRE(name(this->Limiter.state()) == "warm");
  }

  std::string_view state() const { return name(this->Limiter.state()); }

  SlotLimiter Limiter;
  TimePoint Now{0s};
};

} // namespace

// Guards against lane owners that together exceed the limit of a target.
TEST_CASE("the parts of all lanes stay within the limit", "[slot]") {
  for (std::uint32_t Limit = 0; Limit <= 130; ++Limit)
    for (std::uint32_t Count = 1; Count <= 8; ++Count) {
      std::uint32_t Sum = 0;
      for (std::uint32_t Lane = 0; Lane < Count; ++Lane)
        Sum += laneShare(Limit, Count, Lane);
      CHECK(Sum <= Limit);
      CHECK((Limit == 0 || Sum > 0));
    }
  CHECK(laneShare(4, 0, 0) == 0);
}

TEST_CASE("a slot warms up by good answers only", "[slot]") {
  SlotWorld World({25, 2});
  REQUIRE(World.state() == "cold");
  REQUIRE(World.Limiter.limit() == 2);

  // Guards against a limit that is exceeded while a slot is cold.
  SECTION("no more requests than the cold share are in flight") {
    World.start();
    World.start();
    CHECK_FALSE(World.Limiter.start());
  }

  // Guards against a ramp that is faster than the target can follow.
  SECTION("good answers within a second do not raise the limit") {
    World.Now += 999ms;
    World.serve(100);
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("a second without enough answers does not raise the limit") {
    World.Now += 5s;
    World.serve(1);
    CHECK(World.Limiter.limit() == 2);

    SECTION("each further window doubles it until the share is reached") {
      std::vector<std::uint32_t> Limits;
      while (World.state() != "warm" && Limits.size() < 20) {
        World.serve(static_cast<int>(World.Limiter.limit()));
        Limits.push_back(World.Limiter.limit());
        World.Now += 1s;
      }
      CHECK(Limits == std::vector<std::uint32_t>{4, 8, 16, 25});
    }
  }

  // Guards against full load on a cold target whose health page wrongly reports
  // warm.
  SECTION("the health page alone never raises the limit") {
    for (int Poll = 0; Poll < 1000; ++Poll) {
      World.Now += 1s;
      World.apply(HealthSeen{TargetState::Warm, 1});
    }
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("answers that still say cold hold the limit") {
    for (int Request = 0; Request < 100; ++Request) {
      World.Now += 1s;
      World.answer(World.start(), 1, TargetState::Cold);
    }
    CHECK(World.Limiter.limit() == 2);
  }

  // Guards against a leaving target that still gets work.
  SECTION("an answer that says leaving ends new work") {
    CHECK(World.answer(World.start(), 1, TargetState::Leaving).size() == 1);
    CHECK_FALSE(World.Limiter.start());

    SECTION("also when its connections close") {
      World.apply(ConnectionsLost{});
      CHECK(World.state() == "leaving");
    }

    SECTION("also when the health page denies it") {
      World.Now += 1h;
      World.apply(HealthSeen{TargetState::Warm, 1});
      CHECK(World.state() == "leaving");
    }

    SECTION("a new incarnation starts cold") {
      World.apply(HealthSeen{TargetState::Cold, 2});
      CHECK(World.state() == "cold");
    }
  }

  SECTION("a slot reported as leaving only by a peer is tried again later") {
    World.apply(PeerReportedLeaving{});
    World.apply(HealthSeen{TargetState::Warm, 1});
    CHECK(World.state() == "leaving");
    World.Now += SlotLimiter::LeavingRetryDelay;
    World.apply(HealthSeen{TargetState::Warm, 1});
    CHECK(World.state() == "cold");
  }
}

// Guards against a target in cold start that gets the load of a warm one.
TEST_CASE("a warm slot is treated as cold again on evidence", "[slot]") {
  SlotWorld World({25, 2});
  World.warmUp();
  REQUIRE(World.Limiter.limit() == 25);

  SECTION("after all connections were lost") {
    const auto Effects = World.apply(ConnectionsLost{});
    REQUIRE(Effects.size() == 1);
    CHECK(std::get<BecameCold>(Effects.front()).NotifyPeers);
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("after an answer of a new incarnation") {
    World.answer(World.start(), 2);
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("after an answer that says cold") {
    World.answer(World.start(), 1, TargetState::Cold);
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("after consecutive shed answers") {
    for (std::uint32_t Shed = 1; Shed < SlotLimiter::ShedsUntilCold; ++Shed)
      World.apply(SlotShed{World.start()});
    CHECK(World.Limiter.limit() == 25);
    World.apply(SlotShed{World.start()});
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("shed answers with good ones between them are no evidence") {
    for (int Round = 0; Round < 50; ++Round) {
      World.apply(SlotShed{World.start()});
      World.serve(1);
    }
    CHECK(World.state() == "warm");
  }

  SECTION("after answers far slower than its baseline") {
    World.serve(300);
    World.serve(1, 50ms);
    World.serve(40, 10ms);
    CHECK(World.Limiter.limit() < 25);
  }

  SECTION("one slow answer is no evidence") {
    World.serve(300);
    World.serve(1, 20ms);
    World.serve(50);
    CHECK(World.state() == "warm");
  }

  SECTION("when another lane's owner says so, without telling others again") {
    const auto Effects = World.apply(PeerReportedCold{});
    REQUIRE(Effects.size() == 1);
    CHECK_FALSE(std::get<BecameCold>(Effects.front()).NotifyPeers);
    CHECK(World.Limiter.limit() == 2);
  }

  // Guards against answers from before the evidence that warm the slot up.
  SECTION("and requests that were started before do not warm it up") {
    std::vector<SlotTicket> Old;
    for (int Request = 0; Request < 5; ++Request)
      Old.push_back(World.start());
    World.apply(PeerReportedCold{});
    World.Now += 10s;
    for (const SlotTicket &Ticket : Old)
      World.answer(Ticket);
    CHECK(World.Limiter.limit() == 2);
  }

  SECTION("when a lane is taken over") {
    World.apply(ShareChanged{{50, 4}, true});
    CHECK(World.Limiter.limit() == 4);
  }

  SECTION("requests in flight count against the cold share") {
    std::vector<SlotTicket> Old;
    for (int Request = 0; Request < 10; ++Request)
      Old.push_back(World.start());
    World.apply(ConnectionsLost{});
    CHECK_FALSE(World.Limiter.start());
    for (std::size_t Request = 0; Request < 9; ++Request)
      World.apply(SlotFailed{Old[Request]});
    CHECK(World.Limiter.start());

    // Guards against answers of the previous incarnation that warm up the new
    // one.
    SECTION("and late answers of before do not warm it up") {
      World.Now += 10s;
      World.answer(Old[9]);
      CHECK(World.Limiter.limit() == 2);
    }
  }
}

namespace {

/// A target that counts what reaches it while it is cold.
struct FakeTarget {
  std::uint32_t ColdLimit = 0;
  std::uint64_t Incarnation = 1;
  bool Cold = true;
  TimePoint ColdSince{0s};
  std::uint32_t Answered = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t HighestCold = 0;

  void restart(TimePoint Now) {
    ++this->Incarnation;
    this->Cold = true;
    this->ColdSince = Now;
    this->Answered = 0;
    this->InFlight = 0;
  }

  void arrive() {
    ++this->InFlight;
    if (this->Cold)
      this->HighestCold = std::max(this->HighestCold, this->InFlight);
  }

  void answer(TimePoint Now) {
    --this->InFlight;
    if (++this->Answered >= 30 && Now - this->ColdSince >= 3s)
      this->Cold = false;
  }
};

/// A node with its own, possibly outdated, view of the lanes that it uses.
struct LaneOwner {
  struct Request {
    SlotTicket Ticket;
    std::uint64_t Incarnation = 0;
    TimePoint Until;
  };

  LaneUsage Usage;
  std::optional<SlotLimiter> Limiter;
  std::vector<Request> Running;
  bool Connected = false; ///< To the current incarnation.
};

constexpr std::uint32_t OwnerCount = 5;
const GroupKey Group{{"permits"}, 0};

/// Simulates lanes that move between owners and a target that restarts and
/// whose health page always reports warm.
struct ColdWorld {
  explicit ColdWorld(std::uint32_t Seed) : Random(Seed) {
    this->Target.ColdLimit = this->draw(1, 8);
    this->Connections = this->draw(8, 100);
    this->Table.resize(MaxLaneCount, OwnerCount);
  }

  std::uint32_t draw(std::uint32_t Least, std::uint32_t Most) {
    return boost::random::uniform_int_distribution<std::uint32_t>(Least, Most)(
        this->Random);
  }

  /// Gives an unused lane to a random owner; if the lane is in use, its owner
  /// stops using it first.
  void moveLane() {
    const std::uint32_t Lane = this->draw(0, MaxLaneCount - 1);
    std::uint32_t &Owner = this->Table[Lane];
    if (Owner < OwnerCount) {
      LaneOwner &Previous = this->Nodes[Owner];
      Previous.Usage.stop({{Group, Lane}});
      this->share(Previous, false);
      // The lane is written to the table once its connections are closed.
      if (Previous.Running.size() > Previous.Limiter->share().Connections)
        return;
      if (Previous.Running.size() > Previous.Limiter->share().ColdInFlight)
        return;
    }
    Owner = this->draw(0, OwnerCount - 1);
    LaneOwner &Next = this->Nodes[Owner];
    std::set<LaneKey> Usable = Next.Usage.used();
    Usable.insert({Group, Lane});
    const bool Taken = !Next.Usage.apply(Usable).empty();
    this->share(Next, Taken);
  }

  void share(LaneOwner &Node, bool Taken) {
    CatalogSlot Slot;
    Slot.ConnectionLimit = this->Connections;
    Slot.ColdLimit = this->Target.ColdLimit;
    const SlotShare Share = slotShare(Slot, Node.Usage.used(Group), 1.0);
    if (!Node.Limiter)
      Node.Limiter.emplace(SlotShare{}, this->Now);
    Node.Limiter->apply(ShareChanged{Share, Taken}, this->Now);
  }

  void restartTarget() {
    this->Target.restart(this->Now);
    for (LaneOwner &Node : this->Nodes) {
      // Its connections break, so every request on them ends at once.
      for (const LaneOwner::Request &Request : Node.Running)
        Node.Limiter->apply(SlotFailed{Request.Ticket}, this->Now);
      Node.Running.clear();
      Node.Connected = false;
    }
  }

  void begin(LaneOwner &Node) {
    if (!Node.Limiter)
      return;
    if (!Node.Connected) {
      // The first use of the kept connections shows that they were closed.
      if (this->SeesLostConnections)
        Node.Limiter->apply(ConnectionsLost{}, this->Now);
      Node.Connected = true;
    }
    const auto Ticket = Node.Limiter->start();
    if (!Ticket)
      return;
    this->Target.arrive();
    Node.Running.push_back({*Ticket, this->Target.Incarnation,
                            this->Now + Duration(this->draw(1, 50) * 1000)});
  }

  void step() {
    this->Now += 5ms;
    for (LaneOwner &Node : this->Nodes) {
      std::erase_if(Node.Running, [&](const LaneOwner::Request &Request) {
        if (this->Now < Request.Until)
          return false;
        this->Target.answer(this->Now);
        const TargetState Says =
            this->Target.Cold ? TargetState::Cold : TargetState::Warm;
        Node.Limiter->apply(
            SlotAnswered{Request.Ticket, this->Target.Incarnation, Says, 2ms},
            this->Now);
        return true;
      });
      if (Node.Limiter && this->draw(0, 3) == 0)
        Node.Limiter->apply(
            HealthSeen{TargetState::Warm, this->Target.Incarnation}, this->Now);
      const std::uint32_t Arriving = this->draw(0, 6);
      for (std::uint32_t Request = 0; Request < Arriving; ++Request)
        this->begin(Node);
    }
    if (this->draw(0, 150) == 0)
      this->moveLane();
    if (this->draw(0, 1500) == 0)
      this->restartTarget();
  }

  boost::random::mt19937 Random;
  FakeTarget Target;
  std::uint32_t Connections = 0;
  std::vector<std::uint32_t> Table;
  std::array<LaneOwner, OwnerCount> Nodes;
  TimePoint Now{0s};
  bool SeesLostConnections = true;
};

} // namespace

// Guards against a sum over all lane owners that overloads a cold target: lanes
// move, the target restarts, and its health page always says warm.
TEST_CASE("the load of a cold target never exceeds its cold limit",
          "[slot][seeded]") {
  std::uint32_t Warmed = 0;
  for (std::uint32_t Seed = 1; Seed <= 60; ++Seed) {
    ColdWorld World(Seed);
    for (int Step = 0; Step < 6000; ++Step)
      World.step();
    INFO("seed " << Seed << ", cold limit " << World.Target.ColdLimit);
    CHECK(World.Target.HighestCold <= World.Target.ColdLimit);
    Warmed += World.Target.Cold ? 0 : 1;
  }
  // The limit does not hold merely because nothing is served.
  CHECK(Warmed > 10);
}

// Verifies that the test above detects a missing rule.
TEST_CASE("a limiter that misses lost connections overloads a cold target",
          "[slot][seeded]") {
  std::uint32_t Overloads = 0;
  for (std::uint32_t Seed = 1; Seed <= 60; ++Seed) {
    ColdWorld World(Seed);
    World.SeesLostConnections = false;
    for (int Step = 0; Step < 6000; ++Step)
      World.step();
    Overloads += World.Target.HighestCold > World.Target.ColdLimit ? 1 : 0;
  }
  CHECK(Overloads > 0);
}
