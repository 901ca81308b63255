#pragma once

#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Process/Membership.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Timing of the configuration synchronization.
struct ConfigSyncTimes {
  Duration AnnouncePeriod = std::chrono::milliseconds(200);

  /// Age of a running fetch after which a second peer is asked. A lost TCP
  /// segment is retransmitted after 200 ms or more.
  Duration SecondFetchDelay = std::chrono::milliseconds(250);

  /// Time for which a peer is not asked again after a fetch that failed or
  /// returned nothing new.
  Duration PeerPause = std::chrono::seconds(1);

  /// Time for which a starting process asks only peers, so that it reads from
  /// the platform only what they do not have.
  Duration PlatformStartDelay = std::chrono::milliseconds(500);

  /// Time for which a starting process waits for more peers if fewer than
  /// ConfigSyncLimits::StartAnswers have answered.
  Duration StartPeerWait = std::chrono::seconds(2);

  Duration RetryMin = std::chrono::milliseconds(500); ///< Of platform reads.
  Duration RetryMax = std::chrono::seconds(5);
};

/// \brief Counts and sizes that bound the configuration synchronization.
struct ConfigSyncLimits {
  std::size_t AnnouncePeers = 3;
  unsigned AnnounceRounds = 3;
  std::size_t Watchers = 2;     ///< Nodes per failure domain.
  std::size_t StartAnswers = 3; ///< Answers needed if the platform is down.
  std::size_t PageBytes = std::size_t{512} * 1024;
  std::size_t HistoryEdits = 256; ///< Deltas kept per document.
  std::size_t HistoryBytes = std::size_t{64} * 1024;
};

/// \brief Local copy of a shared document.
struct ConfigDocument {
  ConfigVersion Version{};
  std::string Text;
  std::string Digest;
  std::deque<DocumentDelta> History; ///< Consecutive deltas, oldest first.
  std::size_t HistoryBytes = 0;
};

/// \brief A document read from the platform.
struct PlatformDocument {
  std::string Name;
  ConfigVersion Version{};
  std::string Text;
};

/// \brief Periodic timer event, due every 100 ms.
struct ConfigTick {};

/// \brief A process joined, left or changed its address.
struct ConfigPeerChanged {
  ProcessKey Key;
  Endpoint Peer;
  DomainName Domain;
  bool Present = true;
};

/// \brief A peer announced a configuration version.
struct PeerVersionAnnounced {
  ProcessKey Key;
  Endpoint Peer;
  ConfigVersion Version{};
};

struct FetchAnswered {
  ProcessKey Key;
  ConfigDelta Answer;
};

struct FetchFailed {
  ProcessKey Key;
};

/// \brief A platform read ended. Documents are those newer than the local
/// copies; Newest is the highest version of any listed document.
struct PlatformAnswered {
  std::uint64_t Counter = 0;
  ConfigVersion Newest{};
  std::vector<PlatformDocument> Documents;
};

struct PlatformFailed {};

using ConfigEvent =
    std::variant<ConfigTick, ConfigPeerChanged, PeerVersionAnnounced,
                 FetchAnswered, FetchFailed, PlatformAnswered, PlatformFailed>;

/// \brief Announce the version of this process to \p Peers random processes.
struct AnnounceVersion {
  ConfigVersion Version{};
  std::size_t Peers = 0;
};

struct FetchFromPeer {
  ProcessKey Key;
  Endpoint Peer;
  ConfigFetch Question;
};

/// \brief List the documents newer than After and read those that are newer
/// than the local copies. With Wait, the list is a long poll that returns when
/// a document changes.
struct ReadPlatform {
  std::uint64_t After = 0;
  bool Wait = false;
};

/// \brief The documents are in effect.
struct DocumentsApplied {
  std::vector<std::string> Names;
};

/// \brief The configuration version of this process increased.
struct VersionReached {
  ConfigVersion Version{};
};

/// \brief A delta did not apply to the local copy, or the resulting text did
/// not match its digest.
struct DocumentRefused {
  std::string Name;
  ProcessKey From;
};

