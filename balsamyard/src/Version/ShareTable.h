#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace balsamyard {

/// \brief Number of consecutive leaves of a service that form a leaf group. The
/// connections to a group are shared between the owners of its lanes.
inline constexpr LeafIndex LeafGroupSize = 32;

/// \brief Number of lanes, and thus maximum number of owners, of a leaf group
/// in a failure domain.
inline constexpr std::size_t MaxLaneCount = 4;

/// \brief Number of write gates over all failure domains.
inline constexpr std::size_t WriteGateCount = 64;

/// \brief A leaf group.
struct GroupKey {
  ServiceName Service;
  std::uint32_t Group = 0;

  auto operator<=>(const GroupKey &) const = default;
};

/// \brief One lane of a leaf group: a share of the connections to its slots.
struct LaneKey {
  GroupKey Group;
  std::uint32_t Lane = 0;

  auto operator<=>(const LaneKey &) const = default;
};

/// \returns the group that holds \p Leaf.
inline GroupKey groupOf(const ServiceName &Service, LeafIndex Leaf) {
  return {Service, Leaf / LeafGroupSize};
}

/// \brief Owners of the lanes of every leaf group of one failure domain.
///
/// Value of the platform object `shared/shares/DOMAIN`. The vector is indexed
/// by lane; an empty name stands for a lane without an owner.
struct ShareTable {
  DomainName Domain;
  std::uint64_t Version = 0;
  std::map<GroupKey, std::vector<NodeName>> Lanes;

  /// \returns the owners of the lanes of \p Group, or nullptr.
  const std::vector<NodeName> *owners(const GroupKey &Group) const;
};

/// \brief Owner of one write gate and the time at which it became the owner.
struct GateOwner {
  NodeName Node;
  WallTime Since{};
};

/// \brief Value of the platform object `shared/gates`.
struct GateTable {
  std::uint64_t Version = 0;
  std::array<GateOwner, WriteGateCount> Gates;
};

/// \returns the write gate of \p Request.
std::size_t gateOf(const RequestId &Request);

/// \brief Reads and writes the JSON values of the platform objects. Version is
/// the version of the object and not part of the value.
///
/// \code
/// {"domain":"east","lanes":[
/// {"service":"permits","group":0,"lane":0,"node":"east-1"}
/// ]}
/// {"gates":[
/// {"gate":0,"node":"east-1","since":1790000000000},
/// ...
/// ]}
/// \endcode
/// \returns PlatformMalformed with the path of the fault and the expectation.
Expected<ShareTable> parseShareTable(std::string_view Json);
std::string toJson(const ShareTable &Table);
Expected<GateTable> parseGateTable(std::string_view Json);
std::string toJson(const GateTable &Table);

} // namespace balsamyard
