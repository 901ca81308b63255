#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamyard {

/// \brief A point on the system clock as log lines state it.
using LogTime = std::chrono::sys_time<std::chrono::microseconds>;

/// \brief One event of a log file.
struct TimelineEvent {
  LogTime Time{};
  std::string Name;
  std::map<std::string, std::string> Fields; ///< All members but the name.
  std::string Line;                          ///< As it was read.

  /// \returns the field, or an empty text.
  const std::string &field(const std::string &Key) const;
};

/// \brief A line that is not an event. Line counts from 1; 0 is the whole file.
struct TimelineFault {
  std::string File;
  std::uint32_t Line = 0;
  std::string Detail;
};

/// \brief Selects events; every criterion that is set must match.
struct TimelineFilter {
  /// Also matches events of the query that ran for the request.
  std::optional<std::string> Request{};
  /// `SERVICE/LEAF/SLOT`, or the beginning of one up to a slash.
  std::optional<std::string> Target{};
  std::optional<std::string> Version{};
  std::optional<std::string> Domain{};
  /// Matches the field `service` and the service of a target.
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
  /// \brief Reads JSON lines; \p File names them in faults.
  void read(const std::string &File, std::istream &Lines);

  /// \brief Reads the file \p File.
  void readFile(const std::string &File);

  /// \returns the matching events ordered by time. Events of the same time keep
  /// the order of reading.
  std::vector<const TimelineEvent *> select(const TimelineFilter &Filter) const;

  /// \returns what the node of \p Ended logged of the targets that its
  /// `decisions` name, in the time \p Before it, ordered by time.
  std::vector<const TimelineEvent *>
  precedingEvents(const TimelineEvent &Ended,
                  std::chrono::microseconds Before) const;

  /// \returns the lines that could not be read.
  const std::vector<TimelineFault> &faults() const;

private:
  std::vector<TimelineEvent> Events;
  std::vector<TimelineFault> Faults;
};

/// \returns the time of an RFC 3339 text such as `2026-12-04T08:30:00.25Z`, or
/// nothing.
std::optional<LogTime> parseLogTime(const std::string &Text);

/// \returns the events as a table with one line for each.
std::string toTable(const std::vector<const TimelineEvent *> &Events);

} // namespace balsamyard
