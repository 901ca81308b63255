#include "balsamyard/src/Process/ConfigurationGate.h"

#include "balsamyard/src/Core/Overload.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace balsamyard {

namespace {

/// \returns the services to which routes of \p Config lead.
std::set<ServiceName> routedServices(const Configuration &Config) {
  std::set<ServiceName> Result;
  const auto Add = [&](ServiceNumber Service) {
    Result.insert(Config.Services[Service].Name);
  };
  for (const Route &Served : Config.Routes)
    std::visit(Overload{[&](const SplitDestination &Split) {
                          for (const WeightedService &Part : Split.Services)
                            Add(Part.Service);
                        },
                        [&](const ShardedDestination &Plan) {
                          for (const ServiceNumber Shard : Plan.Shards)
                            Add(Shard);
                        }},
               Served.To);
  return Result;
}

/// \returns the services of \p All that are not in \p Others.
std::set<ServiceName> without(const std::set<ServiceName> &All,
                              const std::set<ServiceName> &Others) {
  std::set<ServiceName> Result;
  std::set_difference(All.begin(), All.end(), Others.begin(), Others.end(),
                      std::inserter(Result, Result.end()));
  return Result;
}

/// \returns the fraction of the announced services in \p Names that have a warm
/// target. A service without any target gains nothing from waiting.
double warmFraction(const std::set<ServiceName> &Names,
                    const ConfigurationGate::ReadinessByService &Services) {
  std::size_t Announced = 0;
  std::size_t Warm = 0;
  for (const ServiceName &Name : Names) {
    const auto Found = Services.find(Name);
    if (Found == Services.end() || !Found->second.Announced)
      continue;
    ++Announced;
    Warm += Found->second.Warm ? 1 : 0;
  }
  return Announced == 0
             ? 0
             : static_cast<double>(Warm) / static_cast<double>(Announced);
}

} // namespace

bool ConfigurationGate::offer(Ref<const Configuration> Next, TimePoint Now) {
  const Ref<const Configuration> &Newest =
      this->Waiting ? this->Waiting : this->Current;
  if (Newest && Next->Version <= Newest->Version)
    return false;
  // A configuration that follows one that is held back must not extend the
  // time.
  if (!this->Waiting)
    this->HeldUntil = Now + this->MaxHold;
  this->Waiting = std::move(Next);
  return true;
}

bool ConfigurationGate::mayHold(const ReadinessByService &Services) const {
  if (!this->Current)
    return false;
  const std::set<ServiceName> Former = routedServices(*this->Current);
  const std::set<ServiceName> Next = routedServices(*this->Waiting);
  const std::set<ServiceName> Added = without(Next, Former);
  const std::set<ServiceName> Dropped = without(Former, Next);
  return !Added.empty() &&
         warmFraction(Added, Services) < warmFraction(Dropped, Services);
}

bool ConfigurationGate::update(const ReadinessByService &Services,
                               TimePoint Now) {
  if (!this->Waiting || (Now < this->HeldUntil && this->mayHold(Services)))
    return false;
  this->Current = std::exchange(this->Waiting, nullptr);
  return true;
}

} // namespace balsamyard
