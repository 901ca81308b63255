#pragma once

#include "balsamyard/src/Connection/StoreChannel.h"

#include <deque>

namespace balsamyard {

/// \brief Calls to the store that wait for each other, in their order.
class StoreCallQueue {
public:
  /// QueuedCall calls; when the store is away, what comes on top is refused, so
  /// that neither memory nor the first seconds of its return suffer.
  static constexpr std::size_t MaxQueued = 256;

  StoreCallQueue(asio::io_context &Context, Endpoint Store)
      : Channel(Context, std::move(Store)) {}

  /// \brief Sends a call after all earlier ones have ended. \p Done is called
  /// once.
  void call(std::string Message, StoreChannel::Handler Done);

  /// \brief Later calls go to \p Next.
  void setStore(Endpoint Next) { this->Channel.setStore(std::move(Next)); }

private:
  struct QueuedCall {
    std::string Message;
    StoreChannel::Handler Done;
  };

  void sendFirst();

  StoreChannel Channel;
  std::deque<QueuedCall> Calls; ///< The first one is running.
};

/// \returns whether the store has done what the call asked for.
bool hasSuccessStatus(const Expected<HttpResponse> &Result);

/// \returns what the store answered, for a log line.
std::string describeResult(const Expected<HttpResponse> &Result);

} // namespace balsamyard
