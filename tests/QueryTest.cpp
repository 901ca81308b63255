#include "tests/VirtualFleet.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);
constexpr Duration TimeLeft = 160 * Millisecond;

using Engine = boost::random::mt19937;

std::uint32_t draw(Engine &Random, std::uint32_t Below) {
  return boost::random::uniform_int_distribution<std::uint32_t>(0, Below - 1)(
      Random);
}

/// An item of a sent batch, with the index of the batch.
struct SentItem {
  std::uint32_t Batch = 0;
  LeafItem Item;
};

/// A query in virtual time that records its effects.
struct QueryRun {
  explicit QueryRun(const Ref<RoutingView> &View, double WantedCoverage = 1.0,
                    std::uint64_t Seed = 1, bool FillBudget = true)
      : Index(buildIndex(View, makeLocation(), Stats)) {
    QueryInput Input;
    Input.Id = QueryId{99};
    Input.Request = {"request-1"};
    Input.Route = {"find"};
    Input.Body = "{}";
    Input.Deadline = this->Started + TimeLeft;
    Input.WantedCoverage = WantedCoverage;
    Input.Seed = Seed;
    this->Search.emplace(std::move(Input), this->service(),
                         *this->service().choose(nullptr, {"request-1"}),
                         this->Budget);
    this->Delay = HedgePolicy::forService(*this->service().Stats).Delay;
    // Empties the budget; sections that do not test it get a filled one.
    while (this->Budget.trySpend())
      ++this->InitialTokens;
    if (FillBudget)
      this->Budget.earn(2000);
  }

  const ServiceIndex &service() const {
    return *this->Index->service({"portal"});
  }

  void handle(QueryEvent Event) {
    QueryEffects Effects;
    this->Search->handle(std::move(Event), this->Now, Effects);
    for (const QueryEffect &Effect : Effects) {
      CHECK_FALSE(this->Done);
      if (const auto *Send = std::get_if<SendBatch>(&Effect))
        this->Sent[Send->Batch] = this->Search->message(Send->Batch, this->Now);
      else if (const auto *Cancel = std::get_if<CancelBatch>(&Effect))
        this->Cancelled.insert(Cancel->Batch);
      else if (const auto *Wake = std::get_if<WakeAt>(&Effect))
        this->Wake = Wake->At;
      else
        this->Done = true;
    }
  }

  void answer(const SentItem &To) {
    this->handle(
        LeafAnswered{To.Batch, answerTo(this->Sent[To.Batch], To.Item)});
  }

  void failWith(const SentItem &To, Code Result) {
    this->handle(LeafAnswered{
        To.Batch, failureOf(this->Sent[To.Batch], To.Item, Result)});
  }

  /// \returns all items that have been sent, by leaf and attempt.
  std::map<std::pair<LeafIndex, AttemptNumber>, SentItem> items() const {
    std::map<std::pair<LeafIndex, AttemptNumber>, SentItem> Result;
    for (const auto &[Number, Batch] : this->Sent)
      for (const LeafItem &Item : Batch.Items)
        Result[{Item.Leaf, Item.Attempt}] = {Number, Item};
    return Result;
  }

  SentItem item(LeafIndex Leaf, AttemptNumber Attempt = 0) const {
    return this->items().at({Leaf, Attempt});
  }

  bool hasItem(LeafIndex Leaf, AttemptNumber Attempt) const {
    return this->items().contains({Leaf, Attempt});
  }

  void answerAllBut(const std::set<LeafIndex> &Unanswered) {
    for (const auto &[Key, Item] : this->items())
      if (!Unanswered.contains(Key.first) && Key.second == 0 && !this->Done)
        this->answer(Item);
  }

  void wakeAt(Duration After) {
    this->Now = this->Started + After;
    this->handle(TimeReached{});
  }

  /// \returns the number of hedges and retries, by the tokens spent.
  std::uint64_t extraRequests() const {
    return this->Budget.spent() - this->InitialTokens;
  }

  std::uint32_t inFlightOfAllSlots() const {
    std::uint32_t Sum = 0;
    for (const VersionRoutes &Routes : this->service().Versions)
      for (const SlotRoute &Slot : Routes.Slots)
        Sum += Slot.Stats->inFlight();
    return Sum;
  }

