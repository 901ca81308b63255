#include "balsamyard/src/Process/ObjectFeed.h"

#include <algorithm>
#include <utility>

namespace balsamyard {

void ObjectFeed::handle(FeedInput Input, FeedOutputs &Outputs) {
  std::visit([&](auto &Alternative) { this->on(Alternative, Outputs); }, Input);
}

void ObjectFeed::on(const FeedStarted &Input, FeedOutputs &Outputs) {
  if (!Input.Since) {
    this->restart(Outputs);
    return;
  }
  this->Watching = true;
  this->Since = *Input.Since;
  this->ChangedAt = *Input.Since;
  this->NextWatchDelay = this->WatchDelay;
  Outputs.push_back(WatchObjects{this->Since});
}

void ObjectFeed::restart(FeedOutputs &Outputs) {
  this->Watching = false;
  this->Pausing = false;
  this->Listed.clear();
  Outputs.push_back(ListObjects{});
}

void ObjectFeed::pause(Duration Time, FeedOutputs &Outputs) {
  this->Pausing = true;
  Outputs.push_back(StartFeedTimer{Time});
}

void ObjectFeed::onCallSucceeded(FeedOutputs &Outputs) {
  this->Backoff = MinBackoff;
  if (std::exchange(this->Disconnected, false))
    Outputs.push_back(FeedReconnected{});
}

void ObjectFeed::report(std::vector<ObjectChange> &Changes,
                        FeedOutputs &Outputs) {
  for (const ObjectChange &Change : Changes)
    // The revision of a removed object may be that of its last content.
    this->ChangedAt = std::max(
        this->ChangedAt, Change.Removed ? this->Since : Change.Object.Revision);
  Outputs.push_back(FeedChanged{std::move(Changes), this->Since});
}

void ObjectFeed::on(FeedPage &Input, FeedOutputs &Outputs) {
  // Later pages may be newer than the first one. Watching from the revision of
  // the first page may repeat changes, which is harmless, and misses none.
  if (this->Listed.empty())
    this->ListedAt = Input.AsOf;
  if (Input.AsOf.Era != this->ListedAt.Era) {
    this->restart(Outputs);
    return;
  }
  std::move(Input.Objects.begin(), Input.Objects.end(),
            std::back_inserter(this->Listed));
  if (Input.HasMore && !this->Listed.empty()) {
    Outputs.push_back(ListObjects{this->Listed.back().Name});
    return;
  }
  this->Watching = true;
  this->Since = this->ListedAt;
  this->ChangedAt = this->ListedAt;
  this->onCallSucceeded(Outputs);
  this->NextWatchDelay = this->WatchDelay;
  Outputs.push_back(
      FeedListed{std::exchange(this->Listed, {}), this->ListedAt});
  Outputs.push_back(WatchObjects{this->Since});
}

void ObjectFeed::on(FeedEvents &Input, FeedOutputs &Outputs) {
  // The watched revision was given out again, for another change.
  if (Input.AsOf.Era != this->Since.Era) {
    this->restart(Outputs);
    return;
  }
  const bool Quiet = Input.Changes.empty();
  const bool MoreExpected = Input.Changes.size() >= LargeBatch;
  const bool Advanced = Input.AsOf > this->Since;
  this->Since = std::max(this->Since, Input.AsOf);
  this->onCallSucceeded(Outputs);
  if (Advanced || !Quiet)
    this->report(Input.Changes, Outputs);
  if (Quiet)
    this->NextWatchDelay = this->WatchDelay;
  if (Quiet || MoreExpected || this->WatchDelay == Duration::zero()) {
    Outputs.push_back(WatchObjects{this->Since});
  } else {
    this->pause(this->NextWatchDelay, Outputs);
    // Poll less often while objects change continuously.
    this->NextWatchDelay =
        std::min(2 * this->NextWatchDelay, this->MaxWatchDelay);
  }
}

void ObjectFeed::on(FeedChecked &Input, FeedOutputs &Outputs) {
  // A list reads everything, and the watch may have been answered meanwhile.
  if (!this->isBehind(Input.AsOf))
    return;
  if (Input.AsOf.Era != this->Since.Era) {
    this->restart(Outputs);
    return;
  }
  this->Since = Input.AsOf;
  if (Input.Changes.empty())
    return;
  this->report(Input.Changes, Outputs);
  // The watch should have been answered with these changes. Its connection may
  // return nothing any more.
  if (!this->Pausing)
    Outputs.push_back(WatchObjects{this->Since});
}

void ObjectFeed::on(const FeedHistoryExpired &, FeedOutputs &Outputs) {
  this->restart(Outputs);
}

void ObjectFeed::on(FeedCallFailed &Input, FeedOutputs &Outputs) {
  if (!std::exchange(this->Disconnected, true))
    Outputs.push_back(FeedDisconnected{std::move(Input.Cause)});
  this->pause(this->Backoff, Outputs);
  this->Backoff = std::min(2 * this->Backoff, MaxBackoff);
}

void ObjectFeed::on(const FeedTimerExpired &, FeedOutputs &Outputs) {
  this->Pausing = false;
  if (this->Watching)
    Outputs.push_back(WatchObjects{this->Since});
  else
    this->restart(Outputs);
}

} // namespace balsamyard
