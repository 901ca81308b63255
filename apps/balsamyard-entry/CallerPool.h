#pragma once

#include "balsamyard/Core"

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace balsamyard::entry {

/// \brief Threads that serve caller connections. It implements the task queue
/// interface of cpp-httplib.
///
/// Unlike the pool of the library, it reports how many connections are queued
/// and when each one was accepted, because the time in the queue counts against
/// the deadline of the first request.
class CallerPool : public httplib::TaskQueue {
public:
  explicit CallerPool(std::uint32_t Threads);

  void enqueue(std::function<void()> Serve) override;
  void shutdown() override;

  /// \returns the number of connections that are queued for a thread.
  std::size_t queued() const;

  /// \returns when the connection that the calling thread serves was accepted.
  /// Only the first call for a connection returns a time.
  static std::optional<TimePoint> takeAcceptTime();

private:
  struct Connection {
    std::function<void()> Serve;
    TimePoint Accepted{};
  };

  void serve();

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Connection> Queue;
  bool Ending = false;
  std::vector<std::thread> Threads;
};

} // namespace balsamyard::entry
