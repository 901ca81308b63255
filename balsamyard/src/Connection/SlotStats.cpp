#include "balsamyard/src/Connection/SlotStats.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// Weight of a new observation in a moving average, as a divisor.
constexpr std::int64_t AverageDivisor = 8;

std::int64_t toMicros(TimePoint At) { return At.time_since_epoch().count(); }

} // namespace

void SlotStats::observe(Duration Latency, TimePoint Now) {
  const std::int64_t Previous = this->latency(Now).count();
  const std::int64_t Sample = std::max<std::int64_t>(Latency.count(), 1);
  const std::int64_t Idle =
      toMicros(Now) - this->ObservedAtMicros.load(std::memory_order_relaxed);
  // An average that has decayed without observations is unreliable, so the
  // first answers after a pause have more weight.
  std::int64_t Divisor = AverageDivisor;
  if (Previous == 0 || Idle >= 3 * HalfLife.count())
    Divisor = 1;
  else if (Idle >= HalfLife.count())
    Divisor = 2;
  this->AverageMicros.store(
      std::max<std::int64_t>(Previous + (Sample - Previous) / Divisor, 1),
      std::memory_order_relaxed);
  this->ObservedAtMicros.store(toMicros(Now), std::memory_order_relaxed);
}

void SlotStats::observeFailure(TimePoint Now) {
  this->observe(std::clamp(FailureFactor * this->latency(Now), MinFailureTime,
                           MaxFailureTime),
                Now);
}

void SlotStats::observeUnanswered(Duration Age, TimePoint Now) {
  if (Age > this->latency(Now))
    this->observeFailure(Now);
}

Duration SlotStats::latency(TimePoint Now) const {
  const std::int64_t Average =
      this->AverageMicros.load(std::memory_order_relaxed);
  const std::int64_t Idle =
      toMicros(Now) - this->ObservedAtMicros.load(std::memory_order_relaxed);
  if (Average == 0 || Idle <= 0)
    return Duration(Average);
  const std::int64_t Halvings = Idle / HalfLife.count();
  if (Halvings >= 32)
    return Duration(1);
  // Linear interpolation between two halvings avoids exp2() on the path of a
  // request.
  const std::int64_t Floor = Average >> Halvings;
  const std::int64_t Rest = Idle % HalfLife.count();
  return Duration(
      std::max<std::int64_t>(Floor - Floor * Rest / (2 * HalfLife.count()), 1));
}

void HolderStats::observeFailure(TimePoint Now) {
  this->AvoidUntilMicros.store(toMicros(Now + AvoidTime),
                               std::memory_order_relaxed);
}

bool HolderStats::avoided(TimePoint Now) const {
  return toMicros(Now) < this->AvoidUntilMicros.load(std::memory_order_relaxed);
}

void ServiceStats::ended(Duration MedianLeafTime,
                         std::uint32_t InFlightAtStart) {
  this->InFlight.fetch_sub(1, std::memory_order_relaxed);
  const std::int64_t Previous =
      this->MedianLeafTimeMicros.load(std::memory_order_relaxed);
  this->MedianLeafTimeMicros.store(
      Previous == 0
          ? MedianLeafTime.count()
          : Previous + (MedianLeafTime.count() - Previous) / AverageDivisor,
      std::memory_order_relaxed);
  const double Average = this->AverageInFlight.load(std::memory_order_relaxed);
  this->AverageInFlight.store(Average +
                                  (InFlightAtStart - Average) / AverageDivisor,
                              std::memory_order_relaxed);
}

Duration ServiceStats::medianLeafTime() const {
  return Duration(this->MedianLeafTimeMicros.load(std::memory_order_relaxed));
}

double ServiceStats::averageInFlight() const {
  return this->AverageInFlight.load(std::memory_order_relaxed);
}

void StatsTable::beginVersion() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->CurrentVersion;
  auto IsOld = [&](const auto &Item) {
    return Item.second.LastUsedVersion + KeptVersions < this->CurrentVersion;
  };
  std::erase_if(this->Slots, IsOld);
  std::erase_if(this->Holders, IsOld);
  std::erase_if(this->Services, IsOld);
}

template <typename Key, typename Stats>
Ref<Stats> StatsTable::find(std::map<Key, Entry<Stats>> &Table,
                            const Key &Name) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Entry<Stats> &Found = Table[Name];
  if (!Found.Object)
    Found.Object = makeRef<Stats>();
  Found.LastUsedVersion = this->CurrentVersion;
  return Found.Object;
}

Ref<SlotStats> StatsTable::slot(const SlotKey &Key, const VersionName &Version,
                                const Endpoint &Address) {
  return this->find(this->Slots, SlotIdentity{Key, Version, Address});
}

Ref<HolderStats> StatsTable::holder(const NodeName &Node) {
  return this->find(this->Holders, Node);
}

Ref<ServiceStats> StatsTable::service(const ServiceName &Service) {
  return this->find(this->Services, Service);
}

std::size_t StatsTable::size() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Slots.size() + this->Holders.size() + this->Services.size();
}

} // namespace balsamyard
