#include "balsamyard/src/Process/ResourceLimits.h"

#include <algorithm>

namespace balsamyard {

ResourceLimits divideResources(const NodeSettings &Settings) {
  ResourceLimits Result;
  // The other half of the descriptors is for targets, other nodes, the store
  // and files; the other half of the memory for counted messages and for what
  // does not depend on callers.
  Result.Connections =
      std::max(std::min<std::size_t>(Settings.Descriptors / 2,
                                     Settings.MemoryBytes / 2 /
                                         ResourceLimits::ConnectionBytes),
               ResourceLimits::MinConnections);
  Result.PeerConnections =
      std::max(std::min<std::size_t>(Settings.Descriptors / 8,
                                     Settings.MemoryBytes / 8 /
                                         ResourceLimits::PeerConnectionBytes),
               ResourceLimits::MinConnections);
  Result.RequestBytes = Settings.MemoryBytes / 8;
  Result.AnswerBytes = Settings.MemoryBytes / 4;
  return Result;
}

} // namespace balsamyard
