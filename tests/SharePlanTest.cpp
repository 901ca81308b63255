#include "balsamyard/src/Version/SharePlan.h"
#include "balsamyard/src/Connection/SlotLimiter.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t ConnectionLimit = 30;

std::map<ServiceName, ServiceCatalog> oneService(LeafIndex Leaves) {
  ServiceCatalog Catalog;
  Catalog.Name = {"permits"};
  for (LeafIndex Leaf = 0; Leaf < Leaves; ++Leaf)
    Catalog.Leaves.push_back({Leaf,
                              {{0,
                                {"east"},
                                {"v1"},
                                {"127.0.0.1", 8000},
                                ConnectionLimit,
                                4,
                                false}}});
  return {{Catalog.Name, Catalog}};
}

std::set<NodeName> nodes(int Count) {
  std::set<NodeName> Result;
  for (int Index = 0; Index < Count; ++Index)
    Result.insert({"east-" + std::to_string(Index)});
  return Result;
}

ShareInputs inputs(const NodeName &Self, const std::set<NodeName> &Usable) {
  ShareInputs Result;
  Result.Self = Self;
  Result.Usable = Usable;
  Result.Now = TimePoint(1h);
  return Result;
}

/// Lets the nodes plan in turn until nothing changes.
/// \returns the number of lanes that moved.
int moveUntilStable(ShareTable &Table,
                    const std::map<ServiceName, ServiceCatalog> &Services,
                    const std::set<NodeName> &Usable) {
  int Moved = 0;
  for (bool Changed = true; Changed;) {
    Changed = false;
    for (const NodeName &Node : Usable) {
      LaneStep Step = planShares(Table, Services, inputs(Node, Usable));
      REQUIRE(Step.Released.size() <= MaxMovesPerWrite);
      Moved += static_cast<int>(Step.Moved.size());
      Changed = Changed || Step.Changed;
      Table = Step.Next;
    }
  }
  return Moved;
}

std::map<NodeName, int> lanesPerNode(const ShareTable &Table) {
  std::map<NodeName, int> Count;
  for (const auto &[Group, Lanes] : Table.Lanes)
    for (const NodeName &Owner : Lanes)
      ++Count[Owner];
  return Count;
}

ShareTable emptyTable() {
  ShareTable Table;
  Table.Domain = {"east"};
  return Table;
}

} // namespace

// Guards against lanes that accumulate on a few nodes, and against unnecessary
// moves, each of which makes slots cold.
TEST_CASE("lanes are spread over the nodes of a failure domain", "[shares]") {
  auto Services = oneService(100 * LeafGroupSize);
  ShareTable Table = emptyTable();

  SECTION("a single node owns all lanes") {
    moveUntilStable(Table, Services, nodes(1));
    CHECK(Table.Lanes.size() == 100);
    CHECK(lanesPerNode(Table).at({"east-0"}) == 400);
  }
  SECTION("the lanes of a group have distinct owners if there are enough") {
    moveUntilStable(Table, Services, nodes(120));
    for (const auto &[Group, Lanes] : Table.Lanes)
      CHECK(std::set<NodeName>(Lanes.begin(), Lanes.end()).size() == 4);
  }
  SECTION("two nodes own two lanes of each group") {
    moveUntilStable(Table, Services, nodes(2));
    CHECK(lanesPerNode(Table).at({"east-0"}) == 200);
  }
  SECTION("a node that joins gets its share, and few other lanes move") {
    moveUntilStable(Table, Services, nodes(9));
    int Moved = moveUntilStable(Table, Services, nodes(10));
    int Share = lanesPerNode(Table).at({"east-9"});
    CHECK(Share > 20);
    CHECK(Share < 60);
    CHECK(Moved < 2 * Share);
  }
  SECTION("a leaving node releases all lanes in one update") {
    moveUntilStable(Table, Services, nodes(10));
    ShareInputs Leaving = inputs({"east-3"}, nodes(10));
    Leaving.Leaving = true;
    LaneStep Step = planShares(Table, Services, Leaving);
    CHECK(ownedBy(Step.Next, {"east-3"}).empty());
    CHECK(Step.Released.size() == Step.Moved.size());
    CHECK_FALSE(lanesPerNode(Step.Next).contains({""}));
  }
  SECTION("the last node leaves its lanes without an owner") {
    moveUntilStable(Table, Services, nodes(1));
    ShareInputs Leaving = inputs({"east-0"}, {});
    Leaving.Leaving = true;
    LaneStep Step = planShares(Table, Services, Leaving);
    CHECK(lanesPerNode(Step.Next).at({""}) == 400);
  }
  SECTION("groups without slots are removed") {
    moveUntilStable(Table, Services, nodes(3));
    moveUntilStable(Table, oneService(LeafGroupSize), nodes(3));
    CHECK(Table.Lanes.size() == 1);
  }
}

