#pragma once

#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Version/FleetView.h"

#include <cstdint>
#include <vector>

namespace balsamyard {

/// \brief Criteria for choosing a target of a service for one request.
struct TargetCriteria {
  Duration MedianLatency{}; ///< \sa RouteStats::Median
  Duration ColdInterval =
      Duration::max(); ///< \sa FleetView::coldRequestInterval
  const std::vector<RegionName> *Regions = nullptr; ///< \sa Route::Regions

  /// Determines the turns at targets that name a request limit; without it they
  /// are passed over. \sa FleetView::limitedRequestInterval
  const FleetView *View = nullptr;

  /// Set while traffic moves to a version: with UseMoveVersion only targets of
  /// this version are eligible, otherwise only the others.
  const VersionName *MoveVersion = nullptr;
  bool UseMoveVersion = false;
};

/// \brief A chosen target and its expected latency.
struct TargetChoice {
  KnownTarget *Target = nullptr; ///< Null if no target is usable.
  Duration ExpectedLatency{};

  /// A target was passed over, because it is not the turn of this process to
  /// send to it.
  bool SawLimited = false;
};

/// \brief Cost factors of targets outside the own failure domain: traffic
/// between failure domains and regions costs money, and remote targets are
/// needed by the processes near them.
inline constexpr double SameRegionFactor = 1.2;
inline constexpr double OtherRegionFactor = 1.6;

/// \brief Cost factor of a target that has a late request of this process: it
/// is chosen only if the others are this many times slower.
inline constexpr double LateFactor = 6;

/// \brief Cost factor of a target to which no connections are kept open: one
/// has to be opened, and the target may have reached its connection limit.
inline constexpr double NotPreferredFactor = 4;

/// \brief Cost factor of a target whose connections broke: it has to be checked
/// first, which costs a connection and a health request.
inline constexpr double SuspectFactor = 12;

/// \returns the target of \p Service with the lowest cost that is not in
/// \p Tried. The cost is the expected latency times the factors above. Leaving
/// and unreachable targets are skipped, and so are cold ones that have used up
/// their request rate, and those with a request limit between the turns of this
/// process. The turn at a limited target has to be taken with claimTurn().
TargetChoice chooseTarget(const ServiceEntry &Service,
                          const TargetCriteria &Criteria,
                          const std::vector<const KnownTarget *> &Tried,
                          TimePoint Now, RandomGenerator &Random);

/// \brief Takes the turn of this process at \p Target if it names a request
/// limit. \returns false if another thread has taken it.
bool claimTurn(KnownTarget &Target, const FleetView &View, TimePoint Now);

} // namespace balsamyard
