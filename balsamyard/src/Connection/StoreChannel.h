#pragma once

#include "balsamyard/src/Connection/HttpLink.h"

#include <functional>
#include <string>

namespace balsamyard {

/// \brief One connection to the platform's store with one call at a time. It is
/// opened when it is needed and kept.
class StoreChannel {
public:
  using Handler = std::function<void(Expected<HttpResponse>)>;

  /// The store answers in milliseconds; when it is slow, 60 times as long.
  static constexpr Duration OpenTimeout = std::chrono::seconds(1);
  static constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

  /// Its answers if an object exists already or has changed, and if there is
  /// none.
  static constexpr int ConflictStatus = 409;
  static constexpr int NotFoundStatus = 404;

  StoreChannel(asio::io_context &Context, Endpoint Store)
      : Context(Context), Store(std::move(Store)), Timer(Context) {}

  /// \brief Sends a call; \p Done is called once, after \p Timeout at the
  /// latest.
  void call(std::string Message, Duration Timeout, Handler Done);

  /// \brief Later calls go to \p Next.
  void setStore(Endpoint Next);

private:
  void send(std::string Message);
  void finish(Expected<HttpResponse> Result);

  asio::io_context &Context;
  Endpoint Store;
  asio::steady_timer Timer;
  Ref<HttpLink> Link;
  Handler Done;
  std::uint64_t CallNumber = 0; ///< Tells a late timer from the current one.
};

} // namespace balsamyard
