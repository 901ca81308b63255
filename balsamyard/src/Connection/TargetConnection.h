#pragma once

#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <boost/intrusive/list.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace balsamyard {

class TargetConnection;

/// \brief An HTTP request to a target. Without a body it is a GET.
struct TargetMessage {
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

/// \brief How a request to a target ended.
struct TargetExchange {
  Code Result = Code::Ok; ///< Ok if a whole HTTP answer was read.
  int Status = 0;
  std::string Body;
  bool Sent = false; ///< False only if the target cannot have the whole body.
  bool ConnectionBroken = false; ///< By the target or the network.
  Duration Time{};
};

/// \brief Lets other threads end a running exchange.
class TargetCall {
public:
  /// \brief Ends the exchange, which reports Cancelled. Also effective before
  /// the exchange starts.
  void cancel() { this->end(Code::Cancelled); }

  /// \brief Like cancel(), but reports DeadlineExceeded.
  void expire() { this->end(Code::DeadlineExceeded); }

  /// \returns Ok, or why the exchange was ended.
  Code ended() const;

private:
  friend class TargetConnection;
  void end(Code Why);
  bool enter(TargetConnection &Connection);
  void leave();

  mutable std::mutex Mutex;
  Code Why = Code::Ok;
  TargetConnection *Running = nullptr;
};

/// \brief A persistent HTTP connection to a target. Used by one thread at a
/// time; only a TargetCall may end an exchange from another thread.
///
/// \sa TargetClient
class TargetConnection
    : public RefCounted<TargetConnection>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  /// Longest answer of a target that is read, in bytes.
  static constexpr std::size_t MaxAnswerBytes = 1 << 20;

  explicit TargetConnection(const Endpoint &Target);
  ~TargetConnection();

  /// \brief Sends a message and waits for the answer, connecting first if
  /// needed. A message is never sent twice.
  TargetExchange exchange(TargetCall &Call, const TargetMessage &Message,
                          TimePoint Deadline);

  /// \returns whether the connection is open and has no unread bytes, which
  /// would belong to another request.
  bool isIdle() const;

private:
  friend class TargetCall;
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
