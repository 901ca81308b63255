#pragma once

#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Process/ExtraLoadBudget.h"
#include "balsamyard/src/Request/HedgePolicy.h"
#include "balsamyard/src/Request/ReplicaChoice.h"

#include <array>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Parameters of a search, as requested by the caller.
struct QueryInput {
  QueryId Id{};
  RequestId Request;
  RouteName Route;
  Fingerprint Print{};
  std::string Body;
  TimePoint Deadline{};        ///< Latest time to send the answer.
  double WantedCoverage = 1.0; ///< 0 to 1.
  double ExtraShare = ExtraLoadBudget::MaxShare;
  std::uint64_t Seed = 0; ///< Seed of all random choices.
};

/// \brief The query starts.
struct QueryStarted {};

/// \brief A holder sent the answer of one leaf.
struct LeafAnswered {
  std::uint32_t Batch = 0;
  LeafReply Reply;
};

/// \brief The reply stream of a batch ended, or its holder failed.
/// \sa PeerClient::CloseHandler
struct BatchClosed {
  std::uint32_t Batch = 0;
  Code Result = Code::Ok;
  bool Sent = true;
};

/// \brief The time of the last WakeAt has been reached.
struct TimeReached {};

using QueryEvent =
    std::variant<QueryStarted, LeafAnswered, BatchClosed, TimeReached>;

/// \brief Send the batch; Query::message() builds its message.
struct SendBatch {
  std::uint32_t Batch = 0;
};

/// \brief Cancel a batch whose remaining replies are not needed.
struct CancelBatch {
  std::uint32_t Batch = 0;
};

/// \brief Report TimeReached at this time; replaces the previous one.
struct WakeAt {
  TimePoint At{};
};

/// \brief The answer is available. No effect follows.
struct Finish {};

using QueryEffect = std::variant<SendBatch, CancelBatch, WakeAt, Finish>;
using QueryEffects = std::vector<QueryEffect>;

/// \brief The part of a snapshot that an answer covers.
struct Coverage {
  std::uint64_t Weight = 0;
  std::uint64_t TotalWeight = 0;
  std::uint32_t ShardsAnswered = 0;
  std::uint32_t ShardsAsked = 0;
  std::vector<ShardId> Missing;

  /// \returns the covered share of the total weight, or of the number of shards
  /// if they have no weights.
  double share() const;
};

/// \brief Answer of a query. Rows is a JSON array, merged in shard order.
struct QueryAnswer {
  Code Result = Code::Ok;
  Outcome Ran = Outcome::Unknown;
  Coverage Covered;
  std::string Rows;
};

/// \brief Counts of one query, for its log line and the metrics.
struct QueryCounts {
  std::uint32_t Leaves = 0;
  std::uint32_t Batches = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t Retries = 0;
  std::uint32_t Denied = 0;    ///< Extra requests that the budget refused.
  std::uint32_t Dropped = 0;   ///< Replies that matched no open attempt.
  Code LastFailure = Code::Ok; ///< Of a leaf; Ok if none failed.
};

/// \brief State machine of one search: chooses slots, decides on retries and
/// hedges, merges replies and determines when the query ends. Performs no I/O;
/// its owner carries out the effects.
///
/// \code
/// Query Search(Input, *Index, *Index.choose(Split, Input.Request), Budget);
/// Search.handle(QueryStarted{}, Now, Effects);
/// \endcode
class Query {
public:
  /// \p Index, \p Routes and \p Budget outlive the query.
  Query(QueryInput Input, const ServiceIndex &Index,
        const VersionRoutes &Routes, ExtraLoadBudget &Budget);
  ~Query();

  Query(const Query &) = delete;
  Query &operator=(const Query &) = delete;

  /// \brief Applies one event and appends the resulting effects to \p Effects.
  void handle(QueryEvent Event, TimePoint Now, QueryEffects &Effects);

  /// \returns the message for a SendBatch effect.
  LeafBatch message(std::uint32_t Batch, TimePoint Now) const;

  /// \returns the holder to which a batch is sent.
  const HolderRoute &holderOf(std::uint32_t Batch) const;

  bool finished() const { return this->Finished; }

  /// \returns the merged answer of a finished query. Call once.
  QueryAnswer takeAnswer();

