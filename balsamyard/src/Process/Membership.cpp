#include "balsamyard/src/Process/Membership.h"
#include "balsamyard/src/Core/Overload.h"

#include <algorithm>
#include <boost/random/taus88.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace balsamyard {

namespace {

bool isPresent(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// \returns an upper bound of the encoded size: the string lengths plus at most
/// 3 prefix bytes for each of 6 strings, 9 bytes for the incarnation and 10 for
/// ports, role, state and the array header.
std::size_t encodedBound(const MemberUpdate &Update) {
  const MemberInfo &Info = Update.Info;
  return Info.Key.Node.Text.size() + Info.Domain.Text.size() +
         Info.Region.Text.size() + Info.Gossip.Address.size() +
         Info.Peer.Address.size() + 40;
}

} // namespace

std::string toText(const ProcessKey &Key) {
  return Key.Node.Text +
         (Key.Role == ProcessRole::Entry ? "/entry" : "/holder");
}

std::string_view toText(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Left:
    return "left";
  case MemberState::Dead:
    return "dead";
  }
  return "dead";
}

/// Random number generator that is seeded with the draw of one event.
class Membership::RandomSource {
public:
  explicit RandomSource(std::uint64_t Draw)
      : Engine(static_cast<std::uint32_t>(Draw ^ (Draw >> 32))) {}

  /// \returns a number from 0 to \p Bound - 1.
  std::size_t below(std::size_t Bound) {
    return boost::random::uniform_int_distribution<std::size_t>(0, Bound - 1)(
        this->Engine);
  }

private:
  boost::random::taus88 Engine;
};

Membership::Membership(MemberInfo Self, std::uint64_t Incarnation,
                       std::vector<Endpoint> Seeds, MembershipTimes Times,
                       MembershipLimits Limits)
    : Self{std::move(Self), Incarnation, MemberState::Alive},
      Seeds(std::move(Seeds)), Times(Times), Limits(Limits) {
  std::erase(this->Seeds, this->Self.Info.Gossip);
}

std::vector<MembershipEffect> Membership::handle(const MembershipEvent &Event,
                                                 TimePoint Now,
                                                 std::uint64_t Draw) {
  Effects Out;
  RandomSource Random(Draw);
  std::visit(
      Overload{[&](const MembershipTick &) { this->onTick(Now, Random, Out); },
               [&](const GossipReceived &Received) {
                 this->onReceived(Received, Now, Random, Out);
               },
               [&](const ConfigAdvanced &Advanced) {
                 this->Config = std::max(this->Config, Advanced.Version);
               },
               [&](const AnnounceConfig &News) {
                 for (const Member *To :
                      this->randomMembers(News.Count, nullptr, Random))
                   this->send(To->Info.Gossip, Announce{}, &To->Info.Key, Out);
               },
               [&](const LeaveRequested &) {
                 this->Self.State = MemberState::Left;
                 for (const Member *To : this->randomMembers(
                          this->Limits.Helpers, nullptr, Random))
                   this->send(To->Info.Gossip, Announce{}, &To->Info.Key, Out);
               }},
      Event);
  return Out;
}

void Membership::onTick(TimePoint Now, RandomSource &Random, Effects &Out) {
  bool Late =
      this->LastTick != TimePoint{} &&
      Now - this->LastTick > this->Times.Tick + this->Times.MaxTickDelay;
  this->LastTick = Now;
  if (Late) {
    // This process was slow or paused, so answers and refutations may wait
    // unread. Suspects get one more probe period before they are declared dead.
    Duration Grace = this->Times.ProbePeriod;
    this->Health = std::min(this->Health + 1, this->Limits.MaxHealth);
    this->Running.reset();
    for (auto &[Key, Entry] : this->Suspicions) {
      Entry.ProbeAt = Now;
      Entry.DeadAt = std::max(Entry.DeadAt, Now + Grace);
    }
  }
  this->expireTimers(Now, Out);

  if (this->Running && !this->Running->Indirect &&
      Now - this->Running->SentAt >=
          this->Times.ProbeTimeout * (this->Health + 1))
    this->requestIndirectProbe(Random, Out);

  if (Now >= this->NextProbe) {
    this->finishProbe(Now, Out);
    this->startProbe(Now, Random, Out);
    this->NextProbe = Now + this->Times.ProbePeriod * (this->Health + 1);
  }
  if (Now >= this->NextSync)
    this->requestPage(Now, Random, Out);
  this->probeDeparted(Now, Random, Out);
}

