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
/// In contrast to the library's own pool it says how many connections wait and
/// how long each one waited, because that time counts against the deadline of
/// its first request.
class CallerPool : public httplib::TaskQueue {
public:
  explicit CallerPool(std::uint32_t Threads);

  void enqueue(std::function<void()> Serve) override;
  void shutdown() override;

  /// \returns the number of connections that no thread serves yet.
  std::size_t waiting() const;

  /// \returns when the connection that this thread serves was accepted, once
  /// per connection; nothing for later requests on it.
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
