#pragma once

#include "apps/balsamyard-entry/CallerRequest.h"
#include "apps/balsamyard-entry/EntryState.h"

namespace balsamyard::entry {

/// \brief Runs searches: carries out the effects of Query and passes the
/// replies of holders to it. \sa Query
class QueryRunner {
public:
  QueryRunner(EntryState &State, PeerClient &Peers)
      : State(State), Peers(Peers) {}

  /// \brief Runs one search on the calling thread, at most until its deadline.
  CallerAnswer run(const CallerRequest &Request);

private:
  EntryState &State;
  PeerClient &Peers;
};

} // namespace balsamyard::entry
