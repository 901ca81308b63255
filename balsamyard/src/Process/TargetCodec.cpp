#include "balsamyard/src/Process/TargetCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace balsamyard {

namespace {

using Json = nlohmann::json;

/// Maximum nesting depth of an answer. Deeper input is rejected, because JSON
/// values are destroyed recursively.
constexpr int MaxDepth = 64;

std::optional<Json> parse(const std::string &Text) {
  bool TooDeep = false;
  Json Value = Json::parse(
      Text,
      [&](int Depth, Json::parse_event_t, Json &) {
        TooDeep |= Depth > MaxDepth;
        return !TooDeep;
      },
      false);
  if (TooDeep || !Value.is_object())
    return std::nullopt;
  return Value;
}

std::optional<std::uint64_t> numberAt(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

std::optional<std::string> textAt(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

bool readStatus(const Json &Object, TargetStatus &ReportedStatus) {
  const auto State = textAt(Object, "state");
  const auto Incarnation = numberAt(Object, "incarnation");
  if (!State || !Incarnation || *Incarnation == 0)
    return false;
  ReportedStatus.Incarnation = *Incarnation;
  if (*State == "warm")
    ReportedStatus.State = TargetState::Warm;
  else if (*State == "cold")
    ReportedStatus.State = TargetState::Cold;
  else if (*State == "leaving")
    ReportedStatus.State = TargetState::Leaving;
  else
    return false;
  return true;
}

/// \returns the code of an HTTP status by which a target refuses a request
/// before running it, or Ok for any other status.
Code refusalCode(int Status) {
  switch (Status) {
  case 408:
    return Code::DeadlineExceeded;
  case 409:
    return Code::SnapshotAbsent;
  case 410:
    return Code::TargetLeaving;
  case 503:
    return Code::TargetShed;
  default:
    return Code::Ok;
  }
}

bool readParts(const Json &Answer, const LeafItem &Item,
               std::vector<ShardPart> &Parts) {
  auto Shards = Answer.find("shards");
  if (Shards == Answer.end() || !Shards->is_array())
    return false;
  std::set<ShardId> Wanted(Item.Shards.begin(), Item.Shards.end());
  for (const Json &Shard : *Shards) {
    if (!Shard.is_object())
      return false;
    const auto Id = numberAt(Shard, "shard");
    const auto Weight = numberAt(Shard, "weight");
    auto Rows = Shard.find("rows");
    if (!Id || *Id > std::numeric_limits<ShardId>::max() || !Weight ||
        Rows == Shard.end() || !Rows->is_array() ||
        Wanted.erase(static_cast<ShardId>(*Id)) == 0)
      return false;
    Parts.push_back(
        {static_cast<ShardId>(*Id), *Weight,
         Rows->dump(-1, ' ', false, Json::error_handler_t::strict)});
  }
  return true;
}

bool readSearch(const LeafBatch &Batch, const LeafItem &Item, const Json &Body,
                SearchAnswer &Answer) {
  const bool SameRequest =
      numberAt(Body, "query") == static_cast<std::uint64_t>(Batch.Query) &&
      numberAt(Body, "leaf") == Item.Leaf &&
      numberAt(Body, "slot") == Item.Slot &&
      numberAt(Body, "attempt") == Item.Attempt &&
      numberAt(Body, "snapshot") == static_cast<std::uint64_t>(Batch.Snapshot);
  const auto Version = textAt(Body, "version");
  if (!SameRequest || !Version || Version->empty() ||
      (!Batch.Version.empty() && *Version != Batch.Version.Text) ||
      !readStatus(Body, Answer.ReportedStatus) ||
      !readParts(Body, Item, Answer.Reply.Parts))
    return false;
  Answer.Reply.Version.Text = *Version;
  return true;
}

bool readWrite(const WriteCommand &Command, const Json &Body,
               WriteAnswer &Answer) {
  const auto Version = textAt(Body, "version");
  auto Result = Body.find("result");
  if (textAt(Body, "request") != Command.Request.Text || !Version ||
      Version->empty() || Result == Body.end() || !Result->is_object() ||
      !readStatus(Body, Answer.ReportedStatus))
    return false;
  Answer.Reply.Version.Text = *Version;
  Answer.Reply.Body = Result->dump();
  return true;
}

} // namespace

TargetMessage encodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                           Duration Left) {
  // The entry process has validated the body, so it is inserted verbatim
  // instead of being parsed again.
  Json Head = {{"query", static_cast<std::uint64_t>(Batch.Query)},
               {"leaf", Item.Leaf},
               {"slot", Item.Slot},
               {"attempt", Item.Attempt},
               {"route", Batch.Route.Text},
               {"snapshot", static_cast<std::uint64_t>(Batch.Snapshot)},
               {"shards", Item.Shards}};
  std::string Text = Head.dump(-1, ' ', false, Json::error_handler_t::replace);
  Text.pop_back();
  Text += ",\"body\":" + (Batch.Body.empty() ? "{}" : Batch.Body) + "}";
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Left).count();
  return {"/search",
          {{"Deadline-Ms",
            std::to_string(std::max<std::int64_t>(Milliseconds, 0))}},
          std::move(Text)};
}

