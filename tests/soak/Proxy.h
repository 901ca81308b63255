#pragma once

#include "balsamyard/src/Core/Time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace balsamyard::soak {

/// \brief Bytes pass.
struct LinkPasses {};
/// \brief Bytes pass after a time.
struct LinkDelays {
  Duration After{};
};
/// \brief Bytes and closes are held up, in one direction or both, as by a
/// partition. They pass when the link does, if their connection still lives.
struct LinkSilent {
  bool ToServer = true;
  bool ToClient = true;
};
/// \brief New connections are reset.
struct LinkRefuses {};

using LinkFault = std::variant<LinkPasses, LinkDelays, LinkSilent, LinkRefuses>;

/// \brief A loopback proxy in front of one server, whose links fail on demand.
class Proxy {
public:
  /// \p Upstream is where connections are passed on to.
  Proxy(asio::io_context &Io, asio::ip::tcp::endpoint Upstream);
  ~Proxy();

  asio::ip::tcp::endpoint address() const;

  /// \brief Applies to open and new connections.
  void setFault(LinkFault Next);

  /// \brief What comes on connections that are open now is swallowed for good;
  /// new ones work.
  void swallowOpen();

  /// \brief Resets every open connection.
  void resetAll();

private:
  struct Shared;
  class Pair;

  void accept();
  std::vector<std::shared_ptr<Pair>> openPairs() const;

  std::shared_ptr<Shared> State;
  asio::ip::tcp::acceptor Acceptor;
};

} // namespace balsamyard::soak
