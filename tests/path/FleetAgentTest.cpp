#include "balsamyard/src/Process/FleetAgent.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \brief The control part of one node.
struct AgentNode {
  RcuCell<FleetView> View{makeRef<const FleetView>()};
  std::unique_ptr<FleetAgent> Agent;

  /// \returns the target of the only service, or null if it gets no requests.
  Ref<KnownTarget> serving() const {
    const Ref<const FleetView> Current = this->View.read();
    if (Current->Services.empty() || Current->Services[0].Targets.empty())
      return nullptr;
    return Current->Services[0].Targets[0];
  }
};

/// \brief Nodes of one failure domain with a store, which has one target. None
/// of them serves requests. The first ones by name read the store.
struct FollowedFleet {
  FakeStore Store;
  asio::io_context Io;
  const asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(this->Io);
  const PlatformAdapter Adapter = platform::makeAdapter();
  std::vector<std::unique_ptr<AgentNode>> Nodes;

  FollowedFleet() {
    this->Store.put("config", "main",
                    {{"version", 7},
                     {"routes", nlohmann::json::array()},
                     {"services", {{{"name", "records"}}}}});
    this->announce("ready", Duration::zero());
    for (std::size_t Index = 0; Index <= FeedSource::ReadersPerDomain; ++Index)
      this->addNode();
    REQUIRE(this->runUntil(
        [&] {
          return this->areAllServing() && this->isFollowing(this->follower());
        },
        20 * Second));
  }

  AgentNode &follower() { return *this->Nodes.back(); }

  bool areAllServing() const {
    return std::all_of(this->Nodes.begin(), this->Nodes.end(),
                       [](const auto &Node) { return Node->serving(); });
  }

  static bool isFollowing(const AgentNode &Node) {
    return !Node.Agent->readsStore();
  }

  /// \brief Starts a node. Its address, which no other run of the tests uses,
  /// depends on the process id.
  AgentNode &addNode() {
    const std::size_t Number = this->Nodes.size() + 1;
    NodeSettings Settings;
    Settings.Node.Text = "node-" + std::to_string(Number);
    Settings.Domain.Text = "east";
    Settings.Region.Text = "north";
    Settings.Regions[Settings.Domain] = Settings.Region;
    const int ProcessId = static_cast<int>(::getpid());
    Settings.Peers.Address =
        "127." + std::to_string(201 + ProcessId / 250 % 50) + "." +
        std::to_string(1 + ProcessId % 250) + "." + std::to_string(Number);
    Settings.Peers.Port = freePort(Settings.Peers.Address);
    const std::string Address = this->Store.address();
    Settings.Store = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                       Address.substr(Address.find(':') + 1)))};
    this->Nodes.push_back(std::make_unique<AgentNode>());
    AgentNode &Added = *this->Nodes.back();
    Added.Agent = std::make_unique<FleetAgent>(
        this->Io, Settings, this->Adapter, Added.View, [] {});
    Added.Agent->start();
    return Added;
  }

  static std::uint16_t freePort(const std::string &Address) {
    asio::io_context Unused;
    const asio::ip::tcp::acceptor Probe(Unused,
                                        {asio::ip::make_address(Address), 0});
    return Probe.local_endpoint().port();
  }

  void announce(const char *State, Duration Warmup) {
    this->Store.put("servers", "i-1",
                    {{"service", "records"},
                     {"address", "127.0.0.1:9"},
                     {"zone", "east"},
                     {"version", "v1"},
                     {"slots", 3},
                     {"state", State},
                     {"warmupLeftMs", Warmup / Millisecond},
                     {"sequence", 1},
                     {"born", 1}});
  }

  template <typename Condition>
  bool runUntil(const Condition &Reached, Duration Limit) {
    const TimePoint GiveUp = steadyNow() + Limit;
    while (!Reached() && steadyNow() < GiveUp)
      this->Io.run_one_for(std::chrono::milliseconds(10));
    return Reached();
  }
};

} // namespace

// Guards against followers that go on using a target that has left, or send too
// much to a cold one: the nodes that read the store knew it from the target
// itself and did not pass on the entry that says so.
SCENARIO("readers know of a target from itself before its entry says it",
         "[fleet]") {
  FollowedFleet Fleet;
  const Duration DrainTime = FleetBounds{}.DrainTime;
  const auto ForReaders = [&](const auto &Do) {
    for (std::size_t Index = 0; Index < FeedSource::ReadersPerDomain; ++Index) {
      REQUIRE_FALSE(FollowedFleet::isFollowing(*Fleet.Nodes[Index]));
      const Ref<KnownTarget> Target = Fleet.Nodes[Index]->serving();
      REQUIRE(Target);
      Do(*Target);
    }
  };

  GIVEN("a target that says in its answers that it leaves") {
    ForReaders([](KnownTarget &Target) { Target.noteDeparture(); });
    Fleet.announce("draining", Duration::zero());
    THEN("a follower that has no requests stops using it in time") {
      CHECK(Fleet.runUntil([&] { return !Fleet.follower().serving(); },
                           DrainTime));
    }
    WHEN("another node starts later and follows") {
      Fleet.runUntil([] { return false; }, Second);
      const AgentNode &Started = Fleet.addNode();
      const auto Connected = [&] {
        const Ref<const FleetView> View = Started.View.read();
        return FollowedFleet::isFollowing(Started) && View->Config &&
               View->TargetsAsOf != StoreRevision{};
      };
      REQUIRE(Fleet.runUntil(Connected, 20 * Second));
      THEN("it never uses the target") {
        CHECK_FALSE(Fleet.runUntil([&] { return Started.serving() != nullptr; },
                                   2 * Second));
      }
    }
  }
  GIVEN("a target whose health page says that it is cold") {
    const Duration Warmup = 20 * Second;
    ForReaders([&](KnownTarget &Target) {
      Target.setColdUntil(steadyNow() + Warmup);
    });
    Fleet.announce("ready", Warmup);
    THEN("a follower that has no requests knows it in time") {
      CHECK(Fleet.runUntil(
          [&] {
            const Ref<KnownTarget> Target = Fleet.follower().serving();
            return Target && Target->isCold(steadyNow());
          },
          DrainTime));
    }
  }
}
