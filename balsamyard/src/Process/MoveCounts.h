#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Version/ServiceMove.h"

#include <nlohmann/json.hpp>

namespace balsamyard {

/// \brief Counts of one node, as shared with the other nodes through the store.
struct SharedCounts {
  ServiceName Service;
  VersionName To;
  NodeMoveCounts Counts;
};

/// \returns the content of the stored object for \p Counts.
nlohmann::json encodeCounts(const SharedCounts &Counts);

/// \returns the counts in a stored object, or an error for content that this
/// release cannot read; another release may have written it.
Expected<SharedCounts> decodeCounts(const nlohmann::json &Content);

} // namespace balsamyard
