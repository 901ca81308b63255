#pragma once

#include "balsamyard/Core"

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace balsamyard::entry {

/// \brief Carries what arrives for one request from the Asio threads to the
/// thread that runs the request.
///
/// Handlers of calls keep a reference, so something that arrives after the
/// request has ended finds a closed mailbox and is dropped.
template <typename Letter> class Mailbox : public RefCounted<Mailbox<Letter>> {
public:
  void put(Letter Arrived) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Closed)
        return;
      this->Letters.push_back(std::move(Arrived));
    }
    this->Changed.notify_one();
  }

  /// \brief Waits until something is here or \p Until, and moves all of it to
  /// \p Out, which it clears first.
  void take(TimePoint Until, std::vector<Letter> &Out) {
    Out.clear();
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Changed.wait_until(Lock, Until,
                             [&] { return !this->Letters.empty(); });
    std::swap(Out, this->Letters);
  }

  void close() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Closed = true;
    this->Letters.clear();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<Letter> Letters;
  bool Closed = false;
};

} // namespace balsamyard::entry
