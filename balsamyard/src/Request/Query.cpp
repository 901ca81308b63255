#include "balsamyard/src/Request/Query.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace balsamyard {

namespace {

/// Subtracted from the time that is passed to a holder, so that its answer
/// arrives before the deadline.
constexpr Duration ReturnMargin = std::chrono::milliseconds(1);

/// \returns whether the failure is caused by the slot, and not by the request,
/// its deadline or the connection to the holder.
bool isSlotFailure(Code Result) {
  switch (Result) {
  case Code::PeerUnreachable:
  case Code::MalformedMessage:
  case Code::NotOwner:
  case Code::Stopping:
  case Code::NotReady:
  case Code::Quarantined:
  case Code::Cancelled:
  case Code::DeadlineExceeded:
  case Code::DeadlineExpired:
    return false;
  default:
    return true;
  }
}

bool isOverload(Code Result) {
  return Result == Code::TargetShed || Result == Code::ColdLimited ||
         Result == Code::Overloaded;
}

} // namespace

bool saysNotRun(Code Result) {
  switch (Result) {
  case Code::TargetShed:
  case Code::SnapshotAbsent:
  case Code::ColdLimited:
  case Code::NoUsableSlot:
  case Code::TargetLeaving:
  case Code::NotOwner:
  case Code::Overloaded:
  case Code::Quarantined:
  case Code::Stopping:
  case Code::NotReady:
  case Code::DeadlineExpired:
    return true;
  default:
    return false;
  }
}

double Coverage::share() const {
  if (this->TotalWeight > 0)
    return static_cast<double>(this->Weight) /
           static_cast<double>(this->TotalWeight);
  return this->ShardsAsked == 0
             ? 0.0
             : static_cast<double>(this->ShardsAnswered) / this->ShardsAsked;
}

Query::Query(QueryInput Input, const ServiceIndex &Index,
             const VersionRoutes &Routes, ExtraLoadBudget &Budget)
    : Input(std::move(Input)), Index(Index), Routes(Routes), Budget(Budget),
      Random(this->Input.Seed), Lanes(Index),
      Hedging(HedgePolicy::forService(*Index.Stats)),
      Leaves(Index.Leaves.size()), BatchOfHolder(Index.Holders.size(), None),
      Rows(Index.Shards.size()), LastReply(Index.Shards.size(), 0) {
  // Hedges and retries add only a few percent, so one allocation usually
  // suffices.
  this->Items.reserve(this->Leaves.size() + this->Leaves.size() / 8 + 4);
  this->Batches.reserve(16);
}

Query::~Query() {
  // Attempts of a query that is destroyed while it runs must not remain counted
  // as in flight.
  for (LeafProgress &Leaf : this->Leaves)
    for (std::uint32_t Number = 0; Number < Leaf.AttemptCount; ++Number)
      if (Leaf.Attempts[Number].Open)
        this->Routes.Slots[Leaf.Attempts[Number].Slot].Stats->ended();
}

void Query::handle(QueryEvent Event, TimePoint Now, QueryEffects &Effects) {
  if (this->Finished)
    return;
  std::visit([&](auto &Alternative) { this->on(Alternative, Now, Effects); },
             Event);
  this->flush(Effects);
  this->checkEnd(Now, Effects);
}

void Query::on(const QueryStarted & /*Event*/, TimePoint Now,
               QueryEffects &Effects) {
  this->Started = Now;
  std::uint32_t FirstAttempts = 0;
  for (std::uint32_t Leaf = 0; Leaf < this->Leaves.size(); ++Leaf) {
    this->Leaves[Leaf].MissingShards = this->Index.Leaves[Leaf].Count;
    if (this->addAttempt(Leaf, Now)) {
      ++FirstAttempts;
      ++this->UnsettledLeaves;
    } else {
      this->Leaves[Leaf].Settled = true;
    }
  }
  this->Counts.Leaves = static_cast<std::uint32_t>(this->Leaves.size());
  this->Budget.earn(FirstAttempts, this->Input.ExtraShare);
  if (FirstAttempts > 0)
    Effects.emplace_back(WakeAt{
        this->Hedging.nextCheck(this->Started, this->Input.Deadline, Now)});
}

