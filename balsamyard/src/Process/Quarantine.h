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

/// \brief One life of a target process, as told apart by its connections.
struct TargetIncarnation {
  SlotKey Slot;
  std::uint64_t Generation = 0;

  auto operator<=>(const TargetIncarnation &) const = default;
};

/// \brief The connections of a target broke while these requests ran there.
struct TargetCrashed {
  TargetIncarnation Target;
  std::vector<Fingerprint> InFlight;
};

/// \brief A request was answered by a target.
struct RequestSucceeded {
  Fingerprint Print{};
};

/// \brief Another process quarantined the request.
struct QuarantineReceived {
  Fingerprint Print{};
  Duration Remaining{};
};

using QuarantineEvent =
    std::variant<TargetCrashed, RequestSucceeded, QuarantineReceived>;

/// \brief The request was quarantined; the others of the failure domain have to
/// know.
struct AnnounceQuarantine {
  Fingerprint Print{};
  Duration Remaining{};
};

using QuarantineEffect = std::variant<AnnounceQuarantine>;

/// \brief Finds requests that crash the targets which run them.
///
/// A request is quarantined after crashes of 3 target lives at 2 or more slots
/// within 60 s, if it succeeded less often than it crashed since the first of
/// them. One slot that crashes on its own therefore never blames a request.
class Quarantine {
public:
  static constexpr std::size_t CrashesUntilQuarantine = 3;
  static constexpr std::size_t SlotsUntilQuarantine = 2;
  static constexpr Duration CrashWindow = std::chrono::seconds(60);
  static constexpr Duration HoldTime = std::chrono::minutes(10);

  /// Suspects and quarantined requests that are remembered, each.
  static constexpr std::size_t MaxEntries = 4096;

  std::vector<QuarantineEffect> apply(const QuarantineEvent &Event,
                                      TimePoint Now);

  /// \returns whether the request is refused at \p Now.
  bool holds(Fingerprint Print, TimePoint Now) const;

  /// \returns the quarantined requests and when they are released.
  std::map<Fingerprint, TimePoint> held(TimePoint Now) const;

  std::size_t suspects() const { return this->Suspects.size(); }

private:
  struct Crash {
    TargetIncarnation Target;
    TimePoint At;
    std::uint64_t SuccessesBefore = 0;
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

  bool charge(Suspect &Entry, const TargetIncarnation &Target, TimePoint Now);
  void hold(Fingerprint Print, TimePoint Until);
  void forgetOldSuspects(TimePoint Now);

  std::unordered_map<Fingerprint, Suspect> Suspects;
  std::unordered_map<Fingerprint, TimePoint> Held;
};

} // namespace balsamyard
