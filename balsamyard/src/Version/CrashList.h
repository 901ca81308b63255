#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Status of a request during which targets crashed.
enum class CrashStatus : std::uint8_t {
  Suspected, ///< May cause crashes; cleared if it succeeds.
  Refused,   ///< Crashes the targets that run it.
};

/// \brief Immutable list of the requests during which targets crashed.
struct CrashList : RefCounted<CrashList> {
  std::unordered_map<Fingerprint, CrashStatus> Entries;

  std::optional<CrashStatus> find(Fingerprint Print) const {
    const auto Entry = this->Entries.find(Print);
    return Entry == this->Entries.end() ? std::nullopt
                                        : std::optional(Entry->second);
  }
};

/// \brief A request failed, and these targets lost all connections while they
/// ran it.
struct RequestCrashedTargets {
  Fingerprint Print{};
  std::vector<TargetId> Targets;
};

/// \brief A suspected request succeeded.
struct SuspectedRequestSucceeded {
  Fingerprint Print{};
};

using RequestCrashEvent =
    std::variant<RequestCrashedTargets, SuspectedRequestSucceeded>;

} // namespace balsamyard
