#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamyard {

/// \brief Timestamp of a log line, by the system clock.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// \brief An event read from a log file.
struct TimelineEvent {
  LogTime Time{};
  std::string Name;
  std::map<std::string, std::string> Fields; ///< All members except the name.
  std::string Line;                          ///< The line as read.

  /// \returns the field, or an empty text.
  const std::string &field(const std::string &Key) const;
};

/// \brief A line that could not be read. Line counts from 1; 0 means the whole
/// file.
struct TimelineFault {
  std::string File;
  std::uint32_t Line = 0;
  std::string Detail;
};

/// \brief Selects events; every criterion that is set must match.
struct TimelineFilter {
  /// Also matches events without a request id that belong to a query of the
  /// request.
  std::optional<std::string> Request{};
  /// `SERVICE/LEAF/SLOT` or a prefix of it that ends before a slash.
  std::optional<std::string> Target{};
  std::optional<std::string> Version{};
  std::optional<std::string> Domain{};
  /// Matches the field `service` and the service in the field `target`.
  std::optional<std::string> Service{};
  std::optional<std::string> Event{};
};

/// \brief Merges the logs of many processes into one list of events.
///
/// \code
/// Timeline Merged;
/// for (const std::string &File : Files)
///   Merged.readFile(File);
/// for (const TimelineEvent *Event : Merged.select({.Request = "0190-a"}))
///   std::cout << Event->Line << '\n';
/// \endcode
class Timeline {
public:
  /// \brief Reads JSON lines. \p File is the file name in faults.
  void read(const std::string &File, std::istream &Lines);

  /// \brief Reads the file \p File.
  void readFile(const std::string &File);

  /// \returns the matching events sorted by time. Events with equal times keep
  /// the order in which they were read.
  std::vector<const TimelineEvent *> select(const TimelineFilter &Filter) const;

  /// \returns the events by which the end of a request is explained: those that
  /// the same node logged about the targets named in the field `decisions` of
  /// \p RequestEnded, at most \p Period before it, sorted by time.
  std::vector<const TimelineEvent *>
  precedingEvents(const TimelineEvent &RequestEnded,
                  std::chrono::microseconds Period) const;

  /// \returns the lines that could not be read.
  const std::vector<TimelineFault> &faults() const;

private:
  std::vector<TimelineEvent> Events;
  std::vector<TimelineFault> Faults;
};

/// \returns the time of an RFC 3339 text such as `2026-12-04T08:30:00.25Z`, or
/// nothing.
std::optional<LogTime> parseLogTime(const std::string &Text);

/// \returns the events as a text table with one line per event.
std::string toTable(const std::vector<const TimelineEvent *> &Events);

} // namespace balsamyard
