#include "balsamyard/src/Connection/StoreChannel.h"

#include <utility>

namespace balsamyard {

namespace {

/// A list of objects takes about 1 MB at most.
constexpr HttpLimits StoreLimits{64UL * 1024, 8UL * 1024 * 1024};

} // namespace

void StoreChannel::call(std::string Message, Duration Timeout, Handler Next) {
  this->Done = std::move(Next);
  const std::uint64_t Number = ++this->CallNumber;
  this->Timer.expires_after(Timeout);
  this->Timer.async_wait([this, Number](const asio::error_code &Cancelled) {
    if (!Cancelled && Number == this->CallNumber && this->Done)
      this->finish(fail(Code::PlatformUnavailable,
                        "no response from the store before the timeout"));
  });
  if (this->Link && this->Link->isReady()) {
    this->send(std::move(Message));
    return;
  }
  if (this->Link)
    this->Link->close();
  this->Link = makeRef<HttpLink>(this->Context, StoreLimits);
  this->Link->open(this->Store, OpenTimeout,
                   [this, Text = std::move(Message)](Expected<void> Result) {
                     if (Result)
                       this->send(Text);
                     else
                       this->finish(tl::unexpected(Result.error()));
                   });
}

void StoreChannel::send(std::string Message) {
  this->Link->send(std::move(Message), true,
                   [this](Expected<HttpResponse> Result) {
                     this->finish(std::move(Result));
                   });
}

void StoreChannel::finish(Expected<HttpResponse> Result) {
  this->Timer.cancel();
  if (!Result && this->Link)
    std::exchange(this->Link, nullptr)->close();
  const Handler Current = std::exchange(this->Done, nullptr);
  if (Current)
    Current(std::move(Result));
}

void StoreChannel::cancel() {
  this->Timer.cancel();
  this->Done = nullptr;
  if (this->Link)
    std::exchange(this->Link, nullptr)->close();
}

void StoreChannel::setStore(Endpoint Next) { this->Store = std::move(Next); }

} // namespace balsamyard
