#include "Commands.h"

#include "balsamyard/src/Process/PlatformClient.h"
#include "balsamyard/src/Version/VersionMove.h"

#include <httplib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace balsamyard::ctl {

namespace {

using Json = nlohmann::json;

/// \returns the status page, or nothing after printing why it is missing.
std::optional<Json> readStatusPage(const Endpoint &Node, Duration Timeout) {
  httplib::Client Client(Node.Address, Node.Port);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(Timeout);
  Client.set_read_timeout(Timeout);
  const httplib::Result Answer = Client.Get("/v1/status");
  if (!Answer || Answer->status != 200) {
    std::cout << toText(Node) << ": does not answer\n";
    return std::nullopt;
  }
  Json Page = Json::parse(Answer->body, nullptr, false);
  if (Page.is_object())
    return Page;
  std::cout << toText(Node) << ": the status page cannot be read\n";
  return std::nullopt;
}

void printCoverage(const Json &Services) {
  for (const Json &Service : Services)
    for (const Json &Version : Service.at("versions"))
      std::cout << "  service " << Service.at("service").get<std::string>()
                << " version " << Version.at("version").get<std::string>()
                << ": " << Version.at("leaves_served") << " of "
                << Service.at("leaves") << " leaves served, snapshot "
                << Service.at("snapshot") << "\n";
}

void printSlots(const Json &Slots) {
  for (const Json &Slot : Slots) {
    std::string State = Slot.at("state").get<std::string>();
    if (State != "warm")
      std::cout << "  target " << Slot.at("target").get<std::string>() << " ("
                << Slot.at("version").get<std::string>() << "): " << State
                << "\n";
  }
}

void printQuarantine(const Json &Entries) {
  for (const Json &Entry : Entries)
    std::cout << "  quarantined: requests with fingerprint "
              << Entry.at("fingerprint") << " for "
              << Entry.at("remaining_ms").get<std::int64_t>() / 1000
              << " s more\n";
}

void printStatusPage(const std::string &Address, const Json &Page) {
  try {
    std::cout << Address << ": node " << Page.at("node").get<std::string>()
              << ", failure domain " << Page.at("domain").get<std::string>()
              << ", configuration version " << Page.at("config")
              << (Page.at("ready").get<bool>() ? ", ready" : ", not ready")
              << (Page.value("leaving", false) || Page.value("stopping", false)
                      ? ", leaving"
                      : "")
              << (Page.value("drained", false) ? ", drained" : "") << "\n";
    if (Page.contains("services"))
      printCoverage(Page.at("services"));
    if (Page.contains("slots"))
      printSlots(Page.at("slots"));
    if (Page.contains("quarantine"))
      printQuarantine(Page.at("quarantine"));
    if (Page.contains("quarantined"))
      std::cout << "  quarantined requests: " << Page.at("quarantined") << "\n";
  } catch (const Json::exception &Fault) {
    std::cout << Address << ": the status page cannot be read: " << Fault.what()
              << "\n";
  }
}

/// \returns whether the moves could be read.
bool printMoves(const Arguments &Args) {
  const Endpoint &Platform = *Args.Platform;
  PlatformClient Client(Platform, Args.Timeout);
  Expected<PlatformListing> Listing = Client.list("shared/moves/");
  if (!Listing) {
    std::cout << "moves: not known, the platform does not answer ("
              << Listing.error().Detail << ")\n";
    return false;
  }
  std::cout << "platform " << toText(Platform) << ": version "
            << Listing->Version << ", " << Listing->Entries.size()
            << " version moves\n";
  bool Complete = true;
  for (const PlatformEntry &Entry : Listing->Entries) {
    Expected<PlatformObject> Object = Client.get(Entry.Name);
    Expected<MoveState> State = Object ? parseMoveState(Object->Value)
                                       : tl::unexpected<Error>(Object.error());
    if (!State) {
      std::cout << "  " << Entry.Name << ": " << State.error().Detail << "\n";
      Complete = false;
      continue;
    }
    std::cout << "  " << State->Service.Text << "/" << State->Route.Text << ": "
              << State->From.Text << " -> " << State->To.Text << " "
              << toText(State->Status);
    if (State->Status == MoveStatus::UnderWay)
      std::cout << ", step " << State->Step + 1 << " of " << MoveSteps.size()
                << ", " << State->Share * 100 << "% of the traffic";
    if (!State->Reason.empty())
      std::cout << ": " << State->Reason;
    std::cout << "\n";
  }
  return Complete;
}

} // namespace

ExitStatus status(const Arguments &Args) {
  if (!Args.Platform && Args.Nodes.empty()) {
    std::cerr << "balsamyardctl: status needs --platform or --node\n";
    return BadUsage;
  }
  bool Complete = !Args.Platform || printMoves(Args);
  for (const Endpoint &Node : Args.Nodes) {
    std::optional<Json> Page = readStatusPage(Node, Args.Timeout);
    Complete = Complete && Page.has_value();
    if (Page)
      printStatusPage(toText(Node), *Page);
  }
  return Complete ? Success : Unreachable;
}

} // namespace balsamyard::ctl
