#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace balsamyard::test {

/// \brief Takes nothing of its answers.
struct ReadsNothing {};

/// \brief Takes a few bytes now and then.
struct ReadsSlowly {
  std::size_t Bytes = 64;
  Duration Pause = std::chrono::milliseconds(100);
};

/// \brief Takes its answers as they come.
struct ReadsAll {};

using ReadBehaviour = std::variant<ReadsNothing, ReadsSlowly, ReadsAll>;

/// \brief Sends its bytes once and then stays.
struct SendsOnce {};

/// \brief Sends its bytes again and again, as far as the server takes them.
struct SendsWithoutEnd {
  Duration Pause = std::chrono::milliseconds(50);
};

using SendBehaviour = std::variant<SendsOnce, SendsWithoutEnd>;

/// \brief What each client of a crowd does.
struct ClientPlan {
  std::string Bytes; ///< "{id}" stands for a different id each time.
  SendBehaviour Sends = SendsOnce{};
  ReadBehaviour Reads = ReadsNothing{};
  bool AwaitsAnswer = false; ///< Has arrived only when an answer begins.
};

/// \brief Clients that call a server all at once. One whose connection ends
/// calls again, until the crowd is destroyed.
class Crowd {
public:
  Crowd(const asio::ip::tcp::endpoint &Server, std::size_t Clients,
        ClientPlan Plan);
  ~Crowd();

  /// \brief Waits until each client has sent its bytes, as far as the server
  /// takes them, and got the beginning of an answer if it awaits one, or the
  /// server has closed its connection.
  /// \returns false if that takes too long.
  bool waitUntilArrived();

private:
  struct Client;

  /// Pause before a client whose connection ended calls again.
  static constexpr Duration CallAgainPause = std::chrono::milliseconds(100);

  /// A client whose bytes wait for longer has sent what the server takes.
  static constexpr Duration BlockedTime = std::chrono::milliseconds(300);

  void call(const std::shared_ptr<Client> &Caller);
  void send(const std::shared_ptr<Client> &Caller);
  void onSent(const std::shared_ptr<Client> &Caller);
  void read(const std::shared_ptr<Client> &Caller);
  void callAgain(const std::shared_ptr<Client> &Caller);
  void checkConnections();

  const asio::ip::tcp::endpoint Server;
  const ClientPlan Plan;
  asio::io_context Io;
  asio::steady_timer CheckTimer;
  std::vector<std::shared_ptr<Client>> Clients;
  std::size_t NextId = 0;
  std::atomic<std::size_t> Arrived{0};
  std::thread Thread;
};

} // namespace balsamyard::test
