#include "tests/crowd/Crowd.h"

#include "balsamyard/src/Core/Overload.h"

#include <array>
#include <asio/write.hpp>
#include <netinet/tcp.h>
#include <utility>

namespace balsamyard::test {

namespace {

/// Buffer of a client that does not read all: its part of the bytes that are
/// on their way is small, as on a network with small windows.
constexpr int SmallReceiveBuffer = 4096;

constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr Duration MaxArrivalTime = std::chrono::seconds(60);

/// \returns whether the server still keeps the connection open.
bool isEstablished(asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  return ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                      &Size) == 0 &&
         Info.tcpi_state == TCP_ESTABLISHED;
}

} // namespace

struct Crowd::Client {
  explicit Client(asio::io_context &Io)
      : Socket(Io), Timer(Io), SendTimer(Io) {}

  void arrive(std::atomic<std::size_t> &Count) {
    if (!std::exchange(this->HasArrived, true))
      ++Count;
  }

  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer SendTimer;
  std::string Outgoing;
  std::array<char, 4096> Buffer{};
  std::uint64_t Call = 0; ///< Tells the handlers of earlier calls.
  TimePoint WaitingSince{};
  bool Connected = false;
  bool Writing = false;
  bool HasArrived = false;
};

Crowd::Crowd(const asio::ip::tcp::endpoint &Server, std::size_t Clients,
             ClientPlan Plan)
    : Server(Server), Plan(std::move(Plan)), CheckTimer(this->Io) {
  for (std::size_t Count = 0; Count < Clients; ++Count) {
    this->Clients.push_back(std::make_shared<Client>(this->Io));
    this->call(this->Clients.back());
  }
  this->checkConnections();
  this->Thread = std::thread([this] { this->Io.run(); });
}

Crowd::~Crowd() {
  this->Io.stop();
  this->Thread.join();
}

bool Crowd::waitUntilArrived() {
  const TimePoint GiveUp = steadyNow() + MaxArrivalTime;
  while (this->Arrived < this->Clients.size() && steadyNow() < GiveUp)
    std::this_thread::sleep_for(CheckInterval);
  return this->Arrived == this->Clients.size();
}

void Crowd::call(const std::shared_ptr<Client> &Caller) {
  const std::uint64_t Call = ++Caller->Call;
  Caller->Connected = false;
  Caller->Writing = false;
  asio::error_code Ignored;
  Caller->Socket.close(Ignored);
  Caller->Socket.open(this->Server.protocol());
  if (!std::holds_alternative<ReadsAll>(this->Plan.Reads))
    Caller->Socket.set_option(
        asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
  Caller->Socket.async_connect(
      this->Server, [this, Caller, Call](const asio::error_code &Problem) {
        if (Call != Caller->Call)
          return;
        if (Problem) {
          this->callAgain(Caller);
          return;
        }
        Caller->Connected = true;
        Caller->WaitingSince = steadyNow();
        this->read(Caller);
        this->send(Caller);
      });
}

void Crowd::send(const std::shared_ptr<Client> &Caller) {
  const std::uint64_t Call = Caller->Call;
  Caller->Outgoing = this->Plan.Bytes;
  const std::string_view Id = "{id}";
  for (std::size_t At = 0;
       (At = Caller->Outgoing.find(Id, At)) != std::string::npos;)
    Caller->Outgoing.replace(At, Id.size(),
                             "c" + std::to_string(++this->NextId));
  if (Caller->Outgoing.empty()) {
    Caller->arrive(this->Arrived);
    return;
  }
  Caller->Writing = true;
  asio::async_write(
      Caller->Socket, asio::buffer(Caller->Outgoing),
      [this, Caller, Call](const asio::error_code &Problem, std::size_t) {
        if (Call != Caller->Call)
          return;
        Caller->Writing = false;
        if (Problem) {
          this->callAgain(Caller);
          return;
        }
        Caller->WaitingSince = steadyNow();
        this->onSent(Caller);
      });
}

void Crowd::onSent(const std::shared_ptr<Client> &Caller) {
  const std::uint64_t Call = Caller->Call;
  std::visit(
      Overload{[&](const SendsOnce &) {
                 if (!this->Plan.AwaitsAnswer)
                   Caller->arrive(this->Arrived);
               },
               [&](const SendsWithoutEnd &Again) {
                 Caller->SendTimer.expires_after(Again.Pause);
                 Caller->SendTimer.async_wait(
                     [this, Caller, Call](const asio::error_code &Cancelled) {
                       if (!Cancelled && Call == Caller->Call)
                         this->send(Caller);
                     });
               }},
      this->Plan.Sends);
}

void Crowd::read(const std::shared_ptr<Client> &Caller) {
  if (std::holds_alternative<ReadsNothing>(this->Plan.Reads))
    return;
  const auto *Slowly = std::get_if<ReadsSlowly>(&this->Plan.Reads);
  const std::size_t Length =
      Slowly != nullptr ? std::min(Slowly->Bytes, Caller->Buffer.size())
                        : Caller->Buffer.size();
  const std::uint64_t Call = Caller->Call;
  Caller->Socket.async_read_some(
      asio::buffer(Caller->Buffer.data(), Length),
      [this, Caller, Call, Slowly](const asio::error_code &Problem,
                                   std::size_t) {
        if (Call != Caller->Call)
          return;
        if (Problem) {
          this->callAgain(Caller);
          return;
        }
        Caller->arrive(this->Arrived);
        if (Slowly == nullptr) {
          this->read(Caller);
          return;
        }
        Caller->Timer.expires_after(Slowly->Pause);
        Caller->Timer.async_wait(
            [this, Caller, Call](const asio::error_code &Cancelled) {
              if (!Cancelled && Call == Caller->Call)
                this->read(Caller);
            });
      });
}

void Crowd::callAgain(const std::shared_ptr<Client> &Caller) {
  Caller->arrive(this->Arrived);
  const std::uint64_t Call = ++Caller->Call;
  Caller->Connected = false;
  asio::error_code Ignored;
  Caller->Socket.close(Ignored);
  Caller->Timer.expires_after(CallAgainPause);
  Caller->Timer.async_wait(
      [this, Caller, Call](const asio::error_code &Cancelled) {
        if (!Cancelled && Call == Caller->Call)
          this->call(Caller);
      });
}

void Crowd::checkConnections() {
  asio::error_code Ignored;
  // A client that does not read is not told that its connection has ended.
  for (const std::shared_ptr<Client> &Caller : this->Clients) {
    if (!Caller->Connected)
      continue;
    if (!isEstablished(Caller->Socket))
      this->callAgain(Caller);
    else if (Caller->Socket.available(Ignored) > 0 ||
             (Caller->Writing &&
              steadyNow() - Caller->WaitingSince > BlockedTime))
      Caller->arrive(this->Arrived);
  }
  this->CheckTimer.expires_after(CheckInterval);
  this->CheckTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->checkConnections();
  });
}

} // namespace balsamyard::test
