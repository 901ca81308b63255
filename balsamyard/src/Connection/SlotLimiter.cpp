#include "balsamyard/src/Connection/SlotLimiter.h"

#include <algorithm>
#include <cassert>

namespace balsamyard {

std::uint32_t laneShare(std::uint32_t Limit, const OwnedLanes &Lanes) {
  std::uint32_t Sum = 0;
  for (std::uint32_t Lane : Lanes.Owned)
    Sum += laneShare(Limit, Lanes.Count, Lane);
  return Sum;
}

std::string_view name(const SlotState &State) {
  static constexpr std::string_view Names[] = {"cold", "warming", "warm",
                                               "leaving"};
  return Names[State.index()];
}

std::string_view name(ColdReason Reason) {
  switch (Reason) {
  case ColdReason::LaneTaken:
    return "lane-taken";
  case ColdReason::ConnectionsLost:
    return "connections-lost";
  case ColdReason::NewIncarnation:
    return "new-incarnation";
  case ColdReason::Shedding:
    return "shedding";
  case ColdReason::Slow:
    return "slow";
  case ColdReason::SaidByTarget:
    return "said-by-target";
  case ColdReason::SaidByPeer:
    return "said-by-peer";
  }
  return "unknown";
}

SlotLimiter::SlotLimiter(SlotShare Share, TimePoint Now)
    : Share(Share), WindowStart(Now) {}

std::uint32_t SlotLimiter::limit() const {
  struct Visitor {
    const SlotShare &Share;
    std::uint32_t operator()(const ColdSlot &) const {
      return std::min(this->Share.ColdInFlight, this->Share.Connections);
    }
    std::uint32_t operator()(const WarmingSlot &Warming) const {
      return std::min(Warming.Limit, this->Share.Connections);
    }
    std::uint32_t operator()(const WarmSlot &) const {
      return this->Share.Connections;
    }
    std::uint32_t operator()(const LeavingSlot &) const { return 0; }
  };
  return std::visit(Visitor{this->Share}, this->State);
}

std::optional<SlotTicket> SlotLimiter::start() {
  if (this->InFlight >= this->limit())
    return std::nullopt;
  ++this->InFlight;
  return SlotTicket{this->Epoch, this->Generation};
}

std::vector<SlotEffect> SlotLimiter::apply(const SlotEvent &Event,
                                           TimePoint Now) {
  return std::visit([&](const auto &Body) { return this->on(Body, Now); },
                    Event);
}

std::vector<SlotEffect> SlotLimiter::on(const ShareChanged &Event,
                                        TimePoint Now) {
  this->Share = Event.Share;
  if (!Event.LaneTaken || this->isLeaving())
    return {};
  return this->becomeCold(ColdReason::LaneTaken, Now);
}

std::vector<SlotEffect> SlotLimiter::on(const ConnectionsLost &,
                                        TimePoint Now) {
  ++this->Generation;
  // A leaving target also closes its connections, so this does not mean that it
  // restarted. A new incarnation on the health page does.
  if (this->isLeaving())
    return {};
  return this->becomeCold(ColdReason::ConnectionsLost, Now);
}

std::vector<SlotEffect> SlotLimiter::on(const SlotAnswered &Event,
                                        TimePoint Now) {
  this->release();
  if (Event.Ticket.Generation != this->Generation)
    return {};
  const bool Restarted = Event.Incarnation != 0 && this->Incarnation != 0 &&
                         Event.Incarnation != this->Incarnation;
  if (Event.Incarnation != 0)
    this->Incarnation = Event.Incarnation;
  if (Event.State == TargetState::Leaving)
    return this->becomeLeaving({true, Now}, true);
  if (Restarted)
    return this->becomeCold(ColdReason::NewIncarnation, Now);
  if (this->isLeaving() || Event.Ticket.Epoch != this->Epoch)
    return {};
  this->ConsecutiveSheds = 0;
  if (Event.State == TargetState::Cold) {
    if (!std::holds_alternative<ColdSlot>(this->State))
      return this->becomeCold(ColdReason::SaidByTarget, Now);
    // The window restarts, because the target still reports that it is cold.
    this->WindowStart = Now;
    this->GoodAnswers = 0;
    return {};
  }
  if (this->recordLatency(Event.Latency))
    return this->becomeCold(ColdReason::Slow, Now);
  return this->countGoodAnswer(Now);
}

std::vector<SlotEffect> SlotLimiter::on(const SlotShed &Event, TimePoint Now) {
  this->release();
  if (this->isLeaving() || Event.Ticket.Epoch != this->Epoch)
    return {};
  this->GoodAnswers = 0;
  this->WindowStart = Now;
  if (++this->ConsecutiveSheds < ShedsUntilCold)
    return {};
  return this->becomeCold(ColdReason::Shedding, Now);
}

std::vector<SlotEffect> SlotLimiter::on(const SlotFailed &, TimePoint) {
  this->release();
  return {};
}

std::vector<SlotEffect> SlotLimiter::on(const HealthSeen &Event,
                                        TimePoint Now) {
  if (Event.State == TargetState::Leaving)
    return this->becomeLeaving({false, Now}, true);
  const auto *Leaving = std::get_if<LeavingSlot>(&this->State);
  if (!Leaving)
    return {};
  const bool IncarnationKnown = this->Incarnation != 0;
  const bool Restarted =
      IncarnationKnown && Event.Incarnation != this->Incarnation;
  // Without a known incarnation, a restart cannot be detected, only assumed
  // after LeavingRetryDelay.
  const bool MayRetry = !Leaving->ReportedInAnswer || !IncarnationKnown;
  if (!Restarted &&
      (!MayRetry || Now - Leaving->LastReported < LeavingRetryDelay))
    return {};
  this->Incarnation = Event.Incarnation;
  return this->becomeCold(ColdReason::NewIncarnation, Now);
}

std::vector<SlotEffect> SlotLimiter::on(const PeerReportedCold &,
                                        TimePoint Now) {
  if (this->isLeaving())
    return {};
  return this->becomeCold(ColdReason::SaidByPeer, Now);
}

std::vector<SlotEffect> SlotLimiter::on(const PeerReportedLeaving &,
                                        TimePoint Now) {
  return this->becomeLeaving({false, Now}, false);
}

std::vector<SlotEffect> SlotLimiter::becomeCold(ColdReason Reason,
                                                TimePoint Now) {
  const bool WasCold = std::holds_alternative<ColdSlot>(this->State);
  this->State = ColdSlot{};
  ++this->Epoch;
  this->WindowStart = Now;
  this->GoodAnswers = 0;
  this->ConsecutiveSheds = 0;
  this->LatencyAnswers = 0;
  const bool StateChanged = Reason == ColdReason::NewIncarnation || !WasCold;
  const bool IsOwnEvidence =
      Reason != ColdReason::LaneTaken && Reason != ColdReason::SaidByPeer;
  if (!StateChanged)
    return {};
  return {BecameCold{Reason, IsOwnEvidence}};
}

std::vector<SlotEffect> SlotLimiter::becomeLeaving(LeavingSlot Next,
                                                   bool NotifyPeers) {
  if (auto *Leaving = std::get_if<LeavingSlot>(&this->State)) {
    Leaving->ReportedInAnswer |= Next.ReportedInAnswer;
    Leaving->LastReported = Next.LastReported;
    return {};
  }
  this->State = Next;
  ++this->Epoch;
  return {BecameLeaving{NotifyPeers}};
}

std::vector<SlotEffect> SlotLimiter::countGoodAnswer(TimePoint Now) {
  if (std::holds_alternative<WarmSlot>(this->State))
    return {};
  const std::uint32_t Limit = this->limit();
  if (++this->GoodAnswers < Limit || Now - this->WindowStart < WarmupWindow)
    return {};
  this->WindowStart = Now;
  this->GoodAnswers = 0;
  if (Limit >= this->Share.Connections ||
      2 * Limit >= this->Share.Connections) {
    this->State = WarmSlot{};
    return {BecameWarm{}};
  }
  this->State = WarmingSlot{2 * Limit};
  return {};
}

bool SlotLimiter::recordLatency(Duration Latency) {
  const double Value = static_cast<double>(Latency.count());
  if (this->LatencyAnswers == 0) {
    this->BaselineLatency = Value;
    this->RecentLatency = Value;
  }
  // Exponential moving averages over about 8 and 128 answers.
  this->RecentLatency += (Value - this->RecentLatency) / 8;
  this->BaselineLatency += (Value - this->BaselineLatency) / 128;
  if (this->LatencyAnswers < BaselineAnswers) {
    ++this->LatencyAnswers;
    return false;
  }
  return this->RecentLatency > SlowFactor * this->BaselineLatency;
}

bool SlotLimiter::isLeaving() const {
  return std::holds_alternative<LeavingSlot>(this->State);
}

void SlotLimiter::release() {
  assert(this->InFlight > 0 && "each ticket is given back once");
  --this->InFlight;
}

} // namespace balsamyard
