#include "balsamyard/Process"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <queue>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

const NodeName East{"east-1"};
const NodeName West{"west-1"};

/// \returns a UUIDv7 that was issued at \p Issued.
RequestId makeId(WallTime Issued, std::uint64_t Number) {
  char Text[64];
  const auto Time =
      static_cast<unsigned long long>(Issued.time_since_epoch().count());
  std::snprintf(Text, sizeof(Text), "%08llx-%04llx-7000-8000-%012llx",
                (Time >> 16) & 0xffffffff, Time & 0xffff,
                static_cast<unsigned long long>(Number) & 0xffffffffffff);
  return {Text};
}

Ref<const GateCommand> makeWrite(const RequestId &Id, WallTime Expiry) {
  WriteCommand Command;
  Command.Request = Id;
  Command.Expiry = Expiry;
  Command.Body = "{}";
  return makeRef<const GateCommand>(std::move(Command));
}

WriteReply makeEnd(Code Result, Outcome Ran) {
  WriteReply Reply;
  Reply.Result = Result;
  Reply.Ran = Ran;
  Reply.Body = "stored";
  return Reply;
}

template <typename Effect>
std::vector<Effect> pick(const std::vector<GateEffect> &Effects) {
  std::vector<Effect> Result;
  for (const GateEffect &Entry : Effects)
    if (const auto *Body = std::get_if<Effect>(&Entry))
      Result.push_back(*Body);
  return Result;
}

/// One gate in virtual time that has owned its ids for a minute.
struct GateWorld {
  GateWorld() : Gate(East, Start) {
    const auto Reads = pick<RereadOwner>(this->tick());
    REQUIRE(Reads.size() == 1);
    this->Gate.apply(OwnerRead{7, {East, Start}, Reads.front().Epoch},
                     this->Now);
    REQUIRE(this->Gate.owned());
    this->pass(60s);
  }

  std::vector<GateEffect> tick() {
    return this->Gate.apply(GateTick{}, this->Now);
  }

  /// Lets time pass with all ticks in time.
  std::vector<GateEffect> pass(std::chrono::milliseconds Time) {
    std::vector<GateEffect> All;
    for (const WallTime End = this->Now + Time; this->Now < End;) {
      this->Now = std::min(End, this->Now + WriteGate::TickPeriod);
      for (GateEffect &Effect : this->tick())
        All.push_back(std::move(Effect));
    }
    return All;
  }

  RequestId issue() { return makeId(this->Now, ++this->Issued); }

  std::vector<GateEffect> arrive(const RequestId &Id,
                                 std::vector<SlotIndex> Slots = {0, 1},
                                 std::optional<Code> Refusal = {}) {
    return this->Gate.apply(WriteArrived{GateCaller{++this->Callers},
                                         makeWrite(Id, this->Now + 2s),
                                         std::move(Slots), Refusal},
                            this->Now);
  }

  /// \returns the reply to a copy that is answered at once.
  WriteReply reply(const RequestId &Id, std::optional<Code> Refusal = {}) {
    const auto Effects = this->arrive(Id, {0, 1}, Refusal);
    CHECK(pick<SendWrite>(Effects).empty());
    const auto Answers = pick<AnswerWrite>(Effects);
    REQUIRE(Answers.size() == 1);
    return Answers.front().Reply;
  }

  std::vector<GateEffect> end(const RequestId &Id, std::size_t Attempt,
                              Outcome Ran) {
    return this->Gate.apply(AttemptEnded{Id, Attempt, makeEnd(Code::Ok, Ran)},
                            this->Now);
  }

  const WallTime Start{std::chrono::hours(500000)};
  WallTime Now = Start;
  WriteGate Gate;
  std::uint64_t Issued = 0;
  std::uint64_t Callers = 0;
};

} // namespace

