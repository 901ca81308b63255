#include "apps/balsamyard-replay/Driver.h"
#include "balsamyard/src/Version/Catalog.h"

#include <asio/ip/address.hpp>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace balsamyard;
using namespace balsamyard::replay;

namespace {

enum ExitStatus { Success = 0, NotMet = 1, BadUsage = 2 };

/// Speeds beyond this would only measure the driver.
constexpr double MaxSpeed = 1000;

/// A usage fault that ends the program.
struct UsageFault {
  std::string Detail;
};

cxxopts::Options makeOptions() {
  cxxopts::Options Options(
      "balsamyard-replay",
      "Drives a recorded trace against entry processes at its recorded times, "
      "and compares\nthe figures of the run with stated bounds.\n");
  Options.positional_help("TRACE EXPECT");
  auto Text = [] { return cxxopts::value<std::string>(); };
  Options.add_options()("entry", "entry address, may be repeated",
                        cxxopts::value<std::vector<std::string>>(), "IP:PORT")(
      "platform", "platform that takes the rules of the trace", Text(),
      "IP:PORT")("catalogs",
                 "folder of service catalogs; after the run, the stand-in "
                 "targets in them are asked which writes they executed",
                 Text(), "FOLDER")(
      "seed", "seed of the choice of entry addresses and of fresh ids",
      cxxopts::value<std::uint64_t>()->default_value("1"),
      "NUMBER")("speed", "1 is as recorded, 2 twice as fast",
                cxxopts::value<double>()->default_value("1"), "FACTOR")(
      "fresh-ids", "replace recorded request ids by new UUIDv7")(
      "out", "write each request's result to this file as JSON lines", Text(),
      "FILE")("version", "print the version and exit")(
      "h,help", "print this help")("files", "",
                                   cxxopts::value<std::vector<std::string>>());
  Options.parse_positional({"files"});
  return Options;
}

const char *Notes =
    "\nTRACE has one JSON object per line: at_ms, kind, and\n"
    "  search, write: service, route, id, deadline_ms, body (object),\n"
    "                 repeatable, coverage (optional)\n"
    "  fault:         url (http://IP:PORT/PATH), body (object to POST)\n"
    "  rules:         body (text of the rules file)\n"
    "EXPECT is {\"FIGURE\": {\"min\": NUMBER, \"max\": NUMBER}, ..}; the "
    "figures are those of\nthe last line of the output.\n"
    "Exit status: 0 every bound is met, 1 one is not, 2 bad usage or input.\n";

/// Load goes to loopback addresses only.
Endpoint parseEndpoint(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  int Port = 0;
  int Used = 0;
  if (Colon != std::string::npos)
    std::sscanf(Text.c_str() + Colon + 1, "%d%n", &Port, &Used);
  if (Port < 1 || Port > 65535 || Colon + 1 + Used != Text.size())
    throw UsageFault{"\"" + Text + "\" is not IP:PORT"};
  return {Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

void requireLoopback(const Endpoint &To) {
  asio::error_code Fault;
  asio::ip::address Address = asio::ip::make_address(To.Address, Fault);
  if (Fault || !Address.is_loopback())
    throw UsageFault{"\"" + To.Address + "\" is not a loopback address"};
}

std::string readWhole(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    throw UsageFault{File + ": cannot be read"};
  return Text.str();
}

[[noreturn]] void refuse(const std::string &File,
                         const std::vector<ReplayFileFault> &Faults) {
  std::string Detail = File + " has faults:";
  for (const ReplayFileFault &Fault : Faults)
    Detail.append("\n")
        .append(File)
        .append(":")
        .append(std::to_string(Fault.Line))
        .append(": ")
        .append(Fault.Detail);
  throw UsageFault{Detail};
}

std::vector<Endpoint> targetsBelow(const std::string &Folder) {
  std::vector<Endpoint> Targets;
  std::error_code Fault;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Fault)) {
    Expected<ServiceCatalog> Catalog =
        parseCatalog(readWhole(Entry.path().string()));
    if (!Catalog)
      throw UsageFault{Entry.path().string() + ": " + Catalog.error().Detail};
    for (const CatalogLeaf &Leaf : Catalog->Leaves)
      for (const CatalogSlot &Slot : Leaf.Slots) {
        requireLoopback(Slot.Address);
        Targets.push_back(Slot.Address);
      }
  }
  if (Fault || Targets.empty())
    throw UsageFault{Folder + ": no catalog found"};
  return Targets;
}

std::string number(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

std::string bound(const std::optional<double> &Value) {
  return Value ? number(*Value) : "-";
}

void printReport(const ReplayFigures &Figures,
                 const std::vector<ReplayCheck> &Checks) {
  std::printf("%-20s %12s %12s %12s\n", "figure", "value", "minimum",
              "maximum");
  for (const auto &[Figure, Value] : Figures) {
    const ReplayCheck *Found = nullptr;
    for (const ReplayCheck &Check : Checks)
      if (Check.Bound.Figure == Figure)
        Found = &Check;
    std::printf("%-20s %12s %12s %12s%s\n", Figure.c_str(),
                number(Value).c_str(),
                Found ? bound(Found->Bound.Minimum).c_str() : "",
                Found ? bound(Found->Bound.Maximum).c_str() : "",
                !Found ? "" : (Found->Met ? "  met" : "  NOT MET"));
  }
  nlohmann::ordered_json Last = nlohmann::ordered_json::object();
  for (const auto &[Figure, Value] : Figures)
    if (Value == static_cast<double>(static_cast<std::int64_t>(Value)))
      Last[Figure] = static_cast<std::int64_t>(Value);
    else
      Last[Figure] = Value;
  Last["not_met"] = nlohmann::json::array();
  for (const ReplayCheck &Check : Checks)
    if (!Check.Met)
      Last["not_met"].push_back(Check.Bound.Figure);
  std::printf("%s\n", Last.dump().c_str());
}

ExitStatus run(const cxxopts::ParseResult &Given) {
  if (Given.count("files") == 0 ||
      Given["files"].as<std::vector<std::string>>().size() != 2)
    throw UsageFault{"TRACE and EXPECT are needed"};
  const auto &Files = Given["files"].as<std::vector<std::string>>();

  DriverOptions Options;
  if (Given.count("entry") == 0)
    throw UsageFault{"--entry is needed"};
  for (const std::string &Text :
       Given["entry"].as<std::vector<std::string>>()) {
    Options.Entries.push_back(parseEndpoint(Text));
    requireLoopback(Options.Entries.back());
  }
  if (Given.count("platform") > 0) {
    Options.Platform = parseEndpoint(Given["platform"].as<std::string>());
    requireLoopback(*Options.Platform);
  }
  Options.Seed = Given["seed"].as<std::uint64_t>();
  Options.Speed = Given["speed"].as<double>();
  if (!(Options.Speed > 0 && Options.Speed <= MaxSpeed))
    throw UsageFault{"--speed has to be above 0 and at most 1000"};
  Options.FreshIds = Given.count("fresh-ids") > 0;

  std::ifstream TraceFile(Files[0], std::ios::binary);
  if (!TraceFile)
    throw UsageFault{Files[0] + ": cannot be read"};
  auto Trace = parseTrace(TraceFile);
  if (!Trace)
    refuse(Files[0], Trace.error());
  auto Bounds = parseExpectations(readWhole(Files[1]));
  if (!Bounds)
    refuse(Files[1], Bounds.error());
  for (const ReplayEvent &Event : *Trace) {
    if (const auto *Fault = std::get_if<ReplayFault>(&Event.Body))
      requireLoopback(Fault->To);
    if (std::holds_alternative<ReplayRules>(Event.Body) && !Options.Platform)
      throw UsageFault{Files[0] + ":" + std::to_string(Event.Line) +
                       ": rules need --platform"};
  }
  std::vector<Endpoint> Targets;
  if (Given.count("catalogs") > 0)
    Targets = targetsBelow(Given["catalogs"].as<std::string>());
  std::ofstream Out;
  if (Given.count("out") > 0) {
    Out.open(Given["out"].as<std::string>(), std::ios::binary);
    if (!Out)
      throw UsageFault{Given["out"].as<std::string>() + ": cannot be written"};
  }

  Driver Driving(Options);
  std::vector<ReplayResult> Results =
      Driving.run(*Trace, [](const DriverProgress &Now) {
        std::fprintf(stderr, "%5.0f s  started %zu of %zu, ended %zu\n",
                     std::chrono::duration<double>(Now.Elapsed).count(),
                     Now.Started, Now.Total, Now.Ended);
      });
  for (const ReplayResult &Each : Results)
    if (Out.is_open())
      Out << toJsonLine(Each) << '\n';

  ReplayExecutions Executed;
  if (!Targets.empty()) {
    Expected<ReplayExecutions> Read = readExecutions(Targets);
    if (!Read) {
      std::cerr << "balsamyard-replay: " << Read.error().Detail << '\n';
      return NotMet;
    }
    Executed = std::move(*Read);
  }
  ReplayFigures Figures = summarize(Results, Executed);
  Figures["command_failures"] = static_cast<double>(Driving.commandFailures());
  std::vector<ReplayCheck> Checks = compare(*Bounds, Figures);
  printReport(Figures, Checks);
  for (const ReplayCheck &Check : Checks)
    if (!Check.Met)
      return NotMet;
  return Success;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options = makeOptions();
  try {
    cxxopts::ParseResult Given = Options.parse(Count, Arguments);
    if (Given.count("help") > 0) {
      std::cout << Options.help() << Notes;
      return Success;
    }
    if (Given.count("version") > 0) {
      std::cout << "balsamyard-replay " BALSAMYARD_VERSION "\n";
      return Success;
    }
    return run(Given);
  } catch (const UsageFault &Fault) {
    std::cerr << "balsamyard-replay: " << Fault.Detail << "; see --help\n";
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-replay: " << Fault.what() << "; see --help\n";
  }
  return BadUsage;
}
