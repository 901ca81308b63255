// Compares the request policy with a plain baseline (round robin, fixed
// timeout, one retry) in virtual time. Both arms get the same arrivals and the
// same answer time for the same query, leaf and slot.

#include "tests/VirtualFleet.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/taus88.hpp>
#include <boost/random/uniform_01.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <xxhash.h>

using namespace balsamyard;
using namespace balsamyard::testing;

namespace {

constexpr std::uint32_t LeafCount = 20;
constexpr std::uint32_t SlotCount = 3;
constexpr int Rounds = 5;
constexpr double QueriesPerSecond = 200;
constexpr Duration QueryTimeLimit = std::chrono::milliseconds(160);

/// Queries at the start of a round that both arms leave out of the latencies
/// and coverage, so that the policy has learned before they are evaluated.
constexpr std::size_t WarmUpQueries = 400;

/// Timeout of the baseline: about the 99.9th percentile of a healthy leaf.
constexpr Duration BaselineTimeout = std::chrono::milliseconds(40);

/// Service time of a healthy target: log-normal, and one answer in 100 takes 5
/// times as long.
constexpr double MedianServiceMicros = 6000;
constexpr double ServiceTimeSigma = 0.35;
constexpr double SlowAnswerShare = 0.01;
constexpr double SlowAnswerFactor = 5;

enum class Fault { None, Straggler, LostReplica, AllSlow };
enum class Arm { Policy, Baseline };

constexpr std::array<std::pair<Fault, const char *>, 4> Faults = {{
    {Fault::None, "healthy"},
    {Fault::Straggler, "straggler"},
    {Fault::LostReplica, "lost-replica"},
    {Fault::AllSlow, "all-slow"},
}};

struct Network {
  const char *Name;
  Duration CrossDomainRoundTrip; ///< Round trip to another failure domain.
  std::uint32_t Regions;
};

/// Networks of the two deployments: 1 ms between failure domains of a region, 8
/// ms between regions.
constexpr std::array<Network, 2> Networks = {{
    {"one-region", std::chrono::milliseconds(1), 1},
    {"three-regions", std::chrono::milliseconds(8), 3},
}};

/// The faulty slot is in the failure domain of the entry process, where a fault
/// does the most harm.
constexpr bool isFaulty(LeafIndex Leaf, SlotIndex Slot) {
  return Leaf == 0 && Slot == 0;
}

/// Computes the answer to a leaf request from the seed, query, leaf and slot
/// alone, so that both arms get the same answers.
class AnswerModel {
public:
  AnswerModel(std::uint64_t Seed, Fault Kind, const Network &Net)
      : Seed(Seed), Kind(Kind), Net(Net) {}

