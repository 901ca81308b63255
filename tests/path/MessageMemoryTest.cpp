#include "balsamyard/src/Core/MessageMemory.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace balsamyard;

namespace {

constexpr std::size_t Mebibyte = 1024UL * 1024;

/// \returns a share that has grown by doubling until it was refused.
Ref<MessageShare> fill(MessageMemory &Memory,
                       std::optional<std::size_t> Length) {
  auto Share = makeRef<MessageShare>(Memory);
  for (std::size_t Bytes = 32UL * 1024;
       Bytes <= Length.value_or(16 * Mebibyte) && Share->grow(Bytes, Length);
       Bytes *= 2) {
  }
  return Share;
}

} // namespace

// Guards against bodies that together need more memory than the process has,
// and against limits on their sum that large bodies use up for all others.
SCENARIO("the messages of a process share their memory", "[memory]") {
  MessageMemory Memory(64 * Mebibyte);

  GIVEN("no other message") {
    THEN("a body of the greatest length finds room, known in advance or not") {
      auto Share = makeRef<MessageShare>(Memory);
      CHECK(Share->grow(16 * Mebibyte, 16 * Mebibyte));
      Share = makeRef<MessageShare>(Memory);
      CHECK(Share->grow(16 * Mebibyte, std::nullopt));
      CHECK(Memory.used() == 16 * Mebibyte);
      AND_THEN("its memory is free again when it ends") {
        Share = nullptr;
        CHECK(Memory.used() == 0);
        CHECK(Memory.refusals() == 0);
      }
    }
  }

  GIVEN("hundreds of bodies without a known length that grow without end") {
    std::vector<Ref<MessageShare>> Endless;
    for (int Count = 0; Count < 300; ++Count)
      Endless.push_back(fill(Memory, std::nullopt));
    THEN("they keep to the memory, and all but the first were refused") {
      CHECK(Memory.used() <= 48 * Mebibyte);
      CHECK(Memory.refusals() == 299);
      AND_THEN("large bodies with a known length still find room") {
        for (int Count = 0; Count < 4; ++Count)
          CHECK(
              makeRef<MessageShare>(Memory)->grow(2 * Mebibyte, 2 * Mebibyte));
      }
    }
  }

  GIVEN("hundreds of bodies that state the greatest length") {
    std::vector<Ref<MessageShare>> Greatest;
    for (int Count = 0; Count < 300; ++Count)
      Greatest.push_back(fill(Memory, 16 * Mebibyte));
    THEN("smaller ones still find room") {
      CHECK(Memory.used() <= 48 * Mebibyte);
      CHECK(makeRef<MessageShare>(Memory)->grow(2 * Mebibyte, 2 * Mebibyte));
    }
  }

  GIVEN("answers that wait for slow callers and take all memory") {
    std::vector<Ref<MessageShare>> Ready;
    for (int Count = 0; Count < 5; ++Count)
      Ready.push_back(shareOfReadyMessage(&Memory, 16 * Mebibyte));
    THEN("bodies that are read are refused until they are sent") {
      CHECK(Memory.used() == 80 * Mebibyte);
      CHECK_FALSE(makeRef<MessageShare>(Memory)->grow(Mebibyte, Mebibyte));
      Ready.clear();
      CHECK(makeRef<MessageShare>(Memory)->grow(Mebibyte, Mebibyte));
    }
  }

  GIVEN("a small message") {
    THEN("it is not counted") {
      CHECK_FALSE(shareOfReadyMessage(&Memory, MessageMemory::UncountedBytes));
    }
  }
}
