#pragma once

#include "balsamyard/src/Connection/HttpLink.h"

#include <functional>
#include <string>

namespace balsamyard {

/// \brief A persistent connection to the platform's store with one call at a
/// time. It is opened on demand.
class StoreChannel {
public:
  using Handler = std::function<void(Expected<HttpResponse>)>;

  /// The store answers within milliseconds; when it is slow, it takes 60 times
  /// as long.
  static constexpr Duration OpenTimeout = std::chrono::seconds(1);
  static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

  /// Response statuses for an object that already exists or has changed, and
  /// for a missing object.
  static constexpr int ConflictStatus = 409;
  static constexpr int NotFoundStatus = 404;

  StoreChannel(asio::io_context &Context, Endpoint Store)
      : Context(Context), Store(std::move(Store)), Timer(Context) {}

  /// \brief Sends a call; \p Done is called once, after \p Timeout at the
  /// latest.
  void call(std::string Message, Duration Timeout, Handler Done);

  /// \brief Ends the running call; its handler is not called.
  void cancel();

  /// \brief Sends later calls to \p Next.
  void setStore(Endpoint Next);

private:
  void send(std::string Message);
  void finish(Expected<HttpResponse> Result);

  asio::io_context &Context;
  Endpoint Store;
  asio::steady_timer Timer;
  Ref<HttpLink> Link;
  Handler Done;
  std::uint64_t CallNumber = 0; ///< Identifies a timer of an earlier call.
};

} // namespace balsamyard