void Membership::finishProbe(TimePoint Now, Effects &Out) {
  if (!this->Running)
    return;
  Probe Failed = *this->Running;
  this->Running.reset();
  // If no helper answers either, the fault is probably local, so the target is
  // not suspected until the local health multiplier has reached its maximum.
  bool LocalFault = Failed.Helpers > 0 && !Failed.HelperAnswered &&
                    this->Health < this->Limits.MaxHealth;
  if (!Failed.HelperAnswered)
    this->Health = std::min(this->Health + 1, this->Limits.MaxHealth);
  auto Found = this->Members.find(Failed.Target);
  if (LocalFault || Found == this->Members.end() ||
      Found->second.State != MemberState::Alive)
    return;
  this->setState(Found->second, MemberState::Suspect, Now, Out);
}

void Membership::startProbe(TimePoint Now, RandomSource &Random, Effects &Out) {
  for (std::size_t Tried = 0; Tried <= this->ProbeOrder.size(); ++Tried) {
    if (this->ProbeNext >= this->ProbeOrder.size()) {
      this->ProbeNext = 0;
      std::erase_if(this->ProbeOrder, [&](const ProcessKey &Key) {
        return !this->Members.contains(Key);
      });
      for (std::size_t Left = this->ProbeOrder.size(); Left > 1; --Left)
        std::swap(this->ProbeOrder[Left - 1],
                  this->ProbeOrder[Random.below(Left)]);
      if (this->ProbeOrder.empty())
        return;
    }
    const ProcessKey &Key = this->ProbeOrder[this->ProbeNext++];
    auto Found = this->Members.find(Key);
    if (Found == this->Members.end() || !isPresent(Found->second.State))
      continue;
    this->Running = Probe{Key, this->NextSequence++, Now};
    this->send(Found->second.Info.Gossip, Ping{this->Running->Sequence}, &Key,
               Out);
    return;
  }
}

void Membership::requestIndirectProbe(RandomSource &Random, Effects &Out) {
  Probe &Current = *this->Running;
  Current.Indirect = true;
  for (const Member *Helper :
       this->randomMembers(this->Limits.Helpers, &Current.Target, Random)) {
    ++Current.Helpers;
    this->send(Helper->Info.Gossip,
               PingRequest{Current.Sequence, Current.Target}, &Helper->Info.Key,
               Out);
  }
}

void Membership::probeDeparted(TimePoint Now, RandomSource &Random,
                               Effects &Out) {
  // Members on the other side of a partition are considered dead. They are
  // probed periodically, so that the two sides merge after the partition.
  if (Now >= this->NextDeadProbe) {
    this->NextDeadProbe = Now + this->Times.DeadProbePeriod;
    if (!this->Departed.empty()) {
      auto Chosen = this->Departed.begin();
      std::advance(Chosen, static_cast<std::ptrdiff_t>(
                               Random.below(this->Departed.size())));
      const Member &Candidate = this->Members.at(*Chosen);
      if (Candidate.State == MemberState::Dead)
        this->send(Candidate.Info.Gossip, Ping{this->NextSequence++},
                   &Candidate.Info.Key, Out);
    }
  }
  // Two sides of a partition that have removed each other from their member
  // lists can merge only through the seeds.
  if (Now >= this->NextSeedProbe && !this->Seeds.empty()) {
    bool Alone = this->Alive == 0;
    this->NextSeedProbe =
        Now + (Alone ? this->Times.ProbePeriod : this->Times.SeedProbePeriod);
    if (this->joined() || !Alone)
      this->send(this->Seeds[Random.below(this->Seeds.size())],
                 Ping{this->NextSequence++}, nullptr, Out);
  }
}

