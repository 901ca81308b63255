#include "balsamyard/src/Connection/Listener.h"

#include "balsamyard/src/Core/Log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace balsamyard {

Listener::Listener(asio::io_context &Context, ServerHooks Hooks,
                   std::size_t MaxConnections)
    : Acceptor(Context), AcceptTimer(Context), Hooks(std::move(Hooks)),
      Table(MaxConnections) {}

void Listener::listen(const asio::ip::tcp::endpoint &At) {
  this->Acceptor.open(At.protocol());
  this->Acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  const int On = 1;
  // Several I/O threads listen on the same address.
  ::setsockopt(this->Acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &On,
               sizeof(On));
  // Accepted sockets inherit both limits. The receive buffer has to be set
  // before a connection is established, as it determines the scale of the
  // window.
  this->Acceptor.set_option(
      asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  const int Unsent = MaxUnsentBytes;
  ::setsockopt(this->Acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &Unsent, sizeof(Unsent));
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
    this->onAccepted(std::move(Socket));
    this->accept();
  });
}

void Listener::onAccepted(asio::ip::tcp::socket Socket) {
  // Without room, the socket closes here.
  if (!this->Table.makeRoom())
    return;
  const auto Accepted =
      makeRef<ServerConnection>(std::move(Socket), this->Hooks, &this->Table);
  if (this->Stopping)
    Accepted->beginStop();
  Accepted->start();
}

void Listener::beginStop() {
  this->Stopping = true;
  for (const Ref<ServerConnection> &Connection : this->open())
    Connection->beginStop();
}

void Listener::closeIdle() {
  asio::error_code Ignored;
  // The result does not matter: the process is about to exit.
  this->Acceptor.close(Ignored);
  for (const Ref<ServerConnection> &Connection : this->open())
    Connection->closeIfIdle();
}

} // namespace balsamyard