void Query::on(LeafAnswered &Event, TimePoint Now, QueryEffects &Effects) {
  LeafReply &Reply = Event.Reply;
  const std::size_t Position = this->Index.positionOf(Reply.Leaf);
  if (Reply.Query != this->Input.Id || Position >= this->Leaves.size()) {
    ++this->Counts.Dropped;
    return;
  }
  const auto Leaf = static_cast<std::uint32_t>(Position);
  LeafProgress &Progress = this->Leaves[Leaf];
  if (Reply.Attempt >= Progress.AttemptCount) {
    ++this->Counts.Dropped;
    return;
  }
  Attempt &Answered = Progress.Attempts[Reply.Attempt];
  const SlotRoute &Slot = this->Routes.Slots[Answered.Slot];
  if (!Answered.Open || Answered.Batch != Event.Batch ||
      Slot.Slot != Reply.Slot) {
    ++this->Counts.Dropped;
    return;
  }
  if (Reply.Result != Code::Ok) {
    this->attemptFailed(Leaf, Answered, Reply.Result, Now, Effects);
    return;
  }
  if (Reply.Snapshot != this->Index.Snapshot ||
      Reply.Version != this->Routes.Version ||
      !this->partsMatch(this->Index.Leaves[Leaf], Reply.Parts)) {
    ++this->Counts.Dropped;
    this->attemptFailed(Leaf, Answered, Code::TargetMalformed, Now, Effects);
    return;
  }
  this->MayHaveRun = true;
  Slot.Stats->observe(Now - Answered.Sent, Now);
  this->Index.Holders[this->Batches[Answered.Batch].Holder]
      .Stats->observeSuccess();
  this->Index.Stats->LeafTime.observe(Now - Progress.Attempts[0].Sent);
  this->closeAttempt(Leaf, Answered);
  this->merge(Leaf, Reply.Parts);
  if (Progress.MissingShards == 0) {
    ++this->AnsweredLeaves;
    if (this->MedianLeafTime == Duration(0) &&
        this->AnsweredLeaves >= (this->Leaves.size() + 1) / 2)
      this->MedianLeafTime = Now - this->Started;
    this->settle(Leaf, Now, Effects);
    return;
  }
  // The reply lacks some shards: request these from another slot.
  if (Progress.OpenCount == 0)
    this->tryExtra(Leaf, ExtraReason::Retry, Now);
}

void Query::on(const BatchClosed &Event, TimePoint Now, QueryEffects &Effects) {
  if (Event.Batch >= this->Batches.size() || this->Batches[Event.Batch].Closed)
    return;
  this->Batches[Event.Batch].Closed = true;
  const Code Result =
      Event.Result == Code::Ok ? Code::MalformedMessage : Event.Result;
  if (Event.Result == Code::PeerUnreachable)
    this->Index.Holders[this->Batches[Event.Batch].Holder]
        .Stats->observeFailure(Now);
  // attemptFailed() may append items, so keep indices instead of references.
  for (std::uint32_t Position = this->Batches[Event.Batch].FirstItem;
       Position != None; Position = this->Items[Position].Next) {
    const Item Entry = this->Items[Position];
    Attempt &Unanswered = this->Leaves[Entry.Leaf].Attempts[Entry.Attempt];
    if (!Unanswered.Open)
      continue;
    if (Event.Sent)
      this->MayHaveRun = true;
    this->OnlyOverload = false;
    this->attemptFailed(Entry.Leaf, Unanswered, Result, Now, Effects);
  }
}

