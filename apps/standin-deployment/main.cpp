#include "Deployment.h"

#include <cxxopts.hpp>
#include <iostream>
#include <unistd.h>

using namespace balsamyard;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;

/// \returns an address of 127.0.0.0/8 derived from the process id, so that
/// concurrent runs of this program use different ones.
std::string processLoopbackAddress() {
  const auto Process = static_cast<std::uint32_t>(::getpid());
  return "127." + std::to_string(64 + (Process >> 16) % 64) + "." +
         std::to_string((Process >> 8) % 256) + "." +
         std::to_string(Process % 256);
}

int run(const cxxopts::ParseResult &Parsed) {
  auto Layout = standin::findDeploymentLayout(Parsed["kind"].as<std::string>());
  if (!Layout) {
    std::cerr << "standin-deployment: "
              << static_cast<int>(Layout.error().Value) << " "
              << Layout.error().Detail << "\n";
    return ExitUsage;
  }
  standin::TraceOptions Trace;
  Trace.Seed = Parsed["seed"].as<std::uint64_t>();
  Trace.RequestsPerSecond = Parsed["rate"].as<std::uint32_t>();
  Trace.Length = std::chrono::seconds(Parsed["seconds"].as<std::uint32_t>());
  Trace.MoveIn = std::chrono::seconds(Parsed["move-in"].as<std::uint32_t>());
  const std::uint32_t Nodes = Parsed["nodes"].as<std::uint32_t>();
  const std::string Address = Parsed.count("address")
                                  ? Parsed["address"].as<std::string>()
                                  : processLoopbackAddress();
  if (Trace.RequestsPerSecond == 0 || Trace.Length.count() == 0 || Nodes == 0) {
    std::cerr << "standin-deployment: --rate, --seconds and --nodes must be "
                 "above 0\n";
    return ExitUsage;
  }
  standin::writeDeployment(standin::placeDeployment(*Layout, Nodes, Address),
                           Trace, Parsed["out"].as<std::string>());
  return ExitOk;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options(
      "standin-deployment",
      "Writes a deployment of the stand-ins and balsamyard on loopback ports:\n"
      "settings, catalogs, rules, a trace and the list of processes.\n");
  Options.add_options()("kind", "maracas or lakeshore",
                        cxxopts::value<std::string>())(
      "out", "folder to write to", cxxopts::value<std::string>())(
      "seed", "seed of the trace",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "rate", "requests per second of the trace",
      cxxopts::value<std::uint32_t>()->default_value("100"))(
      "seconds", "length of the trace",
      cxxopts::value<std::uint32_t>()->default_value("20"))(
      "move-in", "seconds from now until the version move is due",
      cxxopts::value<std::uint32_t>()->default_value("35"))(
      "address", "loopback address; default: derived from the process id",
      cxxopts::value<std::string>())(
      "nodes", "nodes per failure domain",
      cxxopts::value<std::uint32_t>()->default_value("2"))(
      "help", "print this text")("version", "print the version");
  try {
    cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.count("version")) {
      std::cout << "standin-deployment " BALSAMYARD_VERSION "\n";
      return ExitOk;
    }
    return run(Parsed);
  } catch (const std::exception &Fault) {
    std::cerr << "standin-deployment: " << Fault.what() << "\n";
    return ExitUsage;
  }
}
