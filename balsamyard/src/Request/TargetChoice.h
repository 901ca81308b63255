#pragma once

#include "balsamyard/src/Core/Draws.h"
#include "balsamyard/src/Version/FleetView.h"

#include <cstdint>
#include <vector>

namespace balsamyard {

/// \brief How the targets of a service are compared for one request.
struct ChoiceRules {
  Duration Usual{}; ///< \sa RouteStats::Median
  Duration ColdInterval =
      Duration::max(); ///< \sa FleetView::coldRequestInterval
  const std::vector<RegionName> *Regions = nullptr; ///< \sa Route::Regions

  /// While traffic moves to a version: whether only its targets may be chosen,
  /// or only all others.
  const VersionName *MovesTo = nullptr;
  bool WantsNew = false;
};

/// \brief A chosen target and when it will probably answer.
struct TargetChoice {
  KnownTarget *Target = nullptr; ///< Null: there is none.
  Duration Expected{};
};

/// \brief A farther target has to be faster by these factors: bytes between
/// failure domains and regions are paid for, and targets near other processes
/// are needed by those.
inline constexpr double SameRegionFactor = 1.2;
inline constexpr double OtherRegionFactor = 1.6;

/// \brief A target that leaves a request of this process late is passed over
/// unless the others are this many times slower.
inline constexpr double LateFactor = 6;

/// \brief A target to which no connections are kept: one has to be opened, and
/// the target may have no room for it.
inline constexpr double NotPreferredFactor = 4;

/// \brief A target whose connections broke has to be checked first, which costs
/// a connection and a health request.
inline constexpr double SuspectFactor = 12;

/// \returns the target of \p Service that will probably answer first and is
/// not in \p Tried. Cold, leaving and unreachable targets are passed over.
TargetChoice chooseTarget(const ServiceEntry &Service, const ChoiceRules &Rules,
                          const std::vector<const KnownTarget *> &Tried,
                          TimePoint Now, Draws &Random);

} // namespace balsamyard
