#include "tests/soak/SoakCaller.h"

#include <asio/write.hpp>

namespace balsamyard::soak {

SoakCaller::SoakCaller(asio::io_context &Io, Ledger &Observed,
                       CallerHooks Hooks, std::string Name, unsigned Seed)
    : Io(Io), Observed(Observed), Hooks(std::move(Hooks)),
      Name(std::move(Name)), Random(Seed), Socket(Io), Timer(Io), Timeout(Io) {}

void SoakCaller::scheduleAfter(Duration Time, void (SoakCaller::*Next)()) {
  this->Timer.expires_after(Time);
  this->Timer.async_wait(
      [Self = this->shared_from_this(), Next](const asio::error_code &Problem) {
        if (!Problem)
          (Self.get()->*Next)();
      });
}

void SoakCaller::connect() {
  if (this->Stopped)
    return;
  this->Unread.clear();
  this->Current.Node = this->Hooks.ChooseNode();
  this->Socket = asio::ip::tcp::socket(this->Io);
  this->Socket.async_connect(
      this->Hooks.AddressOf(this->Current.Node),
      [Self = this->shared_from_this()](const asio::error_code &Problem) {
        if (Problem)
          Self->scheduleAfter(ReconnectPause, &SoakCaller::connect);
        else
          Self->send();
      });
}

void SoakCaller::send() {
  if (this->Stopped) {
    this->Socket.close();
    return;
  }
  this->Current.Id = this->Name + "-" + std::to_string(++this->Count);
  this->Current.Request = this->Hooks.ChooseRequest();
  this->Current.SentAt = steadyNow();
  this->Current.Abandoned = false;
  this->Current.Answer = {};
  this->Running = true;
  const CallerRequest &Request = this->Current.Request;
  this->Observed.sent(this->Current.Id,
                      {Request.Path, Request.Body, Request.Idempotent,
                       this->Current.Node, this->Current.SentAt, 0,
                       std::nullopt});
  auto Text = std::make_shared<std::string>(
      Request.Method + " " + Request.Path +
      " HTTP/1.1\r\nHost: soak.example\r\nX-Balsamyard-Attempt-Id: " +
      this->Current.Id + "\r\nX-Balsamyard-Request-Deadline: 2000\r\n" +
      "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n\r\n" +
      Request.Body);
  this->Parser.begin(true);
  const bool Abandons = this->Random() % AbandonOneIn == 0;
  this->Timeout.expires_after(Abandons ? AbandonAfter : AnswerTimeout);
  this->Timeout.async_wait([Self = this->shared_from_this(),
                            Abandons](const asio::error_code &Cancelled) {
    if (Cancelled || !Self->Running)
      return;
    Self->Current.Abandoned = Abandons;
    Self->end();
  });
  asio::async_write(this->Socket, asio::buffer(*Text),
                    [Self = this->shared_from_this(),
                     Text](const asio::error_code &, std::size_t) {
                      // The following read reports a failed connection.
                      Self->read();
                    });
}

void SoakCaller::read() {
  this->Socket.async_read_some(
      asio::buffer(this->Buffer),
      [Self = this->shared_from_this()](const asio::error_code &Problem,
                                        std::size_t Length) {
        if (!Self->Running)
          return;
        Self->Unread.append(Self->Buffer.data(), Length);
        const HttpStep Step = Self->Parser.read(Self->Unread);
        Self->Unread.erase(0, Step.Consumed);
        if (std::holds_alternative<HttpComplete>(Step.Progress)) {
          Self->Current.Answer = Self->Parser.take();
          Self->end();
        } else if (Problem) {
          Self->end();
        } else {
          Self->read();
        }
      });
}

void SoakCaller::end() {
  this->Running = false;
  this->Timeout.cancel();
  if (this->Current.Answer.Status != 0)
    this->Observed.answered(this->Current.Id, this->Current.Answer.Status);
  if (this->Current.Answer.Status != 0 && !this->Unread.empty())
    this->Observed.violation("extra bytes after an answer: " +
                             this->Current.Id);
  this->Hooks.OnEnd(this->Current);
  if (this->Current.Answer.Status != 0 && this->Current.Answer.KeepAlive) {
    this->scheduleAfter(ThinkTime, &SoakCaller::send);
    return;
  }
  asio::error_code Ignored; // The node may already have closed it.
  this->Socket.close(Ignored);
  this->scheduleAfter(ReconnectPause, &SoakCaller::connect);
}

} // namespace balsamyard::soak
