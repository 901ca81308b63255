#pragma once

#include "balsamyard/src/Connection/ServerConnection.h"
#include "tests/soak/Ledger.h"
#include "tests/soak/Proxy.h"

#include <memory>
#include <string>
#include <variant>

namespace balsamyard::soak {

/// \brief Answers in the usual time.
struct TargetSound {};
/// \brief Works several times as long.
struct TargetSlow {};
/// \brief Runs requests and never answers.
struct TargetHangs {};
/// \brief Runs requests and fails.
struct TargetFails {};
/// \brief Rejects requests.
struct TargetFull {};

using TargetState =
    std::variant<TargetSound, TargetSlow, TargetHangs, TargetFails, TargetFull>;

/// \returns the records of a part of an answer, which tell request and service.
std::string partRecords(const std::string &RequestId,
                        const std::string &Service);

/// \brief A target behind a proxy. A crash ends all its connections; it starts
/// again under another id.
class SoakTarget {
public:
  SoakTarget(asio::io_context &Io, Ledger &Seen, std::string Service,
             std::string Name);

  /// \brief Ends all connections; nothing listens until start().
  void crash();

  /// \brief Starts under a new id.
  void start();

  bool isRunning() const { return this->Link != nullptr; }
  void setState(TargetState Next) { this->State = Next; }
  Proxy &link() { return *this->Link; }

  const std::string &id() const { return this->Id; }
  const std::string &service() const { return this->Service; }
  std::string address() const;

  /// When the store accepted that the target leaves.
  std::optional<TimePoint> LeavingSince;

  /// When a request reached it last.
  std::optional<TimePoint> LastRequestAt;

private:
  void onRequest(ServerConnection &Peer, const HttpRequest &Request);
  void answerLater(ServerConnection &Peer, std::string Message);

  static constexpr Duration UsualTime = std::chrono::milliseconds(5);
  static constexpr Duration SlowTime = std::chrono::milliseconds(300);

  asio::io_context &Io;
  Ledger &Seen;
  const std::string Service;
  const std::string Name;
  std::string Id;
  int Starts = 0;
  TargetState State;
  Listener Server;
  std::unique_ptr<Proxy> Link; ///< Null after a crash.
};

} // namespace balsamyard::soak
