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

/// At higher speeds a run would measure only the driver.
constexpr double MaxSpeed = 1000;

/// Invalid usage or input; ends the program with BadUsage.
struct UsageError {
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

const char *HelpNotes =
    "\nTRACE has one JSON object per line: at_ms, kind, and\n"
    "  search, write: service, route, id, deadline_ms, body (object),\n"
    "                 repeatable, coverage (optional)\n"
    "  fault:         url (http://IP:PORT/PATH), body (object to POST)\n"
    "  rules:         body (text of the rules file)\n"
    "EXPECT is {\"FIGURE\": {\"min\": NUMBER, \"max\": NUMBER}, ..}; the "
    "figures are those of\nthe last line of the output.\n"
    "Exit status: 0 every bound is met, 1 one is not, 2 bad usage or input.\n";

Endpoint parseEndpoint(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  int Port = 0;
  int Used = 0;
  if (Colon != std::string::npos)
    std::sscanf(Text.c_str() + Colon + 1, "%d%n", &Port, &Used);
  if (Port < 1 || Port > 65535 || Colon + 1 + Used != Text.size())
    throw UsageError{"\"" + Text + "\" is not IP:PORT"};
  return {Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
}

/// Throws if \p To is not a loopback address: no load may leave the machine.
void requireLoopback(const Endpoint &To) {
  asio::error_code Fault;
  asio::ip::address Address = asio::ip::make_address(To.Address, Fault);
  if (Fault || !Address.is_loopback())
    throw UsageError{"\"" + To.Address + "\" is not a loopback address"};
}

std::string readFile(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Text;
  if (!In || !(Text << In.rdbuf()))
    throw UsageError{File + ": cannot be read"};
  return Text.str();
}

[[noreturn]] void throwFileFaults(const std::string &File,
                                  const std::vector<ReplayFileFault> &Faults) {
  std::string Detail = File + " has faults:";
  for (const ReplayFileFault &Fault : Faults)
    Detail.append("\n")
        .append(File)
        .append(":")
        .append(std::to_string(Fault.Line))
        .append(": ")
        .append(Fault.Detail);
  throw UsageError{Detail};
}

std::vector<Endpoint> readTargetAddresses(const std::string &Folder) {
  std::vector<Endpoint> Targets;
  std::error_code Fault;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Fault)) {
    Expected<ServiceCatalog> Catalog =
        parseCatalog(readFile(Entry.path().string()));
    if (!Catalog)
      throw UsageError{Entry.path().string() + ": " + Catalog.error().Detail};
    for (const CatalogLeaf &Leaf : Catalog->Leaves)
      for (const CatalogSlot &Slot : Leaf.Slots) {
        requireLoopback(Slot.Address);
        Targets.push_back(Slot.Address);
      }
  }
  if (Fault || Targets.empty())
    throw UsageError{Folder + ": no catalog found"};
  return Targets;
}

std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

std::string formatBound(const std::optional<double> &Value) {
  return Value ? formatNumber(*Value) : "-";
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
                formatNumber(Value).c_str(),
                Found ? formatBound(Found->Bound.Minimum).c_str() : "",
                Found ? formatBound(Found->Bound.Maximum).c_str() : "",
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

ExitStatus run(const cxxopts::ParseResult &Parsed) {
  if (Parsed.count("files") == 0 ||
      Parsed["files"].as<std::vector<std::string>>().size() != 2)
    throw UsageError{"TRACE and EXPECT are needed"};
  const auto &Files = Parsed["files"].as<std::vector<std::string>>();

  DriverOptions Options;
  if (Parsed.count("entry") == 0)
    throw UsageError{"--entry is needed"};
  for (const std::string &Text :
       Parsed["entry"].as<std::vector<std::string>>()) {
    Options.Entries.push_back(parseEndpoint(Text));
    requireLoopback(Options.Entries.back());
  }
  if (Parsed.count("platform") > 0) {
    Options.Platform = parseEndpoint(Parsed["platform"].as<std::string>());
    requireLoopback(*Options.Platform);
  }
  Options.Seed = Parsed["seed"].as<std::uint64_t>();
  Options.Speed = Parsed["speed"].as<double>();
  if (!(Options.Speed > 0 && Options.Speed <= MaxSpeed))
    throw UsageError{"--speed has to be above 0 and at most 1000"};
  Options.FreshIds = Parsed.count("fresh-ids") > 0;

  std::ifstream TraceFile(Files[0], std::ios::binary);
  if (!TraceFile)
    throw UsageError{Files[0] + ": cannot be read"};
  auto Trace = parseTrace(TraceFile);
  if (!Trace)
    throwFileFaults(Files[0], Trace.error());
  auto Bounds = parseExpectations(readFile(Files[1]));
  if (!Bounds)
    throwFileFaults(Files[1], Bounds.error());
  for (const ReplayEvent &Event : *Trace) {
    if (const auto *Fault = std::get_if<ReplayFault>(&Event.Body))
      requireLoopback(Fault->To);
    if (std::holds_alternative<ReplayRules>(Event.Body) && !Options.Platform)
      throw UsageError{Files[0] + ":" + std::to_string(Event.Line) +
                       ": rules need --platform"};
  }
  std::vector<Endpoint> Targets;
  if (Parsed.count("catalogs") > 0)
    Targets = readTargetAddresses(Parsed["catalogs"].as<std::string>());
  std::ofstream Out;
  if (Parsed.count("out") > 0) {
    Out.open(Parsed["out"].as<std::string>(), std::ios::binary);
    if (!Out)
      throw UsageError{Parsed["out"].as<std::string>() + ": cannot be written"};
  }

  Driver TraceDriver(Options);
  std::vector<ReplayResult> Results =
      TraceDriver.run(*Trace, [](const DriverProgress &Progress) {
        std::fprintf(stderr, "%5.0f s  started %zu of %zu, ended %zu\n",
                     std::chrono::duration<double>(Progress.Elapsed).count(),
                     Progress.Started, Progress.Total, Progress.Ended);
      });
  for (const ReplayResult &Result : Results)
    if (Out.is_open())
      Out << toJsonLine(Result) << '\n';

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
  Figures["command_failures"] =
      static_cast<double>(TraceDriver.commandFailures());
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
    cxxopts::ParseResult Parsed = Options.parse(Count, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help() << HelpNotes;
      return Success;
    }
    if (Parsed.count("version") > 0) {
      std::cout << "balsamyard-replay " BALSAMYARD_VERSION "\n";
      return Success;
    }
    return run(Parsed);
  } catch (const UsageError &Fault) {
    std::cerr << "balsamyard-replay: " << Fault.Detail << "; see --help\n";
  } catch (const cxxopts::exceptions::exception &Fault) {
    std::cerr << "balsamyard-replay: " << Fault.what() << "; see --help\n";
  }
  return BadUsage;
}
