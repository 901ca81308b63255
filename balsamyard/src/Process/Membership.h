#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Role of a process on its node.
enum class ProcessRole : std::uint8_t { Entry, Holder };

/// \brief Identifies a process: a node runs at most one process of each role.
struct ProcessKey {
  NodeName Node;
  ProcessRole Role = ProcessRole::Entry;

  auto operator<=>(const ProcessKey &) const = default;
};

/// \returns "NODE/entry" or "NODE/holder".
std::string toText(const ProcessKey &Key);

/// \brief States of a member. Within one incarnation a state overrides those
/// listed before it, so that all views converge.
enum class MemberState : std::uint8_t { Alive, Suspect, Left, Dead };

/// \returns "alive", "suspect", "left" or "dead".
std::string_view toText(MemberState State);

/// \brief Identity, location and addresses that a process announces.
struct MemberInfo {
  ProcessKey Key;
  DomainName Domain;
  RegionName Region;
  Endpoint Gossip; ///< UDP.
  Endpoint Peer;   ///< HTTP/2.

  bool operator==(const MemberInfo &) const = default;
};

/// \brief Claim about a member. A higher incarnation overrides a lower one.
struct MemberUpdate {
  MemberInfo Info;
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;

  bool operator==(const MemberUpdate &) const = default;
};

/// \brief Requests an Ack. With Sync, the Ack carries the page of the member
/// list that follows \p SyncAfter.
struct Ping {
  std::uint64_t Sequence = 0;
  bool Sync = false;
  std::optional<ProcessKey> SyncAfter{};

  bool operator==(const Ping &) const = default;
};

/// \brief Requests an indirect probe: the receiver pings \p Target, which did
/// not answer the sender in time.
struct PingRequest {
  std::uint64_t Sequence = 0;
  ProcessKey Target;

  bool operator==(const PingRequest &) const = default;
};

/// \brief Answers a Ping or a PingRequest. Reached is false if the helper got
/// no answer from the target. SyncLast marks the last page of the member list.
struct Ack {
  std::uint64_t Sequence = 0;
  bool Reached = true;
  bool Sync = false;
  bool SyncLast = false;

  bool operator==(const Ack &) const = default;
};

/// \brief Has no body: the message header announces the configuration version
/// or the state of the sender.
struct Announce {
  bool operator==(const Announce &) const = default;
};

using GossipBody = std::variant<Ping, PingRequest, Ack, Announce>;

/// \brief One datagram. \sa encodeGossip
struct GossipMessage {
  MemberUpdate From;
  ConfigVersion Config{};
  std::uint32_t MemberCount =
      0; ///< Members alive or suspected, with the sender.
  GossipBody Body;
  std::vector<MemberUpdate> Updates;

  bool operator==(const GossipMessage &) const = default;
};

/// \brief Maximum size of a gossip datagram. Fits into an Ethernet frame
/// together with the IPv6 and UDP headers.
inline constexpr std::size_t MaxGossipBytes = 1400;

/// \brief Upper bound of incarnation numbers. An incarnation starts as the
/// start time of the process in milliseconds; each refutation increments it.
inline constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 53;

/// \brief Local view of one other process.
struct Member {
  MemberInfo Info;
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;
  ConfigVersion Config{}; ///< Highest version it announced.
  TimePoint Since{};      ///< When State began.
};

/// \brief Periodic timer event, due every MembershipTimes::Tick.
struct MembershipTick {};

/// \brief A decoded datagram arrived.
struct GossipReceived {
  Endpoint From;
  GossipMessage Message;
};

/// \brief The configuration version of this process increased.
struct ConfigAdvanced {
  ConfigVersion Version{};
};

/// \brief Announces the configuration version of this process to \p Count
/// random members.
struct AnnounceConfig {
  std::size_t Count = 0;
};

/// \brief This process leaves the fleet in an orderly shutdown.
struct LeaveRequested {};

using MembershipEvent =
    std::variant<MembershipTick, GossipReceived, ConfigAdvanced, AnnounceConfig,
                 LeaveRequested>;

struct SendGossip {
  Endpoint To;
  GossipMessage Message;
};

/// \brief A member was added, changed its state or addresses, or was removed
/// from the member list (Forgotten).
struct MemberChanged {
  Member Now;
  bool Forgotten = false;
};

