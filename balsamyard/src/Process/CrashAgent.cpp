#include "balsamyard/src/Process/CrashAgent.h"

#include "balsamyard/src/Core/Log.h"

#include <utility>

namespace balsamyard {

CrashAgent::CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
                       const PlatformAdapter &Adapter, Discovery &Fleet,
                       Handlers Events)
    : Adapter(Adapter), Fleet(Fleet), Events(std::move(Events)),
      Decisions(Settings.Node), Calls(Context, Settings.Store), Timer(Context),
      ConfirmTimer(Context) {
  this->Fleet.setCrashes(this->Decisions.list());
}

void CrashAgent::reload(const NodeSettings &Next) {
  this->Calls.setStore(Next.Store);
}

void CrashAgent::report(const RequestCrashEvent &Event) {
  std::visit([this](const auto &Body) { this->on(Body); }, Event);
}

void CrashAgent::on(const RequestBroken &Event) {
  this->Unconfirmed.add(Event, steadyNow());
  this->scheduleConfirmation();
}

void CrashAgent::on(const SuspectedRequestSucceeded &Event) {
  this->apply(Event);
}

void CrashAgent::scheduleConfirmation() {
  const std::optional<TimePoint> Next = this->Unconfirmed.nextCheck();
  if (!Next)
    return;
  this->ConfirmTimer.expires_at(*Next);
  this->ConfirmTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (Cancelled)
      return;
    for (const RequestCrashedTargets &Event :
         this->Unconfirmed.take(steadyNow()))
      this->apply(Event);
    this->scheduleConfirmation();
  });
}

void CrashAgent::maintain() {
  if (!this->Decisions.empty())
    this->apply(CrashTimePassed{this->Fleet.rank()});
  if (this->Events.ReadsStore())
    this->readPage({});
  this->Timer.expires_after(ReadInterval);
  this->Timer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->maintain();
  });
}

void CrashAgent::readPage(const std::string &After) {
  if (After.empty())
    this->Listing = {ObjectKind::Crashes, true, {}, {}};
  this->Calls.call(this->Adapter.StaleListCall(ObjectKind::Crashes, After),
                   [this](const Expected<HttpResponse> &Result) {
                     FeedInput Read =
                         Result ? this->Adapter.ReadPage(*Result)
                                : FeedInput(FeedCallFailed{Result.error()});
                     if (auto *Page = std::get_if<FeedPage>(&Read))
                       this->onPage(*Page);
                     else
                       logEvent(LogLevel::Warning, "crash-records-not-read",
                                {{"detail", describeResult(Result)}});
                   });
}

void CrashAgent::onPage(FeedPage &Page) {
  if (this->Listing.Changes.empty())
    this->Listing.AsOf = Page.AsOf;
  for (StoredObject &Object : Page.Objects)
    this->Listing.Changes.push_back({std::move(Object), false});
  if (Page.HasMore && !this->Listing.Changes.empty())
    this->readPage(this->Listing.Changes.back().Object.Name);
  else
    this->Events.OnListed(std::exchange(this->Listing, {}));
}

void CrashAgent::setRecords(const std::vector<StoredObject> &Listed) {
  CrashRecordsListed Event;
  for (const StoredObject &Object : Listed) {
    Expected<CrashRecord> Read = decodeCrashRecord(Object.Content);
    if (Read && crashRecordName(*Read) == Object.Name)
      Event.Records.push_back(std::move(*Read));
    else
      logEvent(LogLevel::Warning, "crash-record-unreadable",
               {{"object", Object.Name}});
  }
  this->apply(Event);
}

void CrashAgent::apply(const CrashRecordEvent &Event) {
  for (const CrashRecordEffect &Effect :
       this->Decisions.handle(Event, steadyNow()))
    std::visit([this](const auto &Body) { this->perform(Body); }, Effect);
  const Ref<const CrashList> Next = this->Decisions.list();
  if (Next->Entries == this->Fleet.crashes()->Entries)
    return;
  for (const auto &[Print, Status] : Next->Entries)
    if (Status == CrashStatus::Refused &&
        this->Fleet.crashes()->find(Print) != CrashStatus::Refused)
      logEvent(LogLevel::Warning, "request-refused-from-now",
               {{"print", std::to_string(static_cast<std::uint64_t>(Print))}});
  this->Fleet.setCrashes(Next);
  this->Events.OnChanged();
}

void CrashAgent::perform(const WriteCrashRecord &Effect) {
  const std::string Name = crashRecordName(Effect.Record);
  const nlohmann::json Content = encodeCrashRecord(Effect.Record);
  logEvent(
      LogLevel::Warning, "request-crashed-targets",
      {{"print",
        std::to_string(static_cast<std::uint64_t>(Effect.Record.Print))},
       {"requests", std::int64_t(Effect.Record.Requests)},
       {"targets", static_cast<std::int64_t>(Effect.Record.Targets.size())}});
  this->Calls.call(
      Effect.Create
          ? this->Adapter.CreateCall(ObjectKind::Crashes, Name, Content)
          : this->Adapter.ReplaceCall(ObjectKind::Crashes, Name, Content),
      [Name](const Expected<HttpResponse> &Result) {
        // No retry: the next crash writes the whole record again.
        if (!hasSuccessStatus(Result))
          logEvent(LogLevel::Warning, "crash-record-not-written",
                   {{"object", Name}, {"detail", describeResult(Result)}});
      });
}

void CrashAgent::perform(const RemoveCrashRecord &Effect) {
  this->Calls.call(
      this->Adapter.RemoveCall(ObjectKind::Crashes, Effect.Name),
      [Name = Effect.Name](const Expected<HttpResponse> &Result) {
        const bool Removed =
            hasSuccessStatus(Result) ||
            (Result && Result->Status == StoreChannel::NotFoundStatus);
        if (!Removed)
          logEvent(LogLevel::Warning, "crash-record-not-removed",
                   {{"object", Name}, {"detail", describeResult(Result)}});
      });
}

} // namespace balsamyard
