#pragma once

#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Process/Settings.h"
#include "balsamyard/src/Version/RcuCell.h"
#include "balsamyard/src/Version/RoutingView.h"
#include "balsamyard/src/Version/SharePlan.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace balsamyard {

/// \brief Lanes and gates that this process may use now.
struct OwnedShares : RefCounted<OwnedShares> {
  std::set<LaneKey> Lanes;
  std::set<std::size_t> Gates;

  /// The newest share table. Lanes that are listed under this node but may not
  /// be used now have no owner here.
  ShareTable Shares;
  GateTable Table; ///< Tells since when the gates are owned.
};

/// \brief Connects a ShareController to the process. All are called on the
/// thread of the keeper.
struct ShareHandlers {
  /// \brief The routing view: catalogs, members, newest tables.
  std::function<Ref<const RoutingView>()> View;

  /// \brief Returns once the lanes are no longer used and their connections are
  /// closed.
  std::function<void(const std::vector<LaneKey> &)> StopLanes;

  /// \brief Returns once the gates refuse writes and their running writes have
  /// ended or expired.
  std::function<void(const std::vector<std::size_t> &)> StopGates;

  /// \brief Called after each change of what may be used.
  std::function<void(Ref<const OwnedShares>)> Changed;
};

/// \brief Keeps the lanes and write gates of one holder process at the
/// platform.
///
/// \code
/// ShareController Keeper(Own, Platform, {View, StopLanes, StopGates,
/// Changed}); Keeper.start(); Agent.onChange([&](auto) { Keeper.wake(); });
/// ...
/// Keeper.giveAwayAll(std::chrono::seconds(12));
/// Keeper.stop();
/// \endcode
/// \sa ShareLedger
class ShareController {
public:
  ShareController(const Settings &Own, PlatformClient &Platform,
                  ShareHandlers Handlers);
  ~ShareController();

  void start();

  /// \brief Looks at the routing view again soon.
  void wake();

  /// \returns what this process may use now. May be read on the request path.
  const RcuCell<OwnedShares> &owned() const;

  /// \brief Gives all lanes and gates to other nodes.
  /// \returns whether that was confirmed within \p Limit.
  bool giveAwayAll(Duration Limit);

  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
