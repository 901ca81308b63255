#include "tests/ControlSim.h"

#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// Size of the IPv4 and UDP headers of a datagram.
constexpr double DatagramHeaderBytes = 28;

/// Resource use of one run. Rates are per process and second of virtual time
/// unless noted.
struct Cost {
  double Messages = 0; ///< Datagrams sent.
  double Bytes = 0;    ///< Sent, including datagram headers.
  double Fetches = 0;
  double CoreShare = 0;     ///< Of a core, including the simulation.
  double HeapBytes = 0;     ///< Heap per process at the end of the run.
  double PlatformCalls = 0; ///< Per second, of the whole fleet.
};

enum class Load { Quiet, Changes, Restarts };

/// \returns a rule file of 1,000 lines of about 100 bytes, in which one line
/// depends on \p Change.
std::string makeRules(std::size_t Change) {
  std::string Text;
  for (std::size_t Line = 0; Line < 1000; ++Line)
    Text += "search service=service-" + std::to_string(Line) +
            " route=* deadline=160ms coverage=1.0 hedge=0.05 # asked by team " +
            std::to_string(Line == Change % 1000 ? Change : 0) + "\n";
  return Text;
}

double cpuSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

Cost measure(std::size_t Nodes, Load Kind, std::size_t EventCount,
             std::chrono::seconds Length, std::uint64_t Seed) {
  SimOptions Options;
  Options.Seed = Seed;
  Options.Nodes = Nodes;
  Options.Domains = Nodes >= 64 ? 7 : 3;
  Options.Regions = 2;
  Options.RegionDelay = 20ms;
  Options.WithConfig = true;
  Options.MemberLimits.JoinPasses = 0;
  auto HeapBefore = static_cast<double>(mallinfo2().uordblks);
  ControlSim Sim(Options);
  Sim.accept("rules", makeRules(0));
  Sim.startConverged();
  Sim.runFor(20s);
  // Processes that restart during the run go through the normal join.
  Sim.Options.MemberLimits.JoinPasses = MembershipLimits{}.JoinPasses;

  ControlSim::Counts Before = Sim.total();
  double CpuBefore = cpuSeconds();
  TimePoint Start = Sim.Now;
  for (std::size_t Step = 0; Step < EventCount; ++Step) {
    Sim.runUntil(Start + Duration(Length) * Step / EventCount);
    if (Kind == Load::Changes)
      Sim.accept("rules", makeRules(Step + 1));
    if (Kind == Load::Restarts) {
      std::size_t Node = Sim.draw() % Nodes;
      for (std::size_t Role = 0; Role < 2; ++Role) {
        std::size_t Index = Node * 2 + Role;
        Sim.leave(Index);
        Sim.crash(Index);
        Sim.at(Sim.Now + 2s, [&Sim, Index] {
          if (!Sim.Processes[Index].Up)
            Sim.start(Index);
        });
      }
    }
  }
  Sim.runUntil(Start + Length);
  ControlSim::Counts After = Sim.total();
  auto Processes = static_cast<double>(Sim.Processes.size());
  double Scale = 1 / (Processes * static_cast<double>(Length.count()));
  auto Datagrams = static_cast<double>(After.Datagrams - Before.Datagrams);
  Cost Result;
  Result.Messages = Datagrams * Scale;
  Result.Bytes = (static_cast<double>(After.GossipBytes - Before.GossipBytes +
                                      After.FetchBytes - Before.FetchBytes) +
                  Datagrams * DatagramHeaderBytes) *
                 Scale;
  Result.Fetches = static_cast<double>(After.Fetches - Before.Fetches) * Scale;
  Result.CoreShare = (cpuSeconds() - CpuBefore) * Scale;
  Result.HeapBytes =
      (static_cast<double>(mallinfo2().uordblks) - HeapBefore) / Processes;
  Result.PlatformCalls =
      static_cast<double>(After.PlatformCalls - Before.PlatformCalls) /
      static_cast<double>(Length.count());
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-ControlCost",
                           "Cost of membership and configuration per process");
  Options.add_options()("seed", "Seed of all runs",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "Virtual time of a run",
      cxxopts::value<int>()->default_value("60"))(
      "events", "Changes or restarted nodes in a run",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "sizes", "Numbers of nodes",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "8,64,250,840"))("json", "File for the figures",
                           cxxopts::value<std::string>()->default_value(""));
  auto Parsed = Options.parse(Count, Arguments);
  auto Seed = Parsed["seed"].as<std::uint64_t>();
  std::chrono::seconds Length(Parsed["seconds"].as<int>());
  auto Events = Parsed["events"].as<std::size_t>();

  // Events per second at the target size in section 1.3 of the design page.
  constexpr double ChangeRate = 2500.0 / 86400;
  constexpr double RestartRate = 630.0 / 86400;

  nlohmann::json Report = nlohmann::json::array();
  std::printf("seed %llu, %lld s of virtual time, %zu events in a run; figures "
              "for each process\n"
              "%5s %-22s %9s %9s %9s %10s %9s %9s\n",
              static_cast<unsigned long long>(Seed),
              static_cast<long long>(Length.count()), Events, "nodes", "load",
              "msg/s", "B/s", "fetch/s", "cpu %", "KB", "platf/s");
  auto Print = [&](std::size_t Nodes, const char *Name, const Cost &Value) {
    std::printf("%5zu %-22s %9.3f %9.1f %9.4f %10.4f %9.1f %9.2f\n", Nodes,
                Name, Value.Messages, Value.Bytes, Value.Fetches,
                Value.CoreShare * 100, Value.HeapBytes / 1024,
                Value.PlatformCalls);
    std::fflush(stdout);
    Report.push_back(
        {{"nodes", Nodes},
         {"load", Name},
         {"messages_per_second", Value.Messages},
         {"bytes_per_second", Value.Bytes},
         {"fetches_per_second", Value.Fetches},
         {"core_share", Value.CoreShare},
         {"heap_bytes", Value.HeapBytes},
         {"fleet_platform_calls_per_second", Value.PlatformCalls}});
  };
  for (std::size_t Nodes : Parsed["sizes"].as<std::vector<std::size_t>>()) {
    Cost Quiet = measure(Nodes, Load::Quiet, 0, Length, Seed);
    Cost Changes = measure(Nodes, Load::Changes, Events, Length, Seed);
    Cost Restarts = measure(Nodes, Load::Restarts, Events, Length, Seed);
    // Scales the cost of the events of a run to one event per second, then to
    // the daily rates.
    double SecondsPerEvent =
        static_cast<double>(Length.count()) / static_cast<double>(Events);
    Cost AtTargetRates = Quiet;
    auto Add = [&](const Cost &Loaded, double Rate) {
      double Weight = SecondsPerEvent * Rate;
      AtTargetRates.Messages += (Loaded.Messages - Quiet.Messages) * Weight;
      AtTargetRates.Bytes += (Loaded.Bytes - Quiet.Bytes) * Weight;
      AtTargetRates.Fetches += (Loaded.Fetches - Quiet.Fetches) * Weight;
      AtTargetRates.CoreShare += (Loaded.CoreShare - Quiet.CoreShare) * Weight;
      AtTargetRates.PlatformCalls +=
          (Loaded.PlatformCalls - Quiet.PlatformCalls) * Weight;
    };
    Add(Changes, ChangeRate);
    Add(Restarts, RestartRate);
    Print(Nodes, "quiet", Quiet);
    Print(Nodes, "changes", Changes);
    Print(Nodes, "restarts", Restarts);
    Print(Nodes, "day at target rates", AtTargetRates);
  }
  std::string Path = Parsed["json"].as<std::string>();
  if (!Path.empty())
    std::ofstream(Path) << Report.dump(1) << "\n";
  return 0;
}
