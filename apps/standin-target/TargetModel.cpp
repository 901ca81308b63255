#include "TargetModel.h"

#include <xxhash.h>

namespace standin {

using namespace balsamyard;
using Json = nlohmann::json;

TargetModel::TargetModel(TargetSettings Settings, std::uint64_t Incarnation)
    : Settings(std::move(Settings)), Incarnation(Incarnation),
      ColdSince(steadyNow()) {}

Plan TargetModel::begin(const TargetRequest &Request, TimePoint Now,
                        WallTime Wall) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->InFlight;
  this->HighestInFlight = std::max(this->HighestInFlight, this->InFlight);
  Plan Result;
  Result.Delay = this->Settings.WorkTime;
  if (this->Leaving) {
    ++this->AfterLeaving;
    Result.Status = 410;
    return Result;
  }
  if (this->Cold) {
    this->HighestCold = std::max(this->HighestCold, this->InFlight);
    if (this->InFlight > this->Settings.ColdLimit) {
      // A cold target that is overloaded fails and starts to warm up again.
      ++this->ColdOverloads;
      this->AnsweredCold = 0;
      this->ColdSince = Now;
      Result.Status = 500;
      return Result;
    }
  }
  std::vector<FaultKind> Active;
  for (Fault &Entry : this->Faults)
    if (this->touches(Entry, Request, Now))
      Active.push_back(Entry.Kind);
  for (const FaultKind &Kind : Active)
    if (std::holds_alternative<ShedFault>(Kind)) {
      ++this->Shed;
      Result.Status = 503;
      return Result;
    }
  Result = Request.IsWrite ? this->write(Request, Wall, std::move(Result))
                           : this->search(Request, std::move(Result));
  if (Result.Status == 200)
    for (const FaultKind &Kind : Active)
      this->applyFault(Kind, Request, Result);
  return Result;
}

void TargetModel::finish(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->InFlight;
  if (this->Cold && ++this->AnsweredCold >= this->Settings.WarmRequests &&
      Now - this->ColdSince >= this->Settings.WarmTime)
    this->Cold = false;
}

void TargetModel::cancelled() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Cancelled;
}

bool TargetModel::connect() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Connections >= this->Settings.ConnectionLimit) {
    ++this->ConnectionsRefused;
    return false;
  }
  ++this->Connections;
  this->HighestConnections =
      std::max(this->HighestConnections, this->Connections);
  return true;
}

void TargetModel::disconnect() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Connections;
}

void TargetModel::apply(const FaultCommand &Command, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  struct Visitor {
    TargetModel &Model;
    TimePoint Now;
    void operator()(const Fault &Entry) const {
      this->Model.Faults.push_back(Entry);
    }
    void operator()(const CrashCommand &) const {}
    void operator()(const ExitCommand &) const {}
    void operator()(const TurnColdCommand &) const {
      this->Model.Cold = true;
      this->Model.AnsweredCold = 0;
      this->Model.ColdSince = this->Now;
    }
    void operator()(const LeaveCommand &) const { this->Model.Leaving = true; }
    void operator()(const ClearCommand &) const {
      this->Model.Faults.clear();
      this->Model.Lie.clear();
      this->Model.Leaving = false;
    }
    void operator()(const LieCommand &Lying) const {
      this->Model.Lie = Lying.State;
    }
    void operator()(const SnapshotCommand &Change) const {
      this->Model.Settings.Snapshots = Change.Snapshots;
      if (Change.Shards)
        this->Model.Settings.Shards = *Change.Shards;
    }
  };
  std::visit(Visitor{*this, Now}, Command);
}

void TargetModel::restart(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Incarnation;
  ++this->Crashes;
  this->Cold = true;
  this->AnsweredCold = 0;
  this->ColdSince = Now;
  this->Leaving = false;
}

Json TargetModel::health() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string State = this->Lie.empty() ? this->stateName() : this->Lie;
  return {{"state", State},
          {"load", this->InFlight},
          {"incarnation", this->Incarnation}};
}

Json TargetModel::stats() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return {{"target", toText(this->Settings.Slot)},
          {"version", this->Settings.Version.Text},
          {"incarnation", this->Incarnation},
          {"state", this->stateName()},
          {"searches", this->Searches},
          {"writes", this->Writes},
          {"shed", this->Shed},
          {"expired", this->Expired},
          {"cold_overloads", this->ColdOverloads},
          {"highest_cold_in_flight", this->HighestCold},
          {"after_leaving", this->AfterLeaving},
          {"cancelled", this->Cancelled},
          {"crashes", this->Crashes},
          {"in_flight", this->InFlight},
          {"highest_in_flight", this->HighestInFlight},
          {"connections", this->Connections},
          {"highest_connections", this->HighestConnections},
          {"connections_refused", this->ConnectionsRefused}};
}

