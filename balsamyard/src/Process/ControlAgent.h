#pragma once

#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Process/Membership.h"
#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Process/Settings.h"
#include "balsamyard/src/Version/RcuCell.h"
#include "balsamyard/src/Version/RoutingView.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamyard {

class PeerClient;

/// \brief Runs membership and configuration of a process and publishes the
/// routing view.
class ControlAgent {
public:
  ControlAgent(const Settings &Own, ProcessRole Role, PeerClient &Peers);
  ~ControlAgent();

  /// \brief Starts the control threads.
  Expected<void> start();

  /// \returns the cell that requests read.
  const RcuCell<RoutingView> &view() const;

  /// \returns the client, for callers on threads that may block.
  PlatformClient &platform();

  /// \brief Called after each publication, on a control thread.
  void onChange(std::function<void(Ref<const RoutingView>)> Handler);

  /// \brief Called for each notice of another process, on a control thread.
  void onNotice(std::function<void(const Notice &)> Handler);

  /// \brief Sends \p Body to the processes of the own failure domain and, for
  /// VersionRolledBack, of all.
  void notify(const decltype(Notice::Body) &Body);

  /// \brief Handles `/v1/config` and `/v1/notice`.
  /// \returns the reply message, or an error if the path is another one.
  Expected<std::string> handle(const std::string &Path,
                               const std::string &Message);

  /// \brief Says to the others that this process is leaving.
  void leave();

  /// \brief Stops all control threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
