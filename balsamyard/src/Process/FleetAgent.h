#pragma once

#include "balsamyard/src/Connection/StoreChannel.h"
#include "balsamyard/src/Process/CrashAgent.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/MoveAgent.h"
#include "balsamyard/src/Process/NodeRegistry.h"
#include "balsamyard/src/Process/ObjectFeed.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <set>

namespace balsamyard {

/// \brief Watches the platform's store and publishes the FleetView that
/// requests read. All members except isReady() run on the control thread.
class FleetAgent {
public:
  /// Maximum duration of one watch call. Longer watches cost the store fewer
  /// calls.
  static constexpr Duration WatchWait = std::chrono::seconds(30);

  /// Batches the changes of targets, which are frequent when many start. The
  /// delay is harmless: a leaving target keeps serving for seconds.
  static constexpr Duration TargetWatchDelay = std::chrono::milliseconds(300);

  /// Batches changes that arrive together into one published view.
  static constexpr Duration PublishDelay = std::chrono::milliseconds(5);

  FleetAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, RcuCell<FleetView> &View,
             std::function<void()> OnPublished);

  void start();

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Handles the crash or success of a request. \sa CrashAgent
  void report(const RequestCrashEvent &Event) { this->Crashes.report(Event); }

  /// \returns whether requests can be served. Thread-safe.
  bool isReady() const { return this->Ready.load(std::memory_order_relaxed); }

private:
  struct Feed {
    Feed(asio::io_context &Context, ObjectKind Kind, Duration WatchDelay,
         const Endpoint &Store)
        : Kind(Kind), State(WatchDelay), Channel(Context, Store),
          Timer(Context) {}

    const ObjectKind Kind;
    ObjectFeed State;
    StoreChannel Channel;
    asio::steady_timer Timer;
  };

  void handle(Feed &From, FeedInput Input);
  void on(Feed &From, const ListObjects &Output);
  void on(Feed &From, const WatchObjects &Output);
  void on(Feed &From, const StartFeedTimer &Output);
  void on(Feed &From, FeedListed &Output);
  void on(Feed &From, FeedChanged &Output);
  void on(Feed &From, const FeedDisconnected &Output);
  void on(Feed &From, const FeedReconnected &Output);

  void apply(ObjectKind Kind, const ObjectChange &Change);
  void applyConfiguration(const StoredObject &Object);
  void applyTarget(const StoredObject &Object);
  void applyMove(const StoredObject &Object);
  void scheduleUpdate();
  void update();

  const NodeSettings Settings;
  const PlatformAdapter &Adapter;
  RcuCell<FleetView> &View;
  const std::function<void()> OnPublished;
  Discovery Fleet;
  std::array<std::unique_ptr<Feed>, 4> Feeds;
  MoveAgent Moves;
  CrashAgent Crashes;
  NodeRegistry Registry;
  asio::steady_timer UpdateTimer;
  TimePoint UpdateAt = TimePoint::max();
  /// Kinds of objects that were listed at least once. The node is not ready
  /// before all are, as it could send requests to evacuated targets.
  std::set<ObjectKind> Listed;
  std::atomic<bool> Ready{false};
};

} // namespace balsamyard
