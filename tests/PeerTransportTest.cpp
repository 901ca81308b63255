#include "balsamyard/Core"
#include "balsamyard/src/Connection/PeerClient.h"
#include "balsamyard/src/Connection/PeerServer.h"

#include <asio.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <vector>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

/// Maximum wait for an expected event.
constexpr std::chrono::seconds TestTimeout(30);

/// Streams that a server lets a client open at once.
constexpr std::size_t StreamLimit = 4096;

/// Values that other threads report, in order of arrival.
template <typename T> class EventLog {
public:
  void add(T Value) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Values.push_back(std::move(Value));
    this->Changed.notify_all();
  }

  /// Waits until there is a value at \p Index.
  T at(std::size_t Index) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (!this->Changed.wait_for(Lock, TestTimeout, [this, Index] {
          return this->Values.size() > Index;
        }))
      throw std::runtime_error("timed out waiting for an expected event");
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

  bool operator==(const Close &) const = default;
};

std::ostream &operator<<(std::ostream &Out, const Close &Value) {
  return Out << name(Value.Result) << (Value.Sent ? " sent" : " not sent");
}

/// One call and its replies.
struct Caller {
  EventLog<std::string> Messages;
  EventLog<Close> Closes;
  Ref<PeerCall> Call;

  void call(PeerClient &Client, const Endpoint &To, std::string Message,
            Duration Timeout = TestTimeout) {
    this->Call = Client.call(
        To, "/v1/test", std::move(Message), Timeout,
        [this](std::string Reply) { this->Messages.add(std::move(Reply)); },
        [this](Code Result, bool Sent) {
          this->Closes.add({Result, Sent});
        });
  }
};

std::unique_ptr<PeerServer> serve(EventLog<Request> &Requests,
                                  std::uint16_t Port = 0) {
  auto Server = PeerServer::listen(
      {"127.0.0.1", Port}, 2,
      [&Requests](std::string Path, std::string Message,
                  Ref<PeerStream> Stream) {
        Requests.add({std::move(Path), std::move(Message), std::move(Stream)});
      });
  if (!Server)
    throw std::runtime_error(Server.error().Detail);
  return std::move(*Server);
}

void answer(const Request &To, const std::string &Message) {
  To.Stream->send(Message);
  To.Stream->finish();
}

/// \returns the cancellations of the stream as they arrive.
std::shared_ptr<EventLog<bool>> watchCancel(const Request &Of) {
  auto Seen = std::make_shared<EventLog<bool>>();
  Of.Stream->onCancel([Seen] { Seen->add(true); });
  return Seen;
}

std::string prefixed(std::string_view Message) {
  std::string Bytes;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>((Message.size() >> Shift) & 0xff));
  return Bytes.append(Message);
}

/// HTTP/2 frame types and flags, as RFC 9113 numbers them.
constexpr std::uint8_t DataFrame = 0;
constexpr std::uint8_t HeadersFrame = 1;
constexpr std::uint8_t ResetFrame = 3;
constexpr std::uint8_t SettingsFrame = 4;
constexpr std::uint8_t GoAwayFrame = 7;
constexpr std::uint8_t EndStream = 1;
constexpr std::uint8_t EndHeaders = 4;
constexpr std::uint32_t ProtocolError = 1;
constexpr std::uint32_t InternalError = 2;

constexpr std::string_view Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Compressed headers of a POST to /v1/test, and of an answer with status 200.
const std::string RequestHeaders = std::string("\x83\x86\x04\x08/v1/test"
                                               "\x01\x01x",
                                               15);
const std::string ResponseHeaders = "\x88";

struct Frame {
  std::uint8_t Type = 0;
  std::uint8_t Flags = 0;
  std::uint32_t Stream = 0;
  std::string Payload;

  /// \returns the error code of a reset frame.
  std::uint32_t errorCode() const {
    std::uint32_t Result = 0;
    for (char Byte : this->Payload.substr(0, 4))
      Result = (Result << 8) | static_cast<unsigned char>(Byte);
    return Result;
  }
};

/// A peer that writes raw HTTP/2 frames, so that it can violate the protocol.
class RawPeer {
public:
  /// Waits for a connection when accept() is called.
  RawPeer()
      : Acceptor(this->Context,
                 {asio::ip::address_v4::loopback(), std::uint16_t(0)}),
        Socket(this->Context) {}