// Guards against ids whose time of issue is misread, or is not part of them.
TEST_CASE("the time of issue is read from a UUIDv7", "[gate]") {
  const WallTime Issued{1790000000123ms};
  const RequestId Id = makeId(Issued, 5);
  CHECK(issueTime(Id) == Issued);
  CHECK(issueTime({"017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}) ==
        WallTime(1645557742000ms));

  SECTION("other ids have none") {
    CHECK_FALSE(issueTime({""}));
    CHECK_FALSE(issueTime({"017f22e2-79b0-4cc3-98c4-dc0c0c07398f"}));
    CHECK_FALSE(issueTime({"017f22e2-79b0-7cc3-c8c4-dc0c0c07398f"}));
    CHECK_FALSE(issueTime({"017f22e279b07cc398c4dc0c0c07398f0000"}));
    CHECK_FALSE(issueTime({"017F22E2-79B0-7CC3-98C4-DC0C0C07398F"}));
    CHECK_FALSE(issueTime({Id.Text + "0"}));
  }
}

TEST_CASE("a write runs once whatever copies arrive", "[gate]") {
  GateWorld World;
  const RequestId Id = World.issue();
  const auto Sent = pick<SendWrite>(World.arrive(Id));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent.front().Expiry <= World.Now + WriteGate::MaxExpiry);

  // Guards against a second execution by a caller that repeats too early.
  SECTION("a copy that arrives while the first runs is told so") {
    CHECK(World.reply(Id).Result == Code::StillRunning);
    CHECK(World.reply(Id).Ran == Outcome::Unknown);
  }

  SECTION("a copy that arrives afterwards gets the first answer") {
    const auto Answers = pick<AnswerWrite>(World.end(Id, 0, Outcome::Ran));
    REQUIRE(Answers.size() == 1);
    CHECK(Answers.front().Reply.Ran == Outcome::Ran);
    const WriteReply Again = World.reply(Id);
    CHECK(Again.Result == Code::Replayed);
    CHECK(Again.Ran == Outcome::Ran);
    CHECK(Again.Body == "stored");

    SECTION("until the id is too old to be told apart from a forgotten one") {
      World.pass(WriteGate::Memory + 2s);
      CHECK(World.Gate.entries() == 0);
      CHECK(World.Gate.answerBytes() == 0);
      CHECK(World.reply(Id).Result == Code::RequestIdTooOld);
      CHECK(World.reply(Id).Ran == Outcome::Unknown);
    }
  }

  SECTION("another slot is tried only after a refusal") {
    const auto Next = pick<SendWrite>(World.end(Id, 0, Outcome::NotRun));
    REQUIRE(Next.size() == 1);
    CHECK(Next.front().Slot == 1);

    SECTION("and a refusal by the last slot is final") {
      const auto Answers = pick<AnswerWrite>(World.end(Id, 1, Outcome::NotRun));
      REQUIRE(Answers.size() == 1);
      CHECK(Answers.front().Reply.Ran == Outcome::NotRun);
      CHECK(World.reply(Id).Result == Code::AlreadyRefused);
    }

    SECTION("and a late answer of the first attempt is ignored") {
      CHECK(World.end(Id, 0, Outcome::Ran).empty());
    }
  }

  // Guards against a retry after the target may have acted on the first byte.
  SECTION("a lost answer ends the write as unknown") {
    const auto Effects = World.end(Id, 0, Outcome::Unknown);
    CHECK(pick<SendWrite>(Effects).empty());
    CHECK(pick<AnswerWrite>(Effects).front().Reply.Ran == Outcome::Unknown);
    CHECK(World.reply(Id).Ran == Outcome::Unknown);

    SECTION("and later copies learn of a late answer") {
      World.end(Id, 0, Outcome::Ran);
      CHECK(World.reply(Id).Ran == Outcome::Ran);
    }
  }

  SECTION("no answer before the expiry ends the write as unknown") {
    const auto Answers = pick<AnswerWrite>(World.pass(WriteGate::MaxExpiry));
    REQUIRE(Answers.size() == 1);
    CHECK(Answers.front().Reply.Ran == Outcome::Unknown);
    CHECK(pick<SendWrite>(World.end(Id, 0, Outcome::NotRun)).empty());
  }
}

// Guards against a refused copy whose sibling runs later.
TEST_CASE("a refused id stays refused", "[gate]") {
  GateWorld World;
  const RequestId Id = World.issue();
  const WriteReply First = World.reply(Id, Code::Quarantined);
  CHECK(First.Result == Code::Quarantined);
  CHECK(First.Ran == Outcome::NotRun);
  CHECK(World.reply(Id).Result == Code::AlreadyRefused);

  SECTION("also when the write had expired on arrival") {
    const RequestId Late = World.issue();
    const auto Effects = World.Gate.apply(
        WriteArrived{GateCaller{}, makeWrite(Late, World.Now), {0}, {}},
        World.Now);
    CHECK(pick<AnswerWrite>(Effects).front().Reply.Ran == Outcome::NotRun);
    CHECK(World.reply(Late).Result == Code::AlreadyRefused);
  }
}

TEST_CASE("a gate accepts only ids that no other owner can have seen",
          "[gate]") {
  GateWorld World;

  // Guards against a copy that ran at the former owner.
  SECTION("ids from before it became the owner are refused with unknown") {
    const WriteReply Reply = World.reply(makeId(World.Start + 2s, 1));
    CHECK(Reply.Result == Code::RequestIdTooOld);
    CHECK(Reply.Ran == Outcome::Unknown);
    CHECK(
        pick<SendWrite>(World.arrive(makeId(World.Start + 2001ms, 2))).size() ==
        1);
  }

  // Guards against "not run" for an id that a later owner accepts.
  SECTION("ids from the future are refused with unknown") {
    const WriteReply Reply = World.reply(makeId(World.Now + 2001ms, 1));
    CHECK(Reply.Ran == Outcome::Unknown);
    CHECK(pick<SendWrite>(World.arrive(makeId(World.Now + 2s, 2))).size() == 1);
  }

  // Guards against an entry that is evicted while a copy may still arrive.
  SECTION("new ids are refused with unknown when the memory is full") {
    WriteGate Small(East, World.Start, {2, 1024});
    Small.apply(OwnerRead{7, {East, World.Start}, 1}, World.Start);
    for (WallTime At = World.Start; At < World.Now; At += 1s)
      Small.apply(GateTick{}, At);
    for (std::uint64_t Number = 1; Number <= 3; ++Number) {
      const auto Effects = Small.apply(
          WriteArrived{GateCaller{Number},
                       makeWrite(makeId(World.Now, Number), World.Now + 2s),
                       {0},
                       {}},
          World.Now);
      CHECK(pick<SendWrite>(Effects).size() == (Number <= 2 ? 1 : 0));
      if (Number == 3)
        CHECK(pick<AnswerWrite>(Effects).front().Reply.Ran == Outcome::Unknown);
    }
  }

  SECTION("answers beyond the bound are kept as a fact without their body") {
    WriteGate Small(East, World.Start, {10, 4});
    Small.apply(OwnerRead{7, {East, World.Start}, 1}, World.Start);
    for (WallTime At = World.Start; At < World.Now; At += 1s)
      Small.apply(GateTick{}, At);
    const RequestId Id = World.issue();
    const WriteArrived Copy{
        GateCaller{}, makeWrite(Id, World.Now + 2s), {0}, {}};
    Small.apply(Copy, World.Now);
    Small.apply(AttemptEnded{Id, 0, makeEnd(Code::Ok, Outcome::Ran)},
                World.Now);
    const auto Answers = pick<AnswerWrite>(Small.apply(Copy, World.Now));
    CHECK(Answers.front().Reply.Ran == Outcome::Ran);
    CHECK(Answers.front().Reply.Body.empty());
  }
}

TEST_CASE("a gate moves to another owner", "[gate]") {
  GateWorld World;
  const RequestId Running = World.issue();
  World.arrive(Running);

  SECTION("it first refuses new writes and waits for the running one") {
    CHECK(World.Gate.apply(GiveAwayRequested{}, World.Now).empty());
    CHECK(World.reply(World.issue()).Ran == Outcome::NotRun);
    CHECK(pick<GateDrained>(World.end(Running, 0, Outcome::Ran)).size() == 1);

    SECTION("then it says unknown, because the next owner may run the id") {
      World.pass(5s);
      CHECK(World.reply(World.issue()).Ran == Outcome::Unknown);

      SECTION("and takes no write before the update has settled") {
        World.Gate.apply(OwnerRead{8, {East, World.Start}, 0}, World.Now);
        CHECK_FALSE(World.Gate.owned());
        World.Gate.apply(GiveAwaySettled{9}, World.Now);
        World.Gate.apply(OwnerRead{8, {East, World.Start}, 0}, World.Now);
        CHECK_FALSE(World.Gate.owned());
        World.Gate.apply(OwnerRead{9, {East, World.Now}, 0}, World.Now);
        CHECK(World.Gate.owned());
        CHECK(World.reply(World.issue()).Result == Code::RequestIdTooOld);
      }
    }
  }

  SECTION("a write that never ends is given up at its expiry") {
    World.Gate.apply(GiveAwayRequested{}, World.Now);
    CHECK(pick<GateDrained>(World.pass(WriteGate::MaxExpiry)).size() == 1);
  }

  SECTION("what it remembers stays true for copies that arrive here") {
    World.end(Running, 0, Outcome::Ran);
    World.Gate.apply(OwnerRead{9, {West, World.Now}, 0}, World.Now);
    CHECK(World.reply(Running).Ran == Outcome::Ran);
    const WriteReply Other = World.reply(World.issue());
    CHECK(Other.Result == Code::NotOwner);
    CHECK(Other.Ran == Outcome::Unknown);
  }

  SECTION("an older table changes nothing") {
    World.Gate.apply(OwnerRead{6, {West, World.Now}, 0}, World.Now);
    CHECK(World.Gate.owned());
  }
}

// Guards against a process that goes on with a gate that was given to another
// one while it was paused.
TEST_CASE("a paused owner reads its ownership again", "[gate]") {
  GateWorld World;
  World.Now += WriteGate::TickPeriod + WriteGate::PauseLimit + 1ms;
  const auto Effects = World.arrive(World.issue());
  REQUIRE(pick<RereadOwner>(Effects).size() == 1);
  CHECK(pick<SendWrite>(Effects).empty());
  CHECK(pick<AnswerWrite>(Effects).front().Reply.Ran == Outcome::Unknown);
  const std::uint64_t Epoch = pick<RereadOwner>(Effects).front().Epoch;

  SECTION("news of the table do not replace the read") {
    World.Gate.apply(OwnerRead{9, {East, World.Start}, 0}, World.Now);
    CHECK_FALSE(World.Gate.owned());
  }

  SECTION("nor does a read that began before the pause") {
    World.Gate.apply(OwnerRead{9, {East, World.Start}, Epoch - 1}, World.Now);
    CHECK_FALSE(World.Gate.owned());
  }

  SECTION("a read gives the gate back") {
    World.Gate.apply(OwnerRead{7, {East, World.Start}, Epoch}, World.Now);
    CHECK(pick<SendWrite>(World.arrive(World.issue())).size() == 1);
  }

  SECTION("the read is asked for again until it succeeds") {
    CHECK(pick<RereadOwner>(World.tick()).size() == 1);
  }
}

// Guards against ids without a time that run again at another owner.
TEST_CASE("other ids are claimed at the platform", "[gate]") {
  GateWorld World;
  const RequestId Id{"order-17"};
  const auto Effects = World.arrive(Id);
  REQUIRE(pick<CreateClaim>(Effects).size() == 1);
  CHECK(pick<SendWrite>(Effects).empty());
  auto Claim = [&](ClaimResult Result) {
    return World.Gate.apply(ClaimEnded{Id, Result}, World.Now);
  };

  SECTION("the first claim runs") {
    CHECK(pick<SendWrite>(Claim(ClaimResult::Created)).size() == 1);
    World.end(Id, 0, Outcome::Ran);
    CHECK(World.reply(Id).Ran == Outcome::Ran);
  }

  SECTION("an existing claim may have run") {
    CHECK(pick<AnswerWrite>(Claim(ClaimResult::Exists)).front().Reply.Ran ==
          Outcome::Unknown);
  }

  SECTION("an unclear create is never called not run") {
    CHECK(pick<AnswerWrite>(Claim(ClaimResult::Unclear)).front().Reply.Ran ==
          Outcome::Unknown);
    CHECK(World.reply(Id).Ran == Outcome::Unknown);
  }

  SECTION("a claim that takes longer than the expiry does not run") {
    World.pass(3s);
    CHECK(pick<SendWrite>(Claim(ClaimResult::Created)).empty());
  }
}

namespace {

/// Rules of the world that a test may switch off, to see the check fail.
struct WorldRules {
  bool TargetsRefuseExpired = true;
  bool RestartsAreNoticed = true;
  bool PausesAreNoticed = true;
  std::chrono::milliseconds TransferDelay = 30s;
};

/// Several gate owners, targets that count executions, and a platform; all
/// messages are delayed, lost or repeated by seed.
class GateModel {
public:
  GateModel(std::uint32_t Seed, WorldRules Rules) : Rules(Rules), Random(Seed) {
    for (std::size_t Number = 0; Number < Processes.size(); ++Number)
      this->startProcess(Number);
    this->Table = {1, {this->nameOf(0), this->Now}};
  }

  void run(std::chrono::milliseconds Time) {
    const WallTime End = this->Now + Time;
    for (std::size_t Number = 0; Number < Processes.size(); ++Number)
      this->tickLater(Number);
    for (WallTime At = this->Now + 1s; At < End; At += 700ms)
      this->at(At, [this] { this->issueWrite(); });
    for (WallTime At = this->Now + 8s; At < End; At += 9s)
      this->at(At, [this] { this->disturb(); });
    while (!this->Events.empty() && this->Events.top().At <= End) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Task();
    }
  }

  struct Verdict {
    std::uint32_t Writes = 0;
    std::uint32_t Ran = 0;
    std::uint32_t RanTwice = 0;
    std::uint32_t FalseNotRun = 0;
    std::uint32_t FalseRan = 0;
    std::uint32_t SaidNotRun = 0;
  };

  Verdict verdict() const {
    Verdict Result;
    for (const auto &[Id, Answers] : this->Writes) {
      auto Found = this->Executions.find(Id);
      const std::uint32_t Count =
          Found == this->Executions.end() ? 0 : Found->second;
      ++Result.Writes;
      Result.Ran += Count > 0;
      Result.RanTwice += Count > 1;
      Result.SaidNotRun += Answers.NotRun > 0;
      Result.FalseNotRun += Answers.NotRun > 0 && Count > 0;
      Result.FalseRan += Answers.Ran > 0 && Count == 0;
    }
    return Result;
  }

private:
  struct Event {
    WallTime At;
    std::uint64_t Order = 0;
    std::function<void()> Task;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At, Other.Order) <
             std::pair(this->At, this->Order);
    }
  };
  struct Process {
    std::optional<WriteGate> Gate;
    std::uint64_t Life = 0;
    WallTime PausedUntil{};
    WallTime PausedSince{};
    bool CutOff = false; ///< From the platform and its news.
  };
  struct GateOfTable {
    std::uint64_t Version = 0;
    GateOwner Owner;
  };
  struct Answers {
    std::uint32_t NotRun = 0;
    std::uint32_t Ran = 0;
  };

  std::uint32_t draw(std::uint32_t Most) {
    return boost::random::uniform_int_distribution<std::uint32_t>(0, Most)(
        this->Random);
  }
  bool chance(std::uint32_t Percent) { return this->draw(99) < Percent; }
  std::chrono::milliseconds delay(std::uint32_t Most) {
    return std::chrono::milliseconds(this->draw(Most));
  }
  NodeName nameOf(std::size_t Number) const {
    return {"node-" + std::to_string(Number)};
  }

  void at(WallTime When, std::function<void()> Task) {
    this->Events.push(
        {std::max(When, this->Now), ++this->Order, std::move(Task)});
  }

  void startProcess(std::size_t Number) {
    Process &Entry = this->Processes[Number];
    const WallTime Started =
        this->Rules.RestartsAreNoticed ? this->Now : WallTime{};
    Entry.Gate.emplace(this->nameOf(Number), Started);
    ++Entry.Life;
    this->ask(Number, 1, Entry.Life);
  }

  /// Gives an event to a process, after its pause if it is paused. Its former
  /// lives get nothing.
  void give(std::size_t Number, std::uint64_t Life, GateEvent Event) {
    Process &Entry = this->Processes[Number];
    if (Entry.Life != Life)
      return;
    if (Entry.PausedUntil > this->Now) {
      // What waits in the sockets is read in any order after the pause.
      this->at(Entry.PausedUntil + this->delay(20),
               [this, Number, Life, Event = std::move(Event)] {
                 this->give(Number, Life, Event);
               });
      return;
    }
    for (const GateEffect &Effect : Entry.Gate->apply(Event, this->Now))
      std::visit([&](const auto &Body) { this->carryOut(Number, Body); },
                 Effect);
  }

  void tickLater(std::size_t Number) {
    this->at(this->Now + WriteGate::TickPeriod, [this, Number] {
      this->give(Number, this->Processes[Number].Life, GateTick{});
      const WallTime Woken = this->Processes[Number].PausedUntil;
      if (Woken > this->Now && !this->Rules.PausesAreNoticed)
        this->Processes[Number].Gate->apply(GateTick{}, this->Now);
      if (Woken > this->Now && this->Rules.PausesAreNoticed)
        this->at(Woken, [this, Number] { this->tickLater(Number); });
      else
        this->tickLater(Number);
    });
  }

  /// Reads the table for a process.
  void ask(std::size_t Number, std::uint64_t Epoch, std::uint64_t Life) {
    if (this->Processes[Number].CutOff || this->chance(20))
      return;
    const GateOfTable Read = this->Table;
    this->at(this->Now + this->delay(300), [this, Number, Epoch, Life, Read] {
      this->give(Number, Life, OwnerRead{Read.Version, Read.Owner, Epoch});
    });
  }

  void publish(const NodeName &Owner) {
    this->Table = {this->Table.Version + 1, {Owner, this->Now}};
    const GateOfTable News = this->Table;
    for (std::size_t Number = 0; Number < Processes.size(); ++Number) {
      if (this->Processes[Number].CutOff)
        continue;
      this->at(this->Now + this->delay(3000), [this, Number, News] {
        this->give(Number, this->Processes[Number].Life,
                   OwnerRead{News.Version, News.Owner, 0});
      });
    }
  }

  void issueWrite() {
    const std::uint64_t Number = ++this->Issued;
    // Callers' clocks run up to 2 s ahead, some far more.
    const WallTime Issue =
        this->Now + (this->chance(10) ? this->delay(9000) : this->delay(2000)) -
        this->delay(300);
    const RequestId Id = this->chance(10)
                             ? RequestId{"order-" + std::to_string(Number)}
                             : makeId(Issue, Number);
    this->Writes[Id];
    const std::uint32_t Copies = 1 + this->draw(3);
    for (std::uint32_t Copy = 0; Copy < Copies; ++Copy)
      this->at(this->Now + this->delay(Copy == 0 ? 200 : 15000),
               [this, Id] { this->arrive(Id); });
  }

  void arrive(const RequestId &Id) {
    // Entry processes have views of any age, so any node may get a copy.
    std::size_t Number = this->draw(Processes.size() - 1);
    for (std::size_t Node = 0; Node < Processes.size(); ++Node)
      if (this->chance(70) && this->Table.Owner.Node == this->nameOf(Node))
        Number = Node;
    const std::uint64_t Caller = ++this->Callers;
    this->CallerIds[Caller] = Id;
    std::optional<Code> Refusal;
    if (this->chance(5))
      Refusal = Code::Quarantined;
    this->give(Number, this->Processes[Number].Life,
               WriteArrived{GateCaller{Caller},
                            makeWrite(Id, this->Now + this->delay(12000)),
                            {0, 1},
                            Refusal});
  }

  /// Makes one of the faults of section 1.4 happen.
  void disturb() {
    const std::size_t Number = this->draw(Processes.size() - 1);
    Process &Entry = this->Processes[Number];
    const std::uint64_t Life = Entry.Life;
    switch (this->draw(4)) {
    case 0: // The process crashes and starts again.
      this->startProcess(Number);
      return;
    case 1: // It is paused; after 30 s others take over.
      Entry.PausedSince = this->Now;
      Entry.PausedUntil = this->Now + this->delay(50000);
      this->at(this->Now + this->Rules.TransferDelay,
               [this, Number] { this->takeOver(Number); });
      return;
    case 2: // The gate moves as planned.
      this->give(Number, Life, GiveAwayRequested{});
      return;
    case 3: // The node is cut off; it keeps what it has.
      Entry.CutOff = true;
      this->at(this->Now + this->delay(40000),
               [this, Number] { this->Processes[Number].CutOff = false; });
      return;
    default: // The VM is destroyed; another one starts later.
      ++Entry.Life;
      Entry.PausedSince = this->Now;
      Entry.PausedUntil = this->Now + 35s;
      this->at(this->Now + 30s, [this, Number] { this->takeOver(Number); });
      this->at(this->Now + 35s, [this, Number] { this->startProcess(Number); });
      return;
    }
  }

  /// Others give the gate of a node away that is gone for 30 s.
  void takeOver(std::size_t Number) {
    const Process &Entry = this->Processes[Number];
    if (Entry.PausedUntil <= this->Now ||
        this->Now - Entry.PausedSince < this->Rules.TransferDelay ||
        this->Table.Owner.Node != this->nameOf(Number))
      return;
    this->publish(this->nameOf((Number + 1) % Processes.size()));
  }

  void carryOut(std::size_t Number, const SendWrite &Effect) {
    const std::uint64_t Life = this->Processes[Number].Life;
    // The thread that sends may be paused for any time.
    const auto Way = this->chance(10) ? this->delay(60000) : this->delay(800);
    this->at(this->Now + Way, [this, Number, Life, Effect] {
      const RequestId &Id = Effect.Write->Command.Request;
      WriteReply Reply = makeEnd(Code::Ok, Outcome::Ran);
      // The target's clock differs by up to a second.
      const WallTime TargetNow = this->Now + this->delay(2000) - 1000ms;
      const bool Expired =
          this->Rules.TargetsRefuseExpired && TargetNow >= Effect.Expiry;
      if (Expired || this->chance(25))
        Reply = makeEnd(Code::TargetShed, Outcome::NotRun);
      else
        ++this->Executions[Id];
      if (this->chance(15))
        Reply = makeEnd(Code::TargetFailed, Outcome::Unknown);
      if (this->chance(5))
        return;
      this->at(this->Now + this->delay(3000),
               [this, Number, Life, Id, Reply, Attempt = Effect.Attempt] {
                 this->give(Number, Life, AttemptEnded{Id, Attempt, Reply});
               });
    });
  }

  void carryOut(std::size_t, const AnswerWrite &Effect) {
    const RequestId &Id =
        this->CallerIds.at(static_cast<std::uint64_t>(Effect.Caller));
    Answers &Told = this->Writes[Id];
    Told.NotRun += Effect.Reply.Ran == Outcome::NotRun;
    Told.Ran += Effect.Reply.Ran == Outcome::Ran;
  }

  void carryOut(std::size_t Number, const CreateClaim &Effect) {
    const std::uint64_t Life = this->Processes[Number].Life;
    const bool Reaches = !this->Processes[Number].CutOff && !this->chance(10);
    ClaimResult Result = ClaimResult::Unclear;
    if (Reaches)
      Result = this->Claims.insert(Effect.Request.Text).second
                   ? ClaimResult::Created
                   : ClaimResult::Exists;
    if (this->chance(15))
      Result = ClaimResult::Unclear;
    this->at(this->Now + this->delay(4000),
             [this, Number, Life, Result, Id = Effect.Request] {
               this->give(Number, Life, ClaimEnded{Id, Result});
             });
  }

  void carryOut(std::size_t Number, const RereadOwner &Effect) {
    this->ask(Number, Effect.Epoch, this->Processes[Number].Life);
  }

  void carryOut(std::size_t Number, const GateDrained &) {
    const std::uint64_t Life = this->Processes[Number].Life;
    // The answer of the platform may be lost, whether the update worked or not.
    const bool Works = !this->Processes[Number].CutOff && this->chance(80);
    if (Works && this->Table.Owner.Node == this->nameOf(Number))
      this->publish(this->nameOf((Number + 1) % Processes.size()));
    this->at(this->Now + this->delay(5000), [this, Number, Life] {
      // A read, or a rewrite of the table, shows what became of it.
      this->Table.Version += 1;
      const GateOfTable Read = this->Table;
      this->give(Number, Life, GiveAwaySettled{Read.Version});
      this->give(Number, Life, OwnerRead{Read.Version, Read.Owner, 0});
    });
  }

  WorldRules Rules;
  boost::random::mt19937 Random;
  WallTime Now{std::chrono::hours(500000)};
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  std::array<Process, 3> Processes;
  GateOfTable Table;
  std::set<std::string> Claims;
  std::map<RequestId, Answers> Writes;
  std::map<RequestId, std::uint32_t> Executions;
  std::map<std::uint64_t, RequestId> CallerIds;
  std::uint64_t Issued = 0;
  std::uint64_t Callers = 0;
};

