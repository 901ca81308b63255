#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/ObjectCache.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Kinds of objects that nodes pass on to each other.
inline constexpr std::array RelayedKinds = {
    ObjectKind::Configuration, ObjectKind::Targets, ObjectKind::Evacuations,
    ObjectKind::Moves,         ObjectKind::Nodes,   ObjectKind::Crashes};

/// \brief Asks a node for the objects that it reads from the store, and for all
/// later changes.
struct FeedRequest {
  NodeName Node;                             ///< The node that asks.
  std::map<ObjectKind, StoreRevision> Known; ///< What it knows already.
};

/// \brief Whether a node reads the store at present. Sent on each change, and
/// regularly as a sign of life.
struct FeedSourceState {
  bool Connected = false;

  /// Time since the node found the store back after an outage.
  std::optional<Duration> SinceStoreReturn;

  bool operator==(const FeedSourceState &) const = default;
};

/// \brief A part of a KindUpdate. The update is complete with the part whose
/// More is false.
struct KindUpdatePart {
  KindUpdate Update;
  bool More = false;
};

/// \brief What nodes found out about targets and about requests that crash
/// them. \sa TargetReports
struct TargetReport {
  std::vector<TargetId> Slow;

  /// Targets that have ceased to name a request limit.
  std::vector<TargetId> Unlimited;

  /// The sender has it from another reader, which has passed it on to all
  /// readers of the failure domain.
  bool Forwarded = false;

  std::vector<CrashRecord> Crashes{};

  bool empty() const {
    return this->Slow.empty() && this->Unlimited.empty() &&
           this->Crashes.empty();
  }
};

/// \brief How far a node has read the store. Readers tell each other, so that
/// one of them checks the store for all. \sa StoreReader
struct StoreProgress {
  /// The node has read all changes up to this revision, which was that of the
  /// store when the message was sent.
  StoreRevision ReadUpTo{};

  /// No later change of the kind is known.
  std::map<ObjectKind, StoreRevision> Changed;

  bool operator==(const StoreProgress &) const = default;
};

using FeedMessage = std::variant<FeedSourceState, KindUpdatePart, TargetReport>;

/// \brief Maximum number of bytes of objects in one part. One object may take
/// more.
inline constexpr std::size_t MaxPartBytes = 128UL * 1024;

std::string encodeFeedRequest(const FeedRequest &Request);
Expected<FeedRequest> decodeFeedRequest(std::string_view Bytes);

std::string encodeFeedState(const FeedSourceState &State);

std::string encodeTargetReport(const TargetReport &Report);
Expected<TargetReport> decodeTargetReport(std::string_view Bytes);

std::string encodeStoreProgress(const StoreProgress &Progress);
Expected<StoreProgress> decodeStoreProgress(std::string_view Bytes);

/// \returns the messages that carry \p Update, in order.
std::vector<std::string> encodeKindUpdate(const KindUpdate &Update);

/// \returns an error for a message that this release cannot read; another
/// release may have sent it.
Expected<FeedMessage> decodeFeedMessage(std::string_view Bytes);

/// \brief Joins the parts of updates of one connection.
class UpdateAssembler {
public:
  /// \returns the update, once it is complete.
  std::optional<KindUpdate> add(KindUpdatePart Part);

private:
  std::map<ObjectKind, KindUpdate> Pending;
};

} // namespace balsamyard
