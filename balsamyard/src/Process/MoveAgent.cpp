#include "balsamyard/src/Process/MoveAgent.h"

#include "balsamyard/src/Core/Log.h"
#include "balsamyard/src/Process/MoveCounts.h"

#include <random>
#include <utility>

namespace balsamyard {

namespace {

MoveClock clockNow() { return {steadyNow(), wallNow()}; }

std::uint64_t badAnswers(const MoveTally &Tally) {
  std::uint64_t Sum = 0;
  for (const RouteTally &Each : Tally)
    Sum += Each.New.bad();
  return Sum;
}

double randomPhase() {
  std::random_device Entropy;
  return static_cast<double>(Entropy()) /
         static_cast<double>(std::random_device::max());
}

} // namespace

MoveAgent::MoveAgent(asio::io_context &Context, const NodeSettings &Settings,
                     const PlatformAdapter &Adapter, Discovery &Known,
                     std::function<void()> OnChanged)
    : Self(Settings.Node), Exposure(Settings.Bounds.BadVersionShare),
      Adapter(Adapter), Known(Known), OnChanged(std::move(OnChanged)),
      Incarnation(std::random_device()()), Calls(Context, Settings.Store),
      Timer(Context) {}

void MoveAgent::reload(const NodeSettings &Next) {
  this->Calls.setStore(Next.Store);
  this->Exposure = Next.Bounds.BadVersionShare;
}

void MoveAgent::see(const MoveSeen &Seen) {
  const ServiceName &Service = Seen.Order.Service;
  auto Found = this->Moves.find(Service);
  if (Found != this->Moves.end() &&
      (Found->second.Removed || Found->second.Traffic->To != Seen.Order.To)) {
    this->removeCounts(Service, Found->second);
    this->Moves.erase(Found);
    Found = this->Moves.end();
  }
  if (Found == this->Moves.end()) {
    logEvent(LogLevel::Info, "move-ordered",
             {{"service", Service.Text},
              {"version", Seen.Order.To.Text},
              {"within", Seen.Order.Within}});
    Entry Next(ServiceMove(this->Self, this->Exposure),
               makeRef<MoveTraffic>(Seen.Order.To, randomPhase()));
    Found = this->Moves.try_emplace(Service, std::move(Next)).first;
  }
  this->apply(Service, Found->second, Seen);
  this->publish(Service, Found->second);
  if (!this->Ticking) {
    this->Ticking = true;
    this->tick();
  }
}

void MoveAgent::drop(const ServiceName &Service) {
  const auto Found = this->Moves.find(Service);
  if (Found == this->Moves.end() || Found->second.Removed)
    return;
  logEvent(LogLevel::Info, "move-order-removed", {{"service", Service.Text}});
  this->removeCounts(Service, Found->second);
  // The targets of a version that was taken back may serve for a while yet.
  if (Found->second.Decisions.isTakenBack()) {
    Found->second.Removed = true;
    return;
  }
  this->Moves.erase(Found);
  this->Known.setMove(Service, nullptr);
  this->OnChanged();
}

void MoveAgent::keepOnly(const std::set<ServiceName> &Ordered) {
  std::vector<ServiceName> Former;
  for (const auto &[Service, Moving] : this->Moves)
    if (!Ordered.contains(Service))
      Former.push_back(Service);
  for (const ServiceName &Service : Former)
    this->drop(Service);
}

void MoveAgent::tick() {
  bool UnderWay = false;
  for (auto &[Service, Moving] : this->Moves) {
    if (Moving.Decisions.isEnded())
      continue;
    UnderWay = true;
    this->advance(Service, Moving);
  }
  this->Ticking = UnderWay;
  if (!UnderWay)
    return;
  this->Timer.expires_after(TickInterval);
  this->Timer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->tick();
  });
}

void MoveAgent::advance(const ServiceName &Service, Entry &Moving) {
  this->apply(
      Service, Moving,
      MoveCounted{this->Self, this->Incarnation, Moving.Traffic->tally()});
  this->apply(
      Service, Moving,
      MoveTimePassed{this->Known.serves(Service, Moving.Decisions.order().To),
                     this->Known.rank()});
  this->publish(Service, Moving);
  if (!Moving.Decisions.isUnderWay())
    return;
  this->tellCounts(Service, Moving);
  const TimePoint Now = steadyNow();
  const Duration Pause = ReadPause + ReadPausePerRank * this->Known.rank();
  if (Now - Moving.ReadAt >= Pause) {
    Moving.ReadAt = Now;
    this->readCounts(Service, {});
  }
}

void MoveAgent::apply(const ServiceName &Service, Entry &Moving,
                      const ServiceMoveEvent &Event) {
  for (const ServiceMoveEffect &Effect :
       Moving.Decisions.handle(Event, clockNow()))
    std::visit([&](const WriteMoveReport &What) { this->write(Service, What); },
               Effect);
}

void MoveAgent::publish(const ServiceName &Service, Entry &Moving) {
  if (Moving.Decisions.isEnded())
    this->removeCounts(Service, Moving);
  const double Share = Moving.Decisions.share();
  if (Moving.Published == Share)
    return;
  Moving.Published = Share;
  Moving.Traffic->setShare(Share);
  logEvent(LogLevel::Info, "move-share",
           {{"service", Service.Text},
            {"version", Moving.Traffic->To.Text},
            {"step", std::string(name(Moving.Decisions.step()))},
            {"share", Share},
            {"new_bad",
             static_cast<std::int64_t>(badAnswers(Moving.Traffic->tally()))}});
  this->Known.setMove(Service, Moving.Traffic);
  this->OnChanged();
}

