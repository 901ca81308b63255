#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <memory>
#include <string>
#include <thread>

namespace balsamyard::test {

/// \brief Targets that answer their health page, and every other request with
/// \p Opening and then \p Block again and again, until the peer closes.
class EndlessTargets {
public:
  EndlessTargets(int Count, std::string Opening, std::string Block)
      : Opening(std::move(Opening)), Block(std::move(Block)) {
    for (int Number = 0; Number < Count; ++Number) {
      this->Acceptors.emplace_back(
          this->Io,
          asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      this->accept(Number);
    }
    this->Thread = std::thread([this] { this->Io.run(); });
  }

  ~EndlessTargets() {
    this->Io.stop();
    this->Thread.join();
  }

  static std::string id(int Number) { return "i-" + std::to_string(Number); }

  std::string address(int Number) const {
    return "127.0.0.1:" +
           std::to_string(this->Acceptors[Number].local_endpoint().port());
  }

private:
  struct Peer {
    Peer(asio::ip::tcp::socket Accepted, int Number)
        : Number(Number), Socket(std::move(Accepted)),
          Timer(this->Socket.get_executor()) {}

    const int Number; ///< Of the target.
    asio::ip::tcp::socket Socket;
    asio::steady_timer Timer;
    std::string Received;
  };

  /// Limits the bytes of one connection to about 13 MB/s.
  static constexpr Duration Pause = std::chrono::milliseconds(5);

  void accept(int Number) {
    this->Acceptors[Number].async_accept(
        [this, Number](const asio::error_code &Problem,
                       asio::ip::tcp::socket Socket) {
          if (Problem)
            return;
          this->read(std::make_shared<Peer>(std::move(Socket), Number));
          this->accept(Number);
        });
  }

  void read(const std::shared_ptr<Peer> &From) {
    asio::async_read_until(
        From->Socket, asio::dynamic_buffer(From->Received), "\r\n\r\n",
        [this, From](const asio::error_code &Problem, std::size_t Length) {
          if (Problem)
            return;
          const bool Health = From->Received.starts_with("GET /health ");
          From->Received.erase(0, Length);
          if (Health)
            this->answerHealth(From);
          else
            this->stream(From, this->Opening);
        });
  }

  void answerHealth(const std::shared_ptr<Peer> &To) {
    const auto Message = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nX-Balsamyard-Instance-Id: " + id(To->Number) +
        "\r\nContent-Length: 0\r\n\r\n");
    asio::async_write(
        To->Socket, asio::buffer(*Message),
        [this, To, Message](const asio::error_code &Problem, std::size_t) {
          if (!Problem)
            this->read(To);
        });
  }

  void stream(const std::shared_ptr<Peer> &To, const std::string &Bytes) {
    asio::async_write(To->Socket, asio::buffer(Bytes),
                      [this, To](const asio::error_code &Problem, std::size_t) {
                        if (Problem)
                          return;
                        To->Timer.expires_after(Pause);
                        To->Timer.async_wait(
                            [this, To](const asio::error_code &) {
                              this->stream(To, this->Block);
                            });
                      });
  }

  const std::string Opening;
  const std::string Block;
  asio::io_context Io;
  std::deque<asio::ip::tcp::acceptor> Acceptors;
  std::thread Thread;
};

} // namespace balsamyard::test
