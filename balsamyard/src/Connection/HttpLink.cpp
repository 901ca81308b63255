#include "balsamyard/src/Connection/HttpLink.h"

#include <asio/write.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace balsamyard {

namespace {

void setOption(int Socket, int Level, int Option, int Value) {
  // Errors are ignored: the default value is correct, only slower to detect a
  // lost peer.
  ::setsockopt(Socket, Level, Option, &Value, sizeof(Value));
}

} // namespace

void tuneSocket(asio::ip::tcp::socket &Socket, Duration UserTimeout) {
  using std::chrono::duration_cast;
  const int Handle = Socket.native_handle();
  setOption(Handle, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  const auto Idle = static_cast<int>(
      duration_cast<std::chrono::seconds>(HttpLink::KeepAliveIdle).count());
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, Idle);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, HttpLink::KeepAliveProbes);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(
                duration_cast<std::chrono::milliseconds>(UserTimeout).count()));
}

HttpLink::HttpLink(asio::io_context &Context, const HttpLimits &Limits)
    : Socket(Context), OpenTimer(Context), Parser(Limits),
      Memory(Limits.Memory) {}

void HttpLink::open(const Endpoint &Peer, Duration Timeout, OpenHandler Done) {
  asio::error_code Problem;
  const auto Address = asio::ip::make_address(Peer.Address, Problem);
  this->CurrentState = State::Opening;
  this->Opened = std::move(Done);
  Ref<HttpLink> Self(this);
  auto Finish = [Self](const asio::error_code &Result) {
    if (Self->CurrentState != State::Opening)
      return;
    Self->OpenTimer.cancel();
    OpenHandler Handler = std::exchange(Self->Opened, nullptr);
    if (Result) {
      Self->closeSocket();
      Handler(fail(Code::PeerUnreachable, Result.message()));
      return;
    }
    tuneSocket(Self->Socket);
    Self->CurrentState = State::Idle;
    Self->IdleSince = steadyNow();
    Self->startReading();
    Handler({});
  };
  if (Problem) {
    asio::post(this->Socket.get_executor(),
               [Finish, Problem] { Finish(Problem); });
    return;
  }
  this->OpenTimer.expires_after(Timeout);
  this->OpenTimer.async_wait([Finish](const asio::error_code &Cancelled) {
    if (!Cancelled)
      Finish(asio::error::timed_out);
  });
  this->Socket.async_connect({Address, Peer.Port}, Finish);
}

void HttpLink::send(std::string Message, bool BodyExpected,
                    AnswerHandler Done) {
  this->CurrentState = State::Busy;
  this->Outgoing = std::move(Message);
  this->OutgoingShare =
      shareOfReadyMessage(this->Memory, this->Outgoing.size());
  this->Answered = std::move(Done);
  this->Parser.begin(BodyExpected);
  this->Writing = true;
  Ref<HttpLink> Self(this);
  asio::async_write(this->Socket, asio::buffer(this->Outgoing),
                    [Self](const asio::error_code &Problem, std::size_t) {
                      Self->Writing = false;
                      std::string().swap(Self->Outgoing);
                      Self->OutgoingShare = nullptr;
                      // A response that was read before the write failed has
                      // already ended the Busy state.
                      if (Problem && Self->CurrentState == State::Busy)
                        Self->onReadError(false);
                    });
}

void HttpLink::startReading() {
  Ref<HttpLink> Self(this);
  this->Socket.async_read_some(
      asio::buffer(this->Buffer),
      [Self](const asio::error_code &Problem, std::size_t Length) {
        if (Self->CurrentState == State::Closed)
          return;
        if (Problem)
          Self->onReadError(Problem == asio::error::eof);
        else
          Self->onRead(Length);
      });
}

void HttpLink::onRead(std::size_t Length) {
  if (this->CurrentState == State::Idle) {
    // Unsolicited bytes.
    this->onReadError(false);
    return;
  }
  const HttpStep Step = this->Parser.read({this->Buffer.data(), Length});
  if (std::holds_alternative<HttpIncomplete>(Step.Progress)) {
    this->startReading();
    return;
  }
  if (const auto *Fault = std::get_if<HttpMalformed>(&Step.Progress)) {
    this->finish(fail(Fault->Status == NoMemoryStatus ? Code::Overloaded
                                                      : Code::TargetMalformed,
                      std::string(Fault->Reason)),
                 false);
    return;
  }
  HttpResponse Response = this->Parser.take();
  // Bytes after a complete response belong to no request. If the request was
  // answered before it was fully written, the peer would read its rest as the
  // next request.
  const bool KeepOpen =
      Response.KeepAlive && Step.Consumed == Length && !this->Writing;
  this->finish(std::move(Response), KeepOpen);
}

void HttpLink::onReadError(bool Orderly) {
  if (this->CurrentState == State::Idle) {
    const CloseHandler Handler = std::exchange(this->IdleClose, nullptr);
    this->closeSocket();
    if (Handler)
      Handler();
    return;
  }
  if (Orderly && this->Parser.started() &&
      std::holds_alternative<HttpComplete>(this->Parser.end())) {
    this->finish(this->Parser.take(), false);
    return;
  }
  this->finish(fail(Code::PeerUnreachable,
                    "the connection closed before the response was complete"),
               false);
}

void HttpLink::finish(Expected<HttpResponse> Result, bool KeepOpen) {
  AnswerHandler Handler = std::exchange(this->Answered, nullptr);
  if (KeepOpen) {
    this->CurrentState = State::Idle;
    this->IdleSince = steadyNow();
    this->startReading();
  } else {
    this->closeSocket();
  }
  Handler(std::move(Result));
}

bool HttpLink::isReady() {
  if (this->CurrentState != State::Idle)
    return false;
  asio::error_code Problem;
  return this->Socket.available(Problem) == 0 && !Problem;
}

void HttpLink::closeSocket() {
  this->CurrentState = State::Closed;
  // The handler may hold a reference to the owner of this link.
  this->IdleClose = nullptr;
  asio::error_code Ignored;
  this->OpenTimer.cancel();
  // The peer may have closed already; the socket is released either way.
  this->Socket.close(Ignored);
}

void HttpLink::close() {
  this->Opened = nullptr;
  this->Answered = nullptr;
  if (this->CurrentState != State::Closed)
    this->closeSocket();
}

} // namespace balsamyard
