#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Version/KnownTarget.h"

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

/// \brief An attempt whose connection ended before the answer.
struct BrokenAttempt {
  Ref<KnownTarget> Target;
  TimePoint At{};
};

/// \brief A request got no success, and connections ended while it ran.
struct RequestBroken {
  Fingerprint Print{};
  std::vector<BrokenAttempt> Attempts;
};

/// \brief A request got no success, and these targets crashed while they ran
/// it.
struct RequestCrashedTargets {
  Fingerprint Print{};
  std::vector<TargetId> Targets; ///< One for each incarnation.
};

/// \brief A suspected request succeeded.
struct SuspectedRequestSucceeded {
  Fingerprint Print{};
};

/// \brief What requests report of crashes.
using RequestCrashEvent =
    std::variant<RequestBroken, SuspectedRequestSucceeded>;

} // namespace balsamyard
