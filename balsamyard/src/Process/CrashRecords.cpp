#include "balsamyard/src/Process/CrashRecords.h"

#include <algorithm>

namespace balsamyard {

namespace {

using Json = nlohmann::json;

} // namespace

Json encodeCrashRecord(const CrashRecord &Record) {
  Json Targets = Json::array();
  for (const TargetId &Target : Record.Targets)
    Targets.push_back(Target.Text);
  return {{"print", static_cast<std::uint64_t>(Record.Print)},
          {"node", Record.Node.Text},
          {"requests", Record.Requests},
          {"targets", std::move(Targets)}};
}

Expected<CrashRecord> decodeCrashRecord(const Json &Content) {
  const auto Malformed = [] {
    return fail(Code::PlatformMalformed,
                "crash record: a field is missing or has the wrong type");
  };
  if (!Content.is_object())
    return Malformed();
  const auto Field = [&Content](const char *Name) {
    const auto Found = Content.find(Name);
    return Found == Content.end() ? Json() : *Found;
  };
  if (!Field("print").is_number_unsigned() || !Field("node").is_string() ||
      !Field("requests").is_number_unsigned() || !Field("targets").is_array())
    return Malformed();
  CrashRecord Result;
  Result.Print = Fingerprint{Field("print").get<std::uint64_t>()};
  Result.Node.Text = Field("node").get<std::string>();
  Result.Requests = Field("requests").get<std::uint32_t>();
  for (const Json &Target : Field("targets")) {
    if (!Target.is_string())
      return Malformed();
    Result.Targets.insert(TargetId{Target.get<std::string>()});
  }
  return Result;
}

std::string crashRecordName(const CrashRecord &Record) {
  return std::to_string(static_cast<std::uint64_t>(Record.Print)) + "." +
         Record.Node.Text;
}

std::vector<CrashRecordEffect>
CrashRecords::handle(const CrashRecordEvent &Event, TimePoint Now) {
  Effects Out;
  std::visit([&](const auto &Body) { this->on(Body, Now, Out); }, Event);
  return Out;
}

std::map<Fingerprint, CrashStatus> CrashRecords::statuses() const {
  std::map<Fingerprint, CrashRecord> Sums;
  for (const auto &[Name, Item] : this->Records) {
    CrashRecord &Sum = Sums[Item.Record.Print];
    Sum.Requests += Item.Record.Requests;
    Sum.Targets.insert(Item.Record.Targets.begin(), Item.Record.Targets.end());
  }
  std::map<Fingerprint, CrashStatus> Result;
  for (const auto &[Print, Sum] : Sums)
    Result[Print] = Sum.Requests >= RequestsUntilRefused &&
                            Sum.Targets.size() >= TargetsUntilRefused
                        ? CrashStatus::Refused
                        : CrashStatus::Suspected;
  return Result;
}

Ref<const CrashList> CrashRecords::list() const {
  auto Result = makeRef<CrashList>();
  for (const auto &[Print, Status] : this->statuses())
    Result->Entries.emplace(Print, Status);
  return Result;
}

bool CrashRecords::hasUnstored() const {
  return std::any_of(this->Records.begin(), this->Records.end(),
                     [this](const auto &Item) {
                       return this->isOwn(Item.second) && !Item.second.Stored;
                     });
}

void CrashRecords::write(Entry &Item, TimePoint Now, Effects &Out) const {
  Item.Stored = false;
  // The end of the running call shows that the record has changed meanwhile.
  if (Item.Writing)
    return;
  Item.Writing = true;
  Item.WrittenAt = Now;
  Out.push_back(WriteCrashRecord{Item.Record});
}

void CrashRecords::add(const CrashRecord &Record, TimePoint Now) {
  const auto [It, Inserted] =
      this->Records.try_emplace(crashRecordName(Record));
  Entry &Item = It->second;
  if (Inserted)
    Item = {Record, Now, Now, false, false, {}};
  // A list may be older than what the node has told.
  else if (Record.Requests >= Item.Record.Requests)
    Item.Record = Record;
}

void CrashRecords::dropMissing(const std::set<std::string> &Listed,
                               TimePoint Now) {
  const std::map<Fingerprint, CrashStatus> Standings = this->statuses();
  for (auto It = this->Records.begin(); It != this->Records.end();) {
    Entry &Item = It->second;
    const bool Refused =
        Standings.at(Item.Record.Print) == CrashStatus::Refused &&
        Now - Item.Since < RefuseTime;
    const bool Keep =
        Listed.contains(It->first) || Now - Item.ChangedAt < StaleTime;
    if (!Keep && !Refused) {
      It = this->Records.erase(It);
      continue;
    }
    // No node removes the records of a refused request, so the store has lost
    // this one.
    if (!Keep)
      Item.Stored = false;
    ++It;
  }
}

void CrashRecords::on(const CrashRecordsListed &Event, TimePoint Now,
                      Effects &) {
  std::set<std::string> Listed;
  for (const CrashRecord &Record : Event.Records) {
    Listed.insert(crashRecordName(Record));
    if (Record.Node != this->Self)
      this->add(Record, Now);
  }
  this->dropMissing(Listed, Now);
}

void CrashRecords::on(const CrashRecordHeard &Event, TimePoint Now, Effects &) {
  if (Event.Record.Node == this->Self)
    return;
  this->add(Event.Record, Now);
  this->Records[crashRecordName(Event.Record)].ChangedAt = Now;
}

void CrashRecords::on(const CrashRecordWritten &Event, TimePoint Now,
                      Effects &Out) {
  const auto Found = this->Records.find(crashRecordName(Event.Record));
  if (Found == this->Records.end())
    return;
  Entry &Item = Found->second;
  Item.Writing = false;
  Item.Stored = Event.Accepted && Item.Record.Requests == Event.Record.Requests;
  if (Event.Accepted && !Item.Stored)
    this->write(Item, Now, Out);
}

void CrashRecords::on(const CrashStoreRestored &, TimePoint Now, Effects &Out) {
  for (auto &[Name, Item] : this->Records) {
    // The other nodes write their records again meanwhile.
    Item.ChangedAt = Now;
    if (this->isOwn(Item))
      this->write(Item, Now, Out);
  }
}

void CrashRecords::on(const RequestCrashedTargets &Event, TimePoint Now,
                      Effects &Out) {
  CrashRecord Initial;
  Initial.Print = Event.Print;
  Initial.Node = this->Self;
  const std::string Name = crashRecordName(Initial);
  if (!this->Records.contains(Name)) {
    const auto Count = std::count_if(
        this->Records.begin(), this->Records.end(),
        [this](const auto &Item) { return this->isOwn(Item.second); });
    if (static_cast<std::size_t>(Count) >= MaxOwnRecords)
      return;
    this->add(Initial, Now);
  }
  Entry &Item = this->Records[Name];
  Item.ChangedAt = Now;
  ++Item.Record.Requests;
  for (const TargetId &Target : Event.Targets)
    if (Item.Record.Targets.size() < MaxTargets)
      Item.Record.Targets.insert(Target);
  this->write(Item, Now, Out);
  Out.push_back(TellCrashRecord{Item.Record});
}

void CrashRecords::on(const SuspectedRequestSucceeded &Event, TimePoint,
                      Effects &Out) {
  std::erase_if(this->Records, [&](const auto &Item) {
    if (Item.second.Record.Print != Event.Print)
      return false;
    Out.push_back(RemoveCrashRecord{Item.first});
    return true;
  });
}

void CrashRecords::on(const CrashTimePassed &Event, TimePoint Now,
                      Effects &Out) {
  const std::map<Fingerprint, CrashStatus> Standings = this->statuses();
  std::erase_if(this->Records, [&](const auto &Item) {
    const CrashRecord &Record = Item.second.Record;
    Duration Lifetime = Standings.at(Record.Print) == CrashStatus::Refused
                            ? RefuseTime
                            : SuspectTime;
    if (Record.Node != this->Self)
      Lifetime += RankDelay * (Event.Rank + 1);
    if (Now - Item.second.Since < Lifetime)
      return false;
    Out.push_back(RemoveCrashRecord{Item.first});
    return true;
  });
  for (auto &[Name, Item] : this->Records)
    if (this->isOwn(Item) && !Item.Stored &&
        Now - Item.WrittenAt >= RewriteInterval)
      this->write(Item, Now, Out);
}

} // namespace balsamyard
