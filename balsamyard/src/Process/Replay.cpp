#include "balsamyard/src/Process/Replay.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <istream>
#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

namespace balsamyard {

namespace {

using nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

/// Limits of a trace, which ensure that a run terminates.
constexpr std::int64_t MaxTraceMs = std::int64_t(24) * 3600 * 1000;
constexpr std::int64_t MaxDeadlineMs = std::int64_t(10) * 60 * 1000;

/// Maximum length of a request id, a service name or a route name.
constexpr std::size_t MaxIdBytes = 128;

/// All figures of summarize(). A bound on another name is reported, because it
/// is probably misspelled.
constexpr std::array<std::string_view, 23> FigureNames = {
    "queries",
    "searches",
    "writes",
    "whole",
    "partial",
    "refused",
    "lost",
    "wrong",
    "duplicates",
    "false_refusals",
    "whole_share",
    "within_deadline",
    "coverage_mean",
    "coverage_min",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "write_p50_ms",
    "write_p99_ms",
    "write_p999_ms",
    "start_delay_max_ms",
    "duration_s",
    "command_failures",
};

/// Reads the members of a JSON object and keeps the first error.
class MemberReader {
public:
  MemberReader(const json &Object, std::string &Fault)
      : Object(Object), Fault(Fault) {}

  const json *find(const char *Key) {
    this->ReadKeys.insert(Key);
    auto Found = this->Object.find(Key);
    return Found == this->Object.end() ? nullptr : &*Found;
  }

  const json *require(const char *Key) {
    const json *Value = this->find(Key);
    if (!Value)
      this->report(std::string("member \"") + Key + "\" is missing");
    return Value;
  }

  std::string text(const char *Key) {
    const json *Value = this->require(Key);
    if (!Value)
      return "";
    if (!Value->is_string() || Value->get_ref<const std::string &>().empty()) {
      this->report(std::string("\"") + Key + "\" has to be a text");
      return "";
    }
    return *Value;
  }

  std::int64_t number(const char *Key, std::int64_t Min, std::int64_t Max) {
    const json *Value = this->require(Key);
    if (!Value)
      return Min;
    if (!Value->is_number_integer() || *Value < Min || *Value > Max) {
      this->report(std::string("\"") + Key +
                   "\" has to be a whole number from " + std::to_string(Min) +
                   " to " + std::to_string(Max));
      return Min;
    }
    return *Value;
  }

  /// \returns the JSON text of an object.
  std::string object(const char *Key) {
    const json *Value = this->require(Key);
    if (Value && !Value->is_object())
      this->report(std::string("\"") + Key + "\" has to be an object");
    return Value ? Value->dump() : "";
  }

  void report(const std::string &Detail) {
    if (this->Fault.empty())
      this->Fault = Detail;
  }

  /// Reports members that were not read.
  void rejectUnknown() {
    for (const auto &[Key, Value] : this->Object.items())
      if (!this->ReadKeys.contains(Key))
        this->report("unknown member \"" + Key + "\"");
  }

private:
  const json &Object;
  std::string &Fault;
  std::set<std::string> ReadKeys;
};

/// \returns whether \p Text can be part of a path and a header without
/// escaping.
bool needsNoEscaping(const std::string &Text) {
  return Text.size() <= MaxIdBytes &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Char) {
           return std::isalnum(Char) != 0 || Char == '-' || Char == '_' ||
                  Char == '.' || Char == ':';
         });
}

ReplayRequest readRequest(MemberReader &From, bool IsWrite) {
  ReplayRequest Result;
  Result.IsWrite = IsWrite;
  Result.Service.Text = From.text("service");
  Result.Route.Text = From.text("route");
  Result.Id.Text = From.text("id");
  for (const std::string *Text :
       {&Result.Service.Text, &Result.Route.Text, &Result.Id.Text})
    if (!needsNoEscaping(*Text))
      From.report("\"" + *Text +
                  "\" has to consist of at most 128 letters, digits and -_.:");
  Result.Deadline =
      std::chrono::milliseconds(From.number("deadline_ms", 1, MaxDeadlineMs));
  Result.Body = From.object("body");
  if (const json *Value = From.find("repeatable")) {
    if (Value->is_boolean())
      Result.Repeatable = Value->get<bool>();
    else
      From.report("\"repeatable\" has to be true or false");
  }
  if (const json *Value = From.find("coverage")) {
    if (Value->is_number() && *Value >= 0 && *Value <= 1)
      Result.Coverage = Value->get<double>();
    else
      From.report("\"coverage\" has to be a number from 0 to 1");
  }
  return Result;
}

