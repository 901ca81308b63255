#pragma once

#include "balsamyard/src/Core/Time.h"

#include <functional>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief How long the steps of a graceful shutdown may take.
struct LifecycleTimes {
  /// From the stop signal until new work is refused, so that the load balancer
  /// sees the health answer 503 first.
  Duration Leaving = std::chrono::seconds(2);

  /// From the stop signal until the process exits at the latest.
  Duration Total = std::chrono::seconds(15);
};

/// \brief The process serves.
struct Running {};

/// \brief Health reports 503; requests are still accepted.
struct Leaving {
  TimePoint Since;
};

/// \brief New requests are refused; running ones finish, lanes and gates are
/// given away.
struct Draining {
  TimePoint Since;
};

/// \brief The process may exit.
struct Stopped {
  bool Complete = true; ///< False if work was left when the time was over.
};

using LifecycleState = std::variant<Running, Leaving, Draining, Stopped>;

/// \brief SIGTERM or SIGINT arrived. A second one has no effect.
struct StopRequested {};

/// \brief Time passed. Idle says that no request runs and nothing is left to
/// give away.
struct LifecycleTick {
  bool Idle = false;
};

using LifecycleEvent = std::variant<StopRequested, LifecycleTick>;

/// \brief Health turns to 503 and the other processes are told.
struct AnnounceLeaving {};

/// \brief New requests are refused from now on.
struct BeginDrain {};

/// \brief The process exits.
struct ExitProcess {
  bool Complete = true;
};

using LifecycleEffect = std::variant<AnnounceLeaving, BeginDrain, ExitProcess>;

/// \brief Decides about the steps of a graceful shutdown.
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

/// \brief What a process does in the steps of its shutdown.
struct LifecycleHooks {
  std::function<void()> OnLeaving;
  std::function<void()> OnDraining;
  std::function<bool()> IsIdle;
};

/// \brief Blocks SIGTERM and SIGINT in the calling thread and in all threads
/// that it creates later; to be called before any other thread exists.
void blockStopSignals();

/// \brief Waits for SIGTERM or SIGINT, then calls the hooks until the process
/// may exit.
/// \returns whether all work was finished in time.
bool runLifecycle(const LifecycleHooks &Hooks, LifecycleTimes Times = {});

} // namespace balsamyard
