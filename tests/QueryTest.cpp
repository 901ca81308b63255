#include "tests/QueryWorld.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

constexpr Duration Millisecond = std::chrono::milliseconds(1);

/// A query on virtual time whose effects are kept for inspection.
struct QueryRun {
  explicit QueryRun(const WorldShape &Shape, double WantedCoverage = 1.0,
                    std::uint64_t Seed = 1)
      : Index(buildIndex(makeView(Shape), makeLocation(), Stats)) {
    QueryInput Input;
    Input.Id = QueryId{99};
    Input.Request = {"request-1"};
    Input.Route = {"find"};
    Input.Body = "{}";
    Input.Deadline = this->Now + 160 * Millisecond;
    Input.WantedCoverage = WantedCoverage;
    Input.Seed = Seed;
    const ServiceIndex &Service = *this->Index->service({"portal"});
    this->Search.emplace(Input, Service,
                         *Service.choose(nullptr, Input.Request), this->Budget);
    // Tests that are not about the budget find it filled.
    this->Budget.earn(2000);
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

  void answer(std::uint32_t Batch, const LeafItem &Item) {
    this->handle(LeafAnswered{Batch, answerTo(this->Sent[Batch], Item)});
  }

  /// Answers all items of the batches that were sent up to now.
  void answerAll() {
    const std::map<std::uint32_t, LeafBatch> Batches = this->Sent;
    for (const auto &[Number, Batch] : Batches)
      for (const LeafItem &Item : Batch.Items)
        if (!this->Done)
          this->answer(Number, Item);
  }

  void wakeAt(TimePoint At) {
    this->Now = At;
    this->handle(TimeReached{});
  }

  TimePoint Now{Duration(1'000'000)};
  StatsTable Stats;
  Ref<const RoutingIndex> Index;
  ExtraLoadBudget Budget;
  std::optional<Query> Search;
  std::map<std::uint32_t, LeafBatch> Sent;
  std::set<std::uint32_t> Cancelled;
  TimePoint Wake{};
  bool Done = false;
};

} // namespace

// Guards against answers that are incomplete, doubled or out of order although
// every target answered.
TEST_CASE("a search is planned, answered and merged", "[query]") {
  QueryRun Run({.Leaves = 4});
  Run.handle(QueryStarted{});

  SECTION("each leaf is asked once for all its shards") {
    std::map<LeafIndex, std::size_t> Asked;
    for (const auto &[Number, Batch] : Run.Sent)
      for (const LeafItem &Item : Batch.Items)
        Asked[Item.Leaf] += Item.Shards.size();
    CHECK(Asked ==
          std::map<LeafIndex, std::size_t>{{0, 2}, {1, 2}, {2, 2}, {3, 2}});

    SECTION("and when all have answered, the rows are merged by shard") {
      Run.answerAll();
      REQUIRE(Run.Done);
      QueryAnswer Answer = Run.Search->takeAnswer();
      CHECK(Answer.Result == Code::Ok);
      CHECK(Answer.Ran == Outcome::Ran);
      CHECK(Answer.Rows == "[0,1,2,3,4,5,6,7]");
      CHECK(Answer.Covered.share() == 1.0);
      CHECK(Answer.Covered.Missing.empty());
    }
  }

  SECTION("a leaf that does not answer is missing at the deadline") {
    const auto [Number, Batch] = *Run.Sent.begin();
    for (const auto &[Other, Whole] : std::map(Run.Sent))
      for (const LeafItem &Item : Whole.Items)
        if (Item.Leaf != 0)
          Run.answer(Other, Item);
    CHECK_FALSE(Run.Done);
    Run.wakeAt(Run.Now + 160 * Millisecond);
    REQUIRE(Run.Done);
    QueryAnswer Answer = Run.Search->takeAnswer();
    CHECK(Answer.Result == Code::Partial);
    CHECK(Answer.Rows == "[2,3,4,5,6,7]");
    CHECK(Answer.Covered.Missing == std::vector<ShardId>{0, 1});
  }
}
