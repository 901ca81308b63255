#include "balsamyard/Connection"
#include "balsamyard/Process"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

/// Far longer than any answer here takes; only ends a test that hangs.
constexpr Duration TestTimeout = 30s;

/// Lets one thread wait until another one says so.
class Signal {
public:
  void raise() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Raised = true;
    this->Changed.notify_all();
  }

  void wait() {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    REQUIRE(this->Changed.wait_for(Lock, TestTimeout,
                                   [this] { return this->Raised; }));
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Raised = false;
};

/// An in-process HTTP target on a port that the kernel chose.
class HttpTarget {
public:
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;

  explicit HttpTarget(Handler OnRequest) {
    this->Server.set_tcp_nodelay(true);
    this->Server.set_keep_alive_timeout(1);
    this->Server.Post("/(search|write)", std::move(OnRequest));
    this->Port = this->Server.bind_to_any_port("127.0.0.1");
    this->Server.Get("/ready", [](const auto &, auto &) {});
    this->Listener = std::thread([this] { this->Server.listen_after_bind(); });
    // Server::stop() has no effect before the server accepts connections.
    REQUIRE(httplib::Client("127.0.0.1", this->Port).Get("/ready"));
  }

  ~HttpTarget() {
    this->Server.stop();
    this->Listener.join();
  }

  Endpoint address() const {
    return {"127.0.0.1", static_cast<std::uint16_t>(this->Port)};
  }

private:
  httplib::Server Server;
  int Port = 0;
  std::thread Listener;
};

/// A target that sends fixed bytes to each connection and closes it.
class RawTarget {
public:
  explicit RawTarget(std::string Bytes)
      : Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(At);
    REQUIRE(::bind(this->Listener, reinterpret_cast<sockaddr *>(&At), Size) ==
            0);
    REQUIRE(::listen(this->Listener, 16) == 0);
    ::getsockname(this->Listener, reinterpret_cast<sockaddr *>(&At), &Size);
    this->Port = ntohs(At.sin_port);
    this->Worker = std::thread([this, Bytes = std::move(Bytes)] {
      for (;;) {
        const int Socket = ::accept(this->Listener, nullptr, nullptr);
        if (Socket < 0)
          return;
        // Reads the request first: unread bytes would turn the close into a
        // reset that may overtake the answer.
        std::string Request;
        char Part[4096];
        while (Request.find("\"end\":true}") == std::string::npos) {
          const ssize_t Count = ::recv(Socket, Part, sizeof(Part), 0);
          if (Count <= 0)
            break;
          Request.append(Part, static_cast<std::size_t>(Count));
        }
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
        ::close(Socket);
      }
    });
  }

  ~RawTarget() {
    ::shutdown(this->Listener, SHUT_RDWR);
    this->Worker.join();
    ::close(this->Listener);
  }

  Endpoint address() const { return {"127.0.0.1", this->Port}; }

private:
  int Listener;
  std::uint16_t Port = 0;
  std::thread Worker;
};

LeafBatch makeBatch() {
  LeafBatch Batch;
  Batch.Query = QueryId{7};
  Batch.Service = {"permits"};
  Batch.Route = {"desk"};
  Batch.Version = {"v1"};
  Batch.Snapshot = SnapshotId{3};
  Batch.TimeLeft = TestTimeout;
  Batch.Body = R"({"end":true})";
  Batch.Items = {{2, 1, 4, {10, 11}}};
  return Batch;
}

Json makeAnswer() {
  return {{"query", 7},
          {"leaf", 2},
          {"slot", 1},
          {"attempt", 4},
          {"snapshot", 3},
          {"version", "v1"},
          {"incarnation", 99},
          {"state", "warm"},
          {"shards",
           {{{"shard", 10}, {"weight", 5}, {"rows", Json::array()}},
            {{"shard", 11}, {"weight", 6}, {"rows", {{{"id", "a"}}}}}}}};
}

