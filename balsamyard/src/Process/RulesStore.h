#pragma once

#include "balsamyard/src/Process/PlatformClient.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamyard {

/// \brief Largest part of the rules text in one platform object.
inline constexpr std::size_t MaxRulesPartBytes = 900 * 1024;

/// \brief The accepted rules. Version 0: none were ever accepted.
struct StoredRules {
  std::string Text;
  std::uint64_t Version = 0; ///< Of `shared/rules/head`.
};

/// \brief What became of an attempt to change the rules.
enum class ApplyOutcome : std::uint8_t {
  Accepted,
  Conflict, ///< Not accepted: the rules are no longer those of the base.
  Refused,  ///< Not accepted for another reason.
  Unknown,  ///< The platform gave no clear answer; it may be accepted.
};

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  std::uint64_t Version = 0; ///< If accepted.
  bool ReadBack = false;     ///< Found by reading, as an answer was lost.
  Error Fault{Code::Ok, ""};
};

/// \returns \p Text cut into parts, at ends of lines where possible.
std::vector<std::string> splitRules(std::string_view Text);

/// \returns the accepted rules.
Expected<StoredRules> readRules(PlatformClient &Platform);

/// \brief Accepts \p Text if the rules are still those of version \p Base.
///
/// The parts are written first, the head last, so that no reader ever finds a
/// head without its parts. An update of the head without an answer is sent
/// again: it takes effect once at most, since it names the base.
ApplyResult applyRules(PlatformClient &Platform, const std::string &Text,
                       std::uint64_t Base);

} // namespace balsamyard
