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

// Guards against a crash when targets leave the view: retiring a channel fails
// its waiting calls, whose requests may open channels to other targets and so
// invalidate the iteration over all channels.
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

// Guards against targets that look unreachable after a power failure of all
// nodes: for ten seconds most targets still counted the connections of the
// previous processes and reset new ones.
TEST_CASE("restarted nodes stay within the connection limit beside their "
          "previous connections",
          "[channel]") {
  struct Deployment {
    std::uint32_t Nodes;
    std::uint32_t MaxConnections;
  };
  for (const Deployment &Case : {Deployment{7, 31}, Deployment{8, 26}}) {
    PathWorld World(singleRoute(true));
    const ServiceNumber Service = World.addService("records");
    World.Config->Services[Service].MaxConnections = Case.MaxConnections;
    World.View->Shares.Nodes = Case.Nodes;
    World.View->Shares.NodesCounted = true;
    World.input();
    const ConnectionQuota Steady =
        World.View->connectionQuota(Service, true, 1, 60 * Second);
    const ConnectionQuota Starting =
        World.View->connectionQuota(Service, true, 1, Second);
    CHECK(Steady.Preopened == 2);
    CHECK(Steady.Max * Case.Nodes <= Case.MaxConnections);
    // A health request comes on top of the warm connections.
    CHECK((Steady.Preopened + Starting.Max) * Case.Nodes <=
          Case.MaxConnections);
  }
}

// Guards against targets that stay unreachable when a request arrives before
// the channels of its targets, as after a power failure of all nodes: the
// channels opened for it had no health path, so no health check could succeed.
SCENARIO("a request arrives before its view is applied to the channels",
         "[channel]") {
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

// Guards against a crash with two health checks of one target (soak test, seed
// 15): threads share the state of a target, so another thread may find it
// reachable while this one is still checking it. When a connection broke then,
// a second check was started beside the running one, and the answer to the
// first was taken for that to the second.
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
    // Both checks are answered once the second one has arrived.
    Checks.emplace_back(&Peer);
    if (Checks.size() == 2)
      for (const Ref<ServerConnection> &Check : Checks)
        Check->answer(Health, true);
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

// Guards against requests that go on to the address of a target that has ended:
// for the target that has taken it over they are extra requests without a
// budget.
SCENARIO("another target has taken over the address of a target", "[channel]") {
  const FakeTarget Other("i-2", "", Replaced{});
  const std::string Address = Other.address();
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
    return Reached();
  };
  /// Sends a request. Returns whether a byte of it was sent.
  const auto Send = [&] {
    const Ref<LinkCall> Next = call(*Target);
    Next->Stats = makeRef<RouteStats>(Second);
    Next->MakeMessage = [](TimePoint) {
      return std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    };
    std::optional<bool> Sent;
    Next->OnEnd = [&](const Expected<HttpResponse> &, bool WasSent) {
      Sent = WasSent;
    };
    Channel->submit(Next);
    REQUIRE(RunUntil([&] { return Sent.has_value(); }));
    return *Sent;
  };

  GIVEN("a first request that is answered by the other one") {
    REQUIRE(Send());
    THEN("the health page of the address is asked, and no request follows") {
      CHECK(RunUntil([&] { return Target->reach() == Reach::Down; }));
      CHECK_FALSE(Send());
      CHECK(Other.requests().size() == 1);
    }
  }
  Channel->retire();
  RunUntil([&] {
    Channel->tick(steadyNow());
    return Channel->isIdle();
  });
}

// Guards against a crash that is taken for an idle close: the
// connection with the request breaks first, and those that are idle for more
// than a second end right after it.
SCENARIO("a target that crashes under a request loses its idle connections",
         "[channel][crash]") {
  std::vector<Ref<ServerConnection>> Peers;
  bool Crashed = false;
  FakeServer Running([&](ServerConnection &Peer, const HttpRequest &Request) {
    if (Request.Target == "/health") {
      Peer.close();
      return;
    }
    const Ref<ServerConnection> Held(&Peer);
    if (Peers.size() < 2) {
      Peers.push_back(Held);
      // Answered together, so that each has a connection of its own.
      if (Peers.size() == 2)
        for (const Ref<ServerConnection> &Answered : Peers)
          Answered->answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                           true);
      return;
    }
    Crashed = true;
    Held->close();
    for (const Ref<ServerConnection> &Idle : Peers)
      Idle->close();
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
  Channel->configure({2, 2}, "/health");
  const auto RunFor = [&](Duration Time) {
    const TimePoint End = steadyNow() + Time;
    while (steadyNow() < End)
      Io.run_one_for(std::chrono::milliseconds(5));
  };
  int Ended = 0;
  const auto Send = [&] {
    const Ref<LinkCall> Next = call(*Target);
    Next->Deadline = steadyNow() + 10 * Second;
    Next->Stats = makeRef<RouteStats>(Second);
    Next->MakeMessage = [](TimePoint) {
      return std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    };
    Next->OnEnd = [&](const Expected<HttpResponse> &, bool) { ++Ended; };
    Channel->submit(Next);
  };

  GIVEN("two idle connections") {
    Channel->preopen();
    Channel->preopen();
    RunFor(100 * Millisecond);
    Send();
    Send();
    while (Ended < 2)
      RunFor(5 * Millisecond);
    RunFor(1200 * Millisecond);
    WHEN("the target crashes when it gets a request") {
      Send();
      while (Ended < 3)
        RunFor(5 * Millisecond);
      RunFor(100 * Millisecond);
      REQUIRE(Crashed);
      THEN("it is known to have lost all its connections") {
        CHECK(Target->reach() != Reach::Up);
      }
    }
  }
  Channel->retire();
  while (!Channel->isIdle()) {
    Channel->tick(steadyNow());
    RunFor(5 * Millisecond);
  }
  Running.stop();
  Peers.clear();
}
