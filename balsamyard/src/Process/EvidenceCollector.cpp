#include "balsamyard/src/Process/EvidenceCollector.h"

#include <algorithm>

namespace balsamyard {

bool RouteLatency::update(Duration Latency) {
  const bool Slow = this->isSlow(Latency);
  const std::int64_t Value = std::max<std::int64_t>(Latency.count(), 1);
  const std::int64_t Mean =
      this->MeanMicroseconds.load(std::memory_order_relaxed);
  // Concurrent updates may overwrite each other, which only slows down the
  // exponential moving average. It adapts within about 256 answers.
  const std::int64_t Next = Mean == 0 ? Value : Mean + (Value - Mean) / 256;
  this->MeanMicroseconds.store(std::max<std::int64_t>(Next, 1),
                               std::memory_order_relaxed);
  return Slow;
}

bool RouteLatency::isSlow(Duration Latency) const {
  const std::int64_t Mean =
      this->MeanMicroseconds.load(std::memory_order_relaxed);
  return Mean != 0 && Latency > MinSlow &&
         static_cast<double>(Latency.count()) >
             SlowFactor * static_cast<double>(Mean);
}

void EvidenceCounter::countSuccess(Duration Latency) {
  this->Requests.fetch_add(1, std::memory_order_relaxed);
  if (this->Baseline->update(Latency))
    this->Slow.fetch_add(1, std::memory_order_relaxed);
}

void EvidenceCounter::countError() {
  this->Requests.fetch_add(1, std::memory_order_relaxed);
  this->Errors.fetch_add(1, std::memory_order_relaxed);
}

void EvidenceCounter::countSlow() {
  this->Requests.fetch_add(1, std::memory_order_relaxed);
  this->Slow.fetch_add(1, std::memory_order_relaxed);
}

void EvidenceCounter::countCancelled(Duration Waited) {
  if (this->Baseline->isSlow(Waited))
    this->countSlow();
}

Ref<EvidenceCounter> EvidenceCollector::counter(const ServiceName &Service,
                                                const RouteName &Route,
                                                const VersionName &Version) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Ref<EvidenceCounter> &Entry = this->Counters[{Service, Route, Version}];
  if (!Entry) {
    Ref<RouteLatency> &Baseline = this->Baselines[{Service, Route}];
    if (!Baseline)
      Baseline = makeRef<RouteLatency>();
    Entry = makeRef<EvidenceCounter>(Baseline);
  }
  return Entry;
}

std::vector<Evidence> EvidenceCollector::read() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<Evidence> Result;
  for (const auto &[Name, Counter] : this->Counters) {
    const auto &[Service, Route, Version] = Name;
    Evidence Counts;
    Counts.From = this->Node;
    Counts.Incarnation = this->Incarnation;
    Counts.Service = Service;
    Counts.Route = Route;
    Counts.Version = Version;
    // Errors and slow answers are read first, so that neither exceeds the
    // number of requests.
    Counts.Errors = Counter->Errors.load();
    Counts.Slow = Counter->Slow.load();
    Counts.Requests = Counter->Requests.load();
    Result.push_back(std::move(Counts));
  }
  return Result;
}

} // namespace balsamyard