  explicit RawPeer(const Endpoint &To) : RawPeer() {
    this->Socket.connect({asio::ip::make_address(To.Address), To.Port});
  }

  Endpoint local() {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

  void accept() {
    this->run([this](auto Done) {
      this->Acceptor.async_accept(
          this->Socket, [Done](asio::error_code Fault) { Done(Fault); });
    });
    this->read(Preface.size());
    this->write(SettingsFrame, 0, 0, "");
  }

  /// Begins as a client.
  void greet() {
    this->writeRaw(std::string(Preface));
    this->write(SettingsFrame, 0, 0, "");
  }

  void writeRaw(const std::string &Bytes) {
    asio::write(this->Socket, asio::buffer(Bytes));
  }

  void write(std::uint8_t Type, std::uint8_t Flags, std::uint32_t Stream,
             const std::string &Payload) {
    std::string Bytes;
    for (int Shift = 16; Shift >= 0; Shift -= 8)
      Bytes.push_back(static_cast<char>((Payload.size() >> Shift) & 0xff));
    Bytes.push_back(static_cast<char>(Type));
    Bytes.push_back(static_cast<char>(Flags));
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Bytes.push_back(static_cast<char>((Stream >> Shift) & 0xff));
    this->writeRaw(Bytes + Payload);
  }

  /// Sends a request whose DATA is \p Body.
  void request(std::uint32_t Stream, const std::string &Body) {
    this->write(HeadersFrame, EndHeaders, Stream, RequestHeaders);
    this->write(DataFrame, EndStream, Stream, Body);
  }

  /// Waits for a frame of \p Type on \p Stream and drops all before it.
  Frame next(std::uint8_t Type, std::uint32_t Stream) {
    for (;;) {
      std::string Head = this->read(9);
      auto Byte = [&Head](std::size_t Index) {
        return std::uint32_t(static_cast<unsigned char>(Head[Index]));
      };
      Frame Got;
      Got.Type = static_cast<std::uint8_t>(Byte(3));
      Got.Flags = static_cast<std::uint8_t>(Byte(4));
      Got.Stream = Byte(5) << 24 | Byte(6) << 16 | Byte(7) << 8 | Byte(8);
      Got.Payload = this->read(Byte(0) << 16 | Byte(1) << 8 | Byte(2));
      if (Got.Type == Type && Got.Stream == Stream)
        return Got;
    }
  }

  /// Waits until the other side closes the connection.
  void waitForClose() {
    std::string Rest(4096, '\0');
    asio::error_code Result;
    while (!Result)
      this->run([&, this](auto Done) {
        this->Socket.async_read_some(
            asio::buffer(Rest),
            [&Result, Done](asio::error_code Fault, std::size_t /*Size*/) {
              Result = Fault;
              Done({});
            });
      });
  }

  void close() { this->Socket.close(); }

private:
  std::string read(std::size_t Size) {
    std::string Bytes(Size, '\0');
    this->run([&, this](auto Done) {
      asio::async_read(this->Socket, asio::buffer(Bytes),
                       [Done](asio::error_code Fault, std::size_t /*Size*/) {
                         Done(Fault);
                       });
    });
    return Bytes;
  }

  template <typename Start> void run(Start Begin) {
    bool Ended = false;
    asio::error_code Result;
    Begin([&](asio::error_code Fault) {
      Ended = true;
      Result = Fault;
    });
    this->Context.restart();
    this->Context.run_for(TestTimeout);
    if (!Ended || Result)
      throw std::runtime_error("raw peer: " + Result.message());
  }

  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::socket Socket;
};

} // namespace

