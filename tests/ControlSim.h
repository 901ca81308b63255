#pragma once

#include "balsamyard/src/Process/Codec.h"
#include "balsamyard/src/Process/ConfigSync.h"
#include "balsamyard/src/Process/GossipCodec.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace balsamyard::test {

using namespace std::chrono_literals;

/// \brief Parameters of a simulated fleet.
struct SimOptions {
  std::uint64_t Seed = 1;
  std::size_t Nodes = 4;
  std::size_t RolesPerNode = 2;
  std::size_t Domains = 3;
  std::size_t Regions = 1;
  Duration LocalDelay = 1ms;  ///< Between processes of one region.
  Duration RegionDelay = 8ms; ///< Between regions.
  double Loss = 0.01;
  double Duplicates = 0;
  bool Codec = true; ///< Whether datagrams are encoded and decoded.
  bool WithConfig = false;
  Duration CheckPeriod = 500ms; ///< Interval between checks of a condition.
  MembershipTimes MemberTimes{};
  MembershipLimits MemberLimits{};
  ConfigSyncTimes SyncTimes{};
  ConfigSyncLimits SyncLimits{};
};

/// \brief Simulates membership and configuration of a fleet and its platform,
/// in one thread and in virtual time.
class ControlSim {
public:
  struct Counts {
    std::uint64_t Datagrams = 0;
    std::uint64_t GossipBytes = 0;
    std::uint64_t Fetches = 0;
    std::uint64_t FetchBytes = 0;
    std::uint64_t PlatformCalls = 0;
    std::uint64_t Accusations = 0; ///< Suspicions raised by own probes.
    std::uint64_t Deaths = 0;      ///< Members declared dead.
  };

  struct Process {
    MemberInfo Info;
    std::unique_ptr<Membership> Members;
    std::unique_ptr<ConfigSync> Sync;
    bool Up = false;
    unsigned Generation = 0; ///< Incremented by each start and crash; events of
                             ///< former generations are dropped.
    TimePoint BusyUntil{};
    int Partition = 0; ///< Only processes of the same partition are connected.
    std::map<std::size_t, bool> Connected;
    ConfigVersion HighestApplied{}; ///< Highest version applied while ready.
    Counts Sent;
  };

  explicit ControlSim(SimOptions Options)
      : Options(Options), Random(Options.Seed) {
    for (std::size_t Node = 0; Node < Options.Nodes; ++Node)
      for (std::size_t Role = 0; Role < Options.RolesPerNode; ++Role)
        this->add(Node, static_cast<ProcessRole>(Role));
  }

  SimOptions Options;
  TimePoint Now = TimePoint(1h);
  std::vector<Process> Processes;

  bool PlatformUp = true;
  Duration PlatformTimeout = 2s; ///< Time until a call fails during an outage.
  double PlatformLostAnswers = 0;
  int PlatformPartition = 0;
  std::map<std::string, PlatformDocument> Objects;
  std::uint64_t Counter = 0;

  /// Called after each event of a process.
  std::function<void(std::size_t)> AfterEvent;

