#include "apps/balsamyard-holder/GateService.h"
#include "apps/balsamyard-holder/SearchService.h"
#include "apps/balsamyard-holder/StatusServer.h"
#include "apps/balsamyard-holder/Ticker.h"
#include "balsamyard/src/Process/MoveController.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;
using namespace balsamyard::holder;

namespace {

constexpr std::size_t ClientThreads = 2;
constexpr std::size_t ServerThreads = 2;

/// Interval between checks for requests past their deadline. The timeouts of
/// httplib end most of them, but not those whose answer arrives byte by byte.
constexpr Duration ExpirePeriod = std::chrono::milliseconds(25);

/// Interval between health polls of a slot.
constexpr Duration HealthPeriod = std::chrono::seconds(1);

/// Limit on giving away lanes and gates, within the 15 s of a stop.
constexpr Duration GiveAwayTimeout = std::chrono::seconds(12);

/// Counts are cumulative and sent every second, so late ones are superseded.
constexpr Duration EvidenceTimeout = std::chrono::seconds(2);

enum ExitStatus { Success = 0, Failure = 1, BadUsage = 2 };

/// \brief Owns and connects the components of the process.
class HolderProcess {
public:
  explicit HolderProcess(const Settings &Own)
      : Peers(ClientThreads), Agent(Own, ProcessRole::Holder, Peers),
        State(Own, Peers, Agent), Slots(State), Searches(State, Slots),
        Gates(State, Slots), Status(State, Slots, Gates),
        Shares(Own, Agent.platform(), this->shareHandlers()),
        Moves(Own, Agent.platform(), this->moveHandlers()) {}

  ~HolderProcess() {
    // Tasks on the pools use the other members, so the pools are joined first.
    // Every task ends by its deadline.
    this->State.Workers.join();
    this->State.Platform.join();
    this->Expiry.reset();
  }

  Expected<void> start() {
    this->Agent.onChange([this](const Ref<const RoutingView> &) {
      this->Shares.wake();
      this->updateSlots();
    });
    this->Agent.onNotice(
        [this](const Notice &Received) { this->onNotice(Received); });
    auto Listening = PeerServer::listen(this->State.Own.Peer, ServerThreads,
                                        [this](const std::string &Path,
                                               const std::string &Message,
                                               const Ref<PeerStream> &Stream) {
                                          this->serve(Path, Message, Stream);
                                        });
    if (!Listening)
      return tl::unexpected(Listening.error());
    this->Server = std::move(*Listening);
    if (Expected<void> Started = this->Status.start(); !Started)
      return Started;
    if (Expected<void> Started = this->Agent.start(); !Started)
      return Started;
    this->Shares.start();
    this->Moves.start();
    this->Expiry = std::make_unique<Ticker>(ExpirePeriod,
                                            [this] { this->Slots.expire(); });
    this->GateTicks = std::make_unique<Ticker>(WriteGate::TickPeriod,
                                               [this] { this->Gates.tick(); });
    this->Health = std::make_unique<Ticker>(HealthPeriod,
                                            [this] { this->Slots.maintain(); });
    logEvent(LogLevel::Info, "process-started",
             {{"http", toText(this->State.Own.Http)},
              {"peer", toText(this->Server->local())},
              {"software", std::string(BALSAMYARD_VERSION)}});
    return {};
  }

  /// \brief Serves until a stop signal arrives and all work is finished.
  /// \returns whether no work was cut off.
  bool run() {
    std::thread GiveAway;
    std::atomic<bool> GivenAway{false};
    LifecycleHooks Hooks;
    Hooks.OnLeaving = [this] {
      logEvent(LogLevel::Info, "process-leaving", {});
      this->State.Leaving.store(true);
      this->Agent.leave();
    };
    Hooks.OnDraining = [&] {
      GiveAway = std::thread([&] {
        const bool Done = this->Shares.giveAwayAll(GiveAwayTimeout);
        logEvent(Done ? LogLevel::Info : LogLevel::Warning, "shares-given-away",
                 {{"complete", Done}});
        GivenAway.store(true);
      });
    };
    Hooks.IsIdle = [&] {
      return GivenAway.load() && this->State.InFlight.load() == 0;
    };
    const bool Complete = runLifecycle(Hooks);
    if (GiveAway.joinable())
      GiveAway.join();
    this->stop();
    return Complete;
  }

  /// \brief Stops the components in dependency order; the status server, which
  /// only reads, is last. The destructor ends the pools and the expiry ticker.
  void stop() {
    if (this->Server)
      this->Server->drain();
    this->Health.reset();
    this->GateTicks.reset();
    this->Moves.stop();
    this->Shares.stop();
    this->Agent.stop();
    this->Status.stop();
  }

private:
  ShareHandlers shareHandlers() {
    ShareHandlers Result;
    Result.View = [this] { return this->Agent.view().read(); };
    Result.StopLanes = [this](const std::vector<LaneKey> &Lanes) {
      this->Slots.stopLanes(Lanes);
    };
    Result.StopGates = [this](const std::vector<std::size_t> &GateNumbers) {
      this->Gates.stopGates(GateNumbers);
    };
    Result.Changed = [this](const Ref<const OwnedShares> &Owned) {
      this->updateSlots();
      this->Gates.update(*Owned);
    };
    return Result;
  }

