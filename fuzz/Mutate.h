#pragma once

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace balsamyard::fuzz {

/// \brief Inputs that each decoder gets.
inline constexpr std::size_t InputCount = 100000;

/// \brief Seed of every run, so that a failure can be repeated.
inline constexpr std::uint32_t Seed = 20261204;

/// \brief Makes faulty inputs out of valid ones.
class Mutator {
public:
  explicit Mutator(std::vector<std::string> Valid)
      : Valid(std::move(Valid)), Random(Seed) {}

  /// \returns a valid input with one to eight changes.
  std::string next() {
    std::string Bytes = this->pick();
    for (std::size_t Left = this->below(this->below(8) + 1) + 1; Left > 0;
         --Left)
      this->change(Bytes);
    return Bytes;
  }

private:
  std::size_t below(std::size_t Limit) {
    return boost::random::uniform_int_distribution<std::size_t>(0, Limit - 1)(
        this->Random);
  }

  char byte() { return static_cast<char>(this->below(256)); }

  const std::string &pick() {
    return this->Valid[this->below(this->Valid.size())];
  }

  void change(std::string &Bytes) {
    std::size_t At = this->below(Bytes.size() + 1);
    std::size_t Count = std::min(this->below(16) + 1, Bytes.size() - At);
    switch (this->below(8)) {
    case 0: // Flip one bit.
      if (At < Bytes.size())
        Bytes[At] = static_cast<char>(Bytes[At] ^ (1 << this->below(8)));
      break;
    case 1: // Set one byte.
      if (At < Bytes.size())
        Bytes[At] = this->byte();
      break;
    case 2: // Insert one byte.
      Bytes.insert(At, 1, this->byte());
      break;
    case 3: // Remove a range.
      Bytes.erase(At, Count);
      break;
    case 4: // Cut off the end.
      Bytes.resize(At);
      break;
    case 5: // Repeat a range.
      Bytes.insert(At, Bytes.substr(At, Count));
      break;
    case 6: { // Continue with another input.
      const std::string &Other = this->pick();
      Bytes = Bytes.substr(0, At) + Other.substr(this->below(Other.size() + 1));
      break;
    }
    default: { // Copy a range of another input.
      const std::string &Other = this->pick();
      std::size_t From = this->below(Other.size() + 1);
      Bytes.replace(At, Count, Other.substr(From, Count));
      break;
    }
    }
  }

  std::vector<std::string> Valid;
  boost::random::mt19937 Random;
};

/// \returns \p Text with 500,000 copies of \p Level inserted at \p At.
inline std::string nested(std::string Text, std::size_t At, const char *Level) {
  std::string Levels;
  for (std::size_t Count = 0; Count < 500000; ++Count)
    Levels += Level;
  return Text.insert(At, Levels);
}

/// \brief Runs \p Check on every mutated input and prints a line of counts.
///
/// Check returns 1 if the input was accepted, 0 if it was refused, and -1 if
/// the decoder broke a promise.
/// \returns whether no promise was broken.
template <typename Function>
bool run(const char *Decoder, std::vector<std::string> Valid, Function Check) {
  for (const std::string &Each : Valid)
    if (Check(Each) != 1) {
      std::printf("%s: a valid input was refused\n", Decoder);
      return false;
    }
  // A decoder that recurses for each level would end the stack.
  for (const char *Level : {"[", "{\"a\":", "\x81", "\xa1\x61", "a=[", "[["})
    for (const std::string &Each : Valid)
      for (std::size_t At : {std::size_t(0), Each.size() / 2, Each.size()})
        if (Check(nested(Each, At, Level)) < 0) {
          std::printf("%s: nested input breaks a promise\n", Decoder);
          return false;
        }
  Mutator Inputs(std::move(Valid));
  std::size_t Accepted = 0;
  std::size_t Broken = 0;
  for (std::size_t Index = 0; Index < InputCount; ++Index) {
    int Result = Check(Inputs.next());
    Accepted += Result == 1 ? 1 : 0;
    if (Result < 0 && Broken++ == 0)
      std::printf("%s: input %zu with seed %u breaks a promise\n", Decoder,
                  Index, Seed);
  }
  std::printf("%-16s %zu inputs, %zu accepted, %zu refused, %zu broken\n",
              Decoder, InputCount, Accepted, InputCount - Accepted - Broken,
              Broken);
  std::fflush(stdout);
  return Broken == 0;
}

} // namespace balsamyard::fuzz