SearchAnswer decodeSearch(const LeafBatch &Batch, const LeafItem &Item,
                          const TargetExchange &Exchange) {
  SearchAnswer Answer;
  LeafReply &Reply = Answer.Reply;
  Reply.Query = Batch.Query;
  Reply.Leaf = Item.Leaf;
  Reply.Slot = Item.Slot;
  Reply.Attempt = Item.Attempt;
  Reply.Snapshot = Batch.Snapshot;
  Reply.TargetTime = Exchange.Time;
  Reply.Result = Exchange.Result;
  if (Exchange.Result != Code::Ok)
    return Answer;
  if (Exchange.Status != 200) {
    const Code Refusal = refusalCode(Exchange.Status);
    Reply.Result = Refusal == Code::Ok ? Code::TargetFailed : Refusal;
    return Answer;
  }
  const std::optional<Json> Body = parse(Exchange.Body);
  if (!Body || !readSearch(Batch, Item, *Body, Answer)) {
    Answer.ReportedStatus = {};
    Reply.Parts.clear();
    Reply.Result = Code::TargetMalformed;
  }
  return Answer;
}

TargetMessage encodeWrite(const WriteCommand &Command) {
  Json Head = {{"request", Command.Request.Text},
               {"route", Command.Route.Text}};
  const Json Body = Json::parse(Command.Body, nullptr, false);
  Head["record"] = Body.is_object() && Body.contains("record")
                       ? Body["record"]
                       : Json(std::string());
  std::string Text = Head.dump(-1, ' ', false, Json::error_handler_t::replace);
  Text.pop_back();
  Text += ",\"body\":" + (Body.is_discarded() ? "{}" : Command.Body) + "}";
  return {"/write",
          {{"Expiry-Ms",
            std::to_string(Command.Expiry.time_since_epoch().count())}},
          std::move(Text)};
}

WriteAnswer decodeWrite(const WriteCommand &Command,
                        const TargetExchange &Exchange) {
  WriteAnswer Answer;
  WriteReply &Reply = Answer.Reply;
  Reply.Request = Command.Request;
  Reply.Result = Exchange.Result;
  Reply.Ran = Exchange.Sent ? Outcome::Unknown : Outcome::NotRun;
  if (Exchange.Result != Code::Ok)
    return Answer;
  if (Exchange.Status != 200) {
    const Code Refusal = refusalCode(Exchange.Status);
    // 409 (snapshot absent) is not a valid answer to a write.
    const bool Refused = Refusal != Code::Ok && Exchange.Status != 409;
    Reply.Result = Refused ? Refusal : Code::TargetFailed;
    if (Refused)
      Reply.Ran = Outcome::NotRun;
    return Answer;
  }
  const std::optional<Json> Body = parse(Exchange.Body);
  if (!Body || !readWrite(Command, *Body, Answer)) {
    Answer.ReportedStatus = {};
    Reply.Version = {};
    Reply.Result = Code::TargetMalformed;
    return Answer;
  }
  Reply.Ran = Outcome::Ran;
  return Answer;
}

Expected<TargetStatus> decodeHealth(const TargetExchange &Exchange) {
  if (Exchange.Result != Code::Ok)
    return fail(Exchange.Result, "no health page");
  const std::optional<Json> Body = parse(Exchange.Body);
  TargetStatus ReportedStatus;
  if (Exchange.Status != 200 || !Body || !readStatus(*Body, ReportedStatus))
    return fail(Code::TargetMalformed, "invalid health page");
  return ReportedStatus;
}

} // namespace balsamyard
