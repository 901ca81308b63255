#pragma once

#include "balsamyard/src/Connection/StoreCalls.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace balsamyard {

/// \brief Tells requests which of them are refused because they crash targets,
/// and shares what this node saw through the store. Runs on the control thread.
class CrashAgent {
public:
  /// How often the records of the others are read. The read is a cheap one,
  /// seconds old: a request that crashes targets has to be known everywhere
  /// within a few seconds, and a watch would wake all nodes at each crash.
  static constexpr Duration ReadInterval = std::chrono::seconds(4);

  /// \p OnChanged is called when \p Fleet has changed.
  CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, Discovery &Fleet,
             std::function<void()> OnChanged);

  void start() { this->readPage({}); }

  /// \brief The settings were read again.
  void reload(const NodeSettings &Settings);

  /// \brief A request told what became of it.
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
  StoreCalls Calls;
  asio::steady_timer Timer;
  std::vector<CrashRecord> Pending; ///< Of the pages read so far.
};

} // namespace balsamyard