  TargetAnswer operator()(const TargetRequest &Request) const {
    const std::array<std::uint64_t, 4> Key = {this->Seed, Request.Query,
                                              Request.Leaf, Request.Slot};
    boost::random::taus88 Random(
        static_cast<std::uint32_t>(XXH3_64bits(Key.data(), sizeof(Key))));
    Random.discard(4);
    double Micros =
        MedianServiceMicros *
        boost::random::lognormal_distribution<>(0.0, ServiceTimeSigma)(Random);
    if (boost::random::uniform_01<>()(Random) < SlowAnswerShare)
      Micros *= SlowAnswerFactor;
    if (this->Kind == Fault::AllSlow)
      Micros *= 5;
    if (this->Kind == Fault::Straggler && isFaulty(Request.Leaf, Request.Slot))
      Micros *= 10;
    TargetAnswer Answer;
    Answer.Takes = Duration(static_cast<std::int64_t>(Micros));
    if (Request.Slot != 0)
      Answer.Takes += this->Net.CrossDomainRoundTrip;
    Answer.Answers = this->Kind != Fault::LostReplica ||
                     !isFaulty(Request.Leaf, Request.Slot);
    return Answer;
  }

private:
  std::uint64_t Seed;
  Fault Kind;
  Network Net;
};

/// Latency and coverage of one finished query.
struct Sample {
  Duration Latency{};
  double Coverage = 0;
};

struct ArmResult {
  std::vector<Sample> Samples;
  double ExtraLoad = 0;
};

std::vector<TimePoint> arrivals(std::uint64_t Seed, std::size_t Queries) {
  boost::random::taus88 Random(static_cast<std::uint32_t>(Seed * 7919 + 1));
  boost::random::exponential_distribution<> Seconds(QueriesPerSecond);
  std::vector<TimePoint> Result;
  TimePoint Now{std::chrono::seconds(1)};
  for (std::size_t Query = 0; Query < Queries; ++Query) {
    Now += Duration(static_cast<std::int64_t>(Seconds(Random) * 1e6));
    Result.push_back(Now);
  }
  return Result;
}

ArmResult runPolicy(const Network &Net, const AnswerModel &Model,
                    const std::vector<TimePoint> &Arrivals,
                    std::uint64_t Seed) {
  VirtualFleet Fleet({.Leaves = LeafCount,
                      .Slots = SlotCount,
                      .ShardsPerLeaf = 1,
                      .Domains = SlotCount,
                      .Regions = Net.Regions},
                     Model);
  for (std::size_t Query = 0; Query < Arrivals.size(); ++Query)
    Fleet.submit(Arrivals[Query], QueryTimeLimit, 1.0,
                 Seed * 1'000'000 + Query);
  Fleet.run();
  ArmResult Result;
  for (const FleetResult &Finished : Fleet.results())
    Result.Samples.push_back({Finished.Took, Finished.Answer.Covered.share()});
  const auto FirstAttempts = static_cast<double>(Arrivals.size() * LeafCount);
  Result.ExtraLoad =
      static_cast<double>(Fleet.leafRequests()) / FirstAttempts - 1;
  return Result;
}

ArmResult runBaseline(const AnswerModel &Model,
                      const std::vector<TimePoint> &Arrivals) {
  ArmResult Result;
  std::uint64_t Retries = 0;
  for (std::size_t Query = 0; Query < Arrivals.size(); ++Query) {
    Sample Merged;
    std::uint32_t Answered = 0;
    for (LeafIndex Leaf = 0; Leaf < LeafCount; ++Leaf) {
      const auto FirstSlot = static_cast<SlotIndex>((Query + Leaf) % SlotCount);
      const auto RetrySlot =
          static_cast<SlotIndex>((FirstSlot + 1) % SlotCount);
      const TargetAnswer FirstAnswer =
          Model({Query, Leaf, FirstSlot, 0, Arrivals[Query]});
      Duration Latency = FirstAnswer.Takes;
      bool Answers = FirstAnswer.Answers;
      if (!FirstAnswer.Answers || FirstAnswer.Takes > BaselineTimeout) {
        ++Retries;
        const TargetAnswer RetryAnswer =
            Model({Query, Leaf, RetrySlot, 1, Arrivals[Query]});
        Latency = BaselineTimeout + RetryAnswer.Takes;
        Answers = RetryAnswer.Answers;
      }
      if (Answers && Latency < QueryTimeLimit)
        ++Answered;
      Merged.Latency =
          std::max(Merged.Latency, Answers ? std::min(Latency, QueryTimeLimit)
                                           : QueryTimeLimit);
    }
    Merged.Coverage = static_cast<double>(Answered) / LeafCount;
    Result.Samples.push_back(Merged);
  }
  Result.ExtraLoad = static_cast<double>(Retries) /
                     static_cast<double>(Arrivals.size() * LeafCount);
  return Result;
}

/// Results of one arm in one round; latencies in ms.
struct Figures {
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
  double WholeShare = 0; ///< Of queries, answered in full in time.
  double Coverage = 0;   ///< Mean over the queries.
  double ExtraLoad = 0;
};

Figures evaluate(ArmResult Result) {
  Result.Samples.erase(Result.Samples.begin(),
                       Result.Samples.begin() +
                           static_cast<std::ptrdiff_t>(WarmUpQueries));
  std::sort(Result.Samples.begin(), Result.Samples.end(),
            [](const Sample &Left, const Sample &Right) {
              return Left.Latency < Right.Latency;
            });
  const auto Count = static_cast<double>(Result.Samples.size());
  auto Quantile = [&](double Share) {
    const auto Rank = static_cast<std::size_t>(Share * (Count - 1));
    return std::chrono::duration<double, std::milli>(
               Result.Samples[Rank].Latency)
        .count();
  };
  Figures Value{Quantile(0.5), Quantile(0.99), Quantile(0.999)};
  for (const Sample &Query : Result.Samples) {
    Value.WholeShare += Query.Coverage >= 1.0 ? 1 / Count : 0;
    Value.Coverage += Query.Coverage / Count;
  }
  Value.ExtraLoad = Result.ExtraLoad;
  return Value;
}

/// Median, minimum and maximum over the rounds.
struct Spread {
  double Median = 0;
  double Low = 0;
  double High = 0;
};

Spread medianAndRange(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return {Values[Values.size() / 2], Values.front(), Values.back()};
}

std::string toText(const Spread &Value, double Factor, int Digits) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(Digits) << Value.Median * Factor
       << " (" << Value.Low * Factor << ".." << Value.High * Factor << ")";
  return Text.str();
}

nlohmann::ordered_json toJson(const Spread &Value) {
  return {{"median", Value.Median}, {"low", Value.Low}, {"high", Value.High}};
}

using FiguresByRound = std::vector<Figures>;

Spread medianAndRangeOf(const FiguresByRound &Runs, double Figures::*Field) {
  std::vector<double> Values;
  for (const Figures &Run : Runs)
    Values.push_back(Run.*Field);
  return medianAndRange(Values);
}

const char *armName(Arm TestArm) {
  return TestArm == Arm::Policy ? "policy" : "baseline";
}

using Report = std::map<std::tuple<const char *, Fault, Arm>, FiguresByRound>;

