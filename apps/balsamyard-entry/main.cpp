#include "apps/balsamyard-entry/CallerServer.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;
using namespace balsamyard::entry;

namespace {

/// Threads for HTTP/2 calls to other processes.
constexpr std::size_t ClientThreads = 2;

/// Threads for HTTP/2 calls from other processes.
constexpr std::size_t ServerThreads = 1;

/// A stopping process exits within 15 s; one second is reserved for ending
/// the threads.
constexpr LifecycleTimes StopTimes{std::chrono::seconds(2),
                                   std::chrono::seconds(14)};

enum ExitStatus { Success = 0, Failure = 1, BadUsage = 2 };

cxxopts::Options makeOptions() {
  cxxopts::Options Options("balsamyard-entry",
                           "Receives searches and writes of callers.\n");
  Options.add_options()("settings", "TOML settings file",
                        cxxopts::value<std::string>(), "FILE")(
      "check-settings", "check the settings file and exit")(
      "version", "print the version and exit")("h,help",
                                               "print this help and exit");
  return Options;
}

void printFaults(const std::string &File,
                 const std::vector<SettingsFault> &Faults) {
  for (const SettingsFault &Fault : Faults)
    std::cerr << File << ':' << Fault.Line << ':' << Fault.Column << ": error "
              << static_cast<int>(Fault.Value) << ' ' << name(Fault.Value)
              << ": " << Fault.Detail << '\n';
}

bool hasUsableSlots(const RoutingIndex &Index) {
  for (const auto &[Name, Service] : Index.Services)
    for (const VersionRoutes &Routes : Service->Versions)
      if (Routes.ServedLeaves > 0)
        return true;
  return false;
}

/// Rebuilds the routing index whenever the routing view changes.
class IndexUpdater {
public:
  IndexUpdater(EntryState &State, ControlAgent &Agent)
      : State(State), Agent(Agent) {}

  void update() {
    // The view is read under the lock, so that two changes cannot be published
    // in the wrong order.
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const Settings &Own = this->State.Own;
    Ref<const RoutingIndex> Next = buildIndex(
        this->Agent.view().read(), {Own.Domain, Own.Region}, this->State.Stats);
    if (hasUsableSlots(*Next))
      this->State.FoundSlots.store(true, std::memory_order_relaxed);
    this->State.Index.publish(std::move(Next));
  }

private:
  std::mutex Mutex;
  EntryState &State;
  ControlAgent &Agent;
};

void onNotice(EntryState &State, const Notice &Received) {
  if (const auto *Found = std::get_if<RequestQuarantined>(&Received.Body)) {
    State.Quarantine.add(Found->Print, Found->Remaining, steadyNow());
    logEvent(LogLevel::Warning, "request-quarantined",
             {{"from", Received.From.Text},
              {"fingerprint",
               std::to_string(static_cast<std::uint64_t>(Found->Print))},
              {"remaining", Found->Remaining}});
  }
}

ExitStatus run(const Settings &Own) {
  std::signal(SIGPIPE, SIG_IGN);
  blockStopSignals();
  openLog("entry", Own.Node, Own.Domain, Own.LogFile);
  EntryState State(Own);
  PeerClient Peers(ClientThreads);
  ControlAgent Agent(Own, ProcessRole::Entry, Peers);
  IndexUpdater Updater(State, Agent);
  Agent.onChange(
      [&](const Ref<const RoutingView> & /*Newest*/) { Updater.update(); });
  Agent.onNotice([&](const Notice &Received) { onNotice(State, Received); });

  auto Control = PeerServer::listen(
      Own.Peer, ServerThreads,
      [&](const std::string &Path, const std::string &Message,
          const Ref<PeerStream> &Stream) {
        if (Expected<std::string> Reply = Agent.handle(Path, Message))
          Stream->send(std::move(*Reply));
        Stream->finish();
      });
  if (!Control) {
    logEvent(
        LogLevel::Error, "listen-failed",
        {{"code", Control.error().Value}, {"detail", Control.error().Detail}});
    return Failure;
  }
  if (Expected<void> Started = Agent.start(); !Started) {
    logEvent(
        LogLevel::Error, "control-failed",
        {{"code", Started.error().Value}, {"detail", Started.error().Detail}});
    return Failure;
  }
  Updater.update();

  QueryRunner Queries(State, Peers);
  WriteRunner Writes(State, Peers);
  CallerServer Callers(State, Queries, Writes);
  if (Expected<void> Started = Callers.start(); !Started) {
    logEvent(
        LogLevel::Error, "listen-failed",
        {{"code", Started.error().Value}, {"detail", Started.error().Detail}});
    Agent.stop();
    return Failure;
  }
  logEvent(LogLevel::Info, "process-started",
           {{"http", toText(Own.Http)},
            {"peer", toText((*Control)->local())},
            {"software", std::string(BALSAMYARD_VERSION)}});

  LifecycleHooks Hooks;
  Hooks.OnLeaving = [&] {
    logEvent(LogLevel::Info, "process-leaving", {});
    State.Stopping.store(true, std::memory_order_relaxed);
    Agent.leave();
  };
  Hooks.OnDraining = [&] { Callers.drain(); };
  Hooks.IsIdle = [&] { return Callers.drained(); };
  if (!runLifecycle(Hooks, StopTimes)) {
    logEvent(LogLevel::Error, "stop-cut-off",
             {{"in_flight", std::int64_t(State.InFlight.count())}});
    // Threads that are still in a request cannot be joined in time.
    std::_Exit(Failure);
  }
  (*Control)->drain();
  Agent.stop();
  logEvent(LogLevel::Info, "process-stopped", {});
  return Success;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options = makeOptions();
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return Success;
    }
    if (Parsed.count("version") > 0) {
      std::cout << "balsamyard-entry " << BALSAMYARD_VERSION << '\n';
      return Success;
    }
    if (!Parsed.unmatched().empty() || Parsed.count("settings") == 0) {
      std::cerr << "balsamyard-entry: --settings FILE is required; see "
                   "--help\n";
      return BadUsage;
    }
    const auto File = Parsed["settings"].as<std::string>();
    auto Own = readSettings(File);
    if (!Own) {
      printFaults(File, Own.error());
      return Failure;
    }
    if (Parsed.count("check-settings") > 0) {
      std::cout << File << ": ok\n";
      return Success;
    }
    return run(*Own);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-entry: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