  const TimePoint Started{Duration(1'000'000)};
  TimePoint Now = Started;
  StatsTable Stats;
  Ref<const RoutingIndex> Index;
  ExtraLoadBudget Budget;
  std::uint64_t InitialTokens = 0;
  std::optional<Query> Search;
  Duration Delay{}; ///< The hedge delay that the query started with.
  std::map<std::uint32_t, LeafBatch> Sent;
  std::set<std::uint32_t> Cancelled;
  TimePoint Wake{};
  bool Done = false;
};

/// Wakes the query at the hedge delay, at which leaf 0 alone is late.
void makeLeafZeroLate(QueryRun &Run) {
  Run.answerAllBut({0});
  Run.wakeAt(Run.Delay);
}

} // namespace

// Guards against rows that are missing, duplicated or out of order although
// every target answered.
TEST_CASE("a search is planned, answered and merged", "[query]") {
  QueryRun Run(makeView({.Leaves = 4}));
  Run.handle(QueryStarted{});

  SECTION("each leaf is asked once for all its shards") {
    std::map<LeafIndex, std::size_t> Asked;
    for (const auto &[Key, Item] : Run.items())
      Asked[Key.first] += Item.Item.Shards.size();
    CHECK(Asked ==
          std::map<LeafIndex, std::size_t>{{0, 2}, {1, 2}, {2, 2}, {3, 2}});

    SECTION("and when all have answered, the rows are merged by shard") {
      Run.answerAllBut({});
      REQUIRE(Run.Done);
      QueryAnswer Answer = Run.Search->takeAnswer();
      CHECK(Answer.Result == Code::Ok);
      CHECK(Answer.Ran == Outcome::Ran);
      CHECK(Answer.Rows == "[0,1,2,3,4,5,6,7]");
      CHECK(Answer.Covered.share() == 1.0);
      CHECK(Answer.Covered.Missing.empty());
      CHECK(Run.extraRequests() == 0);
    }
  }

  SECTION("a leaf that does not answer is missing at the deadline") {
    Run.answerAllBut({0});
    CHECK_FALSE(Run.Done);
    Run.wakeAt(TimeLeft);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Partial);
    CHECK(Answer.Rows == "[2,3,4,5,6,7]");
    CHECK(Answer.Covered.Missing == std::vector<ShardId>{0, 1});
    // Shard I weighs 10 + I % 7, and shards 0 and 1 are missing.
    CHECK(Answer.Covered.TotalWeight == 10 + 11 + 12 + 13 + 14 + 15 + 16 + 10);
    CHECK(Answer.Covered.Weight == Answer.Covered.TotalWeight - 10 - 11);

    SECTION("and its answer does not count when it arrives after that") {
      Run.answer(Run.item(0));
      CHECK(Run.Search->finished());
    }
  }

  SECTION("no target is counted as busy after the end") {
    Run.answerAllBut({0, 3});
    Run.wakeAt(12 * Millisecond);
    CHECK(Run.inFlightOfAllSlots() == 4);
    Run.wakeAt(TimeLeft);
    CHECK(Run.inFlightOfAllSlots() == 0);
  }
}

