#pragma once

#include "balsamyard/src/Connection/StoreCallQueue.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/Discovery.h"
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

  /// \p OnChanged is called when \p Fleet has changed.
  CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, Discovery &Fleet,
             std::function<void()> OnChanged);

  void start() { this->readPage({}); }

  /// \brief Applies reloaded settings.
  void reload(const NodeSettings &Settings);

  /// \brief Handles the crash or success of a request.
  void report(const RequestCrashEvent &Event);

private:
  void apply(const CrashRecordEvent &Event);
  void perform(const WriteCrashRecord &Effect);
  void perform(const RemoveCrashRecord &Effect);
  void readPage(const std::string &After);
  void onPage(const FeedPage &Page);
  void scheduleRead();

  const PlatformAdapter &Adapter;
  Discovery &Fleet;
  const std::function<void()> OnChanged;
  CrashRecords Decisions;
  StoreCallQueue Calls;
  asio::steady_timer Timer;
  std::vector<CrashRecord> Pending; ///< Records of the pages read so far.
};

} // namespace balsamyard
