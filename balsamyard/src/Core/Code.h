#pragma once

#include <array>
#include <string_view>

namespace balsamyard {

/// \brief Numbered result codes, documented in docs/codes.md. A test checks
/// that both list the same codes.
///
/// 1xxx success, 2xxx caller input, 3xxx refusals, 4xxx failures after a
/// request was sent, 5xxx peers and platform, 6xxx settings, 7xxx rules.
enum class Code : int {
  Ok = 1000,
  Partial = 1001,
  Replayed = 1002,

  MalformedJson = 2001,
  UnknownService = 2002,
  BodyTooLarge = 2003,
  BadHeader = 2004,
  DeadlineExpired = 2005,
  UnknownRoute = 2006,
  BadRequestId = 2007,
  UnknownPath = 2008,

  Overloaded = 3001,
  Stopping = 3002,
  Quarantined = 3003,
  NotReady = 3004,
  GateUnreachable = 3005,
  RequestIdTooOld = 3006,
  AlreadyRefused = 3007,
  StillRunning = 3008,
  NotOwner = 3009,

  OutcomeUnknown = 4001,
  DeadlineExceeded = 4002,
  TargetFailed = 4003,
  TargetShed = 4004,
  SnapshotAbsent = 4005,
  ColdLimited = 4006,
  NoUsableSlot = 4007,
  Cancelled = 4008,
  NoCoverage = 4009,
  TargetMalformed = 4010,
  TargetLeaving = 4011,

  PeerUnreachable = 5001,
  MalformedMessage = 5002,
  PlatformUnavailable = 5003,
  PlatformConflict = 5004,
  PlatformMalformed = 5005,
  DigestMismatch = 5006,
  ObjectAbsent = 5007,

  SettingsUnreadable = 6001,
  SettingsSyntax = 6002,
  SettingsUnknownKey = 6003,
  SettingsMissingKey = 6004,
  SettingsBadValue = 6005,

  RuleSyntax = 7001,
  RuleUnknownKind = 7002,
  RuleUnknownKey = 7003,
  RuleMissingKey = 7004,
  RuleBadValue = 7005,
  RuleMissingComment = 7006,
  RuleConflict = 7007,
};

/// \brief Name and meaning of one result code.
struct CodeInfo {
  Code Value;
  std::string_view Name;
  std::string_view Meaning;
};

/// \brief The table of all result codes, in ascending order.
extern const std::array<CodeInfo, 50> CodeTable;

/// \returns the table entry of \p Value, or nullptr if there is none.
const CodeInfo *find(Code Value);

/// \returns the name of \p Value, or "unknown-code".
std::string_view name(Code Value);

/// \returns whether \p Value reports a complete or partial success.
constexpr bool isSuccess(Code Value) { return static_cast<int>(Value) < 2000; }

} // namespace balsamyard
