#include "tests/soak/SoakTarget.h"

#include "balsamyard/src/Core/Overload.h"

#include <functional>

namespace balsamyard::soak {

namespace {

constexpr std::size_t RecordBytes = 16;

std::string fieldOf(const HttpRequest &Request, const char *Name) {
  const std::string *Value = Request.Fields.find(Name);
  return Value == nullptr ? "" : *Value;
}

std::string message(int Status, const std::string &Fields,
                    const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " x\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

std::string partRecords(const std::string &RequestId,
                        const std::string &Service) {
  std::string Result;
  for (int Count = 0; Count < 3; ++Count) {
    std::string Record = std::to_string(
        std::hash<std::string>{}(RequestId + Service + std::to_string(Count)));
    Record.resize(RecordBytes, '.');
    Result += Record;
  }
  return Result;
}

SoakTarget::SoakTarget(asio::io_context &Io, Ledger &Observed,
                       std::string Service, std::string Name)
    : Io(Io), Observed(Observed), Service(std::move(Service)),
      Name(std::move(Name)),
      Server(Io, ServerHooks{[this](ServerConnection &Peer,
                                    const HttpRequest &Request) {
                               this->onRequest(Peer, Request);
                             },
                             [](ServerConnection &) {
                               // Nothing to cancel when a peer disconnects.
                             },
                             [] { return ServerLimits{}; }}) {
  this->Server.listen({asio::ip::make_address("127.0.0.1"), 0});
  this->start();
}

void SoakTarget::start() {
  this->Id = this->Name + "-" + std::to_string(++this->Starts);
  this->State = TargetHealthy{};
  this->LeavingSince.reset();
  this->SaysLeaving = false;
  this->Link = std::make_unique<Proxy>(
      this->Io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                        this->Server.port()));
}

void SoakTarget::crash() { this->Link.reset(); }

std::string SoakTarget::address() const {
  return "127.0.0.1:" + std::to_string(this->Link->address().port());
}

void SoakTarget::answerLater(ServerConnection &Peer, std::string Message) {
  const Duration After =
      std::holds_alternative<TargetSlow>(this->State) ? SlowTime : UsualTime;
  const Ref<ServerConnection> Held(&Peer);
  auto Timer = std::make_shared<asio::steady_timer>(this->Io, After);
  Timer->async_wait([Held, Timer, Text = std::move(Message)](
                        const asio::error_code &) mutable {
    Held->answer(std::move(Text), true);
  });
}

void SoakTarget::onRequest(ServerConnection &Peer, const HttpRequest &Request) {
  const std::string Instance = "X-Balsamyard-Instance-Id: " + this->Id + "\r\n";
  if (Request.Target == "/health") {
    Peer.answer(message(200, Instance, ""), true);
    return;
  }
  if (fieldOf(Request, "X-Balsamyard-Expect-Instance") != this->Id) {
    Peer.answer(message(421, Instance, ""), true);
    return;
  }
  this->LastRequestAt = steadyNow();
  if (std::holds_alternative<TargetFull>(this->State)) {
    Peer.answer(message(503, "X-Balsamyard-Not-Executed: 1\r\n", ""), true);
    return;
  }
  const std::string RequestId = fieldOf(Request, "X-Balsamyard-Attempt-Id");
  this->Observed.ran(RequestId, Request.Target, Request.Body);
  std::string Fields = "X-Balsamyard-Attempt-Id: " + RequestId +
                       "\r\nX-Balsamyard-Server-Stamp: " + this->Service + "/" +
                       RequestId + "\r\n";
  if (this->SaysLeaving)
    Fields += "Server-Leaving: 1\r\n";
  if (const auto *Limited = std::get_if<TargetLimited>(&this->State)) {
    Fields += "Server-Limit: " + std::to_string(Limited->PerSecond) + "\r\n";
    this->LimitedArrivals.push_back(steadyNow());
  }
  std::visit(Overload{[](const TargetHangs &) {
                        // The connection stays open without an answer.
                      },
                      [&](const TargetFails &) {
                        Peer.answer(message(500, Fields, "failed"), true);
                      },
                      [&](const auto &) {
                        this->answerLater(
                            Peer,
                            message(200, Fields,
                                    partRecords(RequestId, this->Service)));
                      }},
             this->State);
}

} // namespace balsamyard::soak
