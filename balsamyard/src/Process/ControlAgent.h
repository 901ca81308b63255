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

/// \brief Runs the membership protocol and configuration synchronization of a
/// process and publishes the routing view.
class ControlAgent {
public:
  ControlAgent(const Settings &Own, ProcessRole Role, PeerClient &Peers);
  ~ControlAgent();

  /// \brief Starts the control threads.
  Expected<void> start();

  /// \returns the cell from which requests read the routing view.
  const RcuCell<RoutingView> &view() const;

  /// \returns the platform client. Its calls block, so it must not be used on
  /// threads that serve requests.
  PlatformClient &platform();

  /// \brief Registers a handler that is called on a control thread after each
  /// publication of a routing view.
  void onChange(std::function<void(Ref<const RoutingView>)> Handler);

  /// \brief Registers a handler that is called on a control thread for each
  /// notice of another process.
  void onNotice(std::function<void(const Notice &)> Handler);

  /// \brief Sends \p Body to the processes of the local failure domain, or to
  /// all processes if it is a VersionRolledBack.
  void notify(const decltype(Notice::Body) &Body);

  /// \brief Handles `/v1/config` and `/v1/notice`.
  /// \returns the reply message, or an error for a malformed message or another
  /// path.
  Expected<std::string> handle(const std::string &Path,
                               const std::string &Message);

  /// \brief Announces to the other processes that this one is leaving.
  void leave();

  /// \brief Stops all control threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
