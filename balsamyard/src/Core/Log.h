#pragma once

#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace balsamyard {

/// \brief A named value of a log line.
struct LogField {
  std::string_view Key;
  std::variant<std::string, std::int64_t, double, bool, Code, Duration> Value;
};

enum class LogLevel { Info, Warning, Error };

/// \brief Names the process in every line and opens the sink. An empty \p File
/// is standard error. Lines written before the first call are dropped.
void openLog(std::string_view Process, const NodeName &Node,
             const DomainName &Domain, const std::string &File);

/// \brief Writes one JSON line and flushes it. \p Event is a stable kebab-case
/// name. Durations are written in microseconds, codes as their number.
/// Thread-safe; all threads share the lock of the sink, so a request logs at
/// most once, when it ends.
///
/// \code
/// logEvent(LogLevel::Info, "config-applied", {{"config", std::int64_t(7)}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace balsamyard