void Query::on(const TimeReached & /*Event*/, TimePoint Now,
               QueryEffects &Effects) {
  if (Now >= this->Input.Deadline)
    return;
  // Starting at a random leaf prevents a scarce budget from always being spent
  // on the first leaves.
  const auto Count = static_cast<std::uint32_t>(this->Leaves.size());
  const std::uint32_t Offset = Count == 0 ? 0 : this->Random.below(Count);
  // Waiting helps because other queries refill the budget. It ends at half of
  // the time; the rest is left for retries.
  const bool GiveUpWaiting =
      Now - this->Started >= (this->Input.Deadline - this->Started) / 2;
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const std::uint32_t Leaf =
        Offset + Step < Count ? Offset + Step : Offset + Step - Count;
    LeafProgress &Progress = this->Leaves[Leaf];
    if (Progress.Settled)
      continue;
    if (Progress.Waiting) {
      if (!this->tryExtra(Leaf, ExtraReason::Retry, Now) && GiveUpWaiting &&
          !Progress.Settled)
        this->settle(Leaf, Now, Effects);
    } else if (this->Hedging.isLate(
                   Progress.Attempts[Progress.AttemptCount - 1].Sent, Now)) {
      this->tryExtra(Leaf, ExtraReason::Hedge, Now);
    }
  }
  Effects.emplace_back(WakeAt{
      this->Hedging.nextCheck(this->Started, this->Input.Deadline, Now)});
}

bool Query::addAttempt(std::uint32_t Leaf, TimePoint Now) {
  LeafProgress &Progress = this->Leaves[Leaf];
  const LeafRoute &Route = this->Routes.Leaves[Leaf];
  const std::optional<std::uint32_t> Slot = chooseSlot(
      this->Index, this->Routes, Route, Progress.Tried, Now, this->Random);
  if (!Slot)
    return false;
  const std::uint32_t Holder =
      this->Lanes.choose(this->Routes.Slots[*Slot].Lanes, Now, this->Random);
  std::uint32_t &BatchIndex = this->BatchOfHolder[Holder];
  if (BatchIndex == None || BatchIndex < this->FirstUnsentBatch) {
    BatchIndex = static_cast<std::uint32_t>(this->Batches.size());
    this->Batches.push_back({Holder, None, None, 0, 0, false});
  }
  Batch &Pending = this->Batches[BatchIndex];
  const auto Position = static_cast<std::uint32_t>(this->Items.size());
  this->Items.push_back({Leaf, Progress.AttemptCount, None});
  if (Pending.FirstItem == None)
    Pending.FirstItem = Position;
  else
    this->Items[Pending.LastItem].Next = Position;
  Pending.LastItem = Position;
  ++Pending.Items;
  ++Pending.OpenItems;
  Progress.Attempts[Progress.AttemptCount++] = {*Slot, BatchIndex, Now, true};
  Progress.Tried.insert(*Slot - Route.FirstSlot);
  ++Progress.OpenCount;
  Progress.Waiting = false;
  this->Routes.Slots[*Slot].Stats->started();
  return true;
}

void Query::flush(QueryEffects &Effects) {
  for (; this->FirstUnsentBatch < this->Batches.size();
       ++this->FirstUnsentBatch) {
    ++this->Counts.Batches;
    Effects.emplace_back(SendBatch{this->FirstUnsentBatch});
  }
}

bool Query::tryExtra(std::uint32_t Leaf, ExtraReason Reason, TimePoint Now) {
  LeafProgress &Progress = this->Leaves[Leaf];
  const bool SlotsLeft =
      Progress.AttemptCount < HedgePolicy::MaxAttempts &&
      Progress.AttemptCount < this->Routes.Leaves[Leaf].SlotCount;
  if (!SlotsLeft) {
    if (Progress.OpenCount == 0) {
      Progress.Settled = true;
      --this->UnsettledLeaves;
    }
    return false;
  }
  if (!this->Budget.trySpend()) {
    ++this->Counts.Denied;
    Progress.Waiting = Progress.OpenCount == 0;
    return false;
  }
  ++(Reason == ExtraReason::Hedge ? this->Counts.Hedges : this->Counts.Retries);
  return this->addAttempt(Leaf, Now);
}

void Query::attemptFailed(std::uint32_t Leaf, Attempt &Failed, Code Result,
                          TimePoint Now, QueryEffects &Effects) {
  const SlotRoute &Slot = this->Routes.Slots[Failed.Slot];
  this->Counts.LastFailure = Result;
  if (!saysNotRun(Result) && Result != Code::PeerUnreachable)
    this->MayHaveRun = true;
  if (!isOverload(Result))
    this->OnlyOverload = false;
  if (isSlotFailure(Result))
    Slot.Stats->observeFailure(Now);
  else if (Result == Code::DeadlineExceeded || Result == Code::DeadlineExpired)
    Slot.Stats->observeUnanswered(Now - Failed.Sent, Now);
  this->closeAttempt(Leaf, Failed);
  LeafProgress &Progress = this->Leaves[Leaf];
  if (Result == Code::Quarantined) {
    this->SawQuarantine = true;
    this->settle(Leaf, Now, Effects);
    return;
  }
  if (Progress.OpenCount == 0)
    this->tryExtra(Leaf, ExtraReason::Retry, Now);
}

