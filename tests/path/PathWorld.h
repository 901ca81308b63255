#pragma once

#include "balsamyard/src/Request/Scatter.h"
#include "balsamyard/src/Version/FleetView.h"

#include <string>
#include <vector>

namespace balsamyard::test {

inline constexpr Duration Millisecond = std::chrono::milliseconds(1);
inline constexpr Duration Second = std::chrono::seconds(1);

/// \brief A simulated fleet of targets with one route to them, on a simulated
/// clock.
struct PathWorld {
  TimePoint Now{Second * 1000};
  Ref<Configuration> Config = makeRef<Configuration>();
  Ref<FleetView> View = makeRef<FleetView>();

  explicit PathWorld(Route Served) {
    this->Config->Version = ConfigVersion{7};
    this->Config->Routes.push_back(std::move(Served));
    this->View->Shares.Retry = {0.2, 1000, Second * 10};
  }

  ServiceNumber addService(const std::string &Name) {
    const ServiceNumber Number =
        this->Config->findOrAddService(ServiceName{Name});
    this->View->Services.resize(this->Config->Services.size());
    this->View->Services[Number].Budget = makeRef<RetryBudget>();
    return Number;
  }

  KnownTarget &addTarget(ServiceNumber Service, const std::string &Id,
                         Distance Far = Distance::SameDomain,
                         const std::string &Region = "north") {
    TargetInfo Info;
    Info.Id.Text = Id;
    Info.Service = this->Config->Services[Service].Name;
    Info.Slots = 3;
    Info.NetworkDistance = Far;
    Info.Region.Text = Region;
    const auto Target = makeRef<KnownTarget>(Info);
    this->View->Services[Service].Targets.push_back(Target);
    return *Target;
  }

  /// \brief Publishes the configuration on the first call; no targets can be
  /// added after that. \returns the input of one request.
  ScatterInput input(std::uint64_t Seed = 1) {
    const Route &Served = this->Config->Routes.front();
    if (!this->View->Config) {
      this->Config->index();
      this->View->Config = this->Config;
      this->View->Stats.push_back(makeRef<RouteStats>(Served.LatencyGoal / 8));
    }
    ScatterInput Input;
    Input.View = this->View;
    Input.GoalTime = this->Now + Served.LatencyGoal;
    Input.Deadline = this->Now + Served.Timeout;
    Input.Seed = Seed;
    return Input;
  }
};

inline Route shardedRoute(std::uint32_t MaxTargets = 2) {
  Route Result;
  Result.Name.Text = "search";
  Result.Host = "search.example";
  Result.PathPrefix = "/search/";
  Result.Idempotent = true;
  Result.LatencyGoal = 200 * Millisecond;
  Result.Timeout = 1200 * Millisecond;
  Result.MaxTargets = MaxTargets;
  Result.To = ShardedDestination{{}, 3, 0.75};
  return Result;
}

inline Route singleRoute(bool Idempotent, std::uint32_t MaxTargets = 2) {
  Route Result = shardedRoute(MaxTargets);
  Result.Idempotent = Idempotent;
  Result.To = SplitDestination{{{0, 1}}};
  return Result;
}

/// \brief A request and the effects of its last event.
struct RunningRequest {
  PathWorld &World;
  Scatter Decisions;
  ScatterEffects Effects;

  explicit RunningRequest(PathWorld &World, std::uint64_t Seed = 1)
      : World(World), Decisions(World.input(Seed)) {}

  void tell(ScatterEvent Event) {
    this->Effects.clear();
    this->Decisions.handle(std::move(Event), this->World.Now, this->Effects);
  }

  template <typename Effect> std::vector<Effect> all() const {
    std::vector<Effect> Result;
    for (const ScatterEffect &Alternative : this->Effects)
      if (const auto *Found = std::get_if<Effect>(&Alternative))
        Result.push_back(*Found);
    return Result;
  }

  /// \brief Starts the request and reports its first attempts as sent.
  /// \returns these attempts.
  std::vector<AttemptIndex> startAndSend() {
    this->tell(ScatterStarted{});
    std::vector<AttemptIndex> Result;
    for (const SubmitAttempt &Submit : this->all<SubmitAttempt>())
      Result.push_back(Submit.Attempt);
    for (AttemptIndex Attempt : Result)
      this->tell(AttemptSent{Attempt});
    return Result;
  }

  void answer(AttemptIndex Attempt, const std::string &Receipt,
              const std::string &Body = "") {
    PartAnswer Answer;
    Answer.Kind = AnswerKind::Complete;
    Answer.Receipt = Receipt;
    Answer.Response.Status = 200;
    Answer.Response.Body = Body;
    this->tell(AttemptAnswered{Attempt, std::move(Answer)});
  }

  void reject(AttemptIndex Attempt) {
    PartAnswer Answer;
    Answer.Kind = AnswerKind::NotExecuted;
    Answer.Response.Status = 503;
    this->tell(AttemptAnswered{Attempt, std::move(Answer)});
  }

  void failWith(AttemptIndex Attempt, int Status) {
    PartAnswer Answer;
    Answer.Kind = AnswerKind::Failed;
    Answer.Response.Status = Status;
    this->tell(AttemptAnswered{Attempt, std::move(Answer)});
  }

  void pass(Duration Time) { this->World.Now += Time; }

  template <typename Alternative> Alternative outcome() {
    return std::get<Alternative>(this->Decisions.takeOutcome());
  }
};

} // namespace balsamyard::test
