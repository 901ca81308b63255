#include "balsamyard/src/Process/ExtraLoadBudget.h"

#include <algorithm>

namespace balsamyard {

void ExtraLoadBudget::earn(std::uint32_t FirstAttempts, double Share) {
  this->First.fetch_add(FirstAttempts, std::memory_order_relaxed);
  const double Bounded = std::clamp(Share, 0.0, MaxShare);
  auto Earned = static_cast<std::int64_t>(Bounded * FirstAttempts *
                                          static_cast<double>(PartsPerToken));
  // Two threads may pay back the same part; that only makes the budget smaller.
  if (this->Owed.load(std::memory_order_relaxed) > 0)
    Earned -= std::clamp<std::int64_t>(
        this->Owed.fetch_sub(Earned, std::memory_order_relaxed), 0, Earned);
  const std::int64_t Room = BurstRequests * PartsPerToken -
                            this->Parts.load(std::memory_order_relaxed);
  if (Room > 0)
    this->Parts.fetch_add(std::min(Earned, Room), std::memory_order_relaxed);
}

bool ExtraLoadBudget::trySpend() {
  // Taking first and giving back on failure never grants too much, and needs
  // no compare-exchange loop.
  if (this->Parts.fetch_sub(PartsPerToken, std::memory_order_relaxed) >=
      PartsPerToken) {
    this->Spent.fetch_add(1, std::memory_order_relaxed);
    return true;
  }
  this->Parts.fetch_add(PartsPerToken, std::memory_order_relaxed);
  this->Denied.fetch_add(1, std::memory_order_relaxed);
  return false;
}

} // namespace balsamyard