void MoveAgent::write(const ServiceName &Service,
                      const WriteMoveReport &Effect) {
  logEvent(LogLevel::Info, "move-report-written",
           {{"service", Service.Text},
            {"version", Effect.Report.To.Text},
            {"status", static_cast<std::int64_t>(Effect.Report.Status)},
            {"step", std::string(name(Effect.Report.Step))},
            {"reason", Effect.Report.Reason}});
  this->Calls.call(
      this->Adapter.MoveReportCall(Service, Effect.Report, Effect.Base),
      [this, Service](const Expected<HttpResponse> &Result) {
        if (hasSuccessStatus(Result))
          return;
        logEvent(
            LogLevel::Warning, "move-report-not-written",
            {{"service", Service.Text}, {"detail", describeResult(Result)}});
        const auto Found = this->Moves.find(Service);
        if (Found != this->Moves.end())
          this->apply(Service, Found->second, MoveWriteFailed{});
      });
}

std::string MoveAgent::countsName(const ServiceName &Service) const {
  return Service.Text + "." + this->Self.Text;
}

void MoveAgent::tellCounts(const ServiceName &Service, Entry &Moving) {
  const MoveTally Tally = Moving.Traffic->tally();
  const bool MoreBad = badAnswers(Tally) != badAnswers(Moving.Told);
  const Duration Pause =
      MoreBad ? BadReportPause
              : GoodReportPause + GoodReportPausePerNode * this->Known.nodes();
  const TimePoint Now = steadyNow();
  if (Tally == Moving.Told || Now - Moving.ToldAt < Pause)
    return;
  Moving.Told = Tally;
  Moving.ToldAt = Now;
  const nlohmann::json Content =
      encodeCounts({Service,
                    Moving.Decisions.order().To,
                    {this->Self, this->Incarnation, Tally}});
  const std::string Name = this->countsName(Service);
  this->Calls.call(
      Moving.Announced
          ? this->Adapter.ReplaceCall(ObjectKind::MoveCounts, Name, Content)
          : this->Adapter.CreateCall(ObjectKind::MoveCounts, Name, Content),
      [this, Service](const Expected<HttpResponse> &Result) {
        const auto Found = this->Moves.find(Service);
        if (Found == this->Moves.end())
          return;
        const bool Exists =
            hasSuccessStatus(Result) ||
            (Result && Result->Status == StoreChannel::ConflictStatus);
        Found->second.Announced =
            Exists ||
            (Found->second.Announced &&
             !(Result && Result->Status == StoreChannel::NotFoundStatus));
        if (hasSuccessStatus(Result))
          return;
        // They are told again at the next tick.
        Found->second.Told = {};
        logEvent(
            LogLevel::Warning, "move-counts-not-told",
            {{"service", Service.Text}, {"detail", describeResult(Result)}});
      });
}

void MoveAgent::readCounts(const ServiceName &Service,
                           const std::string &After) {
  this->Calls.call(
      this->Adapter.ListCall(ObjectKind::MoveCounts, After),
      [this, Service](const Expected<HttpResponse> &Result) {
        const FeedInput Read = Result
                                   ? this->Adapter.ReadPage(*Result)
                                   : FeedInput(FeedCallFailed{Result.error()});
        if (const auto *Page = std::get_if<FeedPage>(&Read)) {
          this->onCounts(Service, *Page);
          return;
        }
        if (const auto *Failed = std::get_if<FeedCallFailed>(&Read))
          logEvent(LogLevel::Warning, "move-counts-not-read",
                   {{"service", Service.Text}, {"detail", Failed->Why.Detail}});
      });
}

void MoveAgent::onCounts(const ServiceName &Service, const FeedPage &Page) {
  for (const StoredObject &Object : Page.Objects) {
    const Expected<SharedCounts> Read = decodeCounts(Object.Content);
    if (!Read) {
      logEvent(LogLevel::Warning, "move-counts-unreadable",
               {{"object", Object.Name}, {"detail", Read.error().Detail}});
      continue;
    }
    const auto Found = this->Moves.find(Read->Service);
    if (Found != this->Moves.end() && Found->second.Traffic->To == Read->To &&
        Read->Counts.Node != this->Self)
      this->apply(Read->Service, Found->second, Read->Counts);
  }
  if (Page.HasMore && !Page.Objects.empty())
    this->readCounts(Service, Page.Objects.back().Name);
}

void MoveAgent::removeCounts(const ServiceName &Service, Entry &Moving) {
  if (!std::exchange(Moving.Announced, false))
    return;
  this->Calls.call(this->Adapter.RemoveCall(ObjectKind::MoveCounts,
                                            this->countsName(Service)),
                   [Service](const Expected<HttpResponse> &Result) {
                     if (!hasSuccessStatus(Result))
                       logEvent(LogLevel::Warning, "move-counts-not-removed",
                                {{"service", Service.Text}});
                   });
}

} // namespace balsamyard