void Query::closeAttempt(std::uint32_t Leaf, Attempt &Closed) {
  assert(Closed.Open);
  Closed.Open = false;
  --this->Leaves[Leaf].OpenCount;
  --this->Batches[Closed.Batch].OpenItems;
  this->Routes.Slots[Closed.Slot].Stats->ended();
}

bool Query::partsMatch(const LeafShards &Leaf,
                       const std::vector<ShardPart> &Parts) {
  const auto First = this->Index.Shards.begin() + Leaf.First;
  const auto Last = First + Leaf.Count;
  ++this->ReplyNumber;
  for (const ShardPart &Part : Parts) {
    const auto Found = std::lower_bound(
        First, Last, Part.Shard,
        [](const ShardRoute &Entry, ShardId Key) { return Entry.Shard < Key; });
    if (Found == Last || Found->Shard != Part.Shard)
      return false;
    std::uint32_t &Seen = this->LastReply[Found - this->Index.Shards.begin()];
    if (Seen == this->ReplyNumber)
      return false;
    Seen = this->ReplyNumber;
    if (Part.Rows.size() < 2 || Part.Rows.front() != '[' ||
        Part.Rows.back() != ']')
      return false;
  }
  return true;
}

void Query::merge(std::uint32_t Leaf, std::vector<ShardPart> &Parts) {
  const LeafShards &Asked = this->Index.Leaves[Leaf];
  const auto First = this->Index.Shards.begin() + Asked.First;
  for (ShardPart &Part : Parts) {
    const auto Found = std::lower_bound(
        First, First + Asked.Count, Part.Shard,
        [](const ShardRoute &Entry, ShardId Key) { return Entry.Shard < Key; });
    std::string &MergedRows = this->Rows[Found - this->Index.Shards.begin()];
    if (!MergedRows.empty())
      continue;
    MergedRows = std::move(Part.Rows);
    this->AnsweredBytes += MergedRows.size();
    this->AnsweredWeight += Found->Weight;
    ++this->AnsweredShards;
    --this->Leaves[Leaf].MissingShards;
  }
}

void Query::settle(std::uint32_t Leaf, TimePoint Now, QueryEffects &Effects) {
  LeafProgress &Progress = this->Leaves[Leaf];
  if (Progress.Settled)
    return;
  Progress.Settled = true;
  Progress.Waiting = false;
  --this->UnsettledLeaves;
  for (std::uint32_t Number = 0; Number < Progress.AttemptCount; ++Number) {
    Attempt &Superseded = Progress.Attempts[Number];
    if (!Superseded.Open)
      continue;
    this->MayHaveRun = true;
    this->OnlyOverload = false;
    this->Routes.Slots[Superseded.Slot].Stats->observeUnanswered(
        Now - Superseded.Sent, Now);
    this->closeAttempt(Leaf, Superseded);
    Batch &Sent = this->Batches[Superseded.Batch];
    if (Sent.OpenItems == 0 && !Sent.Closed) {
      Sent.Closed = true;
      Effects.emplace_back(CancelBatch{Superseded.Batch});
    }
  }
}

bool Query::wantedCoverageMet() const {
  if (this->AnsweredShards == 0)
    return false;
  if (this->Index.TotalWeight == 0)
    return static_cast<double>(this->AnsweredShards) >=
           this->Input.WantedCoverage *
               static_cast<double>(this->Index.Shards.size());
  return static_cast<double>(this->AnsweredWeight) >=
         this->Input.WantedCoverage *
             static_cast<double>(this->Index.TotalWeight);
}

