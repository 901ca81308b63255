#pragma once

#include "balsamyard/src/Process/CrashAgent.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/FeedRelay.h"
#include "balsamyard/src/Process/FeedSource.h"
#include "balsamyard/src/Process/FeedSubscription.h"
#include "balsamyard/src/Process/MoveAgent.h"
#include "balsamyard/src/Process/NodeRegistry.h"
#include "balsamyard/src/Process/ObjectCache.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Process/StoreReader.h"
#include "balsamyard/src/Process/TargetReports.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <optional>

namespace balsamyard {

/// \brief Follows the state of the platform's store, directly or through
/// another node, and publishes the FleetView that requests read. All members
/// except the status functions run on the control thread.
class FleetAgent {
public:
  /// Batches changes that arrive together into one published view.
  static constexpr Duration PublishDelay = std::chrono::milliseconds(5);

  /// After the store was restored from a copy, operators have written again
  /// what the copy lacks within this time.
  static constexpr Duration RewriteTime = std::chrono::seconds(5);

  FleetAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, RcuCell<FleetView> &View,
             std::function<void()> OnPublished);

  void start();

  /// \brief Sends the followers to other nodes.
  void beginStop() { this->Relay.stop(); }

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Handles the crash or success of a request. \sa CrashAgent
  void report(const RequestCrashEvent &Event) { this->Crashes.report(Event); }

  /// \returns whether requests can be served. Thread-safe.
  bool isReady() const { return this->Ready.load(std::memory_order_relaxed); }

  /// \returns whether this node reads the store itself. Thread-safe.
  bool readsStore() const {
    return this->ReadingStore.load(std::memory_order_relaxed);
  }

  /// \returns the number of nodes that follow this one.
  std::size_t followers() const { return this->Relay.followers(); }

private:
  /// Reports that wait to be sent.
  struct ReportQueues {
    TargetReports Slow;
    TargetReports Unlimited;
    std::map<std::string, CrashRecord> Crashes; ///< By name of the record.

    void add(const TargetReport &Report, TimePoint Now);
    TargetReport take(bool Forwarded, TimePoint Now);
  };

  /// \brief Applies an update that \p Source has sent: "store", or the node
  /// that is followed.
  void onUpdate(KindUpdate Update, const std::string &Source);

  /// \brief Drops changes of targets that say nothing new, so that they reach
  /// no follower.
  void dropHeartbeats(KindUpdate &Update) const;

  /// \brief Handles the news that the store was restored from a copy.
  void onStoreRestored(std::uint64_t NextEra);

  /// \brief Applies the removals that were put off and are due.
  void applyLostObjects();
  void onPeerState(const FeedSourceState &State);
  void onStoreConnection();
  void setPeers(std::vector<PeerNode> Nodes);

  /// \brief Applies what requests have found out about targets.
  void scanTargets();
  void exchangeReports();

  /// \brief Tells the other readers how far this one has read the store.
  void tell(const StoreProgress &Progress);
  void applyReport(const TargetReport &Report);
  void onReport(const TargetReport &Report);
  void tell(const CrashRecord &Record);
  void handle(const FeedSourceEvent &Event);
  void on(const ReadStore &Effect);
  void on(const LeaveStore &Effect);
  void on(const FollowPeer &Effect);
  void on(const LeavePeer &Effect);
  void on(const WakeFeedSource &Effect);

  /// \brief Applies a change. \p IsRestored: it shows how a restored store
  /// differs from what was known.
  void apply(ObjectKind Kind, const ObjectChange &Change, bool IsRestored);
  void applyRemoval(ObjectKind Kind, const std::string &Name);
  void applyConfiguration(const StoredObject &Object);
  void applyTarget(const StoredObject &Object, bool IsRestored);
  void applyMove(const StoredObject &Object);
  bool knowsAllKinds() const;
  std::uint32_t rank() const;
  void scheduleUpdate();
  void update();

  const NodeSettings Settings;
  const PlatformAdapter &Adapter;
  RcuCell<FleetView> &View;
  const std::function<void()> OnPublished;
  Discovery Fleet;
  ObjectCache Objects;
  FeedSource Source;
  StoreReader Reader;
  FeedSubscription Subscription;
  FeedRelay Relay;
  std::uint64_t Era = 0; ///< Of the store.

  /// Orders that a restored store lacks, and when they are taken for removed.
  std::map<std::pair<ObjectKind, std::string>, TimePoint> LostOrders;
  ReportQueues OwnReports;       ///< Of this node and its followers.
  ReportQueues ForwardedReports; ///< Of other readers of the failure domain.
  TimePoint ReportsScannedAt{};
  MoveAgent Moves;
  CrashAgent Crashes;
  NodeRegistry Registry;
  asio::steady_timer SourceTimer;
  asio::steady_timer ScanTimer;
  asio::steady_timer UpdateTimer;
  TimePoint UpdateAt = TimePoint::max();
  std::atomic<bool> Ready{false};
  std::atomic<bool> ReadingStore{false};
};

} // namespace balsamyard
