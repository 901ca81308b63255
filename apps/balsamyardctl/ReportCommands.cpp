#include "Commands.h"

#include "balsamyard/src/Process/Timeline.h"

#include <iostream>
#include <map>

namespace balsamyard::ctl {

namespace {

/// How far back `explain` looks for target events. A fault of a target affects
/// the requests of the next seconds.
constexpr std::chrono::seconds LookbackTime(10);

/// \returns a sentence that describes the event.
std::string describe(const TimelineEvent &Event) {
  static const std::map<std::string, std::string> Meanings = {
      {"query-answered", "the search was answered"},
      {"query-partial", "not every shard answered in time"},
      {"request-refused", "the request was refused"},
      {"request-failed", "the request failed"},
      {"request-quarantined", "the request was quarantined"},
      {"target-connection-broke", "a target closed the connection"},
      {"slot-cold", "a target was found in cold start"},
      {"slot-leaving", "a target was found leaving"},
      {"request-ended", "the request ended"},
      {"caller-left", "the caller left before the answer"},
      {"target-suspect", "a target lost all its connections"},
      {"target-reached", "a target answered its health check"},
      {"target-unreachable", "a target did not answer its health check"},
      {"target-check-rejected", "a target rejected its health check"},
      {"target-cold", "a target was in cold start"},
      {"target-leaving", "a target said that it leaves"},
      {"target-withdrawn", "the entry of a target disappeared"},
      {"target-gone", "a target was given up"}};
  static const std::map<std::string, std::string> Outcomes = {
      {"not_run", "it was not run"},
      {"unknown", "it is not known whether it ran"},
      {"ran", "it ran"}};
  const auto Meaning = Meanings.find(Event.Name);
  std::string Text = Meaning == Meanings.end() ? Event.Name : Meaning->second;
  if (const auto Outcome = Outcomes.find(Event.field("outcome"));
      Outcome != Outcomes.end())
    Text += "; " + Outcome->second;
  for (const auto &[Key, Value] : Event.Fields)
    if (Key != "time" && Key != "level" && Key != "process" && Key != "node" &&
        Key != "domain" && Key != "request" && Key != "outcome" &&
        !Value.empty())
      Text.append(", ").append(Key).append(" ").append(Value);
  return Text + ".";
}

void readLogs(Timeline &Merged, const std::vector<std::string> &Files) {
  for (const std::string &File : Files)
    Merged.readFile(File);
}

void printEvent(const TimelineEvent &Event, const TimelineEvent &First) {
  const auto Since = std::chrono::duration_cast<std::chrono::microseconds>(
      Event.Time - First.Time);
  std::cout << Event.field("time") << " (" << (Since.count() < 0 ? "" : "+")
            << Since.count() << " us) at the " << Event.field("process")
            << " process of " << Event.field("node") << ": " << describe(Event)
            << "\n";
}

ExitStatus reportFaults(const Timeline &Merged) {
  for (const TimelineFault &Fault : Merged.faults())
    std::cerr << Fault.File << ":" << Fault.Line << ": " << Fault.Detail
              << "\n";
  return Merged.faults().empty() ? Success : FaultsFound;
}

} // namespace

ExitStatus explain(const Arguments &Args) {
  if (Args.Operands.size() != 1 || Args.Logs.empty()) {
    std::cerr << "balsamyardctl: explain needs a request id and --logs\n";
    return BadUsage;
  }
  Timeline Merged;
  readLogs(Merged, Args.Logs);
  TimelineFilter Filter;
  Filter.Request = Args.Operands.front();
  const std::vector<const TimelineEvent *> Events = Merged.select(Filter);
  if (Events.empty())
    std::cout << "no process logged request " << *Filter.Request << "\n";
  for (const TimelineEvent *Event : Events) {
    // Earlier events of the targets explain the outcome of the request.
    for (const TimelineEvent *Earlier :
         Merged.precedingEvents(*Event, LookbackTime))
      printEvent(*Earlier, *Events.front());
    printEvent(*Event, *Events.front());
  }
  const ExitStatus LogStatus = reportFaults(Merged);
  return Events.empty() ? FaultsFound : LogStatus;
}

ExitStatus timeline(const Arguments &Args) {
  std::vector<std::string> Files = Args.Operands;
  Files.insert(Files.end(), Args.Logs.begin(), Args.Logs.end());
  if (Files.empty()) {
    std::cerr << "balsamyardctl: timeline needs log files\n";
    return BadUsage;
  }
  Timeline Merged;
  readLogs(Merged, Files);
  std::cout << toTable(Merged.select({}));
  return reportFaults(Merged);
}

} // namespace balsamyard::ctl
