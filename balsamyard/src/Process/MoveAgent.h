#pragma once

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Version/ServiceMove.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>

namespace balsamyard {

/// \brief Executes moves of services to other versions: passes the request
/// counts of all nodes to the ServiceMove state machines, shares the counts of
/// this node through the store, and writes move reports. Runs on the control
/// thread.
class MoveAgent {
public:
  /// How often the counts are evaluated while a move is in progress.
  static constexpr Duration TickInterval = std::chrono::milliseconds(250);

  /// Maximum delay before counts with new bad answers are shared. Short,
  /// because a bad version has to be rolled back within seconds.
  static constexpr Duration BadCountsDelay = std::chrono::milliseconds(400);

  /// Delay before counts with only good answers are shared. It grows with the
  /// number of nodes, so that their combined writes stay far below the write
  /// rate of the store.
  static constexpr Duration GoodCountsDelay = std::chrono::seconds(3);
  static constexpr Duration GoodCountsDelayPerNode =
      std::chrono::milliseconds(10);

  /// How often the counts of the other nodes are read. The interval grows with
  /// the rank: nodes of high rank only take over when those of low rank fail.
  static constexpr Duration ReadInterval = std::chrono::milliseconds(800);
  static constexpr Duration ReadIntervalPerRank =
      std::chrono::milliseconds(750);

  struct Handlers {
    std::function<void()> OnChanged; ///< The view of the fleet has changed.

    /// \returns whether this node reads the store. Only such nodes read the
    /// counts of the others; a node that follows one learns of each step.
    std::function<bool()> ReadsStore;

    /// \returns the position of this node in the order in which nodes act.
    std::function<std::uint32_t()> Rank;
  };

  MoveAgent(asio::io_context &Context, const NodeSettings &Settings,
            const PlatformAdapter &Adapter, Discovery &Fleet, Handlers Events);

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Handles an order or report that was added or changed.
  void updateOrder(const MoveOrderUpdated &Seen);

  /// \brief Handles the removal of an order.
  void removeOrder(const ServiceName &Service);

private:
  struct Entry {
    Entry(ServiceMove Decisions, Ref<MoveTraffic> Traffic)
        : Decisions(std::move(Decisions)), Traffic(std::move(Traffic)) {}

    ServiceMove Decisions;
    Ref<MoveTraffic> Traffic;
    MoveTally SharedTally; ///< Counts of this node that were last shared.
    TimePoint SharedAt{};
    TimePoint ReadAt{};
    std::optional<double> PublishedShare; ///< Share that requests use.
    bool CountsStored = false; ///< The counts of this node are in the store.
    bool Removed = false;      ///< The order was removed.
  };
  void tick();
  void advance(const ServiceName &Service, Entry &Move);
  void apply(const ServiceName &Service, Entry &Move,
             const ServiceMoveEvent &Event);
  void publishShare(const ServiceName &Service, Entry &Move);
  void shareCounts(const ServiceName &Service, Entry &Move);
  void readCounts(const ServiceName &Service, const std::string &After);
  void onCounts(const ServiceName &Service, const FeedPage &Page);
  void removeCounts(const ServiceName &Service, Entry &Move);
  void write(const ServiceName &Service, const WriteMoveReport &Effect);
  std::string countsName(const ServiceName &Service) const;

  const NodeName Self;
  double BadVersionShare;
  const PlatformAdapter &Adapter;
  Discovery &Fleet;
  const Handlers Events;
  const std::uint64_t Incarnation;
  StoreCallQueue Calls;
  asio::steady_timer Timer;
  std::map<ServiceName, Entry> Moves;
  bool Ticking = false;
};

} // namespace balsamyard
