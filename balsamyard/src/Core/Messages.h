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

/// \brief Maximum size of a message between balsamyard processes, in bytes.
inline constexpr std::size_t MaxMessageBytes = 1 << 20;

/// \brief Whether a request ran. NotRun guarantees that no target has started
/// it or can still start it.
enum class Outcome : std::uint8_t { NotRun, Unknown, Ran };

/// \brief The request for one leaf of a query, addressed to one slot.
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

/// \brief The rows of one shard in a reply. Rows is a JSON array.
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

/// \brief Asks a peer for all documents newer than KnownVersion. Documents
/// named in Whole are sent in full, because a delta did not apply.
struct ConfigFetch {
  ConfigVersion KnownVersion{};
  std::vector<std::string> Whole{};
};

/// \brief Replaces the Removed lines from line First on by Added. Line numbers
/// start at 0 and refer to the text before any edit.
struct LineEdit {
  std::uint32_t First = 0;
  std::uint32_t Removed = 0;
  std::vector<std::string> Added;
};

/// \brief Change of one shared document. If From is 0, the edits contain the
/// whole text.
struct DocumentDelta {
  std::string Name;
  ConfigVersion From{};
  ConfigVersion To{};
  std::string Digest; ///< Of the whole text in version To.
  std::vector<LineEdit> Edits;
};

/// \brief All documents that changed up to configuration version To.
struct ConfigDelta {
  ConfigVersion To{};
  std::vector<DocumentDelta> Documents;
};

/// \brief A slot was observed in cold start.
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

/// \brief A version was rolled back on a route.
struct VersionRolledBack {
  ServiceName Service;
  RouteName Route;
  VersionName Version;
  ConfigVersion RuleVersion{};
  std::string Reason;
};

/// \brief An event that nodes tell each other immediately.
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
