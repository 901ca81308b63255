#include "tests/soak/World.h"

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

// The bounds that the platform's pages state.
constexpr Duration ContactTime = std::chrono::seconds(4);
constexpr Duration DrainTime = std::chrono::seconds(3);
constexpr Duration EvacuateTime = std::chrono::seconds(5);
constexpr Duration ConfigTime = std::chrono::seconds(3);
constexpr Duration RecoveryTime = std::chrono::seconds(12);
constexpr Duration AnswerSlack = std::chrono::milliseconds(500);

constexpr Duration RouteTimeout = std::chrono::milliseconds(1200);
constexpr double MinCoverage = 0.6;
constexpr std::uint32_t TopRecords = 4;

/// Calm means that this many requests in a row succeeded.
constexpr std::size_t CalmRequests = 100;

constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr Duration LapseTime = std::chrono::milliseconds(1500);

std::string fieldOf(const HttpResponse &Answer, const char *Name) {
  const std::string *Value = Answer.Fields.find(Name);
  return Value == nullptr ? "" : *Value;
}

/// \returns the services of "SERVICE/ID, SERVICE/ID", or nothing if a receipt
/// belongs to another request.
std::optional<std::vector<std::string>> servicesOf(const std::string &Receipts,
                                                   const std::string &Id) {
  std::vector<std::string> Result;
  std::size_t At = 0;
  while (At < Receipts.size()) {
    const std::size_t End = std::min(Receipts.find(',', At), Receipts.size());
    const std::string One = Receipts.substr(At, End - At);
    const std::size_t Slash = One.find('/');
    if (Slash == std::string::npos || One.substr(Slash + 1) != Id)
      return std::nullopt;
    Result.push_back(One.substr(One.find_first_not_of(' '),
                                Slash - One.find_first_not_of(' ')));
    At = End + 1;
  }
  return Result;
}

} // namespace

World::World(SoakOptions Given)
    : Options(std::move(Given)), Random(this->Options.Seed),
      StartedAt(steadyNow()) {
  const std::string StoreAddress = this->Store.address();
  const asio::ip::tcp::endpoint StorePort(
      asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(
          std::stoi(StoreAddress.substr(StoreAddress.find(':') + 1))));
  // Each run has loopback addresses of its own, so that runs go side by side.
  const int Own = static_cast<int>(::getpid());
  for (std::size_t At = 0; At < this->Options.Nodes; ++At) {
    Member Next;
    Next.Store = std::make_unique<Proxy>(this->Io, StorePort);
    Next.Process = std::make_unique<NodeProcess>(NodePlace{
        this->Options.Program, this->Options.Folder,
        "node-" + std::to_string(At),
        "127." + std::to_string(1 + Own / 200 % 200) + "." +
            std::to_string(1 + Own % 200) + "." + std::to_string(At + 1),
        Next.Store->address()});
    this->Nodes.push_back(std::move(Next));
  }
  for (const char *Service : {"s1", "s2", "s3", "s4", "lookup", "record"})
    for (const char *Domain : {"z", "y"}) {
      Place Next;
      Next.Target = std::make_unique<SoakTarget>(this->Io, this->Seen, Service,
                                                 std::string(Service) + Domain);
      Next.Domain = Domain;
      this->Targets.push_back(std::move(Next));
    }
}

World::~World() {
  this->Finished = true;
  for (const std::shared_ptr<SoakCaller> &Each : this->Callers)
    Each->stop();
  this->Nodes.clear();
  this->runFor(std::chrono::milliseconds(50));
  this->Io.stop();
}

Duration World::between(int LowMillis, int HighMillis) {
  return std::chrono::milliseconds(
      LowMillis +
      static_cast<int>(this->Random() %
                       static_cast<unsigned>(HighMillis - LowMillis)));
}

void World::note(const std::string &What) {
  if (this->Options.Verbose)
    std::cout
        << std::chrono::duration<double>(steadyNow() - this->StartedAt).count()
        << " " << What << "\n";
}

void World::violation(const std::string &What) {
  this->note("BROKEN: " + What);
  this->Seen.violation(What);
}

void World::announce(Place &Each, const char *State) {
  Each.Listed = true;
  this->Store.put("servers", Each.Target->id(),
                  {{"service", Each.Target->service()},
                   {"address", Each.Target->address()},
                   {"zone", Each.Domain},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", State},
                   {"warmupLeftMs", 0},
                   {"sequence", 1},
                   {"born", 1}});
}

