#include "balsamyard/src/Process/StoreProbe.h"

#include <algorithm>

namespace balsamyard {

Duration StoreProbe::nextPause() {
  // Between half of the pause and the whole of it.
  const std::int64_t Half = this->Pause.count() / 2;
  const Duration Result(
      Half + this->Random.below(static_cast<std::uint32_t>(Half) + 1));
  this->Pause = std::min(2 * this->Pause, MaxPause);
  return Result;
}

std::optional<Duration> StoreProbe::callFailed(TimePoint Now) {
  if (this->LostAt)
    return std::nullopt;
  this->LostAt = Now;
  if (!this->Regained || Now - *this->Regained >= StableTime)
    this->Pause = MinPause;
  return this->nextPause();
}

Duration StoreProbe::probeFailed() { return this->nextPause(); }

void StoreProbe::probeSucceeded(TimePoint Now) {
  if (this->LostAt && Now - *this->LostAt >= MinOutage)
    this->ReturnedAt = Now;
  this->LostAt.reset();
  this->Regained = Now;
}

} // namespace balsamyard