// Guards against merging replies to another query, attempt, slot, snapshot or
// version (invariants 1, 2 and 6).
TEST_CASE("only replies that match an open attempt count", "[query]") {
  QueryRun Run(makeView({.Leaves = 4}));
  Run.handle(QueryStarted{});
  Run.answerAllBut({0});
  const SentItem First = Run.item(0);
  const LeafReply Right = answerTo(Run.Sent[First.Batch], First.Item);
  LeafReply Wrong = Right;
  std::uint32_t Batch = First.Batch;
  bool EndsAttempt = false;

  SECTION("not from another query") { Wrong.Query = QueryId{98}; }
  SECTION("not from a leaf that the snapshot does not have") { Wrong.Leaf = 4; }
  SECTION("not for an attempt that was never made") { Wrong.Attempt = 1; }
  SECTION("not from another slot than the one that was asked") {
    Wrong.Slot = static_cast<SlotIndex>(Right.Slot + 1);
  }
  SECTION("not from a holder that was not asked") { Batch = First.Batch + 7; }
  SECTION("not from another snapshot") {
    Wrong.Snapshot = SnapshotId{8};
    EndsAttempt = true;
  }
  SECTION("not from another version") {
    Wrong.Version = {"v2"};
    EndsAttempt = true;
  }
  SECTION("not with a shard that was not asked for") {
    Wrong.Parts[1].Shard = 2;
    EndsAttempt = true;
  }
  SECTION("not with a shard that occurs twice") {
    Wrong.Parts.push_back(Wrong.Parts[0]);
    EndsAttempt = true;
  }
  SECTION("not with rows that are no array") {
    Wrong.Parts[0].Rows = "[1,2";
    EndsAttempt = true;
  }

  Run.handle(LeafAnswered{Batch, Wrong});
  CHECK_FALSE(Run.Done);
  CHECK(Run.Search->counts().Dropped == 1);

  if (EndsAttempt) {
    // The target has answered, so this attempt has ended.
    CHECK(Run.hasItem(0, 1));
    Run.handle(LeafAnswered{First.Batch, Right});
    CHECK_FALSE(Run.Done);
    Run.answer(Run.item(0, 1));
  } else {
    CHECK_FALSE(Run.hasItem(0, 1));
    Run.handle(LeafAnswered{First.Batch, Right});
  }
  REQUIRE(Run.Done);
  QueryAnswer Answer = Run.Search->takeAnswer();
  CHECK(Answer.Result == Code::Ok);
  CHECK(Answer.Rows == "[0,1,2,3,4,5,6,7]");
}

// Guards against a shard that is counted or merged more than once.
TEST_CASE("each shard counts once", "[query]") {
  QueryRun Run(makeView({.Leaves = 4}));
  Run.handle(QueryStarted{});

  SECTION("when a reply is delivered twice") {
    Run.answer(Run.item(1));
    Run.answer(Run.item(1));
    CHECK(Run.Search->counts().Dropped == 1);
    Run.answerAllBut({1});
  }

  SECTION("when the first attempt answers after its hedge") {
    makeLeafZeroLate(Run);
    REQUIRE(Run.hasItem(0, 1));
    Run.answer(Run.item(0, 1));
    Run.answer(Run.item(0, 0));
  }

  SECTION("when a truncated reply is followed by a whole one") {
    const SentItem First = Run.item(0);
    LeafReply Truncated = answerTo(Run.Sent[First.Batch], First.Item);
    Truncated.Parts.pop_back();
    Run.handle(LeafAnswered{First.Batch, Truncated});
    REQUIRE(Run.hasItem(0, 1));
    const SentItem Second = Run.item(0, 1);

    SECTION("only the missing shard is asked from another slot") {
      CHECK(Second.Item.Slot != First.Item.Slot);
      CHECK(Second.Item.Shards == std::vector<ShardId>{1});
    }

    // The target answers with more shards than were requested.
    LeafReply Whole = answerTo(Run.Sent[Second.Batch], Second.Item);
    Whole.Parts.insert(Whole.Parts.begin(), {0, 1, "[0]"});
    Run.handle(LeafAnswered{Second.Batch, Whole});
    Run.answerAllBut({0});
  }

  REQUIRE(Run.Done);
  QueryAnswer Answer = Run.Search->takeAnswer();
  CHECK(Answer.Rows == "[0,1,2,3,4,5,6,7]");
  CHECK(Answer.Covered.Weight == Answer.Covered.TotalWeight);
  CHECK(Answer.Covered.ShardsAnswered == 8);
}

