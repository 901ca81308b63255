#pragma once

#include "apps/balsamyard-entry/CallerRequest.h"
#include "apps/balsamyard-entry/EntryState.h"

namespace balsamyard::entry {

/// \brief Sends writes to the owner of their gate.
///
/// A write that may not be repeated is sent exactly once. Only the gate can
/// state that it did not run; without the gate's answer the outcome is unknown.
class WriteRunner {
public:
  WriteRunner(EntryState &State, PeerClient &Peers)
      : State(State), Peers(Peers) {}

  /// \brief Runs one write on the calling thread, at most until its deadline.
  CallerAnswer run(const CallerRequest &Request);

private:
  struct GateCall {
    Code Result = Code::GateUnreachable;
    std::optional<WriteReply> Reply;
  };

  GateCall callGate(const CallerRequest &Request);

  EntryState &State;
  PeerClient &Peers;
};

} // namespace balsamyard::entry
