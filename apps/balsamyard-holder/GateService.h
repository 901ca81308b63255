#pragma once

#include "apps/balsamyard-holder/SlotTable.h"

#include <array>
#include <condition_variable>
#include <unordered_map>

namespace balsamyard::holder {

/// \brief Serves `/v1/write` and `/v1/leaf-write` and runs the write gates.
class GateService {
public:
  GateService(HolderState &State, SlotTable &Slots);

  /// \brief Handles a write that an entry process forwards.
  void serveWrite(WriteCommand Command, const Ref<PeerStream> &Stream);

  /// \brief Runs one attempt that a gate sent to this node as the owner of a
  /// lane.
  void serveLeafWrite(WriteCommand Command, const Ref<PeerStream> &Stream);

  /// \brief Applies the gate ownership reported by the share controller.
  void update(const OwnedShares &Owned);

  /// \brief Gives gates away. Blocks until no write runs there or the longest
  /// expiry of a write and one tick have passed.
  void stopGates(const std::vector<std::size_t> &GateNumbers);

  /// \brief Advances the time of all gates; called every
  /// WriteGate::TickPeriod.
  void tick();

  struct GateStatus {
    std::string_view State;
    std::size_t Entries = 0;
  };
  std::array<GateStatus, WriteGateCount> status() const;

private:
  struct Gate {
    Gate(const NodeName &Node, WallTime Started) : Decision(Node, Started) {}
    mutable std::mutex Mutex;
    std::condition_variable Drained;
    bool IsDrained = false;
    WriteGate Decision;
    std::uint64_t NextCaller = 0;
    std::unordered_map<std::uint64_t, Ref<PeerStream>> Callers;
  };
  using AttemptHandler = std::function<void(WriteReply)>;

  void apply(std::size_t Number, const GateEvent &Event);
  void carryOut(std::size_t Number, const SendWrite &Effect);
  void carryOut(std::size_t Number, const AnswerWrite &Effect);
  void carryOut(std::size_t Number, const CreateClaim &Effect);
  void carryOut(std::size_t Number, const RereadOwner &Effect);
  void carryOut(std::size_t Number, const GateDrained &Effect);

  /// \brief Runs one attempt on this node, or sends it to the owner of a lane.
  void attempt(const WriteCommand &Command, AttemptHandler OnEnd);
  void sendAttempt(const Endpoint &Holder, const WriteCommand &Command,
                   AttemptHandler OnEnd);
  /// \returns the usable slots of the leaf that run the version of the command,
  /// those of the own failure domain first.
  std::vector<SlotIndex> slotsFor(const WriteCommand &Command) const;
  /// \brief Reads the gate table from the platform for all gates that asked.
  void rereadOwners();

  HolderState &State;
  SlotTable &Slots;
  std::array<std::unique_ptr<Gate>, WriteGateCount> Gates;

  std::mutex OwnedMutex;
  Ref<const OwnedShares> Owned;

  std::mutex ReadMutex;
  bool ReadScheduled = false;
  std::map<std::size_t, std::uint64_t> PendingReads; ///< Epoch by gate.
};

} // namespace balsamyard::holder
