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
  Evacuations, ///< One object for each evacuated failure domain.
  Moves,       ///< Orders to move a service to another version.
  Nodes,       ///< One object for each node of the system.
  MoveCounts,  ///< What a node has counted of a move.
  Crashes,     ///< Requests during which targets crashed.
};

/// \returns the name of a kind in logs.
std::string_view name(ObjectKind Kind);

/// \brief What a target announces of itself.
struct TargetAnnouncement {
  TargetInfo Info; ///< Region and distance are filled in by the receiver.
  bool Leaving = false;
  Duration RemainingWarmup{};
};

/// \brief How the calls of a deployment's platform are written and read. An
/// adapter fills in every member; none of them decides anything.
struct PlatformAdapter {
  HeaderNames Headers;
  std::string ReadinessPath;

  std::function<std::string(ObjectKind, std::string_view After)> ListCall;
  /// May be answered with objects as they were seconds ago; costs less.
  std::function<std::string(ObjectKind, std::string_view After)> StaleListCall;
  std::function<std::string(ObjectKind, StoreRevision, Duration Wait)>
      WatchCall;
  std::function<std::string(ObjectKind, std::string_view Name,
                            const nlohmann::json &Content)>
      CreateCall;

  /// Creates nothing; the answer to an unknown name is a failure.
  std::function<std::string(ObjectKind, std::string_view Name,
                            const nlohmann::json &Content)>
      ReplaceCall;
  std::function<std::string(ObjectKind, std::string_view Name)> RemoveCall;

  /// Writes the report of a move if its order is still at \p Base.
  std::function<std::string(const ServiceName &, const MoveReport &,
                            StoreRevision Base)>
      MoveReportCall;

  std::function<FeedInput(const HttpResponse &)> ReadPage;
  std::function<FeedInput(const HttpResponse &)> ReadEvents;

  /// Objects that cannot be used are errors; the others stay valid.
  std::function<Expected<Ref<const Configuration>>(const StoredObject &)>
      ReadConfiguration;
  std::function<Expected<TargetAnnouncement>(const StoredObject &)> ReadTarget;
  std::function<Expected<MoveSeen>(const StoredObject &)> ReadMove;
};

} // namespace balsamyard
