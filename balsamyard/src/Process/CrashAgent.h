#pragma once

#include "balsamyard/src/Connection/StoreCalls.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/Discovery.h"
#include "balsamyard/src/Process/PlatformAdapter.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <set>

namespace balsamyard {

/// \brief Tells requests which of them are refused because they crash targets,
/// and shares what this node saw through the store. Runs on the control thread.
class CrashAgent {
public:
  /// How often old records are looked for.
  static constexpr Duration CheckInterval = std::chrono::seconds(5);

  /// \p OnChanged is called when \p Known has changed.
  CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
             const PlatformAdapter &Adapter, Discovery &Known,
             std::function<void()> OnChanged);

  /// \brief The settings were read again.
  void reload(const NodeSettings &Settings);

  /// \brief A request told what became of it.
  void report(const RequestCrashEvent &Event);

  /// \brief A record was read from the store, or is gone.
  void see(const StoredObject &Object);
  void drop(const std::string &Name);

  /// \brief Drops every record that is not in \p Listed.
  void keepOnly(const std::set<std::string> &Listed);

private:
  void apply(const CrashRecordEvent &Event);
  void perform(const WriteCrashRecord &Effect);
  void perform(const RemoveCrashRecord &Effect);
  void check();

  const PlatformAdapter &Adapter;
  Discovery &Known;
  const std::function<void()> OnChanged;
  CrashRecords Decisions;
  StoreCalls Calls;
  asio::steady_timer Timer;
  std::set<std::string> Names; ///< Of the records in the store.
};

} // namespace balsamyard
