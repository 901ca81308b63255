#include "tests/soak/SoakRun.h"

#include "balsamyard/src/Request/Scatter.h"

#include <algorithm>
#include <asio/read.hpp>
#include <csignal>
#include <iostream>
#include <sys/wait.h>
#include <unistd.h>

namespace balsamyard::soak {

namespace {

using nlohmann::json;

// Bounds that the documentation of the platform guarantees.
constexpr Duration ContactTime = std::chrono::seconds(4);
constexpr Duration DrainTime = std::chrono::seconds(3);
constexpr Duration EvacuateTime = std::chrono::seconds(5);
constexpr Duration ConfigTime = std::chrono::seconds(3);
constexpr Duration RecoveryTime = std::chrono::seconds(12);
constexpr Duration AnswerSlack = std::chrono::milliseconds(500);

constexpr Duration RouteTimeout = std::chrono::milliseconds(1200);
constexpr double MinCoverage = 0.6;
constexpr std::uint32_t TopRecords = 4;

/// Number of consecutive successes that counts as recovered.
constexpr std::size_t RecoveredSuccesses = 100;

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration EntryLapseTime = std::chrono::milliseconds(1500);

std::string fieldOf(const HttpResponse &Answer, const char *Name) {
  const std::string *Value = Answer.Fields.find(Name);
  return Value == nullptr ? "" : *Value;
}

/// \returns the services of receipts of the form "SERVICE/ID, SERVICE/ID", or
/// nothing if a receipt belongs to a request other than \p Id.
std::optional<std::vector<std::string>> servicesOf(const std::string &Receipts,
                                                   const std::string &Id) {
  std::vector<std::string> Result;
  std::size_t Begin = 0;
  while (Begin < Receipts.size()) {
    const std::size_t End =
        std::min(Receipts.find(',', Begin), Receipts.size());
    const std::string Receipt = Receipts.substr(Begin, End - Begin);
    const std::size_t Slash = Receipt.find('/');
    if (Slash == std::string::npos || Receipt.substr(Slash + 1) != Id)
      return std::nullopt;
    Result.push_back(Receipt.substr(Receipt.find_first_not_of(' '),
                                    Slash - Receipt.find_first_not_of(' ')));
    Begin = End + 1;
  }
  return Result;
}

} // namespace

SoakRun::SoakRun(SoakOptions Options)
    : Options(std::move(Options)), Random(this->Options.Seed),
      HiddenRandom(this->Options.Seed + 1), StartedAt(steadyNow()) {
  const std::string StoreAddress = this->Store.address();
  const asio::ip::tcp::endpoint StorePort(
      asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(
          std::stoi(StoreAddress.substr(StoreAddress.find(':') + 1))));
  // Derive loopback addresses from the process id, so that runs can execute
  // concurrently.
  const int ProcessId = static_cast<int>(::getpid());
  for (std::size_t Index = 0; Index < this->Options.Nodes; ++Index) {
    NodeRecord Next;
    Next.Store = std::make_unique<Proxy>(this->Io, StorePort);
    Next.Process = std::make_unique<NodeProcess>(
        NodeOptions{this->Options.Program, this->Options.Folder,
                    "node-" + std::to_string(Index),
                    "127." + std::to_string(1 + ProcessId / 200 % 200) + "." +
                        std::to_string(1 + ProcessId % 200) + "." +
                        std::to_string(Index + 1),
                    Next.Store->address()});
    this->Nodes.push_back(std::move(Next));
  }
  for (const char *Service : {"s1", "s2", "s3", "s4", "lookup", "record"})
    for (const char *Domain : {"z", "y"}) {
      TargetRecord Next;
      Next.Target = std::make_unique<SoakTarget>(
          this->Io, this->Observed, Service, std::string(Service) + Domain);
      Next.Domain = Domain;
      this->Targets.push_back(std::move(Next));
    }
}

SoakRun::~SoakRun() {
  this->Finished = true;
  for (const std::shared_ptr<SoakCaller> &Caller : this->Callers)
    Caller->stop();
  this->Nodes.clear();
  this->runFor(std::chrono::milliseconds(50));
  this->Io.stop();
}

Duration SoakRun::randomDuration(int LowMillis, int HighMillis) {
  return std::chrono::milliseconds(
      LowMillis +
      static_cast<int>(this->Random() %
                       static_cast<unsigned>(HighMillis - LowMillis)));
}

void SoakRun::trace(const std::string &Message) {
  if (this->Options.Verbose)
    std::cout
        << std::chrono::duration<double>(steadyNow() - this->StartedAt).count()
        << " " << Message << "\n";
}

void SoakRun::violation(const std::string &Message) {
  this->trace("VIOLATION: " + Message);
  this->Observed.violation(Message);
}

void SoakRun::announce(TargetRecord &Record, const char *State) {
  Record.Listed = true;
  this->Store.put("servers", Record.Target->id(),
                  {{"service", Record.Target->service()},
                   {"address", Record.Target->address()},
                   {"zone", Record.Domain},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", State},
                   {"warmupLeftMs", 0},
                   {"sequence", 1},
                   {"born", 1}});
}

void SoakRun::withdraw(TargetRecord &Record) {
  if (std::exchange(Record.Listed, false))
    this->Store.put("servers", Record.Target->id(), nullptr);
}

void SoakRun::changeConfig() {
  ConfigEntry Next;
  Next.Version = this->Configs.empty()
                     ? 7
                     : this->Configs.back().Version + 1 + this->Random() % 5;
  Next.Shards = this->Random() % 2 == 0
                    ? std::vector<std::string>{"s1", "s2", "s3"}
                    : std::vector<std::string>{"s2", "s3", "s4"};
  const auto Route = [](const std::string &Name, json More) {
    More["name"] = Name;
    More["host"] = "soak.example";
    More["pathPrefix"] = "/" + Name + "/";
    More.emplace("type", "idempotent");
    More["timeoutMs"] = RouteTimeout / std::chrono::milliseconds(1);
    More["targetLatencyMs"] = 200;
    More["attempts"] = 2;
    return More;
  };
  json Services = json::array();
  for (const char *Name : {"s1", "s2", "s3", "s4", "lookup", "record"})
    Services.push_back(
        {{"name", Name}, {"healthPath", "/health"}, {"maxConnections", 60}});
  const std::string Added = "added-" + std::to_string(Next.Version);
  this->Store.put(
      "config", "main",
      {{"version", Next.Version},
       {"routes",
        {Route("search", {{"gather", Next.Shards},
                          {"topK", TopRecords},
                          {"minCoverage", MinCoverage}}),
         Route("lookup", {{"service", "lookup"}}),
         Route("record", {{"service", "record"}, {"type", "non_idempotent"}}),
         Route(Added, {{"service", "lookup"}})}},
       {"services", Services},
       {"limits", json::object()}});
  Next.AcceptedAt = steadyNow();
  if (!this->Configs.empty())
    this->Configs.back().ReplacedAt = Next.AcceptedAt;
  this->Configs.push_back(std::move(Next));
  this->trace("config " + std::to_string(this->Configs.back().Version));
}

CallerRequest SoakRun::chooseRequest() {
  CallerRequest Result;
  const std::string Number = std::to_string(++this->Requests);
  switch (this->Random() % 6) {
  case 0:
    Result.Path = "/lookup/" + Number;
    return Result;
  case 1:
    Result.Method = "POST";
    Result.Path = "/record/" + Number;
    Result.Body = "body of " + Number;
    Result.Idempotent = false;
    return Result;
  case 2: {
    // A route of the newest or the previous configuration.
    const std::size_t Back =
        std::min<std::size_t>(this->Random() % 2, this->Configs.size() - 1);
    Result.Path =
        "/added-" +
        std::to_string(this->Configs[this->Configs.size() - 1 - Back].Version) +
        "/" + Number;
    return Result;
  }
  default:
    Result.Path = "/search/" + Number;
    return Result;
  }
}

bool SoakRun::isUndisturbed(const NodeRecord &Node, TimePoint Since) const {
  return Node.Process->isRunning() && !Node.Process->StopSince &&
         !Node.Process->KilledAt && !Node.Process->PausedUntil &&
         Node.Process->LastFaultAt + ContactTime < Since &&
         Node.StoreFaultUntil + ContactTime < Since;
}

bool SoakRun::allUndisturbed(TimePoint Since) const {
  return std::all_of(
      this->Nodes.begin(), this->Nodes.end(),
      [&](const NodeRecord &Node) { return this->isUndisturbed(Node, Since); });
}

void SoakRun::checkMerged(const Exchange &Ended) {
  const auto Services =
      servicesOf(fieldOf(Ended.Answer, "X-Balsamyard-Part-Stamps"), Ended.Id);
  if (!Services || Services->empty()) {
    this->violation("an answer has no receipt or one of another request: " +
                    Ended.Id);
    return;
  }
  const std::set<std::string> Distinct(Services->begin(), Services->end());
  if (Distinct.size() != Services->size())
    this->violation("an answer contains two parts of one shard: " + Ended.Id);
  const std::string Missing =
      fieldOf(Ended.Answer, "X-Balsamyard-Missing-Parts");
  const std::size_t Shards =
      Services->size() + (Missing.empty() ? 0 : std::stoul(Missing));
  const bool FromOneVersion = std::any_of(
      this->Configs.begin(), this->Configs.end(),
      [&](const ConfigEntry &Config) {
        return Config.Shards.size() == Shards &&
               std::all_of(Distinct.begin(), Distinct.end(),
                           [&](const std::string &Service) {
                             return std::find(Config.Shards.begin(),
                                              Config.Shards.end(),
                                              Service) != Config.Shards.end();
                           });
      });
  if (!FromOneVersion)
    this->violation("an answer mixes configurations or reports a wrong "
                    "coverage: " +
                    Ended.Id);
  if (static_cast<double>(Services->size()) <
      MinCoverage * static_cast<double>(Shards))
    this->violation("an answer has less than the minimum coverage: " +
                    Ended.Id);
  std::vector<std::string> Parts;
  for (const std::string &Service : *Services)
    Parts.push_back(partRecords(Ended.Id, Service));
  const std::vector<std::string_view> Views(Parts.begin(), Parts.end());
  if (Ended.Answer.Body != mergeRecords(Views, TopRecords))
    this->violation("an answer differs from the merge of its parts: " +
                    Ended.Id);
}

void SoakRun::checkAnswer(const Exchange &Ended) {
  const int Status = Ended.Answer.Status;
  const bool Sharded = Ended.Request.Path.starts_with("/search/");
  const std::string Receipt =
      fieldOf(Ended.Answer, "X-Balsamyard-Server-Stamp");
  if (Status / 100 == 2 && Sharded) {
    this->checkMerged(Ended);
    return;
  }
  if (Receipt.empty()) {
    if (Status / 100 == 2)
      this->violation("a success has no receipt: " + Ended.Id);
    return;
  }
  const std::string Service =
      Ended.Request.Path.starts_with("/record/") ? "record" : "lookup";
  if (Receipt != Service + "/" + Ended.Id)
    this->violation("an answer belongs to another request: " + Ended.Id);
  if (Status == 200 && Ended.Answer.Body != partRecords(Ended.Id, Service))
    this->violation("an answer differs from that of its target: " + Ended.Id);
  if (Status != 200 && Status != 500)
    this->violation(
        "a receipt comes with a status that its target did not send: " +
        Ended.Id);
}

void SoakRun::checkConfig(const Exchange &Ended) {
  if (!Ended.Request.Path.starts_with("/added-"))
    return;
  const auto Version = std::stoull(Ended.Request.Path.substr(7));
  const auto Found = std::find_if(
      this->Configs.begin(), this->Configs.end(),
      [&](const ConfigEntry &Config) { return Config.Version == Version; });
  const bool Refused = Ended.Answer.Status == 404;
  const bool MustBeKnown = Ended.SentAt > Found->AcceptedAt + ConfigTime;
  if (Refused && MustBeKnown && !Found->ReplacedAt)
    this->violation("a route is unknown after its configuration must be in "
                    "force: " +
                    Ended.Id);
  if (Ended.Answer.Status == 200 && Found->ReplacedAt &&
      Ended.SentAt > *Found->ReplacedAt + ConfigTime)
    this->violation("a removed route is still served: " + Ended.Id);
}

void SoakRun::checkDuration(const Exchange &Ended) {
  const Duration Elapsed = steadyNow() - Ended.SentAt;
  if (Elapsed > RouteTimeout + AnswerSlack)
    this->violation("no final answer within the timeout of the route: " +
                    Ended.Id);
}

void SoakRun::onEnd(const Exchange &Ended) {
  if (this->Finished)
    return;
  const NodeRecord &Served = this->Nodes[Ended.Node];
  const NodeProcess &Process = *Served.Process;
  const bool Success = Ended.Answer.Status / 100 == 2;
  // Status 404 is correct while the configuration of the route is being applied
  // or replaced.
  if (Success || Ended.Answer.Status == 404)
    ++this->SuccessesInARow;
  else if (!Ended.Abandoned)
    this->SuccessesInARow = 0;
  if (Ended.Answer.Status != 0)
    this->checkAnswer(Ended);
  if (!Ended.Abandoned && this->isUndisturbed(Served, Ended.SentAt)) {
    this->checkConfig(Ended);
    this->checkDuration(Ended);
  }
  const bool OnlyStopped = Process.StopSince && !Process.KilledAt &&
                           !Process.PausedUntil &&
                           Process.LastFaultAt + ContactTime < Ended.SentAt;
  if (Ended.Answer.Status == 0 && !Ended.Abandoned && OnlyStopped &&
      this->Observed.record(Ended.Id).Runs > 0)
    this->violation(
        "a planned stop aborted a request that had reached a target: " +
        Ended.Id);
}

void SoakRun::checkNodeExit(NodeRecord &Node) {
  NodeProcess &Process = *Node.Process;
  const std::optional<int> Status = Process.takeExitStatus();
  if (Status) {
    const bool Killed = Process.KilledAt && WIFSIGNALED(*Status);
    const bool Stopped =
        Process.StopSince && WIFEXITED(*Status) && WEXITSTATUS(*Status) == 0;
    if (!Killed && !Stopped)
      this->violation(Process.name() + " ended unexpectedly, wait status " +
                      std::to_string(*Status));
    Node.StartAt = steadyNow() + this->randomDuration(50, 600);
    Process.LastFaultAt = steadyNow();
    return;
  }
  if (Process.StopSince && !Process.KilledAt && !Process.PausedUntil &&
      Process.LastFaultAt < *Process.StopSince &&
      steadyNow() > *Process.StopSince + NodeProcess::GraceTime) {
    this->violation(Process.name() + " did not end within its grace time");
    Process.KilledAt = steadyNow();
    Process.signal(SIGKILL);
  }
}

void SoakRun::tickNode(NodeRecord &Node) {
  const TimePoint Now = steadyNow();
  NodeProcess &Process = *Node.Process;
  if (Process.PausedUntil && Now >= *Process.PausedUntil) {
    Process.PausedUntil.reset();
    Process.LastFaultAt = Now;
    Process.signal(SIGCONT);
  }
  if (Node.StoreBroken && Now >= Node.StoreFaultUntil) {
    Node.StoreBroken = false;
    Node.Store->setFault(LinkHealthy{});
  }
  this->checkNodeExit(Node);
  if (!Process.isRunning() && Now >= Node.StartAt) {
    Node.StartAt = TimePoint::max();
    Process.start();
    Process.LastFaultAt = Now;
    this->trace(Process.name() + " starts");
  }
}

void SoakRun::tickTarget(TargetRecord &Record) {
  const TimePoint Now = steadyNow();
  SoakTarget &Target = *Record.Target;
  if (Record.LinkBroken && Now >= Record.LinkFaultUntil) {
    Record.LinkBroken = false;
    if (Target.isRunning())
      Target.link().setFault(LinkHealthy{});
  }
  if (Now >= Record.StateUntil)
    Target.setState(TargetHealthy{});
  const bool LinkWasHealthy = Record.LinkFaultUntil + ContactTime < Now;
  if (Target.LastRequestAt && LinkWasHealthy &&
      this->allUndisturbed(*Target.LastRequestAt)) {
    if (Target.LeavingSince &&
        *Target.LastRequestAt > *Target.LeavingSince + DrainTime)
      this->violation("a leaving target got a request: " + Target.id());
    if (Record.Domain == "y" && this->EvacuatedSince &&
        *Target.LastRequestAt > *this->EvacuatedSince + EvacuateTime)
      this->violation("an evacuated target got a request: " + Target.id());
  }
  if (Now < Record.ChangeAt)
    return;
  // A leaving target stops, a crashed one loses its entry, and then the target
  // restarts under a new id.
  Record.ChangeAt = TimePoint::max();
  if (Target.isRunning()) {
    Target.crash();
    Record.ChangeAt = Now + this->randomDuration(100, 1500);
    this->withdraw(Record);
  } else if (Record.Listed) {
    this->withdraw(Record);
    Record.ChangeAt = Now + this->randomDuration(0, 1000);
  } else {
    Target.start();
    this->announce(Record, "ready");
  }
}

void SoakRun::tick() {
  for (NodeRecord &Node : this->Nodes)
    this->tickNode(Node);
  for (TargetRecord &Record : this->Targets)
    this->tickTarget(Record);
}

void SoakRun::runFor(Duration Time) {
  const TimePoint End = steadyNow() + Time;
  while (steadyNow() < End) {
    this->Io.restart();
    this->Io.run_for(std::min<Duration>(TickInterval, End - steadyNow()));
    this->tick();
  }
}

bool SoakRun::allReady() {
  for (NodeRecord &Node : this->Nodes) {
    if (!Node.Process->isRunning())
      return false;
    asio::ip::tcp::socket Balancer(this->Io);
    asio::error_code Problem;
    Balancer.connect(Node.Process->readiness(), Problem);
    if (Problem)
      return false;
    asio::write(
        Balancer,
        asio::buffer(std::string(
            "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")),
        Problem);
    std::array<char, 12> Line{};
    asio::read(Balancer, asio::buffer(Line), Problem);
    if (Problem || std::string_view(Line.data() + 9, 3) != "200")
      return false;
  }
  return true;
}

void SoakRun::stopNode() {
  NodeRecord &Node = this->randomNode();
  if (!Node.Process->isRunning() || Node.Process->StopSince ||
      Node.Process->PausedUntil)
    return;
  this->trace("stop " + Node.Process->name());
  Node.Process->StopSince = steadyNow();
  Node.Process->signal(SIGTERM);
}

void SoakRun::killNode() {
  NodeRecord &Node = this->randomNode();
  if (!Node.Process->isRunning())
    return;
  this->trace("kill " + Node.Process->name());
  Node.Process->KilledAt = steadyNow();
  Node.Process->signal(SIGKILL);
}

void SoakRun::killAllNodes() {
  this->trace("kill all");
  for (NodeRecord &Node : this->Nodes)
    if (Node.Process->isRunning()) {
      Node.Process->KilledAt = steadyNow();
      Node.Process->signal(SIGKILL);
    }
}

void SoakRun::pauseNode() {
  NodeRecord &Node = this->randomNode();
  if (!Node.Process->isRunning() || Node.Process->PausedUntil)
    return;
  this->trace("pause " + Node.Process->name());
  Node.Process->PausedUntil = steadyNow() + this->randomDuration(200, 2500);
  Node.Process->signal(SIGSTOP);
}

void SoakRun::reloadNode() {
  NodeRecord &Node = this->randomNode();
  this->trace("reload " + Node.Process->name());
  Node.Process->changeSettings();
  // Without a signal the node has to detect the changed file itself.
  if (this->Random() % 2 == 0)
    Node.Process->signal(SIGHUP);
}

void SoakRun::breakStoreLink() {
  NodeRecord &Node = this->randomNode();
  const std::vector<LinkFault> Faults = {
      LinkPartitioned{}, LinkPartitioned{true, false},
      LinkPartitioned{false, true}, LinkRefused{},
      LinkDelayed{std::chrono::milliseconds(250)}};
  const LinkFault &Fault = Faults[this->Random() % Faults.size()];
  this->trace("store link of " + Node.Process->name() + ", fault " +
              std::to_string(Fault.index()));
  Node.StoreFaultUntil = steadyNow() + this->randomDuration(300, 3000);
  if (std::holds_alternative<LinkRefused>(Fault))
    Node.Store->resetAll();
  Node.StoreBroken = true;
  Node.Store->setFault(Fault);
}

void SoakRun::resetStoreLinks() {
  this->trace("reset store links");
  for (NodeRecord &Node : this->Nodes) {
    Node.Store->resetAll();
    Node.StoreFaultUntil = std::max(Node.StoreFaultUntil, steadyNow());
  }
}

void SoakRun::crashTarget() {
  TargetRecord &Record = this->randomTarget();
  if (!Record.Target->isRunning())
    return;
  this->trace("crash " + Record.Target->id());
  Record.Target->crash();
  Record.ChangeAt = steadyNow() + EntryLapseTime;
}

void SoakRun::drainTarget() {
  TargetRecord &Record = this->randomTarget();
  if (!Record.Target->isRunning() || Record.Target->LeavingSince)
    return;
  this->trace("drain " + Record.Target->id());
  if (this->HiddenRandom() % 2 == 0) {
    // Nodes with requests know it before its entry says so.
    Record.Target->SaysLeaving = true;
    this->runFor(std::chrono::milliseconds(30));
  }
  this->announce(Record, "draining");
  Record.Target->LeavingSince = steadyNow();
  Record.ChangeAt = steadyNow() + DrainTime + this->randomDuration(200, 1500);
}

void SoakRun::impairTarget() {
  TargetRecord &Record = this->randomTarget();
  const std::vector<TargetState> States = {TargetSlow{}, TargetHangs{},
                                           TargetFails{}, TargetFull{},
                                           TargetLimited{3}};
  Record.Target->setState(States[this->Random() % States.size()]);
  Record.StateUntil = steadyNow() + this->randomDuration(300, 2000);
  this->trace("disturb " + Record.Target->id());
}

void SoakRun::breakTargetLink() {
  TargetRecord &Record = this->randomTarget();
  if (!Record.Target->isRunning())
    return;
  const std::vector<LinkFault> Faults = {
      LinkPartitioned{}, LinkPartitioned{true, false},
      LinkPartitioned{false, true}, LinkRefused{},
      LinkDelayed{std::chrono::milliseconds(40)}};
  const LinkFault &Fault = Faults[this->Random() % Faults.size()];
  this->trace("link of " + Record.Target->id() + ", fault " +
              std::to_string(Fault.index()));
  Record.LinkFaultUntil = steadyNow() + this->randomDuration(200, 2500);
  const unsigned More = this->Random() % 3;
  if (More == 0)
    Record.Target->link().resetAll();
  if (More == 1)
    Record.Target->link().blackholeOpen();
  Record.LinkBroken = true;
  Record.Target->link().setFault(Fault);
}

void SoakRun::toggleEvacuation() {
  if (this->EvacuatedSince) {
    this->trace("evacuation ends");
    this->EvacuatedSince.reset();
    this->Store.put("evacuations", "y", nullptr);
    return;
  }
  this->trace("evacuate");
  this->Store.put("evacuations", "y", json::object());
  this->EvacuatedSince = steadyNow();
}

void SoakRun::startRandomFault() {
  using Fault = void (SoakRun::*)();
  struct Weighted {
    Fault Do;
    int Weight;
  };
  constexpr Weighted Kinds[] = {
      {&SoakRun::stopNode, 5},        {&SoakRun::killNode, 2},
      {&SoakRun::killAllNodes, 1},    {&SoakRun::pauseNode, 3},
      {&SoakRun::reloadNode, 3},      {&SoakRun::breakStoreLink, 4},
      {&SoakRun::resetStoreLinks, 1}, {&SoakRun::crashTarget, 5},
      {&SoakRun::drainTarget, 5},     {&SoakRun::impairTarget, 6},
      {&SoakRun::breakTargetLink, 6}, {&SoakRun::changeConfig, 5},
      {&SoakRun::toggleEvacuation, 2}};
  int Sum = 0;
  for (const Weighted &Kind : Kinds)
    Sum += Kind.Weight;
  int Point = static_cast<int>(this->Random() % static_cast<unsigned>(Sum));
  for (const Weighted &Kind : Kinds) {
    Point -= Kind.Weight;
    if (Point < 0) {
      (this->*Kind.Do)();
      return;
    }
  }
}

void SoakRun::startHiddenFault() {
  switch (this->HiddenRandom() % 4) {
  case 0:
    this->loseStoreAnswer();
    return;
  case 1:
    this->chooseQuietNode();
    return;
  default:
    return;
  }
}

void SoakRun::loseStoreAnswer() {
  constexpr std::array Kinds = {"config", "servers", "evacuations"};
  const char *Kind = Kinds[this->HiddenRandom() % Kinds.size()];
  this->trace(std::string("lose the next answer about ") + Kind);
  this->Store.loseNextAnswer(Kind);
}

void SoakRun::chooseQuietNode() {
  this->QuietNode.reset();
  // One of the nodes that follow others, if there are any.
  if (this->Nodes.size() > 1 && this->HiddenRandom() % 4 != 0)
    this->QuietNode =
        this->Nodes.size() - 1 -
        this->HiddenRandom() % std::min<std::size_t>(this->Nodes.size() - 1, 2);
  this->trace(this->QuietNode
                  ? "quiet " + this->Nodes[*this->QuietNode].Process->name()
                  : "no quiet node");
}

void SoakRun::endFaults() {
  this->trace("heal");
  this->QuietNode.reset();
  if (this->EvacuatedSince)
    this->toggleEvacuation();
  for (NodeRecord &Node : this->Nodes) {
    if (Node.StoreBroken)
      Node.StoreFaultUntil = steadyNow();
    if (Node.Process->PausedUntil)
      Node.Process->PausedUntil = steadyNow();
  }
  for (TargetRecord &Record : this->Targets) {
    if (Record.LinkBroken)
      Record.LinkFaultUntil = steadyNow();
    Record.StateUntil = {};
  }
}

bool SoakRun::recover() {
  const TimePoint End = steadyNow() + RecoveryTime;
  this->SuccessesInARow = 0;
  while (steadyNow() < End) {
    this->runFor(std::chrono::milliseconds(200));
    if (this->SuccessesInARow >= RecoveredSuccesses && this->allReady())
      return true;
  }
  return false;
}

void SoakRun::checkLostAnswers() {
  this->trace("lost answers");
  constexpr Duration Margin = std::chrono::seconds(1);
  this->QuietNode = this->Nodes.size() - 1;
  this->runFor(ContactTime + Margin);
  this->Store.loseNextAnswer("config");
  this->changeConfig();
  this->runFor(ConfigTime + Margin);
  const auto Leaving =
      std::find_if(this->Targets.begin(), this->Targets.end(),
                   [](const TargetRecord &Record) {
                     return Record.Target->isRunning() &&
                            !Record.Target->LeavingSince &&
                            Record.Target->service() == "lookup";
                   });
  if (Leaving == this->Targets.end())
    return;
  // All nodes with requests know the departure before its entry says so.
  Leaving->Target->SaysLeaving = true;
  this->runFor(std::chrono::milliseconds(200));
  this->Store.loseNextAnswer("servers");
  this->announce(*Leaving, "draining");
  Leaving->Target->LeavingSince = steadyNow();
  this->runFor(DrainTime + std::chrono::milliseconds(200));
  this->QuietNode.reset();
  this->runFor(Margin);
  Leaving->ChangeAt = steadyNow();
}

void SoakRun::checkRequestLimits() {
  constexpr double Limit = 5;
  constexpr Duration Window = std::chrono::seconds(4);
  constexpr std::size_t Allowed = 1.5 * Limit * 4 + 5;
  this->trace("limits");
  for (TargetRecord &Record : this->Targets)
    if (Record.Domain == "z" && Record.Target->isRunning()) {
      Record.StateUntil = TimePoint::max();
      Record.Target->setState(TargetLimited{Limit});
    }
  this->runFor(ContactTime);
  const TimePoint CountedFrom = steadyNow();
  this->runFor(Window + std::chrono::seconds(2));
  for (TargetRecord &Record : this->Targets) {
    std::deque<TimePoint> Recent;
    std::size_t Most = 0;
    for (const TimePoint Arrival : Record.Target->LimitedArrivals) {
      if (Arrival < CountedFrom)
        continue;
      Recent.push_back(Arrival);
      while (Recent.back() - Recent.front() >= Window)
        Recent.pop_front();
      Most = std::max(Most, Recent.size());
    }
    if (Most > Allowed)
      this->violation("a target that accepts " +
                      std::to_string(static_cast<int>(Limit)) +
                      " requests per second got " + std::to_string(Most) +
                      " in 4 s: " + Record.Target->id());
  }
}

std::vector<std::string> SoakRun::run() {
  this->changeConfig();
  for (TargetRecord &Record : this->Targets)
    this->announce(Record, "ready");
  for (NodeRecord &Node : this->Nodes)
    Node.StartAt = steadyNow();
  for (int Waits = 0; Waits < 200 && !this->allReady(); ++Waits)
    this->runFor(std::chrono::milliseconds(50));
  for (std::size_t Index = 0; Index < this->Options.Callers; ++Index) {
    CallerHooks Hooks;
    Hooks.ChooseNode = [this] {
      const std::size_t Chosen = this->Random() % this->Nodes.size();
      return this->QuietNode == Chosen ? (Chosen + 1) % this->Nodes.size()
                                       : Chosen;
    };
    Hooks.AddressOf = [this](std::size_t Node) {
      return this->Nodes[Node].Process->callers();
    };
    Hooks.ChooseRequest = [this] { return this->chooseRequest(); };
    Hooks.OnEnd = [this](const Exchange &Ended) { this->onEnd(Ended); };
    this->Callers.push_back(std::make_shared<SoakCaller>(
        this->Io, this->Observed, std::move(Hooks), "c" + std::to_string(Index),
        this->Options.Seed * 1000 + static_cast<unsigned>(Index)));
    this->Callers.back()->start();
  }
  const TimePoint End = steadyNow() + this->Options.FaultTime;
  while (steadyNow() < End) {
    this->startRandomFault();
    this->startHiddenFault();
    this->runFor(this->randomDuration(100, 1100));
  }
  this->endFaults();
  if (!this->recover())
    this->violation("requests do not succeed within the recovery time");
  this->checkLostAnswers();
  this->checkRequestLimits();
  return this->Observed.violations();
}

} // namespace balsamyard::soak
