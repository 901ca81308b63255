#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace balsamyard {

/// \brief A strongly typed string: names with different tags have different
/// types.
template <typename Tag> struct Name {
  std::string Text;

  auto operator<=>(const Name &) const = default;
  bool empty() const { return this->Text.empty(); }
};

using NodeName = Name<struct NodeTag>;
using DomainName = Name<struct DomainTag>; ///< A failure domain.
using RegionName = Name<struct RegionTag>;
using ServiceName = Name<struct ServiceTag>;
using RouteName = Name<struct RouteTag>;
using VersionName = Name<struct VersionTag>; ///< A back end version.
using TargetId = Name<struct TargetTag>;     ///< One target process.
using RequestId = Name<struct RequestTag>;   ///< Set by the caller.

/// \brief Identifies a query between an entry process and its holders.
enum class QueryId : std::uint64_t {};

/// \brief An index version. A higher number is newer.
enum class SnapshotId : std::uint64_t {};

/// \brief Version of the configuration. A higher number is newer.
enum class ConfigVersion : std::uint64_t {};

/// \brief Position in the history of the platform's store.
///
/// A store that is restored from a copy starts a new era, in which it gives out
/// the lost revisions again. Any revision of a later era is newer.
struct StoreRevision {
  std::uint64_t Number = 0;
  std::uint64_t Era = 0;

  friend bool operator==(const StoreRevision &,
                         const StoreRevision &) = default;
  friend std::strong_ordering operator<=>(const StoreRevision &Left,
                                          const StoreRevision &Right) {
    if (const auto Order = Left.Era <=> Right.Era; Order != 0)
      return Order;
    return Left.Number <=> Right.Number;
  }
};

/// \brief Hash that identifies repetitions of a request. \sa fingerprintOf
enum class Fingerprint : std::uint64_t {};

using LeafIndex = std::uint32_t;
using SlotIndex = std::uint16_t;
using ShardId = std::uint32_t;
using AttemptNumber = std::uint32_t;

/// \brief Identifies one replica of one leaf.
struct SlotKey {
  ServiceName Service;
  LeafIndex Leaf = 0;
  SlotIndex Slot = 0;

  auto operator<=>(const SlotKey &) const = default;
};

/// \returns "SERVICE/LEAF/SLOT", as used in logs and status pages.
inline std::string toText(const SlotKey &Key) {
  return Key.Service.Text + "/" + std::to_string(Key.Leaf) + "/" +
         std::to_string(Key.Slot);
}

/// \brief An IP address and a port.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// \returns "ADDRESS:PORT".
inline std::string toText(const Endpoint &Value) {
  return Value.Address + ":" + std::to_string(Value.Port);
}

} // namespace balsamyard

template <typename Tag> struct std::hash<balsamyard::Name<Tag>> {
  std::size_t operator()(const balsamyard::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>{}(Value.Text);
  }
};
