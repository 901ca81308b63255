#pragma once

#include "balsamyard/src/Connection/HttpParser.h"
#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

namespace balsamyard {

/// \brief An outgoing HTTP/1.1 connection with one request at a time.
///
/// Used on one io_context thread only. It keeps reading while idle, so that an
/// orderly close or unsolicited bytes are detected at once; either ends the
/// connection.
class HttpLink : public RefCounted<HttpLink> {
public:
  using OpenHandler = std::function<void(Expected<void>)>;
  using AnswerHandler = std::function<void(Expected<HttpResponse>)>;
  using CloseHandler = std::function<void()>;

  /// \brief Value of TCP_USER_TIMEOUT. Ends the connection to a lost peer after
  /// this time without an acknowledgement, instead of after many minutes of
  /// retransmissions.
  static constexpr Duration AcknowledgeTimeout =
      std::chrono::milliseconds(2500);

  /// \brief TCP keep-alive of an idle connection. The total time stays below
  /// AcknowledgeTimeout.
  static constexpr Duration KeepAliveIdle = std::chrono::seconds(1);
  static constexpr int KeepAliveProbes = 2;

  HttpLink(asio::io_context &Context, const HttpLimits &Limits);

  /// \brief Connects. \p Done is called once.
  void open(const Endpoint &Peer, Duration Timeout, OpenHandler Done);

  /// \brief Sends a request on an idle open connection. \p Done is called
  /// once, unless close() is called first.
  void send(std::string Message, bool BodyExpected, AnswerHandler Done);

  /// \brief Sets the handler for the end of an idle connection. It is not
  /// called after close().
  void onIdleClose(CloseHandler Handler) {
    this->IdleClose = std::move(Handler);
  }

  /// \brief Closes the connection; no handler is called afterwards.
  void close();

  /// \returns whether a request may be sent: the connection is open and idle,
  /// and has no unsolicited bytes.
  bool isReady();

  bool isOpen() const {
    return this->CurrentState == State::Idle ||
           this->CurrentState == State::Busy;
  }

  /// \returns when the connection became idle.
  TimePoint idleSince() const { return this->IdleSince; }

private:
  enum class State { Closed, Opening, Idle, Busy };

  void startReading();
  void onRead(std::size_t Length);
  void onReadError(bool Orderly);
  void finish(Expected<HttpResponse> Result, bool KeepOpen);
  void closeSocket();

  asio::ip::tcp::socket Socket;
  asio::steady_timer OpenTimer;
  ResponseParser Parser;
  std::array<char, 8192> Buffer;
  std::string Outgoing; ///< Until it is written.
  Ref<MessageShare> OutgoingShare;
  MessageMemory *const Memory;
  State CurrentState = State::Closed;
  bool Writing = false;
  TimePoint IdleSince{};
  OpenHandler Opened;
  AnswerHandler Answered;
  CloseHandler IdleClose;
};

/// \brief Disables Nagle's algorithm and bounds the time to detect a lost peer.
/// The kernel ends the connection when the peer has not acknowledged or taken
/// anything for \p UserTimeout.
void tuneSocket(asio::ip::tcp::socket &Socket,
                Duration UserTimeout = HttpLink::AcknowledgeTimeout);

} // namespace balsamyard