void Membership::requestPage(TimePoint Now, RandomSource &Random,
                             Effects &Out) {
  // While joining, an unanswered request is repeated after each probe period.
  bool Joining = this->Passes < this->Limits.JoinPasses;
  this->NextSync =
      Now + (Joining ? this->Times.ProbePeriod : this->Times.SyncPeriod);
  std::vector<const Member *> Chosen = this->randomMembers(1, nullptr, Random);
  bool UseSeed = !this->Seeds.empty() &&
                 (Chosen.empty() || (!this->joined() && Random.below(2) == 0));
  if (!UseSeed && Chosen.empty())
    return;
  this->SyncSequence = this->NextSequence++;
  Ping Question{this->SyncSequence, true, this->SyncAfter};
  if (UseSeed)
    this->send(this->Seeds[Random.below(this->Seeds.size())], Question, nullptr,
               Out);
  else
    this->send(Chosen[0]->Info.Gossip, Question, &Chosen[0]->Info.Key, Out);
}

void Membership::expireTimers(TimePoint Now, Effects &Out) {
  std::vector<ProcessKey> Due;
  for (auto &[Key, Entry] : this->Suspicions) {
    if (Now >= Entry.DeadAt) {
      Due.push_back(Key);
    } else if (Now >= Entry.ProbeAt) {
      // The refutation may have been lost. The ping carries the suspicion to
      // the suspect, and its answer refutes it.
      Entry.ProbeAt = Now + this->Times.ProbePeriod;
      const Member &Suspected = this->Members.at(Key);
      this->send(Suspected.Info.Gossip, Ping{this->NextSequence++}, &Key, Out);
    }
  }
  for (const ProcessKey &Key : Due)
    this->setState(this->Members.at(Key), MemberState::Dead, Now, Out);

  for (auto Item = this->Relays.begin(); Item != this->Relays.end();) {
    if (Now < Item->second.Deadline) {
      ++Item;
      continue;
    }
    this->send(Item->second.Requester, Ack{Item->second.Sequence, false},
               nullptr, Out);
    Item = this->Relays.erase(Item);
  }

  if (Now < this->NextForget)
    return;
  this->NextForget = Now + this->Times.ProbePeriod;
  for (auto Item = this->Departed.begin(); Item != this->Departed.end();) {
    Member &Entry = this->Members.at(*Item);
    if (Entry.State == MemberState::Left &&
        Now - Entry.Since >= this->Times.LeaveTime) {
      // Every member applies this timeout by itself, so the change is not
      // disseminated.
      Entry.State = MemberState::Dead;
      Out.emplace_back(MemberChanged{Entry});
    }
    if (Now - Entry.Since >= this->Times.ForgetAfter) {
      Out.emplace_back(MemberChanged{Entry, true});
      this->removePending(*Item);
      this->Members.erase(*Item);
      Item = this->Departed.erase(Item);
      continue;
    }
    ++Item;
  }
}

void Membership::onReceived(const GossipReceived &Event, TimePoint Now,
                            RandomSource &Random, Effects &Out) {
  const GossipMessage &Message = Event.Message;
  if (Message.From.Info.Key == this->Self.Info.Key)
    return;
  this->applyUpdate(Message.From, true, Now, Random, Out);
  // Members on a page are known to other processes already, so they are not
  // disseminated.
  const auto *Page = std::get_if<Ack>(&Message.Body);
  bool Disseminate = !Page || !Page->Sync;
  for (const MemberUpdate &Update : Message.Updates)
    this->applyUpdate(Update, Disseminate, Now, Random, Out);
  auto Sender = this->Members.find(Message.From.Info.Key);
  if (Sender == this->Members.end())
    return;
  if (Message.Config > Sender->second.Config)
    Sender->second.Config = Message.Config;
  if (Message.Config > this->Config)
    Out.emplace_back(MemberConfigAnnounced{
        Message.From.Info.Key, Message.From.Info.Peer, Message.Config});

  std::visit(
      Overload{[&](const Ping &Body) { this->onPing(Body, Event, Out); },
               [&](const PingRequest &Body) {
                 this->onPingRequest(Body, Event, Now, Out);
               },
               [&](const Ack &Body) { this->onAck(Body, Event, Now, Out); },
               [&](const Announce &) {}},
      Message.Body);
}