/// \brief The configuration is recent enough to serve requests.
struct ConfigReady {};

using ConfigEffect =
    std::variant<AnnounceVersion, FetchFromPeer, ReadPlatform, DocumentsApplied,
                 VersionReached, DocumentRefused, ConfigReady>;

/// \brief Synchronizes the shared documents of this process with its peers and
/// the platform.
///
/// Pure state machine: time and random numbers are passed in, calls to make are
/// returned as effects.
class ConfigSync {
public:
  ConfigSync(ProcessKey Self, DomainName Domain, ConfigSyncTimes Times = {},
             ConfigSyncLimits Limits = {});

  /// \brief Applies one event. \p Draw is a fresh random number.
  std::vector<ConfigEffect> handle(const ConfigEvent &Event, TimePoint Now,
                                   std::uint64_t Draw);

  /// \returns one page of the documents that the peer asking \p Question does
  /// not have. Empty while this process is not ready, because its copies may be
  /// outdated.
  ConfigDelta answer(const ConfigFetch &Question) const;

  const std::map<std::string, ConfigDocument> &documents() const {
    return this->Documents;
  }

  /// \returns the version up to which all documents are complete.
  ConfigVersion version() const { return this->Current; }

  bool ready() const { return this->Ready; }

  /// \returns whether this process is one of the watchers of its failure
  /// domain.
  bool isWatcher() const;

private:
  struct Peer {
    Endpoint Address;
    DomainName Domain;
    ConfigVersion Version{};           ///< Highest announced.
    TimePoint NotBefore{};             ///< Earliest time of the next fetch.
    std::vector<std::string> FullText; ///< Documents to request in full.
  };

  ProcessKey Self;
  DomainName Domain;
  ConfigSyncTimes Times;
  ConfigSyncLimits Limits;

  std::map<std::string, ConfigDocument> Documents;
  ConfigVersion Current{};
  ConfigVersion Highest{}; ///< Highest version of any local document.
  bool Ready = false;
  TimePoint StartedAt{};

  std::map<ProcessKey, Peer> Peers;
  std::set<ProcessKey> SameDomain; ///< Peers in the local failure domain.
  std::set<ProcessKey> NewerPeers; ///< Announced more than Current.
  std::map<ProcessKey, TimePoint> Fetches; ///< Start times of running fetches.

  std::set<ProcessKey> StartAsked;    ///< Asked before this process was ready.
  std::set<ProcessKey> StartAnswered; ///< Of these, sent a configuration.
  bool OutsideAnswered = false; ///< One of them is in another failure domain.

  unsigned RoundsLeft = 0;
  TimePoint NextRound{};

  bool PlatformBusy = false;
  unsigned PlatformFailures = 0; ///< In a row.
  std::uint64_t PlatformAfter = 0;
  TimePoint NextPlatform{};

  mutable std::optional<bool> Watching; ///< Cache; reset when peers change.

  using Effects = std::vector<ConfigEffect>;

  void onTick(TimePoint Now, std::uint64_t Draw, Effects &Out);
  void onAnswer(const FetchAnswered &Event, TimePoint Now, Effects &Out);
  void onPlatform(const PlatformAnswered &Event, TimePoint Now, Effects &Out);
  void onPlatformFailed(TimePoint Now, std::uint64_t Draw);

  void fetch(TimePoint Now, std::uint64_t Draw, Effects &Out);
  bool enoughAnswers() const;
  bool fetchForStart(TimePoint Now, std::uint64_t Draw, Effects &Out);
  void startFetch(const ProcessKey &Key, TimePoint Now, Effects &Out);
  void announce(TimePoint Now, Effects &Out);
  void advanceVersion(ConfigVersion Version, TimePoint Now, Effects &Out);
  void becomeReady(TimePoint Now, Effects &Out);
  void checkStart(TimePoint Now, Effects &Out);

  bool applyDelta(const DocumentDelta &Delta);
  bool applyText(const PlatformDocument &Read);
  void store(ConfigDocument &Into, DocumentDelta Delta, std::string Text);
};

} // namespace balsamyard
