#pragma once

#include "balsamyard/src/Connection/PeerServer.h"
#include "balsamyard/src/Process/FeedCodec.h"
#include "balsamyard/src/Process/ObjectCache.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace balsamyard {

/// \brief Passes the objects that this node reads from the store on to the
/// nodes that follow it. Runs on the control thread.
class FeedRelay {
public:
  /// \brief Path of the request that starts to follow a node.
  static constexpr const char *Path = "/v1/feed";

  /// \brief Path of reports of slow targets.
  static constexpr const char *SlowPath = "/v1/slow";

  /// \brief Path of the progress of other readers.
  static constexpr const char *ProgressPath = "/v1/progress";

  /// Interval of the sign of life for followers.
  static constexpr Duration StateInterval = std::chrono::milliseconds(700);

  /// \brief Handle what other nodes tell this one.
  struct Handlers {
    std::function<void(const TargetReport &)> OnReport;
    std::function<void(const StoreProgress &)> OnProgress;
  };

  /// \p Objects outlives the relay.
  FeedRelay(asio::io_context &Context, const ObjectCache &Objects,
            Handlers Events);

  /// \brief Accepts followers at \p At.
  Expected<void>
  listen(const Endpoint &At,
         std::size_t MaxConnections = PeerServer::DefaultMaxConnections);

  /// \returns the address with the port that was chosen; listen() must have
  /// succeeded.
  Endpoint local() const { return this->Server->local(); }

  bool isListening() const { return this->Server != nullptr; }

  /// \brief Tells all followers whether this node reads the store, and when the
  /// store last came back after an outage.
  void setState(bool Connected, std::optional<TimePoint> StoreReturnedAt);

  /// \brief Sends what has changed in the cache to all followers.
  void publish();

  /// \brief Sends a report to all followers.
  void sendReport(const TargetReport &Report);

  /// \brief Ends all connections, so that the followers turn to another node.
  void stop();

  std::size_t followers() const { return this->Followers.size(); }

private:
  struct Follower : RefCounted<Follower> {
    NodeName Node;
    Ref<PeerStream> Stream;
    std::map<ObjectKind, StoreRevision> Sent; ///< What it knows.
  };

  void accept(const std::string &RequestPath, const std::string &Message,
              const Ref<PeerStream> &Stream);
  void addFollower(FeedRequest Request, const Ref<PeerStream> &Stream);
  void sendChanges(Follower &To);
  void remove(const Follower &Gone);
  std::string encodedState() const;
  void sendState();
  void sendStates();

  /// \returns the messages for a follower that knows the kind up to \p Since.
  /// Most followers know the same, so the last messages of each kind are kept.
  const std::vector<std::string> &messages(ObjectKind Kind,
                                           std::optional<StoreRevision> Since);

  struct Encoded {
    std::optional<StoreRevision> Since;
    StoreRevision AsOf{};
    std::vector<std::string> Messages;
  };

  asio::io_context &Context;
  const ObjectCache &Objects;
  const Handlers Events;
  asio::steady_timer Timer;
  bool Connected = false;
  std::optional<TimePoint> StoreReturnedAt;
  std::vector<Ref<Follower>> Followers;
  std::map<ObjectKind, Encoded> LastEncoded;
  std::unique_ptr<PeerServer> Server;
};

} // namespace balsamyard
