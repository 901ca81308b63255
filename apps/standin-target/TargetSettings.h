#pragma once

#include "balsamyard/Core"

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

/// \brief A shard and the number of records that it holds.
struct ShardSetting {
  balsamyard::ShardId Id = 0;
  std::uint64_t Weight = 10;
};

/// \brief Settings of one simulated target.
struct TargetSettings {
  balsamyard::SlotKey Slot;
  balsamyard::VersionName Version;
  balsamyard::Endpoint Listen;
  std::vector<std::uint64_t> Snapshots = {1};
  std::vector<ShardSetting> Shards;
  std::uint32_t ConnectionLimit = 30;
  std::uint32_t ColdLimit = 4;
  std::chrono::milliseconds ConnectTime{0};
  std::chrono::microseconds WorkTime{500};
  std::chrono::milliseconds WarmTime{2000};
  std::uint32_t WarmRequests = 20;
};

/// \returns the targets listed as [[slot]] in a TOML file, or the first error.
balsamyard::Expected<std::vector<TargetSettings>>
readTargets(const std::string &Path);

/// \returns the slot from "SERVICE/LEAF/SLOT".
balsamyard::Expected<balsamyard::SlotKey> parseSlot(const std::string &Text);

/// \returns the address from "IP:PORT".
balsamyard::Expected<balsamyard::Endpoint> parseListen(const std::string &Text);

/// \returns shards from "ID" or "ID:WEIGHT", separated by commas.
balsamyard::Expected<std::vector<ShardSetting>>
parseShards(const std::string &Text);

} // namespace standin
