#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Lanes of one leaf group that a node owns.
struct OwnedLanes {
  std::vector<std::uint32_t> Owned;
  std::uint32_t Count = 0; ///< Lanes of the group over all nodes.

  bool operator==(const OwnedLanes &) const = default;
};

/// \returns the part of \p Limit that lane \p Lane of \p Count may use. The
/// parts of all lanes never sum to more than \p Limit.
constexpr std::uint32_t laneShare(std::uint32_t Limit, std::uint32_t Count,
                                  std::uint32_t Lane) {
  if (Count == 0)
    return 0;
  const std::uint32_t Even = Limit / Count;
  return Even == 0 && Lane < Limit ? 1 : Even;
}

/// \returns the sum of the parts of all lanes in \p Lanes.
std::uint32_t laneShare(std::uint32_t Limit, const OwnedLanes &Lanes);

/// \brief Limits of a node at one slot.
struct SlotShare {
  std::uint32_t Connections = 0;
  std::uint32_t ColdInFlight = 0;

  bool operator==(const SlotShare &) const = default;
};

/// \brief State that a target reports in an answer or on its health page.
enum class TargetState : std::uint8_t { Warm, Cold, Leaving };

/// \brief Only the cold share may be used.
struct ColdSlot {};

/// \brief The limit doubles after each window of good answers.
struct WarmingSlot {
  std::uint32_t Limit = 0;
};

/// \brief The full connection share may be used.
struct WarmSlot {};

/// \brief The slot takes no new work.
struct LeavingSlot {
  bool ReportedInAnswer = false; ///< Otherwise by the health page or a peer.
  TimePoint LastReported;
};

using SlotState = std::variant<ColdSlot, WarmingSlot, WarmSlot, LeavingSlot>;

/// \returns "cold", "warming", "warm" or "leaving".
std::string_view name(const SlotState &State);

/// \brief Why a slot is treated as cold.
enum class ColdReason : std::uint8_t {
  LaneTaken,
  ConnectionsLost,
  NewIncarnation,
  Shedding,
  Slow,
  SaidByTarget,
  SaidByPeer,
};

std::string_view name(ColdReason Reason);

/// \brief Identifies the period in which a request was started, so that an
/// answer from before a cold start does not count as evidence after it.
struct SlotTicket {
  std::uint64_t Epoch = 0;
  std::uint64_t Generation = 0; ///< Incremented when all connections are lost.
};

/// \brief The node's share of the slot changed.
struct ShareChanged {
  SlotShare Share;
  bool LaneTaken = false;
};

/// \brief The last open connection broke or was closed by the target.
struct ConnectionsLost {};

/// \brief The target answered a request.
struct SlotAnswered {
  SlotTicket Ticket;
  std::uint64_t Incarnation = 0; ///< 0 if the answer does not state it.
  TargetState State = TargetState::Warm;
  Duration Latency{};
};

/// \brief The target refused a request before running it.
struct SlotShed {
  SlotTicket Ticket;
};

/// \brief A request ended without an answer.
struct SlotFailed {
  SlotTicket Ticket;
};

/// \brief The health page was read.
struct HealthSeen {
  TargetState State = TargetState::Warm;
  std::uint64_t Incarnation = 0;
};

/// \brief Another lane owner reported a cold start of the slot.
struct PeerReportedCold {};

/// \brief Another process reported that the slot is leaving.
struct PeerReportedLeaving {};

using SlotEvent =
    std::variant<ShareChanged, ConnectionsLost, SlotAnswered, SlotShed,
                 SlotFailed, HealthSeen, PeerReportedCold, PeerReportedLeaving>;

/// \brief The slot is treated as cold. NotifyPeers is set if the other lane
/// owners must be notified.
struct BecameCold {
  ColdReason Reason = ColdReason::LaneTaken;
  bool NotifyPeers = false;
};

struct BecameWarm {};

/// \brief The slot is leaving. NotifyPeers as in BecameCold.
struct BecameLeaving {
  bool NotifyPeers = false;
};

using SlotEffect = std::variant<BecameCold, BecameWarm, BecameLeaving>;

/// \brief Limits the requests that a node may have in flight at one slot.
///
/// A window lasts at least 1 s and contains at least as many good answers as
/// the limit. The health page alone never raises the limit.
class SlotLimiter {
public:
  static constexpr Duration WarmupWindow = std::chrono::seconds(1);
  static constexpr std::uint32_t ShedsUntilCold = 3;
  static constexpr double SlowFactor = 4.0;

  /// A slot that only its health page or a peer reported as leaving is tried
  /// again as cold once its health page has not reported this for so long.
  static constexpr Duration LeavingRetryDelay = std::chrono::seconds(30);

  /// Answers needed before the baseline latency is used.
  static constexpr std::uint32_t BaselineAnswers = 64;

  explicit SlotLimiter(SlotShare Share, TimePoint Now);

  /// \brief Starts a request if the limit permits one more in flight.
  std::optional<SlotTicket> start();

  /// \brief Applies one event. SlotAnswered, SlotShed and SlotFailed end the
  /// request of their ticket.
  std::vector<SlotEffect> apply(const SlotEvent &Event, TimePoint Now);

  /// \returns the maximum number of requests in flight.
  std::uint32_t limit() const;

  std::uint32_t inFlight() const { return this->InFlight; }
  const SlotShare &share() const { return this->Share; }
  const SlotState &state() const { return this->State; }
  std::uint64_t incarnation() const { return this->Incarnation; }
  std::uint64_t generation() const { return this->Generation; }

private:
  std::vector<SlotEffect> on(const ShareChanged &Event, TimePoint Now);
  std::vector<SlotEffect> on(const ConnectionsLost &Event, TimePoint Now);
  std::vector<SlotEffect> on(const SlotAnswered &Event, TimePoint Now);
  std::vector<SlotEffect> on(const SlotShed &Event, TimePoint Now);
  std::vector<SlotEffect> on(const SlotFailed &Event, TimePoint Now);
  std::vector<SlotEffect> on(const HealthSeen &Event, TimePoint Now);
  std::vector<SlotEffect> on(const PeerReportedCold &Event, TimePoint Now);
  std::vector<SlotEffect> on(const PeerReportedLeaving &Event, TimePoint Now);

  std::vector<SlotEffect> becomeCold(ColdReason Reason, TimePoint Now);
  std::vector<SlotEffect> becomeLeaving(LeavingSlot Next, bool NotifyPeers);
  std::vector<SlotEffect> countGoodAnswer(TimePoint Now);
  bool recordLatency(Duration Latency);
  bool isLeaving() const;
  void release();

  SlotShare Share;
  SlotState State = ColdSlot{};
  std::uint32_t InFlight = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Generation = 0;
  std::uint64_t Incarnation = 0;
  TimePoint WindowStart;
  std::uint32_t GoodAnswers = 0;
  std::uint32_t ConsecutiveSheds = 0;
  std::uint32_t LatencyAnswers = 0;
  double BaselineLatency = 0; ///< Microseconds.
  double RecentLatency = 0;   ///< Microseconds.
};

} // namespace balsamyard
