#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace balsamyard {

/// \brief Maximum nesting depth of a CBOR document. The decoder recurses, so a
/// deeper one could overflow the stack.
inline constexpr std::size_t MaxCborDepth = 40;

/// \returns the document in \p Bytes, or nothing if they are not valid CBOR,
/// nest too deeply or state a length that exceeds them. Never throws.
std::optional<nlohmann::json> parseCbor(std::string_view Bytes);

/// \returns \p Document as CBOR.
std::string toCbor(const nlohmann::json &Document);

} // namespace balsamyard
