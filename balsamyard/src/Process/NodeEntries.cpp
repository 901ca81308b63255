#include "balsamyard/src/Process/NodeEntries.h"

namespace balsamyard {

void NodeEntries::update(const std::map<NodeName, std::uint64_t> &Heartbeats,
                         TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Item) {
    return !Heartbeats.contains(Item.first);
  });
  for (const auto &[Node, Heartbeat] : Heartbeats) {
    const auto [It, Inserted] = this->Entries.try_emplace(Node);
    if (Inserted || It->second.Heartbeat != Heartbeat)
      It->second = {Heartbeat, Now};
  }
}

std::set<NodeName> NodeEntries::nodes() const {
  std::set<NodeName> Result;
  for (const auto &[Node, Item] : this->Entries)
    Result.insert(Node);
  return Result;
}

std::set<NodeName> NodeEntries::expired(TimePoint Now) const {
  std::set<NodeName> Result;
  std::optional<NodeName> FirstLive;
  for (const auto &[Node, Item] : this->Entries) {
    if (Now - Item.ChangedAt >= Lifetime && Node != this->Self)
      Result.insert(Node);
    else if (!FirstLive)
      FirstLive = Node;
  }
  return FirstLive == this->Self ? Result : std::set<NodeName>{};
}

} // namespace balsamyard
