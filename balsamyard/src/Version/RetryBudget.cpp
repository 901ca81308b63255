#include "balsamyard/src/Version/RetryBudget.h"

namespace balsamyard {

std::int64_t RetryBudget::epochOf(TimePoint Now, Duration Window) {
  return Now.time_since_epoch().count() / (Window.count() / BucketsPerWindow);
}

RetryBudget::Bucket &RetryBudget::bucket(std::int64_t Epoch) {
  Bucket &Entry = this->Buckets[static_cast<std::size_t>(Epoch) % BucketCount];
  std::int64_t Former = Entry.Epoch.load(std::memory_order_relaxed);
  if (Former != Epoch && Entry.Epoch.compare_exchange_strong(
                             Former, Epoch, std::memory_order_relaxed)) {
    Entry.Requests.store(0, std::memory_order_relaxed);
    Entry.Extras.store(0, std::memory_order_relaxed);
  }
  return Entry;
}

void RetryBudget::countRequest(TimePoint Now) {
  const Duration Window(this->WindowMicros.load(std::memory_order_relaxed));
  this->bucket(epochOf(Now, Window))
      .Requests.fetch_add(1, std::memory_order_relaxed);
}

double RetryBudget::left(const RetryBounds &Bounds, TimePoint Now) const {
  const std::int64_t Epoch = epochOf(Now, Bounds.Window);
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
  for (const Bucket &Entry : this->Buckets) {
    const std::int64_t Age =
        Epoch - Entry.Epoch.load(std::memory_order_relaxed);
    // Includes the oldest bucket, because a part of it lies in the window.
    if (Age >= 0 && Age <= BucketsPerWindow)
      Extras += Entry.Extras.load(std::memory_order_relaxed);
    // Excludes the oldest bucket, because a part of it lies outside the window.
    if (Age >= 0 && Age < BucketsPerWindow)
      Requests += Entry.Requests.load(std::memory_order_relaxed);
  }
  return Bounds.Ratio * static_cast<double>(Requests) + Bounds.Slack -
         static_cast<double>(Extras);
}

bool RetryBudget::trySpend(const RetryBounds &Bounds, TimePoint Now) {
  this->WindowMicros.store(Bounds.Window.count(), std::memory_order_relaxed);
  if (this->left(Bounds, Now) < 1)
    return false;
  this->bucket(epochOf(Now, Bounds.Window))
      .Extras.fetch_add(1, std::memory_order_relaxed);
  return true;
}

} // namespace balsamyard
