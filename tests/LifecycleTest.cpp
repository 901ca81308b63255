#include "balsamyard/src/Process/Lifecycle.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <pthread.h>
#include <thread>

using namespace balsamyard;
using namespace std::chrono_literals;

// Guards against a stop that cuts off requests (invariant 10): new work refused
// before the load balancer moved on, an exit while work runs, or none at all.
TEST_CASE("a process is asked to stop", "[lifecycle]") {
  Lifecycle Steps;
  TimePoint Start(1h);
  CHECK(Steps.handle(LifecycleTick{true}, Start).empty());
  auto First = Steps.handle(StopRequested{}, Start);
  REQUIRE(First.size() == 1);
  CHECK(std::holds_alternative<AnnounceLeaving>(First[0]));
  CHECK(std::holds_alternative<Leaving>(Steps.state()));

  SECTION("it serves for 2 s more, even when idle") {
    CHECK(Steps.handle(LifecycleTick{true}, Start + 1999ms).empty());
    auto Next = Steps.handle(LifecycleTick{true}, Start + 2s);
    REQUIRE(Next.size() == 1);
    CHECK(std::holds_alternative<BeginDrain>(Next[0]));

    SECTION("and exits when its work is done") {
      CHECK(Steps.handle(LifecycleTick{false}, Start + 5s).empty());
      auto Last = Steps.handle(LifecycleTick{true}, Start + 6s);
      REQUIRE(Last.size() == 1);
      CHECK(std::get<ExitProcess>(Last[0]).Complete);
      CHECK(Steps.handle(LifecycleTick{true}, Start + 7s).empty());
    }

    SECTION("or after 15 s with work left") {
      CHECK(Steps.handle(LifecycleTick{false}, Start + 14999ms).empty());
      auto Last = Steps.handle(LifecycleTick{false}, Start + 15s);
      REQUIRE(Last.size() == 1);
      CHECK_FALSE(std::get<ExitProcess>(Last[0]).Complete);
    }
  }

  SECTION("twice, and the second signal changes nothing") {
    CHECK(Steps.handle(StopRequested{}, Start + 1s).empty());
    CHECK(Steps.handle(LifecycleTick{}, Start + 1900ms).empty());
    CHECK(Steps.handle(LifecycleTick{}, Start + 2s).size() == 1);
  }
}

// Guards against a waiter that misses its signal.
TEST_CASE("the waiter follows the steps", "[lifecycle]") {
  std::vector<std::string> Seen;
  int Asked = 0;
  bool Complete = false;
  // Blocked before the thread exists, so the signal stays pending until the
  // thread waits for it.
  sigset_t Former;
  pthread_sigmask(SIG_SETMASK, nullptr, &Former);
  blockStopSignals();
  std::thread Waiter([&] {
    Complete = runLifecycle({[&] { Seen.emplace_back("leaving"); },
                             [&] { Seen.emplace_back("draining"); },
                             [&] { return ++Asked > 3; }},
                            {10ms, 10s});
  });
  pthread_kill(Waiter.native_handle(), SIGINT);
  Waiter.join();
  pthread_sigmask(SIG_SETMASK, &Former, nullptr);
  CHECK(Complete);
  CHECK(Seen == std::vector<std::string>{"leaving", "draining"});
  CHECK(Asked > 3);
}
