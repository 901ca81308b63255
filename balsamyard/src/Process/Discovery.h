#pragma once

#include "balsamyard/src/Process/ConfigurationGate.h"
#include "balsamyard/src/Process/NodeSettings.h"
#include "balsamyard/src/Process/PlatformAdapter.h"
#include "balsamyard/src/Version/FleetView.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace balsamyard {

/// \brief Tracks the configuration, the targets and the operators' orders, and
/// builds from them the FleetView that requests read. Runs on the control
/// thread.
class Discovery {
public:
  explicit Discovery(const NodeSettings &Settings);

  /// \brief Applies the bounds of reloaded settings.
  void setBounds(const FleetBounds &Next) {
    this->Settings.Bounds = Next;
    this->Gate.setBound(Next.ConfigurationTime);
    this->Changed = true;
  }

  /// \brief Takes \p Next if it is newer than all configurations before;
  /// update() puts it in force. \returns whether it did.
  bool configure(Ref<const Configuration> Next, TimePoint Now);

  /// \brief Adds a target or applies its changed announcement.
  void announce(const TargetAnnouncement &Announcement, TimePoint Now);

  /// \brief Applies an announcement that a restored store has brought back. If
  /// the target was gone before, it may be from the time before that: it is put
  /// off until the store would have removed the entry of a target that is gone.
  void announceRestored(const TargetAnnouncement &Announcement, TimePoint Now);

  /// \returns whether \p Announcement says nothing new compared with the
  /// announcements before. What this process has learnt from the target itself
  /// does not count, as other nodes may not know it. The entry of a cold target
  /// changes with each of its heartbeats, as its warm-up goes on.
  bool isCurrent(const TargetAnnouncement &Announcement, TimePoint Now) const;

  /// \brief Starts the grace period of a target whose announcement was
  /// removed. The target is used until the period ends, because entries also
  /// disappear during an outage of the store and come back.
  void withdraw(const TargetId &Id, TimePoint Now);

  void evacuate(const DomainName &Domain);
  void endEvacuation(const DomainName &Domain);

  /// \brief Sets the nodes of the system, including this one, and their failure
  /// domains.
  void setNodes(const std::map<NodeName, DomainName> &Listed);

  /// \brief Sets how the requests of a service are split between its versions
  /// during a move. Null ends the move.
  void setMove(const ServiceName &Service, Ref<MoveTraffic> Move);

  /// \brief Sets the requests during which targets crashed. \p Next must not be
  /// null.
  void setCrashes(Ref<const CrashList> Next) {
    this->Crashes = std::move(Next);
    this->Changed = true;
  }
  const Ref<const CrashList> &crashes() const { return this->Crashes; }

  /// \returns whether a target of that version accepts new requests.
  bool serves(const ServiceName &Service, const VersionName &Version) const;

  /// \returns the index of this node in the sorted list of node names.
  std::uint32_t rank() const { return this->Rank; }
  std::uint32_t nodes() const { return this->Nodes; }

  /// \brief Applies the departures that targets have announced in their
  /// answers.
  void applyDepartures();

  /// How long the state of a target is kept after its entry was removed.
  /// Entries come back after an outage of the store, and what their targets
  /// have said of themselves still holds.
  static constexpr Duration FormerTargetLifetime = std::chrono::minutes(10);

  /// \brief Records that the store came back after an outage. Entries that
  /// lapsed in it come back shortly after.
  void markStoreReturned(TimePoint At) {
    this->StoreReturnedAt = std::max(this->StoreReturnedAt.value_or(At), At);
  }

  /// \brief Sets the revision up to which the targets are known, for the views
  /// that are built from now on.
  void setTargetsAsOf(StoreRevision Known) { this->TargetsAsOf = Known; }

  /// \returns when update() has to be called next, if at all.
  std::optional<TimePoint> nextUpdate(TimePoint Now) const;