Plan TargetModel::search(const TargetRequest &Request, Plan Result) {
  const Json &Body = Request.Body;
  if (Request.TimeLeft <= Duration::zero()) {
    ++this->Expired;
    Result.Status = 408;
    return Result;
  }
  const auto Snapshot = Body.at("snapshot").get<std::uint64_t>();
  const auto &Known = this->Settings.Snapshots;
  if (std::find(Known.begin(), Known.end(), Snapshot) == Known.end()) {
    Result.Status = 409;
    return Result;
  }
  ++this->Searches;
  Json Shards = Json::array();
  for (const Json &Wanted : Body.at("shards"))
    for (const ShardSetting &Shard : this->Settings.Shards)
      if (Shard.Id == Wanted.get<ShardId>())
        Shards.push_back(
            {{"shard", Shard.Id},
             {"weight", Shard.Weight},
             {"rows", this->rows(Shard, Snapshot, Body.at("body"))}});
  Result.Body = Json{
      {"query", Body.at("query")},
      {"leaf", Body.at("leaf")},
      {"slot", Body.at("slot")},
      {"attempt", Body.at("attempt")},
      {"snapshot", Snapshot},
      {"version", this->Settings.Version.Text},
      {"incarnation", this->Incarnation},
      {"state", this->stateName()},
      {"shards",
       Shards}}.dump();
  return Result;
}

Plan TargetModel::write(const TargetRequest &Request, WallTime Wall,
                        Plan Result) {
  if (Wall >= Request.Expiry) {
    ++this->Expired;
    Result.Status = 408;
    return Result;
  }
  const auto Id = Request.Body.at("request").get<std::string>();
  const std::uint64_t Count = ++this->Writes[Id];
  Result.Body = Json{{"request", Id},
                     {"version", this->Settings.Version.Text},
                     {"incarnation", this->Incarnation},
                     {"state", this->stateName()},
                     {"result", {{"stored", Count}}}}
                    .dump();
  return Result;
}

bool TargetModel::touches(Fault &Entry, const TargetRequest &Request,
                          TimePoint Now) {
  const FaultScope &Scope = Entry.Scope;
  if (Now < Scope.From || Now >= Scope.Until ||
      this->InFlight < Scope.MinInFlight ||
      (Scope.Route != "*" && Scope.Route != Request.Route))
    return false;
  if (const auto *Poison = std::get_if<PoisonFault>(&Entry.Kind))
    return Request.Text.find(Poison->Token) != std::string::npos;
  return ++this->Touched % Scope.Every == 0;
}

void TargetModel::applyFault(const FaultKind &Kind,
                             const TargetRequest &Request, Plan &Result) {
  struct Visitor {
    const TargetRequest &Request;
    Plan &Result;
    void operator()(const SlowFault &Slow) const {
      this->Result.Delay += Slow.Delay;
    }
    void operator()(const FrozenFault &) const {
      this->Result.End = Ending::Freeze;
    }
    void operator()(const ShedFault &) const {}
    void operator()(const ErrorFault &) const {
      this->Result.Status = 500;
      this->Result.Body.clear();
    }
    void operator()(const LostAnswerFault &) const {
      this->Result.End = Ending::CloseWithoutAnswer;
    }
    void operator()(const TruncatedFault &) const {
      this->Result.End = Ending::Truncate;
    }
    void operator()(const CrossedFault &) const {
      Json Answer = Json::parse(this->Result.Body);
      if (this->Request.IsWrite)
        Answer["request"] = Answer["request"].get<std::string>() + "-other";
      else
        Answer["query"] = Answer["query"].get<std::uint64_t>() + 1;
      this->Result.Body = Answer.dump();
    }
    void operator()(const GarbledFault &) const {
      for (std::size_t At = 0; At < this->Result.Body.size(); At += 7)
        this->Result.Body[At] = static_cast<char>(0x80 | (At & 0x7f));
    }
    void operator()(const OversizedFault &Size) const {
      this->Result.Body.append(Size.Bytes, ' ');
    }
    void operator()(const PoisonFault &) const {
      this->Result.End = Ending::Crash;
    }
  };
  std::visit(Visitor{Request, Result}, Kind);
}

Json TargetModel::rows(const ShardSetting &Shard, std::uint64_t Snapshot,
                       const Json &Body) const {
  const auto Limit =
      Body.is_object() ? Body.value("limit", std::uint64_t(2)) : 2;
  Json Result = Json::array();
  for (std::uint64_t Row = 0; Row < std::min(Limit, Shard.Weight); ++Row) {
    const std::uint64_t Numbers[] = {Shard.Id, Snapshot, Row};
    Result.push_back(
        {{"id", std::to_string(Shard.Id) + "-" + std::to_string(Row)},
         {"score", XXH3_64bits(Numbers, sizeof(Numbers)) % 1000},
         {"snapshot", Snapshot}});
  }
  return Result;
}

std::string TargetModel::stateName() const {
  if (this->Leaving)
    return "leaving";
  return this->Cold ? "cold" : "warm";
}

} // namespace standin
