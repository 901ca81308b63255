#include "TargetServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;
using namespace standin;

namespace {

Expected<std::vector<TargetSettings>>
settingsOf(const cxxopts::ParseResult &Arguments) {
  if (Arguments.count("config"))
    return readTargets(Arguments["config"].as<std::string>());
  TargetSettings Target;
  auto Slot = parseSlot(Arguments["slot"].as<std::string>());
  auto Listen = parseListen(Arguments["listen"].as<std::string>());
  auto Shards = parseShards(Arguments["shards"].as<std::string>());
  if (!Slot)
    return tl::unexpected(Slot.error());
  if (!Listen)
    return tl::unexpected(Listen.error());
  if (!Shards)
    return tl::unexpected(Shards.error());
  Target.Slot = *Slot;
  Target.Listen = *Listen;
  Target.Shards = *Shards;
  Target.Version.Text = Arguments["version"].as<std::string>();
  Target.Snapshots = Arguments["snapshot"].as<std::vector<std::uint64_t>>();
  Target.ConnectionLimit = Arguments["connections"].as<std::uint32_t>();
  Target.ColdLimit = Arguments["cold"].as<std::uint32_t>();
  Target.ConnectTime =
      std::chrono::milliseconds(Arguments["connect-ms"].as<std::uint32_t>());
  Target.WorkTime =
      std::chrono::microseconds(Arguments["work-us"].as<std::uint32_t>());
  Target.WarmTime =
      std::chrono::milliseconds(Arguments["warm-ms"].as<std::uint32_t>());
  Target.WarmRequests = Arguments["warm-requests"].as<std::uint32_t>();
  return std::vector<TargetSettings>{Target};
}

} // namespace

int main(int ArgumentCount, char **ArgumentValues) {
  cxxopts::Options Options("standin-target",
                           "Plays back end targets for tests and demos.");
  // clang-format off
  Options.add_options()
    ("config", "TOML file with one [[slot]] per target", cxxopts::value<std::string>())
    ("slot", "SERVICE/LEAF/SLOT", cxxopts::value<std::string>()->default_value("demo/0/0"))
    ("listen", "IP:PORT, port 0 for any", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))
    ("version", "back end version", cxxopts::value<std::string>()->default_value("v1"))
    ("snapshot", "snapshots held", cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))
    ("shards", "ID:WEIGHT,..", cxxopts::value<std::string>()->default_value("0"))
    ("connections", "connection limit", cxxopts::value<std::uint32_t>()->default_value("30"))
    ("cold", "requests in flight that a cold target bears", cxxopts::value<std::uint32_t>()->default_value("4"))
    ("connect-ms", "time that a new connection costs", cxxopts::value<std::uint32_t>()->default_value("0"))
    ("work-us", "time that a request takes", cxxopts::value<std::uint32_t>()->default_value("500"))
    ("warm-ms", "shortest time until warm", cxxopts::value<std::uint32_t>()->default_value("2000"))
    ("warm-requests", "answers until warm", cxxopts::value<std::uint32_t>()->default_value("20"))
    ("help", "print this text");
  // clang-format on
  const cxxopts::ParseResult Arguments =
      Options.parse(ArgumentCount, ArgumentValues);
  if (Arguments.count("help")) {
    std::cout << Options.help() << '\n';
    return 0;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  auto Settings = settingsOf(Arguments);
  if (!Settings) {
    std::cerr << "standin-target: " << Settings.error().Detail << '\n';
    return 2;
  }
  std::vector<std::unique_ptr<TargetServer>> Servers;
  for (TargetSettings &Target : *Settings) {
    const std::string Name = toText(Target.Slot);
    auto Server = std::make_unique<TargetServer>(std::move(Target));
    auto At = Server->start();
    if (!At) {
      std::cerr << "standin-target: " << At.error().Detail << '\n';
      return 2;
    }
    std::cout << Name << ' ' << toText(*At) << std::endl;
    Servers.push_back(std::move(Server));
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  for (auto &Server : Servers)
    Server->stop();
  return 0;
}
