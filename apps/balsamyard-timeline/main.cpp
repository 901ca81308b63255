#include "balsamyard/src/Process/Timeline.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;

namespace {

enum ExitStatus { Success = 0, Failure = 1, BadUsage = 2 };

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "balsamyard-timeline",
      "Merges the JSON Lines logs of several processes into one list of events "
      "in chronological order.\nThe clocks of different VMs may differ by a "
      "few milliseconds; lines of one file are only reordered by their own "
      "timestamps.\n");
  Options.positional_help("FILE...");
  auto StringOption = [] { return cxxopts::value<std::string>(); };
  Options.add_options()("request", "events of this request and of its queries",
                        StringOption(), "ID")(
      "target", "events of this target, leaf or service", StringOption(),
      "SERVICE[/LEAF[/SLOT]]")("version", "events of this back end version",
                               StringOption(), "VERSION")(
      "domain", "events of processes in this failure domain", StringOption(),
      "DOMAIN")("service", "events of this service and its targets",
                StringOption(), "SERVICE")("event", "events of this name",
                                           StringOption(), "NAME")(
      "json", "print the JSON lines instead of a table")(
      "program-version", "print the version and exit")(
      "h,help", "print this help")("files", "log files; - is standard input",
                                   cxxopts::value<std::vector<std::string>>(),
                                   "FILE");
  Options.parse_positional({"files"});
  Options.custom_help("[OPTION...]");
  return Options;
}

std::optional<std::string> optionValue(const cxxopts::ParseResult &Parsed,
                                       const char *Option) {
  if (Parsed.count(Option) == 0)
    return std::nullopt;
  return Parsed[Option].as<std::string>();
}

TimelineFilter makeFilter(const cxxopts::ParseResult &Parsed) {
  TimelineFilter Filter;
  Filter.Request = optionValue(Parsed, "request");
  Filter.Target = optionValue(Parsed, "target");
  Filter.Version = optionValue(Parsed, "version");
  Filter.Domain = optionValue(Parsed, "domain");
  Filter.Service = optionValue(Parsed, "service");
  Filter.Event = optionValue(Parsed, "event");
  return Filter;
}

ExitStatus printTimeline(const cxxopts::ParseResult &Parsed) {
  Timeline Merged;
  for (const std::string &File :
       Parsed["files"].as<std::vector<std::string>>()) {
    if (File == "-")
      Merged.read("standard input", std::cin);
    else
      Merged.readFile(File);
  }
  std::vector<const TimelineEvent *> Events = Merged.select(makeFilter(Parsed));
  if (Parsed.count("json") > 0)
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
    cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help()
                << "\nExit status: 0 success, 1 a line or file could not be "
                   "read (the rest is printed), 2 bad usage.\n";
      return Success;
    }
    if (Parsed.count("program-version") > 0) {
      std::cout << "balsamyard-timeline " BALSAMYARD_VERSION "\n";
      return Success;
    }
    if (Parsed.count("files") == 0) {
      std::cerr << "balsamyard-timeline: no log file given; see --help\n";
      return BadUsage;
    }
    return printTimeline(Parsed);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-timeline: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
