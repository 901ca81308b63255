#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace balsamyard::soak {

/// \brief Forwards bytes.
struct LinkHealthy {};
/// \brief Forwards bytes after a delay.
struct LinkDelayed {
  Duration After{};
};
/// \brief Holds back bytes and closes in one or both directions, as a network
/// partition does. They are forwarded when the fault ends, if their connection
/// is still open.
struct LinkPartitioned {
  bool ToServer = true;
  bool ToClient = true;
};
/// \brief Resets new connections.
struct LinkRefused {};

using LinkFault =
    std::variant<LinkHealthy, LinkDelayed, LinkPartitioned, LinkRefused>;

/// \brief A loopback proxy for one server that injects link faults.
class Proxy {
public:
  /// \p Upstream is the address of the server.
  Proxy(asio::io_context &Io, asio::ip::tcp::endpoint Upstream);
  ~Proxy();

  asio::ip::tcp::endpoint address() const;

  /// \brief Sets the fault of open and new connections.
  void setFault(LinkFault Next);

  /// \brief Discards all further data on the connections that are open now. New
  /// connections are not affected.
  void blackholeOpen();

  /// \brief Resets every open connection.
  void resetAll();

private:
  struct Shared;
  class ProxiedConnection;

  void accept();
  std::vector<std::shared_ptr<ProxiedConnection>> openConnections() const;

  std::shared_ptr<Shared> State;
  asio::ip::tcp::acceptor Acceptor;
};

} // namespace balsamyard::soak