ReplayFault readFault(MemberReader &From) {
  ReplayFault Result;
  std::string Url = From.text("url");
  constexpr std::string_view Scheme = "http://";
  std::size_t Slash =
      Url.starts_with(Scheme) ? Url.find('/', Scheme.size()) : Url.npos;
  std::string Host =
      Slash == Url.npos ? "" : Url.substr(Scheme.size(), Slash - Scheme.size());
  std::size_t Colon = Host.rfind(':');
  int Port = 0;
  if (Colon != Host.npos && Host.size() - Colon <= 6)
    std::sscanf(Host.c_str() + Colon + 1, "%d", &Port);
  if (Port < 1 || Port > 65535) {
    From.report("\"url\" has to be http://IP:PORT/PATH");
  } else {
    Result.To = {Host.substr(0, Colon), static_cast<std::uint16_t>(Port)};
    Result.Path = Url.substr(Slash);
  }
  Result.Body = From.object("body");
  return Result;
}

/// \returns the event. On an error, \p Fault is set to its description.
ReplayEvent readEvent(const json &Object, std::string &Fault) {
  MemberReader From(Object, Fault);
  ReplayEvent Result;
  Result.At = std::chrono::milliseconds(From.number("at_ms", 0, MaxTraceMs));
  std::string Kind = From.text("kind");
  if (Kind == "search" || Kind == "write")
    Result.Body = readRequest(From, Kind == "write");
  else if (Kind == "fault")
    Result.Body = readFault(From);
  else if (Kind == "rules")
    Result.Body = ReplayRules{From.text("body")};
  else
    From.report("\"kind\" has to be search, write, fault or rules");
  From.rejectUnknown();
  return Result;
}

std::uint32_t lineOf(std::string_view Text, std::size_t Position) {
  return 1 + static_cast<std::uint32_t>(
                 std::count(Text.begin(),
                            Text.begin() + static_cast<std::ptrdiff_t>(
                                               std::min(Position, Text.size())),
                            '\n'));
}

