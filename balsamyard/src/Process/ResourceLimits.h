#pragma once

#include "balsamyard/src/Process/NodeSettings.h"

#include <cstddef>

namespace balsamyard {

/// \brief What callers may hold of the memory and the descriptors of a process,
/// so that enough is left for its targets, the store and other nodes.
/// docs/CAPACITY.md has the sums.
struct ResourceLimits {
  /// Memory that one connection of a caller may take without being counted: its
  /// object and small messages (16 KiB), and the buffers of its socket in the
  /// kernel (64 KiB).
  static constexpr std::size_t ConnectionBytes = 80UL * 1024;

  /// A process that may hold fewer connections serves nobody well.
  static constexpr std::size_t MinConnections = 16;

  std::size_t Connections = 0; ///< Of callers.
};

/// \returns the shares of what the platform grants a node.
ResourceLimits divideResources(const NodeSettings &Settings);

} // namespace balsamyard
