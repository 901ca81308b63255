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

/// \brief How lines reach the sink.
enum class LogDelivery {
  Immediate, ///< Written and flushed by the thread that logs.
  Queued     ///< Written by a thread of its own; never blocks.
};

/// \brief Lines that wait for a sink which does not keep up. At about 300
/// bytes each they hold 1 MB; further lines are dropped and counted.
inline constexpr std::size_t LogQueueLines = 4096;

/// \brief Names the process in every line and opens the sink. An empty \p File
/// is standard error, "-" is standard output. Lines written before the first
/// call are dropped.
void openLog(std::string_view Process, const NodeName &Node,
             const DomainName &Domain, const std::string &File,
             LogDelivery Delivery = LogDelivery::Immediate);

/// \brief Writes what is queued and closes the sink.
void closeLog();

/// \returns how many lines were dropped because the sink did not keep up.
std::uint64_t droppedLogLines();

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
