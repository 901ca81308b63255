#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace balsamyard {

/// \brief Decides which entries in the list of nodes belong to nodes that are
/// gone for good. Each one makes the shares of the others smaller.
///
/// A node renews its entry at every count. Entries are compared by their
/// heartbeat on the own clock, so clocks need not agree.
class NodeEntries {
public:
  /// Much longer than any restart or partition that a node comes back from.
  static constexpr Duration Lifetime = std::chrono::minutes(5);

  explicit NodeEntries(NodeName Self) : Self(std::move(Self)) {}

  /// \brief The whole list was read: the heartbeat of each node.
  void update(const std::map<NodeName, std::uint64_t> &Heartbeats,
              TimePoint Now);

  /// \returns every node that has an entry.
  std::set<NodeName> nodes() const;

  /// \returns the entries that this node has to remove: those without a new
  /// heartbeat for Lifetime, if it is the first of the living nodes by name.
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
