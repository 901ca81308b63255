#include "balsamyard/src/Connection/TargetChannel.h"
#include "balsamyard/src/Request/TargetChoice.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

HttpResponse answerWith(int Status, const std::string &RetryAfter) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Fields.add("Retry-After", RetryAfter);
  return Result;
}

/// \brief A channel with one connection to a target that asks for pauses.
struct PauseWorld {
  asio::io_context Io;
  const TargetProtocol Protocol{platform::makeAdapter().Headers};
  std::atomic<int> Requests{0};
  std::atomic<int> HealthChecks{0};
  std::string RetryAfter;
  FakeServer Server;
  Ref<KnownTarget> Target;
  Ref<TargetChannel> Channel;

  explicit PauseWorld(std::string Seconds)
      : RetryAfter(std::move(Seconds)),
        Server([this](ServerConnection &Peer, const HttpRequest &Request) {
          this->onRequest(Peer, Request);
        }) {
    const std::string Address = this->Server.address();
    TargetInfo Info;
    Info.Id.Text = "i-1";
    Info.Address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                     Address.substr(Address.find(':') + 1)))};
    this->Target = makeRef<KnownTarget>(Info);
    this->Channel =
        makeRef<TargetChannel>(this->Io, this->Target, this->Protocol);
    this->Channel->configure({1, 0}, "/health");
  }

  ~PauseWorld() {
    this->Channel->retire();
    this->runUntil([this] {
      this->Channel->tick(steadyNow());
      return this->Channel->isIdle();
    });
  }

  void onRequest(ServerConnection &Peer, const HttpRequest &Request) {
    if (Request.Target == "/health") {
      ++this->HealthChecks;
      Peer.answer("HTTP/1.1 200 OK\r\nX-Balsamyard-Instance-Id: i-1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  true);
      return;
    }
    ++this->Requests;
    Peer.answer("HTTP/1.1 503 Busy\r\nX-Balsamyard-Not-Executed: 1\r\n"
                "Retry-After: " +
                    this->RetryAfter + "\r\nContent-Length: 0\r\n\r\n",
                true);
  }

  /// \brief Submits a request. \returns where it tells whether it was sent.
  std::shared_ptr<std::optional<bool>> submit() {
    const auto Call = makeRef<LinkCall>();
    Call->Target = this->Target;
    Call->Method = "GET";
    Call->Deadline = steadyNow() + 5 * Second;
    Call->Stats = makeRef<RouteStats>(Second);
    Call->MakeMessage = [](TimePoint) {
      return std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    };
    auto Sent = std::make_shared<std::optional<bool>>();
    Call->OnEnd = [Sent](const Expected<HttpResponse> &, bool WasSent) {
      *Sent = WasSent;
    };
    this->Channel->submit(Call);
    return Sent;
  }

  template <typename Condition> bool runUntil(const Condition &Reached) {
    const TimePoint GiveUp = steadyNow() + 5 * Second;
    while (!Reached() && steadyNow() < GiveUp)
      this->Io.run_one_for(std::chrono::milliseconds(5));
    return Reached();
  }
};

} // namespace

SCENARIO("a target asks for a pause", "[pause]") {
  const TargetProtocol Protocol(platform::makeAdapter().Headers);
  GIVEN("an answer that it is busy, with a time") {
    CHECK(Protocol.requestedPause(answerWith(503, "3")) == 3 * Second);
    CHECK(Protocol.requestedPause(answerWith(503, "0.25")) ==
          250 * Millisecond);
  }
  GIVEN("a time without bound") {
    CHECK(Protocol.requestedPause(answerWith(503, "1e300")) ==
          std::chrono::hours(1));
  }
  GIVEN("another status, or no usable time") {
    CHECK_FALSE(Protocol.requestedPause(answerWith(200, "3")));
    CHECK_FALSE(Protocol.requestedPause(answerWith(500, "3")));
    for (const char *Text :
         {"", "0", "-1", "soon", "inf", "Sat, 05 Dec 2026 10:00:00 GMT"})
      CHECK_FALSE(Protocol.requestedPause(answerWith(503, Text)));
    CHECK_FALSE(Protocol.requestedPause(HttpResponse{}));
  }
}

SCENARIO("a paused target is passed over", "[pause]") {
  PathWorld World(singleRoute(true));
  const ServiceNumber Service = World.addService("records");
  KnownTarget &Paused = World.addTarget(Service, "one");
  World.input();
  RandomGenerator Random(1);
  const auto Chosen = [&] {
    return chooseTarget(World.View->Services[Service], {}, {}, World.Now,
                        Random)
        .Target;
  };
  REQUIRE(Chosen() == &Paused);
  GIVEN("a pause of 3 s") {
    Paused.pauseUntil(World.Now + 3 * Second);
    THEN("the target is not chosen until its end") {
      CHECK(Chosen() == nullptr);
      World.Now += 2999 * Millisecond;
      CHECK(Chosen() == nullptr);
      World.Now += Millisecond;
      CHECK(Chosen() == &Paused);
    }
    WHEN("an answer to an earlier request asks for less") {
      Paused.pauseUntil(World.Now + Second);
      THEN("the longer pause holds") {
        World.Now += 2 * Second;
        CHECK(Chosen() == nullptr);
      }
    }
  }
}

// Guards against requests that reach a target during a pause that it has asked
// for.
SCENARIO("nothing is sent to a target during its pause", "[pause]") {
  GIVEN("two requests that share a connection") {
    PauseWorld World("30");
    const auto First = World.submit();
    const auto Queued = World.submit();
    WHEN("the first one is answered with a pause") {
      REQUIRE(World.runUntil([&] { return First->has_value(); }));
      THEN("the second one ends unsent, and so does a later one") {
        REQUIRE(World.runUntil([&] { return Queued->has_value(); }));
        CHECK_FALSE(**Queued);
        const auto Third = World.submit();
        REQUIRE(World.runUntil([&] { return Third->has_value(); }));
        CHECK_FALSE(**Third);
        CHECK(World.Requests == 1);
      }
    }
  }
  GIVEN("a target that breaks its connection during the pause") {
    PauseWorld World("0.5");
    const auto First = World.submit();
    REQUIRE(World.runUntil([&] { return First->has_value(); }));
    const TimePoint Answered = steadyNow();
    World.Target->setReach(Reach::Suspect);
    THEN("its health page is asked after the pause") {
      CHECK(World.runUntil([&] {
        World.Channel->tick(steadyNow());
        return World.HealthChecks > 0;
      }));
      CHECK(steadyNow() - Answered >= Second / 2);
      CHECK(World.Requests == 1);
    }
  }
}
