#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <map>

namespace balsamyard {

/// \brief What the deployment promises to its targets and callers. The values
/// here hold where the settings leave one out.
struct FleetBounds {
  /// Extra arrivals at a service, of all processes together.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);

  /// Requests that a cold target bears in a second, of all processes together:
  /// its rate times the factor, and the slack on top.
  double ColdRateFactor = 1.5;
  double ColdSlack = 5;

  /// Share of the requests of a service that a bad version may get.
  double BadVersionShare = 0.1;

  /// A target that leaves serves this much longer.
  Duration DrainTime = std::chrono::seconds(3);

  /// From the stop signal until the process is killed.
  Duration StopTime = std::chrono::seconds(6);
};

/// \brief Settings of a node process, as its deployment gives them.
struct NodeSettings {
  NodeName Node;
  DomainName Domain;
  RegionName Region;
  std::map<DomainName, RegionName> Regions;
  Endpoint Callers;   ///< Where callers connect.
  Endpoint Readiness; ///< Where the balancer asks whether the node is ready.
  Endpoint Store;
  std::uint16_t MetricsPort = 0; ///< On the address for callers; 0: none.
  std::uint32_t Cores = 1;
  FleetBounds Bounds;
};

} // namespace balsamyard
