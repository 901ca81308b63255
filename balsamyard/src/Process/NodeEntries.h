#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace balsamyard {

/// \brief Detects entries in the list of nodes whose node has permanently
/// gone. Each such entry reduces the shares of the remaining nodes.
///
/// A node renews its heartbeat at every count. The time since a heartbeat last
/// changed is measured on the local clock, so clocks need no synchronization.
class NodeEntries {
public:
  /// Much longer than any restart or partition that a node recovers from.
  static constexpr Duration Lifetime = std::chrono::minutes(5);

  explicit NodeEntries(NodeName Self) : Self(std::move(Self)) {}

  /// \brief Replaces the list of nodes by \p Heartbeats.
  void update(const std::map<NodeName, std::uint64_t> &Heartbeats,
              TimePoint Now);

  /// \returns every node that has an entry.
  std::set<NodeName> nodes() const;

  /// \returns the entries that this node has to remove: those without a new
  /// heartbeat for Lifetime. Empty unless this node is the first of the live
  /// nodes by name.
  std::set<NodeName> expired(TimePoint Now) const;

private:
  struct Entry {
    std::uint64_t Heartbeat = 0;
    TimePoint ChangedAt{};
  };

  const NodeName Self;
  std::map<NodeName, Entry> Entries;
};

} // namespace balsamyard