// Guards against answers that are lost, mixed up or reported with a wrong
// outcome between two balsamyard processes.
TEST_CASE("two processes exchange messages", "[transport]") {
  EventLog<Request> Requests;
  std::unique_ptr<PeerServer> Server = serve(Requests);
  Endpoint At = Server->local();
  Caller First;
  Caller Second;
  std::vector<Caller> Many(StreamLimit + 100);
  auto Client = std::make_unique<PeerClient>(2);

  SECTION("a request is answered with several messages in order") {
    First.call(*Client, At, "question");
    Request Got = Requests.at(0);
    CHECK(Got.Path == "/v1/test");
    CHECK(Got.Message == "question");
    for (int Index = 0; Index < 100; ++Index)
      Got.Stream->send(std::to_string(Index));
    Got.Stream->finish();
    CHECK(First.Closes.at(0) == Close{Code::Ok, true});
    REQUIRE(First.Messages.size() == 100);
    for (int Index = 0; Index < 100; ++Index)
      CHECK(First.Messages.at(Index) == std::to_string(Index));
  }

  SECTION("an empty message and an empty reply are messages too") {
    First.call(*Client, At, "");
    CHECK(Requests.at(0).Message.empty());
    answer(Requests.at(0), "");
    CHECK(First.Closes.at(0) == Close{Code::Ok, true});
    REQUIRE(First.Messages.size() == 1);
    CHECK(First.Messages.at(0).empty());
  }

  SECTION("a stream may end without any message") {
    First.call(*Client, At, "notice");
    Requests.at(0).Stream->finish();
    CHECK(First.Closes.at(0) == Close{Code::Ok, true});
    CHECK(First.Messages.size() == 0);
  }

  SECTION("answers that cross each other reach their own callers") {
    for (std::size_t Index = 0; Index < 1000; ++Index)
      Many[Index].call(*Client, At, std::to_string(Index));
    Requests.at(999);
    for (std::size_t Index = 1000; Index-- > 0;)
      answer(Requests.at(Index), "for " + Requests.at(Index).Message);
    for (std::size_t Index = 0; Index < 1000; ++Index) {
      CHECK(Many[Index].Closes.at(0) == Close{Code::Ok, true});
      CHECK(Many[Index].Messages.size() == 1);
      CHECK(Many[Index].Messages.at(0) == "for " + std::to_string(Index));
    }
  }

  SECTION("the largest message passes in both directions") {
    std::string Largest(MaxMessageBytes, 'x');
    First.call(*Client, At, Largest);
    CHECK(Requests.at(0).Message == Largest);
    answer(Requests.at(0), Largest);
    CHECK(First.Closes.at(0) == Close{Code::Ok, true});
    CHECK(First.Messages.at(0) == Largest);

    SECTION("and a larger one is refused before it leaves") {
      Largest.push_back('x');
      Second.call(*Client, At, Largest);
      CHECK(Second.Closes.at(0) == Close{Code::MalformedMessage, false});
    }
    SECTION("and a larger reply ends its stream, not the connection") {
      Largest.push_back('x');
      First.call(*Client, At, "large");
      Second.call(*Client, At, "small");
      answer(Requests.at(1), Largest);
      answer(Requests.at(2), "fine");
      CHECK(First.Closes.at(1) == Close{Code::PeerUnreachable, true});
      CHECK(Second.Closes.at(0) == Close{Code::Ok, true});
    }
  }

  SECTION("a caller cancels") {
    First.call(*Client, At, "slow");
    Second.call(*Client, At, "other");
    Request Slow = Requests.at(0);
    Request Other = Requests.at(1);
    if (Slow.Message != "slow")
      std::swap(Slow, Other);
    auto Cancelled = watchCancel(Slow);
    First.Call->cancel();
    CHECK(First.Closes.at(0) == Close{Code::Cancelled, true});
    CHECK(Cancelled->at(0));
    CHECK(Slow.Stream->cancelled());
    CHECK_FALSE(Other.Stream->cancelled());

    SECTION("and its late answer is dropped, while others are served") {
      answer(Slow, "late");
      answer(Other, "in time");
      CHECK(Second.Closes.at(0) == Close{Code::Ok, true});
      CHECK(Second.Messages.at(0) == "in time");
      CHECK(First.Messages.size() == 0);
      CHECK(First.Closes.size() == 1);
    }
    SECTION("and a handler that asks late is told at once") {
      CHECK(watchCancel(Slow)->at(0));
    }
    SECTION("and cancelling again changes nothing") {
      First.Call->cancel();
      answer(Other, "in time");
      CHECK(Second.Closes.at(0) == Close{Code::Ok, true});
      CHECK(First.Closes.size() == 1);
    }
  }

  SECTION("a handler cancels its own call after the first message") {
    EventLog<Close> Closes;
    EventLog<std::string> Messages;
    EventLog<Ref<PeerCall>> Calls;
    Calls.add(Client->call(
        At, "/v1/test", "leaves", TestTimeout,
        [&](std::string Message) {
          Messages.add(std::move(Message));
          Calls.at(0)->cancel();
          // OnClose has run when cancel() returns on this thread.
          Messages.add(std::to_string(Closes.size()));
        },
        [&](Code Result, bool Sent) {
          Closes.add({Result, Sent});
        }));
    Request Got = Requests.at(0);
    auto Cancelled = watchCancel(Got);
    Got.Stream->send("one");
    Got.Stream->send("two");
    CHECK(Closes.at(0) == Close{Code::Cancelled, true});
    CHECK(Cancelled->at(0));
    CHECK(Messages.at(0) == "one");
    CHECK(Messages.at(1) == "1");
    // The connection still works, and "two" has not been delivered.
    First.call(*Client, At, "next");
    answer(Requests.at(1), "fine");
    CHECK(First.Closes.at(0) == Close{Code::Ok, true});
    CHECK(Messages.size() == 2);
  }

  SECTION("a call whose deadline passes is cancelled at the server") {
    First.call(*Client, At, "slow", 20ms);
    Request Slow = Requests.at(0);
    auto Cancelled = watchCancel(Slow);
    CHECK(First.Closes.at(0) == Close{Code::DeadlineExceeded, true});
    CHECK(Cancelled->at(0));
    answer(Slow, "late");
    Second.call(*Client, At, "next");
    answer(Requests.at(1), "in time");
    CHECK(Second.Closes.at(0) == Close{Code::Ok, true});
    CHECK(First.Messages.size() == 0);
  }

  SECTION("a handler that drops its stream without an answer is reported") {
    auto Dropping =
        PeerServer::listen({"127.0.0.1", 0}, 1,
                           [](const std::string &, const std::string &,
                              const Ref<PeerStream> &) {});
    REQUIRE(Dropping);
    First.call(*Client, (*Dropping)->local(), "lost");
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
    Client.reset();
  }

  SECTION("a client has more calls than the server accepts at once") {
    for (Caller &Queued : Many)
      Queued.call(*Client, At, "busy");
    Requests.at(StreamLimit - 1);

    SECTION("and the rest waits until the first are answered") {
      CHECK(Requests.size() == StreamLimit);
      for (std::size_t Index = 0; Index < Many.size(); ++Index)
        answer(Requests.at(Index), "done");
      for (Caller &Queued : Many)
        CHECK(Queued.Closes.at(0) == Close{Code::Ok, true});
    }

    SECTION("and a call that ends while it waits was never sent") {
      First.call(*Client, At, "too late", 20ms);
      CHECK(First.Closes.at(0) == Close{Code::DeadlineExceeded, false});
      Second.call(*Client, At, "cancelled");
      Second.Call->cancel();
      CHECK(Second.Closes.at(0) == Close{Code::Cancelled, false});
      for (std::size_t Index = 0; Index < Many.size(); ++Index)
        answer(Requests.at(Index), "done");
      for (Caller &Queued : Many)
        Queued.Closes.at(0);
      First.call(*Client, At, "marker");
      CHECK(Requests.at(Many.size()).Message == "marker");
    }
  }

  SECTION("a server drains") {
    auto Draining = PeerServer::listen(
        {"127.0.0.1", 0}, 2,
        [&](std::string Path, std::string Message, Ref<PeerStream> Stream) {
          Request Got{std::move(Path), std::move(Message), std::move(Stream)};
          if (Got.Message == "long")
            Requests.add(Got);
          else
            answer(Got, "served");
        });
    REQUIRE(Draining);
    Endpoint There = (*Draining)->local();
    First.call(*Client, There, "long");
    Request Long = Requests.at(0);
    (*Draining)->drain();

    // A call that comes before the notice is served; none is cut off.
    Close Last{Code::Ok, true};
    std::size_t Served = 0;
    while (Last == Close{Code::Ok, true} && Served < Many.size()) {
      Many[Served].call(*Client, There, "short");
      Last = Many[Served].Closes.at(0);
      ++Served;
    }
    CHECK(Last == Close{Code::PeerUnreachable, false});

    SECTION("and a long request still gets its whole answer") {
      CHECK(First.Closes.size() == 0);
      Long.Stream->send("first half");
      answer(Long, "second half");
      CHECK(First.Closes.at(0) == Close{Code::Ok, true});
      CHECK(First.Messages.size() == 2);
    }
    SECTION("and a long request may still be cancelled") {
      auto Cancelled = watchCancel(Long);
      First.Call->cancel();
      CHECK(Cancelled->at(0));
    }
    Client.reset();
  }

  SECTION("a server goes away while a request runs") {
    First.call(*Client, At, "running");
    Request Running = Requests.at(0);
    auto Cancelled = watchCancel(Running);
    Server.reset();
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
    CHECK(Cancelled->at(0));
    // The handler has not been notified yet; its answer is dropped.
    answer(Running, "late");

    SECTION("and a call to the empty address is not sent") {
      Second.call(*Client, At, "nobody there");
      CHECK(Second.Closes.at(0) == Close{Code::PeerUnreachable, false});

      SECTION("until a new process listens there") {
        Server = serve(Requests, At.Port);
        Second.call(*Client, At, "again");
        answer(Requests.at(1), "welcome");
        CHECK(Second.Closes.at(1) == Close{Code::Ok, true});
      }
    }
  }

  SECTION("a client goes away while its requests run") {
    First.call(*Client, At, "running");
    Second.call(*Client, At, "running");
    auto FirstCancel = watchCancel(Requests.at(0));
    auto SecondCancel = watchCancel(Requests.at(1));
    Ref<PeerCall> Kept = First.Call;
    Client.reset();
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
    CHECK(Second.Closes.at(0) == Close{Code::PeerUnreachable, true});
    CHECK(FirstCancel->at(0));
    CHECK(SecondCancel->at(0));
    // Cancelling a call that has ended has no effect.
    Kept->cancel();
    CHECK(First.Closes.size() == 1);
  }

  SECTION("a call cancelled before the connection is up was never sent") {
    // One thread runs both tasks before it sees that the socket is connected.
    auto Single = std::make_unique<PeerClient>(1);
    Single->after(0ms, [&] {
      First.call(*Single, At, "never");
      First.Call->cancel();
    });
    CHECK(First.Closes.at(0) == Close{Code::Cancelled, false});
    Second.call(*Single, At, "next");
    CHECK(Requests.at(0).Message == "next");
    Single.reset();
    CHECK(Second.Closes.at(0) == Close{Code::PeerUnreachable, true});
  }

  SECTION("an invalid address is reported as unreachable") {
    First.call(*Client, {"not-an-address", 1}, "lost");
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, false});
  }

  SECTION(
      "tasks run after their delay, and not after the client was destroyed") {
    EventLog<int> Order;
    Client->after(40ms, [&] { Order.add(2); });
    Client->after(1ms, [&] { Order.add(1); });
    Client->after(1h, [&] { Order.add(3); });
    CHECK(Order.at(0) == 1);
    CHECK(Order.at(1) == 2);
    Client.reset();
    CHECK(Order.size() == 2);
  }

  SECTION("two servers cannot listen on one port") {
    auto Clash = PeerServer::listen(At, 1, {});
    REQUIRE_FALSE(Clash);
    CHECK(Clash.error().Value == Code::PeerUnreachable);
  }
}

