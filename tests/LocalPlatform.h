#pragma once

#include "apps/standin-platform/PlatformStandIn.h"
#include "tests/LocalServer.h"

#include <catch2/catch.hpp>

namespace balsamyard {

/// Runs the platform stand-in on a loopback port while the object exists.
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

/// Switches a fault of the stand-in on or off.
inline void setFault(const Endpoint &Platform, const std::string &Body) {
  httplib::Client Client(Platform.Address, Platform.Port);
  REQUIRE(Client.Post("/fault", Body, "application/json")->status == 200);
}

} // namespace balsamyard
