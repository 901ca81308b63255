#include "TargetSettings.h"

#include <charconv>
#include <sstream>
#include <toml++/toml.h>

namespace standin {

using namespace balsamyard;

namespace {

template <typename T> bool parseNumber(std::string_view Text, T &Value) {
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value);
  return Failure == std::errc() && Stop == End;
}

Error badValue(const std::string &What, const std::string &Text) {
  return {Code::SettingsBadValue, What + ": " + Text};
}

template <typename T>
void readNumber(const toml::table &From, std::string_view Key, T &Value) {
  Value = static_cast<T>(From[Key].value_or(static_cast<std::int64_t>(Value)));
}

Expected<TargetSettings> readTarget(const toml::table &From) {
  TargetSettings Result;
  auto Slot = parseSlot(From["slot"].value_or(std::string()));
  if (!Slot)
    return tl::unexpected(Slot.error());
  Result.Slot = *Slot;
  auto Listen = parseListen(From["listen"].value_or(std::string()));
  if (!Listen)
    return tl::unexpected(Listen.error());
  Result.Listen = *Listen;
  auto Shards = parseShards(From["shards"].value_or(std::string()));
  if (!Shards)
    return tl::unexpected(Shards.error());
  Result.Shards = *Shards;
  Result.Version.Text = From["version"].value_or(std::string("v1"));
  if (const toml::array *Snapshots = From["snapshots"].as_array()) {
    Result.Snapshots.clear();
    for (const toml::node &Snapshot : *Snapshots)
      Result.Snapshots.push_back(
          static_cast<std::uint64_t>(Snapshot.value_or(std::int64_t(0))));
  }
  std::int64_t ConnectMs = 0;
  std::int64_t WorkUs = Result.WorkTime.count();
  std::int64_t WarmMs = Result.WarmTime.count();
  readNumber(From, "connection_limit", Result.ConnectionLimit);
  readNumber(From, "cold_limit", Result.ColdLimit);
  readNumber(From, "warm_requests", Result.WarmRequests);
  readNumber(From, "connect_ms", ConnectMs);
  readNumber(From, "work_us", WorkUs);
  readNumber(From, "warm_ms", WarmMs);
  Result.ConnectTime = std::chrono::milliseconds(ConnectMs);
  Result.WorkTime = std::chrono::microseconds(WorkUs);
  Result.WarmTime = std::chrono::milliseconds(WarmMs);
  return Result;
}

} // namespace

Expected<std::vector<TargetSettings>> readTargets(const std::string &Path) {
  toml::table File;
  try {
    File = toml::parse_file(Path);
  } catch (const toml::parse_error &Failure) {
    return fail(Code::SettingsSyntax, std::string(Failure.description()));
  }
  std::vector<TargetSettings> Result;
  const toml::array *Slots = File["slot"].as_array();
  if (!Slots)
    return fail(Code::SettingsMissingKey, "slot");
  for (const toml::node &Node : *Slots) {
    const toml::table *Slot = Node.as_table();
    if (!Slot)
      return fail(Code::SettingsBadValue, "slot is not a table");
    auto Target = readTarget(*Slot);
    if (!Target)
      return tl::unexpected(Target.error());
    Result.push_back(*std::move(Target));
  }
  return Result;
}

Expected<SlotKey> parseSlot(const std::string &Text) {
  const std::size_t Last = Text.rfind('/');
  const std::size_t First =
      Last == std::string::npos || Last == 0 ? Last : Text.rfind('/', Last - 1);
  SlotKey Result;
  if (First == std::string::npos || First == 0 || Last == 0 ||
      !parseNumber(std::string_view(Text).substr(First + 1, Last - First - 1),
                   Result.Leaf) ||
      !parseNumber(std::string_view(Text).substr(Last + 1), Result.Slot))
    return tl::unexpected(badValue("slot SERVICE/LEAF/SLOT expected", Text));
  Result.Service.Text = Text.substr(0, First);
  return Result;
}

Expected<Endpoint> parseListen(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  Endpoint Result;
  if (Colon == std::string::npos || Colon == 0 ||
      !parseNumber(std::string_view(Text).substr(Colon + 1), Result.Port))
    return tl::unexpected(badValue("address IP:PORT expected", Text));
  Result.Address = Text.substr(0, Colon);
  return Result;
}

Expected<std::vector<ShardSetting>> parseShards(const std::string &Text) {
  std::vector<ShardSetting> Result;
  std::istringstream Items(Text);
  for (std::string Item; std::getline(Items, Item, ',');) {
    ShardSetting Shard;
    const std::size_t Colon = Item.find(':');
    const std::string_view View = Item;
    if (!parseNumber(View.substr(0, Colon), Shard.Id) ||
        (Colon != std::string::npos &&
         !parseNumber(View.substr(Colon + 1), Shard.Weight)))
      return tl::unexpected(badValue("shards ID:WEIGHT,.. expected", Text));
    Result.push_back(Shard);
  }
  return Result;
}

} // namespace standin
