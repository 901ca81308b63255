#pragma once

#include "balsamyard/src/Process/Node.h"
#include "platform/Platform.h"
#include "tests/path/FakeFleet.h"
#include "tests/path/PathWorld.h"

#include <csignal>
#include <unistd.h>

namespace balsamyard::test {

using nlohmann::json;

inline std::string record(char First) {
  return std::string(1, First) + "fifteen bytes..";
}

/// \brief A fake store with targets, and a node that starts on request.
struct PlatformWorld {
  FakeStore Store;
  std::vector<std::unique_ptr<FakeTarget>> Targets;
  json Config = {{"version", 7},
                 {"routes", json::array()},
                 {"services", json::array()},
                 {"limits",
                  {{"maxHeaderBytes", 4096},
                   {"maxBodyBytes", 4096},
                   {"headerTimeoutMs", 2000},
                   {"idleTimeoutMs", 20000}}}};
  Duration StopTime = 6 * Second;
  std::unique_ptr<Node> Process;
  std::thread Thread;

  ~PlatformWorld() { this->stop(); }

  FakeTarget &add(const std::string &Service, const std::string &Id,
                  const std::string &Record, Behaviour Acts,
                  const std::string &State = "ready",
                  const std::string &Version = "v1") {
    this->Targets.push_back(
        std::make_unique<FakeTarget>(Id, Record, std::move(Acts)));
    this->announce(Service, *this->Targets.back(), State, Version);
    return *this->Targets.back();
  }

  void announce(const std::string &Service, const FakeTarget &Target,
                const std::string &State, const std::string &Version) {
    this->announce(Service, Target.Id, Target.address(), State, Version);
  }

  void announce(const std::string &Service, const std::string &Id,
                const std::string &Address, const std::string &State = "ready",
                const std::string &Version = "v1") {
    this->Store.put("servers", Id,
                    {{"service", Service},
                     {"address", Address},
                     {"zone", "east"},
                     {"version", Version},
                     {"slots", 3},
                     {"state", State},
                     {"warmupLeftMs", 0},
                     {"sequence", 1},
                     {"born", 1}});
  }

  void addRoute(const std::string &Prefix, json Route) {
    Route["name"] = "route-" + Prefix;
    Route["host"] = "a.example";
    Route["pathPrefix"] = Prefix;
    Route.emplace("type", "idempotent");
    Route.emplace("timeoutMs", 2000);
    Route.emplace("targetLatencyMs", 400);
    Route.emplace("attempts", 2);
    this->Config["routes"].push_back(Route);
  }

  void start() {
    this->Store.put("config", "main", this->Config);
    NodeSettings Settings;
    Settings.Node.Text = "node-1";
    Settings.Domain.Text = "east";
    Settings.Region.Text = "north";
    Settings.Regions[Settings.Domain] = Settings.Region;
    Settings.Callers = {"127.0.0.1", 0};
    Settings.Readiness = {"127.0.0.1", 0};
    const std::string Address = this->Store.address();
    Settings.Store = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(
                                       Address.substr(Address.find(':') + 1)))};
    Settings.Cores = 2;
    Settings.Bounds.RetrySlack = 1000;
    Settings.Bounds.StopTime = this->StopTime;
    this->Process = std::make_unique<Node>(
        Settings, platform::makeAdapter(),
        [Settings] { return Expected<NodeSettings>(Settings); }, "",
        StopTimes{100 * Millisecond, 100 * Millisecond, 10 * Millisecond});
    this->Thread = std::thread([this] { this->Process->run(); });
    while (this->readiness() != 200)
      ::usleep(2000);
  }

  void stop() {
    if (!this->Thread.joinable())
      return;
    ::kill(::getpid(), SIGTERM);
    this->Thread.join();
  }

  int readiness() {
    FakeCaller Balancer(this->Process->readinessPort());
    return Balancer
        .ask("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .Status;
  }

  FakeCaller caller() { return FakeCaller(this->Process->callerPort()); }
};

inline std::string get(const std::string &Path, const std::string &Id = "id-1",
                       const std::string &More = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\n" +
         "X-Balsamyard-Attempt-Id: " + Id +
         "\r\nX-Balsamyard-Request-Deadline: 2000\r\n" + More + "\r\n";
}

inline std::string field(const HttpResponse &Response, const char *Name) {
  const std::string *Value = Response.Fields.find(Name);
  return Value == nullptr ? "" : *Value;
}

} // namespace balsamyard::test
