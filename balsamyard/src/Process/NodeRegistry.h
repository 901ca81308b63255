#pragma once

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/FeedSource.h"
#include "balsamyard/src/Process/NodeEntries.h"
#include "balsamyard/src/Process/ObjectCache.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <asio/steady_timer.hpp>
#include <functional>

namespace balsamyard {

/// \brief Maintains the entry of this node in the store, finds the nodes that
/// others may follow, and counts the nodes, which share the limits of the
/// deployment. Runs on the control thread.
class NodeRegistry {
public:
  /// When the whole system starts, nodes register within a second or two, and
  /// the stale read that lists them may be seconds old, so the first list is
  /// delayed and soon repeated. Later lists pick up changes of the fleet.
  static constexpr Duration FirstListDelay = std::chrono::seconds(4);
  static constexpr Duration FirstRecountDelay = std::chrono::seconds(4);
  static constexpr Duration RecountInterval = std::chrono::seconds(15);

  /// How often the heartbeat in the entry of this node changes.
  static constexpr Duration RenewInterval = std::chrono::seconds(60);

  /// Pause before the entry is written again after a failed call.
  static constexpr Duration RenewRetryPause = std::chrono::seconds(5);

  /// After the store was restored, all nodes write their entries again, spread
  /// over this time.
  static constexpr Duration RestoreSpread = std::chrono::seconds(2);

  struct Handlers {
    /// All entries were read from the store.
    std::function<void(KindUpdate)> OnListed;

    /// Nodes that may be followed. At the start only those near the own entry
    /// in the list are known.
    std::function<void(std::vector<PeerNode>)> OnPeers;

    /// \returns whether this node reads the store. Otherwise it gets the list
    /// from the node that it follows.
    std::function<bool()> ReadsStore;
  };

  NodeRegistry(asio::io_context &Context, const NodeSettings &Settings,
               const PlatformAdapter &Adapter, Discovery &Fleet,
               Handlers Events);

  void start() { this->registerNode(); }

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Writes the entry of this node again: the store was restored from a
  /// copy, which may lack it.
  void onStoreRestored();

  /// \brief Applies the complete list of entries.
  void setEntries(const std::vector<StoredObject> &Listed);

private:
  nlohmann::json content() const;
  void registerNode();
  void renewEntry();
  void createEntryAgain();
  void renewAfter(Duration Time);
  void findReaders();
  void maintain();
  void readPage(const std::string &After);
  void removeEntry(const std::string &Name);
  void scheduleAfter(Duration Time, void (NodeRegistry::*Next)());

  const PeerNode Self;
  const bool FirstStart;
  const std::string EntryName;
  const PlatformAdapter &Adapter;
  Discovery &Fleet;
  const Handlers Events;
  NodeEntries Entries;
  StoreCallQueue Calls;
  asio::steady_timer Timer;
  asio::steady_timer RenewTimer;
  RandomGenerator Random;
  std::uint64_t Heartbeat;
  TimePoint RenewedAt{};
  KindUpdate Listing;     ///< The pages read so far.
  bool Reading = false;   ///< A list is being read.
  bool Recounted = false; ///< Nodes that started together are counted.
};

/// \returns the entry of the node with these settings.
PeerNode peerNode(const NodeSettings &Settings);

/// \returns the name of the stored entry of a node. Entries of one failure
/// domain are listed together, those with the most processor time first.
std::string nodeEntryName(const PeerNode &Node);

/// \returns the node in a stored entry.
PeerNode readNodeEntry(const StoredObject &Object);

} // namespace balsamyard
