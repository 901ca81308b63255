#pragma once

#include "balsamyard/src/Connection/ConnectionTable.h"
#include "balsamyard/src/Connection/ServerConnection.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <vector>

namespace balsamyard {

/// \brief Accepts connections for one I/O thread and shuts them down
/// gracefully.
class Listener {
public:
  static constexpr std::size_t DefaultMaxConnections = 1024;

  Listener(asio::io_context &Context, ServerHooks Hooks,
           std::size_t MaxConnections = DefaultMaxConnections);

  /// \brief Listens on \p At; several listeners may share an address.
  void listen(const asio::ip::tcp::endpoint &At);

  /// \returns the port, which the kernel chose if 0 was asked for.
  std::uint16_t port() const;

  /// \brief Closes each connection after its next answer. New connections are
  /// still accepted, because the load balancer needs time to notice.
  void beginStop();

  /// \brief Closes the listening socket and every connection without a
  /// request.
  void closeIdle();

  /// \returns the open connections.
  std::vector<Ref<ServerConnection>> open() { return this->Table.open(); }

  /// \brief Closes connections whose peers take nothing of their answers.
  /// \sa ConnectionTable::endStalled
  void endStalled(TimePoint Now, const MessageMemory *Answers = nullptr) {
    this->Table.endStalled(Now, Answers);
  }

  /// \returns the number of open connections; may be called from any thread.
  std::size_t connections() const { return this->Table.size(); }

  /// \returns how many connections were closed to make room for others; may be
  /// called from any thread.
  std::uint64_t evictions() const { return this->Table.evictions(); }

private:
  void accept();
  void onAccepted(asio::ip::tcp::socket Socket);

  /// Bytes of an answer that the kernel takes before it sends them. Otherwise
  /// it takes megabytes that the peer may never read. Those that are on their
  /// way do not count, so that the network is used in full.
  static constexpr int MaxUnsentBytes = 16 * 1024;

  /// Bytes of requests that the kernel takes while nobody reads them; it
  /// doubles the value.
  static constexpr int ReceiveBufferBytes = 32 * 1024;

  /// Pause after a failed accept. Without it, a process without free
  /// descriptors would retry in a busy loop.
  static constexpr Duration AcceptRetryPause = std::chrono::milliseconds(100);

  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerHooks Hooks;
  ConnectionTable Table;
  bool Stopping = false;
};

} // namespace balsamyard
