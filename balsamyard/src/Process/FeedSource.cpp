#include "balsamyard/src/Process/FeedSource.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace balsamyard {

namespace {

/// \returns the nodes that read the store, given all nodes.
std::set<NodeName> readersAmong(std::vector<PeerNode> Nodes) {
  std::sort(Nodes.begin(), Nodes.end(),
            [](const PeerNode &Left, const PeerNode &Right) {
              return std::tie(Right.Capacity, Left.Node) <
                     std::tie(Left.Capacity, Right.Node);
            });
  std::map<DomainName, std::size_t> Chosen;
  std::set<NodeName> Result;
  for (const PeerNode &Node : Nodes)
    if (Chosen[Node.Domain]++ < FeedSource::ReadersPerDomain)
      Result.insert(Node.Node);
  return Result;
}

/// \returns the number of nodes that act before \p Self.
std::uint32_t rankAmong(const std::set<NodeName> &Readers,
                        const std::vector<PeerNode> &Nodes,
                        const NodeName &Self) {
  if (const auto Found = Readers.find(Self); Found != Readers.end())
    return static_cast<std::uint32_t>(std::distance(Readers.begin(), Found));
  const auto Before =
      std::count_if(Nodes.begin(), Nodes.end(), [&](const PeerNode &Node) {
        return Node.Node < Self && !Readers.contains(Node.Node);
      });
  return static_cast<std::uint32_t>(Readers.size()) +
         static_cast<std::uint32_t>(Before);
}

} // namespace

FeedSource::FeedSource(PeerNode Self, std::uint64_t Seed)
    : Self(std::move(Self)), Random(Seed) {}

FeedSourceEffects FeedSource::handle(const FeedSourceEvent &Event,
                                     TimePoint Now) {
  FeedSourceEffects Out;
  std::visit([&](const auto &Body) { this->on(Body, Now, Out); }, Event);
  this->scheduleWake(Out);
  return Out;
}

void FeedSource::chooseReaders(std::vector<PeerNode> Nodes) {
  // The list may be older than the entry of this node.
  std::erase_if(Nodes, [this](const PeerNode &Node) {
    return Node.Node == this->Self.Node;
  });
  std::vector<PeerNode> All = Nodes;
  All.push_back(this->Self);
  const std::set<NodeName> Chosen = readersAmong(All);
  this->Reader = Chosen.contains(this->Self.Node);
  this->Rank = rankAmong(Chosen, All, this->Self.Node);
  std::erase_if(Nodes, [&Chosen](const PeerNode &Node) {
    return !Chosen.contains(Node.Node);
  });
  // Each node has an order of its own, which spreads the followers evenly; the
  // readers of its failure domain come first.
  const auto Weight = [this](const PeerNode &Node) {
    const std::string Key = this->Self.Node.Text + "\n" + Node.Node.Text;
    return std::pair(Node.Domain != this->Self.Domain,
                     XXH3_64bits(Key.data(), Key.size()));
  };
  std::sort(Nodes.begin(), Nodes.end(),
            [&](const PeerNode &Left, const PeerNode &Right) {
              return Weight(Left) < Weight(Right);
            });
  this->Readers = std::move(Nodes);
  this->Next = 0;
}

void FeedSource::readStore(FeedSourceEffects &Out) {
  if (this->ReadingStore)
    return;
  this->ReadingStore = true;
  Out.push_back(ReadStore{});
}

void FeedSource::on(const PeersListed &Event, TimePoint Now,
                    FeedSourceEffects &Out) {
  this->chooseReaders(Event.Nodes);
  if (this->Reader || this->Readers.empty()) {
    if (this->Current) {
      this->Current.reset();
      Out.push_back(LeavePeer{});
    }
    this->RetryAt.reset();
    this->readStore(Out);
    return;
  }
  const bool Keep =
      this->Current && std::find(this->Readers.begin(), this->Readers.end(),
                                 this->Current->Peer) != this->Readers.end();
  if (!Keep && !this->RetryAt)
    this->followNext(Now, Out);
}

void FeedSource::followNext(TimePoint Now, FeedSourceEffects &Out) {
  this->Current = Followed{this->Readers[this->Next], Now, {}, false};
  this->Next = (this->Next + 1) % this->Readers.size();
  this->RetryAt.reset();
  Out.push_back(FollowPeer{this->Current->Peer});
}

void FeedSource::on(const PeerReported &Event, TimePoint Now,
                    FeedSourceEffects &Out) {
  if (!this->Current)
    return;
  const bool WasConnected = this->Current->Connected;
  const bool First = !this->Current->HeardAt;
  this->Current->HeardAt = Now;
  this->Current->Connected = Event.Connected;
  this->Unreachable = 0;
  if (Event.Connected) {
    this->Disconnected = 0;
    if (this->ReadingStore) {
      this->ReadingStore = false;
      Out.push_back(LeaveStore{});
    }
    return;
  }
  if (!First && !WasConnected)
    return;
  if (++this->Disconnected == 1)
    this->DisconnectedSince = Now;
  if (Now - this->DisconnectedSince >= MaxDisconnectedTime)
    this->readStore(Out);
  // Another reader may still have the store. Once all were asked, the next one
  // is asked after a pause.
  if (this->Disconnected % this->Readers.size() != 0)
    this->followNext(Now, Out);
}

void FeedSource::onUnreachable(TimePoint Now, FeedSourceEffects &Out) {
  this->Current.reset();
  ++this->Unreachable;
  if (this->Unreachable < std::min(MaxUnreachable, this->Readers.size())) {
    this->followNext(Now, Out);
    return;
  }
  this->readStore(Out);
  this->Unreachable = 0;
  this->RetryAt = Now + this->withJitter(ReturnPause);
}

void FeedSource::on(const PeerLost &, TimePoint Now, FeedSourceEffects &Out) {
  if (this->Current)
    this->onUnreachable(Now, Out);
}

void FeedSource::on(const FeedSourceTimeReached &, TimePoint Now,
                    FeedSourceEffects &Out) {
  if (!this->Current) {
    if (this->RetryAt && Now >= *this->RetryAt && !this->Readers.empty())
      this->followNext(Now, Out);
    return;
  }
  const Followed &Peer = *this->Current;
  const bool Silent = Peer.HeardAt ? Now - *Peer.HeardAt >= SilenceLimit
                                   : Now - Peer.Since >= FirstReportLimit;
  if (Silent) {
    Out.push_back(LeavePeer{});
    this->onUnreachable(Now, Out);
    return;
  }
  if (Peer.HeardAt && !Peer.Connected && Now - Peer.Since >= DisconnectedPause)
    this->followNext(Now, Out);
}

void FeedSource::scheduleWake(FeedSourceEffects &Out) const {
  if (this->Current) {
    const Followed &Peer = *this->Current;
    TimePoint At = Peer.HeardAt ? *Peer.HeardAt + SilenceLimit
                                : Peer.Since + FirstReportLimit;
    if (Peer.HeardAt && !Peer.Connected)
      At = std::min(At, Peer.Since + DisconnectedPause);
    Out.push_back(WakeFeedSource{At});
  } else if (this->RetryAt) {
    Out.push_back(WakeFeedSource{*this->RetryAt});
  }
}

Duration FeedSource::withJitter(Duration Pause) {
  return Pause + Duration(this->Random.below(
                     static_cast<std::uint32_t>(Pause.count())));
}

} // namespace balsamyard
