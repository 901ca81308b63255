// Measures the cost of planning and merging one query. Counts allocations;
// scripts/cost.sh counts instructions with valgrind, so that other load on the
// machine does not affect the result.

#include "tests/QueryWorld.h"

#include <atomic>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <new>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

std::atomic<std::uint64_t> Allocations{0};

} // namespace

// Not inlined: otherwise g++ 12 inlines free() but not operator new and warns
// that the two do not match.
[[gnu::noinline]] void *operator new(std::size_t Size) {
  Allocations.fetch_add(1, std::memory_order_relaxed);
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory,
                                       std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace {

constexpr TimePoint Start{std::chrono::seconds(1)};
constexpr Duration QueryTimeLimit = std::chrono::milliseconds(160);

/// Steps of a query that are measured separately.
enum class Step { Plan, Messages, Merge, Finish };

constexpr std::array<std::pair<Step, const char *>, 4> Steps = {{
    {Step::Plan, "plan"},
    {Step::Messages, "messages"},
    {Step::Merge, "merge"},
    {Step::Finish, "finish"},
}};

// The steps are functions that are not inlined, so that callgrind lists them by
// name; scripts/cost.sh finds them as <step>Step.
[[gnu::noinline]] void planStep(std::optional<Query> &Search, QueryInput Input,
                                const ServiceIndex &Service,
                                ExtraLoadBudget &Budget,
                                QueryEffects &Effects) {
  Search.emplace(std::move(Input), Service, Service.Versions[0], Budget);
  Search->handle(QueryStarted{}, Start, Effects);
}

[[gnu::noinline]] std::vector<LeafBatch> messagesStep(const Query &Search) {
  std::vector<LeafBatch> Messages;
  Messages.reserve(Search.counts().Batches);
  for (std::uint32_t Batch = 0; Batch < Search.counts().Batches; ++Batch)
    Messages.push_back(Search.message(Batch, Start));
  return Messages;
}

[[gnu::noinline]] void mergeStep(Query &Search,
                                 std::vector<LeafAnswered> &Answers,
                                 QueryEffects &Effects) {
  for (LeafAnswered &Answer : Answers)
    Search.handle(std::move(Answer), Start + QueryTimeLimit / 8, Effects);
}

[[gnu::noinline]] QueryAnswer finishStep(Query &Search) {
  return Search.takeAnswer();
}

/// Number of allocations, indexed by Step.
using AllocationsByStep = std::array<std::uint64_t, Steps.size()>;

AllocationsByStep runQuery(const ServiceIndex &Service, ExtraLoadBudget &Budget,
                           std::uint64_t Seed) {
  AllocationsByStep Result{};
  std::uint64_t Before = 0;
  auto Record = [&](Step Measured) {
    Result[static_cast<std::size_t>(Measured)] = Allocations - Before;
  };
  QueryInput Input;
  Input.Deadline = Start + QueryTimeLimit;
  Input.Seed = Seed;
  QueryEffects Effects;
  Effects.reserve(64);

  Before = Allocations;
  std::optional<Query> Search;
  planStep(Search, std::move(Input), Service, Budget, Effects);
  Record(Step::Plan);

  Before = Allocations;
  const std::vector<LeafBatch> Messages = messagesStep(*Search);
  Record(Step::Messages);

  std::vector<LeafAnswered> Answers;
  for (std::uint32_t Batch = 0; Batch < Messages.size(); ++Batch)
    for (const LeafItem &Item : Messages[Batch].Items)
      Answers.push_back({Batch, answerTo(Messages[Batch], Item)});
  // Rows of equal size, so that the cost depends only on the number of leaves.
  for (LeafAnswered &Answer : Answers)
    for (ShardPart &Part : Answer.Reply.Parts)
      Part.Rows = R"([{"title":"a row of some length"}])";

  Before = Allocations;
  mergeStep(*Search, Answers, Effects);
  Record(Step::Merge);

  Before = Allocations;
  const QueryAnswer Answer = finishStep(*Search);
  Record(Step::Finish);
  if (Answer.Result != Code::Ok)
    throw std::runtime_error("the query was not answered in full");
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-QueryCost",
                           "Plans and merges queries; prints allocations.\n");
  Options.add_options()("leaves", "leaves of the service",
                        cxxopts::value<std::uint32_t>()->default_value("270"))(
      "queries", "number of queries",
      cxxopts::value<std::uint32_t>()->default_value("100"))(
      "seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "print this text");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    const auto Leaves = Parsed["leaves"].as<std::uint32_t>();
    const auto Queries = Parsed["queries"].as<std::uint32_t>();
    const auto Seed = Parsed["seed"].as<std::uint64_t>();
    StatsTable Stats;
    ExtraLoadBudget Budget;
    const Ref<const RoutingIndex> Index =
        buildIndex(makeView({.Leaves = Leaves,
                             .Slots = 4,
                             .ShardsPerLeaf = 2,
                             .Domains = 4,
                             .NodesPerDomain = 120}),
                   makeLocation(), Stats);
    const ServiceIndex &Service = *Index->service({"portal"});
    AllocationsByStep Sum{};
    for (std::uint32_t Query = 0; Query < Queries; ++Query) {
      const AllocationsByStep Allocated =
          runQuery(Service, Budget, Seed + Query);
      for (std::size_t StepIndex = 0; StepIndex < Sum.size(); ++StepIndex)
        Sum[StepIndex] += Allocated[StepIndex];
    }
    for (const auto &[Measured, Name] : Steps)
      std::cout << Leaves << ' ' << Name << ' '
                << static_cast<double>(
                       Sum[static_cast<std::size_t>(Measured)]) /
                       Queries
                << '\n';
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "bench-QueryCost: " << Fault.what() << '\n';
    return 2;
  }
  return 0;
}
