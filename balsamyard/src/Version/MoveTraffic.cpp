#include "balsamyard/src/Version/MoveTraffic.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace balsamyard {

MoveTraffic::MoveTraffic(VersionName To, double Phase)
    : To(std::move(To)), Accumulator(static_cast<std::uint64_t>(
                             std::clamp(Phase, 0.0, 0.999) * UnitsPerRequest)) {
}

void MoveTraffic::setShare(double Share) {
  this->ShareUnits.store(
      static_cast<std::uint64_t>(std::clamp(Share, 0.0, 1.0) * UnitsPerRequest),
      std::memory_order_relaxed);
}

double MoveTraffic::share() const {
  return static_cast<double>(this->ShareUnits.load(std::memory_order_relaxed)) /
         UnitsPerRequest;
}

bool MoveTraffic::assignNextToNew() {
  const std::uint64_t Step = this->ShareUnits.load(std::memory_order_relaxed);
  const std::uint64_t Former =
      this->Accumulator.fetch_add(Step, std::memory_order_relaxed);
  return Former / UnitsPerRequest != (Former + Step) / UnitsPerRequest;
}

void MoveTraffic::AtomicVersionTally::count(AnswerQuality Quality) {
  this->Answers.fetch_add(1, std::memory_order_relaxed);
  if (Quality == AnswerQuality::Error)
    this->Errors.fetch_add(1, std::memory_order_relaxed);
  if (Quality == AnswerQuality::Slow)
    this->Slow.fetch_add(1, std::memory_order_relaxed);
}

VersionTally MoveTraffic::AtomicVersionTally::read() const {
  VersionTally Result;
  // Errors and slow answers are read first, so that they never exceed the
  // answers, which are counted before them.
  Result.Errors = this->Errors.load(std::memory_order_acquire);
  Result.Slow = this->Slow.load(std::memory_order_acquire);
  Result.Answers = this->Answers.load(std::memory_order_relaxed);
  return Result;
}

void MoveTraffic::count(const RouteName &Route, bool IsNew,
                        AnswerQuality Quality) {
  const std::size_t Bucket =
      XXH3_64bits(Route.Text.data(), Route.Text.size()) % TallyBuckets;
  (IsNew ? this->New : this->Old)[Bucket].count(Quality);
}

MoveTally MoveTraffic::tally() const {
  MoveTally Result;
  for (std::size_t Bucket = 0; Bucket < TallyBuckets; ++Bucket)
    Result[Bucket] = {this->New[Bucket].read(), this->Old[Bucket].read()};
  return Result;
}

} // namespace balsamyard
