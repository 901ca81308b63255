#include "apps/balsamyard-holder/Ticker.h"

namespace balsamyard::holder {

Ticker::Ticker(Duration Period, std::function<void()> Task)
    : Period(Period), Task(std::move(Task)), Thread([this] { this->run(); }) {}

Ticker::~Ticker() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Woken.notify_all();
  this->Thread.join();
}

void Ticker::run() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Woken.wait_for(Lock, this->Period,
                               [this] { return this->Stopping; })) {
    Lock.unlock();
    this->Task();
    Lock.lock();
  }
}

} // namespace balsamyard::holder
