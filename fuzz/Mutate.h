#pragma once

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace balsamyard::fuzz {

/// \brief Number of mutated inputs per decoder.
inline constexpr std::size_t InputCount = 100000;

/// \brief Fixed seed, so that a failure is reproducible.
inline constexpr std::uint32_t Seed = 20261204;

/// \brief Generates inputs by mutating valid ones.
class Mutator {
public:
  explicit Mutator(std::vector<std::string> Valid)
      : Valid(std::move(Valid)), Random(Seed) {}

  /// \returns a randomly chosen valid input with one to eight mutations.
  std::string next() {
    std::string Bytes = this->pickValid();
    for (std::size_t Left = this->randomBelow(this->randomBelow(8) + 1) + 1;
         Left > 0; --Left)
      this->mutate(Bytes);
    return Bytes;
  }

private:
  std::size_t randomBelow(std::size_t Limit) {
    return boost::random::uniform_int_distribution<std::size_t>(0, Limit - 1)(
        this->Random);
  }

  char randomByte() { return static_cast<char>(this->randomBelow(256)); }

  const std::string &pickValid() {
    return this->Valid[this->randomBelow(this->Valid.size())];
  }

  void mutate(std::string &Bytes) {
    std::size_t Position = this->randomBelow(Bytes.size() + 1);
    std::size_t Count =
        std::min(this->randomBelow(16) + 1, Bytes.size() - Position);
    switch (this->randomBelow(8)) {
    case 0: // Flip one bit.
      if (Position < Bytes.size())
        Bytes[Position] =
            static_cast<char>(Bytes[Position] ^ (1 << this->randomBelow(8)));
      break;
    case 1: // Set one byte.
      if (Position < Bytes.size())
        Bytes[Position] = this->randomByte();
      break;
    case 2: // Insert one byte.
      Bytes.insert(Position, 1, this->randomByte());
      break;
    case 3: // Remove a range.
      Bytes.erase(Position, Count);
      break;
    case 4: // Cut off the end.
      Bytes.resize(Position);
      break;
    case 5: // Repeat a range.
      Bytes.insert(Position, Bytes.substr(Position, Count));
      break;
    case 6: { // Replace the end by the end of another input.
      const std::string &Other = this->pickValid();
      Bytes = Bytes.substr(0, Position) +
              Other.substr(this->randomBelow(Other.size() + 1));
      break;
    }
    default: { // Replace a range by a range of another input.
      const std::string &Other = this->pickValid();
      std::size_t From = this->randomBelow(Other.size() + 1);
      Bytes.replace(Position, Count, Other.substr(From, Count));
      break;
    }
    }
  }

  std::vector<std::string> Valid;
  boost::random::mt19937 Random;
};

/// \returns \p Text with 500,000 copies of \p Level inserted at
/// \p Position.
inline std::string insertNesting(std::string Text, std::size_t Position,
                                 const char *Level) {
  std::string Levels;
  for (std::size_t Count = 0; Count < 500000; ++Count)
    Levels += Level;
  return Text.insert(Position, Levels);
}

/// \brief Runs \p Check on the valid, deeply nested and mutated inputs and
/// prints a line of counts.
///
/// \p Check returns 1 if the decoder accepted the input, 0 if it rejected it,
/// and -1 if the result violates an invariant of the decoder.
/// \returns whether all valid inputs were accepted and no invariant was
/// violated.
template <typename Function>
bool run(const char *Decoder, std::vector<std::string> Valid, Function Check) {
  for (const std::string &Input : Valid)
    if (Check(Input) != 1) {
      std::printf("%s: a valid input was refused\n", Decoder);
      return false;
    }
  // A decoder that recurses once per nesting level would overflow the stack.
  for (const char *Level : {"[", "{\"a\":", "\x81", "\xa1\x61", "a=[", "[["})
    for (const std::string &Input : Valid)
      for (std::size_t Position :
           {std::size_t(0), Input.size() / 2, Input.size()})
        if (Check(insertNesting(Input, Position, Level)) < 0) {
          std::printf("%s: a deeply nested input violates an invariant\n",
                      Decoder);
          return false;
        }
  Mutator Inputs(std::move(Valid));
  std::size_t Accepted = 0;
  std::size_t Violations = 0;
  for (std::size_t Index = 0; Index < InputCount; ++Index) {
    int Result = Check(Inputs.next());
    Accepted += Result == 1 ? 1 : 0;
    if (Result < 0 && Violations++ == 0)
      std::printf("%s: input %zu with seed %u violates an invariant\n", Decoder,
                  Index, Seed);
  }
  std::printf("%-16s %zu inputs, %zu accepted, %zu refused, %zu broken\n",
              Decoder, InputCount, Accepted, InputCount - Accepted - Violations,
              Violations);
  std::fflush(stdout);
  return Violations == 0;
}

} // namespace balsamyard::fuzz
