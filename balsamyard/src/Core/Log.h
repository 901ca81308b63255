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

/// \brief How log lines are written to the sink.
enum class LogDelivery {
  Immediate, ///< Written and flushed by the logging thread.
  Queued     ///< Written by a background thread; logging never blocks.
};

/// \brief Capacity of the queue of LogDelivery::Queued in lines: about 1 MB at
/// 300 bytes a line. Lines that do not fit are dropped and counted.
inline constexpr std::size_t LogQueueLines = 4096;

/// \brief Longer texts are cut: some come from callers, and thousands of lines
/// may wait to be written.
inline constexpr std::size_t MaxLoggedTextBytes = 1024;

/// \brief Opens the sink and sets the process fields of every line. An empty
/// \p File is standard error, "-" is standard output. Lines written before the
/// first call are discarded.
void openLog(std::string_view Process, const NodeName &Node,
             const DomainName &Domain, const std::string &File,
             LogDelivery Delivery = LogDelivery::Immediate);

/// \brief Writes the queued lines and closes the sink.
void closeLog();

/// \returns the number of lines that were dropped because the queue was full.
std::uint64_t droppedLogLines();

/// \brief Logs one JSON line. \p Event is a stable name in kebab case.
/// Durations are written in microseconds, codes as their number. Thread-safe.
/// All threads share the lock of the sink, so a request should log at most
/// once, when it ends.
///
/// \code
/// logEvent(LogLevel::Info, "config-applied", {{"config", std::int64_t(7)}});
/// \endcode
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields);

} // namespace balsamyard
