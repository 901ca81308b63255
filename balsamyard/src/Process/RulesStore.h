#pragma once

#include "balsamyard/src/Process/PlatformClient.h"

#include <cstdint>
#include <string>
#include <variant>

namespace balsamyard {

/// \brief Maximum size of the part of the rules text in one platform object.
/// The platform accepts values up to 1 MB.
inline constexpr std::size_t MaxRulesPartBytes = 900000;

/// \brief The rules text in force and the version of its head object. Version 0
/// means that no rules have been applied yet.
struct StoredRules {
  std::uint64_t Version = 0;
  std::string Text;
};

/// \brief The head was updated, so the rules are in force.
struct RulesAccepted {
  std::uint64_t Version = 0;
};

/// \brief The head has another version than expected; nothing was changed.
struct RulesConflict {
  StoredRules Current;
};

/// \brief The update may or may not have taken effect.
struct RulesUnconfirmed {
  std::string Detail;
};

using ApplyResult =
    std::variant<RulesAccepted, RulesConflict, RulesUnconfirmed>;

/// \brief Reads and replaces the rules text at the platform.
///
/// Parts are stored under their digest before the head refers to them, so a
/// reader of any head finds all its parts. The rules take effect with the
/// conditional update of the head.
class RulesStore {
public:
  explicit RulesStore(PlatformClient &Platform) : Platform(Platform) {}

  /// \returns the rules text whose parts the head object value \p Head lists.
  Expected<std::string> assemble(const std::string &Head);

  /// \returns the rules in force.
  Expected<StoredRules> read();

  /// \brief Replaces the rules if their version is still \p Base.
  ///
  /// An update without an answer is sent again, then the head is read back: if
  /// it holds this text, the update was accepted, whoever wrote it. If it holds
  /// another one, this text may have been in force before, so the result is
  /// RulesUnconfirmed.
  Expected<ApplyResult> apply(const std::string &Text, std::uint64_t Base);

private:
  Expected<std::string> storeParts(const std::string &Text);
  Expected<ApplyResult> readBack(const std::string &Text, std::uint64_t Base,
                                 const Error &Fault);

  PlatformClient &Platform;
};

} // namespace balsamyard