GateModel::Verdict runSchedules(std::uint32_t Count, WorldRules Rules) {
  GateModel::Verdict Sum;
  for (std::uint32_t Seed = 1; Seed <= Count; ++Seed) {
    GateModel Model(Seed, Rules);
    Model.run(150s);
    const GateModel::Verdict One = Model.verdict();
    if (Sum.RanTwice + Sum.FalseNotRun + Sum.FalseRan == 0 &&
        One.RanTwice + One.FalseNotRun + One.FalseRan > 0)
      WARN("first violation at seed " << Seed);
    Sum.Writes += One.Writes;
    Sum.Ran += One.Ran;
    Sum.RanTwice += One.RanTwice;
    Sum.FalseNotRun += One.FalseNotRun;
    Sum.FalseRan += One.FalseRan;
    Sum.SaidNotRun += One.SaidNotRun;
  }
  return Sum;
}

} // namespace

// Guards against a second execution and a false "not run" under crashes,
// pauses, partitions, moves of the gate, lost answers and repeated requests.
TEST_CASE("writes run at most once in seeded schedules", "[gate][seeded]") {
  const GateModel::Verdict Sum = runSchedules(3000, {});
  INFO("writes " << Sum.Writes << ", ran " << Sum.Ran << ", said not run "
                 << Sum.SaidNotRun);
  CHECK(Sum.RanTwice == 0);
  CHECK(Sum.FalseNotRun == 0);
  CHECK(Sum.FalseRan == 0);
  // The rules are not kept by refusing everything.
  CHECK(Sum.Ran > Sum.Writes / 5);
  CHECK(Sum.SaidNotRun > Sum.Writes / 50);
}

