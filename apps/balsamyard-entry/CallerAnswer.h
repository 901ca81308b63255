#pragma once

#include "balsamyard/Core"
#include "balsamyard/Request"
#include "balsamyard/Version"

#include <optional>
#include <string>

namespace balsamyard::entry {

/// \brief Answer to a caller: a refusal, the answer to a search, or the result
/// of a write.
struct CallerAnswer {
  Code Result = Code::Ok;
  RequestId Request;
  Outcome Ran = Outcome::NotRun;
  std::string Detail;
  VersionName Version;
  std::optional<SnapshotId> Snapshot; ///< Set for searches.
  std::optional<Coverage> Covered;    ///< Set for searches.
  std::string Rows;                   ///< JSON array; set for searches.
  std::string WriteResult;            ///< JSON value; set for writes.
};

/// \returns a refusal. An empty \p Detail is replaced by the general
/// meaning of the code.
CallerAnswer refuse(Code Result, RequestId Request, Outcome Ran,
                    std::string Detail = {});

/// \returns the HTTP status of a result code.
int httpStatus(Code Result);

/// \returns "not_run", "unknown" or "ran".
std::string_view outcomeName(Outcome Ran);

/// \returns the JSON object of section 9.1 of the design.
std::string toJson(const CallerAnswer &Answer);

} // namespace balsamyard::entry
