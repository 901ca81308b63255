#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Version/ServiceMove.h"

#include <nlohmann/json.hpp>

namespace balsamyard {

/// \brief Counts of one node, as the nodes tell each other through the store.
struct SharedCounts {
  ServiceName Service;
  VersionName To;
  NodeMoveCounts Counts;
};

/// \returns the content of the object that carries \p Counts.
nlohmann::json encodeCounts(const SharedCounts &Counts);

/// \returns what an object of that kind says. Its content may come from a
/// writer of another release.
Expected<SharedCounts> decodeCounts(const nlohmann::json &Content);

} // namespace balsamyard
