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

void CrashRecords::on(const CrashRecordsListed &Event, TimePoint Now,
                      Effects &) {
  std::set<std::string> Listed;
  for (const CrashRecord &Record : Event.Records) {
    const std::string Name = crashRecordName(Record);
    Listed.insert(Name);
    const auto [It, Inserted] = this->Records.try_emplace(Name);
    if (Inserted)
      It->second.Since = Now;
    if (Inserted || Record.Node != this->Self)
      It->second.Record = Record;
  }
  std::erase_if(this->Records, [&](const auto &Item) {
    return !Listed.contains(Item.first) &&
           (Item.second.Record.Node != this->Self ||
            Now - Item.second.WrittenAt >= StaleTime);
  });
}

void CrashRecords::on(const RequestCrashedTargets &Event, TimePoint Now,
                      Effects &Out) {
  CrashRecord Initial;
  Initial.Print = Event.Print;
  Initial.Node = this->Self;
  const std::string Name = crashRecordName(Initial);
  const auto Found = this->Records.find(Name);
  const bool Create = Found == this->Records.end();
  if (Create) {
    const auto Count = std::count_if(
        this->Records.begin(), this->Records.end(), [this](const auto &Item) {
          return Item.second.Record.Node == this->Self;
        });
    if (static_cast<std::size_t>(Count) >= MaxOwnRecords)
      return;
    this->Records[Name] = {Initial, Now, Now};
  }
  this->Records[Name].WrittenAt = Now;
  CrashRecord &Record = this->Records[Name].Record;
  ++Record.Requests;
  Record.Targets.insert(Event.Targets.begin(), Event.Targets.end());
  Out.push_back(WriteCrashRecord{Record, Create});
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
}

} // namespace balsamyard
