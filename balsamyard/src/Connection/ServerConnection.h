#pragma once

#include "balsamyard/src/Connection/HttpParser.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <string>

namespace balsamyard {

/// \brief Bounds of one incoming connection.
struct ServerLimits {
  HttpLimits Message;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration IdleTimeout = std::chrono::seconds(60);
};

class ServerConnection;

/// \brief What the owner of incoming connections does with them.
struct ServerHooks {
  /// A whole request arrived; answer() has to follow, once.
  std::function<void(ServerConnection &, HttpRequest)> OnRequest;

  /// The peer closed the connection before its answer.
  std::function<void(ServerConnection &)> OnPeerClosed;

  /// The limits of the next request.
  std::function<ServerLimits()> Limits;
};

/// \brief An incoming HTTP/1.1 connection. It belongs to one io_context thread,
/// handles one request at a time, and keeps reading meanwhile, so that a peer
/// that leaves is noticed at once.
class ServerConnection : public RefCounted<ServerConnection> {
public:
  /// After an error answer the connection reads on for this long, because a
  /// close with unread bytes would reset it and destroy the answer.
  static constexpr Duration LingerTime = std::chrono::seconds(1);

  /// Bytes of following requests that are kept while one is handled.
  static constexpr std::size_t MaxPipelined = 64UL * 1024;

  /// \p Hooks outlives the connection.
  ServerConnection(asio::ip::tcp::socket Socket, const ServerHooks &Hooks);

  void start();

  /// \brief Sends the answer of the request that was reported. \p KeepOpen is
  /// whether the message says that the connection stays open.
  void answer(std::string Message, bool KeepOpen);

  /// \returns whether the answer to the current request may leave the
  /// connection open.
  bool mayKeepOpen() const { return this->PeerKeepsOpen && !this->Stopping; }

  /// \brief The answers that follow end the connection.
  void beginStop() { this->Stopping = true; }

  /// \brief Closes the connection if no request is being read or handled.
  void closeIfIdle();

  /// \brief Closes the connection whatever it does.
  void close();

  /// \brief What the owner attaches to the running request.
  void *Attached = nullptr;

  /// Position in the list of the listener.
  boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
      Hook;

private:
  enum class State { Reading, Handling, Writing, Lingering, Closed };

  void read();
  void onRead(const std::string_view Bytes);
  void onReadEnd();
  void parse();
  void reject(const HttpMalformed &Fault);
  void armTimer(Duration After);
  void onIncomplete();
  void onTimer();
  void linger();

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  const ServerHooks &Hooks;
  RequestParser Parser;
  ServerLimits Limits;
  std::array<char, 4096> Buffer;
  std::string Unparsed;
  std::string Outgoing;
  State CurrentState = State::Reading;
  bool PeerKeepsOpen = true;
  bool Stopping = false;
  bool Reading = false;
  bool KeepAfterWrite = false;
  bool HeaderTimerArmed = false;
};

/// \brief Accepts connections for one I/O thread and stops them in an orderly
/// way.
class Listener {
public:
  using ConnectionList = boost::intrusive::list<
      ServerConnection,
      boost::intrusive::member_hook<
          ServerConnection,
          boost::intrusive::list_member_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
          &ServerConnection::Hook>,
      boost::intrusive::constant_time_size<false>>;

  Listener(asio::io_context &Context, ServerHooks Hooks);

  /// \brief Listens on \p At; several listeners may share an address.
  void listen(const asio::ip::tcp::endpoint &At);

  /// \returns the port, which the kernel chose if 0 was asked for.
  std::uint16_t port() const;

  /// \brief Answers end their connections from now on; new connections are
  /// still accepted, because the balancer needs time to notice.
  void beginStop();

  /// \brief Closes the listening socket and every connection without a
  /// request.
  void closeIdle();

  std::size_t connections() const { return this->Connections.size(); }

private:
  void accept();

  /// A process without free descriptors cannot accept, and would try again at
  /// once.
  static constexpr Duration AcceptRetryPause = std::chrono::milliseconds(100);

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerHooks Hooks;
  ConnectionList Connections;
  bool Stopping = false;
};

} // namespace balsamyard
