#include "balsamyard/src/Process/Metrics.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;
using namespace std::chrono_literals;

// Guards against lost updates between threads and against output that a
// Prometheus server rejects.
TEST_CASE("a process counts its work", "[metrics]") {
  Metrics Counted;
  auto Has = [&](const std::string &Line) {
    return ("\n" + Counted.toText()).find("\n" + Line + "\n") !=
           std::string::npos;
  };

  SECTION("with counters and gauges") {
    Counted.add("requests_total", R"(service="portal")");
    Counted.add("requests_total", R"(service="portal")", 4);
    Counted.add("requests_total", R"(service="budget")");
    Counted.set("in_flight", "", 3);
    Counted.set("in_flight", "", 2.5);
    CHECK(Has(R"(requests_total{service="portal"} 5)"));
    CHECK(Has(R"(requests_total{service="budget"} 1)"));
    CHECK(Has("in_flight 2.5"));
    CHECK(Has("# TYPE requests_total counter"));
    CHECK(Has("# TYPE in_flight gauge"));
  }

  SECTION("with latencies in cumulative buckets") {
    Counted.observe("latency_seconds", R"(route="a")", 500us);
    Counted.observe("latency_seconds", R"(route="a")", 3ms);
    Counted.observe("latency_seconds", R"(route="a")", 60s);
    CHECK(Has("# TYPE latency_seconds histogram"));
    CHECK(Has(R"(latency_seconds_bucket{route="a",le="0.00025"} 0)"));
    CHECK(Has(R"(latency_seconds_bucket{route="a",le="0.002"} 1)"));
    CHECK(Has(R"(latency_seconds_bucket{route="a",le="0.004"} 2)"));
    CHECK(Has(R"(latency_seconds_bucket{route="a",le="10"} 2)"));
    CHECK(Has(R"(latency_seconds_bucket{route="a",le="+Inf"} 3)"));
    CHECK(Has(R"(latency_seconds_count{route="a"} 3)"));
    CHECK(Has(R"(latency_seconds_sum{route="a"} 60.0035)"));
  }

  SECTION("from several threads that also add series") {
    std::vector<std::thread> Workers;
    for (int Worker = 0; Worker < 4; ++Worker)
      Workers.emplace_back([&Counted, Worker] {
        for (int Round = 0; Round < 1000; ++Round) {
          Counted.add("shared_total", "");
          Counted.observe("shared_seconds", "", 1ms);
          Counted.add("own_total", "worker=\"" + std::to_string(Worker) + "-" +
                                       std::to_string(Round % 10) + "\"");
        }
      });
    for (std::thread &Worker : Workers)
      Worker.join();
    CHECK(Has("shared_total 4000"));
    CHECK(Has("shared_seconds_count 4000"));
    CHECK(Has(R"(own_total{worker="3-9"} 100)"));
  }

  SECTION("with a bound on the number of series") {
    for (int Number = 0; Number < 4200; ++Number)
      Counted.add("names_total", "name=\"" + std::to_string(Number) + "\"");
    CHECK(Has("balsamyard_metrics_dropped_total 104"));
  }
}
