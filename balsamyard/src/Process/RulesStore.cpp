#include "balsamyard/src/Process/RulesStore.h"

#include "balsamyard/src/Version/RulesDelta.h"
#include "balsamyard/src/Version/internal/JsonObject.h"

#include <algorithm>

namespace balsamyard {

namespace {

const char *const HeadName = "shared/rules/head";

/// Attempts to get a clear answer from the platform.
constexpr int Attempts = 3;

struct Head {
  std::vector<std::string> Parts;
  std::string Digest;
};

Expected<Head> parseHead(std::string_view Text) {
  Expected<internal::Json> Document = internal::parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  internal::JsonFaults Faults;
  Head Result;
  {
    internal::JsonObject Top(*Document, "", Faults);
    for (const internal::Json &Part : Top.array("parts")) {
      if (!Part.is_string())
        Faults.report("parts", "expected texts");
      else
        Result.Parts.push_back(Part.get<std::string>());
    }
    Result.Digest = Top.text("digest");
  }
  if (!Faults.none())
    return Faults.error();
  return Result;
}

/// \brief Stores a part under its digest. It may be there already.
Expected<void> storePart(PlatformClient &Platform, const std::string &Part) {
  const std::string Name = "rules-part/" + digestOf(Part);
  Error Last{Code::PlatformUnavailable, Name};
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    Expected<std::uint64_t> Created = Platform.create(Name, Part);
    if (Created)
      return {};
    Last = Created.error();
    if (Last.Value == Code::PlatformConflict) {
      Expected<PlatformObject> There = Platform.get(Name);
      if (There && There->Value == Part)
        return {};
      if (There)
        return fail(Code::DigestMismatch,
                    Name + ": expected the part with this digest");
      Last = There.error();
    }
    if (Last.Value != Code::PlatformUnavailable)
      break;
  }
  return tl::unexpected<Error>(Last);
}

} // namespace

std::vector<std::string> splitRules(std::string_view Text) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    std::size_t Size = std::min(Text.size(), MaxRulesPartBytes);
    if (Size < Text.size()) {
      std::size_t LineEnd = Text.rfind('\n', Size - 1);
      if (LineEnd != std::string_view::npos)
        Size = LineEnd + 1;
    }
    Parts.emplace_back(Text.substr(0, Size));
    Text.remove_prefix(Size);
  }
  return Parts;
}

Expected<StoredRules> readRules(PlatformClient &Platform) {
  Expected<PlatformObject> Object = Platform.get(HeadName);
  if (!Object && Object.error().Value == Code::ObjectAbsent)
    return StoredRules{};
  if (!Object)
    return tl::unexpected<Error>(Object.error());
  Expected<Head> Found = parseHead(Object->Value);
  if (!Found)
    return tl::unexpected<Error>(Found.error());
  StoredRules Result;
  Result.Version = Object->Version;
  for (const std::string &Digest : Found->Parts) {
    Expected<PlatformObject> Part = Platform.get("rules-part/" + Digest);
    if (!Part)
      return tl::unexpected<Error>(Part.error());
    Result.Text += Part->Value;
  }
  if (digestOf(Result.Text) != Found->Digest)
    return fail(Code::DigestMismatch, "expected rules with digest " +
                                          Found->Digest + ", found " +
                                          digestOf(Result.Text));
  return Result;
}

ApplyResult applyRules(PlatformClient &Platform, const std::string &Text,
                       std::uint64_t Base) {
  ApplyResult Result;
  std::vector<std::string> Digests;
  for (const std::string &Part : splitRules(Text)) {
    if (Expected<void> Stored = storePart(Platform, Part); !Stored) {
      Result.Outcome = ApplyOutcome::Refused;
      Result.Fault = Stored.error();
      return Result;
    }
    Digests.push_back(digestOf(Part));
  }
  const std::string Value =
      internal::Json({{"parts", Digests}, {"digest", digestOf(Text)}}).dump();
  bool IsUnclear = false;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    Expected<std::uint64_t> Written =
        Base ? Platform.update(HeadName, Value, Base)
             : Platform.create(HeadName, Value);
    if (Written) {
      Result.Outcome = ApplyOutcome::Accepted;
      Result.Version = *Written;
      return Result;
    }
    Result.Fault = Written.error();
    if (Written.error().Value == Code::PlatformUnavailable) {
      IsUnclear = true;
      continue;
    }
    if (Written.error().Value != Code::PlatformConflict) {
      Result.Outcome =
          IsUnclear ? ApplyOutcome::Unknown : ApplyOutcome::Refused;
      return Result;
    }
    if (!IsUnclear) {
      Result.Outcome = ApplyOutcome::Conflict;
      return Result;
    }
    break;
  }
  // An answer was lost, so only the object can tell what happened.
  Result.ReadBack = true;
  Expected<PlatformObject> Object = Platform.get(HeadName);
  if (!Object)
    return Result;
  if (Object->Version != Base && Object->Value == Value) {
    Result.Outcome = ApplyOutcome::Accepted;
    Result.Version = Object->Version;
  }
  // Other rules may have replaced these after they were accepted, and an
  // unchanged object may still be changed by the lost update.
  return Result;
}

} // namespace balsamyard
