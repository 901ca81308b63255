#pragma once

#include "balsamyard/src/Core/Http.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief What the answer of a target states about the request.
enum class AnswerKind : std::uint8_t {
  Complete,    ///< A success with a receipt and a complete body.
  NotExecuted, ///< The target states that it did not run the request.
  Failed,      ///< The target ran the request, or may have run it.
};

/// \brief A complete answer of a target to one part of a request.
struct PartAnswer {
  AnswerKind Kind = AnswerKind::Failed;
  std::string Receipt;
  HttpResponse Response;
};

/// \brief The merged answers of all shards of a request.
struct MergedAnswer {
  std::vector<std::string> Receipts;
  std::uint32_t MissingParts = 0;
  std::string Records;
};

/// \brief The answer of one target, forwarded unchanged.
struct ForwardedAnswer {
  HttpResponse Response;
};

/// \brief The request has not run and will not run.
struct NotExecutedAnswer {
  Duration RetryAfter{};
  std::string_view Reason;
};

/// \brief The request may have run, but there is no answer.
struct FailedAnswer {
  int Status = 502;
  std::string_view Reason;
};

/// \brief The final answer to a caller.
using CallerAnswer = std::variant<MergedAnswer, ForwardedAnswer,
                                  NotExecutedAnswer, FailedAnswer>;

} // namespace balsamyard
