#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Connection/TargetConnection.h"
#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Messages.h"

namespace balsamyard {

/// \brief State that a target reports in its answers and on its health page.
struct TargetStatus {
  TargetState State = TargetState::Warm;
  std::uint64_t Incarnation = 0;
};

/// \brief A leaf reply and, if the answer was valid, the status in it.
struct SearchAnswer {
  LeafReply Reply;
  TargetStatus ReportedStatus;
};

/// \brief A write reply and, if the answer was valid, the status in it.
struct WriteAnswer {
  WriteReply Reply;
  TargetStatus ReportedStatus;
};

/// \returns `POST /search` for one item of \p Batch.
TargetMessage encodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                           Duration Left);

/// \returns the reply for \p Exchange. An answer is valid only if it has all
/// members, matches the query, leaf, slot, attempt, snapshot and version of the
/// request, and contains only requested shards, each at most once.
SearchAnswer decodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                          const TargetExchange &Exchange);

/// \returns `POST /write`.
TargetMessage encodeWrite(const WriteCommand &Command);

/// \returns the reply for \p Exchange. Its outcome is NotRun only if the target
/// cannot have started the write, and Ran only if the answer is valid.
WriteAnswer decodeWrite(const WriteCommand &Command,
                        const TargetExchange &Exchange);

/// \returns the status on a health page, or the error of the exchange or
/// TargetMalformed.
Expected<TargetStatus> decodeHealth(const TargetExchange &Exchange);

} // namespace balsamyard
