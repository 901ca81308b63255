#include "apps/balsamyard-holder/SearchService.h"

namespace balsamyard::holder {

namespace {

/// \brief The tasks of one batch. Finishes the stream after the last reply.
class RunningBatch : public RefCounted<RunningBatch> {
public:
  RunningBatch(HolderState &State, Ref<PeerStream> Stream, std::size_t Items)
      : State(State), Stream(std::move(Stream)), Open(Items) {
    ++this->State.InFlight;
  }

  ~RunningBatch() { --this->State.InFlight; }

  void reply(const LeafReply &Reply) {
    this->Stream->send(encode(Reply));
    this->State.Numbers.add(
        "balsamyard_leaf_replies_total",
        "code=\"" + std::to_string(static_cast<int>(Reply.Result)) + "\"");
    if (this->Open.fetch_sub(1) != 1)
      return;
    this->Stream->finish();
    // The tasks refer to the batch, so they are let go with the last reply.
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
  std::atomic<std::size_t> Open;
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
  const LeafBatch &Asked = Shared->Batch;
  auto Running = makeRef<RunningBatch>(this->State, Stream, Asked.Items.size());
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  const Code Refusal = this->State.isDrained(*View) ? Code::TargetLeaving
                       : this->State.Poison.holds(Asked.Print, steadyNow())
                           ? Code::Quarantined
                           : Code::Ok;
  for (std::size_t Item = 0; Item < Asked.Items.size(); ++Item) {
    const LeafItem &Wanted = Asked.Items[Item];
    const Ref<SlotRunner> Slot =
        this->Slots.find({Asked.Service, Wanted.Leaf, Wanted.Slot});
    const bool Known =
        Slot && (Asked.Version.empty() || Slot->version() == Asked.Version);
    if (Refusal != Code::Ok || !Known) {
      Running->reply(makeRefusal(
          Asked, Wanted, Refusal == Code::Ok ? Code::NotOwner : Refusal));
      continue;
    }
    auto Task = makeRef<SlotTask>(SearchTask{Shared, Item,
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
