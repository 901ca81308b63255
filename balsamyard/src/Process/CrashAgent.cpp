#include "balsamyard/src/Process/CrashAgent.h"

#include "balsamyard/src/Core/Log.h"

#include <random>
#include <utility>

namespace balsamyard {

namespace {

/// \returns the name of this process in its records.
NodeName recordOwner(const NodeName &Node) {
  return {Node.Text + "." + std::to_string(std::random_device()())};
}

} // namespace

CrashAgent::CrashAgent(asio::io_context &Context, const NodeSettings &Settings,
                       const PlatformAdapter &Adapter, Discovery &Fleet,
                       Handlers Events)
    : Adapter(Adapter), Fleet(Fleet), Events(std::move(Events)),
      Decisions(recordOwner(Settings.Node)), Calls(Context, Settings.Store),
      Timer(Context), ConfirmTimer(Context), RewriteTimer(Context) {
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

void CrashAgent::refresh() {
  if (this->Events.ReadsStore())
    this->maintain();
}

void CrashAgent::onStoreRestored() { this->apply(CrashStoreRestored{}); }

void CrashAgent::readPage(const std::string &After) {
  if (After.empty()) {
    if (std::exchange(this->Reading, true))
      return;
    this->Listing = {ObjectKind::Crashes, true, {}, {}};
  }
  this->Calls.call(this->Adapter.StaleListCall(ObjectKind::Crashes, After),
                   [this](const Expected<HttpResponse> &Result) {
                     FeedInput Read =
                         Result ? this->Adapter.ReadPage(*Result)
                                : FeedInput(FeedCallFailed{Result.error()});
                     if (auto *Page = std::get_if<FeedPage>(&Read))
                       this->onPage(*Page);
                     else {
                       this->Reading = false;
                       logEvent(LogLevel::Warning, "crash-records-not-read",
                                {{"detail", describeResult(Result)}});
                     }
                   });
}

void CrashAgent::onPage(FeedPage &Page) {
  if (this->Listing.Changes.empty())
    this->Listing.AsOf = Page.AsOf;
  for (StoredObject &Object : Page.Objects)
    this->Listing.Changes.push_back({std::move(Object), false});
  if (Page.HasMore && !this->Listing.Changes.empty()) {
    this->readPage(this->Listing.Changes.back().Object.Name);
    return;
  }
  this->Reading = false;
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
  if (std::holds_alternative<CrashRecordsListed>(Event) &&
      this->Decisions.hasUnstored())
    this->scheduleRewrite();
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
  this->write(Effect.Record, true, false);
}

void CrashAgent::write(const CrashRecord &Record, bool Create, bool Last) {
  const std::string Name = crashRecordName(Record);
  const nlohmann::json Content = encodeCrashRecord(Record);
  this->Calls.call(
      Create ? this->Adapter.CreateCall(ObjectKind::Crashes, Name, Content)
             : this->Adapter.ReplaceCall(ObjectKind::Crashes, Name, Content),
      [this, Record, Name, Create, Last](const Expected<HttpResponse> &Result) {
        if (hasSuccessStatus(Result)) {
          logEvent(LogLevel::Info, "crash-record-stored", {{"object", Name}});
          this->apply(CrashRecordWritten{Record, true});
          return;
        }
        // An earlier call has created the record, or it was removed.
        const bool WrongCall =
            Result && Result->Status == (Create ? StoreChannel::ConflictStatus
                                                : StoreChannel::NotFoundStatus);
        if (WrongCall && !Last) {
          this->write(Record, !Create, true);
          return;
        }
        logEvent(LogLevel::Warning, "crash-record-not-written",
                 {{"object", Name}, {"detail", describeResult(Result)}});
        this->apply(CrashRecordWritten{Record, false});
        this->scheduleRewrite();
      });
}

void CrashAgent::scheduleRewrite() {
  this->RewriteTimer.expires_after(CrashRecords::RewriteInterval);
  this->RewriteTimer.async_wait([this](const asio::error_code &Cancelled) {
    if (!Cancelled)
      this->apply(CrashTimePassed{this->Fleet.rank()});
  });
}

void CrashAgent::perform(const TellCrashRecord &Effect) {
  const CrashRecord &Record = Effect.Record;
  logEvent(LogLevel::Warning, "request-crashed-targets",
           {{"print", std::to_string(static_cast<std::uint64_t>(Record.Print))},
            {"requests", std::int64_t(Record.Requests)},
            {"targets", static_cast<std::int64_t>(Record.Targets.size())}});
  this->Events.OnTell(Record);
}

void CrashAgent::hear(const CrashRecord &Record) {
  logEvent(LogLevel::Info, "crash-record-heard",
           {{"object", crashRecordName(Record)},
            {"requests", std::int64_t(Record.Requests)}});
  this->apply(CrashRecordHeard{Record});
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
