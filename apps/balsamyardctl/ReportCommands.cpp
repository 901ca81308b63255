#include "Commands.h"

#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Process/Timeline.h"

#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace balsamyard::ctl {

namespace {

const std::string MovePrefix = "shared/moves/";

/// Prints a JSON object as "key: value" lines, indented by its depth.
void printValue(const nlohmann::ordered_json &Value,
                const std::string &Indent) {
  const auto PrintMember = [&](const std::string &Key,
                               const nlohmann::ordered_json &Member) {
    if (!Member.is_structured()) {
      std::cout << Indent << Key << ": "
                << (Member.is_string() ? Member.get<std::string>()
                                       : Member.dump())
                << "\n";
    } else if (!Member.empty()) {
      std::cout << Indent << Key << ":\n";
      printValue(Member, Indent + "  ");
    }
  };
  if (Value.is_object()) {
    for (const auto &[Key, Member] : Value.items())
      PrintMember(Key, Member);
    return;
  }
  for (const auto &Item : Value)
    if (Item.is_structured())
      std::cout << Indent << "- " << Item.dump() << "\n";
    else
      PrintMember("-", Item);
}

/// \returns whether the moves could be read.
bool printMoves(const Arguments &Given) {
  PlatformClient Platform(*Given.Platform, Given.Timeout);
  Expected<PlatformListing> Moves = Platform.list(MovePrefix);
  if (!Moves) {
    std::cout << "moves: not known, the platform does not answer ("
              << Moves.error().Detail << ")\n";
    return false;
  }
  for (const PlatformEntry &Entry : Moves->Entries) {
    Expected<PlatformObject> Move = Platform.get(Entry.Name);
    if (!Move)
      continue;
    std::cout << "move " << Entry.Name.substr(MovePrefix.size()) << "\n";
    printValue(nlohmann::ordered_json::parse(Move->Value, nullptr, false),
               "  ");
  }
  return true;
}

/// \returns whether the process answered.
bool printProcess(const Endpoint &At, Duration Timeout) {
  httplib::Client Client(At.Address, At.Port);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(Timeout);
  Client.set_read_timeout(Timeout);
  const httplib::Result Answer = Client.Get("/v1/status");
  std::cout << "process " << toText(At) << "\n";
  if (!Answer || Answer->status != 200) {
    std::cout << "  does not answer\n";
    return false;
  }
  printValue(nlohmann::ordered_json::parse(Answer->body, nullptr, false), "  ");
  return true;
}

void readLogs(Timeline &Merged, const std::vector<std::string> &Files) {
  for (const std::string &File : Files)
    Merged.readFile(File);
}

ExitStatus reportFaults(const Timeline &Merged) {
  for (const TimelineFault &Fault : Merged.faults())
    std::cerr << Fault.File << ":" << Fault.Line << ": " << Fault.Detail
              << "\n";
  return Merged.faults().empty() ? Success : Faulty;
}

} // namespace

ExitStatus status(const Arguments &Given) {
  if (!Given.Platform && Given.Nodes.empty()) {
    std::cerr << "balsamyardctl: status needs --platform or --node\n";
    return BadUsage;
  }
  bool Answered = !Given.Platform || printMoves(Given);
  for (const Endpoint &Node : Given.Nodes)
    Answered = printProcess(Node, Given.Timeout) && Answered;
  return Answered ? Success : Unreachable;
}

ExitStatus explain(const Arguments &Given) {
  if (Given.Files.size() != 1 || Given.Logs.empty()) {
    std::cerr << "balsamyardctl: explain needs a request id and --logs\n";
    return BadUsage;
  }
  Timeline Merged;
  readLogs(Merged, Given.Logs);
  TimelineFilter Filter;
  Filter.Request = Given.Files.front();
  const std::vector<const TimelineEvent *> Events = Merged.select(Filter);
  if (Events.empty())
    std::cout << "no process logged request " << *Filter.Request << "\n";
  for (const TimelineEvent *Event : Events) {
    const auto Since = std::chrono::duration_cast<std::chrono::microseconds>(
        Event->Time - Events.front()->Time);
    std::cout << "+" << Since.count() << " us  " << Event->field("process")
              << " on " << Event->field("node") << ": " << Event->Name;
    for (const auto &[Key, Value] : Event->Fields)
      if (Key != "time" && Key != "level" && Key != "process" &&
          Key != "node" && Key != "domain" && Key != "request")
        std::cout << ", " << Key << " " << Value;
    std::cout << "\n";
  }
  const ExitStatus Read = reportFaults(Merged);
  return Events.empty() ? Faulty : Read;
}

ExitStatus timeline(const Arguments &Given) {
  std::vector<std::string> Files = Given.Files;
  Files.insert(Files.end(), Given.Logs.begin(), Given.Logs.end());
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
