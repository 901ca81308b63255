#include "balsamyard/src/Process/ObjectFeed.h"

#include <algorithm>
#include <utility>

namespace balsamyard {

void ObjectFeed::handle(FeedInput Input, FeedOutputs &Outputs) {
  std::visit([&](auto &Alternative) { this->on(Alternative, Outputs); }, Input);
}

void ObjectFeed::on(const FeedStarted &, FeedOutputs &Outputs) {
  this->restart(Outputs);
}

void ObjectFeed::restart(FeedOutputs &Outputs) {
  this->Watching = false;
  this->Listed.clear();
  Outputs.push_back(CallList{});
}

void ObjectFeed::succeeded(FeedOutputs &Outputs) {
  this->Pause = MinPause;
  if (std::exchange(this->Lost, false))
    Outputs.push_back(FeedRegained{});
}

void ObjectFeed::on(FeedPage &Input, FeedOutputs &Outputs) {
  // Later pages may be newer than the first one; watching from the first
  // page's revision repeats changes, which does no harm, and misses none.
  if (this->Listed.empty())
    this->ListedAt = Input.AsOf;
  std::move(Input.Objects.begin(), Input.Objects.end(),
            std::back_inserter(this->Listed));
  if (Input.HasMore && !this->Listed.empty()) {
    Outputs.push_back(CallList{this->Listed.back().Name});
    return;
  }
  this->Watching = true;
  this->Since = this->ListedAt;
  this->succeeded(Outputs);
  this->NextEventPause = this->EventPause;
  Outputs.push_back(FeedListed{std::exchange(this->Listed, {})});
  Outputs.push_back(CallWatch{this->Since});
}

void ObjectFeed::on(FeedEvents &Input, FeedOutputs &Outputs) {
  this->Since = std::max(this->Since, Input.AsOf);
  this->succeeded(Outputs);
  if (Input.Changes.empty() || this->EventPause == Duration::zero()) {
    this->NextEventPause = this->EventPause;
    Outputs.push_back(CallWatch{this->Since});
  } else {
    Outputs.push_back(WakeFeed{this->NextEventPause});
    // A store that is busy with changes is asked less and less often.
    this->NextEventPause = std::min(2 * this->NextEventPause, MaxEventPause);
  }
  if (!Input.Changes.empty())
    Outputs.push_back(FeedChanged{std::move(Input.Changes)});
}

void ObjectFeed::on(const FeedHistoryGone &, FeedOutputs &Outputs) {
  this->restart(Outputs);
}

void ObjectFeed::on(FeedCallFailed &Input, FeedOutputs &Outputs) {
  if (!std::exchange(this->Lost, true))
    Outputs.push_back(FeedLost{std::move(Input.Why)});
  Outputs.push_back(WakeFeed{this->Pause});
  this->Pause = std::min(2 * this->Pause, MaxPause);
}

void ObjectFeed::on(const FeedTimeReached &, FeedOutputs &Outputs) {
  if (this->Watching)
    Outputs.push_back(CallWatch{this->Since});
  else
    this->restart(Outputs);
}

} // namespace balsamyard
