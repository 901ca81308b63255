#include "balsamyard/src/Process/ConfigSync.h"
#include "balsamyard/src/Core/Overload.h"

#include "balsamyard/src/Version/RulesDelta.h"

#include <algorithm>
#include <xxhash.h>

namespace balsamyard {

namespace {

std::size_t estimateBytes(const DocumentDelta &Delta) {
  std::size_t Sum = Delta.Name.size() + Delta.Digest.size() + 32;
  for (const LineEdit &Edit : Delta.Edits) {
    Sum += 16;
    for (const std::string &Line : Edit.Added)
      Sum += Line.size() + 4;
  }
  return Sum;
}

std::uint64_t watcherRank(const DomainName &Domain, const NodeName &Node) {
  std::string Key = Domain.Text + '\0' + Node.Text;
  return XXH3_64bits(Key.data(), Key.size());
}

DocumentDelta makeDocumentDelta(const std::string &Name,
                                const ConfigDocument &Old, ConfigVersion To,
                                const std::string &Text) {
  DocumentDelta Result = makeDelta(Old.Text, Text);
  Result.Name = Name;
  Result.From = Old.Version;
  Result.To = To;
  return Result;
}

} // namespace

ConfigSync::ConfigSync(ProcessKey Self, DomainName Domain,
                       ConfigSyncTimes Times, ConfigSyncLimits Limits)
    : Self(std::move(Self)), Domain(std::move(Domain)), Times(Times),
      Limits(Limits) {}

std::vector<ConfigEffect> ConfigSync::handle(const ConfigEvent &Event,
                                             TimePoint Now,
                                             std::uint64_t Draw) {
  Effects Out;
  if (this->StartedAt == TimePoint{})
    this->StartedAt = Now;
  auto OnPeer = [&](const ConfigPeerChanged &Change) {
    if (Change.Domain == this->Domain) {
      this->Watching.reset();
      if (Change.Present)
        this->SameDomain.insert(Change.Key);
      else
        this->SameDomain.erase(Change.Key);
    }
    if (!Change.Present) {
      this->Peers.erase(Change.Key);
      this->NewerPeers.erase(Change.Key);
      return;
    }
    Peer &Entry = this->Peers[Change.Key];
    Entry.Address = Change.Peer;
    Entry.Domain = Change.Domain;
  };
  auto OnVersion = [&](const PeerVersionAnnounced &News) {
    auto Found = this->Peers.find(News.Key);
    if (Found == this->Peers.end() || News.Version <= this->Current)
      return;
    Found->second.Version = std::max(Found->second.Version, News.Version);
    this->NewerPeers.insert(News.Key);
    this->fetch(Now, Draw, Out);
  };
  auto OnFailed = [&](const FetchFailed &Failed) {
    this->Fetches.erase(Failed.Key);
    auto Found = this->Peers.find(Failed.Key);
    if (Found != this->Peers.end())
      Found->second.NotBefore = Now + this->Times.PeerPause;
    this->fetch(Now, Draw, Out);
  };
  std::visit(Overload{[&](const ConfigTick &) { this->onTick(Now, Draw, Out); },
                      OnPeer, OnVersion,
                      [&](const FetchAnswered &Answer) {
                        this->onAnswer(Answer, Now, Out);
                        this->fetch(Now, Draw, Out);
                      },
                      OnFailed,
                      [&](const PlatformAnswered &Answer) {
                        this->onPlatform(Answer, Now, Out);
                      },
                      [&](const PlatformFailed &) {
                        this->onPlatformFailed(Now, Draw);
                      }},
             Event);
  return Out;
}

void ConfigSync::onTick(TimePoint Now, std::uint64_t Draw, Effects &Out) {
  if (this->RoundsLeft > 0 && Now >= this->NextRound)
    this->announce(Now, Out);
  this->fetch(Now, Draw, Out);
  this->checkStart(Now, Out);

  if (this->PlatformBusy || Now < this->NextPlatform)
    return;
  bool PeersTried = Now - this->StartedAt >= this->Times.PlatformStartDelay ||
                    this->StartAnswered.size() >= this->Limits.StartAnswers;
  if (this->Ready ? !this->isWatcher() : !PeersTried)
    return;
  this->PlatformBusy = true;
  Out.emplace_back(ReadPlatform{this->PlatformAfter, this->PlatformAfter != 0});
}

void ConfigSync::fetch(TimePoint Now, std::uint64_t Draw, Effects &Out) {
  // One fetch runs at a time, and a second one if the peer of the first is
  // slow.
  if (this->Fetches.size() >= 2)
    return;
  for (const auto &[Key, Since] : this->Fetches)
    if (Now - Since < this->Times.SecondFetchDelay)
      return;
  const ProcessKey *Best = nullptr;
  ConfigVersion Version = this->Current;
  for (auto Item = this->NewerPeers.begin(); Item != this->NewerPeers.end();) {
    const Peer &Candidate = this->Peers.at(*Item);
    if (Candidate.Version <= this->Current) {
      Item = this->NewerPeers.erase(Item);
      continue;
    }
    if (Candidate.Version > Version && Now >= Candidate.NotBefore &&
        !this->Fetches.contains(*Item)) {
      Best = &*Item;
      Version = Candidate.Version;
    }
    ++Item;
  }
  if (Best)
    return this->startFetch(*Best, Now, Out);
  if (!this->Ready)
    this->fetchForStart(Now, Draw, Out);
}

bool ConfigSync::enoughAnswers() const {
  return this->StartAnswered.size() >= this->Limits.StartAnswers &&
         (this->OutsideAnswered ||
          this->SameDomain.size() == this->Peers.size());
}

bool ConfigSync::fetchForStart(TimePoint Now, std::uint64_t Draw,
                               Effects &Out) {
  if (this->enoughAnswers())
    return false;
  // Peers in the local failure domain come first, in an order that differs
  // between starting processes. The last answer has to come from another
  // failure domain: after a partition, all processes of the local one may have
  // the same outdated copy.
  bool FromOutside = !this->OutsideAnswered && this->StartAnswered.size() + 1 >=
                                                   this->Limits.StartAnswers;
  const ProcessKey *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  for (const auto &[Key, Candidate] : this->Peers) {
    if (this->StartAsked.contains(Key) || this->Fetches.contains(Key) ||
        Now < Candidate.NotBefore)
      continue;
    std::pair<bool, std::uint64_t> Rank{
        (Candidate.Domain != this->Domain) != FromOutside,
        XXH3_64bits_withSeed(Key.Node.Text.data(), Key.Node.Text.size(),
                             Draw + static_cast<unsigned>(Key.Role))};
    if (!Best || Rank < BestRank) {
      Best = &Key;
      BestRank = Rank;
    }
  }
  if (!Best)
    return false;
  this->StartAsked.insert(*Best);
  this->startFetch(*Best, Now, Out);
  return true;
}

void ConfigSync::startFetch(const ProcessKey &Key, TimePoint Now,
                            Effects &Out) {
  const Peer &Target = this->Peers.at(Key);
  this->Fetches[Key] = Now;
  Out.emplace_back(FetchFromPeer{Key, Target.Address,
                                 ConfigFetch{this->Current, Target.FullText}});
}

void ConfigSync::onAnswer(const FetchAnswered &Event, TimePoint Now,
                          Effects &Out) {
  this->Fetches.erase(Event.Key);
  std::vector<std::string> Applied;
  std::vector<std::string> Refused;
  for (const DocumentDelta &Delta : Event.Answer.Documents) {
    auto Held = this->Documents.find(Delta.Name);
    if (Held != this->Documents.end() && Held->second.Version >= Delta.To)
      continue;
    if (this->applyDelta(Delta)) {
      if (Applied.empty() || Applied.back() != Delta.Name)
        Applied.push_back(Delta.Name);
    } else {
      Out.emplace_back(DocumentRefused{Delta.Name, Event.Key});
      if (Refused.empty() || Refused.back() != Delta.Name)
        Refused.push_back(Delta.Name);
    }
  }
  bool Progress = !Applied.empty() || Event.Answer.To > this->Current;
  if (!Applied.empty())
    Out.emplace_back(DocumentsApplied{std::move(Applied)});
  // The version never exceeds that of the local documents, whatever the peer
  // claims.
  if (Refused.empty())
    this->advanceVersion(std::min(Event.Answer.To, this->Highest), Now, Out);

  auto Found = this->Peers.find(Event.Key);
  if (Found != this->Peers.end()) {
    // Full texts were requested and still do not match, so the peer is faulty.
    bool Again = !Refused.empty() && !Found->second.FullText.empty();
    if (!Progress || Again)
      Found->second.NotBefore = Now + this->Times.PeerPause;
    Found->second.FullText = std::move(Refused);
  }
  if (this->Ready)
    return;
  bool MorePages =
      Found != this->Peers.end() && Found->second.Version > this->Current;
  if (Event.Answer.To > ConfigVersion{} && !MorePages) {
    this->StartAnswered.insert(Event.Key);
    this->OutsideAnswered |= !this->SameDomain.contains(Event.Key);
  }
  this->checkStart(Now, Out);
}

void ConfigSync::checkStart(TimePoint Now, Effects &Out) {
  // As long as the platform answers, readiness follows from its documents.
  if (this->Ready || this->PlatformFailures == 0 ||
      this->Current == ConfigVersion{} || !this->NewerPeers.empty())
    return;
  if (this->enoughAnswers())
    return this->becomeReady(Now, Out);
  bool AllAsked = std::all_of(this->Peers.begin(), this->Peers.end(),
                              [&](const auto &Item) {
                                return this->StartAsked.contains(Item.first) ||
                                       this->StartAnswered.contains(Item.first);
                              });
  if (!AllAsked || !this->Fetches.empty() ||
      Now - this->StartedAt < this->Times.StartPeerWait)
    return;
  if (!this->StartAnswered.empty())
    return this->becomeReady(Now, Out);
}

void ConfigSync::onPlatform(const PlatformAnswered &Event, TimePoint Now,
                            Effects &Out) {
  this->PlatformBusy = false;
  this->PlatformFailures = 0;
  this->PlatformAfter = std::max(this->PlatformAfter, Event.Counter);
  std::vector<std::string> Applied;
  for (const PlatformDocument &Read : Event.Documents)
    if (this->applyText(Read))
      Applied.push_back(Read.Name);
  if (!Applied.empty())
    Out.emplace_back(DocumentsApplied{std::move(Applied)});
  this->advanceVersion(Event.Newest, Now, Out);
  if (!this->Ready && this->Current > ConfigVersion{})
    this->becomeReady(Now, Out);
}

void ConfigSync::onPlatformFailed(TimePoint Now, std::uint64_t Draw) {
  this->PlatformBusy = false;
  ++this->PlatformFailures;
  unsigned Doublings = std::min(this->PlatformFailures - 1, 8U);
  Duration Pause =
      std::min(this->Times.RetryMin * (1 << Doublings), this->Times.RetryMax);
  // Half of the pause is random, so that the processes of a failure domain do
  // not all retry at the same time after an outage.
  Duration Half = Pause / 2;
  this->NextPlatform =
      Now + Half + Duration(Draw % static_cast<std::uint64_t>(Half.count()));
}

void ConfigSync::advanceVersion(ConfigVersion Version, TimePoint Now,
                                Effects &Out) {
  if (Version <= this->Current)
    return;
  this->Current = Version;
  Out.emplace_back(VersionReached{Version});
  if (!this->Ready)
    return;
  this->RoundsLeft = this->Limits.AnnounceRounds;
  this->announce(Now, Out);
}

void ConfigSync::becomeReady(TimePoint Now, Effects &Out) {
  this->Ready = true;
  Out.emplace_back(ConfigReady{});
  (void)Now;
}

void ConfigSync::announce(TimePoint Now, Effects &Out) {
  --this->RoundsLeft;
  this->NextRound = Now + this->Times.AnnouncePeriod;
  Out.emplace_back(AnnounceVersion{this->Current, this->Limits.AnnouncePeers});
}

bool ConfigSync::applyDelta(const DocumentDelta &Delta) {
  ConfigDocument Empty;
  auto Held = this->Documents.find(Delta.Name);
  const ConfigDocument &Base =
      Held == this->Documents.end() ? Empty : Held->second;
  bool Whole = Delta.From == ConfigVersion{};
  if (!Whole && Delta.From != Base.Version)
    return false;
  Expected<std::string> Text =
      balsamyard::applyDelta(Whole ? std::string() : Base.Text, Delta);
  if (!Text)
    return false;
  this->store(this->Documents[Delta.Name], Delta, std::move(*Text));
  return true;
}

bool ConfigSync::applyText(const PlatformDocument &Read) {
  ConfigDocument &Held = this->Documents[Read.Name];
  if (Held.Version >= Read.Version)
    return false;
  this->store(Held, makeDocumentDelta(Read.Name, Held, Read.Version, Read.Text),
              Read.Text);
  return true;
}

void ConfigSync::store(ConfigDocument &Into, DocumentDelta Delta,
                       std::string Text) {
  Into.Version = Delta.To;
  Into.Text = std::move(Text);
  Into.Digest = Delta.Digest;
  this->Highest = std::max(this->Highest, Delta.To);
  if (Delta.From == ConfigVersion{}) {
    // A full text gives no delta from the former version, and storing it as one
    // would keep the text twice.
    Into.History.clear();
    Into.HistoryBytes = 0;
    return;
  }
  Into.HistoryBytes += estimateBytes(Delta);
  Into.History.push_back(std::move(Delta));
  while (Into.History.size() > this->Limits.HistoryEdits ||
         Into.HistoryBytes > this->Limits.HistoryBytes) {
    Into.HistoryBytes -= estimateBytes(Into.History.front());
    Into.History.pop_front();
  }
}

ConfigDelta ConfigSync::answer(const ConfigFetch &Question) const {
  if (!this->Ready)
    return {};
  auto Wanted = [&](const std::string &Name) {
    return std::find(Question.Whole.begin(), Question.Whole.end(), Name) !=
           Question.Whole.end();
  };
  std::vector<const std::pair<const std::string, ConfigDocument> *> Order;
  for (const auto &Item : this->Documents)
    if (Item.second.Version > Question.KnownVersion || Wanted(Item.first))
      Order.push_back(&Item);
  std::sort(Order.begin(), Order.end(), [](const auto *A, const auto *B) {
    return A->second.Version < B->second.Version;
  });

  ConfigDelta Result{this->Current, {}};
  std::size_t Bytes = 0;
  ConfigVersion Complete = Question.KnownVersion;
  for (const auto *Item : Order) {
    const auto &[Name, Document] = *Item;
    std::vector<DocumentDelta> Chain;
    if (!Wanted(Name))
      for (const DocumentDelta &Delta : Document.History)
        if (Delta.To > Question.KnownVersion)
          Chain.push_back(Delta);
    std::size_t Size = 0;
    for (const DocumentDelta &Delta : Chain)
      Size += estimateBytes(Delta);
    if (Chain.empty() || Chain.front().From > Question.KnownVersion ||
        Size > Document.Text.size() + 256) {
      Chain.assign(
          1, makeDocumentDelta(Name, {}, Document.Version, Document.Text));
      Size = Document.Text.size() + 256;
    }
    if (!Result.Documents.empty() && Bytes + Size > this->Limits.PageBytes) {
      Result.To = std::min(this->Current, Complete);
      return Result;
    }
    Bytes += Size;
    Complete = std::max(Complete, Document.Version);
    std::move(Chain.begin(), Chain.end(), std::back_inserter(Result.Documents));
  }
  return Result;
}

bool ConfigSync::isWatcher() const {
  if (this->Watching)
    return *this->Watching;
  // At most one watcher per node, so that the loss of a VM leaves the other.
  std::map<std::pair<std::uint64_t, NodeName>, ProcessRole> Nodes;
  auto Add = [&](const ProcessKey &Key) {
    ProcessRole &Role =
        Nodes
            .try_emplace({watcherRank(this->Domain, Key.Node), Key.Node},
                         Key.Role)
            .first->second;
    if (Key.Role == ProcessRole::Holder)
      Role = Key.Role;
  };
  Add(this->Self);
  for (const ProcessKey &Key : this->SameDomain)
    Add(Key);
  this->Watching = false;
  std::size_t Count = 0;
  for (const auto &[Key, Role] : Nodes) {
    if (Count++ == this->Limits.Watchers)
      break;
    if (ProcessKey{Key.second, Role} == this->Self)
      this->Watching = true;
  }
  return *this->Watching;
}

} // namespace balsamyard