/// \brief A member announced a configuration version.
struct MemberConfigAnnounced {
  ProcessKey Key;
  Endpoint Peer;
  ConfigVersion Version{};
};

using MembershipEffect =
    std::variant<SendGossip, MemberChanged, MemberConfigAnnounced>;

/// \brief Timing of the protocol, which is SWIM with the Lifeguard extensions.
struct MembershipTimes {
  Duration Tick = std::chrono::milliseconds(100);
  Duration ProbePeriod = std::chrono::seconds(1); ///< One probe per period.

  /// Time to wait for a direct Ack before helpers are asked. A round trip
  /// between regions takes 40 ms.
  Duration ProbeTimeout = std::chrono::milliseconds(300);

  /// A suspicion times out after this time multiplied by log10 of the number
  /// of members.
  Duration SuspicionUnit = std::chrono::seconds(4);

  /// A tick delayed by more than this cancels the running probe, because its
  /// answer may wait unread in the socket buffer.
  Duration MaxTickDelay = std::chrono::milliseconds(250);

  Duration DeadProbePeriod = std::chrono::seconds(5);
  Duration SeedProbePeriod = std::chrono::seconds(30);

  /// Pause after the first complete read of the member list, doubled after each
  /// further one. When many processes start at once, the first list read is
  /// incomplete.
  Duration JoinPause = std::chrono::seconds(3);

  /// Interval between reads of one page of the member list, which recover
  /// updates that were lost.
  Duration SyncPeriod = std::chrono::seconds(10);

  /// Minimum time between two complete reads of the member list that were
  /// triggered by MembershipLimits::RepairAfter.
  Duration RepairPeriod = std::chrono::seconds(60);

  /// Time for which a member in state Left still serves requests.
  Duration LeaveTime = std::chrono::seconds(15);

  /// Time after which a dead member is removed from the list. It exceeds the
  /// duration of partitions between regions, which is minutes, because a
  /// removed member can rejoin only through the seeds.
  Duration ForgetAfter = std::chrono::hours(1);
};

/// \brief Counts and sizes that bound the protocol.
struct MembershipLimits {
  std::size_t Helpers = 3;       ///< Members asked for an indirect probe.
  std::size_t Piggyback = 8;     ///< Maximum number of updates per message.
  std::size_t UpdateBytes = 900; ///< Maximum size of all updates of a message.
  std::size_t SyncBytes = 1100;  ///< Maximum size of a member list page.
  unsigned JoinPasses = 4; ///< Complete reads of the member list at the start.

  /// Number of consecutive answers from peers with more members that triggers
  /// a complete read of the member list. A probe is sent each second, and
  /// updates reach all members in less than 10 s.
  unsigned RepairAfter = 10;

  /// Number of times an update is sent, multiplied by log10 of the members.
  unsigned Retransmit = 4;
  unsigned LeastSends = 12; ///< Minimum in a small fleet; currently unused.
  unsigned MaxHealth = 8;   ///< Upper bound of the local health multiplier.
  std::size_t MaxMembers = 8192; ///< Bounds memory against hostile messages.

  /// Maximum amount by which an incarnation may exceed that of this process:
  /// 10 years in milliseconds. Updates above it are ignored, because an
  /// incarnation near the maximum could not be refuted.
  std::uint64_t IncarnationLead = 315'360'000'000;
};

/// \brief Failure detector and member list of one process (SWIM).
///
/// Pure state machine: time and random numbers are passed in, messages to send
/// are returned as effects.
/// \sa GossipCodec.h
class Membership {
public:
  Membership(MemberInfo Self, std::uint64_t Incarnation,
             std::vector<Endpoint> Seeds, MembershipTimes Times = {},
             MembershipLimits Limits = {});

  /// \brief Applies one event. \p Draw is a fresh random number.
  std::vector<MembershipEffect> handle(const MembershipEvent &Event,
                                       TimePoint Now, std::uint64_t Draw);

  const std::map<ProcessKey, Member> &members() const { return this->Members; }
  const MemberUpdate &self() const { return this->Self; }

  /// \returns the number of members that are alive or suspected.
  std::size_t aliveCount() const { return this->Alive; }