WriteCommand makeWrite() {
  WriteCommand Command;
  Command.Request = {"w-1"};
  Command.Version = {"v1"};
  Command.Expiry = WallTime::max();
  Command.Body = R"({"record":"r","end":true})";
  return Command;
}

/// Sends makeBatch() or makeWrite(), each over a new connection.
struct Probe {
  explicit Probe(Endpoint Target) : Target(std::move(Target)) {}

  SearchAnswer search(Duration Timeout = TestTimeout) {
    const LeafBatch Batch = makeBatch();
    TargetCall Call;
    TargetConnection Connection(this->Target);
    this->Last =
        Connection.exchange(Call, encodeSearch(Batch, Batch.Items[0], Timeout),
                            steadyNow() + Timeout);
    return decodeSearch(Batch, Batch.Items[0], this->Last);
  }

  WriteAnswer write(Duration Timeout = TestTimeout) {
    TargetCall Call;
    TargetConnection Connection(this->Target);
    this->Last = Connection.exchange(Call, encodeWrite(makeWrite()),
                                     steadyNow() + Timeout);
    return decodeWrite(makeWrite(), this->Last);
  }

  Endpoint Target;
  TargetExchange Last;
};

HttpTarget::Handler replyWith(std::string Body, int Status = 200) {
  return [Body = std::move(Body), Status](const auto &, auto &Response) {
    Response.status = Status;
    Response.set_content(Body, "application/json");
  };
}

} // namespace

TEST_CASE("a valid answer of a target is passed on", "[target]") {
  std::string Seen;
  HttpTarget Target([&](const httplib::Request &Request, auto &Response) {
    Seen = Request.body;
    Response.set_content(makeAnswer().dump(), "application/json");
  });
  Probe Client(Target.address());
  const SearchAnswer Answer = Client.search();
  REQUIRE(Answer.Reply.Result == Code::Ok);
  CHECK(Answer.Reply.Parts.size() == 2);
  CHECK(Answer.Reply.Parts[1].Rows == R"([{"id":"a"}])");
  CHECK(Answer.ReportedStatus.Incarnation == 99);
  CHECK(Json::parse(Seen)["body"]["end"] == true);
  CHECK(Json::parse(Seen)["shards"] == Json({10, 11}));
}

// Guards against an answer that belongs to another request or is incomplete,
// but is passed on to the caller.
TEST_CASE("an answer that does not match the request is rejected", "[target]") {
  Json Answer = makeAnswer();

  SECTION("crossed ids") {
    const char *Key = GENERATE("query", "leaf", "slot", "attempt", "snapshot");
    Answer[Key] = Answer[Key].get<int>() + 1;
  }
  SECTION("another version") { Answer["version"] = "v2"; }
  SECTION("a shard that was not requested") {
    Answer["shards"][0]["shard"] = 12;
  }
  SECTION("a shard twice") { Answer["shards"][1]["shard"] = 10; }
  SECTION("a missing member") {
    Answer.erase(
        GENERATE("query", "version", "state", "incarnation", "shards"));
  }
  SECTION("members of a wrong kind") {
    Answer[GENERATE("query", "version", "state", "shards")] = -1;
  }
  SECTION("rows that are not a list") { Answer["shards"][0]["rows"] = "x"; }
  SECTION("an unknown state") { Answer["state"] = "hot"; }

  HttpTarget Target(replyWith(Answer.dump()));
  const SearchAnswer Reply = Probe(Target.address()).search();
  CHECK(Reply.Reply.Result == Code::TargetMalformed);
  CHECK(Reply.Reply.Parts.empty());
  CHECK(Reply.ReportedStatus.Incarnation == 0);
}