// Guards against answers that mix two snapshots (invariant 1).
TEST_CASE("a query keeps the snapshot that it started with", "[query]") {
  Ref<RoutingView> View = makeView({.Leaves = 3});
  QueryRun Run(View);
  Run.handle(QueryStarted{});
  Run.answer(Run.item(0));

  // Shard 2 is split into 20 and 21, and shards 4 and 5 become shard 40, while
  // the query runs.
  Ref<RoutingView> Next = makeRef<RoutingView>(*View);
  CatalogSnapshot Changed;
  Changed.Id = SnapshotId{8};
  Changed.Complete = true;
  Changed.Shards = {{0, 0, 10}, {1, 0, 11}, {20, 1, 6},
                    {21, 1, 6}, {3, 1, 13}, {40, 2, 29}};
  Next->Services[{"portal"}].Snapshots.push_back(Changed);
  Ref<const RoutingIndex> NextIndex =
      buildIndex(Next, makeLocation(), Run.Stats);
  REQUIRE(NextIndex->service({"portal"})->Snapshot == SnapshotId{8});

  SECTION("a target that already answers from the new one is not merged") {
    const SentItem Asked = Run.item(1);
    LeafReply Reply = answerTo(Run.Sent[Asked.Batch], Asked.Item);
    Reply.Snapshot = SnapshotId{8};
    Reply.Parts = {{20, 1, "[20]"}, {21, 1, "[21]"}, {3, 1, "[3]"}};
    Run.handle(LeafAnswered{Asked.Batch, Reply});

    SECTION("even if it claims the old snapshot's number") {
      const SentItem Again = Run.item(1, 1);
      Reply.Attempt = 1;
      Reply.Slot = Again.Item.Slot;
      Reply.Snapshot = SnapshotId{7};
      Run.handle(LeafAnswered{Again.Batch, Reply});
      CHECK(Run.hasItem(1, 2));
    }
    Run.answer(Run.item(2));
    Run.wakeAt(TimeLeft);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Partial);
    CHECK(Answer.Rows == "[0,1,4,5]");
    CHECK(Answer.Covered.Missing == std::vector<ShardId>{2, 3});
  }

  SECTION("targets that still have the old one complete it") {
    Run.answerAllBut({0});
    REQUIRE(Run.Done);
    CHECK(Run.Search->takeAnswer().Rows == "[0,1,2,3,4,5]");
  }

  SECTION("a target without the old one is replaced by another slot") {
    Run.failWith(Run.item(1), Code::SnapshotAbsent);
    REQUIRE(Run.hasItem(1, 1));
    CHECK(Run.Sent[Run.item(1, 1).Batch].Snapshot == SnapshotId{7});
    CHECK(Run.item(1, 1).Item.Slot != Run.item(1).Item.Slot);
  }
}

// Guards against a reported coverage that differs from the replies that arrived
// in time (invariant 2), for many random schedules of answers, failures and
// replies to other queries.
TEST_CASE("coverage is exactly what answered before the deadline", "[query]") {
  for (std::uint32_t Seed = 1; Seed <= 300; ++Seed) {
    Engine Random(Seed);
    const WorldShape Shape{.Leaves = 1 + draw(Random, 12),
                           .Slots = 1 + draw(Random, 4),
                           .ShardsPerLeaf = 1 + draw(Random, 4),
                           .Domains = 1 + draw(Random, 3)};
    QueryRun Run(makeView(Shape), 1.0, Seed);
    Run.handle(QueryStarted{});
    std::map<ShardId, std::string> Expected;

    while (!Run.Done) {
      // Picks a random sent item and advances the time by a random amount.
      Run.Now += Duration(draw(Random, 8000));
      const auto Items = Run.items();
      auto Chosen = Items.begin();
      std::advance(Chosen, draw(Random, Items.size()));
      const SentItem &Item = Chosen->second;
      LeafReply Reply = answerTo(Run.Sent[Item.Batch], Item.Item);
      for (ShardPart &Part : Reply.Parts)
        Part.Rows = "[\"" + std::to_string(Part.Shard) + "@" +
                    std::to_string(Item.Item.Attempt) + "\"]";
      const std::uint32_t Kind = draw(Random, 8);
      bool Counts = true;
      if (Kind == 0) {
        Reply.Query = QueryId{98};
        Counts = false;
      } else if (Kind == 1) {
        Reply.Attempt += 1;
        Reply.Slot += 1;
        Counts = false;
      } else if (Kind == 2) {
        Reply.Parts.resize(draw(Random, Reply.Parts.size() + 1));
      } else if (Kind == 3) {
        Reply.Result = Code::TargetFailed;
        Reply.Parts.clear();
        Counts = false;
      } else if (Kind == 4) {
        Run.handle(TimeReached{});
        continue;
      }
      // Once the deadline has passed, no reply counts.
      if (Run.Now >= Run.Started + TimeLeft) {
        Run.handle(TimeReached{});
        REQUIRE(Run.Done);
        Run.handle(LeafAnswered{Item.Batch, Reply});
        break;
      }
      // A reply to an ended attempt is dropped and does not count.
      const std::uint32_t Dropped = Run.Search->counts().Dropped;
      std::map<ShardId, std::string> Arrived;
      for (const ShardPart &Part : Reply.Parts)
        Arrived[Part.Shard] = Part.Rows;
      Run.handle(LeafAnswered{Item.Batch, Reply});
      if (Counts && Run.Search->counts().Dropped == Dropped)
        Expected.insert(Arrived.begin(), Arrived.end());
    }

    INFO("seed " << Seed);
    QueryAnswer Answer = Run.Search->takeAnswer();
    std::string Rows;
    std::uint64_t Weight = 0;
    for (const auto &[Shard, Text] : Expected) {
      Rows += (Rows.empty() ? "" : ",") + Text.substr(1, Text.size() - 2);
      Weight += 10 + Shard % 7;
    }
    CHECK(Answer.Rows == "[" + Rows + "]");
    CHECK(Answer.Covered.Weight == Weight);
    CHECK(Answer.Covered.ShardsAnswered == Expected.size());
    CHECK(Answer.Covered.Missing.size() ==
          std::size_t{Shape.Leaves} * Shape.ShardsPerLeaf - Expected.size());
    for (ShardId Shard : Answer.Covered.Missing)
      CHECK_FALSE(Expected.contains(Shard));
    CHECK(Run.inFlightOfAllSlots() == 0);
  }
}

