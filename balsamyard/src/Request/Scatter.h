#pragma once

#include "balsamyard/src/Core/Answer.h"
#include "balsamyard/src/Request/TargetChoice.h"
#include "balsamyard/src/Version/FleetView.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief The properties of a caller's request that Scatter decides by.
struct ScatterInput {
  Ref<const FleetView> View;
  std::size_t RouteIndex = 0; ///< Position in Configuration::Routes.
  TimePoint GoalTime{};       ///< Latest time that meets the latency goal.
  TimePoint Deadline{};       ///< Latest time to send the final answer.
  std::uint64_t Seed = 0;
};

/// \brief Index of an attempt of a request, in order of submission.
using AttemptIndex = std::uint32_t;

/// \brief Why an attempt ended without an answer.
enum class AttemptFailure : std::uint8_t {
  NotSent, ///< No byte reached a connection.
  Broken,  ///< The request was sent, so it may have run.

  /// This process had no memory for the answer. Those of other targets would
  /// not find any either.
  Discarded,
};

/// \brief The request starts.
struct ScatterStarted {};

/// \brief The request was written to a connection of the target.
struct AttemptSent {
  AttemptIndex Attempt = 0;
};

/// \brief The target answered.
struct AttemptAnswered {
  AttemptIndex Attempt = 0;
  PartAnswer Answer;
};

/// \brief The attempt ended without an answer.
struct AttemptLost {
  AttemptIndex Attempt = 0;
  AttemptFailure Failure = AttemptFailure::Broken;
};

/// \brief The time of the last WakeScatter has been reached.
struct ScatterTimeReached {};

/// \brief The process is about to end: the request has to end now.
struct ScatterStopped {};

using ScatterEvent =
    std::variant<ScatterStarted, AttemptSent, AttemptAnswered, AttemptLost,
                 ScatterTimeReached, ScatterStopped>;

/// \brief Send the request to the target of this attempt.
struct SubmitAttempt {
  AttemptIndex Attempt = 0;
};

/// \brief Withdraw an attempt that has not been sent.
struct WithdrawAttempt {
  AttemptIndex Attempt = 0;
};

/// \brief Mark the attempt as late; it counts against its target until it
/// ends.
struct AttemptLate {
  AttemptIndex Attempt = 0;
};

/// \brief Report ScatterTimeReached at this time; replaces the previous one.
struct WakeScatter {
  TimePoint At{};
};

/// \brief The outcome is available. No effect follows.
struct ScatterFinished {};

using ScatterEffect = std::variant<SubmitAttempt, WithdrawAttempt, AttemptLate,
                                   WakeScatter, ScatterFinished>;
using ScatterEffects = std::vector<ScatterEffect>;

/// \brief Counts of one request, for its log line and the metrics.
struct ScatterCounts {
  std::uint32_t Shards = 0;
  std::uint32_t Answered = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t HedgesWon = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Denied = 0;   ///< Extra requests that the budget refused.
  std::uint32_t NoTarget = 0; ///< Shards that had no usable target.
  std::uint32_t Limited = 0;  ///< Choices that passed over a limited target.
  Duration LongestQueued{};   ///< From the choice of a target to the sending.
};

/// \brief State machine of one request: chooses targets, decides on retries and
/// hedges, collects answers and determines the final answer. Performs no I/O;
/// its owner carries out the effects. A request to a single service is treated
/// as one with a single shard.
///
/// \code
/// Scatter Request(Input);
/// Request.handle(ScatterStarted{}, Now, Effects);
/// \endcode
class Scatter {
public:
  explicit Scatter(ScatterInput Input);

  /// \brief Applies one event and appends the resulting effects to \p Effects.
  void handle(ScatterEvent Event, TimePoint Now, ScatterEffects &Effects);

  bool finished() const { return this->Finished; }

  /// \returns the goal of a request that ended because it was reached, with the
  /// answers that were there.
  std::optional<TimePoint> endedAtGoal() const {
    return this->EndedAtGoal ? std::optional(this->Input.GoalTime)
                             : std::nullopt;
  }

  /// \returns the outcome of a finished request. Call once.
  CallerAnswer takeOutcome();

  KnownTarget &targetOf(AttemptIndex Attempt) const {
    return *this->Attempts[Attempt].Target;
  }

  /// \returns the attempts that were late, failed, hedges or retries, for the
  /// log:
  /// "TARGET@DISTANCE kind outcome after MILLISECONDS", at most
  /// MaxDescribed of them.
  std::string describe(TimePoint Now) const;

  /// \returns the attempts whose connection ended before the answer.
  std::vector<BrokenAttempt> brokenAttempts() const;

  const ScatterCounts &counts() const { return this->Counts; }
  const ScatterInput &input() const { return this->Input; }
  const Route &route() const {
    return this->Input.View->Config->Routes[this->Input.RouteIndex];
  }

