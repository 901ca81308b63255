#include "balsamyard/src/Process/FeedCodec.h"

#include "balsamyard/src/Core/Cbor.h"

#include <utility>

namespace balsamyard {

namespace {

using Json = nlohmann::json;

/// Fields of an encoded change: name, revision, and the encoded object, which a
/// removal leaves out.
constexpr std::size_t RemovalFields = 2;
constexpr std::size_t ObjectFields = 3;

std::optional<ObjectKind> kindNamed(const Json &Value) {
  if (Value.is_string())
    for (const ObjectKind Kind : RelayedKinds)
      if (Value.get_ref<const std::string &>() == name(Kind))
        return Kind;
  return std::nullopt;
}

/// \returns the member, or null if there is none.
const Json &member(const Json &Object, const char *Name) {
  static const Json Null;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? Null : *Found;
}

/// \returns the era of the store in a message; former releases send none.
std::uint64_t eraIn(const Json &Document) {
  const Json &Era = member(Document, "era");
  return Era.is_number_unsigned() ? Era.get<std::uint64_t>() : 0;
}

tl::unexpected<Error> malformed(const char *Reason) {
  return fail(Code::MalformedMessage, Reason);
}

Json encodeChange(const ObjectChange &Change, std::size_t &Bytes) {
  const auto Revision = Change.Object.Revision.Number;
  if (Change.Removed)
    return Json::array({Change.Object.Name, Revision});
  const std::string Encoded = encodeObject(Change.Object);
  Bytes += Encoded.size();
  return Json::array({Change.Object.Name, Revision,
                      Json::binary(std::vector<std::uint8_t>(Encoded.begin(),
                                                             Encoded.end()))});
}

std::optional<ObjectChange> decodeChange(const Json &Item, std::uint64_t Era) {
  if (!Item.is_array() ||
      (Item.size() != RemovalFields && Item.size() != ObjectFields) ||
      !Item[0].is_string() || !Item[1].is_number_unsigned())
    return std::nullopt;
  ObjectChange Result;
  Result.Object.Name = Item[0].get<std::string>();
  Result.Object.Revision = StoreRevision{Item[1].get<std::uint64_t>(), Era};
  Result.Removed = Item.size() == RemovalFields;
  if (Result.Removed)
    return Result;
  if (!Item[2].is_binary())
    return std::nullopt;
  const auto &Encoded = Item[2].get_binary();
  const std::string_view Bytes(reinterpret_cast<const char *>(Encoded.data()),
                               Encoded.size());
  if (!decodeObject(Bytes, Result.Object))
    return std::nullopt;
  return Result;
}

Expected<FeedMessage> decodeUpdate(const Json &Document) {
  const std::optional<ObjectKind> Kind = kindNamed(member(Document, "kind"));
  const Json &Complete = member(Document, "complete");
  const Json &AsOf = member(Document, "as_of");
  const Json &More = member(Document, "more");
  const Json &Changes = member(Document, "changes");
  if (!Kind || !Complete.is_boolean() || !AsOf.is_number_unsigned() ||
      !More.is_boolean() || !Changes.is_array())
    return malformed("a field of the update is missing or has the wrong type");
  KindUpdatePart Result;
  Result.Update.Kind = *Kind;
  Result.Update.Complete = Complete.get<bool>();
  Result.Update.AsOf =
      StoreRevision{AsOf.get<std::uint64_t>(), eraIn(Document)};
  Result.More = More.get<bool>();
  for (const Json &Item : Changes) {
    std::optional<ObjectChange> Change =
        decodeChange(Item, Result.Update.AsOf.Era);
    if (!Change)
      return malformed("a change of an object is malformed");
    Result.Update.Changes.push_back(std::move(*Change));
  }
  return Result;
}

Json targetList(const std::vector<TargetId> &Targets) {
  Json Result = Json::array();
  for (const TargetId &Target : Targets)
    Result.push_back(Target.Text);
  return Result;
}

bool readTargetList(const Json &List, std::vector<TargetId> &Targets) {
  if (!List.is_array())
    return false;
  for (const Json &Target : List) {
    if (!Target.is_string())
      return false;
    Targets.push_back(TargetId{Target.get<std::string>()});
  }
  return true;
}

Json crashList(const std::vector<CrashRecord> &Records) {
  Json Result = Json::array();
  for (const CrashRecord &Record : Records)
    Result.push_back(encodeCrashRecord(Record));
  return Result;
}

bool readCrashList(const Json &List, std::vector<CrashRecord> &Records) {
  if (!List.is_array())
    return false;
  for (const Json &Item : List) {
    Expected<CrashRecord> Read = decodeCrashRecord(Item);
    if (!Read)
      return false;
    Records.push_back(std::move(*Read));
  }
  return true;
}

Expected<TargetReport> readTargetReport(const Json &Document) {
  const Json &Forwarded = member(Document, "forwarded");
  // Former releases send neither unlimited targets nor crashes.
  const Json &Unlimited = member(Document, "unlimited");
  const Json &Crashes = member(Document, "crashes");
  TargetReport Result;
  if (!Forwarded.is_boolean() ||
      !readTargetList(member(Document, "slow"), Result.Slow) ||
      (!Unlimited.is_null() && !readTargetList(Unlimited, Result.Unlimited)) ||
      (!Crashes.is_null() && !readCrashList(Crashes, Result.Crashes)))
    return malformed("a field of the report is missing or has the wrong type");
  Result.Forwarded = Forwarded.get<bool>();
  return Result;
}

} // namespace

std::string encodeTargetReport(const TargetReport &Report) {
  return toCbor({{"slow", targetList(Report.Slow)},
                 {"unlimited", targetList(Report.Unlimited)},
                 {"crashes", crashList(Report.Crashes)},
                 {"forwarded", Report.Forwarded}});
}

Expected<TargetReport> decodeTargetReport(std::string_view Bytes) {
  const Json Document = parseCbor(Bytes).value_or(nullptr);
  if (!Document.is_object())
    return malformed("the report is not an object");
  return readTargetReport(Document);
}

std::string encodeStoreProgress(const StoreProgress &Progress) {
  Json Changed = Json::object();
  for (const auto &[Kind, Revision] : Progress.Changed)
    Changed[std::string(name(Kind))] = Revision.Number;
  return toCbor({{"read_up_to", Progress.ReadUpTo.Number},
                 {"era", Progress.ReadUpTo.Era},
                 {"changed", std::move(Changed)}});
}

Expected<StoreProgress> decodeStoreProgress(std::string_view Bytes) {
  const Json Document = parseCbor(Bytes).value_or(nullptr);
  if (!Document.is_object() ||
      !member(Document, "read_up_to").is_number_unsigned() ||
      !member(Document, "changed").is_object())
    return malformed(
        "a field of the progress is missing or has the wrong type");
  StoreProgress Result;
  const std::uint64_t Era = eraIn(Document);
  Result.ReadUpTo =
      StoreRevision{member(Document, "read_up_to").get<std::uint64_t>(), Era};
  for (const auto &[Key, Revision] : member(Document, "changed").items()) {
    const std::optional<ObjectKind> Kind = kindNamed(Key);
    if (!Revision.is_number_unsigned())
      return malformed("a revision in the progress is malformed");
    // Another release may know other kinds.
    if (Kind)
      Result.Changed[*Kind] = StoreRevision{Revision.get<std::uint64_t>(), Era};
  }
  return Result;
}

std::string encodeFeedRequest(const FeedRequest &Request) {
  Json Known = Json::object();
  Json Eras = Json::object();
  for (const auto &[Kind, Revision] : Request.Known) {
    Known[std::string(name(Kind))] = Revision.Number;
    Eras[std::string(name(Kind))] = Revision.Era;
  }
  return toCbor({{"node", Request.Node.Text},
                 {"known", std::move(Known)},
                 {"eras", std::move(Eras)}});
}

Expected<FeedRequest> decodeFeedRequest(std::string_view Bytes) {
  const Json Document = parseCbor(Bytes).value_or(nullptr);
  if (!Document.is_object() || !member(Document, "node").is_string() ||
      !member(Document, "known").is_object())
    return malformed("a field of the request is missing or has the wrong type");
  FeedRequest Result;
  Result.Node.Text = member(Document, "node").get<std::string>();
  const Json &Eras = member(Document, "eras");
  for (const auto &[Key, Revision] : member(Document, "known").items()) {
    const std::optional<ObjectKind> Kind = kindNamed(Key);
    if (!Kind || !Revision.is_number_unsigned())
      continue;
    const Json &Era = Eras.is_object() ? member(Eras, Key.c_str()) : Eras;
    Result.Known[*Kind] =
        StoreRevision{Revision.get<std::uint64_t>(),
                      Era.is_number_unsigned() ? Era.get<std::uint64_t>() : 0};
  }
  return Result;
}

std::string encodeFeedState(const FeedSourceState &State) {
  Json Document = {{"connected", State.Connected}};
  if (State.SinceStoreReturn)
    Document["unstable_us"] = State.SinceStoreReturn->count();
  return toCbor(Document);
}

std::vector<std::string> encodeKindUpdate(const KindUpdate &Update) {
  std::vector<std::string> Result;
  const auto Flush = [&](Json Changes, bool More) {
    Result.push_back(toCbor({{"kind", std::string(name(Update.Kind))},
                             {"complete", Update.Complete},
                             {"as_of", Update.AsOf.Number},
                             {"era", Update.AsOf.Era},
                             {"more", More},
                             {"changes", std::move(Changes)}}));
  };
  Json Changes = Json::array();
  std::size_t Bytes = 0;
  for (const ObjectChange &Change : Update.Changes) {
    Json Item = encodeChange(Change, Bytes);
    if (Bytes > MaxPartBytes && !Changes.empty()) {
      Flush(std::exchange(Changes, Json::array()), true);
      Bytes = 0;
    }
    Changes.push_back(std::move(Item));
  }
  Flush(std::move(Changes), false);
  return Result;
}

Expected<FeedMessage> decodeFeedMessage(std::string_view Bytes) {
  const Json Document = parseCbor(Bytes).value_or(nullptr);
  if (!Document.is_object())
    return malformed("the message is not an object");
  if (Document.contains("slow")) {
    Expected<TargetReport> Report = readTargetReport(Document);
    if (!Report)
      return tl::unexpected(Report.error());
    return std::move(*Report);
  }
  const Json &Connected = member(Document, "connected");
  if (!Connected.is_boolean())
    return decodeUpdate(Document);
  FeedSourceState Result;
  Result.Connected = Connected.get<bool>();
  if (const Json &Age = member(Document, "unstable_us");
      Age.is_number_unsigned())
    Result.SinceStoreReturn =
        Duration(static_cast<std::int64_t>(Age.get<std::uint64_t>()));
  return Result;
}

std::optional<KindUpdate> UpdateAssembler::add(KindUpdatePart Part) {
  KindUpdate &Joined = this->Pending[Part.Update.Kind];
  std::vector<ObjectChange> Former = std::move(Joined.Changes);
  Joined = std::move(Part.Update);
  Former.insert(Former.end(), std::make_move_iterator(Joined.Changes.begin()),
                std::make_move_iterator(Joined.Changes.end()));
  Joined.Changes = std::move(Former);
  if (Part.More)
    return std::nullopt;
  return std::move(this->Pending.extract(Joined.Kind).mapped());
}

} // namespace balsamyard
