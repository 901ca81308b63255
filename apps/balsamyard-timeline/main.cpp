#include "balsamyard/src/Process/Timeline.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;

namespace {

enum ExitStatus { Success = 0, Failure = 1, BadUsage = 2 };

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "balsamyard-timeline",
      "Merges the JSON-line logs of many processes into one list of events in "
      "order of time.\nThe clocks of different VMs may differ by some "
      "milliseconds; lines of one file are only reordered by their own "
      "times.\n");
  Options.positional_help("FILE...");
  auto Text = [] { return cxxopts::value<std::string>(); };
  Options.add_options()("request", "events of this request and of its queries",
                        Text(), "ID")("target",
                                      "events of this target, leaf or service",
                                      Text(), "SERVICE[/LEAF[/SLOT]]")(
      "version", "events of this back end version", Text(), "VERSION")(
      "domain", "events of processes in this failure domain", Text(),
      "DOMAIN")("service", "events of this service and its targets", Text(),
                "SERVICE")("event", "events of this name", Text(), "NAME")(
      "json", "print the JSON lines instead of a table")(
      "program-version", "print the version and exit")(
      "h,help", "print this help")("files", "log files; - is standard input",
                                   cxxopts::value<std::vector<std::string>>(),
                                   "FILE");
  Options.parse_positional({"files"});
  Options.custom_help("[OPTION...]");
  return Options;
}

std::optional<std::string> textOf(const cxxopts::ParseResult &Given,
                                  const char *Option) {
  if (Given.count(Option) == 0)
    return std::nullopt;
  return Given[Option].as<std::string>();
}

TimelineFilter filterOf(const cxxopts::ParseResult &Given) {
  TimelineFilter Filter;
  Filter.Request = textOf(Given, "request");
  Filter.Target = textOf(Given, "target");
  Filter.Version = textOf(Given, "version");
  Filter.Domain = textOf(Given, "domain");
  Filter.Service = textOf(Given, "service");
  Filter.Event = textOf(Given, "event");
  return Filter;
}

ExitStatus print(const cxxopts::ParseResult &Given) {
  Timeline Merged;
  for (const std::string &File :
       Given["files"].as<std::vector<std::string>>()) {
    if (File == "-")
      Merged.read("standard input", std::cin);
    else
      Merged.readFile(File);
  }
  std::vector<const TimelineEvent *> Events = Merged.select(filterOf(Given));
  if (Given.count("json") > 0)
    for (const TimelineEvent *Event : Events)
      std::cout << Event->Line << '\n';
  else
    std::cout << toTable(Events);
  std::cout.flush();
  for (const TimelineFault &Fault : Merged.faults())
    std::cerr << Fault.File << ':' << Fault.Line << ": " << Fault.Detail
              << '\n';
  return Merged.faults().empty() && std::cout ? Success : Failure;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options = makeOptions();
  try {
    cxxopts::ParseResult Given = Options.parse(Count, Arguments);
    if (Given.count("help") > 0) {
      std::cout << Options.help()
                << "\nExit status: 0 success, 1 a line or file could not be "
                   "read (the rest is printed), 2 bad usage.\n";
      return Success;
    }
    if (Given.count("program-version") > 0) {
      std::cout << "balsamyard-timeline " BALSAMYARD_VERSION "\n";
      return Success;
    }
    if (Given.count("files") == 0) {
      std::cerr << "balsamyard-timeline: no log file given; see --help\n";
      return BadUsage;
    }
    return print(Given);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-timeline: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
