#include "balsamyard/src/Version/KnownTarget.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

std::int64_t toMicros(TimePoint Time) {
  return Time.time_since_epoch().count();
}

} // namespace

void KnownTarget::inheritStatements(const KnownTarget &Former) {
  if (Former.isDeparting())
    this->noteDeparture();
  this->PausedUntilMicros.store(
      Former.PausedUntilMicros.load(std::memory_order_relaxed),
      std::memory_order_relaxed);
  this->RequestLimit.store(Former.RequestLimit.load(std::memory_order_relaxed),
                           std::memory_order_relaxed);
}

void KnownTarget::pauseUntil(TimePoint Until) {
  std::int64_t Former = this->PausedUntilMicros.load(std::memory_order_relaxed);
  while (Former < toMicros(Until) &&
         !this->PausedUntilMicros.compare_exchange_weak(
             Former, toMicros(Until), std::memory_order_relaxed))
    ;
}

bool KnownTarget::mayStartColdRequest(Duration Interval, TimePoint Now) const {
  return toMicros(Now) - this->LastColdMicros.load(std::memory_order_relaxed) >=
         Interval.count();
}

bool KnownTarget::tryStartColdRequest(Duration Interval, TimePoint Now) {
  std::int64_t Former = this->LastColdMicros.load(std::memory_order_relaxed);
  return toMicros(Now) - Former >= Interval.count() &&
         this->LastColdMicros.compare_exchange_strong(
             Former, toMicros(Now), std::memory_order_relaxed);
}

double KnownTarget::slowness(TimePoint Now) const {
  const double Observed = this->observedSlowness(Now);
  const std::int64_t Reported =
      this->ReportedSlowMicros.load(std::memory_order_relaxed);
  const bool ReportCounts =
      toMicros(Now) - Reported < ReportLifetime.count() &&
      Reported > this->ObservedAtMicros.load(std::memory_order_relaxed);
  return ReportCounts ? std::max(Observed, ReportedSlowness) : Observed;
}

double KnownTarget::observedSlowness(TimePoint Now) const {
  const double Excess = this->Slowness.load(std::memory_order_relaxed) - 1;
  const double Idle = static_cast<double>(
      toMicros(Now) - this->ObservedAtMicros.load(std::memory_order_relaxed));
  if (Excess <= 0)
    return 1 + Excess;
  return 1 + Excess * std::exp2(-Idle / static_cast<double>(HalfLife.count()));
}

void KnownTarget::addSlowness(double Value, TimePoint Now) {
  const double Former = this->observedSlowness(Now);
  this->Slowness.store(Former + ObservationWeight * (Value - Former),
                       std::memory_order_relaxed);
  this->ObservedAtMicros.store(toMicros(Now), std::memory_order_relaxed);
}

void KnownTarget::observe(Duration Latency, Duration Usual, TimePoint Now) {
  const double Ratio =
      static_cast<double>(Latency.count()) /
      static_cast<double>(std::max<std::int64_t>(Usual.count(), 1));
  this->addSlowness(std::min(Ratio, MaxSlowness), Now);
  if (Ratio >= ReportedSlowness)
    this->noteSlow(Now);
}

void KnownTarget::observeFailure(TimePoint Now) {
  this->addSlowness(MaxSlowness, Now);
  this->noteSlow(Now);
}

bool KnownTarget::setRequestLimit(std::optional<double> PerSecond,
                                  TimePoint Now) {
  if (!PerSecond) {
    const bool Ended = this->dropRequestLimit();
    if (Ended)
      this->LimitEndedMicros.store(toMicros(Now), std::memory_order_relaxed);
    return Ended;
  }
  const double Former =
      this->RequestLimit.exchange(*PerSecond, std::memory_order_relaxed);
  return Former < 0;
}

bool KnownTarget::dropRequestLimit() {
  const double Former =
      this->RequestLimit.exchange(NoRequestLimit, std::memory_order_relaxed);
  if (Former < 0)
    return false;
  this->NextTurnMicros.store(NoTurn, std::memory_order_relaxed);
  return true;
}

bool KnownTarget::isTurn(std::int64_t TurnMicros, TimePoint Now) const {
  const std::int64_t Age = toMicros(Now) - TurnMicros;
  return TurnMicros != NoTurn && Age >= 0 && Age < TurnLifetime.count();
}

bool KnownTarget::hasLimitedTurn(Duration Interval, double Phase,
                                 TimePoint Now) {
  if (Interval == Duration::max())
    return false;
  std::int64_t Turn = this->NextTurnMicros.load(std::memory_order_relaxed);
  const bool Scheduled =
      Turn != NoTurn && toMicros(Now) - Turn < TurnLifetime.count();
  if (!Scheduled) {
    const auto Wait = static_cast<std::int64_t>(
        Phase * static_cast<double>(Interval.count()));
    const std::int64_t Next = toMicros(Now) + Wait;
    // Another thread that was first has chosen as well.
    if (this->NextTurnMicros.compare_exchange_strong(Turn, Next,
                                                     std::memory_order_relaxed))
      Turn = Next;
  }
  return this->isTurn(Turn, Now);
}

bool KnownTarget::tryTakeLimitedTurn(Duration Interval, TimePoint Now) {
  std::int64_t Turn = this->NextTurnMicros.load(std::memory_order_relaxed);
  return this->isTurn(Turn, Now) &&
         this->NextTurnMicros.compare_exchange_strong(
             Turn, toMicros(Now + Interval), std::memory_order_relaxed);
}

void KnownTarget::reportLoad(std::uint32_t Running, std::uint32_t Waiting,
                             TimePoint Now) {
  this->ReportedLoad.store(Running + Waiting, std::memory_order_relaxed);
  this->ReportedAtMicros.store(toMicros(Now), std::memory_order_relaxed);
}

double KnownTarget::reportedLoad(TimePoint Now) const {
  const std::int64_t Age =
      toMicros(Now) - this->ReportedAtMicros.load(std::memory_order_relaxed);
  if (Age >= LoadLifetime.count())
    return 0;
  return this->ReportedLoad.load(std::memory_order_relaxed) *
         (1 -
          static_cast<double>(Age) / static_cast<double>(LoadLifetime.count()));
}

} // namespace balsamyard
