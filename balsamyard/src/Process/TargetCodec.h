#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Connection/TargetConnection.h"
#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Messages.h"

namespace balsamyard {

/// \brief What a target says about itself.
struct TargetStatus {
  TargetState State = TargetState::Warm;
  std::uint64_t Incarnation = 0;
};

/// \brief A leaf reply and, if the answer was valid, what the target says.
struct SearchAnswer {
  LeafReply Reply;
  TargetStatus ReportedStatus;
};

/// \brief A write reply and, if the answer was valid, what the target says.
struct WriteAnswer {
  WriteReply Reply;
  TargetStatus ReportedStatus;
};

/// \returns `POST /search` for one item of \p Batch.
TargetMessage encodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                           Duration Left);

/// \returns the reply that the exchange amounts to. An answer counts only if it
/// is complete, of the asked query, leaf, slot, attempt, snapshot and version,
/// and holds each asked shard at most once.
SearchAnswer decodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                          const TargetExchange &Exchange);

/// \returns `POST /write`.
TargetMessage encodeWrite(const WriteCommand &Command);

/// \returns the reply that the exchange amounts to: NotRun only if the target
/// cannot have started the write, Ran only on a valid answer to it.
WriteAnswer decodeWrite(const WriteCommand &Command,
                        const TargetExchange &Exchange);

/// \returns what a health page says.
Expected<TargetStatus> decodeHealth(const TargetExchange &Exchange);

} // namespace balsamyard
