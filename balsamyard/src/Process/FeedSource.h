#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RandomGenerator.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief A node of the system and its address for other nodes.
struct PeerNode {
  NodeName Node;
  DomainName Domain;
  Endpoint Peers;
  std::uint32_t Capacity = 0; ///< \sa NodeSettings::Capacity

  auto operator<=>(const PeerNode &) const = default;
};

/// \brief The nodes of the system are known, or have changed.
struct PeersListed {
  std::vector<PeerNode> Nodes;
};

/// \brief The node that is followed has sent its state.
struct PeerReported {
  bool Connected = false; ///< It reads the store at present.
};

/// \brief The connection to the node that is followed has ended or could not be
/// opened.
struct PeerLost {};

/// \brief The time of the last WakeFeedSource has been reached.
struct FeedSourceTimeReached {};

using FeedSourceEvent =
    std::variant<PeersListed, PeerReported, PeerLost, FeedSourceTimeReached>;

/// \brief Read the store.
struct ReadStore {};

/// \brief Stop reading the store.
struct LeaveStore {};

/// \brief Follow this node instead of the one that was followed.
struct FollowPeer {
  PeerNode To;
};

/// \brief End the connection to the node that is followed.
struct LeavePeer {};

/// \brief Report FeedSourceTimeReached at this time; replaces the previous one.
struct WakeFeedSource {
  TimePoint At{};
};

using FeedSourceEffect =
    std::variant<ReadStore, LeaveStore, FollowPeer, LeavePeer, WakeFeedSource>;
using FeedSourceEffects = std::vector<FeedSourceEffect>;

/// \brief Decides where a node learns the state of the store: from the store
/// itself, or from another node.
///
/// Answers the load of hundreds of nodes that all watch the store: each call is
/// charged, a waiting one too, and each change wakes every watcher. The nodes
/// with the most processor time of each failure domain, among equals the first
/// by name, read the store and pass it on; the others follow one of them. No
/// agreement is needed: a node that finds no reader reads the store itself,
/// which is always correct.
class FeedSource {
public:
  /// Nodes of each failure domain that read the store.
  static constexpr std::size_t ReadersPerDomain = 3;

  /// A followed node is given up if it sends nothing for this time, which
  /// covers two signs of life. Together with the search for another reader it
  /// stays below the time in which changes have to be in force.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1800);

  /// A connection to a node that sends nothing at all is given up sooner: it
  /// sends its state at once.
  static constexpr Duration FirstReportLimit = std::chrono::milliseconds(600);

  /// Readers that are tried in a row before the node reads the store itself.
  static constexpr std::size_t MaxUnreachable = 3;

  /// How long a node stays with a reader that has lost the store, once every
  /// other one was asked.
  static constexpr Duration DisconnectedPause = std::chrono::milliseconds(700);

  /// How long all readers may be without the store before the node tries the
  /// store itself, which may turn away the readers only.
  static constexpr Duration MaxDisconnectedTime = std::chrono::seconds(15);

  /// Pause before a node that reads the store itself looks for a reader again.
  static constexpr Duration ReturnPause = std::chrono::seconds(5);

  /// \p Self is the entry of this node.
  FeedSource(PeerNode Self, std::uint64_t Seed);

  FeedSourceEffects handle(const FeedSourceEvent &Event, TimePoint Now);

  /// \returns whether the node reads the store.
  bool readsStore() const { return this->ReadingStore; }

  /// \returns whether other nodes may follow this one.
  bool isReader() const { return this->Reader; }

  /// \returns the node that is followed, if any.
  std::optional<PeerNode> followed() const {
    return this->Current ? std::optional(this->Current->Peer) : std::nullopt;
  }

  /// \returns the other readers, those of the failure domain first.
  const std::vector<PeerNode> &readers() const { return this->Readers; }

  /// \returns the position of this node in the order in which nodes act for
  /// the whole system: readers first, as they are the first to know.
  std::uint32_t rank() const { return this->Rank; }

private:
  struct Followed {
    PeerNode Peer;
    TimePoint Since{};
    std::optional<TimePoint> HeardAt;
    bool Connected = false;
  };

  void on(const PeersListed &Event, TimePoint Now, FeedSourceEffects &Out);
  void on(const PeerReported &Event, TimePoint Now, FeedSourceEffects &Out);
  void on(const PeerLost &Event, TimePoint Now, FeedSourceEffects &Out);
  void on(const FeedSourceTimeReached &Event, TimePoint Now,
          FeedSourceEffects &Out);

  void chooseReaders(std::vector<PeerNode> Nodes);
  void followNext(TimePoint Now, FeedSourceEffects &Out);
  void onUnreachable(TimePoint Now, FeedSourceEffects &Out);
  void readStore(FeedSourceEffects &Out);
  void scheduleWake(FeedSourceEffects &Out) const;
  Duration withJitter(Duration Pause);

  const PeerNode Self;
  RandomGenerator Random;
  std::vector<PeerNode> Readers; ///< Of other nodes, best first.
  std::size_t Next = 0;          ///< Index of the reader to follow next.
  bool Reader = false;
  std::uint32_t Rank = 0;
  bool ReadingStore = false;
  std::optional<Followed> Current;
  std::size_t Unreachable = 0;      ///< Since the last report of a reader.
  std::size_t Disconnected = 0;     ///< Reports in a row without the store.
  TimePoint DisconnectedSince{};    ///< First of these reports.
  std::optional<TimePoint> RetryAt; ///< When to follow again.
};

} // namespace balsamyard
