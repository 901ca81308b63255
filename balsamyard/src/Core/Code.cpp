#include "balsamyard/src/Core/Code.h"

#include <algorithm>

namespace balsamyard {

const std::array<CodeInfo, 50> CodeTable = {{
    {Code::Ok, "ok", "the request was answered in full"},
    {Code::Partial, "partial", "the answer covers only part of the shards"},
    {Code::Replayed, "replayed",
     "the stored answer of an earlier copy of this request"},
    {Code::MalformedJson, "malformed-json", "the body is not valid JSON"},
    {Code::UnknownService, "unknown-service", "no such service in the catalog"},
    {Code::BodyTooLarge, "body-too-large", "the body exceeds the size limit"},
    {Code::BadHeader, "bad-header", "a header has an invalid value"},
    {Code::DeadlineExpired, "deadline-expired",
     "the deadline had passed on arrival"},
    {Code::UnknownRoute, "unknown-route", "the service has no such route"},
    {Code::BadRequestId, "bad-request-id",
     "the request id is missing or invalid"},
    {Code::UnknownPath, "unknown-path", "no such path"},
    {Code::Overloaded, "overloaded", "refused to protect running requests"},
    {Code::Stopping, "stopping", "the process is shutting down"},
    {Code::Quarantined, "quarantined",
     "the request crashed several targets and is quarantined"},
    {Code::NotReady, "not-ready", "the process has no configuration yet"},
    {Code::GateUnreachable, "gate-unreachable",
     "the write gate of this request id cannot be reached"},
    {Code::RequestIdTooOld, "request-id-too-old",
     "the request id was issued before the write gate has a record"},
    {Code::AlreadyRefused, "already-refused",
     "an earlier copy of this request was refused"},
    {Code::StillRunning, "still-running",
     "an earlier copy of this request is still running"},
    {Code::NotOwner, "not-owner",
     "the addressed process does not own the lane or gate"},
    {Code::OutcomeUnknown, "outcome-unknown", "the request may have run"},
    {Code::DeadlineExceeded, "deadline-exceeded",
     "no answer before the deadline"},
    {Code::TargetFailed, "target-failed",
     "the target failed or closed the connection"},
    {Code::TargetShed, "target-shed",
     "the target refused the request before running it"},
    {Code::SnapshotAbsent, "snapshot-absent",
     "the target does not have the pinned snapshot"},
    {Code::ColdLimited, "cold-limited",
     "the target is in cold start and its share is in use"},
    {Code::NoUsableSlot, "no-usable-slot", "no slot can take the request"},
    {Code::Cancelled, "cancelled", "the request was cancelled"},
    {Code::NoCoverage, "no-coverage", "no shard answered"},
    {Code::TargetMalformed, "target-malformed",
     "the answer of the target cannot be decoded"},
    {Code::TargetLeaving, "target-leaving",
     "the target is leaving and takes no new work"},
    {Code::PeerUnreachable, "peer-unreachable",
     "another balsamyard process cannot be reached"},
    {Code::MalformedMessage, "malformed-message",
     "a message between processes cannot be decoded"},
    {Code::PlatformUnavailable, "platform-unavailable",
     "the platform does not answer"},
    {Code::PlatformConflict, "platform-conflict",
     "the object was changed by somebody else"},
    {Code::PlatformMalformed, "platform-malformed",
     "the answer of the platform cannot be decoded"},
    {Code::DigestMismatch, "digest-mismatch",
     "the received configuration does not match its digest"},
    {Code::ObjectAbsent, "object-absent", "the platform holds no such object"},
    {Code::SettingsUnreadable, "settings-unreadable",
     "the settings file cannot be read"},
    {Code::SettingsSyntax, "settings-syntax",
     "the settings file is not valid TOML"},
    {Code::SettingsUnknownKey, "settings-unknown-key",
     "the settings file has an unknown key"},
    {Code::SettingsMissingKey, "settings-missing-key",
     "a required key is missing"},
    {Code::SettingsBadValue, "settings-bad-value",
     "a value has the wrong type, unit or range"},
    {Code::RuleSyntax, "rule-syntax", "the line is not a rule"},
    {Code::RuleUnknownKind, "rule-unknown-kind", "unknown kind of rule"},
    {Code::RuleUnknownKey, "rule-unknown-key", "unknown key in a rule"},
    {Code::RuleMissingKey, "rule-missing-key",
     "a required key is missing in a rule"},
    {Code::RuleBadValue, "rule-bad-value",
     "a value has the wrong type, unit or range"},
    {Code::RuleMissingComment, "rule-missing-comment",
     "the comment that says who asked for the rule is missing"},
    {Code::RuleConflict, "rule-conflict", "two rules contradict each other"},
}};

const CodeInfo *find(Code Value) {
  const auto *Found = std::lower_bound(
      CodeTable.begin(), CodeTable.end(), Value,
      [](const CodeInfo &Info, Code Wanted) { return Info.Value < Wanted; });
  if (Found == CodeTable.end() || Found->Value != Value)
    return nullptr;
  return Found;
}

std::string_view name(Code Value) {
  const CodeInfo *Info = find(Value);
  return Info ? Info->Name : "unknown-code";
}

} // namespace balsamyard
