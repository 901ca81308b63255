#pragma once

#include <chrono>

namespace balsamyard {

/// \brief Monotonic clock used for deadlines and latencies.
using Clock = std::chrono::steady_clock;

/// \brief Resolution of every deadline, timeout and latency.
using Duration = std::chrono::microseconds;

/// \brief A point on the monotonic clock.
using TimePoint = std::chrono::time_point<Clock, Duration>;

/// \brief A point on the system clock, for values that are exchanged between
/// processes.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// \returns the current monotonic time.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(Clock::now());
}

/// \returns the current system time.
inline WallTime wallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

} // namespace balsamyard