void Membership::onPing(const Ping &Body, const GossipReceived &Event,
                        Effects &Out) {
  const ProcessKey &Sender = Event.Message.From.Info.Key;
  if (!Body.Sync)
    return this->send(Event.From, Ack{Body.Sequence}, &Sender, Out);

  GossipMessage Page = this->makeMessage(Ack{Body.Sequence, true, true, true});
  std::size_t Bytes = encodedBound(this->Self);
  auto Item = Body.SyncAfter ? this->Members.upper_bound(*Body.SyncAfter)
                             : this->Members.begin();
  for (; Item != this->Members.end(); ++Item) {
    const Member &Entry = Item->second;
    if (!isPresent(Entry.State) || Item->first == Sender)
      continue;
    MemberUpdate Update{Entry.Info, Entry.Incarnation, Entry.State};
    Bytes += encodedBound(Update);
    if (Bytes > this->Limits.SyncBytes) {
      std::get<Ack>(Page.Body).SyncLast = false;
      break;
    }
    Page.Updates.push_back(std::move(Update));
  }
  Out.emplace_back(SendGossip{Event.From, std::move(Page)});
}

void Membership::onPingRequest(const PingRequest &Body,
                               const GossipReceived &Event, TimePoint Now,
                               Effects &Out) {
  // Only members are pinged, so that a forged request cannot direct traffic to
  // arbitrary addresses.
  auto Target = this->Members.find(Body.Target);
  if (Target == this->Members.end() ||
      this->Relays.size() >= this->Limits.MaxMembers)
    return;
  std::uint64_t Sequence = this->NextSequence++;
  this->Relays[Sequence] = {Event.From, Body.Sequence,
                            Now + this->Times.ProbeTimeout};
  this->send(Target->second.Info.Gossip, Ping{Sequence}, &Body.Target, Out);
}

void Membership::onAck(const Ack &Body, const GossipReceived &Event,
                       TimePoint Now, Effects &Out) {
  if (Body.Sync) {
    if (Body.Sequence != this->SyncSequence || this->SyncSequence == 0)
      return;
    this->SyncSequence = 0;
    bool Joining = this->Passes < this->Limits.JoinPasses;
    if (Body.SyncLast) {
      ++this->Passes;
      this->SyncAfter.reset();
      if (Joining)
        this->NextSync =
            Now + this->Times.JoinPause * (1 << (this->Passes - 1));
    } else if (!Event.Message.Updates.empty()) {
      this->SyncAfter = Event.Message.Updates.back().Info.Key;
    }
    if (Joining && !Body.SyncLast) {
      this->SyncSequence = this->NextSequence++;
      this->send(Event.From, Ping{this->SyncSequence, true, this->SyncAfter},
                 &Event.Message.From.Info.Key, Out);
    }
    return;
  }
  auto Relayed = this->Relays.find(Body.Sequence);
  if (Relayed != this->Relays.end()) {
    Relay Done = Relayed->second;
    this->Relays.erase(Relayed);
    return this->send(Done.Requester, Ack{Done.Sequence, Body.Reached}, nullptr,
                      Out);
  }
  if (!this->Running || this->Running->Sequence != Body.Sequence)
    return;
  if (Event.Message.MemberCount <= this->Alive + 1)
    this->LargerPeerAnswers = 0;
  else if (++this->LargerPeerAnswers >= this->Limits.RepairAfter &&
           Now >= this->NextRepair && this->Passes >= this->Limits.JoinPasses) {
    this->LargerPeerAnswers = 0;
    this->NextRepair = Now + this->Times.RepairPeriod;
    this->Passes = this->Limits.JoinPasses - 1;
    this->SyncAfter.reset();
    this->NextSync = Now;
  }
  bool Direct = Event.Message.From.Info.Key == this->Running->Target;
  if (!Direct)
    this->Running->HelperAnswered = true;
  if (!Body.Reached)
    return;
  this->Running.reset();
  if (this->Health > 0)
    --this->Health;
}

