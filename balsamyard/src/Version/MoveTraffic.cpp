#include "balsamyard/src/Version/MoveTraffic.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace balsamyard {

MoveTraffic::MoveTraffic(VersionName To, double Phase)
    : To(std::move(To)), Owed(static_cast<std::uint64_t>(
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
      this->Owed.fetch_add(Step, std::memory_order_relaxed);
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
  // Read before the answers, so that they are never more than these.
  Result.Errors = this->Errors.load(std::memory_order_acquire);
  Result.Slow = this->Slow.load(std::memory_order_acquire);
  Result.Answers = this->Answers.load(std::memory_order_relaxed);
  return Result;
}

void MoveTraffic::count(const RouteName &Route, bool IsNew,
                        AnswerQuality Quality) {
  const std::size_t Place =
      XXH3_64bits(Route.Text.data(), Route.Text.size()) % TallyBuckets;
  (IsNew ? this->New : this->Old)[Place].count(Quality);
}

MoveTally MoveTraffic::tally() const {
  MoveTally Result;
  for (std::size_t Place = 0; Place < TallyBuckets; ++Place)
    Result[Place] = {this->New[Place].read(), this->Old[Place].read()};
  return Result;
}

} // namespace balsamyard
