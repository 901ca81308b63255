#include "balsamyard/src/Version/SharePlan.h"

#include <algorithm>
#include <xxhash.h>

namespace balsamyard {

namespace {

/// Maximum gates of a node, as a multiple of an even share. With a multiple of
/// 1 each change of the nodes would move more gates.
constexpr double GateSlack = 1.25;

/// \returns the weight of \p Node for \p Subject in rendezvous hashing.
std::uint64_t weight(const std::string &Subject, const NodeName &Node) {
  return XXH3_64bits_withSeed(Subject.data(), Subject.size(),
                              XXH3_64bits(Node.Text.data(), Node.Text.size()));
}

/// \returns one owner per subject: the node with the highest weight among those
/// that have fewer than \p MaxPerNode subjects so far.
std::vector<NodeName> assign(const std::vector<std::string> &Subjects,
                             const std::set<NodeName> &Nodes,
                             std::size_t MaxPerNode) {
  std::map<NodeName, std::size_t> Count;
  std::vector<NodeName> Owners;
  for (const std::string &Subject : Subjects) {
    const NodeName *Best = nullptr;
    std::uint64_t BestWeight = 0;
    for (const NodeName &Node : Nodes) {
      if (Count[Node] >= MaxPerNode)
        continue;
      std::uint64_t Weight = weight(Subject, Node);
      if (!Best || Weight > BestWeight) {
        Best = &Node;
        BestWeight = Weight;
      }
    }
    Owners.push_back(Best ? *Best : NodeName{});
    if (Best)
      ++Count[*Best];
  }
  return Owners;
}

bool isGone(const ShareInputs &Inputs, const NodeName &Owner) {
  auto Since = Inputs.GoneSince.find(Owner);
  return Since != Inputs.GoneSince.end() && Owner != Inputs.Self &&
         Inputs.Now - Since->second >= TransferDelay;
}

/// \returns whether a unit moves from \p Owner to \p Wanted. \p Released is the
/// number of own units that the step has released so far.
bool shouldMove(const ShareInputs &Inputs, const NodeName &Owner,
                const NodeName &Wanted, std::size_t Released) {
  if (Owner == Wanted)
    return false;
  if (Owner.empty() || isGone(Inputs, Owner))
    return true;
  if (Owner != Inputs.Self)
    return false;
  return Inputs.Leaving || Released < MaxMovesPerWrite;
}

std::set<NodeName> candidateOwners(const ShareInputs &Inputs) {
  std::set<NodeName> Nodes = Inputs.Usable;
  if (Inputs.Leaving)
    Nodes.erase(Inputs.Self);
  else
    Nodes.insert(Inputs.Self);
  return Nodes;
}

/// \returns the units per node, rounded up.
std::size_t evenShare(double Units, std::size_t Nodes) {
  return Nodes == 0 ? 0
                    : static_cast<std::size_t>(
                          (Units + static_cast<double>(Nodes) - 1) /
                          static_cast<double>(Nodes));
}

/// \returns the groups with at least one slot in \p Domain.
std::set<GroupKey>
groupsIn(const DomainName &Domain,
         const std::map<ServiceName, ServiceCatalog> &Services) {
  std::set<GroupKey> Groups;
  for (const auto &[Service, Catalog] : Services)
    for (const CatalogLeaf &Leaf : Catalog.Leaves)
      for (const CatalogSlot &Slot : Leaf.Slots)
        if (Slot.Domain == Domain)
          Groups.insert(groupOf(Service, Leaf.Index));
  return Groups;
}

} // namespace

LaneStep planShares(const ShareTable &Table,
                    const std::map<ServiceName, ServiceCatalog> &Services,
                    const ShareInputs &Inputs) {
  LaneStep Step;
  Step.Next = Table;
  std::set<NodeName> Nodes = candidateOwners(Inputs);
  std::set<GroupKey> Groups = groupsIn(Table.Domain, Services);
  for (const GroupKey &Group : Groups)
    if (Step.Next.Lanes[Group].empty()) {
      Step.Next.Lanes[Group].resize(MaxLaneCount);
      Step.Changed = true;
    }
  for (auto &[Group, Lanes] : Step.Next.Lanes) {
    std::vector<std::string> Subjects;
    for (std::uint32_t Lane = 0; Lane < Lanes.size(); ++Lane)
      Subjects.push_back(Group.Service.Text + "/" +
                         std::to_string(Group.Group) + "/" +
                         std::to_string(Lane));
    std::vector<NodeName> Wanted(Lanes.size());
    // A group without slots in the domain needs no owners.
    if (Groups.contains(Group))
      Wanted =
          assign(Subjects, Nodes,
                 evenShare(static_cast<double>(Lanes.size()), Nodes.size()));
    for (std::uint32_t Lane = 0; Lane < Lanes.size(); ++Lane) {
      if (!shouldMove(Inputs, Lanes[Lane], Wanted[Lane], Step.Released.size()))
        continue;
      if (Lanes[Lane] == Inputs.Self)
        Step.Released.push_back({Group, Lane});
      Step.Moved.push_back({Group, Lane});
      Lanes[Lane] = Wanted[Lane];
    }
  }
  std::size_t Erased = std::erase_if(Step.Next.Lanes, [&](const auto &Entry) {
    return !Groups.contains(Entry.first) &&
           std::all_of(Entry.second.begin(), Entry.second.end(),
                       [](const NodeName &Owner) { return Owner.empty(); });
  });
  Step.Changed = Step.Changed || Erased > 0 || !Step.Moved.empty();
  return Step;
}

GateStep planGates(const GateTable &Table, const ShareInputs &Inputs) {
  GateStep Step;
  Step.Next = Table;
  std::set<NodeName> Nodes = candidateOwners(Inputs);
  std::vector<std::string> Subjects;
  for (std::size_t Gate = 0; Gate < WriteGateCount; ++Gate)
    Subjects.push_back("gate/" + std::to_string(Gate));
  std::vector<NodeName> Wanted = assign(
      Subjects, Nodes, evenShare(GateSlack * WriteGateCount, Nodes.size()));
  for (std::size_t Gate = 0; Gate < WriteGateCount; ++Gate) {
    GateOwner &Owner = Step.Next.Gates[Gate];
    if (!shouldMove(Inputs, Owner.Node, Wanted[Gate], Step.Released.size()))
      continue;
    if (Owner.Node == Inputs.Self)
      Step.Released.push_back(Gate);
    Step.Moved.push_back(Gate);
    Owner = {Wanted[Gate], Inputs.Wall};
  }
  Step.Changed = !Step.Moved.empty();
  return Step;
}

std::set<LaneKey> ownedBy(const ShareTable &Table, const NodeName &Node) {
  std::set<LaneKey> Result;
  for (const auto &[Group, Lanes] : Table.Lanes)
    for (std::uint32_t Lane = 0; Lane < Lanes.size(); ++Lane)
      if (Lanes[Lane] == Node)
        Result.insert({Group, Lane});
  return Result;
}

std::set<std::size_t> ownedBy(const GateTable &Table, const NodeName &Node) {
  std::set<std::size_t> Result;
  for (std::size_t Gate = 0; Gate < WriteGateCount; ++Gate)
    if (Table.Gates[Gate].Node == Node)
      Result.insert(Gate);
  return Result;
}

std::set<NodeName> ownersOf(const ShareTable &Table) {
  std::set<NodeName> Result;
  for (const auto &[Group, Lanes] : Table.Lanes)
    Result.insert(Lanes.begin(), Lanes.end());
  Result.erase(NodeName{});
  return Result;
}

std::set<NodeName> ownersOf(const GateTable &Table) {
  std::set<NodeName> Result;
  for (const GateOwner &Owner : Table.Gates)
    Result.insert(Owner.Node);
  Result.erase(NodeName{});
  return Result;
}

std::size_t rankFor(const NodeName &Self, const std::set<NodeName> &Nodes,
                    const std::string &Subject) {
  std::uint64_t OwnWeight = weight(Subject, Self);
  return static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(), [&](const NodeName &Node) {
        return Node != Self && weight(Subject, Node) > OwnWeight;
      }));
}

} // namespace balsamyard
