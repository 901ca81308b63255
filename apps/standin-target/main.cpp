#include "TargetServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;
using namespace standin;

namespace {

Expected<std::vector<TargetSettings>>
readSettings(const cxxopts::ParseResult &Parsed) {
  if (Parsed.count("config"))
    return readTargets(Parsed["config"].as<std::string>());
  TargetSettings Target;
  auto Slot = parseSlot(Parsed["slot"].as<std::string>());
  auto Listen = parseListen(Parsed["listen"].as<std::string>());
  auto Shards = parseShards(Parsed["shards"].as<std::string>());
  if (!Slot)
    return tl::unexpected(Slot.error());
  if (!Listen)
    return tl::unexpected(Listen.error());
  if (!Shards)
    return tl::unexpected(Shards.error());
  Target.Slot = *Slot;
  Target.Listen = *Listen;
  Target.Shards = *Shards;
  Target.Version.Text = Parsed["version"].as<std::string>();
  Target.Snapshots = Parsed["snapshot"].as<std::vector<std::uint64_t>>();
  Target.ConnectionLimit = Parsed["connections"].as<std::uint32_t>();
  Target.ColdLimit = Parsed["cold"].as<std::uint32_t>();
  Target.ConnectTime =
      std::chrono::milliseconds(Parsed["connect-ms"].as<std::uint32_t>());
  Target.WorkTime =
      std::chrono::microseconds(Parsed["work-us"].as<std::uint32_t>());
  Target.WarmTime =
      std::chrono::milliseconds(Parsed["warm-ms"].as<std::uint32_t>());
  Target.WarmRequests = Parsed["warm-requests"].as<std::uint32_t>();
  return std::vector<TargetSettings>{Target};
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("standin-target",
                           "Simulates back end targets for tests and demos.");
  // clang-format off
  Options.add_options()
    ("config", "TOML file with one [[slot]] per target", cxxopts::value<std::string>())
    ("slot", "SERVICE/LEAF/SLOT", cxxopts::value<std::string>()->default_value("demo/0/0"))
    ("listen", "IP:PORT, port 0 for any", cxxopts::value<std::string>()->default_value("127.0.0.1:0"))
    ("version", "back end version", cxxopts::value<std::string>()->default_value("v1"))
    ("snapshot", "snapshots held", cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))
    ("shards", "ID:WEIGHT,..", cxxopts::value<std::string>()->default_value("0"))
    ("connections", "connection limit", cxxopts::value<std::uint32_t>()->default_value("30"))
    ("cold", "requests in flight that a cold target can handle", cxxopts::value<std::uint32_t>()->default_value("4"))
    ("connect-ms", "setup time of a new connection", cxxopts::value<std::uint32_t>()->default_value("0"))
    ("work-us", "processing time of a request", cxxopts::value<std::uint32_t>()->default_value("500"))
    ("warm-ms", "minimum time until warm", cxxopts::value<std::uint32_t>()->default_value("2000"))
    ("warm-requests", "minimum answers until warm", cxxopts::value<std::uint32_t>()->default_value("20"))
    ("help", "print this text");
  // clang-format on
  const cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
  if (Parsed.count("help")) {
    std::cout << Options.help() << '\n';
    return 0;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  auto Settings = readSettings(Parsed);
  if (!Settings) {
    std::cerr << "standin-target: " << Settings.error().Detail << '\n';
    return 2;
  }
  std::vector<std::unique_ptr<TargetServer>> Servers;
  for (TargetSettings &Target : *Settings) {
    const std::string Name = toText(Target.Slot);
    auto Server = std::make_unique<TargetServer>(std::move(Target));
    auto Address = Server->start();
    if (!Address) {
      std::cerr << "standin-target: " << Address.error().Detail << '\n';
      return 2;
    }
    std::cout << Name << ' ' << toText(*Address) << std::endl;
    Servers.push_back(std::move(Server));
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  for (auto &Server : Servers)
    Server->stop();
  return 0;
}
