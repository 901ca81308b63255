#include "balsamyard/src/Process/FeedSubscription.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Core/Overload.h"
#include "balsamyard/src/Process/FeedRelay.h"

#include <asio/post.hpp>
#include <utility>

namespace balsamyard {

FeedSubscription::FeedSubscription(asio::io_context &Context, Handlers Events)
    : Context(Context), Events(std::move(Events)) {}

FeedSubscription::~FeedSubscription() { this->close(); }

PeerClient &FeedSubscription::client() {
  constexpr std::size_t Threads = 1;
  if (!this->Client)
    this->Client = std::make_unique<PeerClient>(Threads);
  return *this->Client;
}

void FeedSubscription::report(const Endpoint &To, const TargetReport &Report) {
  this->send(To, FeedRelay::SlowPath, encodeTargetReport(Report));
}

void FeedSubscription::tell(const Endpoint &To, const StoreProgress &Progress) {
  this->send(To, FeedRelay::ProgressPath, encodeStoreProgress(Progress));
}

void FeedSubscription::send(const Endpoint &To, const char *Path,
                            std::string Message) {
  this->client().call(
      To, Path, std::move(Message), ReportTimeout, [](const std::string &) {},
      [](Code, bool) {
        // A lost report is not sent again: the next one is as good.
      });
}

void FeedSubscription::open(const Endpoint &To, const FeedRequest &Request) {
  this->close();
  const auto Started = makeRef<Session>();
  this->Current = Started;
  Started->Call = this->client().call(
      To, FeedRelay::Path, encodeFeedRequest(Request), MaxTime,
      [this, Started](std::string Message) {
        asio::post(this->Context,
                   [this, Started, Message = std::move(Message)] {
                     this->onMessage(*Started, Message);
                   });
      },
      [this, Started](Code, bool) {
        asio::post(this->Context, [this, Started] { this->onEnd(*Started); });
      });
}

void FeedSubscription::close() {
  if (!this->Current)
    return;
  const Ref<Session> Closed = std::exchange(this->Current, nullptr);
  Closed->Open = false;
  if (const Ref<PeerCall> Call = std::exchange(Closed->Call, nullptr))
    Call->cancel();
}

void FeedSubscription::onMessage(Session &From, const std::string &Message) {
  if (!From.Open)
    return;
  Expected<FeedMessage> Read = decodeFeedMessage(Message);
  if (!Read) {
    logEvent(LogLevel::Error, "feed-message-unreadable",
             {{"code", Read.error().Value}, {"detail", Read.error().Detail}});
    this->close();
    this->Events.OnEnd();
    return;
  }
  std::visit(
      Overload{
          [this](const FeedSourceState &State) { this->Events.OnState(State); },
          [this](const TargetReport &Report) { this->Events.OnSlow(Report); },
          [this, &From](KindUpdatePart &Part) {
            if (std::optional<KindUpdate> Update =
                    From.Parts.add(std::move(Part)))
              this->Events.OnUpdate(std::move(*Update));
          }},
      *Read);
}

void FeedSubscription::onEnd(Session &From) {
  if (!From.Open)
    return;
  this->close();
  this->Events.OnEnd();
}

} // namespace balsamyard
