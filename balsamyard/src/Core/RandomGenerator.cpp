#include "balsamyard/src/Core/RandomGenerator.h"

#include <cassert>
#include <xxhash.h>

namespace balsamyard {

RandomGenerator::RandomGenerator(std::uint64_t Seed)
    : Engine(static_cast<std::uint32_t>(XXH3_64bits(&Seed, sizeof(Seed)))) {}

std::uint32_t RandomGenerator::below(std::uint32_t Bound) {
  assert(Bound > 0);
  // minstd_rand yields 1 to 2^31 - 2; its high bits are more random.
  const std::uint64_t Value = this->Engine() - 1;
  return static_cast<std::uint32_t>(Value * Bound >> 31);
}

} // namespace balsamyard