void Query::checkEnd(TimePoint Now, QueryEffects &Effects) {
  const bool DeadlinePassed = Now >= this->Input.Deadline;
  const bool PartialAllowed =
      Now >= this->Hedging.partialAnswerTime(this->Started) &&
      this->wantedCoverageMet();
  if (this->UnsettledLeaves > 0 && !DeadlinePassed && !PartialAllowed)
    return;
  this->ReachedDeadline = DeadlinePassed && this->UnsettledLeaves > 0;
  for (std::uint32_t Leaf = 0; Leaf < this->Leaves.size(); ++Leaf)
    this->settle(Leaf, Now, Effects);
  if (this->MedianLeafTime == Duration(0))
    this->MedianLeafTime = Now - this->Started;
  this->Finished = true;
  Effects.emplace_back(Finish{});
}

LeafBatch Query::message(std::uint32_t Batch, TimePoint Now) const {
  const struct Batch &Source = this->Batches[Batch];
  LeafBatch Message;
  Message.Query = this->Input.Id;
  Message.Request = this->Input.Request;
  Message.Service = this->Index.Service;
  Message.Route = this->Input.Route;
  Message.Version = this->Routes.Version;
  Message.Snapshot = this->Index.Snapshot;
  Message.TimeLeft =
      std::max(this->Input.Deadline - Now - ReturnMargin, Duration(0));
  Message.Print = this->Input.Print;
  Message.Body = this->Input.Body;
  Message.Items.reserve(Source.Items);
  for (std::uint32_t Position = Source.FirstItem; Position != None;
       Position = this->Items[Position].Next) {
    const Item &Entry = this->Items[Position];
    const LeafShards &Asked = this->Index.Leaves[Entry.Leaf];
    const Attempt &Sent = this->Leaves[Entry.Leaf].Attempts[Entry.Attempt];
    LeafItem &Target = Message.Items.emplace_back();
    Target.Leaf = Asked.Leaf;
    Target.Slot = this->Routes.Slots[Sent.Slot].Slot;
    Target.Attempt = Entry.Attempt;
    Target.Shards.reserve(Asked.Count);
    for (std::uint32_t Shard = Asked.First; Shard < Asked.First + Asked.Count;
         ++Shard)
      if (this->Rows[Shard].empty())
        Target.Shards.push_back(this->Index.Shards[Shard].Shard);
  }
  return Message;
}

const HolderRoute &Query::holderOf(std::uint32_t Batch) const {
  return this->Index.Holders[this->Batches[Batch].Holder];
}

QueryAnswer Query::takeAnswer() {
  assert(this->Finished);
  QueryAnswer Answer;
  Coverage &Covered = Answer.Covered;
  Covered.Weight = this->AnsweredWeight;
  Covered.TotalWeight = this->Index.TotalWeight;
  Covered.ShardsAnswered = this->AnsweredShards;
  Covered.ShardsAsked = static_cast<std::uint32_t>(this->Rows.size());
  Covered.Missing.reserve(Covered.ShardsAsked - Covered.ShardsAnswered);
  Answer.Rows.reserve(this->AnsweredBytes + 2);
  Answer.Rows.push_back('[');
  for (std::size_t Shard = 0; Shard < this->Rows.size(); ++Shard) {
    const std::string &Part = this->Rows[Shard];
    if (Part.empty()) {
      Covered.Missing.push_back(this->Index.Shards[Shard].Shard);
      continue;
    }
    if (Part.size() == 2)
      continue;
    if (Answer.Rows.size() > 1)
      Answer.Rows.push_back(',');
    Answer.Rows.append(Part, 1, Part.size() - 2);
  }
  Answer.Rows.push_back(']');
  Answer.Result = this->resultCode();
  if (Covered.ShardsAnswered > 0)
    Answer.Ran = Outcome::Ran;
  else
    Answer.Ran = this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  return Answer;
}

Code Query::resultCode() const {
  if (this->AnsweredShards == this->Rows.size())
    return Code::Ok;
  if (this->AnsweredShards > 0)
    return Code::Partial;
  if (this->SawQuarantine)
    return Code::Quarantined;
  if (this->ReachedDeadline)
    return Code::DeadlineExceeded;
  if (this->Items.empty())
    return Code::NoUsableSlot;
  return this->OnlyOverload ? Code::Overloaded : Code::NoCoverage;
}

} // namespace balsamyard
