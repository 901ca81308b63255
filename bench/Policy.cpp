// Compares the request policy with a plain baseline (round robin, fixed
// timeout, one retry) on virtual time. Both arms see the same arrivals and the
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
constexpr Duration TimeLeft = std::chrono::milliseconds(160);

/// Queries that are not evaluated, in which both arms learn.
constexpr std::size_t WarmUp = 400;

/// Timeout of the baseline: about the 99.9th percentile of a healthy leaf.
constexpr Duration BaselineTimeout = std::chrono::milliseconds(40);

/// Service time of a healthy target: median 6 ms, and one answer in 100 takes
/// 5 times as long.
constexpr double MedianMicros = 6000;
constexpr double Sigma = 0.35;
constexpr double HiccupShare = 0.01;
constexpr double HiccupFactor = 5;

enum class Fault { None, Straggler, LostReplica, AllSlow };
enum class Arm { Policy, Baseline };

constexpr std::array<std::pair<Fault, const char *>, 4> Faults = {{
    {Fault::None, "healthy"},
    {Fault::Straggler, "straggler"},
    {Fault::LostReplica, "lost-replica"},
    {Fault::AllSlow, "all-slow"},
}};

struct Setting {
  const char *Name;
  Duration BetweenDomains; ///< Round trip to another failure domain.
  std::uint32_t Regions;
};

/// Delays of the two users: 1 ms between failure domains of a region, 8 ms
/// between regions.
constexpr std::array<Setting, 2> Settings = {{
    {"one-region", std::chrono::milliseconds(1), 1},
    {"three-regions", std::chrono::milliseconds(8), 3},
}};

/// The slot with the fault lies in the entry's own failure domain, which is
/// the worst place for it.
constexpr bool isFaulty(LeafIndex Leaf, SlotIndex Slot) {
  return Leaf == 0 && Slot == 0;
}

/// Answer times as a function of seed, query, leaf and slot.
class Targets {
public:
  Targets(std::uint64_t Seed, Fault Kind, const Setting &Place)
      : Seed(Seed), Kind(Kind), Place(Place) {}

  TargetAnswer operator()(const TargetRequest &Request) const {
    const std::array<std::uint64_t, 4> Key = {this->Seed, Request.Query,
                                              Request.Leaf, Request.Slot};
    boost::random::taus88 Random(
        static_cast<std::uint32_t>(XXH3_64bits(Key.data(), sizeof(Key))));
    Random.discard(4);
    double Micros = MedianMicros *
                    boost::random::lognormal_distribution<>(0.0, Sigma)(Random);
    if (boost::random::uniform_01<>()(Random) < HiccupShare)
      Micros *= HiccupFactor;
    if (this->Kind == Fault::AllSlow)
      Micros *= 5;
    if (this->Kind == Fault::Straggler && isFaulty(Request.Leaf, Request.Slot))
      Micros *= 10;
    TargetAnswer Answer;
    Answer.Takes = Duration(static_cast<std::int64_t>(Micros));
    if (Request.Slot != 0)
      Answer.Takes += this->Place.BetweenDomains;
    Answer.Answers = this->Kind != Fault::LostReplica ||
                     !isFaulty(Request.Leaf, Request.Slot);
    return Answer;
  }

private:
  std::uint64_t Seed;
  Fault Kind;
  Setting Place;
};