// Guards against hedges that go to the same slow target, and against superseded
// attempts that are not cancelled.
TEST_CASE("a late leaf is asked at another slot", "[query]") {
  QueryRun Run(makeView({.Leaves = 4}));
  Run.handle(QueryStarted{});
  const Duration Delay = Run.Delay;

  SECTION("not before the hedge delay") {
    Run.answerAllBut({0});
    CHECK(Run.Wake == Run.Started + Delay);
    Run.wakeAt(Delay - Duration(1));
    CHECK_FALSE(Run.hasItem(0, 1));
  }

  SECTION("once the hedge delay is over") {
    makeLeafZeroLate(Run);
    REQUIRE(Run.hasItem(0, 1));
    CHECK(Run.item(0, 1).Item.Slot != Run.item(0).Item.Slot);
    CHECK(Run.extraRequests() == 1);

    SECTION("the loser is cancelled when the hedge answers") {
      Run.answer(Run.item(0, 1));
      REQUIRE(Run.Done);
      // All other leaves of the first batch have answered, so it is cancelled.
      CHECK(Run.Cancelled.contains(Run.item(0).Batch));
      CHECK(Run.Search->takeAnswer().Result == Code::Ok);
    }

    SECTION("the hedge is cancelled when the first attempt answers") {
      Run.answer(Run.item(0));
      REQUIRE(Run.Done);
      CHECK(Run.Cancelled == std::set<std::uint32_t>{Run.item(0, 1).Batch});
    }

    SECTION("a third slot is the last one") {
      Run.wakeAt(4 * Delay);
      Run.wakeAt(6 * Delay);
      Run.wakeAt(8 * Delay);
      std::set<SlotIndex> Slots;
      for (const auto &[Key, Item] : Run.items())
        if (Key.first == 0)
          Slots.insert(Item.Item.Slot);
      CHECK(Slots.size() == 3);
      CHECK(Run.extraRequests() == 2);
    }
  }
}

