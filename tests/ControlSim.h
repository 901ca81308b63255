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

/// \brief Shape of a simulated fleet.
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
  bool Codec = true; ///< Datagrams pass through the real codec.
  bool WithConfig = false;
  Duration CheckPeriod = 500ms; ///< Of the conditions that a run waits for.
  MembershipTimes MemberTimes{};
  MembershipLimits MemberLimits{};
  ConfigSyncTimes SpreadTimes{};
  ConfigSyncLimits SpreadLimits{};
};

/// \brief Runs membership and configuration of a whole fleet in one thread on
/// virtual time, with a platform of its own.
class ControlSim {
public:
  struct Counts {
    std::uint64_t Datagrams = 0;
    std::uint64_t GossipBytes = 0;
    std::uint64_t Fetches = 0;
    std::uint64_t FetchBytes = 0;
    std::uint64_t PlatformCalls = 0;
    std::uint64_t Accusations = 0; ///< Suspicions raised by own probes.
    std::uint64_t Deaths = 0;      ///< Members taken for dead.
  };

  struct Process {
    MemberInfo Info;
    std::unique_ptr<Membership> Members;
    std::unique_ptr<ConfigSync> Spread;
    bool Up = false;
    unsigned Life = 0; ///< Counts restarts; events of a former life are void.
    TimePoint BusyUntil{};
    int Side = 0; ///< Processes of different sides cannot reach each other.
    std::map<std::size_t, bool> Connected;
    ConfigVersion InForce{}; ///< Highest version ever in force while ready.
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
  Duration PlatformTimeout = 2s; ///< Until a call fails while it is down.
  double PlatformLostAnswers = 0;
  int PlatformSide = 0;
  std::map<std::string, PlatformDocument> Objects;
  std::uint64_t Counter = 0;

  /// Called after each event of a process.
  std::function<void(std::size_t)> AfterEvent;

  void startAll(Duration Spread = 1s) {
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index)
      this->at(this->Now + this->below(Spread),
               [this, Index] { this->start(Index); });
  }

  void start(std::size_t Index) {
    Process &Who = this->Processes[Index];
    ++Who.Life;
    Who.Up = true;
    Who.BusyUntil = {};
    Who.Connected.clear();
    std::vector<Endpoint> Seeds;
    for (std::size_t Seed = 0;
         Seed < std::min<std::size_t>(6, this->Processes.size()); ++Seed)
      Seeds.push_back(this->Processes[Seed].Info.Gossip);
    auto Incarnation = static_cast<std::uint64_t>(
        1'700'000'000'000 + std::chrono::floor<std::chrono::milliseconds>(
                                this->Now.time_since_epoch())
                                .count());
    Who.Members = std::make_unique<Membership>(Who.Info, Incarnation, Seeds,
                                               this->Options.MemberTimes,
                                               this->Options.MemberLimits);
    if (this->Options.WithConfig)
      Who.Spread = std::make_unique<ConfigSync>(Who.Info.Key, Who.Info.Domain,
                                                this->Options.SpreadTimes,
                                                this->Options.SpreadLimits);
    this->tick(Index, Who.Life);
  }

