#pragma once

#include "balsamyard/src/Connection/StoreCalls.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Version/ServiceMove.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace balsamyard {

/// \brief Carries out the moves of services to other versions: gives the counts
/// of requests to their decisions, tells other nodes its own, and writes
/// reports. Runs on the control thread.
class MoveAgent {
public:
  /// Evidence is judged this often while a move is under way.
  static constexpr Duration TickInterval = std::chrono::milliseconds(250);

  /// Bad answers are told to the other nodes after this time at the latest; a
  /// bad version has to be taken back within seconds.
  static constexpr Duration BadCountsDelay = std::chrono::milliseconds(400);

  /// Good answers can wait. Each node of the fleet adds to the pause, so that
  /// all of them together stay far below the rate of writes of the store.
  static constexpr Duration GoodCountsDelay = std::chrono::seconds(3);
  static constexpr Duration GoodCountsDelayPerNode =
      std::chrono::milliseconds(10);

  /// The counts of the others are read this often by the first nodes, and more
  /// seldom with each rank: they take over when the first ones are gone.
  static constexpr Duration ReadInterval = std::chrono::milliseconds(800);
  static constexpr Duration ReadIntervalPerRank =
      std::chrono::milliseconds(750);

  /// \p OnChanged is called when \p Fleet has changed.
  MoveAgent(asio::io_context &Context, const NodeSettings &Settings,
            const PlatformAdapter &Adapter, Discovery &Fleet,
            std::function<void()> OnChanged);

  /// \brief The settings were read again.
  void reload(const NodeSettings &Settings);

  /// \brief An order or its report was read.
  void updateOrder(const MoveSeen &Seen);

  /// \brief The order no longer exists.
  void removeOrder(const ServiceName &Service);

  /// \brief Drops every order that is not in \p Ordered.
  void retainOrders(const std::set<ServiceName> &Ordered);

private:
  struct Entry {
    Entry(ServiceMove Decisions, Ref<MoveTraffic> Traffic)
        : Decisions(std::move(Decisions)), Traffic(std::move(Traffic)) {}

    ServiceMove Decisions;
    Ref<MoveTraffic> Traffic;
    MoveTally SharedTally; ///< What the other nodes know of the own counts.
    TimePoint SharedAt{};
    TimePoint ReadAt{};
    std::optional<double> PublishedShare; ///< Share that requests know.
    bool CountsStored = false; ///< The counts of this node are in the store.
    bool Removed = false;      ///< The order is gone.
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
  const std::function<void()> OnChanged;
  const std::uint64_t Incarnation;
  StoreCalls Calls;
  asio::steady_timer Timer;
  std::map<ServiceName, Entry> Moves;
  bool Ticking = false;
};

} // namespace balsamyard
