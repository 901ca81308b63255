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

/// \brief A request of a caller.
struct CallerRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  bool Idempotent = true;
};

/// \brief A completed request and its answer.
struct Exchange {
  std::string Id;
  CallerRequest Request;
  std::size_t Node = 0;
  TimePoint SentAt{};
  bool Abandoned = false; ///< The caller closed the connection early.
  HttpResponse Answer;    ///< Status 0: the connection ended without an answer.
};

/// \brief Callbacks that provide requests and receive results.
struct CallerHooks {
  std::function<std::size_t()> ChooseNode;
  std::function<asio::ip::tcp::endpoint(std::size_t Node)> AddressOf;
  std::function<CallerRequest()> ChooseRequest;
  std::function<void(const Exchange &)> OnEnd;
};

/// \brief A caller that reuses one connection until the node closes it.
class SoakCaller : public std::enable_shared_from_this<SoakCaller> {
public:
  /// Longer than the timeout of any route, so that only a lost answer exceeds
  /// it.
  static constexpr Duration AnswerTimeout = std::chrono::seconds(3);
  static constexpr Duration ThinkTime = std::chrono::milliseconds(12);
  static constexpr Duration ReconnectPause = std::chrono::milliseconds(60);

  /// One request out of this many is abandoned early.
  static constexpr unsigned AbandonOneIn = 40;
  static constexpr Duration AbandonAfter = std::chrono::milliseconds(15);

  SoakCaller(asio::io_context &Io, Ledger &Observed, CallerHooks Hooks,
             std::string Name, unsigned Seed);

  void start() { this->connect(); }

  /// \brief Stops after the current request.
  void stop() { this->Stopped = true; }

private:
  void connect();
  void send();
  void read();
  void end();
  void scheduleAfter(Duration Time, void (SoakCaller::*Next)());

  asio::io_context &Io;
  Ledger &Observed;
  const CallerHooks Hooks;
  const std::string Name;
  std::minstd_rand Random;
  asio::ip::tcp::socket Socket;
  asio::steady_timer Timer;
  asio::steady_timer Timeout;
  ResponseParser Parser;
  std::array<char, 4096> Buffer{};
  std::string Unread;
  Exchange Current;
  int Count = 0;
  bool Running = false;
  bool Stopped = false;
};

} // namespace balsamyard::soak
