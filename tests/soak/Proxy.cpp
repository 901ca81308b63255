#include "tests/soak/Proxy.h"

#include "balsamyard/src/Core/Overload.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <optional>
#include <utility>

namespace balsamyard::soak {

using asio::ip::tcp;

struct Proxy::Shared {
  tcp::endpoint Upstream;
  LinkFault Fault;
  std::vector<std::weak_ptr<ProxiedConnection>> Connections;
};

/// \brief A client connection and the corresponding connection to the server.
class Proxy::ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
public:
  ProxiedConnection(asio::io_context &Io, tcp::socket Client,
                    std::shared_ptr<Shared> State)
      : State(std::move(State)), Ends{End(Io, std::move(Client)),
                                      End(Io, tcp::socket(Io))} {}

  void start() {
    auto Self = this->shared_from_this();
    this->Ends[1].Socket.async_connect(this->State->Upstream,
                                       [Self](const asio::error_code &Problem) {
                                         if (Problem) {
                                           Self->reset();
                                           return;
                                         }
                                         Self->read(0);
                                         Self->read(1);
                                       });
  }

  void reset() {
    for (End &Side : this->Ends) {
      asio::error_code Ignored; // The socket may already be closed.
      Side.Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Side.Socket.close(Ignored);
    }
  }

  /// \brief Forwards pending input unless the link is still partitioned.
  void resume(int From) {
    if (!this->Ends[From].Pending || this->isBlocked(From))
      return;
    const ReadResult Next =
        *std::exchange(this->Ends[From].Pending, std::nullopt);
    if (Next.Ended)
      this->closeOther(From);
    else
      this->passOn(From, Next.Length);
  }

  bool Blackholed = false;

private:
  struct ReadResult {
    std::size_t Length = 0;
    bool Ended = false;
  };
  struct End {
    End(asio::io_context &Io, tcp::socket Socket)
        : Socket(std::move(Socket)), Timer(Io) {}
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::array<char, 8192> Buffer{};
    std::optional<ReadResult> Pending; ///< Not forwarded yet.
  };

  /// \returns whether input from an end is held back.
  bool isBlocked(int From) const {
    const auto *Partition = std::get_if<LinkPartitioned>(&this->State->Fault);
    return Partition != nullptr &&
           (From == 0 ? Partition->ToServer : Partition->ToClient);
  }

  void read(int From) {
    auto Self = this->shared_from_this();
    End &Source = this->Ends[From];
    Source.Socket.async_read_some(
        asio::buffer(Source.Buffer),
        [Self, From](const asio::error_code &Problem, std::size_t Length) {
          if (Self->Blackholed) {
            if (!Problem)
              Self->read(From);
            return;
          }
          Self->Ends[From].Pending = ReadResult{Length, bool(Problem)};
          Self->resume(From);
        });
  }

  void passOn(int From, std::size_t Length) {
    const auto *Delay = std::get_if<LinkDelayed>(&this->State->Fault);
    if (Delay == nullptr) {
      this->write(From, Length);
      return;
    }
    auto Self = this->shared_from_this();
    End &Source = this->Ends[From];
    Source.Timer.expires_after(Delay->After);
    Source.Timer.async_wait([Self, From, Length](const asio::error_code &) {
      Self->write(From, Length);
    });
  }

  void write(int From, std::size_t Length) {
    auto Self = this->shared_from_this();
    asio::async_write(
        this->Ends[1 - From].Socket,
        asio::buffer(this->Ends[From].Buffer.data(), Length),
        [Self, From](const asio::error_code &Problem, std::size_t) {
          if (Problem)
            Self->reset();
          else
            Self->read(From);
        });
  }

  void closeOther(int From) {
    asio::error_code Ignored; // The peer may already have closed it.
    this->Ends[1 - From].Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    this->Ends[From].Socket.close(Ignored);
  }

  const std::shared_ptr<Shared> State;
  std::array<End, 2> Ends;
};

Proxy::Proxy(asio::io_context &Io, tcp::endpoint Upstream)
    : State(std::make_shared<Shared>()),
      Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
  this->State->Upstream = std::move(Upstream);
  this->accept();
}

Proxy::~Proxy() { this->resetAll(); }

tcp::endpoint Proxy::address() const { return this->Acceptor.local_endpoint(); }

std::vector<std::shared_ptr<Proxy::ProxiedConnection>>
Proxy::openConnections() const {
  std::vector<std::shared_ptr<ProxiedConnection>> Result;
  for (const std::weak_ptr<ProxiedConnection> &Weak : this->State->Connections)
    if (std::shared_ptr<ProxiedConnection> Open = Weak.lock())
      Result.push_back(std::move(Open));
  return Result;
}

void Proxy::setFault(LinkFault Next) {
  this->State->Fault = Next;
  for (const std::shared_ptr<ProxiedConnection> &Open : this->openConnections())
    for (const int From : {0, 1})
      Open->resume(From);
}

void Proxy::blackholeOpen() {
  for (const std::shared_ptr<ProxiedConnection> &Open : this->openConnections())
    Open->Blackholed = true;
}

void Proxy::resetAll() {
  for (const std::shared_ptr<ProxiedConnection> &Open : this->openConnections())
    Open->reset();
  this->State->Connections.clear();
}

void Proxy::accept() {
  this->Acceptor.async_accept(
      [this](const asio::error_code &Problem, tcp::socket Client) {
        if (Problem)
          return; // The proxy is shutting down.
        if (std::holds_alternative<LinkRefused>(this->State->Fault)) {
          asio::error_code Ignored; // The client may have disconnected.
          Client.set_option(asio::socket_base::linger(true, 0), Ignored);
        } else {
          auto Next = std::make_shared<ProxiedConnection>(
              static_cast<asio::io_context &>(
                  this->Acceptor.get_executor().context()),
              std::move(Client), this->State);
          std::erase_if(this->State->Connections,
                        [](const auto &Weak) { return Weak.expired(); });
          this->State->Connections.push_back(Next);
          Next->start();
        }
        this->accept();
      });
}

} // namespace balsamyard::soak