std::uint64_t unsignedOf(const json &Object, const char *Key) {
  auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

/// \returns why the coverage is inconsistent, or an empty text.
std::string checkCoverage(const json &Answer, Code Result) {
  const json &Coverage = Answer["coverage"];
  std::uint64_t Answered = unsignedOf(Coverage, "shards_answered");
  std::uint64_t Total = unsignedOf(Coverage, "shards_asked");
  double Share = Coverage["share"];
  if (Share < 0 || Share > 1 || Answered > Total)
    return "the coverage is out of range";
  if ((Result == Code::Ok) != (Answered == Total && Share == 1))
    return "the coverage contradicts the code";
  if (!Coverage.contains("missing") || !Coverage["missing"].is_array() ||
      Coverage["missing"].size() != Total - Answered)
    return "the number of missing shards contradicts the coverage";
  return "";
}

/// \returns the shard of a row. Row ids of a stand-in begin with `SHARD-`.
std::optional<std::uint64_t> shardOf(const json &Row) {
  if (!Row.is_object() || !Row.contains("id") || !Row["id"].is_string())
    return std::nullopt;
  const auto &Id = Row["id"].get_ref<const std::string &>();
  std::uint64_t Shard = 0;
  int Used = 0;
  if (std::sscanf(Id.c_str(), "%lu-%n", &Shard, &Used) != 1 || Used == 0)
    return std::nullopt;
  return Shard;
}

/// \returns why a row does not belong to the answer, or an empty text.
std::string checkRows(const ReplayRequest &Request, const json &Answer) {
  std::set<std::string> UniqueRows;
  std::set<std::uint64_t> Shards;
  std::set<std::uint64_t> Missing;
  for (const json &Shard : Answer["coverage"]["missing"])
    if (Shard.is_number_unsigned())
      Missing.insert(Shard.get<std::uint64_t>());
  for (const json &Row : Answer["rows"]) {
    if (!UniqueRows.insert(Row.dump()).second)
      return "a row occurs twice";
    if (Row.is_object() && Row.contains("service") &&
        Row["service"] != Request.Service.Text)
      return "a row is of another service";
    if (Row.is_object() && Row.contains("snapshot") &&
        Row["snapshot"] != Answer["snapshot"])
      return "a row is of another snapshot";
    if (std::optional<std::uint64_t> Shard = shardOf(Row)) {
      Shards.insert(*Shard);
      if (Missing.contains(*Shard))
        return "a row is of a shard that is reported missing";
    }
  }
  if (Shards.size() > unsignedOf(Answer["coverage"], "shards_answered"))
    return "the rows are of more shards than the coverage states";
  return "";
}

std::string checkSearch(const ReplayRequest &Request, const json &Answer,
                        Code Result, ReplayResult &Output) {
  if (!Answer.contains("coverage") || !Answer["coverage"].is_object() ||
      !Answer["coverage"].contains("share") ||
      !Answer["coverage"]["share"].is_number())
    return "the coverage is missing";
  if (!Answer.contains("rows") || !Answer["rows"].is_array() ||
      !Answer.contains("snapshot"))
    return "the rows or the snapshot are missing";
  Output.Coverage = Answer["coverage"]["share"];
  std::string Wrong = checkCoverage(Answer, Result);
  return Wrong.empty() ? checkRows(Request, Answer) : Wrong;
}

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

/// \returns the nearest-rank percentile in milliseconds: the smallest value
/// that at least \p Share of all values do not exceed.
double percentile(std::vector<Duration> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  return milliseconds(Sorted[std::max<std::size_t>(Rank, 1) - 1]);
}

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

void addPercentiles(ReplayFigures &Figures, const std::string &Prefix,
                    std::vector<Duration> Latencies) {
  std::sort(Latencies.begin(), Latencies.end());
  Figures[Prefix + "p50_ms"] = percentile(Latencies, 0.5);
  Figures[Prefix + "p99_ms"] = percentile(Latencies, 0.99);
  Figures[Prefix + "p999_ms"] = percentile(Latencies, 0.999);
}

std::string_view endName(ReplayEnd End) {
  switch (End) {
  case ReplayEnd::Whole:
    return "whole";
  case ReplayEnd::Partial:
    return "partial";
  case ReplayEnd::Refused:
    return "refused";
  case ReplayEnd::Lost:
    return "lost";
  }
  return "lost";
}

} // namespace

tl::expected<std::vector<ReplayEvent>, std::vector<ReplayFileFault>>
parseTrace(std::istream &Lines) {
  std::vector<ReplayEvent> Events;
  std::vector<ReplayFileFault> Faults;
  std::uint32_t Number = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    ++Number;
    if (Line.empty())
      continue;
    json Object = json::parse(Line, nullptr, false);
    std::string Fault;
    if (!Object.is_object()) {
      Faults.push_back({Number, "not a JSON object"});
      continue;
    }
    ReplayEvent Event = readEvent(Object, Fault);
    Event.Line = Number;
    if (Fault.empty())
      Events.push_back(std::move(Event));
    else
      Faults.push_back({Number, Fault});
  }
  if (Lines.bad())
    Faults.push_back({Number, "reading failed"});
  if (Faults.empty() && Events.empty())
    Faults.push_back({0, "the trace is empty"});
  if (!Faults.empty())
    return tl::unexpected(std::move(Faults));
  std::stable_sort(Events.begin(), Events.end(),
                   [](const ReplayEvent &Left, const ReplayEvent &Right) {
                     return Left.At < Right.At;
                   });
  return Events;
}

