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
struct FeedHistoryGone {};

/// \brief The call had no usable answer.
struct FeedCallFailed {
  Error Why;
};

/// \brief The time of the last WakeFeed was reached.
struct FeedTimeReached {};

using FeedInput =
    std::variant<FeedStarted, FeedPage, FeedEvents, FeedHistoryGone,
                 FeedCallFailed, FeedTimeReached>;

/// \brief Read the objects whose names come after this one.
struct CallList {
  std::string After;
};

/// \brief Wait for changes after this revision.
struct CallWatch {
  StoreRevision Since{};
};

/// \brief Report FeedTimeReached after this time.
struct WakeFeed {
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
struct FeedLost {
  Error Why;
};

/// \brief The store answers again, and nothing was missed.
struct FeedRegained {};

using FeedOutput = std::variant<CallList, CallWatch, WakeFeed, FeedListed,
                                FeedChanged, FeedLost, FeedRegained>;
using FeedOutputs = std::vector<FeedOutput>;

/// \brief Follows all objects of one kind: lists them, then watches for
/// changes, and starts again where history or connection is lost.
class ObjectFeed {
public:
  /// First and longest pause after a failed call. Short enough that changes
  /// are in force in time after an outage, long enough that a refusing store
  /// gets few calls.
  static constexpr Duration MinPause = std::chrono::milliseconds(150);
  static constexpr Duration MaxPause = std::chrono::milliseconds(900);

  /// Longest pause between an event and the next watch; a store whose objects
  /// change all the time is asked this often.
  static constexpr Duration MaxEventPause = std::chrono::milliseconds(900);

  /// \p EventPause is the time from an event to the next watch. Changes that
  /// follow each other within it cost one call.
  explicit ObjectFeed(Duration EventPause = {}) : EventPause(EventPause) {}

  void handle(FeedInput Input, FeedOutputs &Outputs);

private:
  void on(const FeedStarted &Input, FeedOutputs &Outputs);
  void on(FeedPage &Input, FeedOutputs &Outputs);
  void on(FeedEvents &Input, FeedOutputs &Outputs);
  void on(const FeedHistoryGone &Input, FeedOutputs &Outputs);
  void on(FeedCallFailed &Input, FeedOutputs &Outputs);
  void on(const FeedTimeReached &Input, FeedOutputs &Outputs);

  void restart(FeedOutputs &Outputs);
  void succeeded(FeedOutputs &Outputs);

  std::vector<StoredObject> Listed;
  const Duration EventPause;
  Duration NextEventPause{};
  StoreRevision ListedAt{};
  StoreRevision Since{};
  bool Watching = false;
  bool Lost = false;
  Duration Pause = MinPause;
};

} // namespace balsamyard
