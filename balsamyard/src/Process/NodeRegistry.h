#pragma once

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/NodeEntries.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <asio/steady_timer.hpp>
#include <functional>

namespace balsamyard {

/// \brief Maintains the entry of this node in the store and counts the nodes,
/// which share the limits of the deployment. Runs on the control thread.
class NodeRegistry {
public:
  /// Nodes that start together register within a second or two, and the stale
  /// read that counts them may be seconds old, so the first count is delayed
  /// and soon repeated. Later counts pick up changes of the fleet.
  static constexpr Duration FirstCountDelay = std::chrono::seconds(4);
  static constexpr Duration FirstRecountDelay = std::chrono::seconds(4);
  static constexpr Duration RecountInterval = std::chrono::seconds(60);

  /// \p OnChanged is called when \p Fleet has changed.
  NodeRegistry(asio::io_context &Context, const NodeSettings &Settings,
               const PlatformAdapter &Adapter, Discovery &Fleet,
               std::function<void()> OnChanged);

  void start() { this->registerNode(); }

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

private:
  nlohmann::json content() const;
  void registerNode();
  void renewEntry();
  void readPage(const std::string &After);
  void onListRead();
  void scheduleAfter(Duration Time, void (NodeRegistry::*Next)());
  void countNodes() { this->readPage({}); }

  const NodeName Self;
  const DomainName Domain;
  const PlatformAdapter &Adapter;
  Discovery &Fleet;
  const std::function<void()> OnChanged;
  NodeEntries Entries;
  StoreCallQueue Calls;
  asio::steady_timer Timer;
  std::uint64_t Heartbeat;
  std::map<NodeName, std::uint64_t> Heartbeats; ///< Of the pages read so far.
  bool StartupCounted = false; ///< Nodes that started together are counted.
};

} // namespace balsamyard
