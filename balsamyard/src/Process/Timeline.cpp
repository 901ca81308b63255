#include "balsamyard/src/Process/Timeline.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string_view>
#include <variant>

namespace balsamyard {

namespace {

using nlohmann::json;

/// Columns of toTable() between the time and the remaining fields.
constexpr std::array<std::string_view, 4> Columns = {"level", "node", "process",
                                                     "event"};

/// Reads exactly \p Digits digits from the front of \p Text.
std::optional<int> takeDigits(std::string_view &Text, std::size_t Digits) {
  if (Text.size() < Digits)
    return std::nullopt;
  int Value = 0;
  for (char Digit : Text.substr(0, Digits)) {
    if (Digit < '0' || Digit > '9')
      return std::nullopt;
    Value = Value * 10 + (Digit - '0');
  }
  Text.remove_prefix(Digits);
  return Value;
}

bool takeChar(std::string_view &Text, char Wanted) {
  if (Text.empty() || Text.front() != Wanted)
    return false;
  Text.remove_prefix(1);
  return true;
}

/// Reads an optional decimal fraction in microseconds. Further digits are
/// truncated.
std::optional<int> takeFraction(std::string_view &Text) {
  if (!takeChar(Text, '.'))
    return 0;
  int Micros = 0;
  std::size_t Digits = 0;
  while (std::optional<int> Digit = takeDigits(Text, 1)) {
    if (Digits < 6)
      Micros = Micros * 10 + *Digit;
    ++Digits;
  }
  if (Digits == 0)
    return std::nullopt;
  for (; Digits < 6; ++Digits)
    Micros *= 10;
  return Micros;
}

/// Reads `Z`, `+HH:MM` or `-HH:MM`.
std::optional<std::chrono::minutes> takeOffset(std::string_view &Text) {
  if (takeChar(Text, 'Z'))
    return std::chrono::minutes(0);
  bool East = takeChar(Text, '+');
  if (!East && !takeChar(Text, '-'))
    return std::nullopt;
  std::optional<int> Hours = takeDigits(Text, 2);
  if (!Hours || !takeChar(Text, ':'))
    return std::nullopt;
  std::optional<int> Minutes = takeDigits(Text, 2);
  if (!Minutes || *Hours > 23 || *Minutes > 59)
    return std::nullopt;
  std::chrono::minutes Offset(*Hours * 60 + *Minutes);
  return East ? Offset : -Offset;
}

std::string valueText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

/// \returns the event, or the reason why the line is invalid.
std::variant<TimelineEvent, std::string> parseLine(const std::string &Line) {
  json Object = json::parse(Line, nullptr, false);
  if (Object.is_discarded())
    return "not valid JSON";
  if (!Object.is_object())
    return "not a JSON object";
  for (const char *Key : {"time", "event"})
    if (!Object.contains(Key) || !Object[Key].is_string())
      return std::string("member \"") + Key + "\" is missing or not text";
  TimelineEvent Event;
  std::optional<LogTime> Time =
      parseLogTime(Object["time"].get_ref<const std::string &>());
  if (!Time)
    return "member \"time\" is not an RFC 3339 time";
  Event.Time = *Time;
  Event.Name = Object["event"];
  for (const auto &[Key, Value] : Object.items())
    if (Key != "event")
      Event.Fields.emplace(Key, valueText(Value));
  Event.Line = Line;
  return Event;
}

/// \returns whether the path \p Text equals \p Prefix or lies below it.
bool matchesPath(const std::string &Text, const std::string &Prefix) {
  return Text == Prefix ||
         (Text.size() > Prefix.size() && Text.starts_with(Prefix) &&
          Text[Prefix.size()] == '/');
}

/// A filter together with the queries that ran for its request.
struct Matcher {
  const TimelineFilter &Filter;
  std::set<std::string> Queries;

  bool operator()(const TimelineEvent &Event) const {
    auto Equals = [](const std::optional<std::string> &Wanted,
                     const std::string &Value) {
      return !Wanted || *Wanted == Value;
    };
    bool OfRequest = Equals(this->Filter.Request, Event.field("request")) ||
                     (Event.field("request").empty() &&
                      this->Queries.contains(Event.field("query")));
    bool OfTarget = !this->Filter.Target ||
                    matchesPath(Event.field("target"), *this->Filter.Target);
    bool OfService =
        Equals(this->Filter.Service, Event.field("service")) ||
        matchesPath(Event.field("target"), this->Filter.Service.value_or(""));
    return OfRequest && OfTarget && OfService &&
           Equals(this->Filter.Version, Event.field("version")) &&
           Equals(this->Filter.Domain, Event.field("domain")) &&
           Equals(this->Filter.Event, Event.Name);
  }
};

const std::string &columnText(const TimelineEvent &Event,
                              std::string_view Column) {
  return Column == "event" ? Event.Name : Event.field(std::string(Column));
}

} // namespace

const std::string &TimelineEvent::field(const std::string &Key) const {
  static const std::string Empty;
  auto Found = this->Fields.find(Key);
  return Found == this->Fields.end() ? Empty : Found->second;
}

void Timeline::read(const std::string &File, std::istream &Lines) {
  std::uint32_t Number = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    ++Number;
    if (Line.empty())
      continue;
    std::variant<TimelineEvent, std::string> Parsed = parseLine(Line);
    if (auto *Event = std::get_if<TimelineEvent>(&Parsed))
      this->Events.push_back(std::move(*Event));
    else
      this->Faults.push_back({File, Number, std::get<std::string>(Parsed)});
  }
  if (Lines.bad())
    this->Faults.push_back({File, 0, "reading failed"});
}

