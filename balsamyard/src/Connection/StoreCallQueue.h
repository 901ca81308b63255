#pragma once

#include "balsamyard/src/Connection/StoreChannel.h"

#include <deque>

namespace balsamyard {

/// \brief FIFO queue of store calls with one call in flight.
class StoreCallQueue {
public:
  /// Maximum queue length. While the store is unavailable, further calls are
  /// rejected, which bounds the memory and the load on the store when it
  /// returns.
  static constexpr std::size_t MaxQueued = 256;

  StoreCallQueue(asio::io_context &Context, Endpoint Store)
      : Channel(Context, std::move(Store)) {}

  /// \brief Sends a call after all earlier ones have ended. \p Done is called
  /// once.
  void call(std::string Message, StoreChannel::Handler Done);

  /// \brief Sends later calls to \p Next.
  void setStore(Endpoint Next) { this->Channel.setStore(std::move(Next)); }

private:
  struct QueuedCall {
    std::string Message;
    StoreChannel::Handler Done;
  };

  void sendFirst();

  StoreChannel Channel;
  std::deque<QueuedCall> Calls; ///< The front is in flight.
};

/// \returns whether \p Result is a response with a 2xx status.
bool hasSuccessStatus(const Expected<HttpResponse> &Result);

/// \returns the status or error in \p Result as text for a log line.
std::string describeResult(const Expected<HttpResponse> &Result);

} // namespace balsamyard
