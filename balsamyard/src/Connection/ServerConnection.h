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
#include <vector>

namespace balsamyard {

/// \brief Bounds of one incoming connection.
struct ServerLimits {
  HttpLimits Message;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration IdleTimeout = std::chrono::seconds(60);
};

class ServerConnection;

/// \brief Callbacks of the owner of incoming connections.
struct ServerHooks {
  /// A complete request arrived; the owner must call answer() once.
  std::function<void(ServerConnection &, HttpRequest)> OnRequest;

  /// The peer closed the connection before its answer.
  std::function<void(ServerConnection &)> OnPeerClosed;

  /// The limits of the next request.
  std::function<ServerLimits()> Limits;
};

/// \brief An incoming HTTP/1.1 connection. It is used on one io_context thread,
/// handles one request at a time, and keeps reading meanwhile to detect that
/// the peer disconnects.
class ServerConnection : public RefCounted<ServerConnection> {
public:
  /// After its last answer the connection reads on for this long: closing it
  /// with unread bytes would reset it, and the peer could lose the answer.
  static constexpr Duration LingerTime = std::chrono::seconds(1);

  /// Maximum bytes of pipelined requests that are buffered while one is
  /// handled.
  static constexpr std::size_t MaxPipelined = 64UL * 1024;

  /// \p Hooks outlives the connection.
  ServerConnection(asio::ip::tcp::socket Socket, const ServerHooks &Hooks);

  void start();

  /// \brief Sends the answer of the request that was reported. \p KeepOpen
  /// tells whether the message keeps the connection open.
  void answer(std::string Message, bool KeepOpen);

  /// \returns whether the answer to the current request may leave the
  /// connection open.
  bool mayKeepOpen() const { return this->PeerKeepsOpen && !this->Stopping; }

  /// \brief Closes the connection after the next answer.
  void beginStop() { this->Stopping = true; }

  /// \brief Closes the connection if no request is being read or handled,
  /// otherwise after the next answer.
  void closeIfIdle();

  /// \brief Closes the connection in any state.
  void close();

  /// \brief Data of the owner for the running request.
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
  std::string Outgoing; ///< Until it is written.
  Ref<MessageShare> OutgoingShare;
  State CurrentState = State::Reading;
  bool PeerKeepsOpen = true;
  bool Stopping = false;
  bool CloseWhenIdle = false;
  bool Reading = false;
  bool KeepAfterWrite = false;
  bool HeaderTimerArmed = false;
};

/// \brief Accepts connections for one I/O thread and shuts them down
/// gracefully.
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

  /// \brief Closes each connection after its next answer. New connections are
  /// still accepted, because the load balancer needs time to notice.
  void beginStop();

  /// \brief Closes the listening socket and every connection without a
  /// request.
  void closeIdle();

  /// \returns the open connections.
  std::vector<Ref<ServerConnection>> open();

  std::size_t connections() const { return this->Connections.size(); }

private:
  void accept();

  /// Pause after a failed accept. Without it, a process without free
  /// descriptors would retry in a busy loop.
  static constexpr Duration AcceptRetryPause = std::chrono::milliseconds(100);

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerHooks Hooks;
  ConnectionList Connections;
  bool Stopping = false;
};

} // namespace balsamyard
