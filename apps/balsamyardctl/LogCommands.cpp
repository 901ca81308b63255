#include "apps/balsamyardctl/Commands.h"
#include "balsamyard/src/Process/Timeline.h"

#include <iostream>
#include <map>

namespace balsamyard::ctl {

namespace {

/// \returns whether every file could be read whole.
bool readLogs(const cxxopts::ParseResult &Options, Timeline &Merged) {
  for (const std::string &File : Options["logs"].as<std::vector<std::string>>())
    Merged.readFile(File);
  for (const TimelineFault &Fault : Merged.faults())
    std::cerr << Fault.File << ":" << Fault.Line << ": " << Fault.Detail
              << "\n";
  return Merged.faults().empty();
}

/// \returns what an event means, in words.
std::string sentence(const TimelineEvent &Event) {
  static const std::map<std::string, std::string> Meanings = {
      {"query-answered", "the search was answered in full"},
      {"query-partial", "the search was answered in part"},
      {"request-refused", "the request was refused"},
      {"request-failed", "the request failed"},
      {"request-quarantined", "the request was quarantined"},
      {"target-connection-broke", "a target closed the connection"},
      {"slot-cold", "a target was found in cold start"},
      {"slot-leaving", "a target was found leaving"}};
  auto Found = Meanings.find(Event.Name);
  std::string Text = Found == Meanings.end() ? Event.Name : Found->second;
  static const std::map<std::string, std::string> Outcomes = {
      {"not_run", "it was not run"},
      {"unknown", "it is not known whether it ran"},
      {"ran", "it ran"}};
  auto Outcome = Outcomes.find(Event.field("outcome"));
  if (Outcome != Outcomes.end())
    Text += "; " + Outcome->second;
  for (const char *Key :
       {"service", "route", "target", "version", "code", "detail"})
    if (!Event.field(Key).empty())
      Text += std::string(", ") + Key + " " + Event.field(Key);
  return Text;
}

} // namespace

int runExplain(const cxxopts::ParseResult &Options) {
  if (!Options.count("subject") || !Options.count("logs") ||
      Options["subject"].as<std::vector<std::string>>().size() != 1) {
    std::cerr << "balsamyardctl: expected one request id and --logs FILE,..\n";
    return BadUsage;
  }
  const std::string Request =
      Options["subject"].as<std::vector<std::string>>().front();
  Timeline Merged;
  bool Complete = readLogs(Options, Merged);
  TimelineFilter Filter;
  Filter.Request = Request;
  auto Events = Merged.select(Filter);
  if (Events.empty()) {
    std::cout << "The logs say nothing about request " << Request << ".\n";
    return Failure;
  }
  std::cout << "Request " << Request << ":\n";
  const LogTime First = Events.front()->Time;
  for (const TimelineEvent *Event : Events)
    std::cout << "  " << Event->field("time") << " (+"
              << std::chrono::duration<double, std::milli>(Event->Time - First)
                     .count()
              << " ms) at the " << Event->field("process") << " process of "
              << Event->field("node") << ": " << sentence(*Event) << ".\n";
  return Complete ? Success : Failure;
}

int runTimeline(const cxxopts::ParseResult &Options) {
  if (!Options.count("logs")) {
    std::cerr << "balsamyardctl: expected --logs FILE,..\n";
    return BadUsage;
  }
  Timeline Merged;
  bool Complete = readLogs(Options, Merged);
  TimelineFilter Filter;
  auto Set = [&](const char *Name, std::optional<std::string> &Field) {
    if (Options.count(Name))
      Field = Options[Name].as<std::string>();
  };
  Set("request", Filter.Request);
  Set("target", Filter.Target);
  Set("target-version", Filter.Version);
  Set("domain", Filter.Domain);
  std::cout << toTable(Merged.select(Filter));
  return Complete ? Success : Failure;
}

} // namespace balsamyard::ctl
