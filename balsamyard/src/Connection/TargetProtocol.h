#pragma once

#include "balsamyard/src/Core/Answer.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/KnownTarget.h"

#include <optional>
#include <string>
#include <string_view>

namespace balsamyard {

/// \brief Status of an answer by another target than the expected one, which
/// has taken over its address.
inline constexpr int MisdirectedStatus = 421;

/// \brief Status of an answer by a target that cannot take the request now.
inline constexpr int UnavailableStatus = 503;

/// \brief Header names of the deployment, filled in by its adapter. The rest of
/// the protocol is plain HTTP.
struct HeaderNames {
  std::string_view RequestId; ///< Chosen by the caller for each attempt.
  std::string_view TimeLeft;  ///< Milliseconds that the sender still waits.
  std::string_view ExpectedTarget;  ///< Id of the only target that may run it.
  std::string_view Receipt;         ///< Proof of execution by a target.
  std::string_view NotExecuted;     ///< The target did not run the request.
  std::string_view Load;            ///< "RUNNING,WAITING,SLOTS" of a target.
  std::string_view RequestLimit;    ///< Requests per second that it accepts.
  std::string_view Departure;       ///< "1" if the target is about to leave.
  std::string_view TargetId;        ///< Id of the target that answers.
  std::string_view RemainingWarmup; ///< Milliseconds until the target is warm.
  std::string_view Receipts;        ///< All receipts of a merged answer.
  std::string_view MissingParts;    ///< Shards missing in a merged answer.
};

/// \brief Encodes requests to targets and answers to callers, and decodes their
/// messages into types that do not depend on the encoding.
class TargetProtocol {
public:
  explicit TargetProtocol(const HeaderNames &Names) : Names(Names) {}

  /// \returns the request line and header fields that are the same for every
  /// target.
  std::string sharedHead(const HttpRequest &Request) const;

  /// \returns the complete message to one target. \p SharedHead comes from
  /// sharedHead().
  std::string message(std::string_view SharedHead, std::string_view Body,
                      const TargetInfo &Target, Duration TimeLeft) const;

  /// \returns a request for the health page of a target.
  std::string healthRequest(const TargetInfo &Target,
                            std::string_view Path) const;

  /// \returns the outcome of request \p RequestId, or nothing if the response
  /// belongs to another request or is invalid.
  std::optional<PartAnswer> read(HttpResponse Response,
                                 std::string_view RequestId) const;

  /// \returns the id of the request, empty if it has none.
  std::string_view requestId(const HttpRequest &Request) const;

  /// \returns the remaining time that the caller states, if any.
  std::optional<Duration> timeLeft(const HttpRequest &Request) const;

  /// \returns the remaining warm-up time of the target, 0 if it is warm.
  Duration remainingWarmup(const HttpResponse &Response) const;

  /// \returns the id of the target that answered, empty if not stated.
  std::string_view targetId(const HttpResponse &Response) const;

  /// \brief Stores the load that the response reports in \p Target.
  void readLoad(const HttpResponse &Response, KnownTarget &Target,
                TimePoint Now) const;

  /// \brief Stores the request limit that the response names in \p Target, or
  /// ends the one that a success no longer names.
  /// \returns whether a limit began or ended.
  bool readRequestLimit(const HttpResponse &Response, KnownTarget &Target,
                        TimePoint Now) const;

  /// \returns the time for which the target wants no requests from this
  /// process, if it rejects the request with one.
  std::optional<Duration> requestedPause(const HttpResponse &Response) const;

  /// \returns whether the response says that its target is about to leave.
  bool announcesDeparture(const HttpResponse &Response) const;

  /// \returns the message that carries an outcome to the caller.
  EncodedMessage answer(CallerAnswer Outcome, bool KeepAlive,
                        bool WithBody) const;

private:
  const HeaderNames Names;
};

/// \returns a response with a status and a text body. A \p RetryAfter of 0 is
/// omitted.
std::string plainAnswer(int Status, std::string_view Text, bool KeepAlive,
                        Duration RetryAfter = {},
                        std::string_view ContentType = "text/plain");

/// \returns the idle timeout in the Keep-Alive header, if any.
std::optional<Duration> advertisedIdleTimeout(const HttpResponse &Response);

} // namespace balsamyard
