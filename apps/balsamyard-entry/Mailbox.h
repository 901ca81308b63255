#pragma once

#include "balsamyard/Core"

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace balsamyard::entry {

/// \brief Queue that passes the events of one request from the Asio threads to
/// the thread that runs the request.
///
/// The handlers of calls hold references to it. Messages that arrive after the
/// request has ended are dropped, because the mailbox is closed then.
template <typename Message>
class Mailbox : public RefCounted<Mailbox<Message>> {
public:
  void put(Message Arrived) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Closed)
        return;
      this->Messages.push_back(std::move(Arrived));
    }
    this->Changed.notify_one();
  }

  /// \brief Waits for a message, at most until \p Until, and replaces the
  /// contents of \p Out by all queued messages.
  void take(TimePoint Until, std::vector<Message> &Out) {
    Out.clear();
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Changed.wait_until(Lock, Until,
                             [&] { return !this->Messages.empty(); });
    std::swap(Out, this->Messages);
  }

  void close() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Closed = true;
    this->Messages.clear();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<Message> Messages;
  bool Closed = false;
};

} // namespace balsamyard::entry
