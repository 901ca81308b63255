#pragma once

#include "balsamyard/src/Connection/PeerClient.h"
#include "balsamyard/src/Process/FeedCodec.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace balsamyard {

/// \brief The connection to the node that this one follows. Runs on the control
/// thread.
class FeedSubscription {
public:
  /// A node is followed for at most this time; then it is asked again.
  static constexpr Duration MaxTime = std::chrono::hours(1);

  /// A report that is older is worth nothing.
  static constexpr Duration ReportTimeout = std::chrono::seconds(1);

  struct Handlers {
    std::function<void(KindUpdate)> OnUpdate;
    std::function<void(const FeedSourceState &)> OnState;
    std::function<void(const TargetReport &)> OnSlow;

    /// The connection has ended or could not be opened. Not called after
    /// close().
    std::function<void()> OnEnd;
  };

  FeedSubscription(asio::io_context &Context, Handlers Events);
  ~FeedSubscription();

  /// \brief Follows the node at \p To instead of the former one.
  void open(const Endpoint &To, const FeedRequest &Request);

  void close();

  /// \brief Sends a report of slow targets to the node at \p To. It is lost if
  /// that node cannot be reached.
  void report(const Endpoint &To, const TargetReport &Report);

  /// \brief Tells the node at \p To how far this node has read the store. The
  /// message is lost if that node cannot be reached.
  void tell(const Endpoint &To, const StoreProgress &Progress);

private:
  /// One followed node. Its handlers run on the thread of the client and are
  /// posted to the control thread, where the state is used.
  struct Session : RefCounted<Session> {
    bool Open = true;
    UpdateAssembler Parts;
    Ref<PeerCall> Call;
  };

  PeerClient &client();
  void send(const Endpoint &To, const char *Path, std::string Message);
  void onMessage(Session &From, const std::string &Message);
  void onEnd(Session &From);

  asio::io_context &Context;
  const Handlers Events;
  Ref<Session> Current;
  std::unique_ptr<PeerClient> Client; ///< Created when first needed.
};

} // namespace balsamyard
