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

/// \brief Constants of the spread of configuration.
struct ConfigSyncTimes {
  Duration AnnouncePeriod = std::chrono::milliseconds(200);

  /// Age of a running fetch from which on a second peer is asked. A lost
  /// segment costs a TCP retransmission of 200 ms or more.
  Duration SecondFetch = std::chrono::milliseconds(250);

  /// A peer whose answer brought nothing new is not asked again so soon.
  Duration PeerPause = std::chrono::seconds(1);

  /// A starting process waits this long for peers, so that the platform is
  /// asked only for what they lack.
  Duration PeersFirst = std::chrono::milliseconds(500);

  /// A starting process that reaches fewer than StartAnswers peers waits this
  /// long for more of them.
  Duration StartWait = std::chrono::seconds(2);

  Duration RetryLeast = std::chrono::milliseconds(500); ///< After a failure.
  Duration RetryMost = std::chrono::seconds(5);
};

/// \brief Sizes of the spread of configuration.
struct ConfigSyncLimits {
  std::size_t AnnouncePeers = 3;
  unsigned AnnounceRounds = 3;
  std::size_t Watchers = 2;     ///< Nodes per failure domain.
  std::size_t StartAnswers = 3; ///< Peers asked while the platform is down.
  std::size_t PageBytes = std::size_t{512} * 1024;
  std::size_t HistoryEdits = 256; ///< Deltas kept per document.
  std::size_t HistoryBytes = std::size_t{64} * 1024;
};

/// \brief One shared document as this process has it.
struct ConfigDocument {
  ConfigVersion Version{};
  std::string Text;
  std::string Digest;
  std::deque<DocumentDelta> History; ///< Oldest first, without gaps.
  std::size_t HistoryBytes = 0;
};

/// \brief A document read from the platform.
struct PlatformDocument {
  std::string Name;
  ConfigVersion Version{};
  std::string Text;
};

/// \brief Time passed; due every 100 ms.
struct ConfigTick {};

/// \brief A process joined, left or changed.
struct ConfigPeerChanged {
  ProcessKey Who;
  Endpoint Peer;
  DomainName Domain;
  bool Present = true;
};

/// \brief A peer announced a configuration version.
struct PeerVersionAnnounced {
  ProcessKey Who;
  Endpoint Peer;
  ConfigVersion Version{};
};

struct FetchAnswered {
  ProcessKey Who;
  ConfigDelta Answer;
};

struct FetchFailed {
  ProcessKey Who;
};

/// \brief A read or a waiting call ended. Documents are those newer than the
/// own copies; Newest is the highest version of any listed document.
struct PlatformAnswered {
  std::uint64_t Counter = 0;
  ConfigVersion Newest{};
  std::vector<PlatformDocument> Documents;
};

struct PlatformFailed {};

using ConfigEvent =
    std::variant<ConfigTick, ConfigPeerChanged, PeerVersionAnnounced,
                 FetchAnswered, FetchFailed, PlatformAnswered, PlatformFailed>;

/// \brief Say the own version to so many random processes.
struct AnnounceVersion {
  ConfigVersion Version{};
  std::size_t Peers = 0;
};

struct FetchFromPeer {
  ProcessKey Who;
  Endpoint Peer;
  ConfigFetch Question;
};

/// \brief List the documents newer than After, with Wait by a waiting call,
/// and read those that are newer than the own copies.
struct ReadPlatform {
  std::uint64_t After = 0;
  bool Wait = false;
};

/// \brief The documents are in force.
struct DocumentsApplied {
  std::vector<std::string> Names;
};

/// \brief The configuration version rose.
struct VersionReached {
  ConfigVersion Version{};
};

/// \brief A document did not match its digest or the own copy.
struct DocumentRefused {
  std::string Name;
  ProcessKey From;
};

/// \brief The process has a configuration that it may serve with.
struct ConfigReady {};

using ConfigEffect =
    std::variant<AnnounceVersion, FetchFromPeer, ReadPlatform, DocumentsApplied,
                 VersionReached, DocumentRefused, ConfigReady>;

/// \brief Decides how the shared documents reach this process and its peers.
///
/// Pure: time and random draws are passed in, calls go out as effects.
class ConfigSync {
public:
  ConfigSync(ProcessKey Self, DomainName Domain, ConfigSyncTimes Times = {},
             ConfigSyncLimits Limits = {});

  /// \brief Applies one event. \p Draw is a fresh random number.
  std::vector<ConfigEffect> handle(const ConfigEvent &Event, TimePoint Now,
                                   std::uint64_t Draw);

  /// \returns what a peer that asks \p Question lacks; one page. Nothing while
  /// this process is not ready, because its copies may be old.
  ConfigDelta answer(const ConfigFetch &Question) const;

  const std::map<std::string, ConfigDocument> &documents() const {
    return this->Documents;
  }

  /// \returns the version up to which every document is known.
  ConfigVersion version() const { return this->Current; }

  bool ready() const { return this->Ready; }

  /// \returns whether this process is one of the watchers of its failure
  /// domain.
  bool isWatcher() const;

private:
  struct Peer {
    Endpoint Address;
    DomainName Domain;
    ConfigVersion Version{};        ///< Highest one announced.
    TimePoint NotBefore{};          ///< Not asked again earlier.
    std::vector<std::string> Whole; ///< Documents whose delta did not fit.
  };

  ProcessKey Self;
  DomainName Domain;
  ConfigSyncTimes Times;
  ConfigSyncLimits Limits;

  std::map<std::string, ConfigDocument> Documents;
  ConfigVersion Current{};
  ConfigVersion Highest{}; ///< Of any document held.
  bool Ready = false;
  TimePoint StartedAt{};

  std::map<ProcessKey, Peer> Peers;
  std::set<ProcessKey> SameDomain; ///< Peers of the own failure domain.
  std::set<ProcessKey> Behind;     ///< Peers that announced more than Current.
  std::map<ProcessKey, TimePoint> Fetches; ///< Running ones.
  std::set<ProcessKey> StartAsked;
  std::set<ProcessKey> StartAnswered; ///< With a configuration.
  bool OutsideAnswered = false; ///< One of them in another failure domain.

  unsigned RoundsLeft = 0;
  TimePoint NextRound{};

  bool PlatformBusy = false;
  unsigned PlatformFailures = 0; ///< In a row.
  std::uint64_t PlatformAfter = 0;
  TimePoint NextPlatform{};

  mutable std::optional<bool> Watching; ///< Unset after a change of peers.

  using Effects = std::vector<ConfigEffect>;

  void onTick(TimePoint Now, std::uint64_t Draw, Effects &Out);
  void onAnswer(const FetchAnswered &Event, TimePoint Now, Effects &Out);
  void onPlatform(const PlatformAnswered &Event, TimePoint Now, Effects &Out);
  void onPlatformFailed(TimePoint Now, std::uint64_t Draw);

  void fetch(TimePoint Now, std::uint64_t Draw, Effects &Out);
  bool enoughAnswers() const;
  bool askForStart(TimePoint Now, std::uint64_t Draw, Effects &Out);
  void ask(const ProcessKey &Who, TimePoint Now, Effects &Out);
  void announce(TimePoint Now, Effects &Out);
  void reach(ConfigVersion Version, TimePoint Now, Effects &Out);
  void becomeReady(TimePoint Now, Effects &Out);
  void checkStart(TimePoint Now, Effects &Out);

  bool applyDelta(const DocumentDelta &Delta);
  bool applyText(const PlatformDocument &Read);
  void store(ConfigDocument &Into, DocumentDelta Delta, std::string Text);
};

} // namespace balsamyard