// Guards against a lane that is taken from a node that may still use it.
TEST_CASE("only nodes that are gone lose lanes to others", "[shares]") {
  auto Services = oneService(10 * LeafGroupSize);
  ShareTable Table = emptyTable();
  moveUntilStable(Table, Services, nodes(3));
  std::set<NodeName> Rest = nodes(2);
  ShareInputs Input = inputs({"east-0"}, Rest);

  SECTION("an unreachable node keeps its lanes") {
    CHECK(ownedBy(planShares(Table, Services, Input).Next, {"east-2"}) ==
          ownedBy(Table, {"east-2"}));
  }
  SECTION("a node that is gone for less than the delay keeps its lanes") {
    Input.GoneSince[{"east-2"}] = Input.Now - TransferDelay + 1us;
    CHECK(ownedBy(planShares(Table, Services, Input).Next, {"east-2"}) ==
          ownedBy(Table, {"east-2"}));
  }
  SECTION("after the delay its lanes get new owners") {
    Input.GoneSince[{"east-2"}] = Input.Now - TransferDelay;
    ShareTable Next = planShares(Table, Services, Input).Next;
    CHECK(ownedBy(Next, {"east-2"}).empty());
    CHECK(ownedBy(Next, {"east-1"}).size() >=
          ownedBy(Table, {"east-1"}).size());
  }
  SECTION("a node never treats itself as gone") {
    Input.GoneSince[{"east-0"}] = TimePoint{};
    LaneStep Step = planShares(Table, Services, Input);
    CHECK(Step.Released.size() <= MaxMovesPerWrite);
  }
}

// Guards against gates that accumulate on a few nodes, and against a new owner
// that accepts ids from before it became the owner.
TEST_CASE("write gates are spread over all nodes", "[shares]") {
  GateTable Table;
  for (const NodeName &Node : nodes(1)) {
    ShareInputs Input = inputs(Node, {});
    Input.Wall = WallTime(1000s);
    Table = planGates(Table, Input).Next;
  }
  CHECK(ownedBy(Table, {"east-0"}).size() == WriteGateCount);
  CHECK(Table.Gates[0].Since == WallTime(1000s));

  SECTION("nodes that join get their share, with the time in Since") {
    ShareInputs Input = inputs({"east-0"}, nodes(8));
    Input.Wall = WallTime(2000s);
    for (int Round = 0; Round < 4; ++Round)
      Table = planGates(Table, Input).Next;
    for (const NodeName &Node : nodes(8)) {
      CHECK(ownedBy(Table, Node).size() >= 4);
      CHECK(ownedBy(Table, Node).size() <= 10);
    }
    for (const GateOwner &Owner : Table.Gates)
      CHECK(Owner.Since ==
            WallTime(Owner.Node == NodeName{"east-0"} ? 1000s : 2000s));
  }
}

namespace {

/// Simulates the processes, platform and network of one failure domain in
/// virtual time. Updates and their answers may be delayed or lost, and
/// processes restart while their updates are in flight.
class ShareWorld {
public:
  ShareWorld(std::uint32_t Seed, int NodeCount) : Random(Seed) {
    for (const NodeName &Name : nodes(NodeCount)) {
      this->Hosts.push_back({});
      this->Hosts.back().Name = Name;
      this->restart(this->Hosts.back());
    }
  }

  void run(Duration Length, bool WithoutFaults) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += 100ms)
      this->tick(WithoutFaults);
  }

  /// \returns the number of lanes that each running process uses.
  std::map<NodeName, int> use() {
    std::map<NodeName, int> Result;
    for (Host &Node : this->Hosts)
      if (Node.Running)
        Result[Node.Name] = static_cast<int>(Node.Ledger->usable().size());
    return Result;
  }

  int DoubleUses = 0;
  std::uint32_t MaxConnections = 0;
  int Takeovers = 0;

