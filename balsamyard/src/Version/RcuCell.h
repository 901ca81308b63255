#pragma once

#include "balsamyard/src/Core/RefCounted.h"

#include <atomic>
#include <mutex>

namespace balsamyard {

namespace internal {

/// \brief Enters a read-side critical section; registers the thread on first
/// use and unregisters it when the thread ends.
void rcuReadLock();
void rcuReadUnlock();

/// \brief Blocks until all current readers have left their critical sections.
void rcuWaitForReaders();

} // namespace internal

/// \brief The newest version of an immutable object, read without a lock.
///
/// A reader is in a read-side critical section only while it takes a reference.
/// A request may therefore keep its version without delaying a publisher.
///
/// \code
/// RcuCell<RoutingView> Cell(makeRef<const RoutingView>());
/// Ref<const RoutingView> View = Cell.read();
/// Cell.publish(makeRef<const RoutingView>(NextView));
/// \endcode
template <typename T> class RcuCell {
public:
  explicit RcuCell(Ref<const T> First) : Current(First.detach()) {}

  RcuCell(const RcuCell &) = delete;
  RcuCell &operator=(const RcuCell &) = delete;

  ~RcuCell() { release(this->Current.load()); }

  /// \returns a reference to the newest version.
  Ref<const T> read() const {
    internal::rcuReadLock();
    Ref<const T> Result(this->Current.load(std::memory_order_acquire));
    internal::rcuReadUnlock();
    return Result;
  }

  /// \brief Replaces the version and waits until no reader can still be taking
  /// a reference to the previous one.
  void publish(Ref<const T> Next) {
    std::lock_guard<std::mutex> Lock(this->PublishMutex);
    const T *Previous = this->Current.exchange(Next.detach());
    internal::rcuWaitForReaders();
    release(Previous);
  }

private:
  /// \brief Drops the reference that the cell holds.
  static void release(const T *Object) { Ref<const T> Last(Object, false); }

  std::atomic<const T *> Current;
  std::mutex PublishMutex;
};

} // namespace balsamyard
