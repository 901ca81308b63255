#pragma once

#include "balsamyard/src/Connection/HttpParser.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <functional>
#include <string>

namespace balsamyard {

/// \brief Bounds of one incoming connection.
struct ServerLimits {
  HttpLimits Message; ///< Of requests.

  /// Counts answers until the peer has taken them; nullptr counts nothing.
  MessageMemory *Answers = nullptr;

  Duration HeaderTimeout = std::chrono::seconds(10);

  /// How long the connection may stay open without a request, without bytes of
  /// a body, or without progress of an answer.
  Duration IdleTimeout = std::chrono::seconds(60);
};

class ConnectionTable;
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

  /// Least part of a body that has to arrive in each idle timeout. With single
  /// bytes, a peer could keep its memory for ever.
  static constexpr std::size_t MinBodyPart = 4UL * 1024;

  /// Reading pauses while as many bytes of pipelined requests are buffered and
  /// one is handled. They are not counted, so they are few.
  static constexpr std::size_t MaxPipelined = 4UL * 1024;

  /// \p Hooks outlives the connection. The connection is in \p Table until it
  /// closes.
  ServerConnection(asio::ip::tcp::socket Socket, const ServerHooks &Hooks,
                   ConnectionTable *Table = nullptr);
  ~ServerConnection();

  void start();

  /// \brief Sends the answer of the request that was reported. \p KeepOpen
  /// tells whether the message keeps the connection open.
  void answer(EncodedMessage Message, bool KeepOpen);
  void answer(std::string Message, bool KeepOpen) {
    this->answer(EncodedMessage{std::move(Message), {}, nullptr}, KeepOpen);
  }

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

  /// \brief Closes the connection to make room for others. Drops the rest of an
  /// answer that its peer does not take.
  void evict();

  /// \returns whether a request of the peer is at work.
  bool isHandling() const { return this->CurrentState == State::Handling; }

  /// \returns how long the peer has not taken any byte of the answer.
  Duration stalledFor(TimePoint Now) const { return Now - this->ProgressAt; }

  /// \returns whether no answer may stall for as long.
  bool isStalled(TimePoint Now) const {
    return this->stalledFor(Now) >= this->Limits.IdleTimeout;
  }

  /// \returns whether the answer is counted in the memory of answers.
  bool holdsMemory() const { return this->Outgoing.Share != nullptr; }

  /// \brief Removes the connection from its table.
  void leaveTable();

  /// \brief Data of the owner for the running request.
  void *Attached = nullptr;

  /// Positions in the table of the listener.
  boost::intrusive::list_member_hook<> Hook;
  boost::intrusive::list_member_hook<> WriterHook;

private:
  enum class State { Reading, Handling, Writing, Lingering, Closed };

  void read();

  /// \brief Reads while a request is handled, to detect that the peer
  /// disconnects. What it sends stays buffered as the next request.
  void readOn();
  void onRead(const std::string_view Bytes);
  void onReadEnd();
  void parse();
  void reject(const HttpMalformed &Fault);
  void armTimer(Duration After);
  void onIncomplete();
  void armBodyTimer();
  void onTimer();
  void linger();
  void noteActivity();
  void noteProgress();
  void onWritten(const asio::error_code &Problem);

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  const ServerHooks &Hooks;
  ConnectionTable *Table;
  RequestParser Parser;
  ServerLimits Limits;
  std::array<char, 4096> Buffer;
  std::string Unparsed;
  EncodedMessage Outgoing; ///< Until it is written.
  TimePoint ProgressAt{};  ///< When the peer last took a part of it.
  State CurrentState = State::Reading;
  bool PeerKeepsOpen = true;
  bool Stopping = false;
  bool CloseWhenIdle = false;
  bool Reading = false;
  bool KeepAfterWrite = false;
  bool HeaderTimerArmed = false;
  bool BodyTimerArmed = false;
  std::size_t TimedBodyBytes = 0; ///< When the timer of the body was armed.
};

} // namespace balsamyard
