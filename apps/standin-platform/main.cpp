#include "apps/standin-platform/PlatformStandIn.h"
#include "balsamyard/src/Version/internal/NameText.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace balsamyard;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

int run(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options(
      "standin-platform",
      "In-memory stand-in of the platform's object API, for tests and demo.\n"
      "Exit codes: 0 stopped by a signal, 1 cannot listen or load, 2 wrong\n"
      "arguments.\n");
  Options.add_options()(
      "listen", "address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:9000"),
      "IP:PORT")("load",
                 "folder of objects to start with; vms.json is the VM list",
                 cxxopts::value<std::string>(), "DIR")(
      "threads", "connections and watches served at once",
      cxxopts::value<std::size_t>()->default_value("256"),
      "COUNT")("help", "print this text")("version", "print the version");
  cxxopts::ParseResult Parsed;
  Expected<Endpoint> Listen;
  try {
    Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return ExitOk;
    }
    if (Parsed.count("version")) {
      std::cout << "standin-platform " BALSAMYARD_VERSION "\n";
      return ExitOk;
    }
    Listen = internal::parseEndpoint(Parsed["listen"].as<std::string>());
    if (!Listen || !Parsed.unmatched().empty()) {
      std::cerr << "standin-platform: "
                << (Listen ? "expected no further arguments"
                           : Listen.error().Detail)
                << "\n";
      return ExitUsage;
    }
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "standin-platform: " << Fault.what() << "\n";
    return ExitUsage;
  }

  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  standin::PlatformStandIn Platform;
  try {
    if (Parsed.count("load"))
      Platform.load(Parsed["load"].as<std::string>());
  } catch (const std::filesystem::filesystem_error &Fault) {
    std::cerr << "standin-platform: " << Fault.what() << "\n";
    return ExitFailed;
  }
  httplib::Server Server;
  Platform.mount(Server, Parsed["threads"].as<std::size_t>());
  if (!Server.bind_to_port(Listen->Address.c_str(), Listen->Port)) {
    std::cerr << "standin-platform: cannot listen on " << toText(*Listen)
              << "\n";
    return ExitFailed;
  }
  std::thread Serving([&Server] { Server.listen_after_bind(); });
  std::cout << "listening on " << toText(*Listen) << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Platform.stop();
  Server.stop();
  Serving.join();
  return ExitOk;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  return run(ArgumentCount, Arguments);
}
