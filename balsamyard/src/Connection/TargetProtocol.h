#pragma once

#include "balsamyard/src/Core/Answer.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/KnownTarget.h"

#include <optional>
#include <string>
#include <string_view>

namespace balsamyard {

/// \brief The header names of the deployment, by what the fields hold. An
/// adapter fills them in; everything else of the protocol is HTTP.
struct HeaderNames {
  std::string_view RequestId;       ///< Chosen by the caller for each attempt.
  std::string_view TimeLeft;        ///< Milliseconds that the sender waits.
  std::string_view ExpectedTarget;  ///< The only target that may run it.
  std::string_view Receipt;         ///< Proof of a target that it ran.
  std::string_view NotExecuted;     ///< The target did not run the request.
  std::string_view Load;            ///< "RUNNING,WAITING,SLOTS" of a target.
  std::string_view TargetId;        ///< Of the target that answers.
  std::string_view RemainingWarmup; ///< Milliseconds that it stays cold.
  std::string_view Receipts;        ///< Of the parts of a merged answer.
  std::string_view MissingParts;    ///< Shards that a merged answer lacks.
};

/// \brief Encodes requests to targets and answers to callers, and reads their
/// messages into the types of the decisions.
class TargetProtocol {
public:
  explicit TargetProtocol(const HeaderNames &Names) : Names(Names) {}

  /// \returns the parts of a request that are the same for every target.
  std::string sharedHead(const HttpRequest &Request) const;

  /// \returns the whole message to one target.
  std::string message(std::string_view SharedHead, std::string_view Body,
                      const TargetInfo &Target, Duration TimeLeft) const;

  /// \returns a request of the health page of a target.
  std::string healthRequest(const TargetInfo &Target,
                            std::string_view Path) const;

  /// \returns what \p Response says about the request \p RequestId, or nothing
  /// if it belongs to another request or is not usable.
  std::optional<PartAnswer> read(HttpResponse Response,
                                 std::string_view RequestId) const;

  /// \returns the id of the request, empty if it has none.
  std::string_view requestId(const HttpRequest &Request) const;

  /// \returns how long the caller waits, if it says so.
  std::optional<Duration> timeLeft(const HttpRequest &Request) const;

  /// \returns how long a target stays cold, 0 if it is warm.
  Duration remainingWarmup(const HttpResponse &Response) const;

  /// \returns the id of the target that answered, empty if it is not said.
  std::string_view targetId(const HttpResponse &Response) const;

  /// \brief Stores the load that the response reports in \p Target.
  void readLoad(const HttpResponse &Response, KnownTarget &Target,
                TimePoint Now) const;

  /// \returns the message that carries an outcome to the caller.
  std::string answer(const CallerAnswer &Outcome, bool KeepAlive,
                     bool WithBody) const;

private:
  const HeaderNames Names;
};

/// \returns an answer with a status, a line of text and no other content.
/// \p RetryAfter of 0 is left out.
std::string plainAnswer(int Status, std::string_view Text, bool KeepAlive,
                        Duration RetryAfter = {},
                        std::string_view ContentType = "text/plain");

/// \returns the idle time that a Keep-Alive field states, if any.
std::optional<Duration> advertisedIdleTimeout(const HttpResponse &Response);

} // namespace balsamyard