  /// \brief Removes the targets whose grace period has ended, and puts a newer
  /// configuration in force if it is due. \sa ConfigurationGate
  void update(TimePoint Now);

  /// \returns whether the state has changed since the last build().
  bool changed() const { return this->Changed; }

  /// \returns a view of the current state.
  Ref<const FleetView> build();

  /// \returns whether requests can be served.
  bool canServe() const {
    return this->Gate.current() != nullptr && !this->Targets.empty();
  }

  /// \returns the targets that this process found slow after \p Since.
  std::vector<TargetId> slowTargets(TimePoint Since) const;

  /// \brief Records that other nodes found targets slow.
  void reportSlow(const std::vector<TargetId> &Slow, TimePoint Now);

  /// An end of a limit is passed on if no answer names a limit again within
  /// this time. Otherwise one odd answer would lift the limit at all nodes.
  static constexpr Duration LimitEndConfirmation = std::chrono::seconds(1);

  /// \returns the targets whose limit ended after \p Since and until \p Until,
  /// as this process heard, and which have named none since.
  std::vector<TargetId> endedLimits(TimePoint Since, TimePoint Until) const;

  /// \brief Records that other nodes heard that limits ended.
  void reportEndedLimits(const std::vector<TargetId> &Unlimited);

  std::size_t targets() const { return this->Targets.size(); }

private:
  /// \brief What the entry of a target said when it last was passed on. The
  /// state of the target may be ahead of it, by answers and health pages.
  struct Statement {
    bool Leaving = false;
    TimePoint ColdUntil{};
  };

  struct Entry {
    Ref<KnownTarget> State;
    Statement Announced;
    std::optional<TimePoint> ExpiresAt; ///< Set while it is withdrawn.
  };

  /// \brief A target whose entry is gone.
  struct FormerTarget {
    Ref<KnownTarget> State;
    TimePoint GoneAt{};
  };

  /// \brief An announcement that is put off. \sa announceRestored
  struct UnconfirmedTarget {
    TargetAnnouncement Announcement;
    TimePoint AppliesAt{};
  };

  TargetInfo localInfo(const TargetAnnouncement &Announcement) const;
  Ref<KnownTarget> stateOf(const TargetInfo &Info) const;
  void updateAdminState(Entry &Target);
  Ref<MoveTraffic> moveOf(const ServiceName &Service) const;
  Distance distanceOf(const DomainName &Domain) const;
  RegionName regionOf(const DomainName &Domain) const;
  Duration withdrawalGrace(TimePoint Now) const;
  std::uint32_t sharerPosition(const DomainName &Domain) const;
  void choosePreferred(const ServiceSpec &Spec,
                       std::vector<Ref<KnownTarget>> &Targets) const;

  bool wasWithdrawn(const TargetInfo &Info) const;
  void expireTargets(TimePoint Now);
  void applyUnconfirmed(TimePoint Now);
  void updateConfiguration(TimePoint Now);

  NodeSettings Settings;
  ConfigurationGate Gate;
  std::map<TargetId, Entry> Targets;
  std::map<TargetId, FormerTarget> FormerTargets;
  std::map<TargetId, UnconfirmedTarget> UnconfirmedTargets;
  std::set<DomainName> Evacuated;
  std::map<ServiceName, Ref<RetryBudget>> Budgets;
  std::map<RouteName, Ref<RouteStats>> Stats;
  std::map<ServiceName, Ref<MoveTraffic>> Moves;
  Ref<const CrashList> Crashes = makeRef<const CrashList>();
  std::uint32_t Nodes;
  bool NodesCounted = false;
  std::uint32_t Rank = 0; ///< Index of this node in the sorted node names.
  std::map<NodeName, DomainName> NodeDomains;

  /// Position of this node among all, the nearest to a failure domain first.
  std::map<DomainName, std::uint32_t> SharerPositions;
  std::optional<TimePoint> StoreReturnedAt;
  StoreRevision TargetsAsOf{};
  bool Changed = false;
};

} // namespace balsamyard