// Guards against retries at the failed slot, retries of quarantined requests,
// and failures that are reported under a wrong code.
TEST_CASE("a failed leaf is asked at another slot", "[query]") {
  QueryRun Run(makeView({.Leaves = 4}));
  Run.handle(QueryStarted{});

  SECTION("whatever the reason is") {
    const Code Reason =
        GENERATE(Code::TargetShed, Code::SnapshotAbsent, Code::TargetFailed,
                 Code::ColdLimited, Code::PeerUnreachable, Code::TargetLeaving,
                 Code::NotOwner, Code::NoUsableSlot, Code::TargetMalformed);
    Run.answerAllBut({0});
    Run.failWith(Run.item(0), Reason);
    REQUIRE(Run.hasItem(0, 1));
    CHECK(Run.item(0, 1).Item.Slot != Run.item(0).Item.Slot);
    Run.answer(Run.item(0, 1));
    REQUIRE(Run.Done);
    CHECK(Run.Search->takeAnswer().Result == Code::Ok);
  }

  SECTION("when its holder cannot be reached") {
    const SentItem Lost = Run.item(0);
    const std::size_t Batches = Run.Sent.size();
    Run.handle(BatchClosed{Lost.Batch, Code::PeerUnreachable, false});
    for (const LeafItem &Item : Run.Sent[Lost.Batch].Items)
      CHECK(Run.hasItem(Item.Leaf, 1));

    SECTION("with few messages") { CHECK(Run.Sent.size() <= Batches + 2); }

    SECTION("and other holders are preferred for a while") {
      const HolderStats &Stats = *Run.Search->holderOf(Lost.Batch).Stats;
      CHECK(Stats.avoided(Run.Now));
      CHECK_FALSE(Stats.avoided(Run.Now + HolderStats::AvoidTime));
    }
  }

  SECTION("when the stream of its holder ends without its answer") {
    Run.handle(BatchClosed{Run.item(0).Batch, Code::Ok, true});
    CHECK(Run.hasItem(0, 1));
  }

  SECTION("but a quarantined request is not tried again") {
    for (const auto &[Key, Item] : Run.items())
      Run.failWith(Item, Code::Quarantined);
    REQUIRE(Run.Done);
    CHECK(Run.extraRequests() == 0);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Quarantined);
    CHECK(Answer.Ran == Outcome::NotRun);
  }
}

// Guards against leaves that are abandoned although the budget refills in time,
// and against queries that wait for it until their deadline.
TEST_CASE("a failed leaf waits for the budget", "[query]") {
  QueryRun Run(makeView({.Leaves = 2}), 1.0, 1, false);
  Run.handle(QueryStarted{});
  Run.failWith(Run.item(0), Code::ColdLimited);
  Run.failWith(Run.item(1), Code::ColdLimited);
  CHECK_FALSE(Run.Done);
  CHECK(Run.extraRequests() == 0);
  Run.wakeAt(Run.Delay);
  CHECK_FALSE(Run.Done);

  SECTION("and is sent again when other queries have filled it") {
    Run.Budget.earn(1000);
    Run.wakeAt(2 * Run.Delay);
    REQUIRE(Run.hasItem(0, 1));
    REQUIRE(Run.hasItem(1, 1));
    Run.answer(Run.item(0, 1));
    Run.answer(Run.item(1, 1));
    REQUIRE(Run.Done);
    CHECK(Run.Search->takeAnswer().Result == Code::Ok);
  }

  SECTION("for half of the time at most") {
    Run.wakeAt(TimeLeft / 2 - Millisecond);
    CHECK_FALSE(Run.Done);
    Run.wakeAt(TimeLeft / 2);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Overloaded);
    CHECK(Answer.Ran == Outcome::NotRun);
    CHECK(Run.Search->counts().LastFailure == Code::ColdLimited);
  }
}

// Guards against an answer that reports NotRun although a target may have
// started the request (invariant 7).
TEST_CASE("the outcome of an unanswered search is true", "[query]") {
  QueryRun Run(makeView({.Leaves = 2, .Slots = 1}), 1.0, 1, false);
  Run.handle(QueryStarted{});

  SECTION("refused for load by every target: not run") {
    Run.failWith(Run.item(0), Code::TargetShed);
    Run.failWith(Run.item(1), Code::ColdLimited);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Overloaded);
    CHECK(Answer.Ran == Outcome::NotRun);
  }

  SECTION("no holder could be reached: not run") {
    for (const auto &[Number, Batch] : std::map(Run.Sent))
      Run.handle(BatchClosed{Number, Code::PeerUnreachable, false});
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::NoCoverage);
    CHECK(Answer.Ran == Outcome::NotRun);
  }

  SECTION("a holder was lost after the request was sent: unknown") {
    for (const auto &[Number, Batch] : std::map(Run.Sent))
      Run.handle(BatchClosed{Number, Code::PeerUnreachable, true});
    REQUIRE(Run.Done);
    CHECK(Run.Search->takeAnswer().Ran == Outcome::Unknown);
  }

  SECTION("one target failed while it ran: unknown") {
    Run.failWith(Run.item(0), Code::TargetShed);
    Run.failWith(Run.item(1), Code::TargetFailed);
    REQUIRE(Run.Done);
    CHECK(Run.Search->takeAnswer().Ran == Outcome::Unknown);
  }

  SECTION("nothing answered before the deadline: unknown") {
    Run.wakeAt(TimeLeft);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::DeadlineExceeded);
    CHECK(Answer.Ran == Outcome::Unknown);
    CHECK(Answer.Rows == "[]");
  }
}

