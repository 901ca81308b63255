#include "balsamyard/src/Version/VersionJudge.h"

#include <algorithm>
#include <cmath>

namespace balsamyard {

namespace {

/// Weight of evidence that makes a version bad: about e^-7 of good versions
/// would cross it in the first requests. It rises with the requests, because
/// each of them is another occasion for a false alarm. Checked by
/// VersionJudgeTest over 1,000 runs of each kind.
constexpr double BadEvidence = 7.0;
constexpr double ThresholdRequests = 50;

/// Weight of evidence that passes a step: 1% of bad versions reach it.
constexpr double GoodEvidence = -4.6;

/// Bounds of the old version's rate in the test. Below the lower one, two
/// chance errors in a row would look like proof.
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
  // Each window falls back to the longer one while it holds few requests.
  double LongRate = this->Long.estimate(0.01, 200);
  double MiddleRate = this->Middle.estimate(LongRate, 100);
  double ShortRate = this->Short.estimate(MiddleRate, 50);
  // The period itself counts too: a fault of both versions may begin in it.
  double PeriodRate = this->Period.estimate(ShortRate, 20);
  return std::clamp(std::max({MiddleRate, ShortRate, PeriodRate}), MinOldRate,
                    MaxOldRate);
}

void RateTest::addPeriod(double NewRequests, double NewBad, double OldRequests,
                         double OldBad, Duration Passed) {
  // Without traffic the rate of the old version is kept as it was.
  if (OldRequests > 0) {
    this->Long.add(OldRequests, OldBad, Passed);
    this->Middle.add(OldRequests, OldBad, Passed);
    this->Short.add(OldRequests, OldBad, Passed);
  }
  this->Period.Requests = OldRequests;
  this->Period.Bad = OldBad;
  if (NewRequests <= 0)
    return;
  double Like = this->oldRate();
  double Worse = std::min(Like + BadIncrease, 0.99);
  double Change = NewBad * std::log(Worse / Like) +
                  (NewRequests - NewBad) * std::log((1 - Worse) / (1 - Like));
  this->Sum = std::max(0.0, this->Sum + Change);
  this->StepSum += Change;
}

} // namespace internal

VersionJudge::VersionJudge(VersionName From, VersionName To, double Caution)
    : From(std::move(From)), To(std::move(To)), Caution(Caution) {}

void VersionJudge::add(const Evidence &Counts) {
  if (Counts.Version != this->From && Counts.Version != this->To)
    return;
  if (Counts.Errors > Counts.Requests || Counts.Slow > Counts.Requests)
    return;
  auto [At, First] =
      this->Sources.try_emplace({Counts.From, Counts.Version}, Source{});
  Source &Last = At->second;
  Source Next{Counts.Incarnation, Counts.Requests, Counts.Errors, Counts.Slow};
  if (First) {
    Last = Next;
    return;
  }
  // A restarted holder counts from 0.
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
  // Counts of one answer may arrive in two messages, an error before its
  // request.
  this->New.Errors = std::min(this->New.Errors, this->New.Requests);
  this->New.Slow = std::min(this->New.Slow, this->New.Requests);
  this->Old.Errors = std::min(this->Old.Errors, this->Old.Requests);
  this->Old.Slow = std::min(this->Old.Slow, this->Old.Requests);
  this->Errors.addPeriod(this->New.Requests, this->New.Errors,
                         this->Old.Requests, this->Old.Errors, Passed);
  this->Slow.addPeriod(this->New.Requests, this->New.Slow, this->Old.Requests,
                       this->Old.Slow, Passed);
  // Here "bad" stands for the length of the period in seconds.
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
