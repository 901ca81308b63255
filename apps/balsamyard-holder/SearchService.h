#pragma once

#include "apps/balsamyard-holder/SlotTable.h"

namespace balsamyard::holder {

/// \brief Serves `/v1/leaf-batch`.
class SearchService {
public:
  SearchService(HolderState &State, SlotTable &Slots)
      : State(State), Slots(Slots) {}

  /// \brief Starts every item of the batch; never blocks.
  void serve(LeafBatch Batch, const Ref<PeerStream> &Stream);

private:
  HolderState &State;
  SlotTable &Slots;
};

} // namespace balsamyard::holder
