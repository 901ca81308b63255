#pragma once

#include "apps/balsamyard-entry/CallerAnswer.h"

#include <optional>
#include <string>

namespace balsamyard::entry {

enum class RequestKind { Search, Write };

/// \brief A caller's request before validation. Absent headers are empty
/// optionals.
struct RawRequest {
  RequestKind Kind = RequestKind::Search;
  std::string Service;
  std::string Route;
  std::optional<std::string> DeadlineMs;
  std::optional<std::string> RequestId;
  std::optional<std::string> Repeatable;
  std::optional<std::string> Coverage;
  bool RepeatedHeader = false; ///< One of the headers was sent twice.
  std::string Body;
  TimePoint Arrived{};
};

/// \brief A validated request of a caller.
struct CallerRequest {
  RequestKind Kind = RequestKind::Search;
  RequestId Id;
  ServiceName Service;
  RouteName Route;
  bool Repeatable = true;
  TimePoint Arrived{};
  TimePoint Deadline{};
  double Coverage = 1.0;
  Fingerprint Print{};
  std::string Body;   ///< Canonical JSON.
  std::string Record; ///< Set for writes: selects the leaf.
};

/// \brief Longest deadline of a search.
inline constexpr Duration MaxSearchDeadline = std::chrono::seconds(60);

/// \brief Longest deadline of a write, which is also its expiry. Gates rely on
/// it when they move to another owner.
inline constexpr Duration MaxWriteDeadline = std::chrono::seconds(10);

/// \brief Maximum nesting depth of a body. Serializing deeper ones would
/// overflow the stack.
inline constexpr int MaxBodyDepth = 64;

/// \returns the validated request, or the refusal to send. \p NewId is used if
/// a repeatable request has no id of its own.
tl::expected<CallerRequest, CallerAnswer>
validateRequest(RawRequest Raw, const RoutingView &View,
                const RequestId &NewId);

/// \returns a new UUIDv7.
RequestId makeRequestId(WallTime Now);

} // namespace balsamyard::entry
