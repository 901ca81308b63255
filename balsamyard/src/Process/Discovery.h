#pragma once

#include "balsamyard/src/Process/NodeSettings.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Version/FleetView.h"

#include <map>
#include <optional>
#include <set>

namespace balsamyard {

/// \brief What this process knows of configuration, targets and orders, and
/// the view for requests that follows from it. Runs on the control thread.
class Discovery {
public:
  explicit Discovery(const NodeSettings &Settings);

  /// \brief The settings were read again.
  void setBounds(const FleetBounds &Next) {
    this->Settings.Bounds = Next;
    this->Changed = true;
  }

  /// \brief A configuration was read. \returns whether it is newer than the
  /// one in force; an older one is never taken.
  bool configure(Ref<const Configuration> Next);

  /// \brief A target announced itself, or its announcement changed.
  void announce(const TargetAnnouncement &Heard, TimePoint Now);

  /// \brief An announcement was withdrawn. The target is used a little longer
  /// while its connections work: entries also disappear while the store is
  /// away, and come back.
  void withdraw(const TargetId &Id, TimePoint Now);

  /// \brief Withdraws every target that is not in \p Listed.
  void retainTargets(const std::set<TargetId> &Listed, TimePoint Now);

  void evacuate(const DomainName &Domain);
  void endEvacuation(const DomainName &Domain);
  void setEvacuatedDomains(const std::set<DomainName> &Domains);

  /// \brief The nodes of the system, this one included.
  void setNodes(const std::set<NodeName> &Listed);

  /// \brief The traffic of a service moves to another version, or no longer
  /// does if \p Move is null.
  void setMove(const ServiceName &Service, Ref<MoveTraffic> Move);

  /// \brief Requests during which targets crashed; never null.
  void setCrashes(Ref<const CrashList> Next) {
    this->Crashes = std::move(Next);
    this->Changed = true;
  }
  const Ref<const CrashList> &crashes() const { return this->Crashes; }

  /// \returns whether a target of that version may get requests.
  bool serves(const ServiceName &Service, const VersionName &Version) const;

  /// \returns the place of this node among all, by name.
  std::uint32_t rank() const { return this->Rank; }
  std::uint32_t nodes() const { return this->Nodes; }

  /// \brief The store went away or came back: entries that disappear now may
  /// only have lapsed.
  void markStoreUnstable(TimePoint Now) { this->UnstableAt = Now; }

  /// \returns when the next withdrawn target is given up, if any.
  std::optional<TimePoint> nextExpiry() const;
  void expire(TimePoint Now);

  /// \returns whether the view would differ from the one last built.
  bool changed() const { return this->Changed; }

  /// \returns a view of all that is known.
  Ref<const FleetView> build();

  /// \returns whether requests can be served.
  bool canServe() const {
    return this->Config != nullptr && !this->Targets.empty();
  }

  std::size_t targets() const { return this->Targets.size(); }

private:
  struct Entry {
    Ref<KnownTarget> State;
    std::optional<TimePoint> ExpiresAt;
    bool Leaving = false;
  };

  void setStanding(Entry &Known);
  Ref<MoveTraffic> moveOf(const ServiceName &Service) const;
  Distance distanceOf(const DomainName &Domain) const;
  RegionName regionOf(const DomainName &Domain) const;
  Duration withdrawalGrace(TimePoint Now) const;
  void choosePreferred(const ServiceSpec &Spec,
                       std::vector<Ref<KnownTarget>> &Targets) const;

  NodeSettings Settings;
  Ref<const Configuration> Config;
  std::map<TargetId, Entry> Targets;
  std::set<DomainName> Evacuated;
  std::map<ServiceName, Ref<RetryBudget>> Budgets;
  std::map<RouteName, Ref<RouteStats>> Stats;
  std::map<ServiceName, Ref<MoveTraffic>> Moves;
  Ref<const CrashList> Crashes = makeRef<const CrashList>();
  std::uint32_t Nodes;
  bool NodesCounted = false;
  std::uint32_t Rank = 0; ///< Of this node among all, by name.
  std::optional<TimePoint> UnstableAt;
  bool Changed = false;
};

} // namespace balsamyard
