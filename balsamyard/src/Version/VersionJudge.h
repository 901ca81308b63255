#pragma once

#include "balsamyard/src/Core/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace balsamyard {

/// \brief What the evidence says about a new version.
enum class Verdict : std::uint8_t { Undecided, Good, Bad };

/// \brief A verdict and, if it is Bad, the reason in a sentence.
struct Judgement {
  Verdict Value = Verdict::Undecided;
  std::string Reason;
  bool NoWorseSoFar = true; ///< No worse than the old version so far.

  /// Log likelihood ratio of worse against no worse, since the step began.
  double StepEvidence = 0;
};

/// \brief Increase of the share of bad answers that makes a version bad.
inline constexpr double BadIncrease = 0.05;

namespace internal {

/// \brief Requests and how many of them were bad, with exponential decay.
struct DecayedRate {
  Duration Scale{};
  double Requests = 0;
  double Bad = 0;

  void add(double MoreRequests, double MoreBad, Duration Passed);
  double estimate(double Prior, double PriorWeight) const;
};

/// \brief Sequential test of one kind of bad answer (errors or slow ones).
///
/// Each answer of the new version adds its log likelihood ratio between "worse
/// by BadIncrease" and "like the old version". The old version's rate is taken
/// from the same seconds, so load that slows both does not count.
class RateTest {
public:
  void addPeriod(double NewRequests, double NewBad, double OldRequests,
                 double OldBad, Duration Passed);
  void beginStep() { this->StepSum = 0; }

  /// \brief Sum since the last time it was 0; restarts at 0, so that a fault
  /// that begins late shows as fast as one from the start.
  double evidence() const { return this->Sum; }

  /// \brief Sum since the step began.
  double stepEvidence() const { return this->StepSum; }

  double oldRate() const;

private:
  DecayedRate Long{std::chrono::hours(1)};
  DecayedRate Middle{std::chrono::seconds(60)};
  DecayedRate Short{std::chrono::seconds(5)};
  DecayedRate Period;
  double Sum = 0;
  double StepSum = 0;
};

} // namespace internal

/// \brief Compares the new version of one route with the old one.
///
/// Pure. Feed the cumulative counts of each holder as they arrive and close a
/// period about once per second.
/// \code
/// VersionJudge Judge(From, To);
/// Judge.add(Counts);
/// Judge.closePeriod(Now);
/// if (Judge.judgement().Value == Verdict::Bad) ...
/// \endcode
class VersionJudge {
public:
  /// \p Caution raises the threshold, for one of many judges of one move.
  VersionJudge(VersionName From, VersionName To, double Caution = 0);

  /// \brief Takes in the newest counts of a holder. The first counts of a
  /// holder only serve as the start.
  void add(const Evidence &Counts);

  void closePeriod(TimePoint Now);
  void beginStep();

  Judgement judgement() const;

  /// \returns the requests to the new version since the step began.
  double stepRequests() const { return this->StepRequests; }

  /// \returns the requests per second of both versions.
  double requestRate() const;

private:
  struct Counts {
    double Requests = 0;
    double Errors = 0;
    double Slow = 0;
  };
  struct Source {
    std::uint64_t Incarnation = 0;
    std::uint64_t Requests = 0;
    std::uint64_t Errors = 0;
    std::uint64_t Slow = 0;
  };

  VersionName From;
  VersionName To;
  double Caution;
  std::map<std::pair<NodeName, VersionName>, Source> Sources;
  Counts New;
  Counts Old;
  std::optional<TimePoint> PeriodStart;
  internal::RateTest Errors;
  internal::RateTest Slow;
  internal::DecayedRate Rate{std::chrono::minutes(2)};
  double TotalRequests = 0;
  double StepRequests = 0;
};

} // namespace balsamyard
