#pragma once

#include "balsamyard/src/Core/Names.h"

#include <string_view>

namespace balsamyard {

/// \returns the XXH3 hash of service, route and canonical JSON body.
///
/// \p CanonicalBody has sorted keys and no white space, so that equivalent
/// spellings of a request have the same fingerprint.
Fingerprint fingerprintOf(const ServiceName &Service, const RouteName &Route,
                          std::string_view CanonicalBody);

/// \returns the XXH3 hash of those parts of an HTTP request that stay the same
/// when a caller repeats it.
Fingerprint fingerprintOf(std::string_view Method, std::string_view Host,
                          std::string_view Target, std::string_view Body);

} // namespace balsamyard
