#include "Commands.h"

#include "balsamyard/src/Version/internal/NameText.h"

#include <array>
#include <cxxopts.hpp>
#include <iostream>

using namespace balsamyard;
using namespace balsamyard::ctl;

namespace {

struct Command {
  std::string_view Name;
  ExitStatus (*Run)(const Arguments &);
  std::string_view Help;
};

constexpr std::array<Command, 7> Commands = {{
    {"check", check, "FILE...: check rules files"},
    {"diff", diff, "FILE --platform A: lines that differ from those in force"},
    {"fetch", fetch, "--platform A [--out FILE]: print or save the rules"},
    {"apply", apply,
     "FILE --platform A [--base VERSION]: put the rules in force"},
    {"status", status, "[--platform A] [--node A]...: moves and processes"},
    {"explain", explain, "REQUEST-ID --logs FILE...: what happened to it"},
    {"timeline", timeline, "FILE...: events of all logs, ordered by time"},
}};

cxxopts::Options makeOptions() {
  cxxopts::Options Options("balsamyardctl", "Operates balsamyard.");
  Options.custom_help("COMMAND [OPTION...]");
  Options.positional_help("[FILE...]");
  Options.add_options()("platform", "address of the platform",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "node", "HTTP address of an entry or holder process, may be repeated",
      cxxopts::value<std::vector<std::string>>(),
      "IP:PORT")("logs", "log file, may be repeated",
                 cxxopts::value<std::vector<std::string>>(), "FILE")(
      "base",
      "version that the file is based on; default: noted by fetch and "
      "apply in FILE.version",
      cxxopts::value<std::uint64_t>(),
      "VERSION")("out", "file to save to", cxxopts::value<std::string>(),
                 "FILE")("timeout-ms", "time for each answer, in ms",
                         cxxopts::value<std::uint32_t>()->default_value("5000"),
                         "MS")("version", "print the version and exit")(
      "h,help", "print this help")("words", "",
                                   cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"words"});
  return Options;
}

void printHelp(const cxxopts::Options &Options) {
  std::cout << Options.help() << "\nCommands:\n";
  for (const Command &Candidate : Commands)
    std::cout << "  " << Candidate.Name << " " << Candidate.Help << "\n";
  std::cout << "\nExit status: 0 success, 1 faults in a file, 2 bad usage, 3 "
               "another operator's rules\nare in force, 4 not known whether "
               "the rules were accepted, 5 no answer.\n";
}

Endpoint toEndpoint(const std::string &Text) {
  Expected<Endpoint> Address = internal::parseEndpoint(Text);
  if (!Address)
    throw cxxopts::exceptions::incorrect_argument_type(Text);
  return *Address;
}

Arguments makeArguments(const cxxopts::ParseResult &Parsed) {
  Arguments Args;
  const auto &Words = Parsed["words"].as<std::vector<std::string>>();
  Args.Operands.assign(Words.begin() + 1, Words.end());
  if (Parsed.count("platform"))
    Args.Platform = toEndpoint(Parsed["platform"].as<std::string>());
  if (Parsed.count("node"))
    for (const auto &Node : Parsed["node"].as<std::vector<std::string>>())
      Args.Nodes.push_back(toEndpoint(Node));
  if (Parsed.count("logs"))
    Args.Logs = Parsed["logs"].as<std::vector<std::string>>();
  if (Parsed.count("base"))
    Args.Base = Parsed["base"].as<std::uint64_t>();
  if (Parsed.count("out"))
    Args.Out = Parsed["out"].as<std::string>();
  Args.Timeout =
      std::chrono::milliseconds(Parsed["timeout-ms"].as<std::uint32_t>());
  return Args;
}

int run(int Count, char **Argv) {
  cxxopts::Options Options = makeOptions();
  const cxxopts::ParseResult Parsed = Options.parse(Count, Argv);
  if (Parsed.count("help")) {
    printHelp(Options);
    return Success;
  }
  if (Parsed.count("version")) {
    std::cout << "balsamyardctl " BALSAMYARD_VERSION "\n";
    return Success;
  }
  if (Parsed.count("words"))
    for (const Command &Candidate : Commands)
      if (Candidate.Name ==
          Parsed["words"].as<std::vector<std::string>>().front())
        return Candidate.Run(makeArguments(Parsed));
  std::cerr << "balsamyardctl: expected a command; see --help\n";
  return BadUsage;
}

} // namespace

int main(int Count, char **Argv) {
  try {
    return run(Count, Argv);
  } catch (const std::exception &Fault) {
    std::cerr << "balsamyardctl: " << Fault.what() << "; see --help\n";
    return BadUsage;
  }
}
