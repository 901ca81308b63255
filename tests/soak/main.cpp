#include "tests/soak/World.h"

#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <map>

using namespace balsamyard;
using namespace balsamyard::soak;

namespace {

/// \returns whether the run kept every promise.
bool play(SoakOptions Options, const std::string &Folder) {
  Options.Folder = Folder + "/seed-" + std::to_string(Options.Seed);
  std::filesystem::remove_all(Options.Folder);
  std::filesystem::create_directories(Options.Folder);
  World Run(Options);
  const std::vector<std::string> Broken = Run.run();
  std::cout << "seed " << Options.Seed << ": " << Run.seen().requests()
            << " requests, " << Run.seen().successes() << " succeeded, "
            << Broken.size() << " promises broken" << std::endl;
  // One line for each promise, with the first requests that it concerned.
  std::map<std::string, std::vector<std::string>> Groups;
  for (const std::string &Each : Broken) {
    const std::size_t Colon = Each.rfind(": ");
    Groups[Each.substr(0, Colon)].push_back(
        Colon == std::string::npos ? "" : Each.substr(Colon + 2));
  }
  for (const auto &[Promise, Requests] : Groups) {
    std::cout << "  " << Requests.size() << " times " << Promise << ":";
    for (std::size_t At = 0; At < std::min<std::size_t>(Requests.size(), 3);
         ++At)
      std::cout << " " << Requests[At];
    std::cout << std::endl;
  }
  if (Broken.empty())
    std::filesystem::remove_all(Options.Folder);
  else
    std::cout << "  logs: " << Options.Folder << std::endl;
  return Broken.empty();
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options(
      "balsamyard-soak", "Runs node processes under faults drawn from a seed.");
  Options.add_options()("program", "path of balsamyard-node",
                        cxxopts::value<std::string>())(
      "folder", "where logs of broken runs stay",
      cxxopts::value<std::string>()->default_value("/tmp/balsamyard-soak"))(
      "seed", "first seed", cxxopts::value<unsigned>()->default_value("1"))(
      "runs", "number of seeds",
      cxxopts::value<unsigned>()->default_value("1"))(
      "seconds", "time with faults of each run",
      cxxopts::value<int>()->default_value("10"))(
      "nodes", "node processes",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "verbose", "print each fault")("help", "print this text");
  try {
    const auto Given = Options.parse(Count, Arguments);
    if (Given.count("help") != 0 || Given.count("program") == 0) {
      std::cout << Options.help() << "\n";
      return Given.count("help") != 0 ? 0 : 64;
    }
    SoakOptions Each;
    Each.Program = Given["program"].as<std::string>();
    Each.FaultTime = std::chrono::seconds(Given["seconds"].as<int>());
    Each.Nodes = Given["nodes"].as<std::size_t>();
    Each.Callers = 3 * Each.Nodes;
    Each.Verbose = Given.count("verbose") != 0;
    bool Kept = true;
    const unsigned First = Given["seed"].as<unsigned>();
    for (unsigned Run = 0; Run < Given["runs"].as<unsigned>(); ++Run) {
      Each.Seed = First + Run;
      Kept = play(Each, Given["folder"].as<std::string>()) && Kept;
    }
    return Kept ? 0 : 1;
  } catch (const std::exception &Fault) {
    std::cerr << "balsamyard-soak: " << Fault.what() << "\n";
    return 70;
  }
}
