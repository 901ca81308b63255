#include "balsamyard/src/Connection/StoreCallQueue.h"

#include <utility>

namespace balsamyard {

void StoreCallQueue::call(std::string Message, StoreChannel::Handler Done) {
  if (this->Calls.size() >= MaxQueued) {
    Done(fail(Code::PlatformUnavailable, "the queue of store calls is full"));
    return;
  }
  this->Calls.push_back({std::move(Message), std::move(Done)});
  if (this->Calls.size() == 1)
    this->sendFirst();
}

void StoreCallQueue::sendFirst() {
  this->Channel.call(this->Calls.front().Message, StoreChannel::CallTimeout,
                     [this](Expected<HttpResponse> Result) {
                       const QueuedCall Ended = std::move(this->Calls.front());
                       this->Calls.pop_front();
                       if (!this->Calls.empty())
                         this->sendFirst();
                       Ended.Done(std::move(Result));
                     });
}

bool hasSuccessStatus(const Expected<HttpResponse> &Result) {
  return Result && Result->Status / 100 == 2;
}

std::string describeResult(const Expected<HttpResponse> &Result) {
  return Result ? "status " + std::to_string(Result->Status)
                : Result.error().Detail;
}

} // namespace balsamyard