// Guards against a faulty peer that affects other peers or the process.
TEST_CASE("a client sends malformed input to a server", "[transport]") {
  EventLog<Request> Requests;
  std::unique_ptr<PeerServer> Server = serve(Requests);
  Caller Healthy;
  PeerClient Client(1);
  Healthy.call(Client, Server->local(), "healthy");
  Request Running = Requests.at(0);
  RawPeer Faulty(Server->local());

  SECTION("bytes that are not HTTP/2 end their connection") {
    Faulty.writeRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    Faulty.waitForClose();
  }

  SECTION("a frame above the largest size ends its connection") {
    Faulty.greet();
    Faulty.writeRaw(std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9));
    CHECK(Faulty.next(GoAwayFrame, 0).Type == GoAwayFrame);
    Faulty.waitForClose();
  }

  SECTION("a malformed request ends its stream") {
    Faulty.greet();
    SECTION("when the last message is cut off") {
      Faulty.request(1, prefixed("cut off").substr(0, 8));
    }
    SECTION("when the length is cut off") {
      Faulty.request(1, std::string(2, '\0'));
    }
    SECTION("when there is no message") { Faulty.request(1, ""); }
    SECTION("when there are two messages") {
      Faulty.request(1, prefixed("one") + prefixed("two"));
    }
    SECTION("when the length is above the limit") {
      Faulty.write(HeadersFrame, EndHeaders, 1, RequestHeaders);
      Faulty.write(DataFrame, 0, 1, "\xff\xff\xff\xff");
    }
    CHECK(Faulty.next(ResetFrame, 1).errorCode() == ProtocolError);
    // The same connection carries a good request afterwards.
    Faulty.request(3, prefixed("good"));
    CHECK(Requests.at(1).Message == "good");
    answer(Requests.at(1), "fine");
    CHECK(Faulty.next(DataFrame, 3).Payload == prefixed("fine"));
  }

  SECTION("a message in many small pieces is put together") {
    Faulty.greet();
    Faulty.write(HeadersFrame, EndHeaders, 1, RequestHeaders);
    for (char Byte : prefixed("in pieces"))
      Faulty.write(DataFrame, 0, 1, std::string(1, Byte));
    Faulty.write(DataFrame, EndStream, 1, "");
    CHECK(Requests.at(1).Message == "in pieces");
  }

  SECTION("a client that does not read does not fill the memory") {
    Faulty.greet();
    Faulty.request(1, prefixed("flood me"));
    Request Flooded = Requests.at(1);
    for (int Index = 0; Index < 20; ++Index)
      Flooded.Stream->send(std::string(MaxMessageBytes, 'x'));
    CHECK(Faulty.next(ResetFrame, 1).errorCode() == InternalError);
  }

  SECTION("a client that breaks off in a request is forgotten") {
    Faulty.greet();
    Faulty.write(HeadersFrame, EndHeaders, 1, RequestHeaders);
    Faulty.write(DataFrame, 0, 1, prefixed("half of it").substr(0, 6));
    Faulty.close();
  }

  answer(Running, "undisturbed");
  CHECK(Healthy.Closes.at(0) == Close{Code::Ok, true});
  CHECK(Healthy.Messages.at(0) == "undisturbed");
}

