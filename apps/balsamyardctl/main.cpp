#include "apps/balsamyardctl/Commands.h"
#include "balsamyard/src/Version/internal/NameText.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

namespace balsamyard::ctl {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream) {
    std::cerr << Path << ": cannot be read\n";
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(Stream), {}};
}

std::optional<Endpoint> addressOption(const cxxopts::ParseResult &Options,
                                      const std::string &Name) {
  Expected<Endpoint> Address =
      internal::parseEndpoint(Options[Name].as<std::string>());
  if (Address)
    return *Address;
  std::cerr << "balsamyardctl: --" << Name << ": " << Address.error().Detail
            << "\n";
  return std::nullopt;
}

int report(const Error &Fault) {
  std::cerr << "balsamyardctl: " << static_cast<int>(Fault.Value) << " "
            << name(Fault.Value) << ": " << Fault.Detail << "\n";
  return Failure;
}

namespace {

const char *const Usage =
    "Checks and changes the rules, and shows what balsamyard does.\n\n"
    "Commands:\n"
    "  check FILE     checks a rules file\n"
    "  fetch FILE     writes the accepted rules to FILE and notes their "
    "version\n"
    "  diff FILE      shows what apply would change\n"
    "  apply FILE     makes FILE the accepted rules, if it is based on the\n"
    "                 newest: on --base, or on the version fetched last\n"
    "  status         shows version moves, targets and configuration\n"
    "  explain ID     tells what happened to a request, from log files\n"
    "  timeline       lists the events of log files in order\n\n"
    "Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 faults in the\n"
    "rules, 4 another operator changed the rules and nothing was applied, 5 "
    "it\n"
    "is not known whether the rules were accepted, 6 diff found differences.\n";

cxxopts::Options makeOptions() {
  cxxopts::Options Options("balsamyardctl", Usage);
  Options.positional_help("COMMAND [FILE or ID]");
  Options.add_options()("command", "", cxxopts::value<std::string>(),
                        "COMMAND")(
      "subject", "", cxxopts::value<std::vector<std::string>>(), "SUBJECT")(
      "platform", "address of the platform",
      cxxopts::value<std::string>()->default_value("127.0.0.1:9000"),
      "IP:PORT")("base", "version of the rules that FILE is based on",
                 cxxopts::value<std::uint64_t>(), "VERSION")(
      "nodes", "status: HTTP addresses of processes",
      cxxopts::value<std::vector<std::string>>(),
      "IP:PORT,..")("logs", "explain, timeline: log files",
                    cxxopts::value<std::vector<std::string>>(), "FILE,..")(
      "request", "timeline: only this request", cxxopts::value<std::string>(),
      "ID")("target", "timeline: only this target",
            cxxopts::value<std::string>(), "SERVICE/LEAF/SLOT")(
      "target-version", "timeline: only this back end version",
      cxxopts::value<std::string>(),
      "NAME")("domain", "timeline: only this failure domain",
              cxxopts::value<std::string>(), "NAME")("help", "print this text")(
      "version", "print the version");
  Options.parse_positional({"command", "subject"});
  return Options;
}

int run(int ArgumentCount, char **Arguments) {
  static const std::map<std::string, int (*)(const cxxopts::ParseResult &)>
      Commands = {{"check", &runCheck},      {"diff", &runDiff},
                  {"apply", &runApply},      {"fetch", &runFetch},
                  {"status", &runStatus},    {"explain", &runExplain},
                  {"timeline", &runTimeline}};
  cxxopts::Options Options = makeOptions();
  try {
    cxxopts::ParseResult Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help();
      return Success;
    }
    if (Parsed.count("version")) {
      std::cout << "balsamyardctl " BALSAMYARD_VERSION "\n";
      return Success;
    }
    auto Found = Parsed.count("command")
                     ? Commands.find(Parsed["command"].as<std::string>())
                     : Commands.end();
    if (Found == Commands.end()) {
      std::cerr << "balsamyardctl: expected a command: check, diff, apply, "
                   "fetch, status, explain or timeline\n";
      return BadUsage;
    }
    return Found->second(Parsed);
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyardctl: " << Fault.what() << "\n";
    return BadUsage;
  }
}

} // namespace

} // namespace balsamyard::ctl

int main(int ArgumentCount, char **Arguments) {
  return balsamyard::ctl::run(ArgumentCount, Arguments);
}
