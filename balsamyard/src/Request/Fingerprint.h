#pragma once

#include "balsamyard/src/Core/Names.h"

#include <string_view>

namespace balsamyard {

/// \returns the xxHash3 of service, route and canonical JSON body.
///
/// The caller passes the body with sorted keys and without white space, so that
/// two spellings of one request have the same fingerprint.
Fingerprint fingerprintOf(const ServiceName &Service, const RouteName &Route,
                          std::string_view CanonicalBody);

/// \returns the xxHash3 of what a caller sends again when it repeats a request.
Fingerprint fingerprintOf(std::string_view Method, std::string_view Host,
                          std::string_view Target, std::string_view Body);

} // namespace balsamyard
