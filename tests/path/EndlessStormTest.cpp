#include "tests/path/EndlessTargets.h"
#include "tests/path/PlatformWorld.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \returns a figure of /proc/self/status in bytes.
std::size_t statusBytes(const std::string &Name) {
  std::ifstream File("/proc/self/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Name + ":"))
      return std::stoul(Line.substr(Name.size() + 1)) * 1024;
  return 0;
}

/// Sets the peak of the resident memory to what is in use now.
void resetPeakMemory() { std::ofstream("/proc/self/clear_refs") << "5"; }

} // namespace

// Guards against targets in trouble whose answers without end, all together,
// exceed the memory of a node, and with it end the requests of all callers.
SCENARIO("many answers without end at once", "[endless]") {
  constexpr std::size_t NodeMemory = 256'000'000;
  constexpr int Callers = 48;
  constexpr Duration StormTime = std::chrono::seconds(4);
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Block(64UL * 1024, 'x');
  struct Case {
    const char *Name;
    std::string Opening;
    std::string Rest;
  };
  for (const Case &Trouble :
       {Case{"up to the end of the connection", Head + "\r\n", Block},
        Case{"in chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
             "10000\r\n" + Block + "\r\n"},
        Case{"of a stated length", Head + "Content-Length: 16777216\r\n\r\n",
             Block}})
    GIVEN("targets that send bodies " + std::string(Trouble.Name)) {
      constexpr int Count = 24;
      const EndlessTargets Targets(Count, Trouble.Opening, Trouble.Rest);
      PlatformWorld World;
      for (int Number = 0; Number < Count; ++Number)
        World.announce("endless", EndlessTargets::id(Number),
                       Targets.address(Number));
      const std::string Large(1024UL * 1024, 'l');
      World.add("large", "i-large", Large, WellBehaved{});
      World.add("small", "i-small", record('a'), WellBehaved{});
      World.addRoute("/endless/", {{"service", "endless"}});
      World.addRoute("/large/", {{"service", "large"}});
      World.addRoute("/small/", {{"service", "small"}});
      World.start();
      WHEN("many callers ask for them while others ask for sound answers") {
        resetPeakMemory();
        const std::size_t Before = statusBytes("VmRSS");
        const TimePoint End = steadyNow() + StormTime;
        std::atomic<int> Successes{0};
        std::vector<std::thread> Threads;
        for (int Number = 0; Number < Callers; ++Number)
          Threads.emplace_back([&, Number] {
            for (int Count = 0; steadyNow() < End; ++Count) {
              FakeCaller Caller = World.caller();
              const std::string Id =
                  std::to_string(Number) + "-" + std::to_string(Count);
              if (Caller.ask(get("/endless/" + Id, Id)).Status / 100 == 2)
                ++Successes;
            }
          });
        std::map<std::string, std::pair<int, int>> Served;
        for (int Count = 0; steadyNow() < End; ++Count)
          for (const char *Path : {"/large/x", "/small/x"}) {
            FakeCaller Caller = World.caller();
            auto &[Good, All] = Served[Path];
            ++All;
            const HttpResponse Answer =
                Caller.ask(get(Path, "sound-" + std::to_string(Count)));
            if (Answer.Status == 200)
              ++Good;
          }
        for (std::thread &Thread : Threads)
          Thread.join();
        const std::size_t Peak = statusBytes("VmHWM");
        THEN("the node keeps to its memory, and sound answers are served") {

          CHECK(Peak - Before < NodeMemory);
          CHECK(Successes == 0);
          for (const auto &[Path, Counts] : Served) {
            INFO(Path);
            CHECK(Counts.first == Counts.second);
            CHECK(Counts.second > 10);
          }
        }
      }
    }
}