void Membership::applySelfUpdate(const MemberUpdate &Update) {
  if (this->Self.State != MemberState::Alive ||
      Update.Incarnation < this->Self.Incarnation)
    return;
  if (Update.Incarnation == this->Self.Incarnation &&
      Update.State == MemberState::Alive)
    return;
  // Either this process is suspected or declared dead, or the update is about a
  // former process with this key whose clock was ahead. A higher incarnation
  // refutes both.
  if (Update.State == MemberState::Suspect)
    this->Health = std::min(this->Health + 1, this->Limits.MaxHealth);
  this->Self.Incarnation = Update.Incarnation + 1;
}

void Membership::applyUpdate(const MemberUpdate &Update, bool Disseminate,
                             TimePoint Now, RandomSource &Random,
                             Effects &Out) {
  if (Update.Incarnation >
      this->Self.Incarnation + this->Limits.IncarnationLead)
    return;
  if (Update.Info.Key == this->Self.Info.Key)
    return this->applySelfUpdate(Update);

  const ProcessKey &Key = Update.Info.Key;
  auto Found = this->Members.find(Key);
  if (Found == this->Members.end()) {
    if (this->Members.size() >= this->Limits.MaxMembers)
      return;
    Member New{Update.Info, Update.Incarnation, Update.State, {}, Now};
    bool Present = isPresent(Update.State);
    // A departed member is stored, so that older updates about it are rejected,
    // but it is not disseminated.
    Found = this->Members.emplace(Key, std::move(New)).first;
    if (!Present) {
      this->Departed.insert(Key);
      return;
    }
    ++this->Alive;
    std::size_t Rest = this->ProbeOrder.size() - this->ProbeNext;
    this->ProbeOrder.push_back(Key);
    std::swap(this->ProbeOrder.back(),
              this->ProbeOrder[this->ProbeNext + Random.below(Rest + 1)]);
    if (Update.State == MemberState::Suspect)
      this->startSuspicion(Key, Now);
    if (Disseminate)
      this->disseminate(Key);
    Out.emplace_back(MemberChanged{Found->second});
    return;
  }

  Member &Entry = Found->second;
  if (std::pair(Update.Incarnation, Update.State) <=
      std::pair(Entry.Incarnation, Entry.State))
    return;
  bool InfoChanged = Entry.Info != Update.Info;
  Entry.Info = Update.Info;
  Entry.Incarnation = Update.Incarnation;
  if (Entry.State != Update.State)
    return this->setState(Entry, Update.State, Now, Out);
  this->disseminate(Key);
  if (Entry.State == MemberState::Suspect)
    this->startSuspicion(Key, Now);
  if (InfoChanged)
    Out.emplace_back(MemberChanged{Entry});
}

void Membership::setState(Member &Entry, MemberState State, TimePoint Now,
                          Effects &Out) {
  const ProcessKey &Key = Entry.Info.Key;
  bool WasPresent = isPresent(Entry.State);
  Entry.State = State;
  Entry.Since = Now;
  if (State == MemberState::Suspect)
    this->startSuspicion(Key, Now);
  else
    this->Suspicions.erase(Key);
  if (WasPresent && !isPresent(State)) {
    --this->Alive;
    this->Departed.insert(Key);
  } else if (!WasPresent && isPresent(State)) {
    ++this->Alive;
    this->Departed.erase(Key);
    if (std::find(this->ProbeOrder.begin(), this->ProbeOrder.end(), Key) ==
        this->ProbeOrder.end())
      this->ProbeOrder.push_back(Key);
  }
  this->disseminate(Key);
  Out.emplace_back(MemberChanged{Entry});
}

void Membership::disseminate(const ProcessKey &Key) {
  this->removePending(Key);
  this->PendingUpdates[Key] = 0;
  this->PendingOrder.emplace(0, Key);
}

