#include "balsamyard/src/Connection/TargetChannel.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

Ref<LinkCall> call(KnownTarget &Target) {
  auto Result = makeRef<LinkCall>();
  Result->Target = Ref<KnownTarget>(&Target);
  Result->Method = "GET";
  Result->MakeMessage = [](TimePoint) { return std::string(); };
  return Result;
}

} // namespace

// A target that left the view failed its waiting calls, whose requests went to
// targets that had no channel yet; opening those channels while the channels
// were walked through broke the walk, and the process crashed.
SCENARIO("calls move to new targets while channels are retired", "[channel]") {
  asio::io_context Io;
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  TargetChannels Channels(Io, Protocol, 1);
  PathWorld World(singleRoute(true));
  const ServiceNumber Service = World.addService("records");
  std::vector<KnownTarget *> Old;
  for (int Count = 0; Count < 20; ++Count) {
    Old.push_back(&World.addTarget(Service, "old-" + std::to_string(Count)));
    // Not reachable yet, so that calls wait.
    Old.back()->setReach(Reach::Suspect);
  }
  World.input();
  const std::vector<Ref<KnownTarget>> Kept =
      World.View->Services[Service].Targets;
  Channels.setView(World.View);

  GIVEN("calls that wait at every target") {
    std::vector<Ref<KnownTarget>> Next;
    int Ended = 0;
    for (KnownTarget *Target : Old) {
      const Ref<LinkCall> Waiting = call(*Target);
      Waiting->OnEnd = [&](const Expected<HttpResponse> &Result, bool Sent) {
        ++Ended;
        CHECK_FALSE(Result);
        CHECK_FALSE(Sent);
        for (int Count = 0; Count < 200; ++Count) {
          Next.push_back(makeRef<KnownTarget>(TargetInfo{}));
          Channels.channelFor(*Next.back());
        }
      };
      Channels.channelFor(*Target).submit(Waiting);
    }
    WHEN("the targets leave the view") {
      const auto Later = makeRef<FleetView>(*World.View);
      Later->Services[Service].Targets.clear();
      Channels.setView(Later);
      THEN("every call ends once, and every channel is retired") {
        CHECK(Ended == 20);
        for (KnownTarget *Target : Old)
          CHECK(Channels.channelFor(*Target).isRetired());
      }
    }
  }
}

// After a loss of power of all nodes the targets still counted the former
// connections and reset the new ones, so that most targets looked unreachable
// for ten seconds.
TEST_CASE("nodes that start again fit beside their former connections",
          "[channel]") {
  struct Deployment {
    std::uint32_t Nodes;
    std::uint32_t MaxConnections;
  };
  for (const Deployment &Each : {Deployment{7, 31}, Deployment{8, 26}}) {
    PathWorld World(singleRoute(true));
    const ServiceNumber Service = World.addService("records");
    World.Config->Services[Service].MaxConnections = Each.MaxConnections;
    World.View->Shares.Nodes = Each.Nodes;
    World.View->Shares.NodesCounted = true;
    World.input();
    const LinkLimit Steady =
        World.View->linkLimit(Service, true, 1, 60 * Second);
    const LinkLimit Starting = World.View->linkLimit(Service, true, 1, Second);
    CHECK(Steady.Warm == 2);
    CHECK(Steady.Most * Each.Nodes <= Each.MaxConnections);
    // A health request comes on top of the warm connections.
    CHECK((Steady.Warm + Starting.Most) * Each.Nodes <= Each.MaxConnections);
  }
}

// After a loss of power of all nodes the first request was there before the
// channels of its targets. They were opened for it without the health path of
// their service, so no health page ever showed them as reachable again.
SCENARIO("a request comes before the channels follow its view", "[channel]") {
  const FakeTarget Running("i-1", "record", WellBehaved{});
  const std::string Address = Running.address();
  asio::io_context Io;
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  TargetChannels Channels(Io, Protocol, 1);
  PathWorld World(singleRoute(true));
  const ServiceNumber Service = World.addService("records");
  World.Config->Services[Service].HealthPath = "/health";
  TargetInfo Info;
  Info.Id.Text = Running.Id;
  Info.Address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                   Address.substr(Address.find(':') + 1)))};
  const auto Target = makeRef<KnownTarget>(Info);
  World.View->Services[Service].Targets.push_back(Target);
  World.input();

  GIVEN("a target whose channel was opened for the request") {
    Channels.channelFor(*Target);
    WHEN("the channels follow the view") {
      Channels.setView(World.View);
      const TimePoint GiveUp = steadyNow() + 5 * Second;
      while (Target->reach() != Reach::Up && steadyNow() < GiveUp) {
        Io.run_one_for(std::chrono::milliseconds(10));
        Channels.tick(steadyNow());
      }
      THEN("its health page is asked on the path of its service") {
        CHECK(Target->reach() == Reach::Up);
      }
    }
  }
}

// Found by the soak (seed 15): threads share what they know of a target. While
// a thread still checked it, another one found it reachable; when the first one
// lost a connection then, it started a second check over the running one, and
// the answer to the first was taken for it. The process crashed.
SCENARIO("a target is checked again while a check is running", "[channel]") {
  std::vector<Ref<ServerConnection>> Checks;
  const std::string Health =
      "HTTP/1.1 200 OK\r\nX-Balsamyard-Instance-Id: i-1\r\n"
      "Content-Length: 0\r\n\r\n";
  std::atomic<int> Requests{0};
  FakeServer Running([&](ServerConnection &Peer, const HttpRequest &Request) {
    if (Request.Target != "/health") {
      ++Requests;
      Peer.close();
      return;
    }
    // Both checks are answered when the second one is there.
    Checks.emplace_back(&Peer);
    if (Checks.size() == 2)
      for (const Ref<ServerConnection> &Each : Checks)
        Each->answer(Health, true);
  });
  const std::string Address = Running.address();
  asio::io_context Io;
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  TargetInfo Info;
  Info.Id.Text = "i-1";
  Info.Address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                   Address.substr(Address.find(':') + 1)))};
  const auto Target = makeRef<KnownTarget>(Info);
  const auto Channel = makeRef<TargetChannel>(Io, Target, Protocol);
  Channel->configure({1, 0}, "/health");
  const auto RunUntil = [&](const auto &Reached) {
    const TimePoint GiveUp = steadyNow() + 5 * Second;
    while (!Reached() && steadyNow() < GiveUp)
      Io.run_one_for(std::chrono::milliseconds(5));
  };

  GIVEN("a running check of a suspect target") {
    Target->setReach(Reach::Suspect);
    Channel->tick(steadyNow());
    WHEN("another thread finds it reachable, and a connection breaks here") {
      Target->setReach(Reach::Up);
      const Ref<LinkCall> Broken = call(*Target);
      Broken->Stats = makeRef<RouteStats>(Second);
      Broken->MakeMessage = [](TimePoint) {
        return std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
      };
      bool Ended = false;
      Broken->OnEnd = [&](const Expected<HttpResponse> &Result, bool) {
        Ended = true;
        CHECK_FALSE(Result);
      };
      Channel->submit(Broken);
      RunUntil([&] { return Ended; });
      REQUIRE(Ended);
      CHECK(Target->reach() == Reach::Suspect);
      THEN("one check stays, and its answer counts") {
        RunUntil([&] { return Target->reach() == Reach::Up; });
        CHECK(Target->reach() == Reach::Up);
        Channel->retire();
        RunUntil([&] { return Channel->isIdle(); });
      }
    }
  }
  Running.stop();
  Checks.clear();
}
