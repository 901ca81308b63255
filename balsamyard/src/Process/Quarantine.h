#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief One incarnation of a target process. Incarnations are told apart by
/// the connections to the target, which Generation counts.
struct TargetIncarnation {
  SlotKey Slot;
  std::uint64_t Generation = 0;

  auto operator<=>(const TargetIncarnation &) const = default;
};

/// \brief The connections to a target broke while it ran these requests.
struct TargetCrashed {
  TargetIncarnation Target;
  std::vector<Fingerprint> InFlight;
};

/// \brief A target answered a request successfully.
struct RequestSucceeded {
  Fingerprint Print{};
};

/// \brief Another process announced that it quarantined a request.
struct QuarantineReceived {
  Fingerprint Print{};
  Duration Remaining{};
};

using QuarantineEvent =
    std::variant<TargetCrashed, RequestSucceeded, QuarantineReceived>;

/// \brief Announce to the other processes of the failure domain that a request
/// was quarantined.
struct AnnounceQuarantine {
  Fingerprint Print{};
  Duration Remaining{};
};

using QuarantineEffect = std::variant<AnnounceQuarantine>;

/// \brief Detects requests that crash the targets which run them.
///
/// A request is quarantined after it was in flight at crashes of 3 target
/// incarnations in 2 or more slots within 60 s, if it has succeeded less often
/// than it crashed since the first of them. Crashes of a single slot therefore
/// never quarantine a request.
class Quarantine {
public:
  static constexpr std::size_t CrashesUntilQuarantine = 3;
  static constexpr std::size_t SlotsUntilQuarantine = 2;
  static constexpr Duration CrashWindow = std::chrono::seconds(60);
  static constexpr Duration HoldTime = std::chrono::minutes(10);

  /// Maximum number of suspects, and of quarantined requests.
  static constexpr std::size_t MaxEntries = 4096;

  std::vector<QuarantineEffect> apply(const QuarantineEvent &Event,
                                      TimePoint Now);

  /// \returns whether the request is quarantined at \p Now.
  bool holds(Fingerprint Print, TimePoint Now) const;

  /// \returns the quarantined requests with the times of their release.
  std::map<Fingerprint, TimePoint> held(TimePoint Now) const;

  std::size_t suspects() const { return this->Suspects.size(); }

private:
  struct Crash {
    TargetIncarnation Target;
    TimePoint At;
    std::uint64_t SuccessesBefore = 0; ///< Successes before this crash.
  };
  struct Suspect {
    std::vector<Crash> Crashes;
    std::uint64_t Successes = 0;
  };

  std::vector<QuarantineEffect> on(const TargetCrashed &Event, TimePoint Now);
  std::vector<QuarantineEffect> on(const RequestSucceeded &Event,
                                   TimePoint Now);
  std::vector<QuarantineEffect> on(const QuarantineReceived &Event,
                                   TimePoint Now);

  /// \returns whether the request must be quarantined.
  bool recordCrash(Suspect &Entry, const TargetIncarnation &Target,
                   TimePoint Now);
  void quarantine(Fingerprint Print, TimePoint Until);
  void removeExpired(TimePoint Now);

  std::unordered_map<Fingerprint, Suspect> Suspects;
  std::unordered_map<Fingerprint, TimePoint> Quarantined;
};

} // namespace balsamyard
