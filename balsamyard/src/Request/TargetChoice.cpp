#include "balsamyard/src/Request/TargetChoice.h"

#include <algorithm>

namespace balsamyard {

namespace {

/// Expected times are compared with this much noise, so that processes which
/// observe the same do not all choose the same target.
constexpr double ChoiceNoise = 0.1;

double distanceFactor(Distance Far) {
  switch (Far) {
  case Distance::SameDomain:
    return 1;
  case Distance::SameRegion:
    return SameRegionFactor;
  case Distance::OtherRegion:
    return OtherRegionFactor;
  }
  return 1;
}

/// Times the usual answer time.
double expectedFactor(const KnownTarget &Target, TimePoint Now) {
  const double Busy =
      std::max<double>(Target.inFlight(), Target.reportedLoad(Now)) /
      std::max<std::uint32_t>(Target.Info.Slots, 1);
  // Half of the slots in use seldom makes a request wait.
  return Target.slowness(Now) * (1 + std::max(0.0, Busy - 0.5));
}

bool mayServe(const KnownTarget &Target, const ChoiceRules &Rules) {
  if (Target.adminState() != AdminState::Serving ||
      Target.reach() == Reach::Down)
    return false;
  if (Rules.MovesTo != nullptr &&
      (Target.Info.Version == *Rules.MovesTo) != Rules.WantsNew)
    return false;
  return Rules.Regions == nullptr || Rules.Regions->empty() ||
         std::find(Rules.Regions->begin(), Rules.Regions->end(),
                   Target.Info.Region) != Rules.Regions->end();
}

} // namespace

TargetChoice chooseTarget(const ServiceEntry &Service, const ChoiceRules &Rules,
                          const std::vector<const KnownTarget *> &Tried,
                          TimePoint Now, Draws &Random) {
  constexpr std::uint32_t NoiseSteps = 1024;
  KnownTarget *Best = nullptr;
  double BestCost = 0;
  double BestFactor = 0;
  for (const Ref<KnownTarget> &Target : Service.Targets) {
    if (!mayServe(*Target, Rules) ||
        std::find(Tried.begin(), Tried.end(), Target.get()) != Tried.end())
      continue;
    if (Target->isCold(Now) &&
        (Rules.ColdInterval == Duration::max() ||
         !Target->mayStartColdRequest(Rules.ColdInterval, Now)))
      continue;
    const double Factor = expectedFactor(*Target, Now);
    double Cost = Factor * distanceFactor(Target->Info.NetworkDistance) *
                  (1 + ChoiceNoise * Random.below(NoiseSteps) / NoiseSteps);
    if (Target->late() > 0)
      Cost *= LateFactor;
    if (!Target->preferred())
      Cost *= NotPreferredFactor;
    if (Target->reach() == Reach::Suspect)
      Cost *= SuspectFactor;
    if (Best == nullptr || Cost < BestCost) {
      Best = Target.get();
      BestCost = Cost;
      BestFactor = Factor;
    }
  }
  if (Best != nullptr && Best->isCold(Now) &&
      !Best->tryStartColdRequest(Rules.ColdInterval, Now))
    return {};
  return {Best, Duration(static_cast<std::int64_t>(
                    BestFactor * static_cast<double>(Rules.Usual.count())))};
}

} // namespace balsamyard
