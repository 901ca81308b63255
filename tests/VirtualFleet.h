#pragma once

#include "tests/QueryWorld.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace balsamyard::testing {

/// \brief Response of a fake target to one leaf request.
struct TargetAnswer {
  Duration Takes{};
  Code Result = Code::Ok;
  bool Answers = true; ///< False: the target never answers.
};

/// \brief One leaf request as a fake target receives it.
struct TargetRequest {
  std::uint64_t Query = 0;
  LeafIndex Leaf = 0;
  SlotIndex Slot = 0;
  AttemptNumber Attempt = 0;
  TimePoint Now{};
};

/// \brief Result of one query.
struct FleetResult {
  Duration Took{};
  QueryAnswer Answer;
  QueryCounts Counts;
};

/// \brief Runs queries in virtual time against fake targets, which are a
/// function from requests to responses.
class VirtualFleet {
public:
  using Targets = std::function<TargetAnswer(const TargetRequest &)>;

  VirtualFleet(const WorldShape &Shape, Targets Behaviour)
      : Behaviour(std::move(Behaviour)),
        Index(buildIndex(makeView(Shape), makeLocation(), Stats)) {}

  /// \brief Adds a query that starts at \p At.
  void submit(TimePoint At, Duration TimeLeft, double WantedCoverage,
              std::uint64_t Seed) {
    const auto Number = static_cast<std::uint32_t>(this->Runs.size());
    QueryInput Input;
    Input.Id = QueryId{Number + 1};
    Input.Request = {"request-" + std::to_string(Number)};
    Input.Route = {"find"};
    Input.Body = "{}";
    Input.Deadline = At + TimeLeft;
    Input.WantedCoverage = WantedCoverage;
    Input.Seed = Seed;
    Run Next;
    Next.Started = At;
    Next.Deadline = Input.Deadline;
    Next.Input = std::move(Input);
    this->Runs.push_back(std::move(Next));
    this->push(At, Number, QueryStarted{});
  }

  /// \brief Runs until every query has finished.
  void run() {
    while (!this->Events.empty()) {
      Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Run &Current = this->Runs[Next.Run];
      if (Current.Done || this->isObsolete(Current, Next.Payload))
        continue;
      // A query is created when it starts, because its hedge delay is computed
      // from the latencies observed until then.
      if (std::holds_alternative<QueryStarted>(Next.Payload))
        Current.Search = std::make_unique<Query>(
            std::move(Current.Input), this->service(),
            *this->service().choose(nullptr, {"any"}), this->Budget);
      QueryEffects Effects;
      Current.Search->handle(std::move(Next.Payload), this->Now, Effects);
      for (const QueryEffect &Effect : Effects)
        std::visit(
            [&](const auto &Alternative) {
              this->apply(Next.Run, Alternative);
            },
            Effect);
    }
  }

  const std::vector<FleetResult> &results() const { return this->Results; }
  const ExtraLoadBudget &budget() const { return this->Budget; }
  const ServiceIndex &service() const {
    return *this->Index->service({"portal"});
  }

  /// \returns the leaf requests that targets received.
  std::uint64_t leafRequests() const { return this->LeafRequests; }

private:
  struct Event {
    TimePoint At{};
    std::uint64_t Order = 0;
    std::uint32_t Run = 0;
    QueryEvent Payload;

    bool operator<(const Event &Other) const {
      return std::tie(this->At, this->Order) > std::tie(Other.At, Other.Order);
    }
  };

  struct Run {
    TimePoint Started{};
    TimePoint Deadline{};
    TimePoint Wake{};
    QueryInput Input;
    std::unique_ptr<Query> Search;
    std::vector<bool> Cancelled; ///< By batch.
    bool Done = false;
  };

  void push(TimePoint At, std::uint32_t Number, QueryEvent Payload) {
    this->Events.push({At, this->NextOrder++, Number, std::move(Payload)});
  }

  bool isObsolete(const Run &Current, const QueryEvent &Payload) const {
    if (const auto *Answer = std::get_if<LeafAnswered>(&Payload))
      return Current.Cancelled[Answer->Batch];
    if (const auto *Closed = std::get_if<BatchClosed>(&Payload))
      return Current.Cancelled[Closed->Batch];
    return std::holds_alternative<TimeReached>(Payload) &&
           this->Now != Current.Wake && this->Now != Current.Deadline;
  }

  void apply(std::uint32_t Number, const SendBatch &Effect) {
    Run &Current = this->Runs[Number];
    Current.Cancelled.resize(
        std::max<std::size_t>(Current.Cancelled.size(), Effect.Batch + 1));
    const LeafBatch Batch = Current.Search->message(Effect.Batch, this->Now);
    TimePoint Last = this->Now;
    bool AllAnswer = true;
    for (const LeafItem &Item : Batch.Items) {
      ++this->LeafRequests;
      const TargetAnswer Answer = this->Behaviour(
          {Number, Item.Leaf, Item.Slot, Item.Attempt, this->Now});
      AllAnswer = AllAnswer && Answer.Answers;
      if (!Answer.Answers)
        continue;
      const TimePoint At = this->Now + Answer.Takes;
      Last = std::max(Last, At);
      this->push(At, Number,
                 LeafAnswered{Effect.Batch,
                              Answer.Result == Code::Ok
                                  ? answerTo(Batch, Item)
                                  : failureOf(Batch, Item, Answer.Result)});
    }
    if (AllAnswer)
      this->push(Last, Number, BatchClosed{Effect.Batch, Code::Ok, true});
  }

  void apply(std::uint32_t Number, const CancelBatch &Effect) {
    this->Runs[Number].Cancelled[Effect.Batch] = true;
  }

  void apply(std::uint32_t Number, const WakeAt &Effect) {
    this->Runs[Number].Wake = Effect.At;
    this->push(Effect.At, Number, TimeReached{});
  }

  void apply(std::uint32_t Number, const Finish & /*Effect*/) {
    Run &Current = this->Runs[Number];
    Current.Done = true;
    this->Results.push_back({this->Now - Current.Started,
                             Current.Search->takeAnswer(),
                             Current.Search->counts()});
    Current.Search.reset();
  }

  Targets Behaviour;
  StatsTable Stats;
  Ref<const RoutingIndex> Index;
  ExtraLoadBudget Budget;
  TimePoint Now{};
  std::uint64_t NextOrder = 0;
  std::uint64_t LeafRequests = 0;
  std::priority_queue<Event> Events;
  std::vector<Run> Runs;
  std::vector<FleetResult> Results;
};

} // namespace balsamyard::testing
