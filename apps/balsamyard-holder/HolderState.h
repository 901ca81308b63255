#pragma once

#include "balsamyard/Connection"
#include "balsamyard/Core"
#include "balsamyard/Process"
#include "balsamyard/Version"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <atomic>
#include <mutex>

namespace balsamyard::holder {

/// Threads for platform calls of the write gates.
inline constexpr std::size_t PlatformThreads = 4;

/// \brief The quarantine of the process, shared by its threads. Requests take
/// no lock while it is empty.
class SharedQuarantine {
public:
  std::vector<QuarantineEffect> apply(const QuarantineEvent &Event,
                                      TimePoint Now);

  /// \brief Records a success of a suspected request. Takes no lock if no
  /// request is suspected.
  void succeeded(Fingerprint Print, TimePoint Now);

  bool holds(Fingerprint Print, TimePoint Now) const;
  std::map<Fingerprint, TimePoint> held(TimePoint Now) const;

private:
  mutable std::mutex Mutex;
  std::atomic<bool> Suspecting{false};
  std::atomic<bool> Holding{false};
  Quarantine Decision;
};

/// \brief State shared by the components of the holder process.
struct HolderState {
  HolderState(const Settings &Own, PeerClient &Peers, ControlAgent &Agent)
      : Own(Own), Peers(Peers), Agent(Agent),
        Evidence(Own.Node, static_cast<std::uint64_t>(
                               wallNow().time_since_epoch().count())),
        Workers(Own.WorkerThreads), Platform(PlatformThreads) {}

  const Settings &Own;
  PeerClient &Peers;
  ControlAgent &Agent;
  Metrics ProcessMetrics;
  EvidenceCollector Evidence;
  SharedQuarantine QuarantinedRequests;
  asio::thread_pool Workers;  ///< Blocking requests to targets.
  asio::thread_pool Platform; ///< Blocking calls to the platform.
  std::atomic<bool> Leaving{false};
  std::atomic<std::size_t> InFlight{0}; ///< Running batches and writes.

  /// \returns whether operators drained the failure domain of this node.
  bool isDrained(const RoutingView &View) const {
    return View.Configuration.isDrained(this->Own.Domain);
  }
};

} // namespace balsamyard::holder
