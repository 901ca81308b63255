#include "balsamyard/Request"

#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);

} // namespace

// Guards against admitting requests that will miss their deadline, and against
// refusals that keep a recovered service idle.
TEST_CASE("requests are shed early", "[admission]") {
  Arrival Request;
  Request.TimeLeft = 160 * Millisecond;
  Request.InFlight = 20;
  Request.Limit = 256;
  Request.ServiceInFlight = 10;
  Request.MedianLeafTime = 20 * Millisecond;
  Request.AverageInFlight = 10;

  SECTION("a request with time enough is admitted") {
    CHECK(admit(Request) == Code::Ok);
  }

  SECTION("a request whose deadline has passed is not") {
    Request.TimeLeft = Duration(0);
    CHECK(admit(Request) == Code::DeadlineExpired);
  }

  SECTION("a request that would exceed the limit is not") {
    Request.InFlight = 256;
    CHECK(admit(Request) == Code::Overloaded);
  }

  SECTION("when half of the leaves need longer than the deadline") {
    Request.MedianLeafTime = 200 * Millisecond;
    CHECK(admit(Request) == Code::Overloaded);

    SECTION("a few requests still go through and see the recovery") {
      Request.ServiceInFlight = ProbeRequests - 1;
      CHECK(admit(Request) == Code::Ok);
    }
  }

  SECTION("when the service is far busier than usual") {
    Request.ServiceInFlight = 109;
    CHECK(predictedWait(Request) == 200 * Millisecond);
    CHECK(admit(Request) == Code::Overloaded);
  }

  SECTION("a service without history is admitted") {
    Request.MedianLeafTime = Duration(0);
    Request.AverageInFlight = 0;
    CHECK(admit(Request) == Code::Ok);
  }
}

// Guards against a prediction that is dominated by the slowest leaf: a lost
// leaf makes each query wait for its deadline.
TEST_CASE("the prediction comes from typical leaves", "[admission]") {
  ServiceStats Stats;
  for (int Query = 0; Query < 200; ++Query) {
    Stats.started();
    Stats.ended(8 * Millisecond, 5);
  }
  CHECK(Stats.medianLeafTime() > 7 * Millisecond);
  CHECK(Stats.medianLeafTime() <= 8 * Millisecond);
  CHECK(Stats.averageInFlight() > 4.9);
  CHECK(Stats.inFlight() == 0);
}

// Guards against a limit that is exceeded, or that shrinks because ended
// requests remain counted.
TEST_CASE("the limit of requests in flight holds", "[admission]") {
  InFlightLimit Limit(3);

  SECTION("for one thread") {
    CHECK(Limit.enter());
    CHECK(Limit.enter());
    CHECK(Limit.enter());
    CHECK_FALSE(Limit.enter());
    Limit.leave();
    CHECK(Limit.enter());
  }

  SECTION("for many threads") {
    std::atomic<int> Inside{0};
    std::atomic<int> Faults{0};
    std::vector<std::thread> Threads;
    for (int Thread = 0; Thread < 8; ++Thread)
      Threads.emplace_back([&] {
        for (int Round = 0; Round < 5000; ++Round)
          if (Limit.enter()) {
            Faults += ++Inside > 3 ? 1 : 0;
            --Inside;
            Limit.leave();
          }
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    CHECK(Faults == 0);
    CHECK(Limit.count() == 0);
  }
}

// Guards against a quarantine that also applies to another request or route, or
// that misses an equal request.
TEST_CASE("a fingerprint identifies a request", "[admission]") {
  const Fingerprint One = fingerprintOf({"portal"}, {"find"}, R"({"q":"a"})");
  CHECK(One == fingerprintOf({"portal"}, {"find"}, R"({"q":"a"})"));
  CHECK(One != fingerprintOf({"portal"}, {"find"}, R"({"q":"b"})"));
  CHECK(One != fingerprintOf({"portal"}, {"list"}, R"({"q":"a"})"));
  CHECK(One != fingerprintOf({"portalf"}, {"ind"}, R"({"q":"a"})"));
}
