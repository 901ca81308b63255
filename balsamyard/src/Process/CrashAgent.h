#pragma once

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/CrashWatch.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/ObjectCache.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace balsamyard {

/// \brief Publishes which requests are refused because they crash targets, and
/// shares the crash records of this node through the store. Runs on the control
/// thread.
class CrashAgent {
public:
  /// How often the records of the other nodes are read. All nodes have to learn
  /// of a request that crashes targets within a few seconds. Stale reads are
  /// cheap, whereas a watch would wake all nodes at each crash.
  static constexpr Duration ReadInterval = std::chrono::seconds(4);

  struct Handlers {
    std::function<void()> OnChanged; ///< The list of crashes has changed.

    /// All records were read from the store.
    std::function<void(KindUpdate)> OnListed;

    /// The other nodes have to be told of a record of this node.
    std::function<void(const CrashRecord &)> OnTell;

    /// \returns whether this node reads the store. Otherwise it gets the
    /// records from the node that it follows.
    std::function<bool()> ReadsStore;
  };

  CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, Discovery &Fleet, Handlers Events);

  void start() { this->maintain(); }

  /// \brief Reads the records now, because the store can be read again.
  void refresh();

  /// \brief Writes the records of this process again: the store was restored
  /// from a copy, which may lack them.
  void onStoreRestored();

  /// \brief Applies a record that another node has told of.
  void hear(const CrashRecord &Record);

  /// \brief Applies the complete list of records.
  void setRecords(const std::vector<StoredObject> &Listed);

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Handles the failure or success of a request.
  void report(const RequestCrashEvent &Event);

private:
  void on(const RequestBroken &Event);
  void on(const SuspectedRequestSucceeded &Event);
  void scheduleConfirmation();
  void apply(const CrashRecordEvent &Event);
  void perform(const WriteCrashRecord &Effect);
  void perform(const TellCrashRecord &Effect);
  void perform(const RemoveCrashRecord &Effect);
  void write(const CrashRecord &Record, bool Create, bool Last);
  void scheduleRewrite();
  void readPage(const std::string &After);
  void onPage(FeedPage &Page);
  void maintain();

  const PlatformAdapter &Adapter;
  Discovery &Fleet;
  const Handlers Events;
  CrashWatch Unconfirmed;
  CrashRecords Decisions;
  StoreCallQueue Calls;
  asio::steady_timer Timer;
  asio::steady_timer ConfirmTimer;
  asio::steady_timer RewriteTimer;
  KindUpdate Listing; ///< The pages read so far.
  bool Reading = false;
};

} // namespace balsamyard
