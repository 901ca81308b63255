#pragma once

#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Longest message between own processes, in bytes.
inline constexpr std::size_t MaxMessageBytes = 1 << 20;

/// \brief Whether a request ran. "NotRun" is only said if no target has started
/// it or still can.
enum class Outcome : std::uint8_t { NotRun, Unknown, Ran };

/// \brief One leaf of a query, addressed to one slot.
struct LeafItem {
  LeafIndex Leaf = 0;
  SlotIndex Slot = 0;
  AttemptNumber Attempt = 0;
  std::vector<ShardId> Shards;
};

/// \brief All leaf requests of one query that go to one holder.
struct LeafBatch {
  QueryId Query{};
  RequestId Request;
  ServiceName Service;
  RouteName Route;
  VersionName Version;
  SnapshotId Snapshot{};
  Duration TimeLeft{};
  Fingerprint Print{};
  std::string Body;
  std::vector<LeafItem> Items;
};

/// \brief What one shard contributes to an answer. Rows is a JSON array.
struct ShardPart {
  ShardId Shard = 0;
  std::uint64_t Weight = 1;
  std::string Rows;
};

/// \brief Answer to one LeafItem.
struct LeafReply {
  QueryId Query{};
  LeafIndex Leaf = 0;
  SlotIndex Slot = 0;
  AttemptNumber Attempt = 0;
  Code Result = Code::Ok;
  SnapshotId Snapshot{};
  VersionName Version;
  Duration TargetTime{};
  std::vector<ShardPart> Parts;
};

/// \brief A record write, sent to a write gate or to the owner of a lane.
struct WriteCommand {
  RequestId Request;
  ServiceName Service;
  RouteName Route;
  VersionName Version;
  LeafIndex Leaf = 0;
  SlotIndex Slot = 0;
  bool Repeatable = false;
  Duration TimeLeft{};
  WallTime Expiry{};
  Fingerprint Print{};
  std::string Body;
};

/// \brief Answer to a WriteCommand.
struct WriteReply {
  RequestId Request;
  Code Result = Code::Ok;
  Outcome Ran = Outcome::Unknown;
  VersionName Version;
  std::string Body;
};

/// \brief Asks a peer for all documents newer than Have. Those named in Whole
/// are sent as whole texts, because a delta did not fit.
struct ConfigFetch {
  ConfigVersion Have{};
  std::vector<std::string> Whole{};
};

/// \brief Replaces Removed lines from line First (from 0) on by Added. Lines
/// are numbered as in the text before any edit.
struct LineEdit {
  std::uint32_t First = 0;
  std::uint32_t Removed = 0;
  std::vector<std::string> Added;
};

/// \brief Change of one shared document. From 0 means the whole text.
struct DocumentDelta {
  std::string Name;
  ConfigVersion From{};
  ConfigVersion To{};
  std::string Digest; ///< Of the whole text at To.
  std::vector<LineEdit> Edits;
};

/// \brief Every document that changed up to configuration version To.
struct ConfigDelta {
  ConfigVersion To{};
  std::vector<DocumentDelta> Documents;
};

/// \brief A slot was seen in cold start.
struct SlotCold {
  SlotKey Slot;
};

/// \brief A slot is leaving and takes no new work.
struct SlotLeaving {
  SlotKey Slot;
};

/// \brief A request crashed several targets.
struct RequestQuarantined {
  Fingerprint Print{};
  Duration Remaining{};
};

/// \brief A version was taken back on a route.
struct VersionRolledBack {
  ServiceName Service;
  RouteName Route;
  VersionName Version;
  ConfigVersion RuleVersion{};
  std::string Reason;
};

/// \brief News that travels between nodes at once.
struct Notice {
  NodeName From;
  std::variant<SlotCold, SlotLeaving, RequestQuarantined, VersionRolledBack>
      Body;
};

/// \brief Cumulative counts of one version on one route at one holder.
struct Evidence {
  NodeName From;
  std::uint64_t Incarnation = 0;
  ServiceName Service;
  RouteName Route;
  VersionName Version;
  std::uint64_t Requests = 0;
  std::uint64_t Errors = 0;
  std::uint64_t Slow = 0;
};

} // namespace balsamyard
