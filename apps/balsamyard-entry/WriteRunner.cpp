#include "apps/balsamyard-entry/WriteRunner.h"

#include "apps/balsamyard-entry/Mailbox.h"

#include <thread>
#include <xxhash.h>

namespace balsamyard::entry {

namespace {

/// Kept back from the caller's deadline for the way back from the gate and to
/// the caller.
constexpr Duration AnswerMargin = std::chrono::milliseconds(5);

/// Pause before a repeatable write is sent again, in which a gate can move or a
/// connection be made.
constexpr Duration RetryPause = std::chrono::milliseconds(50);

constexpr std::uint32_t MaxWriteAttempts = 3;

struct GateEnd {
  Code Result = Code::Ok;
};

using WriteLetter = std::variant<std::string, GateEnd>;

/// \returns the leaf that holds \p Record, or nothing if the service has none.
std::optional<LeafIndex> leafOf(const ServiceCatalog &Service,
                                const std::string &Record) {
  if (Service.Leaves.empty())
    return std::nullopt;
  const XXH64_hash_t Hash = XXH3_64bits(Record.data(), Record.size());
  return Service.Leaves[Hash % Service.Leaves.size()].Index;
}

/// \returns whether the same write may be answered by another try.
bool mayHelpToRetry(Code Result) {
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
    const bool Again =
        Request.Repeatable && mayHelpToRetry(Call.Result) &&
        Attempt < MaxWriteAttempts &&
        steadyNow() + RetryPause < Request.Deadline - AnswerMargin &&
        this->State.Budget.trySpend();
    if (!Again)
      break;
    this->State.Numbers.add("balsamyard_retries_total",
                            "service=\"" + Request.Service.Text +
                                "\",route=\"" + Request.Route.Text + "\"");
    std::this_thread::sleep_for(RetryPause);
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

  Ref<Mailbox<WriteLetter>> Box = makeRef<Mailbox<WriteLetter>>();
  Ref<PeerCall> Call = this->Peers.call(
      Gate->Peer, "/v1/write", encode(Command), TimeLeft,
      [Box](std::string Bytes) { Box->put(std::move(Bytes)); },
      [Box](Code Result, bool Sent) {
        Box->put(GateEnd{Sent ? Code::OutcomeUnknown
                              : (Result == Code::Ok ? Code::OutcomeUnknown
                                                    : Code::GateUnreachable)});
      });
  std::vector<WriteLetter> Letters;
  while (steadyNow() < Deadline) {
    Box->take(Deadline, Letters);
    for (WriteLetter &Letter : Letters) {
      if (const auto *End = std::get_if<GateEnd>(&Letter)) {
        Box->close();
        return {End->Result, std::nullopt};
      }
      Expected<WriteReply> Reply =
          decode<WriteReply>(std::get<std::string>(Letter));
      // A reply to another request must not be passed on to this caller.
      if (!Reply || Reply->Request != Request.Id)
        continue;
      Box->close();
      return {Reply->Result, std::move(*Reply)};
    }
  }
  Box->close();
  Call->cancel();
  return {Code::OutcomeUnknown, std::nullopt};
}

} // namespace balsamyard::entry
