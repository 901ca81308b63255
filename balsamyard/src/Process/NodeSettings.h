#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace balsamyard {

/// \brief Limits that the deployment guarantees to its targets and callers. The
/// defaults apply to limits that the settings leave out.
struct FleetBounds {
  /// Limit on retries and hedged requests to a service, over all processes: the
  /// ratio to its requests in the window, plus the slack.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);

  /// Limit on the requests per second to a cold target, over all processes: its
  /// rate times the factor, plus the slack.
  double ColdRateFactor = 1.5;
  double ColdSlack = 5;

  /// Maximum share of the requests of a service that a bad version may get.
  double BadVersionShare = 0.1;

  /// How long a target keeps serving after it announces that it leaves.
  Duration DrainTime = std::chrono::seconds(3);

  /// How often a target writes its entry in the store.
  Duration TargetHeartbeat = std::chrono::milliseconds(1200);

  /// Time within which an accepted configuration has to be in force.
  Duration ConfigurationTime = std::chrono::seconds(3);

  /// Time between the stop signal and the kill of the process.
  Duration StopTime = std::chrono::seconds(6);
};

/// \brief Settings of a node process.
struct NodeSettings {
  NodeName Node;
  DomainName Domain;
  RegionName Region;
  std::map<DomainName, RegionName> Regions;
  Endpoint Callers;   ///< Listens for callers.
  Endpoint Readiness; ///< Listens for readiness checks of the load balancer.
  Endpoint Store;
  Endpoint Peers; ///< Listens for other nodes; port 0 disables it.
  std::uint16_t MetricsPort = 0; ///< On the address for callers; 0 disables.
  std::uint32_t Cores = 1;

  /// Processor time per second, in thousandths of a core.
  std::uint32_t Capacity = 1000;

  /// Memory and open descriptors that the process may use.
  std::size_t MemoryBytes = 256'000'000;
  std::uint32_t Descriptors = 4096;

  bool FirstStart = false; ///< The whole system starts for the first time.
  FleetBounds Bounds;
};

} // namespace balsamyard
