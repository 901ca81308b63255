#include "balsamyard/src/Process/CrashWatch.h"

#include <utility>

namespace balsamyard {

namespace {

/// \returns whether the target lost all connections about when the attempt
/// broke.
bool isCrash(const BrokenAttempt &Attempt) {
  const Duration Apart = Attempt.Target->lostAt() - Attempt.At;
  return Apart <= CrashWatch::ConfirmTime && Apart >= -CrashWatch::ConfirmTime;
}

/// \returns an id of the incarnation: a target that crashes may start again
/// under its id, and crash again.
TargetId incarnationId(const TargetInfo &Info) {
  return {Info.Id.Text + "@" +
          std::to_string(Info.Started.time_since_epoch().count())};
}

} // namespace

void CrashWatch::add(RequestBroken Event, TimePoint Now) {
  if (this->Waiting.size() < MaxWaiting)
    this->Waiting.push_back({std::move(Event), Now + ConfirmTime});
}

std::vector<RequestCrashedTargets> CrashWatch::take(TimePoint Now) {
  std::vector<RequestCrashedTargets> Result;
  while (!this->Waiting.empty() && this->Waiting.front().DueAt <= Now) {
    const Entry Due = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    RequestCrashedTargets Found{Due.Event.Print, {}};
    for (const BrokenAttempt &Attempt : Due.Event.Attempts)
      if (isCrash(Attempt))
        Found.Targets.push_back(incarnationId(Attempt.Target->Info));
    if (!Found.Targets.empty())
      Result.push_back(std::move(Found));
  }
  return Result;
}

std::optional<TimePoint> CrashWatch::nextCheck() const {
  return this->Waiting.empty() ? std::nullopt
                               : std::optional(this->Waiting.front().DueAt);
}

} // namespace balsamyard