  MoveHandlers moveHandlers() {
    MoveHandlers Result;
    Result.View = [this] { return this->Agent.view().read(); };
    Result.Counts = [this] { return this->State.Evidence.read(); };
    Result.Send = [this](const Endpoint &To, const Evidence &Counts) {
      // Counts are cumulative, so the next message makes up for a lost one.
      this->Peers.call(
          To, "/v1/evidence", encode(Counts), EvidenceTimeout,
          [](const std::string &) {}, [](Code, bool) {});
    };
    Result.Announce = [this](const VersionRolledBack &Body) {
      this->Agent.notify(Body);
    };
    return Result;
  }

  void updateSlots() {
    // Read inside the lock, so that an older state never replaces a newer one.
    std::lock_guard<std::mutex> Lock(this->UpdateMutex);
    this->Slots.update(*this->Agent.view().read(),
                       *this->Shares.owned().read());
  }

  void serve(const std::string &Path, const std::string &Message,
             const Ref<PeerStream> &Stream) {
    if (Path == "/v1/leaf-batch") {
      if (Expected<LeafBatch> Batch = decode<LeafBatch>(Message))
        return this->Searches.serve(std::move(*Batch), Stream);
    } else if (Path == "/v1/write") {
      if (Expected<WriteCommand> Write = decode<WriteCommand>(Message))
        return this->Gates.serveWrite(std::move(*Write), Stream);
    } else if (Path == "/v1/leaf-write") {
      if (Expected<WriteCommand> Write = decode<WriteCommand>(Message))
        return this->Gates.serveLeafWrite(std::move(*Write), Stream);
    } else if (Path == "/v1/evidence") {
      if (Expected<Evidence> Counts = decode<Evidence>(Message))
        this->onEvidence(*Counts);
    } else if (Expected<std::string> Reply =
                   this->Agent.handle(Path, Message)) {
      Stream->send(std::move(*Reply));
    }
    Stream->finish();
  }

  void onNotice(const Notice &Received) {
    struct Visitor {
      HolderProcess &Process;
      void operator()(const SlotCold &Cold) const {
        this->Process.Slots.notice(Cold.Slot, PeerReportedCold{});
      }
      void operator()(const SlotLeaving &Leaving) const {
        this->Process.Slots.notice(Leaving.Slot, PeerReportedLeaving{});
      }
      void operator()(const RequestQuarantined &Found) const {
        this->Process.State.QuarantinedRequests.apply(
            QuarantineReceived{Found.Print, Found.Remaining}, steadyNow());
      }
      void operator()(const VersionRolledBack &Rollback) const {
        this->Process.Moves.receive(Rollback);
      }
    };
    std::visit(Visitor{*this}, Received.Body);
  }

  void onEvidence(const Evidence &Counts) {
    this->State.ProcessMetrics.add("balsamyard_evidence_received_total",
                                   "service=\"" + Counts.Service.Text + "\"");
    this->Moves.receive(Counts);
  }

  PeerClient Peers;
  ControlAgent Agent;
  HolderState State;
  SlotTable Slots;
  SearchService Searches;
  GateService Gates;
  StatusServer Status;
  ShareController Shares;
  MoveController Moves;
  std::mutex UpdateMutex;
  std::unique_ptr<PeerServer> Server;
  std::unique_ptr<Ticker> Expiry;
  std::unique_ptr<Ticker> GateTicks;
  std::unique_ptr<Ticker> Health;
};

cxxopts::Options makeOptions() {
  cxxopts::Options Options("balsamyard-holder",
                           "Holds the connections to targets of its failure "
                           "domain and runs write gates.\n");
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

ExitStatus run(const Settings &Own) {
  std::signal(SIGPIPE, SIG_IGN);
  blockStopSignals();
  openLog("holder", Own.Node, Own.Domain, Own.LogFile);
  HolderProcess Process(Own);
  if (Expected<void> Started = Process.start(); !Started) {
    logEvent(
        LogLevel::Error, "start-failed",
        {{"code", Started.error().Value}, {"detail", Started.error().Detail}});
    Process.stop();
    return Failure;
  }
  const bool Complete = Process.run();
  logEvent(Complete ? LogLevel::Info : LogLevel::Error, "process-stopped",
           {{"complete", Complete}});
  return Complete ? Success : Failure;
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
      std::cout << "balsamyard-holder " << BALSAMYARD_VERSION << '\n';
      return Success;
    }
    if (!Parsed.unmatched().empty() || Parsed.count("settings") == 0) {
      std::cerr << "balsamyard-holder: --settings FILE is required; see "
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
    std::cerr << "balsamyard-holder: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
