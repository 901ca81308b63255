#pragma once

#include "tests/crowd/Crowd.h"
#include "tests/crowd/ProcessUsage.h"
#include "tests/path/FakeFleet.h"
#include "tests/soak/NodeProcess.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace balsamyard::test {

inline constexpr std::size_t Megabyte = 1'000'000;
inline constexpr std::size_t Kibibyte = 1024;
inline constexpr std::size_t Mebibyte = 1024 * Kibibyte;

/// \brief Limits of callers in the configuration.
struct CallerBounds {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 262144;

  /// So long that no crowd is gone before the test is over: the node must bear
  /// it, however slow the machine is.
  Duration HeaderTimeout = std::chrono::minutes(10);
  Duration IdleTimeout = std::chrono::minutes(10);
};

/// \brief Pauses of a caller that reads its answer slowly.
struct ReadPauses {
  Duration First{}; ///< After the first bytes.
  Duration Each{};  ///< After every 64 KiB.
};

/// \brief A target that answers all requests with the same body, or none of
/// them. Unlike FakeTarget, it keeps no requests.
class CrowdTarget {
public:
  /// No answers if \p Body is empty.
  CrowdTarget(std::string Id, std::string Body);

  std::string address() const { return this->Server.address(); }

  const std::string Id;

private:
  void onRequest(ServerConnection &Peer, const HttpRequest &Request) const;

  const std::string Body;
  FakeServer Server;
};

/// \brief A balsamyard-node process with low limits, and a store and targets
/// that this process plays.
///
/// Routes, each with one target: "/small/" (an answer of 16 bytes), "/medium/"
/// (of MediumBytes), "/long/" (of LongBytes), "/silent/" (no answer); and
/// "/shards/", a query over Shards shards with silent targets.
class CrowdWorld {
public:
  static constexpr soak::NodeLimits LowLimits{2, 64, 1600};
  static constexpr std::size_t MediumBytes = 256 * Kibibyte;
  static constexpr std::size_t LongBytes = 6 * Mebibyte;
  static constexpr Duration GiveUpTime = std::chrono::seconds(60);

  /// How long a crowd stays at least.
  static constexpr Duration PressTime = std::chrono::seconds(3);
  static constexpr int Shards = 270;
  static constexpr int ShardTargets = 20; ///< Each serves several shards.

  explicit CrowdWorld(soak::NodeLimits Limits = LowLimits,
                      CallerBounds Bounds = {});
  ~CrowdWorld();

  /// \brief Adds a route "/NAME/" to a new target, which answers with \p Body,
  /// or not at all if that is empty.
  void addService(const std::string &Name, const std::string &Body);

  /// \returns whether a request to \p Path is answered with success. It is
  /// sent again, on a new connection, when it is refused or its connection
  /// ends, as an ordinary caller does, for GiveUpTime.
  bool isServed(const std::string &Path);

  /// \returns the answer to a single request on a new connection. Its status
  /// is 0 if there is none.
  HttpResponse ask(const std::string &Bytes,
                   const ReadPauses &Pauses = {}) const;

  /// \returns whether the process still runs.
  bool isAlive() { return !this->Node->takeExitStatus(); }

  /// \returns whether the process ends within its stop time when it is told to.
  bool stops();

  const soak::NodeProcess &node() const { return *this->Node; }
  const ProcessUsage &usage() const { return *this->Meter; }
  std::size_t memoryBytes() const {
    return this->Limits.MemoryMegabytes * Megabyte;
  }
  std::size_t descriptors() const { return this->Limits.Descriptors; }

private:
  void addTarget(const std::string &Service, const std::string &Body);
  void publish();

  const soak::NodeLimits Limits;
  const std::string Folder;
  const std::string Address;
  FakeStore Store;
  std::vector<std::unique_ptr<CrowdTarget>> Targets;
  nlohmann::json Config;
  std::unique_ptr<soak::NodeProcess> Node;
  std::unique_ptr<ProcessUsage> Meter;
  int NextId = 0;
};

/// \returns a request of an ordinary caller.
std::string request(const std::string &Path, const std::string &Id,
                    const std::string &MoreFields = "");

/// \brief Checks what holds in any crowd: the process lives, keeps to its
/// memory and descriptors, and serves ordinary requests while the crowd stays
/// and after it has left.
void checkBears(CrowdWorld &World, const asio::ip::tcp::endpoint &Server,
                std::size_t Clients, const ClientPlan &Plan);

} // namespace balsamyard::test