// Guards against a malformed reply that is taken for an answer or that fails
// unrelated calls.
TEST_CASE("a server sends malformed input to a client", "[transport]") {
  RawPeer Faulty;
  Caller First;
  Caller Second;
  PeerClient Client(1);

  SECTION("it closes the connection without a response") {
    First.call(Client, Faulty.local(), "question");
    Faulty.accept();
    Faulty.next(DataFrame, 1);
    Faulty.close();
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
  }

  SECTION("it answers with bytes that are not HTTP/2") {
    First.call(Client, Faulty.local(), "question");
    Faulty.accept();
    Faulty.writeRaw("HTTP/1.1 400 Bad Request\r\n\r\n");
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
  }

  SECTION("it accepts and stays silent") {
    First.call(Client, Faulty.local(), "question", 20ms);
    Faulty.accept();
    CHECK(First.Closes.at(0).Result == Code::DeadlineExceeded);
  }

  SECTION("it refuses a stream before it looked at it") {
    First.call(Client, Faulty.local(), "question");
    Faulty.accept();
    Faulty.next(DataFrame, 1);
    Faulty.write(ResetFrame, 0, 1, std::string("\0\0\0\x07", 4));
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, false});
  }

  SECTION("it announces its end below a stream that it has not seen") {
    First.call(Client, Faulty.local(), "question");
    Faulty.accept();
    Faulty.next(DataFrame, 1);
    Faulty.write(GoAwayFrame, 0, 0, std::string(8, '\0'));
    CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, false});
  }

  SECTION("two calls run on one connection") {
    First.call(Client, Faulty.local(), "first");
    Faulty.accept();
    Faulty.next(DataFrame, 1);
    Second.call(Client, Faulty.local(), "second");
    Faulty.next(DataFrame, 3);
    Faulty.write(HeadersFrame, EndHeaders, 1, ResponseHeaders);
    Faulty.write(DataFrame, 0, 1, prefixed("good"));

    SECTION("the last message of one is cut off") {
      Faulty.write(DataFrame, EndStream, 1, prefixed("cut off").substr(0, 9));
      CHECK(First.Closes.at(0) == Close{Code::MalformedMessage, true});
      CHECK(First.Messages.at(0) == "good");
      CHECK(First.Messages.size() == 1);
    }
    SECTION("one announces a message above the limit") {
      Faulty.write(DataFrame, 0, 1, "\x7f\xff\xff\xff");
      CHECK(First.Closes.at(0) == Close{Code::MalformedMessage, true});
      CHECK(Faulty.next(ResetFrame, 1).errorCode() == ProtocolError);
    }
    SECTION("one is reset in the middle") {
      Faulty.write(ResetFrame, 0, 1, std::string("\0\0\0\x02", 4));
      CHECK(First.Closes.at(0) == Close{Code::PeerUnreachable, true});
    }
    SECTION("the answer to a cancelled one comes late") {
      First.Messages.at(0);
      First.Call->cancel();
      CHECK(First.Closes.at(0) == Close{Code::Cancelled, true});
      Faulty.write(DataFrame, EndStream, 1, prefixed("late"));
    }

    Faulty.write(HeadersFrame, EndHeaders, 3, ResponseHeaders);
    Faulty.write(DataFrame, EndStream, 3, prefixed("undisturbed"));
    CHECK(Second.Closes.at(0) == Close{Code::Ok, true});
    CHECK(Second.Messages.at(0) == "undisturbed");
    CHECK(First.Messages.size() == 1);
  }

  SECTION("it answers with a status other than 200") {
    First.call(Client, Faulty.local(), "question");
    Faulty.accept();
    Faulty.next(DataFrame, 1);
    Faulty.write(HeadersFrame, EndHeaders | EndStream, 1, "\x8d"); // 404
    CHECK(First.Closes.at(0) == Close{Code::MalformedMessage, true});
  }
}

