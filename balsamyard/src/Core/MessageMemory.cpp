#include "balsamyard/src/Core/MessageMemory.h"

#include <algorithm>

namespace balsamyard {

bool MessageMemory::grow(std::size_t Held, std::size_t Wanted,
                         std::size_t Reserve) {
  std::size_t Before = this->Used.load(std::memory_order_relaxed);
  std::size_t After = 0;
  do {
    After = Before - Held + Wanted;
    if (After + Reserve > this->Capacity) {
      this->Refusals.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
  } while (!this->Used.compare_exchange_weak(Before, After,
                                             std::memory_order_relaxed));
  return true;
}

MessageShare::~MessageShare() {
  this->Memory.Used.fetch_sub(this->Held, std::memory_order_relaxed);
}

bool MessageShare::grow(std::size_t Bytes, std::optional<std::size_t> Length) {
  const std::size_t ReserveOfUnknown =
      std::max(3 * Bytes, this->Memory.Capacity / 4);
  if (!this->Memory.grow(this->Held, Bytes, Length.value_or(ReserveOfUnknown)))
    return false;
  this->Held = Bytes;
  return true;
}

void MessageShare::take(std::size_t Bytes) {
  this->Memory.Used.fetch_add(Bytes - this->Held, std::memory_order_relaxed);
  this->Held = Bytes;
}

Ref<MessageShare> shareOfReadyMessage(MessageMemory *Memory,
                                      std::size_t Bytes) {
  if (Memory == nullptr || Bytes <= MessageMemory::UncountedBytes)
    return nullptr;
  auto Share = makeRef<MessageShare>(*Memory);
  Share->take(Bytes);
  return Share;
}

} // namespace balsamyard
