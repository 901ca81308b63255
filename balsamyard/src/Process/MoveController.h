#pragma once

#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Process/Settings.h"
#include "balsamyard/src/Version/VersionMove.h"

#include <functional>
#include <memory>
#include <vector>

namespace balsamyard {

/// \brief Connects a MoveController to the process. All are called on the
/// thread of the keeper.
struct MoveHandlers {
  std::function<Ref<const RoutingView>()> View;

  /// \brief The own cumulative counts. \sa EvidenceCollector
  std::function<std::vector<Evidence>()> Counts;

  /// \brief Sends counts to the holder process at an address, without waiting.
  std::function<void(const Endpoint &, const Evidence &)> Send;

  /// \brief Sends a notice to all processes.
  std::function<void(const VersionTakenBack &)> Announce;
};

/// \brief Judges and moves versions in a holder process.
///
/// Of the nodes alive, the first in the order of a service holds its lease,
/// gets the counts of all holders and steps forward. Every holder also judges
/// by its own counts alone and takes a bad version back by itself, whether the
/// platform answers or not. \sa VersionMove
class MoveController {
public:
  MoveController(const Settings &Own, PlatformClient &Platform,
                 MoveHandlers Handlers);
  ~MoveController();

  void start();

  /// \brief Takes in the counts of another holder. Thread-safe.
  void receive(const Evidence &Counts);

  /// \brief Takes in a notice of another process. Thread-safe.
  void receive(const VersionTakenBack &News);

  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
