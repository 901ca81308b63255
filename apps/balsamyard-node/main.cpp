#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Process/Node.h"
#include "platform/Platform.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>

using namespace balsamyard;

namespace {

/// Exit statuses, as in sysexits.h.
constexpr int ExitUsage = 64;
constexpr int ExitSettings = 78;
constexpr int ExitFailure = 70;

/// Larger allocations are messages of callers or targets, or the whole
/// configuration.
constexpr int LargeAllocationBytes = 128 * 1024;

int serve(const std::string &Path, std::uint16_t MetricsPort, bool CheckOnly) {
  const auto Read = [Path, MetricsPort] {
    Expected<NodeSettings> Result = platform::readSettings(Path);
    if (Result)
      Result->MetricsPort = MetricsPort;
    return Result;
  };
  const Expected<NodeSettings> Settings = Read();
  if (!Settings) {
    std::cerr << "balsamyard-node: " << static_cast<int>(Settings.error().Value)
              << " " << Settings.error().Detail << "\n";
    return ExitSettings;
  }
  if (CheckOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  openLog("node", Settings->Node, Settings->Domain, "-", LogDelivery::Queued);
  logEvent(LogLevel::Info, "node-starting",
           {{"release", std::string(BALSAMYARD_VERSION)},
            {"callers", toText(Settings->Callers)},
            {"store", toText(Settings->Store)}});
  Node Process(*Settings, platform::makeAdapter(), Read, Path);
  Process.run();
  logEvent(
      LogLevel::Info, "node-ended",
      {{"log_lines_dropped", static_cast<std::int64_t>(droppedLogLines())}});
  closeLog();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  // A fixed threshold: large messages are mapped and go back to the system when
  // they end. By default it grows with the messages, and what is left of them
  // stays in the heap.
  ::mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
  // Report writes to closed connections as errors instead of raising SIGPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options("balsamyard-node",
                           "Forwards callers' requests to targets.");
  Options.add_options()("settings",
                        "settings file (YAML); default: $" +
                            std::string(platform::SettingsVariable),
                        cxxopts::value<std::string>())(
      "metrics-port", "port of the metrics page; 0 disables it",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "check-settings", "check the settings and exit")(
      "version", "print the version")("help", "print this text");
  try {
    const auto Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help() << "\n";
      return 0;
    }
    if (Parsed.count("version") != 0) {
      std::cout << BALSAMYARD_VERSION << "\n";
      return 0;
    }
    const char *Variable = std::getenv(platform::SettingsVariable);
    std::string Path = Variable == nullptr ? "" : Variable;
    if (Parsed.count("settings") != 0)
      Path = Parsed["settings"].as<std::string>();
    if (Path.empty()) {
      std::cerr << "balsamyard-node: no settings file; set "
                << platform::SettingsVariable << " or --settings\n";
      return ExitUsage;
    }
    return serve(Path, Parsed["metrics-port"].as<std::uint16_t>(),
                 Parsed.count("check-settings") != 0);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-node: " << Fault.what() << "\n";
    return ExitUsage;
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "node-failed",
             {{"detail", std::string(Fault.what())}});
    std::cerr << "balsamyard-node: " << Fault.what() << "\n";
    return ExitFailure;
  }
}
