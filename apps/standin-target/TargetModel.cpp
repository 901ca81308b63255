#include "TargetModel.h"

#include <xxhash.h>

namespace standin {

using namespace balsamyard;
using Json = nlohmann::json;

TargetModel::TargetModel(TargetSettings Settings, std::uint64_t Incarnation)
    : Settings(std::move(Settings)), Incarnation(Incarnation),
      ColdSince(steadyNow()) {}

ResponsePlan TargetModel::begin(const TargetRequest &Request, TimePoint Now,
                                WallTime Wall) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->InFlight;
  this->HighestInFlight = std::max(this->HighestInFlight, this->InFlight);
  ResponsePlan Result;
  Result.Delay = this->Settings.WorkTime;
  if (this->Leaving) {
    ++this->RequestsAfterLeaving;
    Result.Status = 410;
    return Result;
  }
  if (this->Cold) {
    this->HighestCold = std::max(this->HighestCold, this->InFlight);
    if (this->InFlight > this->Settings.ColdLimit) {
      // An overloaded cold target fails the request and restarts its warm-up.
      ++this->ColdOverloads;
      this->AnswersWhileCold = 0;
      this->ColdSince = Now;
      Result.Status = 500;
      return Result;
    }
  }
  std::vector<FaultKind> Active;
  for (Fault &Entry : this->Faults)
    if (this->affects(Entry, Request, Now))
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
  if (this->Cold && ++this->AnswersWhileCold >= this->Settings.WarmRequests &&
      Now - this->ColdSince >= this->Settings.WarmTime)
    this->Cold = false;
}

void TargetModel::countCancelled() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Cancelled;
}

bool TargetModel::tryAddConnection() {
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

void TargetModel::removeConnection() {
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
      this->Model.AnswersWhileCold = 0;
      this->Model.ColdSince = this->Now;
    }
    void operator()(const LeaveCommand &) const { this->Model.Leaving = true; }
    void operator()(const ClearCommand &) const {
      this->Model.Faults.clear();
      this->Model.ReportedState.clear();
      this->Model.Leaving = false;
    }
    void operator()(const OverrideHealthCommand &Override) const {
      this->Model.ReportedState = Override.State;
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
  this->AnswersWhileCold = 0;
  this->ColdSince = Now;
  this->Leaving = false;
}

Json TargetModel::health() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string State =
      this->ReportedState.empty() ? this->stateName() : this->ReportedState;
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
          {"after_leaving", this->RequestsAfterLeaving},
          {"cancelled", this->Cancelled},
          {"crashes", this->Crashes},
          {"in_flight", this->InFlight},
          {"highest_in_flight", this->HighestInFlight},
          {"connections", this->Connections},
          {"highest_connections", this->HighestConnections},
          {"connections_refused", this->ConnectionsRefused}};
}

ResponsePlan TargetModel::search(const TargetRequest &Request,
                                 ResponsePlan Result) {
  const Json &Body = Request.Body;
  if (Request.RemainingTime <= Duration::zero()) {
    ++this->Expired;
    Result.Status = 408;
    return Result;
  }
  const auto Snapshot = Body.at("snapshot").get<std::uint64_t>();
  const auto &Available = this->Settings.Snapshots;
  if (std::find(Available.begin(), Available.end(), Snapshot) ==
      Available.end()) {
    Result.Status = 409;
    return Result;
  }
  ++this->Searches;
  Json Shards = Json::array();
  for (const Json &Requested : Body.at("shards"))
    for (const ShardSetting &Shard : this->Settings.Shards)
      if (Shard.Id == Requested.get<ShardId>())
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

ResponsePlan TargetModel::write(const TargetRequest &Request, WallTime Wall,
                                ResponsePlan Result) {
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

bool TargetModel::affects(Fault &Entry, const TargetRequest &Request,
                          TimePoint Now) {
  const FaultScope &Scope = Entry.Scope;
  if (Now < Scope.From || Now >= Scope.Until ||
      this->InFlight < Scope.MinInFlight ||
      (Scope.Route != "*" && Scope.Route != Request.Route))
    return false;
  if (const auto *Poison = std::get_if<PoisonFault>(&Entry.Kind))
    return Request.Text.find(Poison->Token) != std::string::npos;
  return ++this->MatchedRequests % Scope.Every == 0;
}

void TargetModel::applyFault(const FaultKind &Kind,
                             const TargetRequest &Request,
                             ResponsePlan &Result) {
  struct Visitor {
    const TargetRequest &Request;
    ResponsePlan &Result;
    void operator()(const SlowFault &Slow) const {
      this->Result.Delay += Slow.Delay;
    }
    void operator()(const FrozenFault &) const {
      this->Result.Mode = DeliveryMode::Freeze;
    }
    void operator()(const ShedFault &) const {}
    void operator()(const ErrorFault &) const {
      this->Result.Status = 500;
      this->Result.Body.clear();
    }
    void operator()(const LostAnswerFault &) const {
      this->Result.Mode = DeliveryMode::CloseWithoutAnswer;
    }
    void operator()(const TruncatedFault &) const {
      this->Result.Mode = DeliveryMode::Truncate;
    }
    void operator()(const MismatchedIdFault &) const {
      Json Answer = Json::parse(this->Result.Body);
      if (this->Request.IsWrite)
        Answer["request"] = Answer["request"].get<std::string>() + "-other";
      else
        Answer["query"] = Answer["query"].get<std::uint64_t>() + 1;
      this->Result.Body = Answer.dump();
    }
    void operator()(const GarbledFault &) const {
      for (std::size_t Position = 0; Position < this->Result.Body.size();
           Position += 7)
        this->Result.Body[Position] =
            static_cast<char>(0x80 | (Position & 0x7f));
    }
    void operator()(const OversizedFault &Size) const {
      this->Result.Body.append(Size.Bytes, ' ');
    }
    void operator()(const PoisonFault &) const {
      this->Result.Mode = DeliveryMode::Crash;
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
