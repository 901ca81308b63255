#include "balsamyard/src/Core/MessageMemory.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

constexpr std::size_t Kibibyte = 1024;

/// \brief A server whose connections share a memory. It holds each request
/// until release(), and then answers with \p AnswerBytes.
class HoldingServer {
public:
  explicit HoldingServer(std::size_t AnswerBytes)
      : AnswerBytes(AnswerBytes), Work(asio::make_work_guard(this->Io)),
        Server(this->Io,
               ServerHooks{[this](ServerConnection &Peer, HttpRequest Request) {
                             this->Waiting = Ref<ServerConnection>(&Peer);
                             this->Held = std::move(Request);
                             ++this->Requests;
                           },
                           [](ServerConnection &) {},
                           [this] {
                             ServerLimits Limits;
                             Limits.Message.Memory = &this->Memory;
                             Limits.Answers = &this->Memory;
                             return Limits;
                           }}) {
    this->Server.listen({asio::ip::make_address("127.0.0.1"), 0});
    this->Thread = std::thread([this] { this->Io.run(); });
  }

  ~HoldingServer() {
    this->Io.stop();
    this->Thread.join();
  }

  void release() {
    asio::post(this->Io, [this] {
      this->Held = {};
      std::exchange(this->Waiting, nullptr)
          ->answer(plainAnswer(200, std::string(this->AnswerBytes, 'a'), true),
                   true);
    });
  }

  std::uint16_t port() const { return this->Server.port(); }

  MessageMemory Memory{1024 * Kibibyte};
  std::atomic<int> Requests{0};

private:
  const std::size_t AnswerBytes;
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  Listener Server;
  Ref<ServerConnection> Waiting;
  HttpRequest Held;
  std::thread Thread;
};

std::string post(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Bytes) + "\r\n\r\n" + std::string(Bytes, 'b');
}

template <typename Predicate> bool eventually(Predicate Reached) {
  const TimePoint GiveUp = steadyNow() + 5 * Second;
  while (!Reached() && steadyNow() < GiveUp)
    ::usleep(1000);
  return Reached();
}

} // namespace

// Guards against bodies of callers, and answers to callers that read slowly,
// that are in no sum of the memory of the process.
SCENARIO("connections of callers count their large messages", "[memory]") {
  GIVEN("a server that answers with few bytes") {
    HoldingServer Server(10);
    FakeCaller Caller(Server.port());
    WHEN("a large request arrives") {
      Caller.send(post(300 * Kibibyte));
      REQUIRE(eventually([&] { return Server.Requests == 1; }));
      THEN("it counts until it is dropped") {
        CHECK(Server.Memory.used() >= 300 * Kibibyte);
        Server.release();
        CHECK(Caller.receive().Status == 200);
        CHECK(Server.Memory.used() == 0);
      }
      AND_WHEN("another one arrives for which too little memory is left") {
        FakeCaller Other(Server.port());
        const HttpResponse Answer = Other.ask(post(400 * Kibibyte));
        THEN("it is rejected at once, and its caller may try again") {
          CHECK(Answer.Status == 503);
          CHECK(Answer.Fields.find("retry-after") != nullptr);
          CHECK(Server.Requests == 1);
          AND_THEN("a small one is accepted") {
            FakeCaller Third(Server.port());
            Third.send(post(10));
            CHECK(eventually([&] { return Server.Requests == 2; }));
          }
        }
      }
    }
  }
  GIVEN("a server with a large answer for a caller that does not read") {
    constexpr std::size_t AnswerBytes = 16384 * Kibibyte;
    HoldingServer Server(AnswerBytes);
    FakeCaller Caller(Server.port());
    Caller.send(post(10));
    REQUIRE(eventually([&] { return Server.Requests == 1; }));
    Server.release();
    THEN("the answer counts until it is read") {
      CHECK(eventually([&] { return Server.Memory.used() > AnswerBytes; }));
      CHECK(Caller.receive().Body.size() == AnswerBytes);
      CHECK(eventually([&] { return Server.Memory.used() == 0; }));
    }
  }
}