// Guards against queries that wait for the deadline although the wanted
// coverage is reached, and against earlier answers below that coverage.
TEST_CASE("a partial answer goes out early if it is enough", "[query]") {
  // Leaf 0 holds 21 of the total weight of 101.
  QueryRun Run(makeView({.Leaves = 4}), 0.75);
  Run.handle(QueryStarted{});
  const Duration Delay = Run.Delay;

  SECTION("once the rest is late and its hedge had its time") {
    makeLeafZeroLate(Run);
    CHECK_FALSE(Run.Done);
    Run.wakeAt(2 * Delay);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Partial);
    CHECK(Answer.Covered.share() >= 0.75);
  }

  SECTION("not below the wanted coverage") {
    Run.answerAllBut({0, 1});
    Run.wakeAt(2 * Delay);
    CHECK_FALSE(Run.Done);
    Run.answer(Run.item(1));
    CHECK(Run.Done);
  }

  SECTION("not while the rest is on time") {
    Run.answerAllBut({0});
    Run.wakeAt(Delay);
    CHECK_FALSE(Run.Done);
  }
}

// Guards against a query that mixes back end versions.
TEST_CASE("every leaf of a query uses one version", "[query]") {
  Ref<RoutingView> View = makeView({.Leaves = 6, .Slots = 4});
  ServiceCatalog &Catalog = View->Services[{"portal"}];
  for (CatalogLeaf &Leaf : Catalog.Leaves)
    for (CatalogSlot &Slot : Leaf.Slots)
      Slot.Version = {Slot.Index % 2 == 0 ? "v1" : "v2"};
  TrafficSplit Split{{"v1"}, {"v2"}, 0.25};
  StatsTable Stats;

  SECTION("the request id decides, in proportion to the split") {
    Ref<const RoutingIndex> Index = buildIndex(View, makeLocation(), Stats);
    const ServiceIndex &Service = *Index->service({"portal"});
    int Next = 0;
    for (int Number = 0; Number < 20000; ++Number) {
      const RequestId Request{"request-" + std::to_string(Number)};
      const VersionRoutes *Routes = Service.choose(&Split, Request);
      CHECK(Routes == Service.choose(&Split, Request));
      Next += Routes->Version == VersionName{"v2"} ? 1 : 0;
      for (const LeafRoute &Leaf : Routes->Leaves)
        CHECK(Leaf.SlotCount == 2);
    }
    // 5,000 are expected; four standard deviations are 245.
    CHECK(Next > 4755);
    CHECK(Next < 5245);
  }

  SECTION("a version without a slot on some leaf is not used") {
    for (CatalogSlot &Slot : Catalog.Leaves[2].Slots)
      Slot.Version = {"v1"};
    Ref<const RoutingIndex> Index = buildIndex(View, makeLocation(), Stats);
    Split.NextShare = 1.0;
    CHECK(Index->service({"portal"})->choose(&Split, {"any"})->Version ==
          VersionName{"v1"});
  }
}

// Guards against requests to slots that must not be used (invariants 4 and 9).
TEST_CASE("slots that may not be used are not planned", "[query]") {
  Ref<RoutingView> View = makeView({.Leaves = 40});

  SECTION("in a drained failure domain") {
    View->Configuration.Lines.push_back({DrainRule{domainName(0)}, "test", 1});
  }
  SECTION("that are leaving by the catalog") {
    for (CatalogLeaf &Leaf : View->Services[{"portal"}].Leaves)
      Leaf.Slots[0].Leaving = true;
  }
  SECTION("that are leaving by a notice") {
    for (LeafIndex Leaf = 0; Leaf < 40; ++Leaf)
      View->LeavingSlots.insert({{"portal"}, Leaf, 0});
  }
  SECTION("without an alive lane owner") {
    for (auto &[Name, Node] : View->Nodes)
      Node.Alive = Node.Domain != domainName(0);
  }

  QueryRun Run(View);
  Run.handle(QueryStarted{});
  for (const auto &[Key, Item] : Run.items())
    CHECK(Item.Item.Slot != 0);
  CHECK(Run.items().size() == 40);
}
