#include "balsamyard/src/Process/Lifecycle.h"
#include "balsamyard/src/Core/Overload.h"

#include <csignal>
#include <ctime>

namespace balsamyard {

namespace {

/// Interval between checks for running work during a shutdown.
constexpr Duration CheckPeriod = std::chrono::milliseconds(20);

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

timespec toTimespec(Duration Value) {
  auto Seconds = std::chrono::floor<std::chrono::seconds>(Value);
  return {static_cast<time_t>(Seconds.count()),
          static_cast<long>(std::chrono::nanoseconds(Value - Seconds).count())};
}

} // namespace

std::vector<LifecycleEffect> Lifecycle::handle(const LifecycleEvent &Event,
                                               TimePoint Now) {
  std::vector<LifecycleEffect> Effects;
  auto Stop = [&](bool Complete) {
    this->State = Stopped{Complete};
    Effects.emplace_back(ExitProcess{Complete});
  };
  auto OnStop = [&](const StopRequested &) {
    if (!std::holds_alternative<Running>(this->State))
      return;
    this->SignalAt = Now;
    this->State = Leaving{Now};
    Effects.emplace_back(AnnounceLeaving{});
  };
  auto OnTick = [&](const LifecycleTick &Tick) {
    if (std::holds_alternative<Leaving>(this->State) &&
        Now - this->SignalAt >= this->Times.Leaving) {
      this->State = Draining{Now};
      Effects.emplace_back(BeginDrain{});
      // Idle was determined before new requests were refused, so it is ignored
      // in this tick.
      return;
    }
    if (!std::holds_alternative<Draining>(this->State))
      return;
    if (Tick.Idle)
      Stop(true);
    else if (Now - this->SignalAt >= this->Times.Total)
      Stop(false);
  };
  std::visit(Overload{OnStop, OnTick}, Event);
  return Effects;
}

void blockStopSignals() {
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

bool runLifecycle(const LifecycleHooks &Hooks, LifecycleTimes Times) {
  Lifecycle Machine(Times);
  sigset_t Signals = stopSignals();
  int Signal = 0;
  while (sigwait(&Signals, &Signal) != 0) {
  }
  LifecycleEvent Event = StopRequested{};
  for (;;) {
    for (const LifecycleEffect &Effect : Machine.handle(Event, steadyNow())) {
      if (std::holds_alternative<AnnounceLeaving>(Effect))
        Hooks.OnLeaving();
      else if (std::holds_alternative<BeginDrain>(Effect))
        Hooks.OnDraining();
      else if (const auto *Exit = std::get_if<ExitProcess>(&Effect))
        return Exit->Complete;
    }
    // A second signal only ends this wait early.
    timespec Pause = toTimespec(CheckPeriod);
    sigtimedwait(&Signals, nullptr, &Pause);
    bool Idle = !std::holds_alternative<Running>(Machine.state()) &&
                (!Hooks.IsIdle || Hooks.IsIdle());
    Event = LifecycleTick{Idle};
  }
}

} // namespace balsamyard
