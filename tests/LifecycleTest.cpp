#include "balsamyard/src/Process/Lifecycle.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <pthread.h>
#include <thread>

using namespace balsamyard;
using namespace std::chrono_literals;

// Guards against a shutdown that drops requests (invariant 10): new requests
// refused before the load balancer has noticed, an exit while requests run, or
// no exit at all.
TEST_CASE("a process is asked to stop", "[lifecycle]") {
  Lifecycle Machine;
  TimePoint Start(1h);
  CHECK(Machine.handle(LifecycleTick{true}, Start).empty());
  auto First = Machine.handle(StopRequested{}, Start);
  REQUIRE(First.size() == 1);
  CHECK(std::holds_alternative<AnnounceLeaving>(First[0]));
  CHECK(std::holds_alternative<Leaving>(Machine.state()));

  SECTION("it serves for 2 s more, even when idle") {
    CHECK(Machine.handle(LifecycleTick{true}, Start + 1999ms).empty());
    auto Next = Machine.handle(LifecycleTick{true}, Start + 2s);
    REQUIRE(Next.size() == 1);
    CHECK(std::holds_alternative<BeginDrain>(Next[0]));

    SECTION("and exits when its work is done") {
      CHECK(Machine.handle(LifecycleTick{false}, Start + 5s).empty());
      auto Last = Machine.handle(LifecycleTick{true}, Start + 6s);
      REQUIRE(Last.size() == 1);
      CHECK(std::get<ExitProcess>(Last[0]).Complete);
      CHECK(Machine.handle(LifecycleTick{true}, Start + 7s).empty());
    }

    SECTION("or after 15 s with work left") {
      CHECK(Machine.handle(LifecycleTick{false}, Start + 14999ms).empty());
      auto Last = Machine.handle(LifecycleTick{false}, Start + 15s);
      REQUIRE(Last.size() == 1);
      CHECK_FALSE(std::get<ExitProcess>(Last[0]).Complete);
    }
  }

  SECTION("twice, and the second signal changes nothing") {
    CHECK(Machine.handle(StopRequested{}, Start + 1s).empty());
    CHECK(Machine.handle(LifecycleTick{}, Start + 1900ms).empty());
    CHECK(Machine.handle(LifecycleTick{}, Start + 2s).size() == 1);
  }
}

// Guards against a signal that is missed because it arrives before
// runLifecycle() waits for it.
TEST_CASE("the waiter follows the steps", "[lifecycle]") {
  std::vector<std::string> Calls;
  int IdleChecks = 0;
  bool Complete = false;
  // The signals are blocked before the thread is created, so SIGINT stays
  // pending until the thread waits for it.
  sigset_t PreviousMask;
  pthread_sigmask(SIG_SETMASK, nullptr, &PreviousMask);
  blockStopSignals();
  std::thread Waiter([&] {
    Complete = runLifecycle({[&] { Calls.emplace_back("leaving"); },
                             [&] { Calls.emplace_back("draining"); },
                             [&] { return ++IdleChecks > 3; }},
                            {10ms, 10s});
  });
  pthread_kill(Waiter.native_handle(), SIGINT);
  Waiter.join();
  pthread_sigmask(SIG_SETMASK, &PreviousMask, nullptr);
  CHECK(Complete);
  CHECK(Calls == std::vector<std::string>{"leaving", "draining"});
  CHECK(IdleChecks > 3);
}
