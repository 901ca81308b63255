#pragma once

#include "balsamyard/src/Connection/StoreChannel.h"
#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Process/DepartureTimes.h"
#include "balsamyard/src/Process/FeedCodec.h"
#include "balsamyard/src/Process/NodeSettings.h"
#include "balsamyard/src/Process/ObjectCache.h"
#include "balsamyard/src/Process/ObjectFeed.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Process/StoreProbe.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace balsamyard {

/// \brief Lists and watches the objects of the platform's store that concern
/// all nodes. Runs on the control thread.
///
/// The answer to a watch may be lost while its connection stays open. To the
/// node this looks like a watch that waits, so the readers check the store at
/// regular intervals: one asks for the revision of the store and for all
/// changes up to it, and tells the others how far it has read, which ask the
/// store only for what they lack. A reader that is told nothing checks by
/// itself.
class StoreReader {
public:
  /// Maximum duration of one watch call. Longer watches cost the store fewer
  /// calls.
  static constexpr Duration WatchWait = std::chrono::seconds(30);

  /// Batches the changes of targets, which are frequent when many start.
  /// \sa DepartureTimes::ReadPause
  static constexpr Duration TargetWatchDelay = std::chrono::milliseconds(300);

  /// Time in which the store must answer the calls of a check.
  static constexpr Duration CheckTimeout = std::chrono::milliseconds(800);

  struct Handlers {
    std::function<void(KindUpdate)> OnUpdate;

    /// The store was lost or regained.
    std::function<void()> OnConnection;

    /// A check has shown that everything was read.
    std::function<void(const StoreProgress &)> OnChecked;
  };

  StoreReader(asio::io_context &Context, const NodeSettings &Settings,
              const PlatformAdapter &Adapter, Handlers Events);
  ~StoreReader();

  /// \brief Starts to read. Kinds in \p Known are only watched for changes.
  void start(const ObjectCache &Known);

  /// \brief Ends all calls. No handler of this reader is called afterwards.
  void stop();

  /// \brief Applies reloaded settings: sends later calls to their store,
  /// uses their bounds for the next check, and for watches from the next
  /// start() on.
  void reload(const NodeSettings &Next);

  /// \brief Handles the news that the store is in \p Era. If it is a new one,
  /// all kinds are listed again: a watch from a revision that was given out
  /// again would miss changes.
  void noteEra(std::uint64_t Era);

  /// \brief Reads what another reader has read and this one has not.
  void noteProgress(const StoreProgress &Other);

  /// \returns whether all kinds are being watched.
  bool isConnected() const;

  /// \returns when the store last came back. \sa StoreProbe::returnedAt
  std::optional<TimePoint> storeReturnedAt() const {
    return this->Probe.returnedAt();
  }

private:
  struct Feed {
    Feed(asio::io_context &Context, ObjectKind Kind, const Endpoint &Store,
         const DepartureTimes &Departure);

    const ObjectKind Kind;
    ObjectFeed State;
    StoreChannel Channel;
    asio::steady_timer Timer;
    bool Listed = false;
    bool Waiting = false; ///< For an answer to the probe.
    bool Stopped = false;
  };

  void handle(Feed &From, FeedInput Input);
  void on(Feed &From, const ListObjects &Output);
  void on(Feed &From, const WatchObjects &Output);
  void on(Feed &From, const StartFeedTimer &Output);
  void on(Feed &From, FeedListed &Output);
  void on(Feed &From, FeedChanged &Output);
  void on(Feed &From, const FeedDisconnected &Output);
  void on(Feed &From, const FeedReconnected &Output);

  /// \brief The revisions up to which the kinds have to be read.
  using RequiredRevisions = std::map<ObjectKind, StoreRevision>;

  void scheduleCheck();
  void check();

  /// \brief Asks for the changes of the feeds from index \p Next on that were
  /// not read up to \p Required, then calls \p Done.
  void checkFeeds(const RequiredRevisions &Required, std::size_t Next,
                  const std::function<void()> &Done);
  void onFeedChecked(Feed &Checked, FeedInput Read);
  void onCheckFailed(const Error &Cause);

  /// \brief Reports the progress if everything was read up to \p Current.
  void reportProgress(StoreRevision Current);
  void relist(Feed &Expired);
  void restartSilentFeeds(const Error &Cause);

  /// \returns the revision of the store that \p Listed names, if it can be
  /// read.
  std::optional<StoreRevision> revisionOf(const HttpResponse &Listed) const;
  void scheduleProbe(Duration After);
  void probe();
  void onProbe(const Expected<HttpResponse> &Result);

  asio::io_context &Context;
  Endpoint Store;
  DepartureTimes Departure;
  Duration CheckInterval;
  const PlatformAdapter &Adapter;
  const Handlers Events;
  std::vector<std::unique_ptr<Feed>> Feeds; ///< Empty while not reading.
  std::uint64_t Era = 0;
  StoreProbe Probe;
  StoreChannel ProbeChannel;
  asio::steady_timer ProbeTimer;
  asio::steady_timer CheckTimer;
  bool Checking = false;
  RandomGenerator Random;
};

} // namespace balsamyard
