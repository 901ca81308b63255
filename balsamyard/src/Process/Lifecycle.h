#pragma once

#include "balsamyard/src/Core/Time.h"

#include <functional>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Time limits of a graceful shutdown.
struct LifecycleTimes {
  /// Time from the stop signal until new requests are refused. The load
  /// balancer must see the health check fail with 503 before that.
  Duration Leaving = std::chrono::seconds(2);

  /// Maximum time from the stop signal until the process exits.
  Duration Total = std::chrono::seconds(15);
};

/// \brief The process serves requests.
struct Running {};

/// \brief The health check returns 503; requests are still accepted.
struct Leaving {
  TimePoint Since;
};

/// \brief New requests are refused, running ones finish, and lanes and gates
/// are given to other nodes.
struct Draining {
  TimePoint Since;
};

/// \brief The process may exit.
struct Stopped {
  bool Complete = true; ///< False if work was left when the time limit expired.
};

using LifecycleState = std::variant<Running, Leaving, Draining, Stopped>;

/// \brief SIGTERM or SIGINT arrived. A second one has no effect.
struct StopRequested {};

/// \brief Periodic timer event. Idle means that no request runs and that no
/// lane or gate is left to give away.
struct LifecycleTick {
  bool Idle = false;
};

using LifecycleEvent = std::variant<StopRequested, LifecycleTick>;

/// \brief Make the health check return 503 and announce the shutdown to the
/// other processes.
struct AnnounceLeaving {};

/// \brief Start to refuse new requests.
struct BeginDrain {};

/// \brief Exit the process.
struct ExitProcess {
  bool Complete = true;
};

using LifecycleEffect = std::variant<AnnounceLeaving, BeginDrain, ExitProcess>;

/// \brief State machine of a graceful shutdown.
class Lifecycle {
public:
  explicit Lifecycle(LifecycleTimes Times = {}) : Times(Times) {}

  std::vector<LifecycleEffect> handle(const LifecycleEvent &Event,
                                      TimePoint Now);

  const LifecycleState &state() const { return this->State; }

private:
  LifecycleTimes Times;
  TimePoint SignalAt{};
  LifecycleState State = Running{};
};

/// \brief Callbacks for the steps of a shutdown.
struct LifecycleHooks {
  std::function<void()> OnLeaving;
  std::function<void()> OnDraining;
  std::function<bool()> IsIdle;
};

/// \brief Blocks SIGTERM and SIGINT in the calling thread and in all threads
/// that it creates later. Must be called before other threads are created.
void blockStopSignals();

/// \brief Waits for SIGTERM or SIGINT, then calls the hooks until the process
/// may exit.
/// \returns whether all work was finished within the time limit.
bool runLifecycle(const LifecycleHooks &Hooks, LifecycleTimes Times = {});

} // namespace balsamyard
