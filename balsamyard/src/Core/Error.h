#pragma once

#include "balsamyard/src/Core/Code.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace balsamyard {

/// \brief A numbered error with a sentence for people.
struct Error {
  Code Value;
  std::string Detail;
};

/// \brief A result or a numbered error.
template <typename T> using Expected = tl::expected<T, Error>;

/// \returns an unexpected value that converts to any Expected.
inline tl::unexpected<Error> fail(Code Value, std::string Detail) {
  return tl::unexpected<Error>(Error{Value, std::move(Detail)});
}

} // namespace balsamyard
