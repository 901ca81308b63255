#pragma once

#include "TargetModel.h"

#include <memory>

namespace standin {

/// \brief Serves one TargetModel over HTTP.
class TargetServer {
public:
  explicit TargetServer(TargetSettings Settings);
  ~TargetServer();

  /// \brief Binds the port and starts to accept connections.
  /// \returns the bound address.
  balsamyard::Expected<balsamyard::Endpoint> start();

  /// \brief Closes all connections and waits for their threads.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace standin
