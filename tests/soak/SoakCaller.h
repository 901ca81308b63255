#pragma once

#include "balsamyard/src/Connection/HttpParser.h"
#include "tests/soak/Ledger.h"
#include "tests/soak/NodeProcess.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>

namespace balsamyard::soak {

/// \brief What a caller asks for.
struct CallerRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  bool MayRepeat = true;
};

/// \brief How an exchange ended, for the checks of the world.
struct Exchange {
  std::string Id;
  CallerRequest Request;
  std::size_t Node = 0;
  TimePoint SentAt{};
  bool Abandoned = false; ///< The caller gave up.
  HttpResponse Answer;    ///< Status 0: the connection ended without one.
};

/// \brief What a caller needs of the world around it.
struct CallerHooks {
  std::function<std::size_t()> ChooseNode;
  std::function<asio::ip::tcp::endpoint(std::size_t Node)> AddressOf;
  std::function<CallerRequest()> Choose;
  std::function<void(const Exchange &)> OnEnd;
};

/// \brief A caller with one connection, which it uses until the node closes it.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
public:
  /// Longer than any route's time-out, so that only a lost answer reaches it.
  static constexpr Duration Patience = std::chrono::seconds(3);
  static constexpr Duration ThinkTime = std::chrono::milliseconds(12);
  static constexpr Duration ReconnectPause = std::chrono::milliseconds(60);

  /// One request in so many is given up early.
  static constexpr unsigned GiveUpEach = 40;
  static constexpr Duration GiveUpAfter = std::chrono::milliseconds(15);

  SoakCaller(asio::io_context &Io, Ledger &Seen, CallerHooks Hooks,
             std::string Name, unsigned Seed);

  void start() { this->connect(); }

  /// \brief Ends after the running exchange.
  void stop() { this->Stopped = true; }

private:
  void connect();
  void send();
  void read();
  void end();
  void after(Duration Time, void (SoakCaller::*Next)());

  asio::io_context &Io;
  Ledger &Seen;
  const CallerHooks Hooks;
  const std::string Name;
  std::minstd_rand Random;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer Limit;
  ResponseParser Parser;
  std::array<char, 4096> Buffer{};
  std::string Unread;
  Exchange Current;
  int Count = 0;
  bool Running = false;
  bool Stopped = false;
};

} // namespace balsamyard::soak