TEST_CASE("malformed and truncated answers are rejected", "[target]") {
  SECTION("garbled bytes") {
    HttpTarget Target(replyWith("{\"query\":7,\xff\xfe"));
    Probe Client(Target.address());
    CHECK(Client.search().Reply.Result == Code::TargetMalformed);
    // Guards against "not run" for a write whose answer is unreadable.
    CHECK(Client.write().Reply.Ran == Outcome::Unknown);
  }

  SECTION("deeply nested text") {
    HttpTarget Target(replyWith("{\"a\":" + std::string(200000, '[')));
    CHECK(Probe(Target.address()).search().Reply.Result ==
          Code::TargetMalformed);
  }

  // Guards against unbounded memory use by the answer of a target.
  SECTION("an oversized answer") {
    HttpTarget Target(
        replyWith(makeAnswer().dump() +
                  std::string(TargetConnection::MaxAnswerBytes, ' ')));
    Probe Client(Target.address());
    CHECK(Client.search().Reply.Result == Code::TargetMalformed);
    CHECK(Client.Last.Body.empty());
  }

  SECTION("a truncated answer") {
    const std::string Body = makeAnswer().dump();
    RawTarget Target(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body.substr(0, Body.size() / 2));
    Probe Client(Target.address());
    CHECK(Client.search().Reply.Result == Code::TargetFailed);
    CHECK(Client.Last.ConnectionBroken);
    CHECK(Client.write().Reply.Ran == Outcome::Unknown);
  }

  SECTION("no answer at all") {
    RawTarget Target("");
    Probe Client(Target.address());
    CHECK(Client.search().Reply.Result == Code::TargetFailed);
    CHECK(Client.Last.ConnectionBroken);
    CHECK(Client.write().Reply.Ran == Outcome::Unknown);
  }

  SECTION("a status of 000") {
    const std::string Body = makeAnswer().dump();
    RawTarget Target("HTTP/1.1 000 Nothing\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body);
    Probe Client(Target.address());
    CHECK(Client.search().Reply.Result == Code::TargetFailed);
    CHECK(Client.write().Reply.Ran == Outcome::Unknown);
  }

  SECTION("bytes that are not HTTP") {
    RawTarget Target("\x01\x02\x03 nonsense\r\n\r\n");
    CHECK(Probe(Target.address()).write().Reply.Ran == Outcome::Unknown);
  }
}

// Guards against "not run" for a write that a target started, and against
// "unknown" where the target said clearly that it did not.
TEST_CASE("only a clear refusal makes a write not run", "[target]") {
  SECTION("refused before running") {
    const int Status = GENERATE(503, 410, 408);
    HttpTarget Target(replyWith("", Status));
    CHECK(Probe(Target.address()).write().Reply.Ran == Outcome::NotRun);
  }
  SECTION("any other status") {
    const int Status = GENERATE(500, 502, 400, 404, 409, 204);
    HttpTarget Target(replyWith("", Status));
    CHECK(Probe(Target.address()).write().Reply.Ran == Outcome::Unknown);
  }
  SECTION("the answer to another write") {
    HttpTarget Target(replyWith(
        R"({"request":"w-2","version":"v1","incarnation":1,"state":"warm","result":{}})"));
    CHECK(Probe(Target.address()).write().Reply.Ran == Outcome::Unknown);
  }
  SECTION("its own answer") {
    HttpTarget Target(replyWith(
        R"({"request":"w-1","version":"v1","incarnation":1,"state":"warm","result":{}})"));
    CHECK(Probe(Target.address()).write().Reply.Ran == Outcome::Ran);
  }
  SECTION("a refused connection") {
    Endpoint Closed;
    {
      RawTarget Target("");
      Closed = Target.address();
    }
    Probe Client(Closed);
    CHECK(Client.write().Reply.Ran == Outcome::NotRun);
    CHECK_FALSE(Client.Last.Sent);
  }
}

TEST_CASE("a running exchange can be ended", "[target]") {
  Signal Arrived;
  Signal Release;
  HttpTarget Target([&](const auto &, httplib::Response &Response) {
    Arrived.raise();
    Release.wait();
    Response.set_content(makeAnswer().dump(), "application/json");
  });
  TargetCall Call;
  TargetConnection Connection(Target.address());
  const TargetMessage Message{"/write", {}, "{}"};

  // Guards against a frozen target that keeps a worker after the deadline.
  SECTION("at its deadline") {
    const TargetExchange Late =
        Connection.exchange(Call, Message, steadyNow() + 30ms);
    CHECK(Late.Result == Code::DeadlineExceeded);
    CHECK(Late.Sent);
    CHECK_FALSE(Late.ConnectionBroken);
  }

  SECTION("by another thread") {
    const bool ByDeadline = GENERATE(false, true);
    TargetExchange Ended;
    std::thread Worker([&] {
      Ended = Connection.exchange(Call, Message, steadyNow() + TestTimeout);
    });
    Arrived.wait();
    if (ByDeadline)
      Call.expire();
    else
      Call.cancel();
    Worker.join();
    CHECK(Ended.Result ==
          (ByDeadline ? Code::DeadlineExceeded : Code::Cancelled));
    CHECK(Ended.Sent);
    // Guards against a late answer that is read as that of the next request.
    CHECK_FALSE(Connection.isIdle());
  }

  SECTION("before it starts, and then nothing is sent") {
    Call.cancel();
    const TargetExchange Ended =
        Connection.exchange(Call, Message, steadyNow() + TestTimeout);
    CHECK(Ended.Result == Code::Cancelled);
    CHECK_FALSE(Ended.Sent);
  }
  Release.raise();
}

namespace {

TargetExchange exchangeOn(const TargetLease &Lease) {
  TargetCall Call;
  return Lease.Connection->exchange(Call, {"/search", {}, "{}"},
                                    steadyNow() + TestTimeout);
}

} // namespace

// Guards against more connections than the lane may open.
TEST_CASE("connections are kept within their bound", "[target]") {
  HttpTarget Target(replyWith("{}"));
  TargetClient Client(Target.address());
  Client.setLimit(2);
  const TargetLease First = Client.take();
  const TargetLease Second = Client.take();
  REQUIRE(First.Connection);
  REQUIRE(Second.Connection);
  CHECK_FALSE(Client.take().Connection);

  SECTION("a connection that answered is used again") {
    CHECK_FALSE(Client.giveBack(First, exchangeOn(First)));
    CHECK(Client.idle() == 1);
    CHECK(Client.take().Connection == First.Connection);
  }

  SECTION("a lower bound closes idle ones at once and others afterwards") {
    Client.giveBack(First, exchangeOn(First));
    const TargetExchange Running = exchangeOn(Second);
    Client.setLimit(0);
    CHECK(Client.open() == 1);
    Client.giveBack(Second, Running);
    CHECK(Client.open() == 0);
    CHECK_FALSE(Client.take().Connection);
  }
}

// Guards against full load on a restarted target over new connections because
// the close of the old ones was not detected.
TEST_CASE("a target that closed its connections is noticed", "[target]") {
  auto Target = std::make_unique<HttpTarget>(replyWith("{}"));
  TargetClient Client(Target->address());
  Client.setLimit(4);
  TargetLease Lease = Client.take();
  Client.giveBack(Lease, exchangeOn(Lease));
  REQUIRE(Client.idle() == 1);

  SECTION("while it was idle") {
    // The server closes its kept connections before its destructor returns.
    Target.reset();
    Lease = Client.take();
    CHECK(Lease.AllLost);
  }

  SECTION("while a request ran") {
    const TargetLease Running = Client.take();
    TargetExchange Exchange;
    Exchange.Result = Code::TargetFailed;
    Exchange.ConnectionBroken = true;
    CHECK(Client.giveBack(Running, Exchange));
  }

  SECTION(
      "but one broken connection beside an open one does not count as a loss") {
    const TargetLease Other = Client.takeNew();
    TargetExchange Exchange;
    Exchange.Result = Code::TargetFailed;
    Exchange.ConnectionBroken = true;
    CHECK_FALSE(Client.giveBack(Other, Exchange));
    CHECK(Client.idle() == 1);
  }
}
