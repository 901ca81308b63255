#include "apps/balsamyard-entry/QueryRunner.h"

#include "apps/balsamyard-entry/Mailbox.h"

#include <atomic>
#include <random>

namespace balsamyard::entry {

namespace {

/// Part of the caller's deadline that is reserved for writing the answer and
/// for the network to the caller (3 ms at both users).
constexpr Duration AnswerMargin = std::chrono::milliseconds(4);

/// The timeout of a call exceeds the deadline of its query by this much, so
/// that the query itself ends the call and knows the reason.
constexpr Duration CallGrace = std::chrono::milliseconds(50);

/// An encoded reply of a holder.
struct ReplyBytes {
  std::uint32_t Batch = 0;
  std::string Bytes;
  TimePoint ReceivedAt{};
};

struct CallEnd {
  BatchClosed Event;
  TimePoint ReceivedAt{};
};

using QueryMessage = std::variant<ReplyBytes, CallEnd>;

std::uint64_t randomSeed() {
  thread_local std::mt19937_64 Engine(std::random_device{}());
  return Engine();
}

QueryId nextQueryId() {
  // Starts at a random number, so that a restarted process uses other ids.
  static std::atomic<std::uint64_t> Next{randomSeed()};
  return QueryId{Next.fetch_add(1, std::memory_order_relaxed)};
}

/// Runs one search.
class RunningQuery {
public:
  RunningQuery(Query &Search, PeerClient &Peers, TimePoint Deadline)
      : Search(Search), Peers(Peers), Deadline(Deadline),
        Inbox(makeRef<Mailbox<QueryMessage>>()) {}

  ~RunningQuery() {
    this->Inbox->close();
    // Cancels the calls that an unfinished query has left open.
    for (Ref<PeerCall> &Call : this->Calls)
      if (Call)
        Call->cancel();
  }

  RunningQuery(const RunningQuery &) = delete;
  RunningQuery &operator=(const RunningQuery &) = delete;

  void run() {
    this->apply(QueryStarted{}, steadyNow());
    std::vector<QueryMessage> Messages;
    while (!this->Search.finished()) {
      this->Inbox->take(std::min(this->NextWake, this->Deadline), Messages);
      for (QueryMessage &Message : Messages)
        std::visit([&](auto &Value) { this->receive(Value); }, Message);
      const TimePoint Now = steadyNow();
      if (Now >= std::min(this->NextWake, this->Deadline))
        this->apply(TimeReached{}, Now);
    }
  }

private:
  void receive(ReplyBytes &Message) {
    Expected<LeafReply> Reply = decode<LeafReply>(Message.Bytes);
    if (Reply) {
      this->apply(LeafAnswered{Message.Batch, std::move(*Reply)},
                  Message.ReceivedAt);
      return;
    }
    // Nothing after an undecodable message of the stream can be trusted.
    this->carryOut(CancelBatch{Message.Batch});
    this->apply(BatchClosed{Message.Batch, Code::MalformedMessage, true},
                Message.ReceivedAt);
  }

  void receive(CallEnd &Message) {
    this->Calls[Message.Event.Batch].reset();
    this->apply(Message.Event, Message.ReceivedAt);
  }

  void apply(QueryEvent Event, TimePoint Now) {
    this->Effects.clear();
    this->Search.handle(std::move(Event), Now, this->Effects);
    for (const QueryEffect &Effect : this->Effects)
      std::visit([&](const auto &Value) { this->carryOut(Value); }, Effect);
  }

  void carryOut(const SendBatch &Effect) {
    const TimePoint Now = steadyNow();
    const std::uint32_t Batch = Effect.Batch;
    if (this->Calls.size() <= Batch)
      this->Calls.resize(Batch + 1);
    this->Calls[Batch] = this->Peers.call(
        this->Search.holderOf(Batch).Peer, "/v1/leaf-batch",
        encode(this->Search.message(Batch, Now)),
        std::max(this->Deadline - Now, Duration(0)) + CallGrace,
        [Inbox = this->Inbox, Batch](std::string Bytes) {
          Inbox->put(ReplyBytes{Batch, std::move(Bytes), steadyNow()});
        },
        [Inbox = this->Inbox, Batch](Code Result, bool Sent) {
          Inbox->put(CallEnd{{Batch, Result, Sent}, steadyNow()});
        });
  }

  void carryOut(const CancelBatch &Effect) {
    if (Ref<PeerCall> Call = std::move(this->Calls[Effect.Batch]))
      Call->cancel();
  }

  void carryOut(const WakeAt &Effect) { this->NextWake = Effect.At; }
  void carryOut(const Finish & /*Effect*/) {}

