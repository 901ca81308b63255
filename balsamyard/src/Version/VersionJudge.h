#pragma once

#include "balsamyard/src/Core/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace balsamyard {

/// \brief Result of comparing a new version with the old one.
enum class Verdict : std::uint8_t { Undecided, Good, Bad };

/// \brief A verdict and, if it is Bad, the reason in a sentence.
struct Judgement {
  Verdict Value = Verdict::Undecided;
  std::string Reason;
  bool NoWorseSoFar = true; ///< Not worse than the old version so far.

  /// Log likelihood ratio of "worse" to "not worse" since the step began.
  double StepEvidence = 0;
};

/// \brief Increase of the fraction of bad answers that makes a version bad.
inline constexpr double BadIncrease = 0.05;

namespace internal {

/// \brief Exponentially decaying counts of requests and of bad answers.
struct DecayedRate {
  Duration Scale{};
  double Requests = 0;
  double Bad = 0;

  void add(double MoreRequests, double MoreBad, Duration Passed);
  double estimate(double Prior, double PriorWeight) const;
};

/// \brief Sequential probability ratio test of one kind of bad answer (errors
/// or slow answers).
///
/// Each answer of the new version adds the log likelihood ratio of "worse by
/// BadIncrease" to "like the old version". The rate of the old version is
/// measured over the same seconds, so load that slows both has no effect.
class RateTest {
public:
  void addPeriod(double NewRequests, double NewBad, double OldRequests,
                 double OldBad, Duration Passed);
  void beginStep() { this->StepSum = 0; }

  /// \brief Sum that is never below 0 (CUSUM), so that a fault that begins late
  /// is detected as fast as one from the start.
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
/// Pure. Add the cumulative counts of each node as they arrive and close a
/// period about once per second. \code VersionJudge Judge(From, To);
/// Judge.add(Counts);
/// Judge.closePeriod(Now);
/// if (Judge.judgement().Value == Verdict::Bad) ...
/// \endcode
class VersionJudge {
public:
  /// \p Caution is added to the threshold of the evidence. It makes up for the
  /// false alarms that several judges of one move would add up to.
  VersionJudge(VersionName From, VersionName To, double Caution = 0);

  /// \brief Adds the newest cumulative counts of a node. The first counts of a
  /// node are only its baseline.
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