  /// \brief Maximum number of attempts in one log line; keeps it below 1 KB.
  static constexpr std::size_t MaxDescribed = 12;

  /// \brief Retry-After of a request for which no target was usable. Targets
  /// are checked again within this time.
  static constexpr Duration NoTargetRetryAfter = std::chrono::milliseconds(300);

  /// \brief Retry-After of a request that every target rejected. A full queue
  /// needs about this time to shrink.
  static constexpr Duration RejectedRetryAfter = std::chrono::milliseconds(200);

private:
  enum class AttemptState : std::uint8_t { Queued, Sent, Ended };

  /// Result of an attempt, for the log and for move statistics.
  enum class AttemptResult : std::uint8_t {
    Open,
    Answered,
    NotExecuted,
    Failed,
    Broken,
    Discarded,
    NotSent,
    Withdrawn
  };

  struct Attempt {
    Ref<KnownTarget> Target;
    std::uint32_t Shard = 0;
    AttemptState State = AttemptState::Queued;
    bool Extra = false; ///< Charged to the retry budget.
    bool Hedge = false;
    bool Late = false;
    AttemptResult Result = AttemptResult::Open;
    Duration Elapsed{};
    TimePoint StateSince{}; ///< Time of submission or, once sent, of sending.
  };

  struct ShardProgress {
    ServiceNumber Service = 0;
    std::vector<const KnownTarget *> Tried;
    std::uint32_t SentCount = 0;   ///< Attempts written to a connection.
    std::uint32_t QueuedCount = 0; ///< Attempts that wait for a connection.
    std::uint32_t OpenCount = 0;
    bool Answered = false;
    bool Abandoned = false;
    PartAnswer Answer;
  };

  static AttemptResult resultOf(AttemptFailure Failure);

  void on(const ScatterStarted &Event, TimePoint Now, ScatterEffects &Effects);
  void on(const AttemptSent &Event, TimePoint Now, ScatterEffects &Effects);
  void on(AttemptAnswered &Event, TimePoint Now, ScatterEffects &Effects);
  void on(const AttemptLost &Event, TimePoint Now, ScatterEffects &Effects);
  void on(const ScatterTimeReached &Event, TimePoint Now,
          ScatterEffects &Effects);

  void on(const ScatterStopped &Event, TimePoint Now, ScatterEffects &Effects);

  TargetChoice choose(const ShardProgress &Progress, TimePoint Now);
  bool submit(std::uint32_t ShardIndex, bool Hedge, TimePoint Now,
              ScatterEffects &Effects);
  bool mayRetry(const ShardProgress &Progress, AnswerKind Kind) const;
  void retryOrAbandon(std::uint32_t ShardIndex, bool Retryable, TimePoint Now,
                      ScatterEffects &Effects);
  void checkLate(TimePoint Now, ScatterEffects &Effects);
  void moveQueuedAttempt(AttemptIndex Index, TimePoint Now,
                         ScatterEffects &Effects);
  void noteOvertaken(std::uint32_t ShardIndex, TimePoint Now) const;
  void closeAttempt(Attempt &Closed, AttemptResult Result, TimePoint Now);
  void recordMoveTraffic(const Attempt &Closed, TimePoint Now) const;
  void checkEnd(TimePoint Now, ScatterEffects &Effects);
  void scheduleWake(TimePoint Now, ScatterEffects &Effects);
  void finish(CallerAnswer Result, TimePoint Now, ScatterEffects &Effects);
  CallerAnswer failure(bool DeadlinePassed) const;
  bool isEnough(std::uint32_t ShardCount) const;
  bool coverageMet() const;
  bool coverageReachable() const;
  void claimFirstTurns(TimePoint Now, ScatterEffects &Effects);
  bool isSharded() const { return this->Sharded != nullptr; }
  Duration hedgeDelay() const;
  ServiceNumber chooseService(const SplitDestination &Split) const;

  ScatterInput Input;
  const ShardedDestination *Sharded = nullptr;
  RouteStats &Stats;
  RandomGenerator Random;
  Duration TimeToGoal{}; ///< At the start of the request.
  std::vector<ShardProgress> Shards;
  std::vector<Attempt> Attempts;
  std::uint32_t OpenShards = 0;
  std::uint32_t MayHaveRun = 0; ///< Attempts that may have run.
  bool SawNotExecuted = false;
  bool Finished = false;
  bool EndedAtGoal = false;
  std::optional<HttpResponse> LastFailure; ///< The target may have run it.
  CallerAnswer Outcome;
  ScatterCounts Counts;
};

/// \returns whether \p Status tells the caller that its request has not run.
bool promisesNotExecuted(int Status);

/// \returns the \p Count greatest 16-byte records in \p Parts in descending
/// order, compared byte by byte. Trailing bytes of a part that are fewer than
/// 16 are ignored.
std::string mergeRecords(const std::vector<std::string_view> &Parts,
                         std::uint32_t Count);

} // namespace balsamyard
