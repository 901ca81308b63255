#pragma once

#include <cstdint>
#include <random>

namespace balsamyard {

/// \brief Random number generator of one request; the seed determines all its
/// numbers.
class RandomGenerator {
public:
  explicit RandomGenerator(std::uint64_t Seed);

  /// \returns a uniformly distributed number in [0, \p Bound). \p Bound must
  /// not be 0.
  std::uint32_t below(std::uint32_t Bound);

private:
  std::minstd_rand Engine;
};

} // namespace balsamyard