/// One finished query of either arm.
struct Sample {
  Duration Took{};
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

ArmResult runPolicy(const Setting &Place, const Targets &Behaviour,
                    const std::vector<TimePoint> &Arrivals,
                    std::uint64_t Seed) {
  VirtualFleet Fleet({.Leaves = LeafCount,
                      .Slots = SlotCount,
                      .ShardsPerLeaf = 1,
                      .Domains = SlotCount,
                      .Regions = Place.Regions},
                     Behaviour);
  for (std::size_t Query = 0; Query < Arrivals.size(); ++Query)
    Fleet.submit(Arrivals[Query], TimeLeft, 1.0, Seed * 1'000'000 + Query);
  Fleet.run();
  ArmResult Result;
  for (const FleetResult &Each : Fleet.results())
    Result.Samples.push_back({Each.Took, Each.Answer.Covered.share()});
  const auto First = static_cast<double>(Arrivals.size() * LeafCount);
  Result.ExtraLoad = static_cast<double>(Fleet.leafRequests()) / First - 1;
  return Result;
}

ArmResult runBaseline(const Targets &Behaviour,
                      const std::vector<TimePoint> &Arrivals) {
  ArmResult Result;
  std::uint64_t Retries = 0;
  for (std::size_t Query = 0; Query < Arrivals.size(); ++Query) {
    Sample Each;
    std::uint32_t Answered = 0;
    for (LeafIndex Leaf = 0; Leaf < LeafCount; ++Leaf) {
      const auto First = static_cast<SlotIndex>((Query + Leaf) % SlotCount);
      const auto Second = static_cast<SlotIndex>((First + 1) % SlotCount);
      const TargetAnswer One =
          Behaviour({Query, Leaf, First, 0, Arrivals[Query]});
      Duration Took = One.Takes;
      bool Answers = One.Answers;
      if (!One.Answers || One.Takes > BaselineTimeout) {
        ++Retries;
        const TargetAnswer Two =
            Behaviour({Query, Leaf, Second, 1, Arrivals[Query]});
        Took = BaselineTimeout + Two.Takes;
        Answers = Two.Answers;
      }
      if (Answers && Took < TimeLeft)
        ++Answered;
      Each.Took =
          std::max(Each.Took, Answers ? std::min(Took, TimeLeft) : TimeLeft);
    }
    Each.Coverage = static_cast<double>(Answered) / LeafCount;
    Result.Samples.push_back(Each);
  }
  Result.ExtraLoad = static_cast<double>(Retries) /
                     static_cast<double>(Arrivals.size() * LeafCount);
  return Result;
}

/// Figures of one arm in one round.
struct Figures {
  double P50 = 0;
  double P99 = 0;
  double P999 = 0;
  double Whole = 0;    ///< Share of whole answers within the deadline.
  double Coverage = 0; ///< Mean.
  double ExtraLoad = 0;
};

Figures evaluate(ArmResult Result) {
  Result.Samples.erase(Result.Samples.begin(),
                       Result.Samples.begin() +
                           static_cast<std::ptrdiff_t>(WarmUp));
  std::sort(Result.Samples.begin(), Result.Samples.end(),
            [](const Sample &Left, const Sample &Right) {
              return Left.Took < Right.Took;
            });
  const auto Count = static_cast<double>(Result.Samples.size());
  auto Quantile = [&](double Share) {
    const auto Rank = static_cast<std::size_t>(Share * (Count - 1));
    return std::chrono::duration<double, std::milli>(Result.Samples[Rank].Took)
        .count();
  };
  Figures Each{Quantile(0.5), Quantile(0.99), Quantile(0.999)};
  for (const Sample &Query : Result.Samples) {
    Each.Whole += Query.Coverage >= 1.0 ? 1 / Count : 0;
    Each.Coverage += Query.Coverage / Count;
  }
  Each.ExtraLoad = Result.ExtraLoad;
  return Each;
}

/// Median, lowest and highest of the rounds.
struct Spread {
  double Median = 0;
  double Low = 0;
  double High = 0;
};

Spread spread(std::vector<double> Values) {
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

Spread spreadOf(const FiguresByRound &Runs, double Figures::*Field) {
  std::vector<double> Values;
  for (const Figures &Each : Runs)
    Values.push_back(Each.*Field);
  return spread(Values);
}

const char *armName(Arm Which) {
  return Which == Arm::Policy ? "policy" : "baseline";
}

using Report = std::map<std::tuple<const char *, Fault, Arm>, FiguresByRound>;

void printTable(const Report &Results, nlohmann::ordered_json &Json) {
  std::cout << std::left << std::setw(15) << "setting" << std::setw(14)
            << "fault" << std::setw(10) << "arm" << std::setw(24) << "p50 ms"
            << std::setw(24) << "p99 ms" << std::setw(27) << "p99.9 ms"
            << std::setw(26) << "whole %" << std::setw(26) << "coverage %"
            << "extra load %\n";
  for (const Setting &Place : Settings)
    for (const auto &[Kind, Name] : Faults)
      for (Arm Which : {Arm::Policy, Arm::Baseline}) {
        const FiguresByRound &Runs = Results.at({Place.Name, Kind, Which});
        const Spread P50 = spreadOf(Runs, &Figures::P50);
        const Spread P99 = spreadOf(Runs, &Figures::P99);
        const Spread P999 = spreadOf(Runs, &Figures::P999);
        const Spread Whole = spreadOf(Runs, &Figures::Whole);
        const Spread Covered = spreadOf(Runs, &Figures::Coverage);
        const Spread Extra = spreadOf(Runs, &Figures::ExtraLoad);
        std::cout << std::setw(15) << Place.Name << std::setw(14) << Name
                  << std::setw(10) << armName(Which) << std::setw(24)
                  << toText(P50, 1, 1) << std::setw(24) << toText(P99, 1, 1)
                  << std::setw(27) << toText(P999, 1, 1) << std::setw(26)
                  << toText(Whole, 100, 2) << std::setw(26)
                  << toText(Covered, 100, 3) << toText(Extra, 100, 2) << '\n';
        Json["rows"].push_back({{"setting", Place.Name},
                                {"fault", Name},
                                {"arm", armName(Which)},
                                {"p50_ms", toJson(P50)},
                                {"p99_ms", toJson(P99)},
                                {"p999_ms", toJson(P999)},
                                {"whole", toJson(Whole)},
                                {"coverage", toJson(Covered)},
                                {"extra_load", toJson(Extra)}});
      }
}

/// Compares the p99 with a straggler to the p99 without, round by round.
void printRatios(const Report &Results, nlohmann::ordered_json &Json) {
  std::cout << "\np99 with a straggler / p99 without (target of the policy: at "
               "most 1.2)\n";
  for (const Setting &Place : Settings)
    for (Arm Which : {Arm::Policy, Arm::Baseline}) {
      const FiguresByRound &With =
          Results.at({Place.Name, Fault::Straggler, Which});
      const FiguresByRound &Without =
          Results.at({Place.Name, Fault::None, Which});
      std::vector<double> Ratios;
      for (std::size_t Round = 0; Round < With.size(); ++Round)
        Ratios.push_back(With[Round].P99 / Without[Round].P99);
      const Spread Ratio = spread(Ratios);
      std::cout << std::setw(15) << Place.Name << std::setw(10)
                << armName(Which) << toText(Ratio, 1, 3) << '\n';
      Json["straggler_ratio"].push_back({{"setting", Place.Name},
                                         {"arm", armName(Which)},
                                         {"ratio", toJson(Ratio)}});
    }
}

int run(std::uint64_t Seed, bool Short, const std::string &Out) {
  const std::size_t Queries = Short ? 2000 : 10000;
  Report Results;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::uint64_t RoundSeed = Seed + static_cast<std::uint64_t>(Round);
    const std::vector<TimePoint> Arrivals = arrivals(RoundSeed, Queries);
    for (const Setting &Place : Settings)
      for (const auto &[Kind, Name] : Faults) {
        const Targets Behaviour(RoundSeed, Kind, Place);
        Results[{Place.Name, Kind, Arm::Policy}].push_back(
            evaluate(runPolicy(Place, Behaviour, Arrivals, RoundSeed)));
        Results[{Place.Name, Kind, Arm::Baseline}].push_back(
            evaluate(runBaseline(Behaviour, Arrivals)));
      }
  }
  nlohmann::ordered_json Json = {{"seed", Seed},
                                 {"rounds", Rounds},
                                 {"queries_per_round", Queries},
                                 {"warm_up", WarmUp},
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
    const cxxopts::ParseResult Given = Options.parse(Count, Arguments);
    if (Given.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    return run(Given["seed"].as<std::uint64_t>(), Given.count("short") > 0,
               Given["out"].as<std::string>());
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "bench-Policy: " << Fault.what() << '\n';
    return 2;
  }
}
