#pragma once

#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/Configuration.h"

#include <map>
#include <optional>

namespace balsamyard {

/// \brief What is known of the targets of a service.
struct ServiceReadiness {
  bool Announced = false; ///< Some target accepts requests.
  bool Warm = false;      ///< Some of these is not cold.
};

/// \brief Decides when a newer configuration replaces the one in force.
///
/// Answers the load after an index was cut into other shards: the new
/// configuration names services whose targets started seconds before. While
/// these are cold, hundreds of nodes together may send them next to nothing, so
/// every query would be refused although the targets of the former shards still
/// serve. The former configuration stays in force meanwhile, for a bounded
/// time.
class ConfigurationGate {
public:
  using ReadinessByService = std::map<ServiceName, ServiceReadiness>;

  /// How often a configuration that is held back is checked.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(100);

  /// Fraction of the time within which a configuration has to be in force that
  /// it may be held back. The rest is left for learning of it.
  static constexpr double MaxHoldFraction = 0.4;

  /// \p ApplyTime is the time within which a configuration has to be in force.
  explicit ConfigurationGate(Duration ApplyTime) { this->setBound(ApplyTime); }

  void setBound(Duration ApplyTime) {
    this->MaxHold = Duration(static_cast<std::int64_t>(
        MaxHoldFraction * static_cast<double>(ApplyTime.count())));
  }

  /// \brief A configuration was read. \returns whether it is newer than all
  /// before.
  bool offer(Ref<const Configuration> Next, TimePoint Now);

  /// \brief Puts the newest configuration in force if it is due. \returns
  /// whether it did.
  bool update(const ReadinessByService &Services, TimePoint Now);

  /// \returns whether a configuration waits to be put in force.
  bool isHolding() const { return this->Waiting != nullptr; }

  /// \returns the configuration in force, or null before the first.
  const Ref<const Configuration> &current() const { return this->Current; }

private:
  bool mayHold(const ReadinessByService &Services) const;

  Duration MaxHold{};
  Ref<const Configuration> Current;
  Ref<const Configuration> Waiting;
  TimePoint HeldUntil{};
};

} // namespace balsamyard
