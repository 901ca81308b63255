#pragma once

#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>

namespace balsamyard::test {

/// \brief What a process uses at one moment.
struct Usage {
  std::size_t ResidentBytes = 0;
  std::size_t SocketBytes = 0; ///< In the kernel, unsent or unread.
  std::size_t Descriptors = 0;

  std::size_t bytes() const { return this->ResidentBytes + this->SocketBytes; }
};

/// \brief Samples what another process uses, and keeps the peaks.
///
/// The buffers of its sockets are memory of its machine as well: on loopback
/// the kernel takes answers of several megabytes that nobody reads.
class ProcessUsage {
public:
  /// \p Address is the IPv4 address that only this process listens on.
  ProcessUsage(pid_t Process, const std::string &Address);
  ~ProcessUsage();

  /// \returns the peaks so far: of resident memory and socket buffers together,
  /// and of open descriptors.
  Usage peak() const;

private:
  static constexpr Duration Interval = std::chrono::milliseconds(20);

  Usage sample() const;
  void update();

  const pid_t Process;
  const std::string LocalAddress; ///< As in /proc/net/tcp.
  mutable std::mutex Mutex;
  Usage Peak;
  std::atomic<bool> Ended{false};
  std::thread Sampler;
};

} // namespace balsamyard::test
