#include "balsamyard/src/Connection/HttpLink.h"
#include "tests/path/PathWorld.h"

#include <asio/write.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \brief A server that answers the first connection with \p Opening and then
/// repeats \p Rest until the peer closes.
class EndlessServer {
public:
  EndlessServer(std::string Opening, std::string Rest)
      : Acceptor(this->Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, Opening = std::move(Opening), Rest = std::move(Rest)] {
          asio::error_code Problem;
          asio::ip::tcp::socket Peer = this->Acceptor.accept();
          this->Sent += asio::write(Peer, asio::buffer(Opening), Problem);
          while (!Problem)
            this->Sent += asio::write(Peer, asio::buffer(Rest), Problem);
        }) {}

  ~EndlessServer() { this->Thread.join(); }

  Endpoint address() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

  /// \brief Waits until the peer has closed. \returns the bytes sent.
  std::size_t join() {
    this->Thread.join();
    this->Thread = std::thread([] {});
    return this->Sent;
  }

private:
  asio::io_context Io;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<std::size_t> Sent{0};
  std::thread Thread;
};

} // namespace

// Guards against a target in trouble that sends bytes without end: they must
// neither fill the memory of the process nor keep the connection.
SCENARIO("an answer without end ends with the connection", "[endless]") {
  struct Case {
    const char *Name;
    std::string Opening;
    std::string Rest;
  };
  const std::string Block(4096, 'x');
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const Case &Trouble :
       {Case{"no answer at all", "", Block},
        Case{"a status line", "HTTP/1.1 200 ", Block},
        Case{"one header", Ok + "X-Long: ", Block},
        Case{"many headers", Ok, "X-Header: value\r\n"},
        Case{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        Case{"a body until the connection closes", Ok + "\r\n", Block},
        Case{"a body in chunks", Ok + "Transfer-Encoding: chunked\r\n\r\n",
             "1000\r\n" + Block + "\r\n"},
        Case{"a chunk extension",
             Ok + "Transfer-Encoding: chunked\r\n\r\n5;name=", Block},
        Case{"trailers", Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
             "X-Trailer: value\r\n"}})
    GIVEN(std::string(Trouble.Name)) {
      EndlessServer Target(Trouble.Opening, Trouble.Rest);
      asio::io_context Io;
      const HttpLimits Limits{64UL * 1024, 1024UL * 1024};
      const auto Link = makeRef<HttpLink>(Io, Limits);
      std::optional<bool> Complete;
      Link->open(Target.address(), Second, [&](const Expected<void> &Opened) {
        REQUIRE(Opened);
        Link->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", true,
                   [&](const Expected<HttpResponse> &Result) {
                     Complete = Result.has_value();
                   });
      });
      const TimePoint GiveUp = steadyNow() + 20 * Second;
      while (!Complete && steadyNow() < GiveUp)
        Io.run_one_for(std::chrono::milliseconds(10));
      const bool Open = Link->isOpen();
      Link->close();
      const std::size_t Sent = Target.join();
      THEN("it fails, the connection closes, and what is read is bounded") {
        REQUIRE(Complete);
        CHECK_FALSE(*Complete);
        CHECK_FALSE(Open);
        // The limits, and what the buffers of both sockets hold.
        CHECK(Sent <= 32UL * 1024 * 1024);
      }
    }
}
