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

  /// \brief A write of an entry process.
  void serveWrite(WriteCommand Command, const Ref<PeerStream> &Stream);

  /// \brief One attempt that a gate sends to the owner of a lane.
  void serveLeafWrite(WriteCommand Command, const Ref<PeerStream> &Stream);

  /// \brief Takes in what the share keeper says of the gates.
  void update(const OwnedShares &Owned);

  /// \brief Gives gates away; returns once no write runs there.
  void stopGates(const std::vector<std::size_t> &Which);

  /// \brief Called every WriteGate::TickPeriod.
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

  /// \brief Makes one attempt, here or at the owner of a lane.
  void attempt(const WriteCommand &Command, AttemptHandler OnEnd);
  void attemptAt(const Endpoint &Holder, const WriteCommand &Command,
                 AttemptHandler OnEnd);
  std::vector<SlotIndex> slotsFor(const WriteCommand &Command) const;
  void rereadOwners();

  HolderState &State;
  SlotTable &Slots;
  std::array<std::unique_ptr<Gate>, WriteGateCount> Gates;

  std::mutex OwnedMutex;
  Ref<const OwnedShares> Owned;

  std::mutex ReadMutex;
  bool Reading = false;
  std::map<std::size_t, std::uint64_t> WantedReads; ///< Gate and its epoch.
};

} // namespace balsamyard::holder
