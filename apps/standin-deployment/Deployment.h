#pragma once

#include "balsamyard/Core"
#include "balsamyard/Version"

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

/// \brief Services of one kind in a deployment.
struct ServiceKind {
  std::string Prefix;
  std::string Route;
  std::uint32_t Services = 1;
  std::uint32_t Leaves = 1;
  std::uint32_t SlotsPerLeaf = 3;
  std::uint32_t ConnectionLimit = 8;
  std::chrono::milliseconds ConnectTime{1};
};

/// \brief A user's deployment, scaled to one machine.
struct DeploymentKind {
  std::string Name;
  std::vector<std::string> Domains;
  std::vector<ServiceKind> Services;
};

/// \returns the deployment called \p Name ("maracas" or "lakeshore"), or an
/// error.
balsamyard::Expected<DeploymentKind> deploymentKind(const std::string &Name);

/// \brief Addresses and settings of one node.
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

/// \brief One deployment with all its addresses.
struct Deployment {
  DeploymentKind Kind;
  balsamyard::Endpoint Platform;
  std::vector<DeployedNode> Nodes;
  std::vector<balsamyard::ServiceCatalog> Services;
  balsamyard::ServiceName MovedService; ///< Also has slots of version v2.

  /// \returns the kind that the service belongs to.
  const ServiceKind &kindOf(const balsamyard::ServiceName &Service) const;
};

/// \returns the deployment on ports of \p Address that the kernel chose.
///
/// Ports of 127.0.0.1 may be taken by outgoing connections before the processes
/// start, and those of another deployment's address by its processes.
Deployment placeDeployment(DeploymentKind Kind, std::uint32_t NodesPerDomain,
                           const std::string &Address);

/// \brief Settings of a recorded trace.
struct TraceOptions {
  std::uint64_t Seed = 1;
  std::uint32_t RequestsPerSecond = 100;
  std::chrono::seconds Length{20};
  double WriteShare = 0.05;
  double MovedShare = 0.4;         ///< Requests for the service that moves.
  std::chrono::seconds MoveIn{35}; ///< Time of the move, after generation.
};

/// \brief Writes settings, catalogs, targets, rules, trace, expectations and
/// the list of processes below \p Folder.
void writeDeployment(const Deployment &From, const TraceOptions &Options,
                     const std::string &Folder);

} // namespace standin
