#pragma once

#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Process/ObjectFeed.h"
#include "balsamyard/src/Version/Configuration.h"
#include "balsamyard/src/Version/ServiceMove.h"

#include <functional>
#include <string>
#include <string_view>

namespace balsamyard {

/// \brief Kinds of objects in the platform's store.
enum class ObjectKind : std::uint8_t {
  Configuration,
  Targets,
  Evacuations, ///< One object per evacuated failure domain.
  Moves,       ///< Orders to move a service to another version.
  Nodes,       ///< One object per node of the system.
  MoveCounts,  ///< Results of requests that one node counted during a move.
  Crashes,     ///< Requests during which targets crashed.
};

/// \returns the name of a kind in logs.
std::string_view name(ObjectKind Kind);

/// \brief The entry that a target publishes about itself.
struct TargetAnnouncement {
  TargetInfo Info; ///< The receiver fills in region and distance.
  bool Leaving = false;
  Duration RemainingWarmup{};
};

/// \brief Encodes and decodes the calls of a deployment's platform. An adapter
/// sets every member. The members only translate; they take no decisions.
struct PlatformAdapter {
  HeaderNames Headers;
  std::string ReadinessPath;

  std::function<std::string(ObjectKind, std::string_view After)> ListCall;
  /// Cheaper than ListCall, but the objects may be seconds old.
  std::function<std::string(ObjectKind, std::string_view After)> StaleListCall;
  std::function<std::string(ObjectKind, StoreRevision, Duration Wait)>
      WatchCall;
  std::function<std::string(ObjectKind, std::string_view Name,
                            const nlohmann::json &Content)>
      CreateCall;

  /// Fails if the object does not exist.
  std::function<std::string(ObjectKind, std::string_view Name,
                            const nlohmann::json &Content)>
      ReplaceCall;
  std::function<std::string(ObjectKind, std::string_view Name)> RemoveCall;

  /// Writes the report of a move if its order still has revision \p Base.
  std::function<std::string(const ServiceName &, const MoveReport &,
                            StoreRevision Base)>
      MoveReportCall;

  std::function<FeedInput(const HttpResponse &)> ReadPage;
  std::function<FeedInput(const HttpResponse &)> ReadEvents;

  /// An object that cannot be decoded is an error and does not affect others.
  std::function<Expected<Ref<const Configuration>>(const StoredObject &)>
      ReadConfiguration;
  std::function<Expected<TargetAnnouncement>(const StoredObject &)> ReadTarget;
  std::function<Expected<MoveOrderUpdated>(const StoredObject &)> ReadMove;
};

} // namespace balsamyard
