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

/// \brief Lanes and gates that this process owns and may use.
struct OwnedShares : RefCounted<OwnedShares> {
  std::set<LaneKey> Lanes;
  std::set<std::size_t> Gates;

  /// The newest share table. Lanes that are assigned to this node but may not
  /// be used yet have no owner here.
  ShareTable Shares;
  GateTable Table; ///< Owners of the gates and the start of their ownership.
};

/// \brief Callbacks of a ShareController. All are called on its thread.
struct ShareHandlers {
  /// \brief Returns the routing view: catalogs, members, newest tables.
  std::function<Ref<const RoutingView>()> View;

  /// \brief Returns once the lanes are no longer used and their connections are
  /// closed.
  std::function<void(const std::vector<LaneKey> &)> StopLanes;

  /// \brief Returns once the gates refuse writes and their running writes have
  /// ended or expired.
  std::function<void(const std::vector<std::size_t> &)> StopGates;

  /// \brief Called after each change of the lanes and gates that may be used.
  std::function<void(Ref<const OwnedShares>)> Changed;
};

/// \brief Acquires and gives away the lanes and write gates of a holder
/// process by updates of the tables at the platform.
///
/// \code
/// ShareHandlers Handlers{View, StopLanes, StopGates, Changed};
/// ShareController Controller(Own, Platform, Handlers);
/// Controller.start();
/// Agent.onChange([&](auto) { Controller.wake(); });
/// ...
/// Controller.giveAwayAll(std::chrono::seconds(12));
/// Controller.stop();
/// \endcode
/// \sa ShareLedger
class ShareController {
public:
  ShareController(const Settings &Own, PlatformClient &Platform,
                  ShareHandlers Handlers);
  ~ShareController();

  void start();

  /// \brief Triggers a reconciliation with the routing view.
  void wake();

  /// \returns the lanes and gates that may be used. May be read on the request
  /// path.
  const RcuCell<OwnedShares> &owned() const;

  /// \brief Gives all lanes and gates to other nodes.
  /// \returns whether the platform confirmed that within \p Limit.
  bool giveAwayAll(Duration Limit);

  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
