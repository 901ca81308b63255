#pragma once

#include "balsamyard/src/Core/Http.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief What an answer of a target says.
enum class AnswerKind : std::uint8_t {
  Complete,    ///< A success with its receipt and whole body.
  NotExecuted, ///< The target states that it did not run the request.
  Failed,      ///< The target ran the request, or does not say.
};

/// \brief A whole answer of a target to this request.
struct PartAnswer {
  AnswerKind Kind = AnswerKind::Failed;
  std::string Receipt;
  HttpResponse Response;
};

/// \brief The merged parts of a sharded request.
struct MergedAnswer {
  std::vector<std::string> Receipts;
  std::uint32_t MissingParts = 0;
  std::string Records;
};

/// \brief The answer of one target, passed on as it is.
struct ForwardedAnswer {
  HttpResponse Response;
};

/// \brief The request has not run and never will.
struct NotExecutedAnswer {
  Duration RetryAfter{};
  std::string_view Reason;
};

/// \brief The request may have run and has no answer.
struct FailedAnswer {
  int Status = 502;
  std::string_view Reason;
};

/// \brief The final answer to a caller.
using CallerAnswer = std::variant<MergedAnswer, ForwardedAnswer,
                                  NotExecutedAnswer, FailedAnswer>;

} // namespace balsamyard
