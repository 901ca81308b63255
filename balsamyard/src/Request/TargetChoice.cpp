#include "balsamyard/src/Request/TargetChoice.h"

#include <algorithm>

namespace balsamyard {

namespace {

/// Relative random noise added to each cost, so that processes with the same
/// observations do not all choose the same target.
constexpr double ChoiceNoise = 0.1;

double distanceFactor(Distance TargetDistance) {
  switch (TargetDistance) {
  case Distance::SameDomain:
    return 1;
  case Distance::SameRegion:
    return SameRegionFactor;
  case Distance::OtherRegion:
    return OtherRegionFactor;
  }
  return 1;
}

/// \returns the expected latency as a multiple of the median latency.
double relativeLatency(const KnownTarget &Target, TimePoint Now) {
  const double Busy =
      std::max<double>(Target.inFlight(), Target.reportedLoad(Now)) /
      std::max<std::uint32_t>(Target.Info.Slots, 1);
  // While at most half of the slots are in use, requests seldom wait.
  return Target.slowness(Now) * (1 + std::max(0.0, Busy - 0.5));
}

bool isEligible(const KnownTarget &Target, const TargetCriteria &Criteria,
                TimePoint Now) {
  if (Target.adminState() != AdminState::Serving || Target.isDeparting() ||
      Target.isPaused(Now) || Target.reach() == Reach::Down)
    return false;
  if (Criteria.MoveVersion != nullptr &&
      (Target.Info.Version == *Criteria.MoveVersion) != Criteria.UseMoveVersion)
    return false;
  return Criteria.Regions == nullptr || Criteria.Regions->empty() ||
         std::find(Criteria.Regions->begin(), Criteria.Regions->end(),
                   Target.Info.Region) != Criteria.Regions->end();
}

/// \returns whether a request may be sent to \p Target, as far as its request
/// limit is concerned.
bool hasTurn(KnownTarget &Target, const TargetCriteria &Criteria, TimePoint Now,
             RandomGenerator &Random) {
  constexpr std::uint32_t PhaseSteps = 1U << 20;
  const std::optional<double> Limit = Target.requestLimit();
  if (!Limit)
    return true;
  return Criteria.View != nullptr &&
         Target.hasLimitedTurn(
             Criteria.View->limitedRequestInterval(Target, *Limit),
             static_cast<double>(Random.below(PhaseSteps)) / PhaseSteps, Now);
}

} // namespace

bool claimTurn(KnownTarget &Target, const FleetView &View, TimePoint Now) {
  const std::optional<double> Limit = Target.requestLimit();
  return !Limit || Target.tryTakeLimitedTurn(
                       View.limitedRequestInterval(Target, *Limit), Now);
}

TargetChoice chooseTarget(const ServiceEntry &Service,
                          const TargetCriteria &Criteria,
                          const std::vector<const KnownTarget *> &Tried,
                          TimePoint Now, RandomGenerator &Random) {
  constexpr std::uint32_t NoiseSteps = 1024;
  KnownTarget *Best = nullptr;
  double BestCost = 0;
  double BestFactor = 0;
  bool SawLimited = false;
  for (const Ref<KnownTarget> &Target : Service.Targets) {
    if (!isEligible(*Target, Criteria, Now) ||
        std::find(Tried.begin(), Tried.end(), Target.get()) != Tried.end())
      continue;
    if (Target->isCold(Now) &&
        (Criteria.ColdInterval == Duration::max() ||
         !Target->mayStartColdRequest(Criteria.ColdInterval, Now)))
      continue;
    if (!hasTurn(*Target, Criteria, Now, Random)) {
      SawLimited = true;
      continue;
    }
    const double Factor = relativeLatency(*Target, Now);
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
      !Best->tryStartColdRequest(Criteria.ColdInterval, Now))
    return {};
  return {
      Best,
      Duration(static_cast<std::int64_t>(
          BestFactor * static_cast<double>(Criteria.MedianLatency.count()))),
      SawLimited};
}

} // namespace balsamyard
