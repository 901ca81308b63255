#include "apps/balsamyard-entry/CallerPool.h"

namespace balsamyard::entry {

namespace {

thread_local std::optional<TimePoint> AcceptTime;

} // namespace

CallerPool::CallerPool(std::uint32_t Threads) {
  this->Threads.reserve(Threads);
  for (std::uint32_t Thread = 0; Thread < Threads; ++Thread)
    this->Threads.emplace_back([this] { this->serve(); });
}

void CallerPool::enqueue(std::function<void()> Serve) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Queue.push_back({std::move(Serve), steadyNow()});
  }
  this->Changed.notify_one();
}

void CallerPool::shutdown() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Ending = true;
  }
  this->Changed.notify_all();
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
}

std::size_t CallerPool::queued() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Queue.size();
}

std::optional<TimePoint> CallerPool::takeAcceptTime() {
  return std::exchange(AcceptTime, std::nullopt);
}

void CallerPool::serve() {
  for (;;) {
    Connection Next;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->Changed.wait(Lock,
                         [&] { return !this->Queue.empty() || this->Ending; });
      if (this->Queue.empty())
        return;
      Next = std::move(this->Queue.front());
      this->Queue.pop_front();
    }
    AcceptTime = Next.Accepted;
    Next.Serve();
  }
}

} // namespace balsamyard::entry