  /// \returns the local health multiplier; 0 is healthy.
  unsigned health() const { return this->Health; }

  /// \returns whether the member list of another process was read completely.
  bool joined() const { return this->Passes > 0; }

private:
  class RandomSource;

  /// The probe of the current period.
  struct Probe {
    ProcessKey Target;
    std::uint64_t Sequence = 0;
    TimePoint SentAt{};
    bool Indirect = false;   ///< Indirect probes were requested.
    std::size_t Helpers = 0; ///< Number of helpers asked.
    bool HelperAnswered = false;
  };

  /// Time at which a suspect is pinged next, and at which it is declared dead.
  struct Suspicion {
    TimePoint ProbeAt{};
    TimePoint DeadAt{};
  };

  /// A ping sent on behalf of another member.
  struct Relay {
    Endpoint Requester;
    std::uint64_t Sequence = 0; ///< Of the PingRequest.
    TimePoint Deadline{};
  };

  MemberUpdate Self;
  std::vector<Endpoint> Seeds;
  MembershipTimes Times;
  MembershipLimits Limits;
  ConfigVersion Config{};

  std::map<ProcessKey, Member> Members;
  std::size_t Alive = 0;
  std::map<ProcessKey, Suspicion> Suspicions;
  std::set<ProcessKey> Departed; ///< Left or dead.
  std::vector<ProcessKey> ProbeOrder;
  std::size_t ProbeNext = 0;
  std::optional<Probe> Running;
  std::map<std::uint64_t, Relay> Relays; ///< By sequence of the relayed ping.

  /// Members whose update is still disseminated, with the number of sends.
  std::map<ProcessKey, unsigned> PendingUpdates;

  /// PendingUpdates sorted by the number of sends.
  std::set<std::pair<unsigned, ProcessKey>> PendingOrder;

  std::uint64_t NextSequence = 1;
  unsigned Health = 0;
  TimePoint LastTick{};
  TimePoint NextProbe{};
  TimePoint NextDeadProbe{};
  TimePoint NextSeedProbe{};
  TimePoint NextSync{};
  TimePoint NextForget{};

  unsigned Passes = 0; ///< Complete reads of the member list so far.

  /// Consecutive answers from peers that have more members than this process.
  unsigned LargerPeerAnswers = 0;
  TimePoint NextRepair{};
  std::optional<ProcessKey> SyncAfter;
  std::uint64_t SyncSequence = 0; ///< 0 if no page request is outstanding.

  using Effects = std::vector<MembershipEffect>;

  void onTick(TimePoint Now, RandomSource &Random, Effects &Out);
  void onReceived(const GossipReceived &Event, TimePoint Now,
                  RandomSource &Random, Effects &Out);
  void onPing(const Ping &Body, const GossipReceived &Event, Effects &Out);
  void onPingRequest(const PingRequest &Body, const GossipReceived &Event,
                     TimePoint Now, Effects &Out);
  void onAck(const Ack &Body, const GossipReceived &Event, TimePoint Now,
             Effects &Out);

  void finishProbe(TimePoint Now, Effects &Out);
  void startProbe(TimePoint Now, RandomSource &Random, Effects &Out);
  void requestIndirectProbe(RandomSource &Random, Effects &Out);
  void probeDeparted(TimePoint Now, RandomSource &Random, Effects &Out);
  void requestPage(TimePoint Now, RandomSource &Random, Effects &Out);
  void expireTimers(TimePoint Now, Effects &Out);

  void applyUpdate(const MemberUpdate &Update, bool Disseminate, TimePoint Now,
                   RandomSource &Random, Effects &Out);
  void applySelfUpdate(const MemberUpdate &Update);
  void setState(Member &Entry, MemberState State, TimePoint Now, Effects &Out);

  void send(const Endpoint &To, GossipBody Body, const ProcessKey *Receiver,
            Effects &Out);
  GossipMessage makeMessage(GossipBody Body) const;
  std::vector<const Member *> randomMembers(std::size_t Count,
                                            const ProcessKey *Except,
                                            RandomSource &Random) const;
  void disseminate(const ProcessKey &Key);
  void removePending(const ProcessKey &Key);
  void startSuspicion(const ProcessKey &Key, TimePoint Now);
  unsigned retransmissions() const;
};

} // namespace balsamyard
