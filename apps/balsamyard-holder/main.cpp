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

/// Time between two looks for requests past their deadline. httplib's timeouts
/// end most of them; this ends answers that arrive byte by byte.
constexpr Duration ExpirePeriod = std::chrono::milliseconds(25);

/// Time between two health polls of a slot.
constexpr Duration HealthPeriod = std::chrono::seconds(1);

/// Lanes and gates are given away within this time of the 15 s of a stop.
constexpr Duration GiveAwayTime = std::chrono::seconds(12);

/// Counts are sent each second; later they are of no more use.
constexpr Duration EvidenceTimeout = std::chrono::seconds(2);

enum ExitStatus { Success = 0, Failure = 1, BadUsage = 2 };

/// \brief Wires the parts of the process.
class HolderProcess {
public:
  explicit HolderProcess(const Settings &Own)
      : Peers(ClientThreads), Agent(Own, ProcessRole::Holder, Peers),
        State(Own, Peers, Agent), Slots(State), Searches(State, Slots),
        Gates(State, Slots), Status(State, Slots, Gates),
        Keeper(Own, Agent.platform(), this->shareHandlers()),
        Moves(Own, Agent.platform(), this->moveHandlers()) {}

  ~HolderProcess() {
    // Tasks on the pools use the other parts and end by their deadlines.
    this->State.Workers.join();
    this->State.Platform.join();
    this->Expiry.reset();
  }

  Expected<void> start() {
    this->Agent.onChange([this](const Ref<const RoutingView> &) {
      this->Keeper.wake();
      this->updateSlots();
    });
    this->Agent.onNotice([this](const Notice &News) { this->onNotice(News); });
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
    this->Keeper.start();
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
        const bool Done = this->Keeper.giveAwayAll(GiveAwayTime);
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

  /// \brief Stops all threads in the order in which they use each other.
  void stop() {
    if (this->Server)
      this->Server->drain();
    this->Health.reset();
    this->GateTicks.reset();
    this->Moves.stop();
    this->Keeper.stop();
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
    Result.StopGates = [this](const std::vector<std::size_t> &Which) {
      this->Gates.stopGates(Which);
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
      // Counts are cumulative, so a lost message is made good by the next.
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
    // Read inside the lock, so that two changes are applied in order.
    std::lock_guard<std::mutex> Lock(this->UpdateMutex);
    this->Slots.update(*this->Agent.view().read(),
                       *this->Keeper.owned().read());
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

  void onNotice(const Notice &News) {
    struct Visitor {
      HolderProcess &Process;
      void operator()(const SlotCold &Cold) const {
        this->Process.Slots.notice(Cold.Slot, PeerReportedCold{});
      }
      void operator()(const SlotLeaving &Leaving) const {
        this->Process.Slots.notice(Leaving.Slot, PeerReportedLeaving{});
      }
      void operator()(const RequestQuarantined &Found) const {
        this->Process.State.Poison.apply(
            QuarantineReceived{Found.Print, Found.Remaining}, steadyNow());
      }
      void operator()(const VersionRolledBack &Back) const {
        this->Process.Moves.receive(Back);
      }
    };
    std::visit(Visitor{*this}, News.Body);
  }

  void onEvidence(const Evidence &Counts) {
    this->State.Numbers.add("balsamyard_evidence_received_total",
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
  ShareController Keeper;
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
    const cxxopts::ParseResult Given = Options.parse(Count, Arguments);
    if (Given.count("help") > 0) {
      std::cout << Options.help();
      return Success;
    }
    if (Given.count("version") > 0) {
      std::cout << "balsamyard-holder " << BALSAMYARD_VERSION << '\n';
      return Success;
    }
    if (!Given.unmatched().empty() || Given.count("settings") == 0) {
      std::cerr << "balsamyard-holder: --settings FILE is required; see "
                   "--help\n";
      return BadUsage;
    }
    const auto File = Given["settings"].as<std::string>();
    auto Own = readSettings(File);
    if (!Own) {
      printFaults(File, Own.error());
      return Failure;
    }
    if (Given.count("check-settings") > 0) {
      std::cout << File << ": ok\n";
      return Success;
    }
    return run(*Own);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-holder: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