  const QueryCounts &counts() const { return this->Counts; }

  /// \returns the time after which half of the leaves had answered, or the
  /// whole time if fewer did.
  Duration medianLeafTime() const { return this->MedianLeafTime; }

private:
  static constexpr std::uint32_t None = ~std::uint32_t{0};

  struct Attempt {
    std::uint32_t Slot = 0; ///< Position in VersionRoutes::Slots.
    std::uint32_t Batch = 0;
    TimePoint Sent{};
    bool Open = false;
  };

  struct LeafProgress {
    std::array<Attempt, HedgePolicy::MaxAttempts> Attempts;
    std::uint8_t AttemptCount = 0;
    std::uint8_t OpenCount = 0;
    bool Settled = false; ///< Fully answered or abandoned.
    bool Waiting = false; ///< No open attempt; waits for the budget.
    std::uint32_t MissingShards = 0;
    SlotSet Tried;
  };

  /// An attempt in a batch; the items of a batch form a linked list.
  struct Item {
    std::uint32_t Leaf = 0;
    std::uint32_t Attempt = 0;
    std::uint32_t Next = None;
  };

  struct Batch {
    std::uint32_t Holder = 0;
    std::uint32_t FirstItem = None;
    std::uint32_t LastItem = None;
    std::uint32_t Items = 0;
    std::uint32_t OpenItems = 0;
    bool Closed = false;
  };

  enum class ExtraReason { Hedge, Retry };

  void on(const QueryStarted &Event, TimePoint Now, QueryEffects &Effects);
  void on(LeafAnswered &Event, TimePoint Now, QueryEffects &Effects);
  void on(const BatchClosed &Event, TimePoint Now, QueryEffects &Effects);
  void on(const TimeReached &Event, TimePoint Now, QueryEffects &Effects);

  bool addAttempt(std::uint32_t Leaf, TimePoint Now);
  void flush(QueryEffects &Effects);
  bool tryExtra(std::uint32_t Leaf, ExtraReason Reason, TimePoint Now);
  void attemptFailed(std::uint32_t Leaf, Attempt &Failed, Code Result,
                     TimePoint Now, QueryEffects &Effects);
  void closeAttempt(std::uint32_t Leaf, Attempt &Closed);
  bool partsMatch(const LeafShards &Leaf, const std::vector<ShardPart> &Parts);
  void merge(std::uint32_t Leaf, std::vector<ShardPart> &Parts);
  void settle(std::uint32_t Leaf, TimePoint Now, QueryEffects &Effects);
  void checkEnd(TimePoint Now, QueryEffects &Effects);
  bool wantedCoverageMet() const;
  Code resultCode() const;

  QueryInput Input;
  const ServiceIndex &Index;
  const VersionRoutes &Routes;
  ExtraLoadBudget &Budget;
  RandomGenerator Random;
  LaneChoice Lanes;
  HedgePolicy Hedging;
  TimePoint Started{};
  std::vector<LeafProgress> Leaves; ///< Parallel to ServiceIndex::Leaves.
  std::vector<Item> Items;
  std::vector<Batch> Batches;
  std::vector<std::uint32_t> BatchOfHolder; ///< By holder: its newest batch.
  std::vector<std::string> Rows;            ///< By shard; empty until answered.
  std::vector<std::uint32_t> LastReply;     ///< By shard: a ReplyNumber.
  std::uint32_t ReplyNumber = 0;      ///< Of the reply that is being checked.
  std::uint32_t FirstUnsentBatch = 0; ///< The first batch that is not sent yet.
  std::uint32_t UnsettledLeaves = 0;
  std::uint32_t AnsweredLeaves = 0;
  std::uint64_t AnsweredWeight = 0;
  std::uint32_t AnsweredShards = 0;
  std::size_t AnsweredBytes = 0;
  Duration MedianLeafTime{};
  bool MayHaveRun = false;
  bool SawQuarantine = false;
  bool OnlyOverload = true; ///< All failures were due to overload.
  bool ReachedDeadline = false;
  bool Finished = false;
  QueryCounts Counts;
};

/// \returns whether a leaf reply with this code states that no target started
/// the request.
bool saysNotRun(Code Result);

} // namespace balsamyard
