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

/// \brief What one node has seen of one request during which targets crashed;
/// an object of the store, which only that node writes.
struct CrashRecord {
  Fingerprint Print{};
  NodeName Node;
  std::uint32_t Requests = 0; ///< Attempts of callers that failed so.
  std::set<TargetId> Targets; ///< That crashed.
};

nlohmann::json encodeCrashRecord(const CrashRecord &Record);
Expected<CrashRecord> decodeCrashRecord(const nlohmann::json &Content);

/// \returns the name of the object of a record.
std::string crashRecordName(const CrashRecord &Record);

/// \brief All records were read, as they were up to StaleTime ago.
struct CrashRecordsListed {
  std::vector<CrashRecord> Records;
};

/// \brief Time has passed. Rank: of this node among all.
struct CrashTimePassed {
  std::uint32_t Rank = 0;
};

using CrashRecordEvent = std::variant<CrashRecordsListed, RequestCrashed,
                                      RequestCameThrough, CrashTimePassed>;

/// \brief Create or replace the object of the record.
struct WriteCrashRecord {
  CrashRecord Record;
  bool Create = false;
};

struct RemoveCrashRecord {
  std::string Name;
};

using CrashRecordEffect = std::variant<WriteCrashRecord, RemoveCrashRecord>;

/// \brief Finds requests that crash the targets which run them, from what all
/// nodes have seen.
///
/// Pure. A request is refused after crashes of 3 targets in 2 attempts of
/// callers, if none of its attempts succeeded since. The second attempt tells
/// it from a request that only ran while several targets were lost together.
class CrashRecords {
public:
  static constexpr std::size_t TargetsUntilRefused = 3;
  static constexpr std::uint32_t RequestsUntilRefused = 2;

  /// A caller that sends such a request again does so within seconds.
  static constexpr Duration SuspectTime = std::chrono::seconds(60);
  static constexpr Duration RefuseTime = std::chrono::minutes(10);

  /// Records of a node that is gone for good are removed by the others, one
  /// after the other.
  static constexpr Duration RankDelay = std::chrono::seconds(10);

  /// A list may be this old: an own record that it lacks may be newer.
  static constexpr Duration StaleTime = std::chrono::seconds(10);

  /// Own records. A loss of many targets breaks many requests, of which none is
  /// to blame.
  static constexpr std::size_t MaxOwnRecords = 128;

  explicit CrashRecords(NodeName Self) : Self(std::move(Self)) {}

  std::vector<CrashRecordEffect> handle(const CrashRecordEvent &Event,
                                        TimePoint Now);

  /// \returns what requests have to know.
  Ref<const CrashList> list() const;

  bool empty() const { return this->Records.empty(); }

private:
  using Effects = std::vector<CrashRecordEffect>;

  struct Entry {
    CrashRecord Record;
    TimePoint Since{};
    TimePoint WrittenAt{}; ///< Of an own record.
  };

  void on(const CrashRecordsListed &Event, TimePoint Now, Effects &Out);
  void on(const RequestCrashed &Event, TimePoint Now, Effects &Out);
  void on(const RequestCameThrough &Event, TimePoint Now, Effects &Out);
  void on(const CrashTimePassed &Event, TimePoint Now, Effects &Out);

  std::map<Fingerprint, CrashStanding> standings() const;

  const NodeName Self;
  std::map<std::string, Entry> Records; ///< By name of their objects.
};

} // namespace balsamyard
