#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Messages.h"

#include <string>
#include <string_view>

namespace balsamyard {

/// \returns the XXH128 hash of \p Text as 32 hexadecimal digits.
std::string digestOf(std::string_view Text);

/// \brief Compares two documents line by line.
///
/// \code
/// DocumentDelta Delta = makeDelta(Old, New);
/// assert(*applyDelta(Old, Delta) == New);
/// \endcode
/// \returns the edits and the digest of \p To. The caller sets the name and the
/// versions.
DocumentDelta makeDelta(std::string_view From, std::string_view To);

/// \returns the new text, or DigestMismatch if the edits do not fit \p From or
/// the result does not have the digest. If Delta.From is 0, the edits apply to
/// an empty text. \sa makeDelta
Expected<std::string> applyDelta(std::string_view From,
                                 const DocumentDelta &Delta);

} // namespace balsamyard
