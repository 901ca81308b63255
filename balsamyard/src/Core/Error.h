#pragma once

#include "balsamyard/src/Core/Code.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace balsamyard {

/// \brief A result code with a human-readable description of the error.
struct Error {
  Code Value;
  std::string Detail;
};

/// \brief A result or an Error.
template <typename T> using Expected = tl::expected<T, Error>;

/// \returns an Error that converts to any Expected.
inline tl::unexpected<Error> fail(Code Value, std::string Detail) {
  return tl::unexpected<Error>(Error{Value, std::move(Detail)});
}

} // namespace balsamyard
