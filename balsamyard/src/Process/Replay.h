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

/// \brief A search or write in a recorded trace.
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

/// \brief Switches a fault of a stand-in on or off by a POST request.
struct ReplayFault {
  Endpoint To;
  std::string Path;
  std::string Body; ///< JSON.
};

/// \brief Applies a rules text.
struct ReplayRules {
  std::string Text;
};

/// \brief One line of a recorded trace.
struct ReplayEvent {
  Duration At{}; ///< Since the start of the run.
  std::uint32_t Line = 0;
  std::variant<ReplayRequest, ReplayFault, ReplayRules> Body;
};

/// \brief An error in a trace or a file of expectations. Line counts from 1;
/// 0 means unknown.
struct ReplayFileFault {
  std::uint32_t Line = 0;
  std::string Detail;
};

/// \returns the events of a trace sorted by time, or every error found.
tl::expected<std::vector<ReplayEvent>, std::vector<ReplayFileFault>>
parseTrace(std::istream &Lines);

/// \brief Inclusive bounds of one figure.
struct ReplayBound {
  std::string Figure;
  std::optional<double> Minimum;
  std::optional<double> Maximum;
};

/// \brief Reads `{"FIGURE": {"min": NUMBER, "max": NUMBER}, ..}`.
/// \returns the bounds, or every error found.
tl::expected<std::vector<ReplayBound>, std::vector<ReplayFileFault>>
parseExpectations(std::string_view Json);

/// \brief How a request ended for its caller. Lost means that no answer
/// arrived.
enum class ReplayEnd { Whole, Partial, Refused, Lost };

/// \brief The result of one request.
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
  int ResultCode = 0; ///< 0 if no answer arrived.
  std::string Outcome;
  double Coverage = 0;
  std::uint64_t Executions = 1; ///< Stated in the answer to a write.
  std::string Wrong;            ///< Why the answer is invalid, or empty.
};

/// \brief Checks that \p Body is a valid answer to \p Request.
/// \returns the content of the answer, and in `Wrong` why it is invalid.
///
/// The answer must echo the request id, have a known code and outcome, and
/// state a coverage that agrees with its code, its missing shards and its rows;
/// no row may occur twice or come from another service or snapshot.
ReplayResult validateAnswer(const ReplayRequest &Request,
                            std::string_view Body);

/// \brief Number of executions of each write that the targets report, by
/// request id.
using ReplayExecutions = std::map<std::string, std::uint64_t>;

/// \brief Figures of a run by name, such as `queries` or `p99_ms`.
using ReplayFigures = std::map<std::string, double>;

/// \brief Computes the figures of a run. Each request counts in one of `whole`,
/// `partial`, `refused`, `lost` and `wrong`.
///
/// Percentiles cover searches with whole or partial answers; those with the
/// prefix `write_` cover such writes. A lost request has a latency, but counts
/// in none of them. `duplicates` counts the executions after the first of
/// writes that are not repeatable, `false_refusals` the writes that ran
/// although an answer said that they did not. \p Executed is empty if no target
/// was queried. The caller sets the figure `command_failures`.
ReplayFigures summarize(const std::vector<ReplayResult> &Results,
                        const ReplayExecutions &Executed);

/// \brief A bound and the figure that was compared with it.
struct ReplayCheck {
  ReplayBound Bound;
  double Actual = 0;
  bool Met = false;
};

/// \returns one check for each bound. A bound of a missing figure is not met.
std::vector<ReplayCheck> compare(const std::vector<ReplayBound> &Bounds,
                                 const ReplayFigures &Figures);

/// \returns \p Result as one line of JSON.
std::string toJsonLine(const ReplayResult &Result);

/// \returns a UUIDv7 for the time \p Now. Its random bits are derived from
/// \p Seed and \p Recorded.
RequestId freshRequestId(const RequestId &Recorded, std::uint64_t Seed,
                         WallTime Now);

} // namespace balsamyard
