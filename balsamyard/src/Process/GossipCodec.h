#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Process/Membership.h"

#include <string>
#include <string_view>

namespace balsamyard {

/// \returns the CBOR encoding of \p Message, at most MaxGossipBytes long.
/// Updates at the end are left out if they do not fit.
std::string encodeGossip(const GossipMessage &Message);

/// \returns the message, or MalformedMessage if the input is longer than
/// MaxGossipBytes, a field is missing, has the wrong type or range, an address
/// is not a numeric IP address, or bytes follow the message.
Expected<GossipMessage> decodeGossip(std::string_view Bytes);

} // namespace balsamyard
