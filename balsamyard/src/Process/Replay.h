#pragma once

#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief A search or write of a recorded trace.
struct ReplayRequest {
  bool IsWrite = false;
  ServiceName Service;
  RouteName Route;
  RequestId Id;
  std::chrono::milliseconds Deadline{};
  std::optional<bool> Repeatable;
  std::optional<double> Coverage;
  std::string Body; ///< JSON.
};

/// \brief Switches a fault on or off: a POST to a stand-in.
struct ReplayFault {
  Endpoint To;
  std::string Path;
  std::string Body; ///< JSON.
};

/// \brief Puts a rules text in force.
struct ReplayRules {
  std::string Text;
};

/// \brief One line of a recorded trace.
struct ReplayEvent {
  Duration At{}; ///< After the start.
  std::uint32_t Line = 0;
  std::variant<ReplayRequest, ReplayFault, ReplayRules> Body;
};

/// \brief A fault in a trace or in a file of expectations. Line counts from 1;
/// 0 is unknown.
struct ReplayFileFault {
  std::uint32_t Line = 0;
  std::string Detail;
};

/// \returns the events of a trace in order of time, or every fault found.
tl::expected<std::vector<ReplayEvent>, std::vector<ReplayFileFault>>
parseTrace(std::istream &Lines);

/// \brief Bounds of one figure.
struct ReplayBound {
  std::string Figure;
  std::optional<double> Minimum;
  std::optional<double> Maximum;
};

/// \brief Reads `{"FIGURE": {"min": NUMBER, "max": NUMBER}, ..}`.
/// \returns the bounds, or every fault found.
tl::expected<std::vector<ReplayBound>, std::vector<ReplayFileFault>>
parseExpectations(std::string_view Json);

/// \brief How a request ended for its caller. Lost: no answer came.
enum class ReplayEnd { Whole, Partial, Refused, Lost };

/// \brief What came of one request.
struct ReplayResult {
  std::uint32_t Line = 0;
  bool IsWrite = false;
  bool Repeatable = false; ///< May be executed more than once.
  RequestId Id;            ///< As it was sent.
  Endpoint Entry;          ///< Where it was sent.
  Duration At{};           ///< Planned start.
  Duration StartDelay{};   ///< Planned to actual start.
  Duration Latency{};      ///< Planned start to answer.
  bool InTime = false;     ///< Answered by its deadline.
  ReplayEnd End = ReplayEnd::Lost;
  int ResultCode = 0; ///< 0 if no answer came.
  std::string Outcome;
  double Coverage = 0;
  std::uint64_t Executions = 1; ///< As the answer to a write tells.
  std::string Wrong; ///< Why the answer is not one to this request, or empty.
};

/// \brief Checks that an answer is one to \p Asked and fills in what it says.
///
/// The answer must echo the request id, have a known code and outcome, and
/// state a coverage that agrees with its code, its missing shards and its rows;
/// no row may occur twice or come from another service or snapshot.
ReplayResult validateAnswer(const ReplayRequest &Asked, std::string_view Body);

/// \brief What the targets say they executed: writes by request id.
using ReplayExecutions = std::map<std::string, std::uint64_t>;

/// \brief Figures of a run by name, such as `queries`, `p99_ms`.
using ReplayFigures = std::map<std::string, double>;

/// \brief Sums up a run. Each request counts in one of `whole`, `partial`,
/// `refused`, `lost` and `wrong`.
///
/// Percentiles are over searches with whole or partial answers, and those named
/// `write_` over such writes. A lost request has a latency, but counts in none
/// of them. `duplicates` are executions after the first of writes that may not
/// be repeated, `false_refusals` writes that ran although an answer said that
/// they did not. \p Executed is empty if no target was asked. The figure
/// `command_failures` is for the caller to fill in.
ReplayFigures summarize(const std::vector<ReplayResult> &Results,
                        const ReplayExecutions &Executed);

/// \brief A bound and the figure it is about.
struct ReplayCheck {
  ReplayBound Bound;
  double Actual = 0;
  bool Met = false;
};

/// \returns one check for each bound.
std::vector<ReplayCheck> compare(const std::vector<ReplayBound> &Bounds,
                                 const ReplayFigures &Figures);

/// \returns the results of a run as one JSON line each.
std::string toJsonLine(const ReplayResult &Result);

/// \returns a UUIDv7 of \p Now whose random bits are derived from \p Seed and
/// \p Recorded.
RequestId freshRequestId(const RequestId &Recorded, std::uint64_t Seed,
                         WallTime Now);

} // namespace balsamyard
