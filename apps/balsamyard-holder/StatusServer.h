#pragma once

#include "apps/balsamyard-holder/GateService.h"

#include <httplib.h>
#include <thread>

namespace balsamyard::holder {

/// \brief Serves `GET /health`, `/v1/status` and `/metrics`.
class StatusServer {
public:
  StatusServer(HolderState &State, SlotTable &Slots, GateService &Gates);
  ~StatusServer();

  Expected<void> start();
  void stop();

private:
  std::string statusPage() const;

  /// \brief Sets the metrics that are sums over all slots.
  void updateSlotMetrics();

  HolderState &State;
  SlotTable &Slots;
  GateService &Gates;
  httplib::Server Server;
  int ListenSocket = -1;
  std::thread Listener;
};

} // namespace balsamyard::holder
