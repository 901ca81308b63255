#pragma once

#include "apps/balsamyard-entry/EntryState.h"

#include <string>

namespace balsamyard::entry {

/// \brief Answer to `GET /health`.
struct HealthPage {
  int Status = 200;
  std::string Json;
};

/// \returns 200 with state ready, or 503 with state not-ready or leaving.
HealthPage healthPage(const EntryState &State);

/// \returns the JSON answer to `GET /v1/status`.
std::string statusPage(const EntryState &State);

/// \returns the answer to `GET /metrics` in the Prometheus text format.
std::string metricsPage(EntryState &State);

} // namespace balsamyard::entry
