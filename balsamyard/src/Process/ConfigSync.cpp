#include "balsamyard/src/Process/ConfigSync.h"
#include "balsamyard/src/Core/Overload.h"

#include "balsamyard/src/Version/RulesDelta.h"

#include <algorithm>
#include <xxhash.h>

namespace balsamyard {

namespace {

std::size_t bytesOf(const DocumentDelta &Delta) {
  std::size_t Sum = Delta.Name.size() + Delta.Digest.size() + 32;
  for (const LineEdit &Edit : Delta.Edits) {
    Sum += 16;
    for (const std::string &Line : Edit.Added)
      Sum += Line.size() + 4;
  }
  return Sum;
}

std::uint64_t rank(const DomainName &Domain, const NodeName &Node) {
  std::string Key = Domain.Text + '\0' + Node.Text;
  return XXH3_64bits(Key.data(), Key.size());
}

DocumentDelta deltaOf(const std::string &Name, const ConfigDocument &Old,
                      ConfigVersion To, const std::string &Text) {
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
        this->SameDomain.insert(Change.Who);
      else
        this->SameDomain.erase(Change.Who);
    }
    if (!Change.Present) {
      this->Peers.erase(Change.Who);
      this->Behind.erase(Change.Who);
      return;
    }
    Peer &Known = this->Peers[Change.Who];
    Known.Address = Change.Peer;
    Known.Domain = Change.Domain;
  };
  auto OnVersion = [&](const PeerVersionAnnounced &News) {
    auto Known = this->Peers.find(News.Who);
    if (Known == this->Peers.end() || News.Version <= this->Current)
      return;
    Known->second.Version = std::max(Known->second.Version, News.Version);
    this->Behind.insert(News.Who);
    this->fetch(Now, Draw, Out);
  };
  auto OnFailed = [&](const FetchFailed &Failed) {
    this->Fetches.erase(Failed.Who);
    auto Known = this->Peers.find(Failed.Who);
    if (Known != this->Peers.end())
      Known->second.NotBefore = Now + this->Times.PeerPause;
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
  bool PeersTried = Now - this->StartedAt >= this->Times.PeersFirst ||
                    this->StartAnswered.size() >= this->Limits.StartAnswers;
  if (this->Ready ? !this->isWatcher() : !PeersTried)
    return;
  this->PlatformBusy = true;
  Out.emplace_back(ReadPlatform{this->PlatformAfter, this->PlatformAfter != 0});
}

void ConfigSync::fetch(TimePoint Now, std::uint64_t Draw, Effects &Out) {
  // One fetch runs at a time; a second one only covers for a slow peer.
  if (this->Fetches.size() >= 2)
    return;
  for (const auto &[Key, Since] : this->Fetches)
    if (Now - Since < this->Times.SecondFetch)
      return;
  const ProcessKey *Best = nullptr;
  ConfigVersion Version = this->Current;
  for (auto Item = this->Behind.begin(); Item != this->Behind.end();) {
    const Peer &Known = this->Peers.at(*Item);
    if (Known.Version <= this->Current) {
      Item = this->Behind.erase(Item);
      continue;
    }
    if (Known.Version > Version && Now >= Known.NotBefore &&
        !this->Fetches.contains(*Item)) {
      Best = &*Item;
      Version = Known.Version;
    }
    ++Item;
  }
  if (Best)
    return this->ask(*Best, Now, Out);
  if (!this->Ready)
    this->askForStart(Now, Draw, Out);
}

bool ConfigSync::enoughAnswers() const {
  return this->StartAnswered.size() >= this->Limits.StartAnswers &&
         (this->OutsideAnswered ||
          this->SameDomain.size() == this->Peers.size());
}

bool ConfigSync::askForStart(TimePoint Now, std::uint64_t Draw, Effects &Out) {
  if (this->enoughAnswers())
    return false;
  // Processes of the own failure domain first, in an order that differs
  // between the starting processes; the last one from elsewhere, because a
  // failure domain that was cut off holds an old copy as a whole.
  bool Elsewhere = !this->OutsideAnswered &&
                   this->StartAnswered.size() + 1 >= this->Limits.StartAnswers;
  const ProcessKey *Best = nullptr;
  std::pair<bool, std::uint64_t> BestRank;
  for (const auto &[Key, Known] : this->Peers) {
    if (this->StartAsked.contains(Key) || this->Fetches.contains(Key) ||
        Now < Known.NotBefore)
      continue;
    std::pair<bool, std::uint64_t> Rank{
        (Known.Domain != this->Domain) != Elsewhere,
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
  this->ask(*Best, Now, Out);
  return true;
}

void ConfigSync::ask(const ProcessKey &Who, TimePoint Now, Effects &Out) {
  const Peer &Known = this->Peers.at(Who);
  this->Fetches[Who] = Now;
  Out.emplace_back(FetchFromPeer{Who, Known.Address,
                                 ConfigFetch{this->Current, Known.Whole}});
}

void ConfigSync::onAnswer(const FetchAnswered &Event, TimePoint Now,
                          Effects &Out) {
  this->Fetches.erase(Event.Who);
  std::vector<std::string> Applied;
  std::vector<std::string> Refused;
  for (const DocumentDelta &Delta : Event.Answer.Documents) {
    auto Own = this->Documents.find(Delta.Name);
    if (Own != this->Documents.end() && Own->second.Version >= Delta.To)
      continue;
    if (this->applyDelta(Delta)) {
      if (Applied.empty() || Applied.back() != Delta.Name)
        Applied.push_back(Delta.Name);
    } else {
      Out.emplace_back(DocumentRefused{Delta.Name, Event.Who});
      if (Refused.empty() || Refused.back() != Delta.Name)
        Refused.push_back(Delta.Name);
    }
  }
  bool Progress = !Applied.empty() || Event.Answer.To > this->Current;
  if (!Applied.empty())
    Out.emplace_back(DocumentsApplied{std::move(Applied)});
  // No version is reached without its documents, whatever the answer says.
  if (Refused.empty())
    this->reach(std::min(Event.Answer.To, this->Highest), Now, Out);

  auto Known = this->Peers.find(Event.Who);
  if (Known != this->Peers.end()) {
    // Whole texts were asked for and still do not match: the peer is at fault.
    bool Again = !Refused.empty() && !Known->second.Whole.empty();
    if (!Progress || Again)
      Known->second.NotBefore = Now + this->Times.PeerPause;
    Known->second.Whole = std::move(Refused);
  }
  if (this->Ready)
    return;
  bool MorePages =
      Known != this->Peers.end() && Known->second.Version > this->Current;
  if (Event.Answer.To > ConfigVersion{} && !MorePages) {
    this->StartAnswered.insert(Event.Who);
    this->OutsideAnswered |= !this->SameDomain.contains(Event.Who);
  }
  this->checkStart(Now, Out);
}

void ConfigSync::checkStart(TimePoint Now, Effects &Out) {
  // While the platform answers, its answer decides.
  if (this->Ready || this->PlatformFailures == 0 ||
      this->Current == ConfigVersion{} || !this->Behind.empty())
    return;
  if (this->enoughAnswers())
    return this->becomeReady(Now, Out);
  bool AllAsked = std::all_of(this->Peers.begin(), this->Peers.end(),
                              [&](const auto &Item) {
                                return this->StartAsked.contains(Item.first) ||
                                       this->StartAnswered.contains(Item.first);
                              });
  if (!AllAsked || !this->Fetches.empty() ||
      Now - this->StartedAt < this->Times.StartWait)
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
  this->reach(Event.Newest, Now, Out);
  if (!this->Ready && this->Current > ConfigVersion{})
    this->becomeReady(Now, Out);
}

void ConfigSync::onPlatformFailed(TimePoint Now, std::uint64_t Draw) {
  this->PlatformBusy = false;
  ++this->PlatformFailures;
  unsigned Doublings = std::min(this->PlatformFailures - 1, 8U);
  Duration Pause = std::min(this->Times.RetryLeast * (1 << Doublings),
                            this->Times.RetryMost);
  // Half of the pause is random, so that the processes of a failure domain do
  // not all return at once after an outage.
  Duration Half = Pause / 2;
  this->NextPlatform =
      Now + Half + Duration(Draw % static_cast<std::uint64_t>(Half.count()));
}

void ConfigSync::reach(ConfigVersion Version, TimePoint Now, Effects &Out) {
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
  auto Own = this->Documents.find(Delta.Name);
  const ConfigDocument &Base =
      Own == this->Documents.end() ? Empty : Own->second;
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
  ConfigDocument &Own = this->Documents[Read.Name];
  if (Own.Version >= Read.Version)
    return false;
  this->store(Own, deltaOf(Read.Name, Own, Read.Version, Read.Text), Read.Text);
  return true;
}

void ConfigSync::store(ConfigDocument &Into, DocumentDelta Delta,
                       std::string Text) {
  Into.Version = Delta.To;
  Into.Text = std::move(Text);
  Into.Digest = Delta.Digest;
  this->Highest = std::max(this->Highest, Delta.To);
  if (Delta.From == ConfigVersion{}) {
    // The way from the former version is not known, and the whole text need
    // not be kept twice.
    Into.History.clear();
    Into.HistoryBytes = 0;
    return;
  }
  Into.HistoryBytes += bytesOf(Delta);
  Into.History.push_back(std::move(Delta));
  while (Into.History.size() > this->Limits.HistoryEdits ||
         Into.HistoryBytes > this->Limits.HistoryBytes) {
    Into.HistoryBytes -= bytesOf(Into.History.front());
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
    if (Item.second.Version > Question.Have || Wanted(Item.first))
      Order.push_back(&Item);
  std::sort(Order.begin(), Order.end(), [](const auto *A, const auto *B) {
    return A->second.Version < B->second.Version;
  });

  ConfigDelta Result{this->Current, {}};
  std::size_t Bytes = 0;
  ConfigVersion Complete = Question.Have;
  for (const auto *Item : Order) {
    const auto &[Name, Document] = *Item;
    std::vector<DocumentDelta> Chain;
    if (!Wanted(Name))
      for (const DocumentDelta &Delta : Document.History)
        if (Delta.To > Question.Have)
          Chain.push_back(Delta);
    std::size_t Size = 0;
    for (const DocumentDelta &Delta : Chain)
      Size += bytesOf(Delta);
    if (Chain.empty() || Chain.front().From > Question.Have ||
        Size > Document.Text.size() + 256) {
      Chain.assign(1, deltaOf(Name, {}, Document.Version, Document.Text));
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
  // Watchers run on different nodes, so that one VM is not both of them.
  std::map<std::pair<std::uint64_t, NodeName>, ProcessRole> Nodes;
  auto Add = [&](const ProcessKey &Who) {
    ProcessRole &Role =
        Nodes.try_emplace({rank(this->Domain, Who.Node), Who.Node}, Who.Role)
            .first->second;
    if (Who.Role == ProcessRole::Holder)
      Role = Who.Role;
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
