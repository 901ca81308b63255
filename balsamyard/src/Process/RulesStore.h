#pragma once

#include "balsamyard/src/Process/PlatformClient.h"

#include <cstdint>
#include <string>
#include <variant>

namespace balsamyard {

/// \brief Longest part of the rules text in one platform object, in bytes. The
/// platform holds values up to 1 MB.
inline constexpr std::size_t MaxRulesPartBytes = 900000;

/// \brief The rules text in force and the version of its head object. Version 0
/// says that there is none yet.
struct StoredRules {
  std::uint64_t Version = 0;
  std::string Text;
};

/// \brief The update of the head took effect.
struct RulesAccepted {
  std::uint64_t Version = 0;
};

/// \brief Another operator's rules are in force; nothing was changed.
struct RulesConflict {
  StoredRules Current;
};

/// \brief The platform did not say whether the update took effect.
struct RulesUnconfirmed {
  std::string Detail;
};

using ApplyResult =
    std::variant<RulesAccepted, RulesConflict, RulesUnconfirmed>;

/// \brief Reads and replaces the rules text at the platform.
///
/// Parts are stored under their digest before the head names them, so a reader
/// of any head finds all its parts. The conditional update of the head is the
/// moment of acceptance.
class RulesStore {
public:
  explicit RulesStore(PlatformClient &Platform) : Platform(Platform) {}

  /// \returns the text whose head object has the value \p Head.
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
