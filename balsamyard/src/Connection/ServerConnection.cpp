#include "balsamyard/src/Connection/ServerConnection.h"

#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <asio/write.hpp>
#include <sys/socket.h>

namespace balsamyard {

ServerConnection::ServerConnection(asio::ip::tcp::socket Accepted,
                                   const ServerHooks &Hooks)
    : Socket(std::move(Accepted)), Timer(this->Socket.get_executor()),
      Hooks(Hooks) {}

void ServerConnection::start() {
  tuneSocket(this->Socket);
  this->Limits = this->Hooks.Limits();
  this->Parser.limit(this->Limits.Message);
  this->armTimer(this->Limits.IdleTimeout);
  this->read();
}

void ServerConnection::read() {
  if (this->Reading || this->CurrentState == State::Closed)
    return;
  this->Reading = true;
  const Ref<ServerConnection> Self(this);
  this->Socket.async_read_some(
      asio::buffer(this->Buffer),
      [Self](const asio::error_code &Problem, std::size_t Length) {
        Self->Reading = false;
        if (Self->CurrentState == State::Closed)
          return;
        if (Problem)
          Self->onReadEnd();
        else
          Self->onRead({Self->Buffer.data(), Length});
      });
}

void ServerConnection::onRead(const std::string_view Bytes) {
  if (this->CurrentState == State::Lingering) {
    this->read();
    return;
  }
  this->Unparsed.append(Bytes);
  if (this->CurrentState == State::Reading) {
    this->parse();
    return;
  }
  // The next request stays buffered; reading on only serves to detect that the
  // peer disconnects.
  if (this->Unparsed.size() < MaxPipelined)
    this->read();
}

void ServerConnection::onReadEnd() {
  const bool WasBusy = this->CurrentState == State::Handling;
  this->close();
  if (WasBusy)
    this->Hooks.OnPeerClosed(*this);
}

void ServerConnection::parse() {
  const HttpStep Step = this->Parser.read(this->Unparsed);
  this->Unparsed.erase(0, Step.Consumed);
  if (const auto *Fault = std::get_if<HttpMalformed>(&Step.Progress)) {
    this->reject(*Fault);
    return;
  }
  if (std::holds_alternative<HttpIncomplete>(Step.Progress)) {
    this->onIncomplete();
    return;
  }
  this->HeaderTimerArmed = false;
  this->Timer.cancel();
  this->CurrentState = State::Handling;
  HttpRequest Request = this->Parser.take();
  this->PeerKeepsOpen = Request.KeepAlive;
  // Keeps reading to detect that the peer disconnects.
  this->read();
  const Ref<ServerConnection> Self(this);
  this->Hooks.OnRequest(*this, std::move(Request));
}

void ServerConnection::onIncomplete() {
  // The header section has one time limit in total; the limit of a body
  // restarts with each read.
  if (this->Parser.headersComplete())
    this->armTimer(this->Limits.IdleTimeout);
  else if (this->Parser.started() && !this->HeaderTimerArmed) {
    this->HeaderTimerArmed = true;
    this->armTimer(this->Limits.HeaderTimeout);
  }
  if (this->Parser.takeExpectContinue()) {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    const Ref<ServerConnection> Self(this);
    asio::async_write(this->Socket, asio::buffer(Continue),
                      [Self](const asio::error_code &, std::size_t) {
                        // A failed write also fails the pending read.
                      });
  }
  this->read();
}

void ServerConnection::answer(std::string Message, bool KeepOpen) {
  if (this->CurrentState != State::Handling)
    return;
  this->CurrentState = State::Writing;
  this->KeepAfterWrite = KeepOpen;
  this->Outgoing = std::move(Message);
  this->OutgoingShare =
      shareOfReadyMessage(this->Limits.Message.Memory, this->Outgoing.size());
  const Ref<ServerConnection> Self(this);
  asio::async_write(this->Socket, asio::buffer(this->Outgoing),
                    [Self](const asio::error_code &Problem, std::size_t) {
                      std::string().swap(Self->Outgoing);
                      Self->OutgoingShare = nullptr;
                      if (Self->CurrentState != State::Writing)
                        return;
                      if (Problem) {
                        Self->close();
                        return;
                      }
                      // The answer may have been written before the process
                      // began to stop.
                      const bool Closes =
                          Self->CloseWhenIdle && Self->Unparsed.empty();
                      if (!Self->KeepAfterWrite || Closes) {
                        Self->linger();
                        return;
                      }
                      Self->CurrentState = State::Reading;
                      Self->Limits = Self->Hooks.Limits();
                      Self->Parser.limit(Self->Limits.Message);
                      Self->armTimer(Self->Limits.IdleTimeout);
                      if (Self->Unparsed.empty())
                        Self->read();
                      else
                        Self->parse();
                    });
}

void ServerConnection::reject(const HttpMalformed &Fault) {
  this->Timer.cancel();
  logEvent(LogLevel::Info,
           Fault.Status == UnavailableStatus ? "request-rejected"
                                             : "request-malformed",
           {{"status", std::int64_t(Fault.Status)},
            {"detail", std::string(Fault.Reason)}});
  this->CurrentState = State::Handling;
  this->answer(plainAnswer(Fault.Status, Fault.Reason, false, Fault.RetryAfter),
               false);
}

void ServerConnection::armTimer(Duration After) {
  const Ref<ServerConnection> Self(this);
  this->Timer.expires_after(After);
  this->Timer.async_wait([Self](const asio::error_code &Cancelled) {
    if (!Cancelled)
      Self->onTimer();
  });
}

void ServerConnection::onTimer() {
  if (this->CurrentState == State::Lingering) {
    this->close();
    return;
  }
  if (this->CurrentState != State::Reading)
    return;
  if (this->Parser.started())
    this->reject({408, "the request did not arrive in time"});
  else
    this->close();
}

void ServerConnection::linger() {
  this->CurrentState = State::Lingering;
  asio::error_code Ignored;
  // The peer may have closed already; the timer ends the wait either way.
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  this->armTimer(LingerTime);
  this->read();
}

void ServerConnection::closeIfIdle() {
  this->CloseWhenIdle = true;
  if (this->CurrentState == State::Reading && !this->Parser.started() &&
      this->Unparsed.empty())
    this->linger();
}

void ServerConnection::close() {
  if (this->CurrentState == State::Closed)
    return;
  this->CurrentState = State::Closed;
  this->Timer.cancel();
  asio::error_code Ignored;
  // The socket is released whatever the result is.
  this->Socket.close(Ignored);
  this->Hook.unlink();
}

Listener::Listener(asio::io_context &Context, ServerHooks Hooks)
    : Acceptor(Context), AcceptTimer(Context), Hooks(std::move(Hooks)) {}

void Listener::listen(const asio::ip::tcp::endpoint &At) {
  this->Acceptor.open(At.protocol());
  this->Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  const int On = 1;
  // Several I/O threads listen on the same address.
  ::setsockopt(this->Acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &On,
               sizeof(On));
  this->Acceptor.bind(At);
  this->Acceptor.listen();
  this->accept();
}

std::uint16_t Listener::port() const {
  return this->Acceptor.local_endpoint().port();
}

void Listener::accept() {
  this->Acceptor.async_accept([this](const asio::error_code &Problem,
                                     asio::ip::tcp::socket Socket) {
    if (Problem == asio::error::operation_aborted)
      return;
    if (Problem) {
      logEvent(LogLevel::Warning, "accept-failed",
               {{"detail", Problem.message()}});
      this->AcceptTimer.expires_after(AcceptRetryPause);
      this->AcceptTimer.async_wait([this](const asio::error_code &Cancelled) {
        if (!Cancelled)
          this->accept();
      });
      return;
    }
    const auto Accepted =
        makeRef<ServerConnection>(std::move(Socket), this->Hooks);
    this->Connections.push_back(*Accepted);
    if (this->Stopping)
      Accepted->beginStop();
    Accepted->start();
    this->accept();
  });
}

void Listener::beginStop() {
  this->Stopping = true;
  for (ServerConnection &Connection : this->Connections)
    Connection.beginStop();
}

std::vector<Ref<ServerConnection>> Listener::open() {
  std::vector<Ref<ServerConnection>> Result;
  for (ServerConnection &Connection : this->Connections)
    Result.emplace_back(&Connection);
  return Result;
}

void Listener::closeIdle() {
  asio::error_code Ignored;
  // The result does not matter: the process is about to exit.
  this->Acceptor.close(Ignored);
  for (ServerConnection &Connection : this->Connections)
    Connection.closeIfIdle();
}

} // namespace balsamyard
