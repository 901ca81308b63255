#include "balsamyard/src/Process/TargetReports.h"

#include <algorithm>

namespace balsamyard {

void TargetReports::add(const TargetId &Target, TimePoint Now) {
  if (this->Waiting.size() >= MaxWaiting)
    return;
  const auto [It, Inserted] = this->AddedAt.try_emplace(Target, Now);
  if (!Inserted && Now - It->second < RepeatInterval)
    return;
  It->second = Now;
  this->Waiting.push_back(Target);
}

std::vector<TargetId> TargetReports::take(TimePoint Now) {
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(this->Waiting.size(), MaxBatch));
  std::vector<TargetId> Result(this->Waiting.begin(),
                               this->Waiting.begin() + Count);
  this->Waiting.erase(this->Waiting.begin(), this->Waiting.begin() + Count);
  std::erase_if(this->AddedAt, [Now](const auto &Item) {
    return Now - Item.second >= RepeatInterval;
  });
  return Result;
}

} // namespace balsamyard