  Query &Search;
  PeerClient &Peers;
  const TimePoint Deadline;
  TimePoint NextWake = TimePoint::max();
  Ref<Mailbox<QueryMessage>> Inbox;
  std::vector<Ref<PeerCall>> Calls; ///< Indexed by batch.
  QueryEffects Effects;
};

std::string routeLabels(const CallerRequest &Request) {
  return "service=\"" + Request.Service.Text + "\",route=\"" +
         Request.Route.Text + "\"";
}

} // namespace

CallerAnswer QueryRunner::run(const CallerRequest &Request) {
  const TimePoint Now = steadyNow();
  Ref<const RoutingIndex> Index = this->State.Index.read();
  const ServiceIndex *Service = Index->service(Request.Service);
  if (!Service || !Service->HasSnapshot)
    return refuse(Code::NotReady, Request.Id, Outcome::NotRun,
                  "the service has no complete snapshot");
  if (this->State.Quarantine.contains(Request.Print, Now))
    return refuse(Code::Quarantined, Request.Id, Outcome::NotRun);

  const TimePoint Deadline = Request.Deadline - AnswerMargin;
  Arrival Arriving;
  Arriving.TimeLeft = Deadline - Now;
  Arriving.InFlight = this->State.InFlight.count() - 1;
  Arriving.Limit = this->State.InFlight.limit();
  Arriving.ServiceInFlight = Service->Stats->inFlight();
  Arriving.MedianLeafTime = Service->Stats->medianLeafTime();
  Arriving.AverageInFlight = Service->Stats->averageInFlight();
  if (const Code Admitted = admit(Arriving); Admitted != Code::Ok)
    return refuse(Admitted, Request.Id, Outcome::NotRun);

  auto Split = Index->View->Splits.find({Request.Service, Request.Route});
  const VersionRoutes *Routes = Service->choose(
      Split == Index->View->Splits.end() ? nullptr : &Split->second,
      Request.Id);
  if (!Routes)
    return refuse(Code::NoUsableSlot, Request.Id, Outcome::NotRun);

  QueryInput Input;
  Input.Id = nextQueryId();
  Input.Request = Request.Id;
  Input.Route = Request.Route;
  Input.Print = Request.Print;
  Input.Body = Request.Body;
  Input.Deadline = Deadline;
  Input.WantedCoverage = Request.Coverage;
  Input.ExtraShare =
      Index->View->Configuration.searchFor(Request.Service, Request.Route)
          .Hedge;
  Input.Seed = randomSeed();
  Query Search(std::move(Input), *Service, *Routes, this->State.Budget);
  Service->Stats->started();
  RunningQuery(Search, this->Peers, Deadline).run();
  Service->Stats->ended(Search.medianLeafTime(), Arriving.ServiceInFlight);

  QueryAnswer Merged = Search.takeAnswer();
  const QueryCounts &Counts = Search.counts();
  Metrics &ProcessMetrics = this->State.ProcessMetrics;
  const std::string Labels = routeLabels(Request);
  ProcessMetrics.add("balsamyard_leaf_requests_total", Labels,
                     Counts.Leaves + Counts.Hedges + Counts.Retries);
  ProcessMetrics.add("balsamyard_batches_total", Labels, Counts.Batches);
  ProcessMetrics.add("balsamyard_hedges_total", Labels, Counts.Hedges);
  ProcessMetrics.add("balsamyard_retries_total", Labels, Counts.Retries);
  ProcessMetrics.add("balsamyard_extra_denied_total", Labels, Counts.Denied);
  ProcessMetrics.add("balsamyard_replies_dropped_total", Labels,
                     Counts.Dropped);
  if (Merged.Result != Code::Ok)
    logEvent(LogLevel::Warning, "query-incomplete",
             {{"request", Request.Id.Text},
              {"service", Request.Service.Text},
              {"route", Request.Route.Text},
              {"version", Routes->Version.Text},
              {"code", Merged.Result},
              {"shards_answered", std::int64_t(Merged.Covered.ShardsAnswered)},
              {"shards_asked", std::int64_t(Merged.Covered.ShardsAsked)},
              {"hedges", std::int64_t(Counts.Hedges)},
              {"retries", std::int64_t(Counts.Retries)},
              {"denied", std::int64_t(Counts.Denied)},
              {"leaf_failure", std::string(name(Counts.LastFailure))}});

  CallerAnswer Answer;
  Answer.Result = Merged.Result;
  Answer.Request = Request.Id;
  Answer.Ran = Merged.Ran;
  Answer.Version = Routes->Version;
  Answer.Snapshot = Service->Snapshot;
  Answer.Covered = std::move(Merged.Covered);
  if (isSuccess(Merged.Result))
    Answer.Rows = std::move(Merged.Rows);
  else if (const CodeInfo *Info = find(Merged.Result))
    Answer.Detail = Info->Meaning;
  return Answer;
}

} // namespace balsamyard::entry