void Membership::removePending(const ProcessKey &Key) {
  auto Found = this->PendingUpdates.find(Key);
  if (Found == this->PendingUpdates.end())
    return;
  this->PendingOrder.erase({Found->second, Key});
  this->PendingUpdates.erase(Found);
}

GossipMessage Membership::makeMessage(GossipBody Body) const {
  return {this->Self,
          this->Config,
          static_cast<std::uint32_t>(this->Alive + 1),
          std::move(Body),
          {}};
}

void Membership::send(const Endpoint &To, GossipBody Body,
                      const ProcessKey *Receiver, Effects &Out) {
  GossipMessage Message = this->makeMessage(std::move(Body));
  std::size_t Bytes = 0;
  auto Add = [&](const MemberUpdate &Update) {
    std::size_t Size = encodedBound(Update);
    if (Message.Updates.size() >= this->Limits.Piggyback ||
        Bytes + Size > this->Limits.UpdateBytes)
      return false;
    Bytes += Size;
    Message.Updates.push_back(Update);
    return true;
  };
  // If the receiver is not considered alive, its own update comes first, so
  // that it can refute it.
  auto Accused = Receiver ? this->Members.find(*Receiver) : this->Members.end();
  if (Accused != this->Members.end() &&
      Accused->second.State != MemberState::Alive)
    Add({Accused->second.Info, Accused->second.Incarnation,
         Accused->second.State});

  // Updates with the fewest sends come first.
  std::vector<ProcessKey> Sent;
  for (const auto &[Sends, Key] : this->PendingOrder) {
    if (Receiver && Key == *Receiver)
      continue;
    const Member &Entry = this->Members.at(Key);
    if (!Add({Entry.Info, Entry.Incarnation, Entry.State}))
      break;
    Sent.push_back(Key);
  }
  unsigned MaxSends = this->retransmissions();
  for (const ProcessKey &Key : Sent) {
    unsigned Sends = this->PendingUpdates.at(Key) + 1;
    this->removePending(Key);
    if (Sends >= MaxSends)
      continue;
    this->PendingUpdates[Key] = Sends;
    this->PendingOrder.emplace(Sends, Key);
  }
  Out.emplace_back(SendGossip{To, std::move(Message)});
}

std::vector<const Member *>
Membership::randomMembers(std::size_t Count, const ProcessKey *Except,
                          RandomSource &Random) const {
  std::vector<const Member *> Chosen;
  if (this->ProbeOrder.empty())
    return Chosen;
  auto Take = [&](const ProcessKey &Key) {
    if (Except && Key == *Except)
      return;
    auto Found = this->Members.find(Key);
    if (Found == this->Members.end() || !isPresent(Found->second.State))
      return;
    if (std::find(Chosen.begin(), Chosen.end(), &Found->second) == Chosen.end())
      Chosen.push_back(&Found->second);
  };
  // Sample at random first. If few members are present, samples mostly miss, so
  // a scan from a random position finds the rest.
  for (std::size_t Tried = 0; Tried < 4 * Count && Chosen.size() < Count;
       ++Tried)
    Take(this->ProbeOrder[Random.below(this->ProbeOrder.size())]);
  std::size_t Start = Random.below(this->ProbeOrder.size());
  for (std::size_t Step = 0;
       Step < this->ProbeOrder.size() && Chosen.size() < Count; ++Step)
    Take(this->ProbeOrder[(Start + Step) % this->ProbeOrder.size()]);
  return Chosen;
}

void Membership::startSuspicion(const ProcessKey &Key, TimePoint Now) {
  double Factor = std::max(1.0, std::log10(static_cast<double>(
                                    std::max<std::size_t>(this->Alive, 1))));
  auto Time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->Times.SuspicionUnit) * Factor);
  this->Suspicions[Key] = {Now + Time / 2, Now + Time};
}

unsigned Membership::retransmissions() const {
  return this->Limits.Retransmit * static_cast<unsigned>(std::ceil(std::log10(
                                       static_cast<double>(this->Alive) + 2)));
}

} // namespace balsamyard