// The check above has to notice a rule that is missing.
TEST_CASE("schedules find the fault of a missing rule", "[gate][seeded]") {
  SECTION("a process that does not count its restart as a change of owner") {
    WorldRules Rules;
    Rules.RestartsAreNoticed = false;
    const GateModel::Verdict Sum = runSchedules(300, Rules);
    CHECK(Sum.RanTwice > 0);
  }

  SECTION("a process that does not notice that it was paused") {
    WorldRules Rules;
    Rules.PausesAreNoticed = false;
    const GateModel::Verdict Sum = runSchedules(300, Rules);
    CHECK(Sum.RanTwice > 0);
    CHECK(Sum.FalseNotRun > 0);
  }

  SECTION("nodes that take a gate over without a delay") {
    WorldRules Rules;
    Rules.TransferDelay = 0s;
    const GateModel::Verdict Sum = runSchedules(3000, Rules);
    CHECK(Sum.RanTwice + Sum.FalseNotRun > 0);
  }
}

// Guards against a gate that relies on the targets' clocks alone: an expired
// write that starts late is one that no other owner accepts.
TEST_CASE("writes run at most once even if targets start expired ones",
          "[gate][seeded]") {
  WorldRules Rules;
  Rules.TargetsRefuseExpired = false;
  const GateModel::Verdict Sum = runSchedules(1000, Rules);
  CHECK(Sum.RanTwice == 0);
  CHECK(Sum.FalseNotRun == 0);
}
