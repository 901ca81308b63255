#include "balsamyard/Core"
#include "balsamyard/src/Connection/PeerClient.h"
#include "balsamyard/src/Connection/PeerServer.h"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

/// No test waits longer than this for an event that must come.
constexpr std::chrono::seconds Patience(20);

/// A value that tests wait for.
template <typename T> class Arrivals {
public:
  void add(T Value) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Values.push_back(std::move(Value));
    this->Changed.notify_all();
  }

  /// Waits for the value number \p Index, from 0.
  T at(std::size_t Index) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (!this->Changed.wait_for(Lock, Patience, [this, Index] {
          return this->Values.size() > Index;
        }))
      throw std::runtime_error("expected event did not come");
    return this->Values[Index];
  }

  std::size_t size() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Values.size();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<T> Values;
};

struct Request {
  std::string Path;
  std::string Message;
  Ref<PeerStream> Stream;
};

struct Close {
  Code Result;
  bool Sent;
};

/// One call and what came back.
struct Caller {
  Arrivals<std::string> Messages;
  Arrivals<Close> Closes;
  Ref<PeerCall> Call;

  void call(PeerClient &Client, const Endpoint &To, std::string Message,
            Duration Timeout = Patience) {
    this->Call = Client.call(
        To, "/v1/test", std::move(Message), Timeout,
        [this](std::string Reply) { this->Messages.add(std::move(Reply)); },
        [this](Code Result, bool Sent) {
          this->Closes.add({Result, Sent});
        });
  }
};

Expected<std::unique_ptr<PeerServer>> serve(Arrivals<Request> &Requests,
                                            std::uint16_t Port = 0) {
  return PeerServer::listen(
      {"127.0.0.1", Port}, 2,
      [&Requests](std::string Path, std::string Message,
                  Ref<PeerStream> Stream) {
        Requests.add({std::move(Path), std::move(Message), std::move(Stream)});
      });
}

} // namespace

// Guards against answers that are lost, mixed up or reported with a wrong
// outcome between two of our own processes.
TEST_CASE("two processes exchange messages", "[transport]") {
  Arrivals<Request> Requests;
  std::unique_ptr<PeerServer> Server = std::move(*serve(Requests));
  Endpoint At = Server->local();
  Caller First;
  Caller Second;
  auto Client = std::make_unique<PeerClient>(2);

  SECTION("a request is answered with several messages in order") {
    First.call(*Client, At, "question");
    Request Got = Requests.at(0);
    CHECK(Got.Path == "/v1/test");
    CHECK(Got.Message == "question");
    for (int Index = 0; Index < 100; ++Index)
      Got.Stream->send(std::to_string(Index));
    Got.Stream->finish();
    Close End = First.Closes.at(0);
    CHECK(End.Result == Code::Ok);
    CHECK(End.Sent);
    REQUIRE(First.Messages.size() == 100);
    for (int Index = 0; Index < 100; ++Index)
      CHECK(First.Messages.at(Index) == std::to_string(Index));
  }
}
