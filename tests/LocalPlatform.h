#pragma once

#include "apps/standin-platform/PlatformStandIn.h"
#include "tests/LocalServer.h"

#include <catch2/catch.hpp>

namespace balsamyard {

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
