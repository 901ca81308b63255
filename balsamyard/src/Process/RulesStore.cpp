#include "balsamyard/src/Process/RulesStore.h"
#include "balsamyard/src/Version/RulesDelta.h"

#include <nlohmann/json.hpp>

namespace balsamyard {

namespace {

const std::string HeadName = "shared/rules/head";
const std::string PartPrefix = "rules-part/";

/// Attempts to update the head until the platform answers. The update is
/// conditional on its base version, so it takes effect at most once.
constexpr int MaxAttempts = 3;

} // namespace

Expected<std::string> RulesStore::assemble(const std::string &Head) {
  const nlohmann::json Value = nlohmann::json::parse(Head, nullptr, false);
  if (!Value.is_object() || !Value.contains("parts") ||
      !Value["parts"].is_array() || !Value.contains("digest") ||
      !Value["digest"].is_string())
    return fail(Code::PlatformMalformed,
                "rules head: expected an object with 'parts' and 'digest'");
  std::string Text;
  for (const nlohmann::json &Part : Value["parts"]) {
    if (!Part.is_string())
      return fail(Code::PlatformMalformed, "rules head: expected digests");
    Expected<PlatformObject> Object =
        this->Platform.get(PartPrefix + Part.get<std::string>());
    if (!Object)
      return tl::unexpected(Object.error());
    Text += Object->Value;
  }
  if (digestOf(Text) != Value["digest"].get<std::string>())
    return fail(Code::DigestMismatch, "rules: parts do not match the head");
  return Text;
}

Expected<StoredRules> RulesStore::read() {
  Expected<PlatformObject> Head = this->Platform.get(HeadName);
  if (!Head && Head.error().Value == Code::ObjectAbsent)
    return StoredRules{};
  if (!Head)
    return tl::unexpected(Head.error());
  Expected<std::string> Text = this->assemble(Head->Value);
  if (!Text)
    return tl::unexpected(Text.error());
  return StoredRules{Head->Version, std::move(*Text)};
}

Expected<std::string> RulesStore::storeParts(const std::string &Text) {
  nlohmann::json Parts = nlohmann::json::array();
  for (std::size_t Offset = 0; Offset < Text.size();
       Offset += MaxRulesPartBytes) {
    const std::string Part = Text.substr(Offset, MaxRulesPartBytes);
    const std::string Digest = digestOf(Part);
    Expected<std::uint64_t> Stored =
        this->Platform.create(PartPrefix + Digest, Part);
    // Parts are addressed by content: an existing one has the same text.
    if (!Stored && Stored.error().Value != Code::PlatformConflict)
      return tl::unexpected(Stored.error());
    Parts.push_back(Digest);
  }
  return nlohmann::json{{"parts", Parts}, {"digest", digestOf(Text)}}.dump(1);
}

Expected<ApplyResult> RulesStore::apply(const std::string &Text,
                                        std::uint64_t Base) {
  Expected<std::string> Head = this->storeParts(Text);
  if (!Head)
    return tl::unexpected(Head.error());
  Error FirstFailure{Code::Ok, ""};
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    Expected<std::uint64_t> Version =
        Base == 0 ? this->Platform.create(HeadName, *Head)
                  : this->Platform.update(HeadName, *Head, Base);
    if (Version)
      return RulesAccepted{*Version};
    if (Version.error().Value == Code::PlatformConflict &&
        FirstFailure.Value == Code::Ok) {
      Expected<StoredRules> Now = this->read();
      if (!Now)
        return tl::unexpected(Now.error());
      return RulesConflict{std::move(*Now)};
    }
    // After a lost answer, the conflict may be with this call's own update.
    if (FirstFailure.Value == Code::Ok)
      FirstFailure = Version.error();
    if (Version.error().Value == Code::PlatformConflict)
      break;
  }
  return this->readBack(Text, Base, FirstFailure);
}

Expected<ApplyResult> RulesStore::readBack(const std::string &Text,
                                           std::uint64_t Base,
                                           const Error &Fault) {
  Expected<StoredRules> Now = this->read();
  if (!Now)
    return RulesUnconfirmed{Fault.Detail +
                            "; reading back: " + Now.error().Detail};
  if (Now->Version > Base && Now->Text == Text)
    return RulesAccepted{Now->Version};
  // The lost update may still arrive at the platform, or it may have taken
  // effect and been replaced by another operator's.
  return RulesUnconfirmed{Fault.Detail + "; version " +
                          std::to_string(Now->Version) +
                          " with other rules is in force"};
}

} // namespace balsamyard