tl::expected<std::vector<ReplayBound>, std::vector<ReplayFileFault>>
parseExpectations(std::string_view Json) {
  std::vector<ReplayFileFault> Faults;
  json Object;
  try {
    Object = json::parse(Json);
  } catch (const json::parse_error &Fault) {
    Faults.push_back({lineOf(Json, Fault.byte), "not valid JSON"});
    return tl::unexpected(std::move(Faults));
  } catch (const json::out_of_range &) {
    Faults.push_back({0, "a number is out of range"});
    return tl::unexpected(std::move(Faults));
  }
  if (!Object.is_object()) {
    Faults.push_back({1, "has to be an object of bounds"});
    return tl::unexpected(std::move(Faults));
  }
  std::vector<ReplayBound> Bounds;
  for (const auto &[Figure, Value] : Object.items()) {
    std::uint32_t Line = lineOf(Json, Json.find("\"" + Figure + "\""));
    ReplayBound Bound{Figure, {}, {}};
    std::string Fault;
    if (std::find(FigureNames.begin(), FigureNames.end(), Figure) ==
        FigureNames.end())
      Fault = "unknown figure \"" + Figure + "\"";
    else if (!Value.is_object() || Value.empty())
      Fault = "\"" + Figure + "\" needs \"min\", \"max\" or both";
    else
      for (const auto &[Key, Limit] : Value.items()) {
        if ((Key != "min" && Key != "max") || !Limit.is_number()) {
          Fault = "\"" + Figure + "\" takes the numbers \"min\" and \"max\"";
          break;
        }
        (Key == "min" ? Bound.Minimum : Bound.Maximum) = Limit.get<double>();
      }
    if (Fault.empty())
      Bounds.push_back(std::move(Bound));
    else
      Faults.push_back({Line, Fault});
  }
  if (!Faults.empty())
    return tl::unexpected(std::move(Faults));
  return Bounds;
}

ReplayResult validateAnswer(const ReplayRequest &Request,
                            std::string_view Body) {
  ReplayResult Result;
  Result.IsWrite = Request.IsWrite;
  Result.Repeatable = Request.Repeatable.value_or(!Request.IsWrite);
  Result.Id = Request.Id;
  Result.End = ReplayEnd::Refused;
  json Answer = json::parse(Body, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("code") ||
      !Answer["code"].is_number_integer() || !Answer.contains("outcome") ||
      !Answer["outcome"].is_string() || !Answer.contains("request")) {
    Result.Wrong = "the answer is not one of an entry process";
    return Result;
  }
  Result.ResultCode = Answer["code"];
  Result.Outcome = Answer["outcome"];
  Code Value = static_cast<Code>(Result.ResultCode);
  if (Answer["request"] != Request.Id.Text) {
    Result.Wrong = "the answer is to another request";
    return Result;
  }
  if (!find(Value)) {
    Result.Wrong = "unknown code";
    return Result;
  }
  if (Result.Outcome != "ran" && Result.Outcome != "not_run" &&
      Result.Outcome != "unknown") {
    Result.Wrong = "unknown outcome";
    return Result;
  }
  if (!isSuccess(Value))
    return Result;
  Result.End = Value == Code::Partial ? ReplayEnd::Partial : ReplayEnd::Whole;
  if (Result.Outcome != "ran") {
    Result.Wrong = "a success whose outcome is not \"ran\"";
    return Result;
  }
  if (!Request.IsWrite) {
    Result.Wrong = checkSearch(Request, Answer, Value, Result);
  } else {
    Result.Coverage = 1;
    if (Answer.contains("result") && Answer["result"].is_object() &&
        Answer["result"].contains("stored"))
      Result.Executions = unsignedOf(Answer["result"], "stored");
  }
  return Result;
}

