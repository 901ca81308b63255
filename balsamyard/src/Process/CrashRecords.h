#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/CrashList.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Observations of one node about one request during which targets
/// crashed. Kept as an object in the store that only that node writes.
struct CrashRecord {
  Fingerprint Print{};
  NodeName Node;
  std::uint32_t Requests = 0; ///< Caller attempts that crashed targets.
  std::set<TargetId> Targets; ///< Targets that crashed.
};

nlohmann::json encodeCrashRecord(const CrashRecord &Record);
Expected<CrashRecord> decodeCrashRecord(const nlohmann::json &Content);

/// \returns the name of the stored object of a record.
std::string crashRecordName(const CrashRecord &Record);

/// \brief All records were read. They may be up to StaleTime old.
struct CrashRecordsListed {
  std::vector<CrashRecord> Records;
};

/// \brief Another node has told of its record.
struct CrashRecordHeard {
  CrashRecord Record;
};

/// \brief The call that writes a record of this node has ended.
struct CrashRecordWritten {
  CrashRecord Record; ///< As it was written.
  bool Accepted = false;
};

/// \brief Time has passed.
struct CrashTimePassed {
  std::uint32_t Rank = 0; ///< Index of this node in the sorted node names.
};

/// \brief The store was restored from a copy, which may lack records.
struct CrashStoreRestored {};

using CrashRecordEvent =
    std::variant<CrashRecordsListed, CrashRecordHeard, CrashRecordWritten,
                 CrashStoreRestored, RequestCrashedTargets,
                 SuspectedRequestSucceeded, CrashTimePassed>;

/// \brief Creates or replaces the stored object of the record.
struct WriteCrashRecord {
  CrashRecord Record;
};

/// \brief Tells the other nodes of the record, as reading it from the store
/// takes seconds.
struct TellCrashRecord {
  CrashRecord Record;
};

struct RemoveCrashRecord {
  std::string Name;
};

using CrashRecordEffect =
    std::variant<WriteCrashRecord, TellCrashRecord, RemoveCrashRecord>;

/// \brief Detects requests that crash the targets that run them, from the
/// records of all nodes.
///
/// Performs no I/O. Nodes tell each other of a record at once; the store keeps
/// it for nodes that start later or could not be reached. A record of this node
/// is written until the store has it. A request is refused after 3 targets
/// crashed during 2 attempts of callers, if none of its attempts has succeeded
/// since. Requiring a second attempt exempts a request that happened to run
/// while several targets were lost together.
class CrashRecords {
public:
  static constexpr std::size_t TargetsUntilRefused = 3;
  static constexpr std::uint32_t RequestsUntilRefused = 2;

  /// Covers the retries of callers, which send such a request again within
  /// seconds.
  static constexpr Duration SuspectTime = std::chrono::seconds(60);
  static constexpr Duration RefuseTime = std::chrono::minutes(10);

  /// Delay per rank before a node removes the expired records of another node,
  /// which may have gone permanently. It staggers the removals of the nodes.
  static constexpr Duration RankDelay = std::chrono::seconds(10);

  /// Maximum age of a list. A record that is missing from the list may have
  /// been written since.
  static constexpr Duration StaleTime = std::chrono::seconds(10);

  /// Time between two attempts to write a record.
  static constexpr Duration RewriteInterval = std::chrono::seconds(1);

  /// Limit on the crashed targets in a record. More of them change nothing.
  static constexpr std::size_t MaxTargets = 8;

  /// Limit on the records of this node. Losing many targets at once fails many
  /// requests, none of which is the cause.
  static constexpr std::size_t MaxOwnRecords = 128;

  /// \p Self is the name of this process in its records. A restarted process
  /// uses another one, since it does not know what the former one has counted.
  explicit CrashRecords(NodeName Self) : Self(std::move(Self)) {}

  std::vector<CrashRecordEffect> handle(const CrashRecordEvent &Event,
                                        TimePoint Now);

  /// \returns the suspected and refused requests.
  Ref<const CrashList> list() const;

  bool empty() const { return this->Records.empty(); }

  /// \returns whether a record of this node is not known to be in the store.
  bool hasUnstored() const;

private:
  using Effects = std::vector<CrashRecordEffect>;

  struct Entry {
    CrashRecord Record;
    TimePoint Since{};
    TimePoint ChangedAt{}; ///< When the crash or the record was last heard of.

    // Only used for records of this node.
    bool Writing = false;
    bool Stored = false; ///< The store has the record as it is.
    TimePoint WrittenAt{};
  };

  void on(const CrashRecordsListed &Event, TimePoint Now, Effects &Out);
  void on(const CrashRecordHeard &Event, TimePoint Now, Effects &Out);
  void on(const CrashRecordWritten &Event, TimePoint Now, Effects &Out);
  void on(const CrashStoreRestored &Event, TimePoint Now, Effects &Out);
  void on(const RequestCrashedTargets &Event, TimePoint Now, Effects &Out);
  void on(const SuspectedRequestSucceeded &Event, TimePoint Now, Effects &Out);
  void on(const CrashTimePassed &Event, TimePoint Now, Effects &Out);

  void add(const CrashRecord &Record, TimePoint Now);
  void dropMissing(const std::set<std::string> &Listed, TimePoint Now);
  void write(Entry &Item, TimePoint Now, Effects &Out) const;
  bool isOwn(const Entry &Item) const { return Item.Record.Node == this->Self; }
  std::map<Fingerprint, CrashStatus> statuses() const;

  const NodeName Self;
  std::map<std::string, Entry> Records; ///< By name of the stored object.
};

} // namespace balsamyard
