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
  for (const RouteTally &Item : Tally)
    Sum += Item.New.bad();
  return Sum;
}

double randomPhase() {
  std::random_device Entropy;
  return static_cast<double>(Entropy()) /
         static_cast<double>(std::random_device::max());
}

} // namespace

MoveAgent::MoveAgent(asio::io_context &Context, const NodeSettings &Settings,
                     const PlatformAdapter &Adapter, Discovery &Fleet,
                     Handlers Events)
    : Self(Settings.Node), BadVersionShare(Settings.Bounds.BadVersionShare),
      Adapter(Adapter), Fleet(Fleet), Events(std::move(Events)),
      Incarnation(std::random_device()()), Calls(Context, Settings.Store),
      Timer(Context) {}

void MoveAgent::reload(const NodeSettings &Next) {
  this->Calls.setStore(Next.Store);
  this->BadVersionShare = Next.Bounds.BadVersionShare;
}

void MoveAgent::updateOrder(const MoveOrderUpdated &Seen) {
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
    Entry Next(ServiceMove(this->Self, this->BadVersionShare),
               makeRef<MoveTraffic>(Seen.Order.To, randomPhase()));
    Found = this->Moves.try_emplace(Service, std::move(Next)).first;
  }
  this->apply(Service, Found->second, Seen);
  this->publishShare(Service, Found->second);
  if (!this->Ticking) {
    this->Ticking = true;
    this->tick();
  }
}

void MoveAgent::removeOrder(const ServiceName &Service) {
  const auto Found = this->Moves.find(Service);
  if (Found == this->Moves.end() || Found->second.Removed)
    return;
  logEvent(LogLevel::Info, "move-order-removed", {{"service", Service.Text}});
  this->removeCounts(Service, Found->second);
  // Targets of a rolled-back version may keep serving, so its share stays 0.
  if (Found->second.Decisions.isRolledBack()) {
    Found->second.Removed = true;
    return;
  }
  this->Moves.erase(Found);
  this->Fleet.setMove(Service, nullptr);
  this->Events.OnChanged();
}

void MoveAgent::tick() {
  bool UnderWay = false;
  for (auto &[Service, Move] : this->Moves) {
    if (Move.Decisions.isEnded() && !Move.Decisions.hasUnstoredEnd())
      continue;
    UnderWay = true;
    this->advance(Service, Move);
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

void MoveAgent::advance(const ServiceName &Service, Entry &Move) {
  this->apply(
      Service, Move,
      NodeMoveCounts{this->Self, this->Incarnation, Move.Traffic->tally()});
  this->apply(
      Service, Move,
      MoveTimePassed{this->Fleet.serves(Service, Move.Decisions.order().To),
                     this->Events.Rank()});
  this->publishShare(Service, Move);
  if (!Move.Decisions.isUnderWay())
    return;
  this->shareCounts(Service, Move);
  if (!this->Events.ReadsStore())
    return;
  const TimePoint Now = steadyNow();
  const Duration Interval =
      ReadInterval + ReadIntervalPerRank * this->Events.Rank();
  if (Now - Move.ReadAt >= Interval) {
    Move.ReadAt = Now;
    this->readCounts(Service, {});
  }
}

void MoveAgent::apply(const ServiceName &Service, Entry &Move,
                      const ServiceMoveEvent &Event) {
  for (const ServiceMoveEffect &Effect :
       Move.Decisions.handle(Event, clockNow()))
    std::visit(
        [&](const WriteMoveReport &Report) { this->write(Service, Report); },
        Effect);
}

void MoveAgent::publishShare(const ServiceName &Service, Entry &Move) {
  if (Move.Decisions.isEnded())
    this->removeCounts(Service, Move);
  const double Share = Move.Decisions.share();
  if (Move.PublishedShare == Share)
    return;
  Move.PublishedShare = Share;
  Move.Traffic->setShare(Share);
  logEvent(LogLevel::Info, "move-share",
           {{"service", Service.Text},
            {"version", Move.Traffic->To.Text},
            {"step", std::string(name(Move.Decisions.step()))},
            {"share", Share},
            {"new_bad",
             static_cast<std::int64_t>(badAnswers(Move.Traffic->tally()))}});
  this->Fleet.setMove(Service, Move.Traffic);
  this->Events.OnChanged();
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

void MoveAgent::shareCounts(const ServiceName &Service, Entry &Move) {
  const MoveTally Tally = Move.Traffic->tally();
  const bool MoreBad = badAnswers(Tally) != badAnswers(Move.SharedTally);
  const Duration Delay =
      MoreBad ? BadCountsDelay
              : GoodCountsDelay + GoodCountsDelayPerNode * this->Fleet.nodes();
  const TimePoint Now = steadyNow();
  if (Tally == Move.SharedTally || Now - Move.SharedAt < Delay)
    return;
  Move.SharedTally = Tally;
  Move.SharedAt = Now;
  const nlohmann::json Content =
      encodeCounts({Service,
                    Move.Decisions.order().To,
                    {this->Self, this->Incarnation, Tally}});
  const std::string Name = this->countsName(Service);
  this->Calls.call(
      Move.CountsStored
          ? this->Adapter.ReplaceCall(ObjectKind::MoveCounts, Name, Content)
          : this->Adapter.CreateCall(ObjectKind::MoveCounts, Name, Content),
      [this, Service](const Expected<HttpResponse> &Result) {
        const auto Found = this->Moves.find(Service);
        if (Found == this->Moves.end())
          return;
        const bool Exists =
            hasSuccessStatus(Result) ||
            (Result && Result->Status == StoreChannel::ConflictStatus);
        Found->second.CountsStored =
            Exists ||
            (Found->second.CountsStored &&
             !(Result && Result->Status == StoreChannel::NotFoundStatus));
        if (hasSuccessStatus(Result))
          return;
        // The next tick shares them again.
        Found->second.SharedTally = {};
        logEvent(
            LogLevel::Warning, "move-counts-not-told",
            {{"service", Service.Text}, {"detail", describeResult(Result)}});
      });
}

void MoveAgent::readCounts(const ServiceName &Service,
                           const std::string &After) {
  this->Calls.call(this->Adapter.ListCall(ObjectKind::MoveCounts, After),
                   [this, Service](const Expected<HttpResponse> &Result) {
                     const FeedInput Read =
                         Result ? this->Adapter.ReadPage(*Result)
                                : FeedInput(FeedCallFailed{Result.error()});
                     if (const auto *Page = std::get_if<FeedPage>(&Read)) {
                       this->onCounts(Service, *Page);
                       return;
                     }
                     if (const auto *Failed =
                             std::get_if<FeedCallFailed>(&Read))
                       logEvent(LogLevel::Warning, "move-counts-not-read",
                                {{"service", Service.Text},
                                 {"detail", Failed->Cause.Detail}});
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

void MoveAgent::removeCounts(const ServiceName &Service, Entry &Move) {
  if (!std::exchange(Move.CountsStored, false))
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
