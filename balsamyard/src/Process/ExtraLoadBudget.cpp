#include "balsamyard/src/Process/ExtraLoadBudget.h"

#include <algorithm>

namespace balsamyard {

void ExtraLoadBudget::earn(std::uint32_t FirstAttempts, double Share) {
  this->FirstAttemptCount.fetch_add(FirstAttempts, std::memory_order_relaxed);
  const double Bounded = std::clamp(Share, 0.0, MaxShare);
  auto Earned = static_cast<std::int64_t>(Bounded * FirstAttempts *
                                          static_cast<double>(PartsPerToken));
  // Two threads may deduct the same debt, which only makes the budget smaller.
  if (this->Debt.load(std::memory_order_relaxed) > 0)
    Earned -= std::clamp<std::int64_t>(
        this->Debt.fetch_sub(Earned, std::memory_order_relaxed), 0, Earned);
  const std::int64_t Free = BurstRequests * PartsPerToken -
                            this->TokenParts.load(std::memory_order_relaxed);
  if (Free > 0)
    this->TokenParts.fetch_add(std::min(Earned, Free),
                               std::memory_order_relaxed);
}

bool ExtraLoadBudget::trySpend() {
  // Taking a token first and returning it on failure never grants too many, and
  // needs no compare-exchange loop.
  if (this->TokenParts.fetch_sub(PartsPerToken, std::memory_order_relaxed) >=
      PartsPerToken) {
    this->Spent.fetch_add(1, std::memory_order_relaxed);
    return true;
  }
  this->TokenParts.fetch_add(PartsPerToken, std::memory_order_relaxed);
  this->Denied.fetch_add(1, std::memory_order_relaxed);
  return false;
}

} // namespace balsamyard
