#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Position of a service in Configuration::Services.
using ServiceNumber = std::uint32_t;

/// \brief A service and its weight in a split.
struct WeightedService {
  ServiceNumber Service = 0;
  double Weight = 1;
};

/// \brief Each request goes to one of the services, chosen by weight.
struct SplitDestination {
  std::vector<WeightedService> Services;
};

/// \brief Each request goes to all services, which hold one shard each, and the
/// answers are merged.
struct ShardedDestination {
  std::vector<ServiceNumber> Shards;
  std::uint32_t TopRecords = 0; ///< Maximum records of a merged answer.
  double MinCoverage = 1;       ///< Fraction of the shards, 0 to 1.
};

using Destination = std::variant<SplitDestination, ShardedDestination>;

/// \brief Routing of the requests to a host and a path prefix.
struct Route {
  RouteName Name;
  std::string Host;
  std::string PathPrefix;
  bool Idempotent = false;
  Duration Timeout{};     ///< Maximum time until the final answer.
  Duration LatencyGoal{}; ///< An answer within it has full value.
  std::uint32_t MaxTargets =
      1; ///< Targets that a request may be sent to, per shard.
  std::vector<RegionName> Regions; ///< Allowed regions; empty: all.
  Destination To;
};

/// \brief Configuration of a service; its targets are announced separately.
struct ServiceSpec {
  ServiceName Name;
  std::string HealthPath = "/health";
  std::uint32_t MaxConnections = 1; ///< Per target, from all processes.
  double ColdRequestRate = 0;       ///< Per second, to a cold target.
};

/// \brief Limits on what a caller may send.
struct CallerLimits {
  std::size_t HeaderBytes = 64UL * 1024;
  std::size_t BodyBytes = 1024UL * 1024;
  Duration HeaderTimeout = std::chrono::seconds(10);
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// \brief One version of the configuration, immutable once it is published.
struct Configuration : RefCounted<Configuration> {
  ConfigVersion Version{};
  std::vector<Route> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;

  /// \brief Builds the index of match(). Call it once all members are filled
  /// in.
  void index();

  /// \returns the position of a service, which is added if it is missing.
  ServiceNumber findOrAddService(const ServiceName &Service);

  /// \returns the position in Routes of the longest prefix of \p Path among
  /// the routes of \p Host, or -1.
  std::ptrdiff_t match(std::string_view Host, std::string_view Path) const;

private:
  std::map<ServiceName, ServiceNumber> Numbers;

  /// Route positions by host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> ByHost;
};

} // namespace balsamyard
