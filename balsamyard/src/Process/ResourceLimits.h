#pragma once

#include "balsamyard/src/Process/NodeSettings.h"

#include <cstddef>

namespace balsamyard {

/// \brief What callers may hold of the memory and the descriptors of a process,
/// so that enough is left for its targets, the store and other nodes.
/// docs/CAPACITY.md has the sums.
struct ResourceLimits {
  /// Memory that one connection of a caller may take without being counted: its
  /// object and small messages (16 KiB), and what the kernel has not sent
  /// (64 KiB, as it takes whole segments) and nobody has read (64 KiB).
  static constexpr std::size_t ConnectionBytes = 144UL * 1024;

  /// Memory that one connection of another node takes: a read buffer and its
  /// state.
  static constexpr std::size_t PeerConnectionBytes = 64UL * 1024;

  /// A process that may hold fewer connections serves nobody well.
  static constexpr std::size_t MinConnections = 16;

  std::size_t Connections = 0;     ///< Of callers.
  std::size_t PeerConnections = 0; ///< Of other nodes to this one.
  std::size_t RequestBytes = 0;    ///< Counted parts of requests.
  std::size_t AnswerBytes = 0;     ///< Answers that are read, held and sent.
};

/// \returns the shares of what the platform grants a node.
ResourceLimits divideResources(const NodeSettings &Settings);

} // namespace balsamyard
