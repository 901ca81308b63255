#pragma once

#include "balsamyard/Core"
#include "balsamyard/Request"
#include "balsamyard/Version"

#include <optional>
#include <string>

namespace balsamyard::entry {

/// \brief What a caller gets: a refusal, an answer to a search, or the result
/// of a write.
struct CallerAnswer {
  Code Result = Code::Ok;
  RequestId Request;
  Outcome Ran = Outcome::NotRun;
  std::string Detail;
  VersionName Version;
  std::optional<SnapshotId> Snapshot; ///< Of searches.
  std::optional<Coverage> Covered;    ///< Of searches.
  std::string Rows;                   ///< JSON array, of searches.
  std::string WriteResult;            ///< JSON value, of writes.
};

/// \returns a refusal. An empty \p Detail means the general meaning of the
/// code.
CallerAnswer refuse(Code Result, RequestId Request, Outcome Ran,
                    std::string Detail = {});

/// \returns the HTTP status of a result code.
int httpStatus(Code Result);

/// \returns "not_run", "unknown" or "ran".
std::string_view outcomeName(Outcome Ran);

/// \returns the JSON object of section 9.1 of the design.
std::string toJson(const CallerAnswer &Answer);

} // namespace balsamyard::entry
