#pragma once

#include "balsamyard/src/Core/Names.h"

#include <chrono>
#include <httplib.h>
#include <thread>

namespace balsamyard {

/// \brief Runs an HTTP server on a loopback port for the time of a test.
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

} // namespace balsamyard
