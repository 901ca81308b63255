#include "balsamyard/src/Connection/TargetChannel.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace balsamyard;
using namespace balsamyard::test;

// Guards against callers that read slowly and so make sound targets look
// broken: an answer for which this process has no memory says nothing about its
// target.
SCENARIO("an answer for which no memory is left", "[memory]") {
  FakeTarget Sound("i-1", std::string(256UL * 1024, 'a'), WellBehaved{});
  asio::io_context Io;
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  const std::string Address = Sound.address();
  TargetInfo Info;
  Info.Id.Text = Sound.Id;
  Info.Address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                   Address.substr(Address.find(':') + 1)))};
  const auto Target = makeRef<KnownTarget>(Info);
  MessageMemory Memory(64UL * 1024);
  const auto Channel = makeRef<TargetChannel>(Io, Target, Protocol,
                                              HttpLimits{.Memory = &Memory});
  Channel->configure({1, 0}, "/health");
  const auto RunUntil = [&](const auto &Reached) {
    const TimePoint GiveUp = steadyNow() + 5 * Second;
    while (!Reached() && steadyNow() < GiveUp) {
      Io.run_one_for(std::chrono::milliseconds(5));
      Channel->tick(steadyNow());
    }
    return Reached();
  };
  const auto Call = makeRef<LinkCall>();
  Call->Target = Target;
  Call->Method = "GET";
  Call->Stats = makeRef<RouteStats>(Second);
  Call->Deadline = steadyNow() + 5 * Second;
  Call->MakeMessage = [](TimePoint) {
    return std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  };
  std::optional<Code> Fault;
  Call->OnEnd = [&](const Expected<HttpResponse> &Result, bool) {
    Fault = Result ? Code::Ok : Result.error().Value;
  };
  const double Before = Target->slowness(steadyNow());
  Channel->submit(Call);
  REQUIRE(RunUntil([&] { return Fault.has_value(); }));

  THEN("the request ends, and its target is as usable as before") {
    CHECK(*Fault == Code::Overloaded);
    CHECK(Target->reach() == Reach::Up);
    CHECK(Target->slowness(steadyNow()) == Before);
    CHECK(Memory.used() == 0);
  }
  Channel->retire();
  RunUntil([&] { return Channel->isIdle(); });
}

// Guards against more work for targets, whose answers would not find room
// either.
SCENARIO("a request whose answer was discarded", "[memory][scatter]") {
  PathWorld World(singleRoute(true));
  const ServiceNumber Service = World.addService("s");
  World.addTarget(Service, "i-1");
  World.addTarget(Service, "i-2");
  RunningRequest Run(World);
  const std::vector<AttemptIndex> First = Run.startAndSend();
  REQUIRE(First.size() == 1);
  Run.tell(AttemptLost{First[0], AttemptFailure::Discarded});
  THEN("no other target gets it, and its caller is told that it may have run") {
    CHECK(Run.all<SubmitAttempt>().empty());
    REQUIRE(Run.Decisions.finished());
    CHECK(Run.outcome<FailedAnswer>().Status == 502);
    CHECK(Run.Decisions.brokenAttempts().empty());
  }
}
