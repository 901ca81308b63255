#include "balsamyard/src/Process/FeedRelay.h"

#include "balsamyard/src/Core/Log.h"

#include <algorithm>
#include <asio/post.hpp>

namespace balsamyard {

namespace {

void logRejected(const Error &Cause) {
  logEvent(LogLevel::Warning, "feed-request-rejected",
           {{"code", Cause.Value}, {"detail", Cause.Detail}});
}

} // namespace

FeedRelay::FeedRelay(asio::io_context &Context, const ObjectCache &Objects,
                     Handlers Events)
    : Context(Context), Objects(Objects), Events(std::move(Events)),
      Timer(Context) {}

Expected<void> FeedRelay::listen(const Endpoint &At,
                                 std::size_t MaxConnections) {
  constexpr std::size_t Threads = 1;
  auto Listening = PeerServer::listen(
      At, Threads,
      [this](std::string RequestPath, std::string Message,
             Ref<PeerStream> Stream) {
        asio::post(this->Context,
                   [this, RequestPath = std::move(RequestPath),
                    Message = std::move(Message), Stream = std::move(Stream)] {
                     this->accept(RequestPath, Message, Stream);
                   });
      },
      MaxConnections);
  if (!Listening)
    return tl::unexpected(Listening.error());
  this->Server = std::move(*Listening);
  this->sendStates();
  return {};
}

void FeedRelay::accept(const std::string &RequestPath,
                       const std::string &Message,
                       const Ref<PeerStream> &Stream) {
  // A stream that is neither kept nor finished is reset.
  if (RequestPath == SlowPath) {
    const Expected<TargetReport> Report = decodeTargetReport(Message);
    if (!Report) {
      logRejected(Report.error());
      return;
    }
    Stream->finish();
    this->Events.OnReport(*Report);
    return;
  }
  if (RequestPath == ProgressPath) {
    const Expected<StoreProgress> Progress = decodeStoreProgress(Message);
    if (!Progress) {
      logRejected(Progress.error());
      return;
    }
    Stream->finish();
    this->Events.OnProgress(*Progress);
    return;
  }
  Expected<FeedRequest> Request =
      RequestPath == Path
          ? decodeFeedRequest(Message)
          : Expected<FeedRequest>(
                fail(Code::UnknownPath, "no such path: " + RequestPath));
  if (Request)
    this->addFollower(std::move(*Request), Stream);
  else
    logRejected(Request.error());
}

void FeedRelay::addFollower(FeedRequest Request,
                            const Ref<PeerStream> &Stream) {
  auto Joined = makeRef<Follower>();
  Joined->Node = std::move(Request.Node);
  Joined->Stream = Stream;
  Joined->Sent = std::move(Request.Known);
  this->Followers.push_back(Joined);
  Stream->onCancel([this, Joined] {
    asio::post(this->Context, [this, Joined] { this->remove(*Joined); });
  });
  this->sendChanges(*Joined);
  Stream->send(this->encodedState());
}

void FeedRelay::sendReport(const TargetReport &Report) {
  const std::string Message = encodeTargetReport(Report);
  for (const Ref<Follower> &Item : this->Followers)
    Item->Stream->send(Message);
}

void FeedRelay::remove(const Follower &Gone) {
  std::erase_if(this->Followers, [&Gone](const Ref<Follower> &Item) {
    return Item.get() == &Gone;
  });
}

const std::vector<std::string> &
FeedRelay::messages(ObjectKind Kind, std::optional<StoreRevision> Since) {
  Encoded &Last = this->LastEncoded[Kind];
  const StoreRevision AsOf = *this->Objects.asOf(Kind);
  if (Last.Messages.empty() || Last.Since != Since || Last.AsOf != AsOf)
    Last = {Since, AsOf, encodeKindUpdate(this->Objects.since(Kind, Since))};
  return Last.Messages;
}

void FeedRelay::sendChanges(Follower &To) {
  for (const ObjectKind Kind : RelayedKinds) {
    const std::optional<StoreRevision> AsOf = this->Objects.asOf(Kind);
    const auto Sent = To.Sent.find(Kind);
    const std::optional<StoreRevision> Since =
        Sent == To.Sent.end() ? std::nullopt : std::optional(Sent->second);
    // A follower that knows more has to wait until this node has caught up.
    if (!AsOf || (Since && *Since >= *AsOf))
      continue;
    for (const std::string &Message : this->messages(Kind, Since))
      To.Stream->send(Message);
    To.Sent[Kind] = *AsOf;
  }
}

void FeedRelay::publish() {
  for (const Ref<Follower> &Item : this->Followers)
    this->sendChanges(*Item);
}

std::string FeedRelay::encodedState() const {
  FeedSourceState State;
  State.Connected = this->Connected;
  if (this->StoreReturnedAt)
    State.SinceStoreReturn = steadyNow() - *this->StoreReturnedAt;
  return encodeFeedState(State);
}

void FeedRelay::setState(bool NowConnected, std::optional<TimePoint> Since) {
  const bool Changed = NowConnected != this->Connected;
  this->Connected = NowConnected;
  this->StoreReturnedAt = Since;
  if (Changed)
    this->sendState();
}

void FeedRelay::sendState() {
  if (this->Followers.empty())
    return;
  const std::string Message = this->encodedState();
  for (const Ref<Follower> &Item : this->Followers)
    Item->Stream->send(Message);
}

void FeedRelay::sendStates() {
  this->sendState();
  this->Timer.expires_after(StateInterval);
  this->Timer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->sendStates();
  });
}

void FeedRelay::stop() {
  this->Timer.cancel();
  for (const Ref<Follower> &Item : this->Followers)
    Item->Stream->finish();
  this->Followers.clear();
  if (this->Server)
    this->Server->drain();
}

} // namespace balsamyard
