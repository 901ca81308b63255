#include "balsamyard/src/Connection/ServerConnection.h"

#include "balsamyard/src/Connection/ConnectionTable.h"
#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <asio/write.hpp>
#include <utility>

namespace balsamyard {

ServerConnection::ServerConnection(asio::ip::tcp::socket Accepted,
                                   const ServerHooks &Hooks,
                                   ConnectionTable *Table)
    : Socket(std::move(Accepted)), Timer(this->Socket.get_executor()),
      Hooks(Hooks), Table(Table) {
  if (this->Table != nullptr)
    this->Table->add(*this);
}

ServerConnection::~ServerConnection() { this->leaveTable(); }

void ServerConnection::leaveTable() {
  if (ConnectionTable *Left = std::exchange(this->Table, nullptr))
    Left->remove(*this);
}

void ServerConnection::noteActivity() {
  if (this->Table != nullptr)
    this->Table->touch(*this);
}

void ServerConnection::start() {
  this->Limits = this->Hooks.Limits();
  // A peer that pauses its reading closes its window, for which the kernel ends
  // the connection as for one that is lost.
  tuneSocket(this->Socket, this->Limits.IdleTimeout);
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
  this->readOn();
}

void ServerConnection::readOn() {
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
  this->BodyTimerArmed = false;
  this->Timer.cancel();
  this->CurrentState = State::Handling;
  this->noteActivity();
  HttpRequest Request = this->Parser.take();
  this->PeerKeepsOpen = Request.KeepAlive;
  this->readOn();
  const Ref<ServerConnection> Self(this);
  this->Hooks.OnRequest(*this, std::move(Request));
}

void ServerConnection::onIncomplete() {
  // The header section has one time limit in total; that of a body restarts
  // with each part of it.
  if (this->Parser.headersComplete())
    this->armBodyTimer();
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

void ServerConnection::armBodyTimer() {
  const std::size_t Received = this->Parser.bodyBytes();
  if (this->BodyTimerArmed && Received < this->TimedBodyBytes + MinBodyPart)
    return;
  this->BodyTimerArmed = true;
  this->TimedBodyBytes = Received;
  this->armTimer(this->Limits.IdleTimeout);
}

void ServerConnection::answer(EncodedMessage Message, bool KeepOpen) {
  if (this->CurrentState != State::Handling)
    return;
  this->CurrentState = State::Writing;
  this->KeepAfterWrite = KeepOpen;
  this->Outgoing = std::move(Message);
  if (!this->Outgoing.Share)
    this->Outgoing.Share =
        shareOfReadyMessage(this->Limits.Answers, this->Outgoing.size());
  if (this->Table != nullptr)
    this->Table->beginWriting(*this);
  this->noteProgress();
  const std::array<asio::const_buffer, 2> Parts = {
      asio::buffer(this->Outgoing.Head), asio::buffer(this->Outgoing.Body)};
  const Ref<ServerConnection> Self(this);
  asio::async_write(
      this->Socket, Parts,
      [Self](const asio::error_code &Problem, std::size_t Written) {
        if (Written > 0)
          Self->noteProgress();
        return asio::transfer_all()(Problem, Written);
      },
      [Self](const asio::error_code &Problem, std::size_t) {
        Self->onWritten(Problem);
      });
}

void ServerConnection::onWritten(const asio::error_code &Problem) {
  this->Outgoing = {};
  if (this->CurrentState != State::Writing)
    return;
  if (this->Table != nullptr)
    this->Table->endWriting(*this);
  if (Problem) {
    this->close();
    return;
  }
  // The answer may have been written before the process began to stop.
  const bool Closes = this->CloseWhenIdle && this->Unparsed.empty();
  if (!this->KeepAfterWrite || Closes) {
    this->linger();
    return;
  }
  this->CurrentState = State::Reading;
  this->Limits = this->Hooks.Limits();
  this->Parser.limit(this->Limits.Message);
  this->armTimer(this->Limits.IdleTimeout);
  if (this->Unparsed.empty())
    this->read();
  else
    this->parse();
}

void ServerConnection::noteProgress() {
  this->ProgressAt = steadyNow();
  this->noteActivity();
}

void ServerConnection::reject(const HttpMalformed &Fault) {
  this->Timer.cancel();
  logEvent(LogLevel::Info,
           Fault.Status == UnavailableStatus ? "request-rejected"
                                             : "request-malformed",
           {{"status", std::int64_t(Fault.Status)},
            {"detail", std::string(Fault.Reason)}});
  this->Parser.discard();
  std::string().swap(this->Unparsed);
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
    // The kernel goes on to send what the peer has not taken yet, but not for
    // long if it takes nothing.
    tuneSocket(this->Socket);
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
  this->leaveTable();
}

void ServerConnection::evict() {
  // An answer that was written may still be on its way, so the kernel delivers
  // it. One that the peer has not taken for so long is dropped.
  if (this->CurrentState == State::Writing) {
    asio::error_code Ignored;
    this->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    // The bytes are freed when the write ends, which it does at once. Others
    // need not be evicted for them.
    this->Outgoing.Share = nullptr;
  }
  this->close();
}

} // namespace balsamyard
