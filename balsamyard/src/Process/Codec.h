#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Messages.h"

#include <string>
#include <string_view>

namespace balsamyard {

/// \returns the CBOR encoding of a message of Core/Messages.h.
template <typename Message> std::string encode(const Message &Value);

/// \returns the message, or MalformedMessage if a field is missing, has the
/// wrong type or range, or bytes follow the message.
template <typename Message> Expected<Message> decode(std::string_view Bytes);

} // namespace balsamyard
