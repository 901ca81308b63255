#pragma once

#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Process/Settings.h"
#include "balsamyard/src/Version/VersionMove.h"

#include <functional>
#include <memory>
#include <vector>

namespace balsamyard {

/// \brief Callbacks of a MoveController. All are called on its thread.
struct MoveHandlers {
  std::function<Ref<const RoutingView>()> View;

  /// \brief Returns the cumulative counts of this process.
  /// \sa EvidenceCollector
  std::function<std::vector<Evidence>()> Counts;

  /// \brief Sends counts to the holder process at an address, without waiting.
  std::function<void(const Endpoint &, const Evidence &)> Send;

  /// \brief Sends a notice to all processes.
  std::function<void(const VersionRolledBack &)> Announce;
};

/// \brief Rolls out new versions in a holder process and rolls bad ones back.
///
/// Per service, the first of the alive nodes in the order of rankFor() is the
/// leader: it holds the lease, receives the counts of all holders and advances
/// the rollout. In addition, every holder evaluates its own counts alone and
/// rolls a bad version back by itself, even if the platform is unavailable.
/// \sa VersionMove
class MoveController {
public:
  MoveController(const Settings &Own, PlatformClient &Platform,
                 MoveHandlers Handlers);
  ~MoveController();

  void start();

  /// \brief Receives the counts of another holder. Thread-safe.
  void receive(const Evidence &Counts);

  /// \brief Receives a notice of another process. Thread-safe.
  void receive(const VersionRolledBack &News);

  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