  void startAll(Duration Window = 1s) {
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index)
      this->at(this->Now + this->below(Window),
               [this, Index] { this->start(Index); });
  }

  void start(std::size_t Index) {
    Process &Entry = this->Processes[Index];
    ++Entry.Generation;
    Entry.Up = true;
    Entry.BusyUntil = {};
    Entry.Connected.clear();
    std::vector<Endpoint> Seeds;
    for (std::size_t Seed = 0;
         Seed < std::min<std::size_t>(6, this->Processes.size()); ++Seed)
      Seeds.push_back(this->Processes[Seed].Info.Gossip);
    auto Incarnation = static_cast<std::uint64_t>(
        1'700'000'000'000 + std::chrono::floor<std::chrono::milliseconds>(
                                this->Now.time_since_epoch())
                                .count());
    Entry.Members = std::make_unique<Membership>(Entry.Info, Incarnation, Seeds,
                                                 this->Options.MemberTimes,
                                                 this->Options.MemberLimits);
    if (this->Options.WithConfig)
      Entry.Sync = std::make_unique<ConfigSync>(
          Entry.Info.Key, Entry.Info.Domain, this->Options.SyncTimes,
          this->Options.SyncLimits);
    this->tick(Index, Entry.Generation);
  }

  /// \brief Starts all processes with complete member lists, as after a long
  /// run. JoinPasses should be 0.
  void startConverged() {
    std::vector<MemberUpdate> All;
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
      Process &Entry = this->Processes[Index];
      this->start(Index);
      All.push_back(Entry.Members->self());
    }
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
      std::size_t Sender = Index == 0 ? 1 : 0;
      GossipMessage Page{All[Sender], {}, 0, Ack{0, true, true, true}, All};
      this->feed(Index, GossipReceived{All[Sender].Info.Gossip, Page});
    }
  }

  /// \brief Ends a process without notice to the others.
  void crash(std::size_t Index) {
    this->Processes[Index].Up = false;
    ++this->Processes[Index].Generation;
  }

  void crashNode(std::size_t Node) {
    for (std::size_t Role = 0; Role < this->Options.RolesPerNode; ++Role)
      this->crash(Node * this->Options.RolesPerNode + Role);
  }

  void leave(std::size_t Index) {
    this->feed(Index, MembershipEvent(LeaveRequested{}));
  }

  /// \brief Pauses a process until \p Until; messages to it are queued.
  void pause(std::size_t Index, TimePoint Until) {
    this->Processes[Index].BusyUntil = Until;
  }

  /// \brief Stores a document at the platform and answers the long polls.
  void accept(const std::string &Name, const std::string &Text) {
    ConfigVersion Version{++this->Counter};
    this->Objects[Name] = {Name, Version, Text};
    for (auto &[Index, Generation, After] : std::exchange(this->Watches, {}))
      this->answerPlatform(Index, Generation, After);
  }

  /// \brief Runs until \p Until or until \p Done returns true; it is called
  /// every CheckPeriod. \returns whether it returned true.
  bool runUntil(TimePoint Until, const std::function<bool()> &Done = {}) {
    TimePoint NextCheck = this->Now;
    while (this->Now < Until) {
      if (Done && this->Now >= NextCheck) {
        if (Done())
          return true;
        NextCheck = this->Now + this->Options.CheckPeriod;
      }
      TimePoint Next = this->Queue.empty() ? Until : this->Queue.top().At;
      if (Done)
        Next = std::min(Next, NextCheck);
      this->Now = std::min(Next, Until);
      while (!this->Queue.empty() && this->Queue.top().At <= this->Now) {
        auto Run = std::move(const_cast<Item &>(this->Queue.top()).Run);
        this->Queue.pop();
        Run();
      }
    }
    return Done && Done();
  }

  bool runFor(Duration Time, const std::function<bool()> &Done = {}) {
    return this->runUntil(this->Now + Time, Done);
  }

  /// \brief Delivers a forged datagram.
  void inject(std::size_t To, const Endpoint &From, std::string Bytes) {
    this->deliver(To, From, std::move(Bytes), this->Now + 1ms);
  }

  /// \returns the state of \p Other in the member list of \p Viewer; Dead if it
  /// is not listed.
  MemberState stateOf(std::size_t Viewer, std::size_t Other) const {
    const auto &Members = this->Processes[Viewer].Members->members();
    auto Found = Members.find(this->Processes[Other].Info.Key);
    return Found == Members.end() ? MemberState::Dead : Found->second.State;
  }

  /// \returns whether the member lists of all running processes contain exactly
  /// the running ones as alive; false while some were never started.
  bool converged() const {
    std::size_t Running = 0;
    for (const Process &Entry : this->Processes) {
      if (Entry.Generation == 0)
        return false;
      Running += Entry.Up;
    }
    for (std::size_t Viewer = 0; Viewer < this->Processes.size(); ++Viewer) {
      if (!this->Processes[Viewer].Up)
        continue;
      if (this->Processes[Viewer].Members->aliveCount() + 1 != Running)
        return false;
      for (std::size_t Other = 0; Other < this->Processes.size(); ++Other)
        if (Other != Viewer &&
            (this->stateOf(Viewer, Other) == MemberState::Alive) !=
                this->Processes[Other].Up)
          return false;
    }
    return true;
  }

  /// \returns whether every running process is ready and has applied
  /// \p Version.
  bool appliedEverywhere(ConfigVersion Version) const {
    for (const Process &Entry : this->Processes)
      if (Entry.Generation == 0 ||
          (Entry.Up &&
           (!Entry.Sync->ready() || Entry.Sync->version() < Version)))
        return false;
    return true;
  }

  Counts total() const {
    Counts Sum;
    for (const Process &Entry : this->Processes) {
      Sum.Datagrams += Entry.Sent.Datagrams;
      Sum.GossipBytes += Entry.Sent.GossipBytes;
      Sum.Fetches += Entry.Sent.Fetches;
      Sum.FetchBytes += Entry.Sent.FetchBytes;
      Sum.PlatformCalls += Entry.Sent.PlatformCalls;
      Sum.Accusations += Entry.Sent.Accusations;
      Sum.Deaths += Entry.Sent.Deaths;
    }
    return Sum;
  }

  std::size_t index(const ProcessKey &Key) const { return this->ByKey.at(Key); }

  std::uint64_t draw() { return this->Random(); }

  bool chance(double Probability) {
    return Probability > 0 &&
           static_cast<double>(this->Random() >> 11) * 0x1p-53 < Probability;
  }

  void at(TimePoint When, std::function<void()> Run) {
    this->Queue.push({When, this->NextOrder++, std::move(Run)});
  }

  void feed(std::size_t Index, const MembershipEvent &Event) {
    Process &Entry = this->Processes[Index];
    bool Ticked = std::holds_alternative<MembershipTick>(Event);
    for (const MembershipEffect &Effect :
         Entry.Members->handle(Event, this->Now, this->Random()))
      this->carryOut(Index, Effect, Ticked);
  }

  void feed(std::size_t Index, const ConfigEvent &Event) {
    Process &Entry = this->Processes[Index];
    if (!Entry.Sync)
      return;
    for (const ConfigEffect &Effect :
         Entry.Sync->handle(Event, this->Now, this->Random()))
      this->carryOut(Index, Effect);
    if (this->AfterEvent)
      this->AfterEvent(Index);
  }

