#include "tests/soak/SoakRun.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <map>

using namespace balsamyard;
using namespace balsamyard::soak;

namespace {

/// \returns whether the run had no violations.
bool runSeed(SoakOptions Options, const std::string &Folder) {
  Options.Folder = Folder + "/seed-" + std::to_string(Options.Seed);
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  SoakRun Run(Options);
  const std::vector<std::string> Violations = Run.run();
  std::cout << "seed " << Options.Seed << ": " << Run.ledger().requests()
            << " requests, " << Run.ledger().successes() << " succeeded, "
            << Violations.size() << " violations" << std::endl;
  // One line per kind of violation, with the first requests that it affected.
  std::map<std::string, std::vector<std::string>> Groups;
  for (const std::string &Message : Violations) {
    const std::size_t Colon = Message.rfind(": ");
    Groups[Message.substr(0, Colon)].push_back(
        Colon == std::string::npos ? "" : Message.substr(Colon + 2));
  }
  for (const auto &[Violation, Requests] : Groups) {
    std::cout << "  " << Requests.size() << " times " << Violation << ":";
    for (std::size_t Index = 0;
         Index < std::min<std::size_t>(Requests.size(), 3); ++Index)
      std::cout << " " << Requests[Index];
    std::cout << std::endl;
  }
  if (Violations.empty())
    std::filesystem::remove_all(Options.Folder);
  else
    std::cout << "  logs: " << Options.Folder << std::endl;
  return Violations.empty();
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options(
      "balsamyard-soak", "Runs node processes under faults drawn from a seed.");
  Options.add_options()("program", "path of balsamyard-node",
                        cxxopts::value<std::string>())(
      "folder", "where the logs of failed runs are kept",
      cxxopts::value<std::string>()->default_value("/tmp/balsamyard-soak"))(
      "seed", "first seed", cxxopts::value<unsigned>()->default_value("1"))(
      "runs", "number of seeds",
      cxxopts::value<unsigned>()->default_value("1"))(
      "seconds", "duration of the fault injection in each run",
      cxxopts::value<int>()->default_value("10"))(
      "nodes", "node processes",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "verbose", "print each fault")("help", "print this text");
  try {
    const auto Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") != 0 || Parsed.count("program") == 0) {
      std::cout << Options.help() << "\n";
      return Parsed.count("help") != 0 ? 0 : 64;
    }
    SoakOptions Soak;
    Soak.Program = Parsed["program"].as<std::string>();
    Soak.FaultTime = std::chrono::seconds(Parsed["seconds"].as<int>());
    Soak.Nodes = Parsed["nodes"].as<std::size_t>();
    Soak.Callers = 3 * Soak.Nodes;
    Soak.Verbose = Parsed.count("verbose") != 0;
    bool Passed = true;
    const unsigned First = Parsed["seed"].as<unsigned>();
    for (unsigned Run = 0; Run < Parsed["runs"].as<unsigned>(); ++Run) {
      Soak.Seed = First + Run;
      Passed = runSeed(Soak, Parsed["folder"].as<std::string>()) && Passed;
    }
    return Passed ? 0 : 1;
  } catch (const std::exception &Fault) {
    std::cerr << "balsamyard-soak: " << Fault.what() << "\n";
    return 70;
  }
}