ReplayFigures summarize(const std::vector<ReplayResult> &Results,
                        const ReplayExecutions &Executed) {
  ReplayFigures Figures;
  for (std::string_view Name : FigureNames)
    Figures[std::string(Name)] = 0;
  std::vector<Duration> Searches;
  std::vector<Duration> Writes;
  std::map<std::string, std::uint64_t> Stored = Executed;
  double Covered = 0;
  double CoveredCount = 0;
  double MinCoverage = 1;
  Duration MaxStartDelay{};
  Duration LastEnd{};
  std::set<std::string> NotRun;
  std::set<std::string> Ran;
  std::set<std::string> Repeatable;
  for (const ReplayResult &Result : Results) {
    if (Result.Repeatable)
      Repeatable.insert(Result.Id.Text);
    ++Figures["queries"];
    ++Figures[Result.IsWrite ? "writes" : "searches"];
    ++Figures[Result.Wrong.empty() ? std::string(endName(Result.End))
                                   : "wrong"];
    Figures["within_deadline"] += Result.InTime && Result.Wrong.empty() ? 1 : 0;
    MaxStartDelay = std::max(MaxStartDelay, Result.StartDelay);
    LastEnd = std::max(LastEnd, Result.At + Result.Latency);
    bool Answered = Result.Wrong.empty() && (Result.End == ReplayEnd::Whole ||
                                             Result.End == ReplayEnd::Partial);
    if (Answered)
      (Result.IsWrite ? Writes : Searches).push_back(Result.Latency);
    if (Answered && !Result.IsWrite) {
      Covered += Result.Coverage;
      MinCoverage = std::min(MinCoverage, Result.Coverage);
      ++CoveredCount;
    }
    if (Result.IsWrite && Answered) {
      Ran.insert(Result.Id.Text);
      std::uint64_t &Count = Stored[Result.Id.Text];
      Count = std::max(Count, Result.Executions);
    }
    if (Result.IsWrite && Result.Outcome == "not_run")
      NotRun.insert(Result.Id.Text);
  }
  for (const auto &[Id, Count] : Stored)
    if (Count > 1 && !Repeatable.contains(Id))
      Figures["duplicates"] += static_cast<double>(Count - 1);
  for (const std::string &Id : NotRun) {
    auto Found = Executed.find(Id);
    if (Ran.contains(Id) || (Found != Executed.end() && Found->second > 0))
      ++Figures["false_refusals"];
  }
  Figures["whole_share"] = ratio(Figures["whole"], Figures["queries"]);
  Figures["within_deadline"] =
      ratio(Figures["within_deadline"], Figures["queries"]);
  Figures["coverage_mean"] = ratio(Covered, CoveredCount);
  Figures["coverage_min"] = CoveredCount > 0 ? MinCoverage : 0;
  addPercentiles(Figures, "", std::move(Searches));
  addPercentiles(Figures, "write_", std::move(Writes));
  Figures["start_delay_max_ms"] = milliseconds(MaxStartDelay);
  Figures["duration_s"] = milliseconds(LastEnd) / 1000;
  return Figures;
}

std::vector<ReplayCheck> compare(const std::vector<ReplayBound> &Bounds,
                                 const ReplayFigures &Figures) {
  std::vector<ReplayCheck> Checks;
  for (const ReplayBound &Bound : Bounds) {
    ReplayCheck Check{Bound, 0, false};
    auto Found = Figures.find(Bound.Figure);
    if (Found != Figures.end()) {
      Check.Actual = Found->second;
      Check.Met = (!Bound.Minimum || Check.Actual >= *Bound.Minimum) &&
                  (!Bound.Maximum || Check.Actual <= *Bound.Maximum);
    }
    Checks.push_back(std::move(Check));
  }
  return Checks;
}

std::string toJsonLine(const ReplayResult &Result) {
  OrderedJson Line = {{"line", Result.Line},
                      {"kind", Result.IsWrite ? "write" : "search"},
                      {"id", Result.Id.Text},
                      {"entry", toText(Result.Entry)},
                      {"at_ms", milliseconds(Result.At)},
                      {"start_delay_ms", milliseconds(Result.StartDelay)},
                      {"latency_ms", milliseconds(Result.Latency)},
                      {"in_time", Result.InTime},
                      {"end", endName(Result.End)},
                      {"code", Result.ResultCode},
                      {"outcome", Result.Outcome},
                      {"coverage", Result.Coverage}};
  if (!Result.Wrong.empty())
    Line["wrong"] = Result.Wrong;
  return Line.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
}

RequestId freshRequestId(const RequestId &Recorded, std::uint64_t Seed,
                         WallTime Now) {
  XXH128_hash_t Bits =
      XXH3_128bits_withSeed(Recorded.Text.data(), Recorded.Text.size(), Seed);
  auto Time = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  std::array<char, 37> Text{};
  // RFC 9562: 48 bits of time, version 7, 12 random bits, variant 2, 62 random
  // bits.
  std::snprintf(Text.data(), Text.size(), "%08lx-%04lx-7%03lx-%04lx-%012lx",
                (Time >> 16) & 0xffffffffUL, Time & 0xffffUL,
                Bits.high64 & 0xfffUL, 0x8000UL | ((Bits.low64 >> 48) & 0x3fff),
                Bits.low64 & 0xffffffffffffUL);
  return {Text.data()};
}

} // namespace balsamyard
