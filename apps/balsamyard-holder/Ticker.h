#pragma once

#include "balsamyard/Core"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace balsamyard::holder {

/// \brief Calls a function periodically on its own thread until it is
/// destroyed.
class Ticker {
public:
  Ticker(Duration Period, std::function<void()> Task);
  ~Ticker();

private:
  void run();

  const Duration Period;
  const std::function<void()> Task;
  std::mutex Mutex;
  std::condition_variable Woken;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace balsamyard::holder
