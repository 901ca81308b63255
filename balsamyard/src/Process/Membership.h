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

/// \brief States of a member. For one incarnation a later state overrides an
/// earlier one, so all views converge.
enum class MemberState : std::uint8_t { Alive, Suspect, Left, Dead };

/// \returns "alive", "suspect", "left" or "dead".
std::string_view toText(MemberState State);

/// \brief What a process says about itself.
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

/// \brief Asks for an Ack. With Sync it also asks for a page of the member list
/// after \p SyncAfter.
struct Ping {
  std::uint64_t Sequence = 0;
  bool Sync = false;
  std::optional<ProcessKey> SyncAfter{};

  bool operator==(const Ping &) const = default;
};

/// \brief Asks a member to ping another one that did not answer in time.
struct PingRequest {
  std::uint64_t Sequence = 0;
  ProcessKey Target;

  bool operator==(const PingRequest &) const = default;
};

/// \brief Answers a Ping or a PingRequest. Reached is false if the helper got
/// no answer from the target; SyncLast says that no member is left to list.
struct Ack {
  std::uint64_t Sequence = 0;
  bool Reached = true;
  bool Sync = false;
  bool SyncLast = false;

  bool operator==(const Ack &) const = default;
};

/// \brief Carries only the header, whose configuration version is news.
struct Announce {
  bool operator==(const Announce &) const = default;
};

using GossipBody = std::variant<Ping, PingRequest, Ack, Announce>;

/// \brief One datagram. \sa encodeGossip
struct GossipMessage {
  MemberUpdate From;
  ConfigVersion Config{};
  std::uint32_t MemberCount = 0; ///< Members that the sender takes for present.
  GossipBody Body;
  std::vector<MemberUpdate> Updates;

  bool operator==(const GossipMessage &) const = default;
};

/// \brief Longest gossip datagram in bytes; fits an Ethernet frame with IPv6
/// and UDP headers.
inline constexpr std::size_t MaxGossipBytes = 1400;

/// \brief Upper bound of incarnations, which are start times in milliseconds
/// raised by refutations.
inline constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 53;

/// \brief What is known of one other process.
struct Member {
  MemberInfo Info;
  std::uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;
  ConfigVersion Config{}; ///< Highest version it announced.
  TimePoint Since{};      ///< When State began.
};

/// \brief Time passed; due every MembershipTimes::Tick.
struct MembershipTick {};

/// \brief A decoded datagram arrived.
struct GossipReceived {
  Endpoint From;
  GossipMessage Message;
};

/// \brief The own configuration version rose.
struct ConfigAdvanced {
  ConfigVersion Version{};
};

/// \brief Says the own configuration version to \p Count random members.
struct AnnounceConfig {
  std::size_t Count = 0;
};

/// \brief The own process leaves on purpose.
struct LeaveRequested {};

using MembershipEvent =
    std::variant<MembershipTick, GossipReceived, ConfigAdvanced, AnnounceConfig,
                 LeaveRequested>;

struct SendGossip {
  Endpoint To;
  GossipMessage Message;
};

/// \brief A member is new, changed its state or its addresses, or was
/// forgotten.
struct MemberChanged {
  Member Now;
  bool Forgotten = false;
};

/// \brief A member announced a configuration version.
struct MemberConfigAnnounced {
  ProcessKey Who;
  Endpoint Peer;
  ConfigVersion Version{};
};

using MembershipEffect =
    std::variant<SendGossip, MemberChanged, MemberConfigAnnounced>;

/// \brief Constants of the protocol (SWIM with the extensions of Lifeguard).
struct MembershipTimes {
  Duration Tick = std::chrono::milliseconds(100);
  Duration Period = std::chrono::seconds(1); ///< One probe per period.

  /// Wait for a direct answer. The round trip between regions takes 40 ms.
  Duration ProbeTimeout = std::chrono::milliseconds(300);

  /// Suspicion lasts this long times log10 of the number of members.
  Duration SuspicionUnit = std::chrono::seconds(4);

  /// A tick that is later than this voids the running probe: its answer may
  /// be waiting unread.
  Duration Lateness = std::chrono::milliseconds(250);

  Duration DeadProbePeriod = std::chrono::seconds(5);
  Duration SeedProbePeriod = std::chrono::seconds(30);

  /// Pause after the first whole reading of the member list; doubles with each
  /// further one. When many processes start at once, the first list is not
  /// complete.
  Duration JoinPause = std::chrono::seconds(3);

  /// One page of the member list is read this often, which repairs lost news.
  Duration SyncPeriod = std::chrono::seconds(10);

  /// The member list is read as a whole at most this often after the start.
  Duration RepairPeriod = std::chrono::seconds(60);

  /// Time for which a member that left still answers requests.
  Duration LeaveTime = std::chrono::seconds(15);