private:
  struct Item {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> Run;

    bool operator<(const Item &Other) const {
      return std::pair(this->At, this->Order) >
             std::pair(Other.At, Other.Order);
    }
  };

  struct Watch {
    std::size_t Index;
    unsigned Generation;
    std::uint64_t After;
  };

  std::mt19937_64 Random;
  std::priority_queue<Item> Queue;
  std::uint64_t NextOrder = 0;
  std::map<Endpoint, std::size_t> ByGossip;
  std::map<ProcessKey, std::size_t> ByKey;
  std::vector<Watch> Watches;

  void add(std::size_t Node, ProcessRole Role) {
    std::size_t Index = this->Processes.size();
    std::size_t Domain = Node % this->Options.Domains;
    Process Entry;
    std::string Address = "10.20." + std::to_string(Node / 250) + "." +
                          std::to_string(Node % 250 + 1);
    auto Port = static_cast<std::uint16_t>(Role == ProcessRole::Entry ? 0 : 1);
    Entry.Info = {{{"node-" + std::to_string(Node)}, Role},
                  {"domain-" + std::to_string(Domain)},
                  {"region-" + std::to_string(Domain % this->Options.Regions)},
                  {Address, static_cast<std::uint16_t>(7100 + Port)},
                  {Address, static_cast<std::uint16_t>(7000 + Port)}};
    this->ByGossip[Entry.Info.Gossip] = Index;
    this->ByKey[Entry.Info.Key] = Index;
    this->Processes.push_back(std::move(Entry));
  }

  Duration below(Duration Bound) {
    return Duration(this->Random() %
                    static_cast<std::uint64_t>(Bound.count() + 1));
  }

  Duration delay(std::size_t From, std::size_t To) {
    bool Same =
        this->Processes[From].Info.Region == this->Processes[To].Info.Region;
    Duration Base = Same ? this->Options.LocalDelay : this->Options.RegionDelay;
    return Base + this->below(Base / 4);
  }

  bool connected(std::size_t From, std::size_t To) const {
    return this->Processes[From].Partition == this->Processes[To].Partition;
  }

  /// Calls \p Run as soon as the process is not paused, unless it has ended.
  /// After a pause, messages are read \p Delay later than timers expire, which
  /// is the less favourable order.
  void whenFree(std::size_t Index, unsigned Generation, TimePoint When,
                std::function<void()> Run, Duration Delay = 1ms) {
    this->at(When, [this, Index, Generation, Delay, Run = std::move(Run)] {
      Process &Entry = this->Processes[Index];
      if (!Entry.Up || Entry.Generation != Generation)
        return;
      if (this->Now < Entry.BusyUntil)
        return this->whenFree(Index, Generation, Entry.BusyUntil + Delay, Run,
                              Delay);
      Run();
    });
  }

  void tick(std::size_t Index, unsigned Generation) {
    this->whenFree(
        Index, Generation, this->Now,
        [this, Index, Generation] {
          this->feed(Index, MembershipEvent(MembershipTick{}));
          this->feed(Index, ConfigEvent(ConfigTick{}));
          TimePoint Next = this->Now + this->Options.MemberTimes.Tick;
          this->at(Next, [this, Index, Generation] {
            Process &Entry = this->Processes[Index];
            if (Entry.Up && Entry.Generation == Generation)
              this->tick(Index, Generation);
          });
        },
        Duration::zero());
  }

  void deliver(std::size_t To, const Endpoint &From, std::string Bytes,
               TimePoint When) {
    // The generation is read on arrival, because a datagram also reaches a
    // process that was restarted while it was in transit.
    this->at(When, [this, To, From, Bytes = std::move(Bytes)] {
      this->whenFree(To, this->Processes[To].Generation, this->Now,
                     [this, To, From, Bytes] {
                       if (auto Message = decodeGossip(Bytes))
                         this->feed(To, GossipReceived{From, *Message});
                     });
    });
  }

  void send(std::size_t Index, const SendGossip &Effect) {
    Process &Entry = this->Processes[Index];
    auto Found = this->ByGossip.find(Effect.To);
    ++Entry.Sent.Datagrams;
    std::string Bytes;
    if (this->Options.Codec) {
      Bytes = encodeGossip(Effect.Message);
      Entry.Sent.GossipBytes += Bytes.size();
    }
    if (Found == this->ByGossip.end() || !this->connected(Index, Found->second))
      return;
    std::size_t To = Found->second;
    for (int Copy = 0; Copy < (this->chance(this->Options.Duplicates) ? 2 : 1);
         ++Copy) {
      if (this->chance(this->Options.Loss))
        continue;
      TimePoint When = this->Now + this->delay(Index, To);
      if (this->Options.Codec)
        this->deliver(To, Entry.Info.Gossip, Bytes, When);
      else
        this->at(When, [this, To, From = Entry.Info.Gossip,
                        Message = Effect.Message] {
          this->whenFree(To, this->Processes[To].Generation, this->Now,
                         [this, To, From, Message] {
                           this->feed(To, GossipReceived{From, Message});
                         });
        });
    }
  }

  void carryOut(std::size_t Index, const MembershipEffect &Effect,
                bool Ticked) {
    Process &Entry = this->Processes[Index];
    if (const auto *Sent = std::get_if<SendGossip>(&Effect)) {
      this->send(Index, *Sent);
    } else if (const auto *Change = std::get_if<MemberChanged>(&Effect)) {
      const Member &Other = Change->Now;
      Entry.Sent.Accusations += Ticked && Other.State == MemberState::Suspect;
      Entry.Sent.Deaths +=
          Other.State == MemberState::Dead && !Change->Forgotten;
      bool Present =
          !Change->Forgotten && (Other.State == MemberState::Alive ||
                                 Other.State == MemberState::Suspect);
      this->feed(Index,
                 ConfigEvent(ConfigPeerChanged{Other.Info.Key, Other.Info.Peer,
                                               Other.Info.Domain, Present}));
    } else if (const auto *News = std::get_if<MemberConfigAnnounced>(&Effect)) {
      this->feed(Index, ConfigEvent(PeerVersionAnnounced{News->Key, News->Peer,
                                                         News->Version}));
    }
  }

  void carryOut(std::size_t Index, const ConfigEffect &Effect) {
    Process &Entry = this->Processes[Index];
    if (const auto *News = std::get_if<AnnounceVersion>(&Effect))
      this->feed(Index, MembershipEvent(AnnounceConfig{News->Peers}));
    else if (const auto *Fetch = std::get_if<FetchFromPeer>(&Effect))
      this->fetch(Index, *Fetch);
    else if (const auto *Read = std::get_if<ReadPlatform>(&Effect))
      this->readPlatform(Index, *Read);
    else if (const auto *Reached = std::get_if<VersionReached>(&Effect))
      this->feed(Index, MembershipEvent(ConfigAdvanced{Reached->Version}));
    (void)Entry;
  }

  /// A lost TCP segment is retransmitted after 200 ms.
  Duration streamDelay(std::size_t From, std::size_t To) {
    return this->delay(From, To) +
           (this->chance(this->Options.Loss) ? Duration(200ms) : Duration());
  }

  void fetch(std::size_t Index, const FetchFromPeer &Effect) {
    Process &Entry = this->Processes[Index];
    std::size_t To = this->index(Effect.Key);
    unsigned Generation = Entry.Generation;
    ++Entry.Sent.Fetches;
    std::string Question = encode(Effect.Question);
    Entry.Sent.FetchBytes += Question.size();
    auto Fail = [this, Index, Generation, Peer = Effect.Key](TimePoint When) {
      this->whenFree(Index, Generation, When, [this, Index, Peer] {
        this->feed(Index, ConfigEvent(FetchFailed{Peer}));
      });
    };
    if (!this->connected(Index, To))
      return Fail(this->Now + 2s);
    // A refused connection is reported after one round trip.
    if (!this->Processes[To].Up)
      return Fail(this->Now + 2 * this->delay(Index, To));
    Duration Setup{};
    if (!std::exchange(Entry.Connected[To], true))
      Setup = this->streamDelay(Index, To) + this->streamDelay(To, Index);
    TimePoint Arrival = this->Now + Setup + this->streamDelay(Index, To);
    unsigned PeerGeneration = this->Processes[To].Generation;
    this->at(Arrival, [this, Index, To, Generation, PeerGeneration, Fail,
                       Question, Peer = Effect.Key] {
      Process &Server = this->Processes[To];
      if (!Server.Up || Server.Generation != PeerGeneration ||
          !this->connected(Index, To))
        return Fail(this->Now + 2s);
      auto Asked = decode<ConfigFetch>(Question);
      std::string Bytes = encode(Server.Sync->answer(*Asked));
      Server.Sent.FetchBytes += Bytes.size();
      this->whenFree(
          Index, Generation, this->Now + this->streamDelay(To, Index),
          [this, Index, Peer, Bytes] {
            auto Answer = decode<ConfigDelta>(Bytes);
            this->feed(Index, ConfigEvent(FetchAnswered{Peer, *Answer}));
          });
    });
  }

  void readPlatform(std::size_t Index, const ReadPlatform &Effect) {
    Process &Entry = this->Processes[Index];
    unsigned Generation = Entry.Generation;
    ++Entry.Sent.PlatformCalls;
    bool Reachable =
        this->PlatformUp && Entry.Partition == this->PlatformPartition;
    if (!Reachable || this->chance(this->PlatformLostAnswers))
      return this->whenFree(
          Index, Generation, this->Now + this->PlatformTimeout,
          [this, Index] { this->feed(Index, ConfigEvent(PlatformFailed{})); });
    if (!Effect.Wait || Effect.After < this->Counter)
      return this->answerPlatform(Index, Generation, Effect.After);
    this->Watches.push_back({Index, Generation, Effect.After});
    this->at(this->Now + 10s, [this, Index, Generation, After = Effect.After] {
      auto Same = [&](const Watch &Item) {
        return Item.Index == Index && Item.Generation == Generation &&
               Item.After == After;
      };
      if (std::erase_if(this->Watches, Same) > 0)
        this->answerPlatform(Index, Generation, After);
    });
  }

  void answerPlatform(std::size_t Index, unsigned Generation,
                      std::uint64_t After) {
    Process &Entry = this->Processes[Index];
    if (!Entry.Up || Entry.Generation != Generation)
      return;
    if (!this->PlatformUp || Entry.Partition != this->PlatformPartition)
      return this->whenFree(
          Index, Generation, this->Now + this->PlatformTimeout,
          [this, Index] { this->feed(Index, ConfigEvent(PlatformFailed{})); });
    PlatformAnswered Answer{this->Counter, {}, {}};
    for (const auto &[Name, Object] : this->Objects) {
      if (Object.Version <= ConfigVersion{After})
        continue;
      Answer.Newest = std::max(Answer.Newest, Object.Version);
      const auto &Held = Entry.Sync->documents();
      auto Own = Held.find(Name);
      if (Own != Held.end() && Own->second.Version >= Object.Version)
        continue;
      ++Entry.Sent.PlatformCalls;
      Answer.Documents.push_back(Object);
    }
    // Listing and reading the documents takes a few milliseconds.
    this->whenFree(
        Index, Generation, this->Now + 2 * this->Options.LocalDelay + 5ms,
        [this, Index, Answer] { this->feed(Index, ConfigEvent(Answer)); });
  }
};

} // namespace balsamyard::test
