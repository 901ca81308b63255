#pragma once

#include <cstdint>
#include <random>

namespace balsamyard {

/// \brief Random draws of one request, all from the seed that was passed in.
class RandomGenerator {
public:
  explicit RandomGenerator(std::uint64_t Seed);

  /// \returns a number below \p Bound, which is above 0.
  std::uint32_t below(std::uint32_t Bound);

private:
  std::minstd_rand Engine;
};

} // namespace balsamyard