  /// Partitions between regions last minutes; a forgotten member can only
  /// join through the seeds.
  Duration ForgetDead = std::chrono::hours(1);
};

/// \brief Sizes of the protocol.
struct MembershipLimits {
  std::size_t Helpers = 3;       ///< Members asked for an indirect probe.
  std::size_t Piggyback = 8;     ///< Updates per message.
  std::size_t UpdateBytes = 900; ///< Of all updates of a message.
  std::size_t SyncBytes = 1100;  ///< Of a page of the member list.
  unsigned JoinPasses = 4;       ///< Whole readings of the list at the start.

  /// A process whose peers knew more members this many times in a row reads the
  /// whole list. Probes come once a second, and news spreads in less than 10 s.
  unsigned RepairAfter = 10;

  unsigned Retransmit = 4;       ///< Sends per update, times log10 of members.
  unsigned LeastSends = 12;      ///< Of an update, while few members are known.
  unsigned MaxHealth = 8;        ///< Of the local health multiplier.
  std::size_t MaxMembers = 8192; ///< Bounds memory against hostile messages.

  /// Largest lead of an incarnation over the own one: 10 years in
  /// milliseconds. An absurd incarnation could not be refuted.
  std::uint64_t IncarnationLead = 315'360'000'000;
};

/// \brief Decides whom to probe and what to believe about other processes.
///
/// Pure: time and random draws are passed in, messages go out as effects.
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

  /// \returns whether the member list of another process has been read.
  bool joined() const { return this->Passes > 0; }

private:
  class Draws;

  /// The probe of the current period.
  struct Probe {
    ProcessKey Target;
    std::uint64_t Sequence = 0;
    TimePoint SentAt{};
    bool Indirect = false;   ///< Helpers were asked.
    std::size_t Helpers = 0; ///< Number of helpers asked.
    bool HelperAnswered = false;
  };

  /// When a suspect is asked again, and when it is taken for dead.
  struct Suspicion {
    TimePoint AskAt{};
    TimePoint DeadAt{};
  };

  /// A ping sent on behalf of another member.
  struct Relay {
    Endpoint For;
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
  std::map<std::uint64_t, Relay> Relays;  ///< By the sequence of the own ping.
  std::map<ProcessKey, unsigned> Rumours; ///< News and how often it was sent.
  std::set<std::pair<unsigned, ProcessKey>> RumourOrder; ///< Same, in order.

  std::uint64_t NextSequence = 1;
  unsigned Health = 0;
  TimePoint LastTick{};
  TimePoint NextProbe{};
  TimePoint NextDeadProbe{};
  TimePoint NextSeedProbe{};
  TimePoint NextSync{};
  TimePoint NextForget{};

  unsigned Passes = 0; ///< Whole readings of the member list so far.
  unsigned Behind = 0; ///< Answers in a row from peers that know more members.
  TimePoint NextRepair{};
  std::optional<ProcessKey> SyncAfter;
  std::uint64_t SyncSequence = 0; ///< 0: no page is asked for.

  using Effects = std::vector<MembershipEffect>;

  void onTick(TimePoint Now, Draws &Random, Effects &Out);
  void onReceived(const GossipReceived &Event, TimePoint Now, Draws &Random,
                  Effects &Out);
  void onPing(const Ping &Body, const GossipReceived &Event, Effects &Out);
  void onPingRequest(const PingRequest &Body, const GossipReceived &Event,
                     TimePoint Now, Effects &Out);
  void onAck(const Ack &Body, const GossipReceived &Event, TimePoint Now,
             Effects &Out);

  void finishProbe(TimePoint Now, Effects &Out);
  void startProbe(TimePoint Now, Draws &Random, Effects &Out);
  void askHelpers(Draws &Random, Effects &Out);
  void probeDeparted(TimePoint Now, Draws &Random, Effects &Out);
  void askForPage(TimePoint Now, Draws &Random, Effects &Out);
  void expire(TimePoint Now, Effects &Out);

  void learn(const MemberUpdate &Update, bool PassOn, TimePoint Now,
             Draws &Random, Effects &Out);
  void learnSelf(const MemberUpdate &Update);
  void setState(Member &Who, MemberState State, TimePoint Now, Effects &Out);

  void send(const Endpoint &To, GossipBody Body, const ProcessKey *Receiver,
            Effects &Out);
  GossipMessage message(GossipBody Body) const;
  std::vector<const Member *> randomMembers(std::size_t Count,
                                            const ProcessKey *Except,
                                            Draws &Random) const;
  void passOn(const ProcessKey &Who);
  void dropRumour(const ProcessKey &Who);
  void suspect(const ProcessKey &Who, TimePoint Now);
  unsigned retransmissions() const;
};

} // namespace balsamyard
