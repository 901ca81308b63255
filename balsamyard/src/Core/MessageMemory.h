#pragma once

#include "balsamyard/src/Core/RefCounted.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsamyard {

/// \brief Limits the memory of messages of a process together: those that are
/// read or held, and those that wait to be sent.
///
/// Each connection has a limit of its own, but a process has thousands of them.
/// A message may grow only while as much as its whole length stays free, so the
/// largest ones end first and the others still find room. One whose length is
/// not known in advance, which may have no end, needs three times its size, and
/// leaves a quarter of the memory to the others.
class MessageMemory {
public:
  /// Smaller messages are not counted. They need about as much as the buffers
  /// of their connections.
  static constexpr std::size_t UncountedBytes = 4UL * 1024;

  explicit MessageMemory(std::size_t Capacity) : Capacity(Capacity) {}

  /// \returns the bytes of the counted messages.
  std::size_t used() const {
    return this->Used.load(std::memory_order_relaxed);
  }

  /// \returns whether so much is used that those who hold memory without need
  /// should give it back.
  bool isScarce() const { return this->used() > this->Capacity / 2; }

  /// \returns how many messages were not allowed to grow so far.
  std::uint64_t refusals() const {
    return this->Refusals.load(std::memory_order_relaxed);
  }

private:
  friend class MessageShare;

  /// \brief Lets a message grow from \p Held to \p Wanted bytes if \p Reserve
  /// bytes stay free.
  bool grow(std::size_t Held, std::size_t Wanted, std::size_t Reserve);

  const std::size_t Capacity;
  std::atomic<std::size_t> Used{0};
  std::atomic<std::uint64_t> Refusals{0};
};

/// \brief What one message holds of a MessageMemory, until it is destroyed.
class MessageShare : public RefCounted<MessageShare> {
public:
  explicit MessageShare(MessageMemory &Memory) : Memory(Memory) {}
  MessageShare(const MessageShare &) = delete;
  MessageShare &operator=(const MessageShare &) = delete;
  ~MessageShare();

  /// \returns whether the message may take \p Bytes in total. \p Length is its
  /// whole length if that is known in advance.
  bool grow(std::size_t Bytes, std::optional<std::size_t> Length);

  /// \brief Counts \p Bytes in total, free or not, for a message that is ready
  /// to be sent.
  void take(std::size_t Bytes);

private:
  MessageMemory &Memory;
  std::size_t Held = 0;
};

/// \returns the share of a message of \p Bytes that is ready to be sent, or
/// nullptr if it is not counted.
Ref<MessageShare> shareOfReadyMessage(MessageMemory *Memory, std::size_t Bytes);

} // namespace balsamyard