void printTable(const Report &Results, nlohmann::ordered_json &Json) {
  std::cout << std::left << std::setw(15) << "setting" << std::setw(14)
            << "fault" << std::setw(10) << "arm" << std::setw(24) << "p50 ms"
            << std::setw(24) << "p99 ms" << std::setw(27) << "p99.9 ms"
            << std::setw(26) << "whole %" << std::setw(26) << "coverage %"
            << "extra load %\n";
  for (const Network &Net : Networks)
    for (const auto &[Kind, Name] : Faults)
      for (Arm TestArm : {Arm::Policy, Arm::Baseline}) {
        const FiguresByRound &Runs = Results.at({Net.Name, Kind, TestArm});
        const Spread P50 = medianAndRangeOf(Runs, &Figures::P50);
        const Spread P99 = medianAndRangeOf(Runs, &Figures::P99);
        const Spread P999 = medianAndRangeOf(Runs, &Figures::P999);
        const Spread WholeShare = medianAndRangeOf(Runs, &Figures::WholeShare);
        const Spread Covered = medianAndRangeOf(Runs, &Figures::Coverage);
        const Spread Extra = medianAndRangeOf(Runs, &Figures::ExtraLoad);
        std::cout << std::setw(15) << Net.Name << std::setw(14) << Name
                  << std::setw(10) << armName(TestArm) << std::setw(24)
                  << toText(P50, 1, 1) << std::setw(24) << toText(P99, 1, 1)
                  << std::setw(27) << toText(P999, 1, 1) << std::setw(26)
                  << toText(WholeShare, 100, 2) << std::setw(26)
                  << toText(Covered, 100, 3) << toText(Extra, 100, 2) << '\n';
        Json["rows"].push_back({{"setting", Net.Name},
                                {"fault", Name},
                                {"arm", armName(TestArm)},
                                {"p50_ms", toJson(P50)},
                                {"p99_ms", toJson(P99)},
                                {"p999_ms", toJson(P999)},
                                {"whole", toJson(WholeShare)},
                                {"coverage", toJson(Covered)},
                                {"extra_load", toJson(Extra)}});
      }
}

/// Prints the ratio of the p99 with a straggler to the p99 without, over the
/// rounds.
void printRatios(const Report &Results, nlohmann::ordered_json &Json) {
  std::cout << "\np99 with a straggler / p99 without (target of the policy: at "
               "most 1.2)\n";
  for (const Network &Net : Networks)
    for (Arm TestArm : {Arm::Policy, Arm::Baseline}) {
      const FiguresByRound &With =
          Results.at({Net.Name, Fault::Straggler, TestArm});
      const FiguresByRound &Without =
          Results.at({Net.Name, Fault::None, TestArm});
      std::vector<double> Ratios;
      for (std::size_t Round = 0; Round < With.size(); ++Round)
        Ratios.push_back(With[Round].P99 / Without[Round].P99);
      const Spread Ratio = medianAndRange(Ratios);
      std::cout << std::setw(15) << Net.Name << std::setw(10)
                << armName(TestArm) << toText(Ratio, 1, 3) << '\n';
      Json["straggler_ratio"].push_back({{"setting", Net.Name},
                                         {"arm", armName(TestArm)},
                                         {"ratio", toJson(Ratio)}});
    }
}

int run(std::uint64_t Seed, bool Short, const std::string &Out) {
  const std::size_t Queries = Short ? 2000 : 10000;
  Report Results;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::uint64_t RoundSeed = Seed + static_cast<std::uint64_t>(Round);
    const std::vector<TimePoint> Arrivals = arrivals(RoundSeed, Queries);
    for (const Network &Net : Networks)
      for (const auto &[Kind, Name] : Faults) {
        const AnswerModel Model(RoundSeed, Kind, Net);
        Results[{Net.Name, Kind, Arm::Policy}].push_back(
            evaluate(runPolicy(Net, Model, Arrivals, RoundSeed)));
        Results[{Net.Name, Kind, Arm::Baseline}].push_back(
            evaluate(runBaseline(Model, Arrivals)));
      }
  }
  nlohmann::ordered_json Json = {{"seed", Seed},
                                 {"rounds", Rounds},
                                 {"queries_per_round", Queries},
                                 {"warm_up", WarmUpQueries},
                                 {"leaves", LeafCount},
                                 {"slots", SlotCount}};
  std::cout << "seed " << Seed << ", " << Rounds << " rounds, " << Queries
            << " queries each; median (lowest..highest)\n";
  printTable(Results, Json);
  printRatios(Results, Json);
  if (Out.empty())
    return 0;
  std::filesystem::create_directories(Out);
  std::ofstream(Out + "/policy.json") << Json.dump(2) << '\n';
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("bench-Policy",
                           "Compares the request policy with a baseline.\n");
  Options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "out", "folder for policy.json",
      cxxopts::value<std::string>()->default_value(""))(
      "short", "2,000 queries a round instead of 10,000")("help",
                                                          "print this text");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    return run(Parsed["seed"].as<std::uint64_t>(), Parsed.count("short") > 0,
               Parsed["out"].as<std::string>());
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "bench-Policy: " << Fault.what() << '\n';
    return 2;
  }
}