  /// \brief Starts all processes with full member tables, as after a long run.
  /// JoinPasses should be 0.
  void startConverged() {
    std::vector<MemberUpdate> All;
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
      Process &Who = this->Processes[Index];
      this->start(Index);
      All.push_back(Who.Members->self());
    }
    for (std::size_t Index = 0; Index < this->Processes.size(); ++Index) {
      std::size_t Sender = Index == 0 ? 1 : 0;
      GossipMessage Page{All[Sender], {}, 0, Ack{0, true, true, true}, All};
      this->feed(Index, GossipReceived{All[Sender].Info.Gossip, Page});
    }
  }

  /// \brief Ends a process without a word.
  void crash(std::size_t Index) {
    this->Processes[Index].Up = false;
    ++this->Processes[Index].Life;
  }

  void crashNode(std::size_t Node) {
    for (std::size_t Role = 0; Role < this->Options.RolesPerNode; ++Role)
      this->crash(Node * this->Options.RolesPerNode + Role);
  }

  void leave(std::size_t Index) {
    this->feed(Index, MembershipEvent(LeaveRequested{}));
  }

  /// \brief The process handles nothing until \p Until; messages wait.
  void pause(std::size_t Index, TimePoint Until) {
    this->Processes[Index].BusyUntil = Until;
  }

  /// \brief Accepts a document at the platform.
  void accept(const std::string &Name, const std::string &Text) {
    ConfigVersion Version{++this->Counter};
    this->Objects[Name] = {Name, Version, Text};
    for (auto &[Index, Life, After] : std::exchange(this->Watches, {}))
      this->answerPlatform(Index, Life, After);
  }

  /// \brief Runs until \p Until or until \p Done holds, which is asked every
  /// CheckPeriod. \returns whether it held.
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

  /// \brief Puts a datagram into the network.
  void inject(std::size_t To, const Endpoint &From, std::string Bytes) {
    this->deliver(To, From, std::move(Bytes), this->Now + 1ms);
  }

  /// \returns the state of \p Other as \p Viewer sees it; unknown is dead.
  MemberState stateOf(std::size_t Viewer, std::size_t Other) const {
    const auto &Members = this->Processes[Viewer].Members->members();
    auto Found = Members.find(this->Processes[Other].Info.Key);
    return Found == Members.end() ? MemberState::Dead : Found->second.State;
  }

  /// \returns whether all running processes see exactly the running ones; false
  /// while some were never started.
  bool converged() const {
    std::size_t Running = 0;
    for (const Process &Who : this->Processes) {
      if (Who.Life == 0)
        return false;
      Running += Who.Up;
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

  /// \returns whether every running process has version \p Version in force.
  bool inForce(ConfigVersion Version) const {
    for (const Process &Who : this->Processes)
      if (Who.Life == 0 ||
          (Who.Up && (!Who.Spread->ready() || Who.Spread->version() < Version)))
        return false;
    return true;
  }

  Counts total() const {
    Counts Sum;
    for (const Process &Who : this->Processes) {
      Sum.Datagrams += Who.Sent.Datagrams;
      Sum.GossipBytes += Who.Sent.GossipBytes;
      Sum.Fetches += Who.Sent.Fetches;
      Sum.FetchBytes += Who.Sent.FetchBytes;
      Sum.PlatformCalls += Who.Sent.PlatformCalls;
      Sum.Accusations += Who.Sent.Accusations;
      Sum.Deaths += Who.Sent.Deaths;
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
    Process &Who = this->Processes[Index];
    bool Ticked = std::holds_alternative<MembershipTick>(Event);
    for (const MembershipEffect &Effect :
         Who.Members->handle(Event, this->Now, this->Random()))
      this->carryOut(Index, Effect, Ticked);
  }

  void feed(std::size_t Index, const ConfigEvent &Event) {
    Process &Who = this->Processes[Index];
    if (!Who.Spread)
      return;
    for (const ConfigEffect &Effect :
         Who.Spread->handle(Event, this->Now, this->Random()))
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
    unsigned Life;
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
    Process Who;
    std::string Address = "10.20." + std::to_string(Node / 250) + "." +
                          std::to_string(Node % 250 + 1);
    auto Port = static_cast<std::uint16_t>(Role == ProcessRole::Entry ? 0 : 1);
    Who.Info = {{{"node-" + std::to_string(Node)}, Role},
                {"domain-" + std::to_string(Domain)},
                {"region-" + std::to_string(Domain % this->Options.Regions)},
                {Address, static_cast<std::uint16_t>(7100 + Port)},
                {Address, static_cast<std::uint16_t>(7000 + Port)}};
    this->ByGossip[Who.Info.Gossip] = Index;
    this->ByKey[Who.Info.Key] = Index;
    this->Processes.push_back(std::move(Who));
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
    return this->Processes[From].Side == this->Processes[To].Side;
  }

  /// Runs \p Run when the process is not paused, unless it ended meanwhile.
  /// After a pause, messages are read by \p Behind later than timers run out,
  /// which is the worse order.
  void whenFree(std::size_t Index, unsigned Life, TimePoint When,
                std::function<void()> Run, Duration Behind = 1ms) {
    this->at(When, [this, Index, Life, Behind, Run = std::move(Run)] {
      Process &Who = this->Processes[Index];
      if (!Who.Up || Who.Life != Life)
        return;
      if (this->Now < Who.BusyUntil)
        return this->whenFree(Index, Life, Who.BusyUntil + Behind, Run, Behind);
      Run();
    });
  }

  void tick(std::size_t Index, unsigned Life) {
    this->whenFree(
        Index, Life, this->Now,
        [this, Index, Life] {
          this->feed(Index, MembershipEvent(MembershipTick{}));
          this->feed(Index, ConfigEvent(ConfigTick{}));
          TimePoint Next = this->Now + this->Options.MemberTimes.Tick;
          this->at(Next, [this, Index, Life] {
            Process &Who = this->Processes[Index];
            if (Who.Up && Who.Life == Life)
              this->tick(Index, Life);
          });
        },
        Duration::zero());
  }

  void deliver(std::size_t To, const Endpoint &From, std::string Bytes,
               TimePoint When) {
    // The life is read on arrival: a datagram reaches a restarted process.
    this->at(When, [this, To, From, Bytes = std::move(Bytes)] {
      this->whenFree(To, this->Processes[To].Life, this->Now,
                     [this, To, From, Bytes] {
                       if (auto Message = decodeGossip(Bytes))
                         this->feed(To, GossipReceived{From, *Message});
                     });
    });
  }

  void send(std::size_t Index, const SendGossip &Effect) {
    Process &Who = this->Processes[Index];
    auto Found = this->ByGossip.find(Effect.To);
    ++Who.Sent.Datagrams;
    std::string Bytes;
    if (this->Options.Codec) {
      Bytes = encodeGossip(Effect.Message);
      Who.Sent.GossipBytes += Bytes.size();
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
        this->deliver(To, Who.Info.Gossip, Bytes, When);
      else
        this->at(
            When, [this, To, From = Who.Info.Gossip, Message = Effect.Message] {
              this->whenFree(To, this->Processes[To].Life, this->Now,
                             [this, To, From, Message] {
                               this->feed(To, GossipReceived{From, Message});
                             });
            });
    }
  }

  void carryOut(std::size_t Index, const MembershipEffect &Effect,
                bool Ticked) {
    Process &Who = this->Processes[Index];
    if (const auto *Sent = std::get_if<SendGossip>(&Effect)) {
      this->send(Index, *Sent);
    } else if (const auto *Change = std::get_if<MemberChanged>(&Effect)) {
      const Member &Other = Change->Now;
      Who.Sent.Accusations += Ticked && Other.State == MemberState::Suspect;
      Who.Sent.Deaths += Other.State == MemberState::Dead && !Change->Forgotten;
      bool Present =
          !Change->Forgotten && (Other.State == MemberState::Alive ||
                                 Other.State == MemberState::Suspect);
      this->feed(Index,
                 ConfigEvent(ConfigPeerChanged{Other.Info.Key, Other.Info.Peer,
                                               Other.Info.Domain, Present}));
    } else if (const auto *News = std::get_if<MemberConfigAnnounced>(&Effect)) {
      this->feed(Index, ConfigEvent(PeerVersionAnnounced{News->Who, News->Peer,
                                                         News->Version}));
    }
  }

  void carryOut(std::size_t Index, const ConfigEffect &Effect) {
    Process &Who = this->Processes[Index];
    if (const auto *News = std::get_if<AnnounceVersion>(&Effect))
      this->feed(Index, MembershipEvent(AnnounceConfig{News->Peers}));
    else if (const auto *Fetch = std::get_if<FetchFromPeer>(&Effect))
      this->fetch(Index, *Fetch);
    else if (const auto *Read = std::get_if<ReadPlatform>(&Effect))
      this->readPlatform(Index, *Read);
    else if (const auto *Reached = std::get_if<VersionReached>(&Effect))
      this->feed(Index, MembershipEvent(ConfigAdvanced{Reached->Version}));
    (void)Who;
  }

  /// A lost segment of a stream costs one retransmission of 200 ms.
  Duration streamDelay(std::size_t From, std::size_t To) {
    return this->delay(From, To) +
           (this->chance(this->Options.Loss) ? Duration(200ms) : Duration());
  }

  void fetch(std::size_t Index, const FetchFromPeer &Effect) {
    Process &Who = this->Processes[Index];
    std::size_t To = this->index(Effect.Who);
    unsigned Life = Who.Life;
    ++Who.Sent.Fetches;
    std::string Question = encode(Effect.Question);
    Who.Sent.FetchBytes += Question.size();
    auto Fail = [this, Index, Life, Peer = Effect.Who](TimePoint When) {
      this->whenFree(Index, Life, When, [this, Index, Peer] {
        this->feed(Index, ConfigEvent(FetchFailed{Peer}));
      });
    };
    if (!this->connected(Index, To))
      return Fail(this->Now + 2s);
    // A refused connection fails after a round trip.
    if (!this->Processes[To].Up)
      return Fail(this->Now + 2 * this->delay(Index, To));
    Duration Setup{};
    if (!std::exchange(Who.Connected[To], true))
      Setup = this->streamDelay(Index, To) + this->streamDelay(To, Index);
    TimePoint Arrival = this->Now + Setup + this->streamDelay(Index, To);
    unsigned PeerLife = this->Processes[To].Life;
    this->at(Arrival, [this, Index, To, Life, PeerLife, Fail, Question,
                       Peer = Effect.Who] {
      Process &Server = this->Processes[To];
      if (!Server.Up || Server.Life != PeerLife || !this->connected(Index, To))
        return Fail(this->Now + 2s);
      auto Asked = decode<ConfigFetch>(Question);
      std::string Bytes = encode(Server.Spread->answer(*Asked));
      Server.Sent.FetchBytes += Bytes.size();
      this->whenFree(
          Index, Life, this->Now + this->streamDelay(To, Index),
          [this, Index, Peer, Bytes] {
            auto Answer = decode<ConfigDelta>(Bytes);
            this->feed(Index, ConfigEvent(FetchAnswered{Peer, *Answer}));
          });
    });
  }

  void readPlatform(std::size_t Index, const ReadPlatform &Effect) {
    Process &Who = this->Processes[Index];
    unsigned Life = Who.Life;
    ++Who.Sent.PlatformCalls;
    bool Reachable = this->PlatformUp && Who.Side == this->PlatformSide;
    if (!Reachable || this->chance(this->PlatformLostAnswers))
      return this->whenFree(
          Index, Life, this->Now + this->PlatformTimeout,
          [this, Index] { this->feed(Index, ConfigEvent(PlatformFailed{})); });
    if (!Effect.Wait || Effect.After < this->Counter)
      return this->answerPlatform(Index, Life, Effect.After);
    this->Watches.push_back({Index, Life, Effect.After});
    this->at(this->Now + 10s, [this, Index, Life, After = Effect.After] {
      auto Same = [&](const Watch &Item) {
        return Item.Index == Index && Item.Life == Life && Item.After == After;
      };
      if (std::erase_if(this->Watches, Same) > 0)
        this->answerPlatform(Index, Life, After);
    });
  }

  void answerPlatform(std::size_t Index, unsigned Life, std::uint64_t After) {
    Process &Who = this->Processes[Index];
    if (!Who.Up || Who.Life != Life)
      return;
    if (!this->PlatformUp || Who.Side != this->PlatformSide)
      return this->whenFree(
          Index, Life, this->Now + this->PlatformTimeout,
          [this, Index] { this->feed(Index, ConfigEvent(PlatformFailed{})); });
    PlatformAnswered Answer{this->Counter, {}, {}};
    for (const auto &[Name, Object] : this->Objects) {
      if (Object.Version <= ConfigVersion{After})
        continue;
      Answer.Newest = std::max(Answer.Newest, Object.Version);
      const auto &Held = Who.Spread->documents();
      auto Own = Held.find(Name);
      if (Own != Held.end() && Own->second.Version >= Object.Version)
        continue;
      ++Who.Sent.PlatformCalls;
      Answer.Documents.push_back(Object);
    }
    // The list and the reads of the documents take a few milliseconds.
    this->whenFree(
        Index, Life, this->Now + 2 * this->Options.LocalDelay + 5ms,
        [this, Index, Answer] { this->feed(Index, ConfigEvent(Answer)); });
  }
};

} // namespace balsamyard::test
