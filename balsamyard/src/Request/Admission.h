#pragma once

#include "balsamyard/src/Connection/SlotStats.h"
#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief What is known when a request arrives.
struct Arrival {
  Duration TimeLeft{};               ///< Until its deadline.
  std::uint32_t InFlight = 0;        ///< Requests of the process, without it.
  std::uint32_t Limit = 0;           ///< Highest number of requests.
  std::uint32_t ServiceInFlight = 0; ///< Requests of its service, without it.
  Duration HalfTime{};               ///< \sa ServiceStats::halfTime
  double AverageInFlight = 0;        ///< \sa ServiceStats::averageInFlight
};

/// \brief Requests of a service that are admitted whatever the prediction, so
/// that its recovery is seen.
inline constexpr std::uint32_t ProbeRequests = 4;

/// \returns the time after which half of the leaves will probably have
/// answered: the recent average, scaled by how much busier the service is now.
Duration predictedWait(const Arrival &Request);

/// \returns Ok, DeadlineExpired, or Overloaded for a request that the limit or
/// the predicted wait forbids.
Code admit(const Arrival &Request);

/// \brief Counts the requests in flight of the process. Thread-safe.
class InFlightLimit {
public:
  explicit InFlightLimit(std::uint32_t Limit) : Limit(Limit) {}

  std::uint32_t limit() const { return this->Limit; }
  std::uint32_t count() const {
    return this->Count.load(std::memory_order_relaxed);
  }

  /// \brief Takes a place. \returns false if none is free.
  bool enter();
  void leave() { this->Count.fetch_sub(1, std::memory_order_relaxed); }

private:
  const std::uint32_t Limit;
  std::atomic<std::uint32_t> Count{0};
};

} // namespace balsamyard