void World::withdraw(Place &Each) {
  if (std::exchange(Each.Listed, false))
    this->Store.put("servers", Each.Target->id(), nullptr);
}

void World::changeConfig() {
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
    this->Configs.back().DroppedAt = Next.AcceptedAt;
  this->Configs.push_back(std::move(Next));
  this->note("config " + std::to_string(this->Configs.back().Version));
}

CallerRequest World::chooseRequest() {
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
    Result.MayRepeat = false;
    return Result;
  case 2: {
    // A route of the newest configuration or of the one before it.
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

bool World::inTouch(const Member &Each, TimePoint Since) const {
  return Each.Process->isRunning() && !Each.Process->StopSince &&
         !Each.Process->KilledAt && !Each.Process->PausedTill &&
         Each.Process->LastFaultAt + ContactTime < Since &&
         Each.StoreFaultTill + ContactTime < Since;
}

bool World::allInTouch(TimePoint Since) const {
  return std::all_of(
      this->Nodes.begin(), this->Nodes.end(),
      [&](const Member &Each) { return this->inTouch(Each, Since); });
}

void World::checkMerged(const Exchange &Ended) {
  const auto Services =
      servicesOf(fieldOf(Ended.Answer, "X-Balsamyard-Part-Stamps"), Ended.Id);
  if (!Services || Services->empty()) {
    this->violation("an answer names a receipt of another request or none: " +
                    Ended.Id);
    return;
  }
  const std::set<std::string> Distinct(Services->begin(), Services->end());
  if (Distinct.size() != Services->size())
    this->violation("an answer names two parts of one shard: " + Ended.Id);
  const std::string Missing =
      fieldOf(Ended.Answer, "X-Balsamyard-Missing-Parts");
  const std::size_t Shards =
      Services->size() + (Missing.empty() ? 0 : std::stoul(Missing));
  const bool FromOneVersion = std::any_of(
      this->Configs.begin(), this->Configs.end(), [&](const ConfigEntry &Each) {
        return Each.Shards.size() == Shards &&
               std::all_of(Distinct.begin(), Distinct.end(),
                           [&](const std::string &Service) {
                             return std::find(Each.Shards.begin(),
                                              Each.Shards.end(),
                                              Service) != Each.Shards.end();
                           });
      });
  if (!FromOneVersion)
    this->violation("an answer mixes versions or tells a wrong coverage: " +
                    Ended.Id);
  if (static_cast<double>(Services->size()) <
      MinCoverage * static_cast<double>(Shards))
    this->violation("an answer covers too little: " + Ended.Id);
  std::vector<std::string> Parts;
  for (const std::string &Service : *Services)
    Parts.push_back(partRecords(Ended.Id, Service));
  const std::vector<std::string_view> Views(Parts.begin(), Parts.end());
  if (Ended.Answer.Body != mergeRecords(Views, TopRecords))
    this->violation("an answer has other records than its parts: " + Ended.Id);
}

void World::checkAnswer(const Exchange &Ended) {
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
    this->violation("an answer is not the one of its target: " + Ended.Id);
  if (Status != 200 && Status != 500)
    this->violation("a receipt stands beside another status: " + Ended.Id);
}

void World::checkConfig(const Exchange &Ended) {
  if (!Ended.Request.Path.starts_with("/added-"))
    return;
  const auto Version = std::stoull(Ended.Request.Path.substr(7));
  const auto Found = std::find_if(
      this->Configs.begin(), this->Configs.end(),
      [&](const ConfigEntry &Each) { return Each.Version == Version; });
  const bool Refused = Ended.Answer.Status == 404;
  const bool Known = Ended.SentAt > Found->AcceptedAt + ConfigTime;
  if (Refused && Known && !Found->DroppedAt)
    this->violation("a route is unknown after its configuration had to be in "
                    "force: " +
                    Ended.Id);
  if (Ended.Answer.Status == 200 && Found->DroppedAt &&
      Ended.SentAt > *Found->DroppedAt + ConfigTime)
    this->violation("a dropped route is still served: " + Ended.Id);
}

void World::checkDuration(const Exchange &Ended) {
  const Duration Took = steadyNow() - Ended.SentAt;
  if (Took > RouteTimeout + AnswerSlack)
    this->violation("no final answer at the time-out of the route: " +
                    Ended.Id);
}

void World::onEnd(const Exchange &Ended) {
  if (this->Finished)
    return;
  const Member &Served = this->Nodes[Ended.Node];
  const NodeProcess &Process = *Served.Process;
  const bool Success = Ended.Answer.Status / 100 == 2;
  // An unknown route is a right answer while its configuration comes or goes.
  if (Success || Ended.Answer.Status == 404)
    ++this->SuccessesInARow;
  else if (!Ended.Abandoned)
    this->SuccessesInARow = 0;
  if (Ended.Answer.Status != 0)
    this->checkAnswer(Ended);
  if (!Ended.Abandoned && this->inTouch(Served, Ended.SentAt)) {
    this->checkConfig(Ended);
    this->checkDuration(Ended);
  }
  const bool OnlyStopped = Process.StopSince && !Process.KilledAt &&
                           !Process.PausedTill &&
                           Process.LastFaultAt + ContactTime < Ended.SentAt;
  if (Ended.Answer.Status == 0 && !Ended.Abandoned && OnlyStopped &&
      this->Seen.of(Ended.Id).Runs > 0)
    this->violation("a planned stop cut a request that had reached a target: " +
                    Ended.Id);
}

void World::checkNodeEnd(Member &Each) {
  NodeProcess &Process = *Each.Process;
  const std::optional<int> Status = Process.takeEnd();
  if (Status) {
    const bool Killed = Process.KilledAt && WIFSIGNALED(*Status);
    const bool Stopped =
        Process.StopSince && WIFEXITED(*Status) && WEXITSTATUS(*Status) == 0;
    if (!Killed && !Stopped)
      this->violation(Process.name() + " ended by itself, wait status " +
                      std::to_string(*Status));
    Each.StartAt = steadyNow() + this->between(50, 600);
    Process.LastFaultAt = steadyNow();
    return;
  }
  if (Process.StopSince && !Process.KilledAt && !Process.PausedTill &&
      Process.LastFaultAt < *Process.StopSince &&
      steadyNow() > *Process.StopSince + NodeProcess::GraceTime) {
    this->violation(Process.name() + " did not end in its grace time");
    Process.KilledAt = steadyNow();
    Process.signal(SIGKILL);
  }
}

void World::tickNode(Member &Each) {
  const TimePoint Now = steadyNow();
  NodeProcess &Process = *Each.Process;
  if (Process.PausedTill && Now >= *Process.PausedTill) {
    Process.PausedTill.reset();
    Process.LastFaultAt = Now;
    Process.signal(SIGCONT);
  }
  if (Each.StoreBroken && Now >= Each.StoreFaultTill) {
    Each.StoreBroken = false;
    Each.Store->setFault(LinkPasses{});
  }
  this->checkNodeEnd(Each);
  if (!Process.isRunning() && Now >= Each.StartAt) {
    Each.StartAt = TimePoint::max();
    Process.start();
    Process.LastFaultAt = Now;
    this->note(Process.name() + " starts");
  }
}

void World::tickTarget(Place &Each) {
  const TimePoint Now = steadyNow();
  SoakTarget &Target = *Each.Target;
  if (Each.LinkBroken && Now >= Each.LinkFaultTill) {
    Each.LinkBroken = false;
    if (Target.isRunning())
      Target.link().setFault(LinkPasses{});
  }
  if (Now >= Each.StateTill)
    Target.setState(TargetSound{});
  const bool LinkWasSound = Each.LinkFaultTill + ContactTime < Now;
  if (Target.LastRequestAt && LinkWasSound &&
      this->allInTouch(*Target.LastRequestAt)) {
    if (Target.LeavingSince &&
        *Target.LastRequestAt > *Target.LeavingSince + DrainTime)
      this->violation("a leaving target got a request: " + Target.id());
    if (Each.Domain == "y" && this->EvacuatedSince &&
        *Target.LastRequestAt > *this->EvacuatedSince + EvacuateTime)
      this->violation("an evacuated target got a request: " + Target.id());
  }
  if (Now < Each.ChangeAt)
    return;
  // A leaving target ends, a crashed one loses its entry, and then another one
  // starts in its place.
  Each.ChangeAt = TimePoint::max();
  if (Target.isRunning()) {
    Target.crash();
    Each.ChangeAt = Now + this->between(100, 1500);
    this->withdraw(Each);
  } else if (Each.Listed) {
    this->withdraw(Each);
    Each.ChangeAt = Now + this->between(0, 1000);
  } else {
    Target.start();
    this->announce(Each, "ready");
  }
}

void World::tick() {
  for (Member &Each : this->Nodes)
    this->tickNode(Each);
  for (Place &Each : this->Targets)
    this->tickTarget(Each);
}

void World::runFor(Duration Time) {
  const TimePoint End = steadyNow() + Time;
  while (steadyNow() < End) {
    this->Io.restart();
    this->Io.run_for(std::min<Duration>(TickInterval, End - steadyNow()));
    this->tick();
  }
}

bool World::allReady() {
  for (Member &Each : this->Nodes) {
    if (!Each.Process->isRunning())
      return false;
    asio::ip::tcp::socket Balancer(this->Io);
    asio::error_code Problem;
    Balancer.connect(Each.Process->readiness(), Problem);
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

void World::stopNode() {
  Member &Each = this->anyNode();
  if (!Each.Process->isRunning() || Each.Process->StopSince ||
      Each.Process->PausedTill)
    return;
  this->note("stop " + Each.Process->name());
  Each.Process->StopSince = steadyNow();
  Each.Process->signal(SIGTERM);
}

void World::killNode() {
  Member &Each = this->anyNode();
  if (!Each.Process->isRunning())
    return;
  this->note("kill " + Each.Process->name());
  Each.Process->KilledAt = steadyNow();
  Each.Process->signal(SIGKILL);
}

void World::killAllNodes() {
  this->note("kill all");
  for (Member &Each : this->Nodes)
    if (Each.Process->isRunning()) {
      Each.Process->KilledAt = steadyNow();
      Each.Process->signal(SIGKILL);
    }
}

void World::pauseNode() {
  Member &Each = this->anyNode();
  if (!Each.Process->isRunning() || Each.Process->PausedTill)
    return;
  this->note("pause " + Each.Process->name());
  Each.Process->PausedTill = steadyNow() + this->between(200, 2500);
  Each.Process->signal(SIGSTOP);
}

void World::reloadNode() {
  Member &Each = this->anyNode();
  this->note("reload " + Each.Process->name());
  Each.Process->changeSettings();
  // The file may also change without a signal.
  if (this->Random() % 2 == 0)
    Each.Process->signal(SIGHUP);
}

void World::breakStoreLink() {
  Member &Each = this->anyNode();
  const std::vector<LinkFault> Faults = {
      LinkSilent{}, LinkSilent{true, false}, LinkSilent{false, true},
      LinkRefuses{}, LinkDelays{std::chrono::milliseconds(250)}};
  const LinkFault &Fault = Faults[this->Random() % Faults.size()];
  this->note("store link of " + Each.Process->name() + ", fault " +
             std::to_string(Fault.index()));
  Each.StoreFaultTill = steadyNow() + this->between(300, 3000);
  if (std::holds_alternative<LinkRefuses>(Fault))
    Each.Store->resetAll();
  Each.StoreBroken = true;
  Each.Store->setFault(Fault);
}

void World::resetStoreLinks() {
  this->note("reset store links");
  for (Member &Each : this->Nodes) {
    Each.Store->resetAll();
    Each.StoreFaultTill = std::max(Each.StoreFaultTill, steadyNow());
  }
}

void World::crashTarget() {
  Place &Each = this->anyTarget();
  if (!Each.Target->isRunning())
    return;
  this->note("crash " + Each.Target->id());
  Each.Target->crash();
  Each.ChangeAt = steadyNow() + LapseTime;
}

void World::drainTarget() {
  Place &Each = this->anyTarget();
  if (!Each.Target->isRunning() || Each.Target->LeavingSince)
    return;
  this->note("drain " + Each.Target->id());
  this->announce(Each, "draining");
  Each.Target->LeavingSince = steadyNow();
  Each.ChangeAt = steadyNow() + DrainTime + this->between(200, 1500);
}

void World::disturbTarget() {
  Place &Each = this->anyTarget();
  const std::vector<TargetState> States = {TargetSlow{}, TargetHangs{},
                                           TargetFails{}, TargetFull{}};
  Each.Target->setState(States[this->Random() % States.size()]);
  Each.StateTill = steadyNow() + this->between(300, 2000);
  this->note("disturb " + Each.Target->id());
}

void World::breakTargetLink() {
  Place &Each = this->anyTarget();
  if (!Each.Target->isRunning())
    return;
  const std::vector<LinkFault> Faults = {
      LinkSilent{}, LinkSilent{true, false}, LinkSilent{false, true},
      LinkRefuses{}, LinkDelays{std::chrono::milliseconds(40)}};
  const LinkFault &Fault = Faults[this->Random() % Faults.size()];
  this->note("link of " + Each.Target->id() + ", fault " +
             std::to_string(Fault.index()));
  Each.LinkFaultTill = steadyNow() + this->between(200, 2500);
  const unsigned More = this->Random() % 3;
  if (More == 0)
    Each.Target->link().resetAll();
  if (More == 1)
    Each.Target->link().swallowOpen();
  Each.LinkBroken = true;
  Each.Target->link().setFault(Fault);
}

void World::toggleEvacuation() {
  if (this->EvacuatedSince) {
    this->note("evacuation ends");
    this->EvacuatedSince.reset();
    this->Store.put("evacuations", "y", nullptr);
    return;
  }
  this->note("evacuate");
  this->Store.put("evacuations", "y", json::object());
  this->EvacuatedSince = steadyNow();
}

void World::startFaults() {
  using Fault = void (World::*)();
  struct Weighted {
    Fault Do;
    int Weight;
  };
  constexpr Weighted Kinds[] = {
      {&World::stopNode, 5},        {&World::killNode, 2},
      {&World::killAllNodes, 1},    {&World::pauseNode, 3},
      {&World::reloadNode, 3},      {&World::breakStoreLink, 4},
      {&World::resetStoreLinks, 1}, {&World::crashTarget, 5},
      {&World::drainTarget, 5},     {&World::disturbTarget, 6},
      {&World::breakTargetLink, 6}, {&World::changeConfig, 5},
      {&World::toggleEvacuation, 2}};
  int Sum = 0;
  for (const Weighted &Each : Kinds)
    Sum += Each.Weight;
  int Point = static_cast<int>(this->Random() % static_cast<unsigned>(Sum));
  for (const Weighted &Each : Kinds) {
    Point -= Each.Weight;
    if (Point < 0) {
      (this->*Each.Do)();
      return;
    }
  }
}

void World::heal() {
  this->note("heal");
  if (this->EvacuatedSince)
    this->toggleEvacuation();
  for (Member &Each : this->Nodes) {
    if (Each.StoreBroken)
      Each.StoreFaultTill = steadyNow();
    if (Each.Process->PausedTill)
      Each.Process->PausedTill = steadyNow();
  }
  for (Place &Each : this->Targets) {
    if (Each.LinkBroken)
      Each.LinkFaultTill = steadyNow();
    Each.StateTill = {};
  }
}

bool World::recover() {
  const TimePoint End = steadyNow() + RecoveryTime;
  this->SuccessesInARow = 0;
  while (steadyNow() < End) {
    this->runFor(std::chrono::milliseconds(200));
    if (this->SuccessesInARow >= CalmRequests && this->allReady())
      return true;
  }
  return false;
}

std::vector<std::string> World::run() {
  this->changeConfig();
  for (Place &Each : this->Targets)
    this->announce(Each, "ready");
  for (Member &Each : this->Nodes)
    Each.StartAt = steadyNow();
  for (int Waits = 0; Waits < 200 && !this->allReady(); ++Waits)
    this->runFor(std::chrono::milliseconds(50));
  for (std::size_t At = 0; At < this->Options.Callers; ++At) {
    CallerHooks Hooks;
    Hooks.ChooseNode = [this] { return this->Random() % this->Nodes.size(); };
    Hooks.AddressOf = [this](std::size_t Node) {
      return this->Nodes[Node].Process->callers();
    };
    Hooks.Choose = [this] { return this->chooseRequest(); };
    Hooks.OnEnd = [this](const Exchange &Ended) { this->onEnd(Ended); };
    this->Callers.push_back(std::make_shared<SoakCaller>(
        this->Io, this->Seen, std::move(Hooks), "c" + std::to_string(At),
        this->Options.Seed * 1000 + static_cast<unsigned>(At)));
    this->Callers.back()->start();
  }
  const TimePoint End = steadyNow() + this->Options.FaultTime;
  while (steadyNow() < End) {
    this->startFaults();
    this->runFor(this->between(100, 1100));
  }
  this->heal();
  if (!this->recover())
    this->violation("requests do not succeed in the recovery time");
  return this->Seen.violations();
}

} // namespace balsamyard::soak
