#pragma once

#include "balsamyard/Core"
#include "balsamyard/Version"

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

/// \brief A group of services with the same name prefix and layout.
struct ServiceGroup {
  std::string Prefix;
  std::string Route;
  std::uint32_t Services = 1;
  std::uint32_t Leaves = 1;
  std::uint32_t SlotsPerLeaf = 3;
  std::uint32_t ConnectionLimit = 8;
  std::chrono::milliseconds ConnectTime{1};
};

/// \brief Layout of a user's deployment, scaled down to one machine.
struct DeploymentLayout {
  std::string Name;
  std::vector<std::string> Domains;
  std::vector<ServiceGroup> Services;
};

/// \returns the deployment called \p Name ("maracas" or "lakeshore"), or an
/// error.
balsamyard::Expected<DeploymentLayout>
findDeploymentLayout(const std::string &Name);

/// \brief Name, failure domain and addresses of one node.
struct DeployedNode {
  balsamyard::NodeName Name;
  balsamyard::DomainName Domain;
  balsamyard::Endpoint EntryHttp;
  balsamyard::Endpoint EntryPeer;
  balsamyard::Endpoint EntryGossip;
  balsamyard::Endpoint HolderHttp;
  balsamyard::Endpoint HolderPeer;
  balsamyard::Endpoint HolderGossip;
};

/// \brief A deployment with an address for each of its processes.
struct Deployment {
  DeploymentLayout Layout;
  balsamyard::Endpoint Platform;
  std::vector<DeployedNode> Nodes;
  std::vector<balsamyard::ServiceCatalog> Services;
  balsamyard::ServiceName MovedService; ///< Also has slots of version v2.

  /// \returns the group that \p Service belongs to.
  const ServiceGroup &
  findServiceGroup(const balsamyard::ServiceName &Service) const;
};

/// \returns the deployment on free ports of \p Address, chosen by the kernel.
///
/// \p Address should be neither 127.0.0.1, whose ports outgoing connections may
/// take before the processes start, nor that of another deployment, whose
/// processes may take them.
Deployment placeDeployment(DeploymentLayout Layout,
                           std::uint32_t NodesPerDomain,
                           const std::string &Address);

/// \brief Options of the generated trace.
struct TraceOptions {
  std::uint64_t Seed = 1;
  std::uint32_t RequestsPerSecond = 100;
  std::chrono::seconds Length{20};
  double WriteShare = 0.05;
  /// Share of requests to MovedService; the rest is uniform over all services.
  double MovedShare = 0.4;
  /// Time from generation until the move is due.
  std::chrono::seconds MoveIn{35};
};

/// \brief Writes settings, catalogs, targets, rules, trace, expectations and
/// the list of processes below \p Folder.
void writeDeployment(const Deployment &From, const TraceOptions &Options,
                     const std::string &Folder);

} // namespace standin
