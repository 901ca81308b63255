#include "apps/balsamyard-holder/SearchService.h"

namespace balsamyard::holder {

namespace {

/// \brief The tasks of one batch. Finishes the stream after the last reply.
class RunningBatch : public RefCounted<RunningBatch> {
public:
  RunningBatch(HolderState &State, Ref<PeerStream> Stream, std::size_t Items)
      : State(State), Stream(std::move(Stream)), OpenReplies(Items) {
    ++this->State.InFlight;
  }

  ~RunningBatch() { --this->State.InFlight; }

  void reply(const LeafReply &Reply) {
    this->Stream->send(encode(Reply));
    this->State.ProcessMetrics.add(
        "balsamyard_leaf_replies_total",
        "code=\"" + std::to_string(static_cast<int>(Reply.Result)) + "\"");
    if (this->OpenReplies.fetch_sub(1) != 1)
      return;
    this->Stream->finish();
    // The tasks refer to the batch. Releasing them after the last reply breaks
    // the reference cycle.
    std::vector<Ref<SlotTask>> Unused;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Unused.swap(this->Tasks);
    this->Ended = true;
  }

  void add(const Ref<SlotTask> &Task) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Ended)
        return;
      this->Tasks.push_back(Task);
      if (!this->Cancelled)
        return;
    }
    Task->cancel();
  }

  void cancel() {
    std::vector<Ref<SlotTask>> Ending;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Cancelled = true;
      Ending.swap(this->Tasks);
    }
    for (const Ref<SlotTask> &Task : Ending)
      Task->cancel();
  }

private:
  HolderState &State;
  Ref<PeerStream> Stream;
  std::atomic<std::size_t> OpenReplies;
  std::mutex Mutex;
  bool Cancelled = false;
  bool Ended = false;
  std::vector<Ref<SlotTask>> Tasks;
};

LeafReply makeRefusal(const LeafBatch &Batch, const LeafItem &Item,
                      Code Result) {
  LeafReply Reply;
  Reply.Query = Batch.Query;
  Reply.Leaf = Item.Leaf;
  Reply.Slot = Item.Slot;
  Reply.Attempt = Item.Attempt;
  Reply.Snapshot = Batch.Snapshot;
  Reply.Result = Result;
  return Reply;
}

} // namespace

void SearchService::serve(LeafBatch Batch, const Ref<PeerStream> &Stream) {
  if (Batch.Items.empty()) {
    Stream->finish();
    return;
  }
  const TimePoint Deadline = steadyNow() + Batch.TimeLeft;
  auto Shared = makeRef<const SharedBatch>(std::move(Batch));
  const LeafBatch &Request = Shared->Batch;
  auto Running =
      makeRef<RunningBatch>(this->State, Stream, Request.Items.size());
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  const Code Refusal =
      this->State.isDrained(*View) ? Code::TargetLeaving
      : this->State.QuarantinedRequests.holds(Request.Print, steadyNow())
          ? Code::Quarantined
          : Code::Ok;
  for (std::size_t Index = 0; Index < Request.Items.size(); ++Index) {
    const LeafItem &Item = Request.Items[Index];
    const Ref<SlotRunner> Slot =
        this->Slots.find({Request.Service, Item.Leaf, Item.Slot});
    const bool IsServed =
        Slot && (Request.Version.empty() || Slot->version() == Request.Version);
    if (Refusal != Code::Ok || !IsServed) {
      Running->reply(makeRefusal(
          Request, Item, Refusal == Code::Ok ? Code::NotOwner : Refusal));
      continue;
    }
    auto Task = makeRef<SlotTask>(SearchTask{Shared, Index,
                                             [Running](const LeafReply &Reply) {
                                               Running->reply(Reply);
                                             }},
                                  Deadline);
    Running->add(Task);
    Slot->submit(Task);
  }
  Stream->onCancel([Running] { Running->cancel(); });
}

} // namespace balsamyard::holder