private:
  struct Message {
    TimePoint Due;
    std::size_t Host = 0;
    std::uint64_t Call = 0;
    bool Read = false;
    LaneLedger::Write Update;
  };
  struct Reply {
    TimePoint Due;
    std::size_t Host = 0;
    std::uint64_t Call = 0;
    bool Read = false;
    Expected<ShareTable> Table;
    Expected<std::uint64_t> Version;
  };
  struct Host {
    NodeName Name;
    bool Running = true;
    bool Listed = true;
    std::optional<TimePoint> EndsAt;
    std::optional<TimePoint> ReturnsAt;
    TimePoint PartitionedUntil{};
    TimePoint NextStep{};
    std::unique_ptr<LaneLedger> Ledger;
    std::uint64_t Call = 0; ///< 0: no call is running.
    TimePoint CallEnds{};
    LaneLedger::Write Update;
    bool Read = false;
    std::map<NodeName, TimePoint> GoneSince;
  };

  int draw(int Min, int Max) {
    return boost::random::uniform_int_distribution<int>(Min, Max)(this->Random);
  }

  void restart(Host &Node) {
    Node.Running = true;
    Node.Ledger = std::make_unique<LaneLedger>(Node.Name, emptyTable());
    Node.Call = 0;
    Node.GoneSince.clear();
  }

  Duration latency() {
    // One message in ten is delayed for up to 20 s.
    return std::chrono::milliseconds(
        this->draw(0, 9) == 0 ? this->draw(0, 20000) : this->draw(0, 300));
  }

  void tick(bool WithoutFaults) {
    if (!WithoutFaults)
      this->disturb();
    this->replaceVms();
    this->deliver(WithoutFaults);
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
      this->act(Index, WithoutFaults);
    this->check();
  }

  void disturb() {
    Host &Node = this->Hosts[this->draw(0, (int)this->Hosts.size() - 1)];
    int Event = this->draw(0, 999);
    if (Event < 10 && Node.Running && !Node.EndsAt)
      this->restart(Node);
    else if (Event < 20)
      Node.PartitionedUntil =
          this->Now + std::chrono::seconds(this->draw(1, 40));
    else if (Event < 23 && !Node.EndsAt && Node.Running) {
      // The list may drop a VM before its processes have ended.
      Node.Listed = false;
      Node.EndsAt = this->Now + std::chrono::seconds(this->draw(0, 25));
      Node.ReturnsAt = this->Now + std::chrono::seconds(this->draw(60, 120));
    }
  }

  void replaceVms() {
    for (Host &Other : this->Hosts) {
      if (Other.EndsAt && Other.Running && this->Now >= *Other.EndsAt)
        Other.Running = false;
      if (Other.ReturnsAt && this->Now >= *Other.ReturnsAt) {
        Other.Listed = true;
        Other.EndsAt.reset();
        Other.ReturnsAt.reset();
        this->restart(Other);
      }
    }
  }

  void deliver(bool WithoutFaults) {
    auto Due = [this](const auto &Entry) { return Entry.Due <= this->Now; };
    std::vector<Message> Arrived;
    std::copy_if(this->Messages.begin(), this->Messages.end(),
                 std::back_inserter(Arrived), Due);
    std::erase_if(this->Messages, Due);
    for (const Message &Request : Arrived) {
      Reply Answer;
      Answer.Due = this->Now + this->latency();
      Answer.Host = Request.Host;
      Answer.Call = Request.Call;
      Answer.Read = Request.Read;
      Answer.Table = fail(Code::ObjectAbsent, "");
      Answer.Version = fail(Code::PlatformConflict, "");
      if (Request.Read) {
        if (this->Object)
          Answer.Table = *this->Object;
      } else if (Request.Update.IfVersion ==
                 (this->Object ? this->Object->Version : 0)) {
        this->Object = Request.Update.Next;
        this->Object->Version = ++this->Counter;
        Answer.Version = this->Counter;
        this->History.push_back(*this->Object);
      }
      if (WithoutFaults || this->draw(0, 4) != 0)
        this->Replies.push_back(Answer);
    }
    std::vector<Reply> Back;
    std::copy_if(this->Replies.begin(), this->Replies.end(),
                 std::back_inserter(Back), Due);
    std::erase_if(this->Replies, Due);
    for (const Reply &Answer : Back) {
      Host &Node = this->Hosts[Answer.Host];
      if (!Node.Running || Node.Call != Answer.Call)
        continue;
      Node.Call = 0;
      if (Answer.Read)
        Node.Ledger->readDone(Answer.Table);
      else
        Node.Ledger->writeDone(Node.Update, Answer.Version);
    }
  }

  void act(std::size_t Index, bool WithoutFaults) {
    Host &Node = this->Hosts[Index];
    if (!Node.Running)
      return;
    if (Node.Call != 0 && this->Now >= Node.CallEnds) {
      Node.Call = 0;
      if (Node.Read)
        Node.Ledger->readDone(fail(Code::PlatformUnavailable, ""));
      else
        Node.Ledger->writeDone(Node.Update,
                               fail(Code::PlatformUnavailable, ""));
    }
    if (Node.Call != 0 || this->Now < Node.NextStep)
      return;
    Node.NextStep =
        this->Now + std::chrono::milliseconds(this->draw(500, 1500));
    // Other nodes may pass on any version; without faults, the newest.
    if (!this->History.empty() && (WithoutFaults || this->draw(0, 1) == 0)) {
      int Last = static_cast<int>(this->History.size()) - 1;
      Node.Ledger->learn(
          this->History[WithoutFaults ? Last : this->draw(0, Last)]);
    }

    ShareInputs Input = inputs(Node.Name, {});
    Input.Now = this->Now;
    for (const Host &Other : this->Hosts) {
      if (Other.Listed)
        Node.GoneSince.erase(Other.Name);
      else
        Node.GoneSince.emplace(Other.Name, this->Now);
      // Each node has its own view, which is exact only without faults.
      if (WithoutFaults ? Other.Running : this->draw(0, 2) != 0)
        Input.Usable.insert(Other.Name);
    }
    Input.GoneSince = Node.GoneSince;
    auto Action = Node.Ledger->next([&](const ShareTable &Base) {
      return planShares(Base, this->Services, Input);
    });
    if (std::holds_alternative<ShareIdle>(Action))
      return;
    Message Request;
    Request.Due = this->Now + this->latency();
    Request.Host = Index;
    Request.Call = Node.Call = ++this->LastCall;
    Node.CallEnds = this->Now + 2s;
    Node.Read = Request.Read = std::holds_alternative<ShareRead>(Action);
    if (!Request.Read) {
      Request.Update = std::get<LaneLedger::Write>(Action);
      Node.Update = Request.Update;
      Node.Ledger->begin(Request.Update);
      this->Takeovers +=
          Request.Update.Moved.size() > Request.Update.Released.size();
    }
    bool Lost = !WithoutFaults &&
                (this->Now < Node.PartitionedUntil || this->draw(0, 19) == 0);
    if (!Lost)
      this->Messages.push_back(Request);
  }

  void check() {
    std::map<LaneKey, int> Users;
    std::map<GroupKey, std::uint32_t> Connections;
    for (Host &Node : this->Hosts) {
      if (!Node.Running)
        continue;
      for (const LaneKey &Lane : Node.Ledger->usable()) {
        ++Users[Lane];
        // Connections that the process may open to a slot of the group.
        Connections[Lane.Group] +=
            laneShare(ConnectionLimit, MaxLaneCount, Lane.Lane);
      }
    }
    for (const auto &[Lane, Count] : Users)
      this->DoubleUses += Count > 1;
    for (const auto &[Group, Count] : Connections)
      this->MaxConnections = std::max(this->MaxConnections, Count);
  }

  boost::random::mt19937 Random;
  TimePoint Now{1h};
  std::vector<Host> Hosts;
  std::optional<ShareTable> Object;
  std::vector<ShareTable> History;
  std::uint64_t Counter = 0;
  std::uint64_t LastCall = 0;
  std::vector<Message> Messages;
  std::vector<Reply> Replies;
  std::map<ServiceName, ServiceCatalog> Services =
      oneService(3 * LeafGroupSize);
};

} // namespace

// Guards against two processes that use one lane, and thus open more
// connections than the target accepts.
TEST_CASE("no two processes use one lane at the same time", "[shares]") {
  int Takeovers = 0;
  std::uint32_t MaxConnections = 0;
  for (std::uint32_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    ShareWorld World(Seed, 3 + static_cast<int>(Seed % 4));
    World.run(600s, false);
    REQUIRE(World.DoubleUses == 0);
    REQUIRE(World.MaxConnections <= ConnectionLimit);
    Takeovers += World.Takeovers;
    MaxConnections = std::max(MaxConnections, World.MaxConnections);
  }
  SECTION("the runs contain takeovers and heavy use") {
    CHECK(Takeovers > 100);
    CHECK(MaxConnections > ConnectionLimit / 2);
  }
}

// Guards against lanes that stay unused after the faults have ended.
TEST_CASE("after the faults all lanes are used again", "[shares]") {
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    ShareWorld World(Seed, 4);
    World.run(200s, false);
    World.run(240s, true);
    int Used = 0;
    for (const auto &[Node, Lanes] : World.use())
      Used += Lanes;
    CHECK(Used == 3 * static_cast<int>(MaxLaneCount));
  }
}