void Timeline::readFile(const std::string &File) {
  std::ifstream Lines(File, std::ios::binary);
  if (!Lines) {
    this->Faults.push_back({File, 0, "cannot be opened"});
    return;
  }
  this->read(File, Lines);
}

std::vector<const TimelineEvent *>
Timeline::select(const TimelineFilter &Filter) const {
  Matcher Matches{Filter, {}};
  if (Filter.Request)
    for (const TimelineEvent &Event : this->Events)
      if (Event.field("request") == *Filter.Request &&
          !Event.field("query").empty())
        Matches.Queries.insert(Event.field("query"));
  std::vector<const TimelineEvent *> Selected;
  for (const TimelineEvent &Event : this->Events)
    if (Matches(Event))
      Selected.push_back(&Event);
  std::stable_sort(Selected.begin(), Selected.end(),
                   [](const TimelineEvent *Left, const TimelineEvent *Right) {
                     return Left->Time < Right->Time;
                   });
  return Selected;
}

std::vector<const TimelineEvent *>
Timeline::precedingEvents(const TimelineEvent &RequestEnded,
                          std::chrono::microseconds Period) const {
  // Format of the field: "TARGET@DISTANCE KIND OUTCOME after MILLISECONDS; ..."
  std::set<std::string> Targets;
  std::istringstream Decisions(RequestEnded.field("decisions"));
  for (std::string Decision; std::getline(Decisions >> std::ws, Decision, ';');)
    if (const std::size_t At = Decision.find('@'); At != std::string::npos)
      Targets.insert(Decision.substr(0, At));
  std::vector<const TimelineEvent *> Result;
  for (const TimelineEvent &Event : this->Events)
    if (Targets.contains(Event.field("target")) &&
        Event.field("node") == RequestEnded.field("node") &&
        Event.Time <= RequestEnded.Time &&
        Event.Time + Period >= RequestEnded.Time)
      Result.push_back(&Event);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const TimelineEvent *Left, const TimelineEvent *Right) {
                     return Left->Time < Right->Time;
                   });
  return Result;
}

const std::vector<TimelineFault> &Timeline::faults() const {
  return this->Faults;
}

std::optional<LogTime> parseLogTime(const std::string &Text) {
  std::string_view Rest = Text;
  std::optional<int> Year = takeDigits(Rest, 4);
  if (!Year || !takeChar(Rest, '-'))
    return std::nullopt;
  std::optional<int> Month = takeDigits(Rest, 2);
  if (!Month || !takeChar(Rest, '-'))
    return std::nullopt;
  std::optional<int> Day = takeDigits(Rest, 2);
  if (!Day || !takeChar(Rest, 'T'))
    return std::nullopt;
  std::optional<int> Hour = takeDigits(Rest, 2);
  if (!Hour || !takeChar(Rest, ':'))
    return std::nullopt;
  std::optional<int> Minute = takeDigits(Rest, 2);
  if (!Minute || !takeChar(Rest, ':'))
    return std::nullopt;
  std::optional<int> Second = takeDigits(Rest, 2);
  if (!Second)
    return std::nullopt;
  std::optional<int> Micros = takeFraction(Rest);
  std::optional<std::chrono::minutes> Offset = takeOffset(Rest);
  std::chrono::year_month_day Date{std::chrono::year(*Year),
                                   std::chrono::month(*Month),
                                   std::chrono::day(*Day)};
  // Second 60 is a leap second.
  if (!Micros || !Offset || !Rest.empty() || !Date.ok() || *Hour > 23 ||
      *Minute > 59 || *Second > 60)
    return std::nullopt;
  return std::chrono::sys_days(Date) + std::chrono::hours(*Hour) +
         std::chrono::minutes(*Minute) + std::chrono::seconds(*Second) +
         std::chrono::microseconds(*Micros) - *Offset;
}

std::string toTable(const std::vector<const TimelineEvent *> &Events) {
  constexpr std::string_view TimeColumn = "time";
  std::size_t TimeWidth = TimeColumn.size();
  std::array<std::size_t, Columns.size()> Widths{};
  for (std::size_t Index = 0; Index < Columns.size(); ++Index)
    Widths[Index] = Columns[Index].size();
  for (const TimelineEvent *Event : Events) {
    TimeWidth = std::max(TimeWidth, Event->field("time").size());
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Widths[Index] =
          std::max(Widths[Index], columnText(*Event, Columns[Index]).size());
  }
  std::string Table;
  auto Append = [&Table](std::string_view Text, std::size_t Width) {
    Table.append(Text).append(Width - Text.size() + 2, ' ');
  };
  Append(TimeColumn, TimeWidth);
  for (std::size_t Index = 0; Index < Columns.size(); ++Index)
    Append(Columns[Index], Widths[Index]);
  Table += "fields\n";
  for (const TimelineEvent *Event : Events) {
    Append(Event->field("time"), TimeWidth);
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Append(columnText(*Event, Columns[Index]), Widths[Index]);
    std::string_view Separator;
    for (const auto &[Key, Value] : Event->Fields) {
      if (Key == TimeColumn ||
          std::find(Columns.begin(), Columns.end(), Key) != Columns.end())
        continue;
      Table.append(Separator).append(Key).append("=").append(Value);
      Separator = " ";
    }
    while (Table.ends_with(' '))
      Table.pop_back();
    Table += '\n';
  }
  return Table;
}

} // namespace balsamyard