// Guards against calls that never end, end twice or get the answer of another
// call when requests, replies, cancellations and timeouts overlap.
TEST_CASE("calls end exactly once in any order of events", "[transport]") {
  constexpr std::size_t CallCount = 2000;
  boost::random::mt19937 Random(20261204);
  boost::random::uniform_int_distribution<int> Draw(0, 99);

  std::mutex Mutex; // Guards ServerRandom and Kept.
  boost::random::mt19937 ServerRandom(20261205);
  std::vector<Ref<PeerStream>> Kept;
  std::vector<Caller> Callers(CallCount);
  auto Server =
      PeerServer::listen({"127.0.0.1", 0}, 2,
                         [&](const std::string &, const std::string &Message,
                             const Ref<PeerStream> &Stream) {
                           std::lock_guard<std::mutex> Lock(Mutex);
                           int Choice = Draw(ServerRandom);
                           if (Choice < 60) {
                             for (int Index = 0; Index < Choice % 4; ++Index)
                               Stream->send(Message);
                             Stream->finish();
                           } else if (Choice < 80) {
                             Kept.push_back(Stream); // Answered late or never.
                           } else if (Choice < 90 && !Kept.empty()) {
                             Kept.back()->send("late");
                             Kept.back()->finish();
                             Kept.pop_back();
                             Stream->finish();
                           }
                         });
  REQUIRE(Server);
  PeerClient Client(2);
  for (std::size_t Index = 0; Index < CallCount; ++Index) {
    bool Short = Draw(Random) < 30;
    Callers[Index].call(Client, (*Server)->local(),
                        "call " + std::to_string(Index), Short ? 1ms : 500ms);
    if (Draw(Random) < 20)
      Callers[Index].Call->cancel();
  }
  std::size_t Answered = 0;
  for (std::size_t Index = 0; Index < CallCount; ++Index) {
    Close End = Callers[Index].Closes.at(0);
    Answered += End.Result == Code::Ok ? 1 : 0;
    for (std::size_t Reply = 0; Reply < Callers[Index].Messages.size();
         ++Reply) {
      std::string Message = Callers[Index].Messages.at(Reply);
      CHECK((Message == "call " + std::to_string(Index) || Message == "late"));
    }
  }
  CHECK(Answered > 0);
  (*Server).reset();
  for (Caller &Ended : Callers)
    CHECK(Ended.Closes.size() == 1);
}
