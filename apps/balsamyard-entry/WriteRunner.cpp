#include "apps/balsamyard-entry/WriteRunner.h"

#include "apps/balsamyard-entry/Mailbox.h"

#include <thread>
#include <xxhash.h>

namespace balsamyard::entry {

namespace {

/// Part of the caller's deadline that is reserved for the network from the gate
/// and to the caller.
constexpr Duration AnswerMargin = std::chrono::milliseconds(5);

/// Delay before a repeatable write is sent again, which lets a gate move or a
/// connection open.
constexpr Duration RetryDelay = std::chrono::milliseconds(50);

constexpr std::uint32_t MaxWriteAttempts = 3;

struct GateCallEnd {
  Code Result = Code::Ok;
};

using WriteMessage = std::variant<std::string, GateCallEnd>;

/// \returns the leaf that holds \p Record, or nothing if the service has none.
std::optional<LeafIndex> leafOf(const ServiceCatalog &Service,
                                const std::string &Record) {
  if (Service.Leaves.empty())
    return std::nullopt;
  const XXH64_hash_t Hash = XXH3_64bits(Record.data(), Record.size());
  return Service.Leaves[Hash % Service.Leaves.size()].Index;
}

/// \returns whether sending the same write again may succeed.
bool isRetryable(Code Result) {
  return Result == Code::GateUnreachable || Result == Code::OutcomeUnknown ||
         Result == Code::NotOwner || Result == Code::Stopping ||
         Result == Code::NotReady;
}

} // namespace

CallerAnswer WriteRunner::run(const CallerRequest &Request) {
  const Outcome Refused =
      Request.Repeatable ? Outcome::NotRun : Outcome::Unknown;
  if (Request.Deadline - AnswerMargin <= steadyNow())
    return refuse(Code::DeadlineExpired, Request.Id, Refused);
  // The gate refuses quarantined writes that may not be repeated, because only
  // it can say that none ran.
  if (Request.Repeatable &&
      this->State.Quarantine.contains(Request.Print, steadyNow()))
    return refuse(Code::Quarantined, Request.Id, Refused);

  this->State.Budget.earn(1);
  bool MayHaveRun = false;
  GateCall Call;
  for (std::uint32_t Attempt = 1;; ++Attempt) {
    Call = this->callGate(Request);
    if (Call.Result == Code::OutcomeUnknown)
      MayHaveRun = true;
    const bool Retry =
        Request.Repeatable && isRetryable(Call.Result) &&
        Attempt < MaxWriteAttempts &&
        steadyNow() + RetryDelay < Request.Deadline - AnswerMargin &&
        this->State.Budget.trySpend();
    if (!Retry)
      break;
    this->State.ProcessMetrics.add("balsamyard_retries_total",
                                   "service=\"" + Request.Service.Text +
                                       "\",route=\"" + Request.Route.Text +
                                       "\"");
    std::this_thread::sleep_for(RetryDelay);
  }
  if (Call.Reply) {
    CallerAnswer Answer = refuse(Call.Result, Request.Id, Call.Reply->Ran);
    if (isSuccess(Call.Result))
      Answer.Detail.clear();
    // A process that is not the gate cannot know what the gate did.
    if (Call.Result == Code::NotOwner && !Request.Repeatable)
      Answer.Ran = Outcome::Unknown;
    if (MayHaveRun && Answer.Ran == Outcome::NotRun)
      Answer.Ran = Outcome::Unknown;
    Answer.Version = Call.Reply->Version;
    Answer.WriteResult = std::move(Call.Reply->Body);
    return Answer;
  }
  return refuse(Call.Result, Request.Id,
                MayHaveRun ? Outcome::Unknown : Refused);
}

WriteRunner::GateCall WriteRunner::callGate(const CallerRequest &Request) {
  Ref<const RoutingIndex> Index = this->State.Index.read();
  const RoutingView &View = *Index->View;
  const ServiceIndex *Routes = Index->service(Request.Service);
  const ServiceCatalog *Service = View.service(Request.Service);
  const NodeInfo *Gate = View.node(View.Gates.Gates[gateOf(Request.Id)].Node);
  if (!Gate || !Routes || !Service)
    return {};
  const std::optional<LeafIndex> Leaf = leafOf(*Service, Request.Record);
  auto Split = View.Splits.find({Request.Service, Request.Route});
  const VersionRoutes *Version = Routes->choose(
      Split == View.Splits.end() ? nullptr : &Split->second, Request.Id);
  if (!Leaf || !Version)
    return {Code::NoUsableSlot, std::nullopt};

  const TimePoint Now = steadyNow();
  const TimePoint Deadline = Request.Deadline - AnswerMargin;
  const Duration TimeLeft = std::max(Deadline - Now, Duration(0));
  WriteCommand Command;
  Command.Request = Request.Id;
  Command.Service = Request.Service;
  Command.Route = Request.Route;
  Command.Version = Version->Version;
  Command.Leaf = *Leaf;
  Command.Repeatable = Request.Repeatable;
  Command.TimeLeft = TimeLeft;
  Command.Expiry =
      wallNow() + std::chrono::floor<std::chrono::milliseconds>(TimeLeft);
  Command.Print = Request.Print;
  Command.Body = Request.Body;

  Ref<Mailbox<WriteMessage>> Inbox = makeRef<Mailbox<WriteMessage>>();
  Ref<PeerCall> Call = this->Peers.call(
      Gate->Peer, "/v1/write", encode(Command), TimeLeft,
      [Inbox](std::string Bytes) { Inbox->put(std::move(Bytes)); },
      [Inbox](Code Result, bool Sent) {
        Inbox->put(
            GateCallEnd{Sent ? Code::OutcomeUnknown
                             : (Result == Code::Ok ? Code::OutcomeUnknown
                                                   : Code::GateUnreachable)});
      });
  std::vector<WriteMessage> Messages;
  while (steadyNow() < Deadline) {
    Inbox->take(Deadline, Messages);
    for (WriteMessage &Message : Messages) {
      if (const auto *End = std::get_if<GateCallEnd>(&Message)) {
        Inbox->close();
        return {End->Result, std::nullopt};
      }
      Expected<WriteReply> Reply =
          decode<WriteReply>(std::get<std::string>(Message));
      // A reply to another request must not be passed on to this caller.
      if (!Reply || Reply->Request != Request.Id)
        continue;
      Inbox->close();
      return {Reply->Result, std::move(*Reply)};
    }
  }
  Inbox->close();
  Call->cancel();
  return {Code::OutcomeUnknown, std::nullopt};
}

} // namespace balsamyard::entry
