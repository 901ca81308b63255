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

/// \brief Follows the platform's store and publishes the view that requests
/// read. Everything but isReady() runs on the control thread.
class FleetAgent {
public:
  /// Longest time that a watch waits; each watch that ends is one call.
  static constexpr Duration WatchWait = std::chrono::seconds(30);

  /// Targets change often, most of all when many start; a leaving target
  /// serves for seconds after it says so.
  static constexpr Duration TargetWatchDelay = std::chrono::milliseconds(300);

  /// Changes that arrive together are published once.
  static constexpr Duration PublishDelay = std::chrono::milliseconds(5);

  FleetAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, RcuCell<FleetView> &View,
             std::function<void()> OnPublished);

  void start();

  /// \brief The settings were read again.
  void reload(const NodeSettings &Settings);

  /// \brief A request told what became of it. \sa CrashAgent
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
  /// A node that does not know the orders yet might send requests to targets
  /// that must get none.
  std::set<ObjectKind> Listed;
  std::atomic<bool> Ready{false};
};

} // namespace balsamyard
