#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <deque>
#include <map>
#include <vector>

namespace balsamyard {

/// \brief Collects reports about targets, which a node passes on to other nodes
/// in small batches: that they answer slowly or not at all, or that they have
/// ceased to name a request limit.
///
/// Answers the load of a slow or silent part of the targets in a large fleet:
/// each node sends a query every few seconds, so it would meet each bad target
/// itself before it avoids it. Likewise each node would find out for itself
/// that a target accepts any number of requests again, by one request a minute.
/// Reports of the other nodes of its failure domain arrive within half a
/// second.
class TargetReports {
public:
  /// How often batches are sent.
  static constexpr Duration SendInterval = std::chrono::milliseconds(250);

  /// Time after which a report about the same target is passed on again. Less
  /// than the lifetime of a report, so that it does not lapse in between.
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(1500);

  /// Keeps the traffic of a node below 3 KB/s.
  static constexpr std::size_t MaxBatch = 48;

  /// Reports that wait are dropped beyond this number, newest first.
  static constexpr std::size_t MaxWaiting = 512;

  /// \brief Adds a report unless one about the same target was added shortly
  /// before.
  void add(const TargetId &Target, TimePoint Now);

  /// \returns the reports to send now, oldest first.
  std::vector<TargetId> take(TimePoint Now);

private:
  std::map<TargetId, TimePoint> AddedAt;
  std::deque<TargetId> Waiting;
};

} // namespace balsamyard
