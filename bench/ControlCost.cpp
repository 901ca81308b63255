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

/// IPv4 and UDP headers of a datagram.
constexpr double HeaderBytes = 28;

/// What one run cost, for each process and second of virtual time.
struct Cost {
  double Messages = 0;
  double Bytes = 0; ///< Sent, with headers of datagrams.
  double Fetches = 0;
  double Cpu = 0; ///< Share of a core, with the cost of the simulation.
  double Memory = 0;
  double PlatformCalls = 0; ///< Of the whole fleet.
};

enum class Load { Quiet, Changes, Restarts };

std::string rulesText(std::size_t Change) {
  // 1,000 lines of about 100 bytes.
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

Cost measure(std::size_t Nodes, Load Kind, std::size_t Count,
             std::chrono::seconds Time, std::uint64_t Seed) {
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
  Sim.accept("rules", rulesText(0));
  Sim.startConverged();
  Sim.runFor(20s);
  // Restarted processes join in the usual way.
  Sim.Options.MemberLimits.JoinPasses = MembershipLimits{}.JoinPasses;

  ControlSim::Counts Before = Sim.total();
  double CpuBefore = cpuSeconds();
  TimePoint Start = Sim.Now;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    Sim.runUntil(Start + Duration(Time) * Step / Count);
    if (Kind == Load::Changes)
      Sim.accept("rules", rulesText(Step + 1));
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
  Sim.runUntil(Start + Time);
  ControlSim::Counts After = Sim.total();
  auto Processes = static_cast<double>(Sim.Processes.size());
  double Scale = 1 / (Processes * static_cast<double>(Time.count()));
  auto Datagrams = static_cast<double>(After.Datagrams - Before.Datagrams);
  Cost Result;
  Result.Messages = Datagrams * Scale;
  Result.Bytes = (static_cast<double>(After.GossipBytes - Before.GossipBytes +
                                      After.FetchBytes - Before.FetchBytes) +
                  Datagrams * HeaderBytes) *
                 Scale;
  Result.Fetches = static_cast<double>(After.Fetches - Before.Fetches) * Scale;
  Result.Cpu = (cpuSeconds() - CpuBefore) * Scale;
  Result.Memory =
      (static_cast<double>(mallinfo2().uordblks) - HeapBefore) / Processes;
  Result.PlatformCalls =
      static_cast<double>(After.PlatformCalls - Before.PlatformCalls) /
      static_cast<double>(Time.count());
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
  auto Chosen = Options.parse(Count, Arguments);
  auto Seed = Chosen["seed"].as<std::uint64_t>();
  std::chrono::seconds Time(Chosen["seconds"].as<int>());
  auto Events = Chosen["events"].as<std::size_t>();

  // Events a second at the target size of the design page, section 1.3.
  constexpr double ChangeRate = 2500.0 / 86400;
  constexpr double RestartRate = 630.0 / 86400;

  nlohmann::json Report = nlohmann::json::array();
  std::printf("seed %llu, %lld s of virtual time, %zu events in a run; figures "
              "for each process\n"
              "%5s %-22s %9s %9s %9s %10s %9s %9s\n",
              static_cast<unsigned long long>(Seed),
              static_cast<long long>(Time.count()), Events, "nodes", "load",
              "msg/s", "B/s", "fetch/s", "cpu %", "KB", "platf/s");
  auto Print = [&](std::size_t Nodes, const char *Name, const Cost &Value) {
    std::printf("%5zu %-22s %9.3f %9.1f %9.4f %10.4f %9.1f %9.2f\n", Nodes,
                Name, Value.Messages, Value.Bytes, Value.Fetches,
                Value.Cpu * 100, Value.Memory / 1024, Value.PlatformCalls);
    std::fflush(stdout);
    Report.push_back(
        {{"nodes", Nodes},
         {"load", Name},
         {"messages_per_second", Value.Messages},
         {"bytes_per_second", Value.Bytes},
         {"fetches_per_second", Value.Fetches},
         {"core_share", Value.Cpu},
         {"heap_bytes", Value.Memory},
         {"fleet_platform_calls_per_second", Value.PlatformCalls}});
  };
  for (std::size_t Nodes : Chosen["sizes"].as<std::vector<std::size_t>>()) {
    Cost Quiet = measure(Nodes, Load::Quiet, 0, Time, Seed);
    Cost Changes = measure(Nodes, Load::Changes, Events, Time, Seed);
    Cost Restarts = measure(Nodes, Load::Restarts, Events, Time, Seed);
    // Cost of one event a second, then of the rates of an ordinary day.
    double PerRate =
        static_cast<double>(Time.count()) / static_cast<double>(Events);
    Cost Day = Quiet;
    auto Add = [&](const Cost &Loaded, double Rate) {
      double Weight = PerRate * Rate;
      Day.Messages += (Loaded.Messages - Quiet.Messages) * Weight;
      Day.Bytes += (Loaded.Bytes - Quiet.Bytes) * Weight;
      Day.Fetches += (Loaded.Fetches - Quiet.Fetches) * Weight;
      Day.Cpu += (Loaded.Cpu - Quiet.Cpu) * Weight;
      Day.PlatformCalls +=
          (Loaded.PlatformCalls - Quiet.PlatformCalls) * Weight;
    };
    Add(Changes, ChangeRate);
    Add(Restarts, RestartRate);
    Print(Nodes, "quiet", Quiet);
    Print(Nodes, "changes", Changes);
    Print(Nodes, "restarts", Restarts);
    Print(Nodes, "day at target rates", Day);
  }
  std::string Path = Chosen["json"].as<std::string>();
  if (!Path.empty())
    std::ofstream(Path) << Report.dump(1) << "\n";
  return 0;
}
