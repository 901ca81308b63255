#pragma once

#include "apps/standin-platform/PlatformStandIn.h"

#include <catch2/catch.hpp>
#include <thread>

namespace balsamyard {

/// Runs an HTTP server on a loopback port for the time of a test.
class LocalServer {
public:
  LocalServer() = default;
  ~LocalServer() { this->stop(); }

  Endpoint start() {
    int Port = this->Server.bind_to_any_port("127.0.0.1");
    this->Serving = std::thread([this] { this->Server.listen_after_bind(); });
    while (!this->Server.is_running())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
  }
  void stop() {
    if (!this->Serving.joinable())
      return;
    this->Server.stop();
    this->Serving.join();
  }

  httplib::Server Server;

private:
  std::thread Serving;
};

/// Runs the platform stand-in on a loopback port for the time of a test.
class LocalPlatform {
public:
  LocalPlatform() {
    this->StandIn.mount(this->Local.Server, 16);
    this->At = this->Local.start();
  }
  ~LocalPlatform() { this->StandIn.stop(); }

  standin::PlatformStandIn StandIn;
  LocalServer Local;
  Endpoint At;
};

inline void setFault(const Endpoint &At, const std::string &Body) {
  httplib::Client Client(At.Address, At.Port);
  REQUIRE(Client.Post("/fault", Body, "application/json")->status == 200);
}

} // namespace balsamyard
