#pragma once

#include "balsamyard/src/Core/RefCounted.h"

#include <asio.hpp>
#include <cstddef>
#include <thread>
#include <vector>

namespace balsamyard::internal {

using Strand = asio::strand<asio::io_context::executor_type>;

/// \brief An event loop and the threads that run it.
///
/// Objects handed to users keep a reference, so that they may outlive the
/// server or client that made them. A queued task must not keep one: the queue
/// belongs to the loop, and the two would keep each other alive.
class IoThreads : public RefCounted<IoThreads> {
public:
  explicit IoThreads(std::size_t Count)
      : Work(asio::make_work_guard(this->Context)) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Threads.emplace_back([this] { this->Context.run(); });
  }

  Strand makeStrand() { return asio::make_strand(this->Context); }

  /// \brief Waits until every queued task and open operation has ended.
  void finish() {
    this->Work.reset();
    for (std::thread &Thread : this->Threads)
      Thread.join();
    this->Threads.clear();
  }

  asio::io_context Context;

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::vector<std::thread> Threads;
};

} // namespace balsamyard::internal
