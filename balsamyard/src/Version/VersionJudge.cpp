#include "balsamyard/src/Version/VersionJudge.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// Log likelihood ratio at which a version is bad. About e^-7 of the good
/// versions cross it in the first requests. The threshold grows with the
/// logarithm of the requests, because each request is another chance of a false
/// alarm. VersionJudgeTest checks both error rates over 1,000 runs of each
/// kind.
constexpr double BadEvidence = 7.0;

/// The threshold grows by log(1 + requests / ThresholdRequests).
constexpr double ThresholdRequests = 50;

/// Log likelihood ratio that passes a step; 1% of the bad versions reach it.
constexpr double GoodEvidence = -4.6;

/// Bounds of the old version's rate in the test. With a lower rate, two random
/// errors in a row would be enough to reject a version.
constexpr double MinOldRate = 0.01;
constexpr double MaxOldRate = 0.9;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

std::string percent(double Share) {
  return std::to_string(static_cast<int>(std::lround(Share * 1000)) / 10) +
         "." + std::to_string(std::lround(Share * 1000) % 10) + "%";
}

} // namespace

namespace internal {

void DecayedRate::add(double MoreRequests, double MoreBad, Duration Passed) {
  double Keep = std::exp(-seconds(Passed) / seconds(this->Scale));
  this->Requests = this->Requests * Keep + MoreRequests;
  this->Bad = this->Bad * Keep + MoreBad;
}

double DecayedRate::estimate(double Prior, double PriorWeight) const {
  return (this->Bad + Prior * PriorWeight) / (this->Requests + PriorWeight);
}

double RateTest::oldRate() const {
  // Each window uses the longer one as its prior while it has few requests.
  double LongRate = this->Long.estimate(0.01, 200);
  double MiddleRate = this->Middle.estimate(LongRate, 100);
  double ShortRate = this->Short.estimate(MiddleRate, 50);
  // The current period is included, because a fault of both versions may begin
  // in it.
  double PeriodRate = this->Period.estimate(ShortRate, 20);
  return std::clamp(std::max({MiddleRate, ShortRate, PeriodRate}), MinOldRate,
                    MaxOldRate);
}

void RateTest::addPeriod(double NewRequests, double NewBad, double OldRequests,
                         double OldBad, Duration Passed) {
  // Without requests to the old version its rate does not decay.
  if (OldRequests > 0) {
    this->Long.add(OldRequests, OldBad, Passed);
    this->Middle.add(OldRequests, OldBad, Passed);
    this->Short.add(OldRequests, OldBad, Passed);
  }
  this->Period.Requests = OldRequests;
  this->Period.Bad = OldBad;
  if (NewRequests <= 0)
    return;
  double OldRate = this->oldRate();
  double WorseRate = std::min(OldRate + BadIncrease, 0.99);
  double LogRatio =
      NewBad * std::log(WorseRate / OldRate) +
      (NewRequests - NewBad) * std::log((1 - WorseRate) / (1 - OldRate));
  this->Sum = std::max(0.0, this->Sum + LogRatio);
  this->StepSum += LogRatio;
}

} // namespace internal

VersionJudge::VersionJudge(VersionName From, VersionName To, double Caution)
    : From(std::move(From)), To(std::move(To)), Caution(Caution) {}

void VersionJudge::add(const Evidence &Counts) {
  if (Counts.Version != this->From && Counts.Version != this->To)
    return;
  if (Counts.Errors > Counts.Requests || Counts.Slow > Counts.Requests)
    return;
  auto [Entry, First] =
      this->Sources.try_emplace({Counts.From, Counts.Version}, Source{});
  Source &Last = Entry->second;
  Source Next{Counts.Incarnation, Counts.Requests, Counts.Errors, Counts.Slow};
  if (First) {
    Last = Next;
    return;
  }
  // A restarted node counts from 0.
  if (Counts.Incarnation != Last.Incarnation)
    Last = {Counts.Incarnation, 0, 0, 0};
  if (Next.Requests < Last.Requests || Next.Errors < Last.Errors ||
      Next.Slow < Last.Slow)
    return;
  VersionJudge::Counts &Sum =
      Counts.Version == this->To ? this->New : this->Old;
  Sum.Requests += static_cast<double>(Next.Requests - Last.Requests);
  Sum.Errors += static_cast<double>(Next.Errors - Last.Errors);
  Sum.Slow += static_cast<double>(Next.Slow - Last.Slow);
  Last = Next;
}

void VersionJudge::closePeriod(TimePoint Now) {
  Duration Passed =
      this->PeriodStart ? Now - *this->PeriodStart : std::chrono::seconds(1);
  this->PeriodStart = Now;
  // The counts of one answer may arrive in two messages, the error before the
  // request.
  this->New.Errors = std::min(this->New.Errors, this->New.Requests);
  this->New.Slow = std::min(this->New.Slow, this->New.Requests);
  this->Old.Errors = std::min(this->Old.Errors, this->Old.Requests);
  this->Old.Slow = std::min(this->Old.Slow, this->Old.Requests);
  this->Errors.addPeriod(this->New.Requests, this->New.Errors,
                         this->Old.Requests, this->Old.Errors, Passed);
  this->Slow.addPeriod(this->New.Requests, this->New.Slow, this->Old.Requests,
                       this->Old.Slow, Passed);
  // DecayedRate::Bad holds seconds here, for a rate in requests per second.
  this->Rate.add(this->New.Requests + this->Old.Requests, seconds(Passed),
                 Passed);
  this->TotalRequests += this->New.Requests;
  this->StepRequests += this->New.Requests;
  this->New = {};
  this->Old = {};
}

void VersionJudge::beginStep() {
  this->StepRequests = 0;
  this->Errors.beginStep();
  this->Slow.beginStep();
}

double VersionJudge::requestRate() const {
  return this->Rate.Bad > 0 ? this->Rate.Requests / this->Rate.Bad : 0;
}

Judgement VersionJudge::judgement() const {
  double Threshold = BadEvidence + this->Caution +
                     std::log1p(this->TotalRequests / ThresholdRequests);
  auto Reason = [&](const char *Kind, const internal::RateTest &Test) {
    return "version " + this->To.Text + " gave more " + Kind +
           " answers than version " + this->From.Text + " (" +
           percent(Test.oldRate()) + ") by " + percent(BadIncrease) +
           " or more";
  };
  if (this->Errors.evidence() >= Threshold)
    return {Verdict::Bad, Reason("failed", this->Errors), false,
            this->Errors.stepEvidence()};
  if (this->Slow.evidence() >= Threshold)
    return {Verdict::Bad, Reason("slow", this->Slow), false,
            this->Slow.stepEvidence()};
  double Worst =
      std::max(this->Errors.stepEvidence(), this->Slow.stepEvidence());
  return {Worst <= GoodEvidence ? Verdict::Good : Verdict::Undecided, "",
          Worst <= 0, Worst};
}

} // namespace balsamyard
