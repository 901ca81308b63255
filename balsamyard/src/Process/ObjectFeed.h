#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief An object of the platform's store.
struct StoredObject {
  std::string Name;
  StoreRevision Revision{};
  nlohmann::json Content;
  nlohmann::json Status;
};

/// \brief A change of one object.
struct ObjectChange {
  StoredObject Object;
  bool Removed = false;
};

/// \brief Read the kind from the start.
struct FeedStarted {};

/// \brief A page of the list of all objects of the kind.
struct FeedPage {
  std::vector<StoredObject> Objects;
  bool HasMore = false;
  StoreRevision AsOf{};
};

/// \brief What changed since the revision that was watched.
struct FeedEvents {
  std::vector<ObjectChange> Changes;
  StoreRevision AsOf{};
};

/// \brief The store has dropped the history from that revision on.
struct FeedHistoryExpired {};

/// \brief The call had no usable answer.
struct FeedCallFailed {
  Error Why;
};

/// \brief The time of the last StartFeedTimer was reached.
struct FeedTimerExpired {};

using FeedInput =
    std::variant<FeedStarted, FeedPage, FeedEvents, FeedHistoryExpired,
                 FeedCallFailed, FeedTimerExpired>;

/// \brief Read the objects whose names come after this one.
struct ListObjects {
  std::string After;
};

/// \brief Wait for changes after this revision.
struct WatchObjects {
  StoreRevision Since{};
};

/// \brief Report FeedTimerExpired after this time.
struct StartFeedTimer {
  Duration After{};
};

/// \brief The whole list was read.
struct FeedListed {
  std::vector<StoredObject> Objects;
};

/// \brief Objects changed, in this order.
struct FeedChanged {
  std::vector<ObjectChange> Changes;
};

/// \brief The store does not answer; what was read may be out of date.
struct FeedDisconnected {
  Error Why;
};

/// \brief The store answers again, and nothing was missed.
struct FeedReconnected {};

using FeedOutput =
    std::variant<ListObjects, WatchObjects, StartFeedTimer, FeedListed,
                 FeedChanged, FeedDisconnected, FeedReconnected>;
using FeedOutputs = std::vector<FeedOutput>;

/// \brief Follows all objects of one kind: lists them, then watches for
/// changes, and starts again where history or connection is lost.
class ObjectFeed {
public:
  /// First and longest pause after a failed call. Short enough that changes
  /// are in force in time after an outage, long enough that a refusing store
  /// gets few calls.
  static constexpr Duration MinBackoff = std::chrono::milliseconds(150);
  static constexpr Duration MaxBackoff = std::chrono::milliseconds(900);

  /// Longest pause between an event and the next watch; a store whose objects
  /// change all the time is asked this often.
  static constexpr Duration MaxWatchDelay = std::chrono::milliseconds(900);

  /// \p WatchDelay is the time from an event to the next watch. Changes that
  /// follow each other within it cost one call.
  explicit ObjectFeed(Duration WatchDelay = {}) : WatchDelay(WatchDelay) {}

  void handle(FeedInput Input, FeedOutputs &Outputs);

private:
  void on(const FeedStarted &Input, FeedOutputs &Outputs);
  void on(FeedPage &Input, FeedOutputs &Outputs);
  void on(FeedEvents &Input, FeedOutputs &Outputs);
  void on(const FeedHistoryExpired &Input, FeedOutputs &Outputs);
  void on(FeedCallFailed &Input, FeedOutputs &Outputs);
  void on(const FeedTimerExpired &Input, FeedOutputs &Outputs);

  void restart(FeedOutputs &Outputs);
  void onCallSucceeded(FeedOutputs &Outputs);

  std::vector<StoredObject> Listed;
  const Duration WatchDelay;
  Duration NextWatchDelay{};
  StoreRevision ListedAt{};
  StoreRevision Since{};
  bool Watching = false;
  bool Disconnected = false;
  Duration Backoff = MinBackoff;
};

} // namespace balsamyard
