#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"

#include <string_view>

namespace balsamyard::internal {

/// \brief Maximum length of the name of a node, service, route, version or
/// failure domain.
inline constexpr std::size_t MaxNameBytes = 128;

/// \returns whether \p Text is a name: letters, digits, '.', '_' and '-'.
bool isName(std::string_view Text);

/// \brief Parses "IP:PORT". An IPv6 address is written in brackets.
Expected<Endpoint> parseEndpoint(std::string_view Text);

} // namespace balsamyard::internal
