#pragma once

#include "balsamyard/src/Connection/Listener.h"
#include "tests/soak/Ledger.h"
#include "tests/soak/Proxy.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard::soak {

/// \brief Answers with the usual latency.
struct TargetHealthy {};
/// \brief Answers with a much higher latency.
struct TargetSlow {};
/// \brief Runs requests and never answers.
struct TargetHangs {};
/// \brief Runs requests and answers with status 500.
struct TargetFails {};
/// \brief Rejects requests as overloaded, without running them.
struct TargetFull {};

/// \brief Answers as usual and names a limit on its requests.
struct TargetLimited {
  double PerSecond = 0;
};

using TargetState = std::variant<TargetHealthy, TargetSlow, TargetHangs,
                                 TargetFails, TargetFull, TargetLimited>;

/// \returns the records that a service answers with, which depend on the
/// request and the service.
std::string partRecords(const std::string &RequestId,
                        const std::string &Service);

/// \brief A target behind a proxy. A crash closes all its connections, and it
/// restarts under a new id.
class SoakTarget {
public:
  SoakTarget(asio::io_context &Io, Ledger &Observed, std::string Service,
             std::string Name);

  /// \brief Closes all connections and stops listening until start().
  void crash();

  /// \brief Starts under a new id.
  void start();

  bool isRunning() const { return this->Link != nullptr; }
  void setState(TargetState Next) { this->State = Next; }
  Proxy &link() { return *this->Link; }

  const std::string &id() const { return this->Id; }
  const std::string &service() const { return this->Service; }
  std::string address() const;

  /// Says in its answers that it leaves.
  bool SaysLeaving = false;

  /// When the store accepted the announcement that the target leaves.
  std::optional<TimePoint> LeavingSince;

  /// When requests arrived while the target named a limit.
  std::vector<TimePoint> LimitedArrivals;

  /// When the target last received a request.
  std::optional<TimePoint> LastRequestAt;

private:
  void onRequest(ServerConnection &Peer, const HttpRequest &Request);
  void answerLater(ServerConnection &Peer, std::string Message);

  static constexpr Duration UsualTime = std::chrono::milliseconds(5);
  static constexpr Duration SlowTime = std::chrono::milliseconds(300);

  asio::io_context &Io;
  Ledger &Observed;
  const std::string Service;
  const std::string Name;
  std::string Id;
  int Starts = 0;
  TargetState State;
  Listener Server;
  std::unique_ptr<Proxy> Link; ///< Null after a crash.
};

} // namespace balsamyard::soak
