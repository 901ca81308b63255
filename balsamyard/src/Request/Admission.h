#pragma once

#include "balsamyard/src/Connection/SlotStats.h"
#include "balsamyard/src/Core/Code.h"
#include "balsamyard/src/Core/Time.h"

#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Load of the process and time left when a request arrives.
struct Arrival {
  Duration TimeLeft{};               ///< Until the deadline of the request.
  std::uint32_t InFlight = 0;        ///< Other requests of the process.
  std::uint32_t Limit = 0;           ///< Maximum number of requests.
  std::uint32_t ServiceInFlight = 0; ///< Other requests of its service.
  Duration MedianLeafTime{};         ///< \sa ServiceStats::medianLeafTime
  double AverageInFlight = 0;        ///< \sa ServiceStats::averageInFlight
};

/// \brief Number of requests in flight per service that are admitted regardless
/// of the prediction, so that the recovery of a service is noticed.
inline constexpr std::uint32_t ProbeRequests = 4;

/// \returns the expected median leaf time: the recent average, scaled by the
/// ratio of current to average requests in flight.
Duration predictedWait(const Arrival &Request);

/// \returns Ok; DeadlineExpired if no time is left; or Overloaded if the limit
/// is reached or the predicted wait exceeds the time left.
Code admit(const Arrival &Request);

/// \brief Limits the requests in flight of the process. Thread-safe.
class InFlightLimit {
public:
  explicit InFlightLimit(std::uint32_t Limit) : Limit(Limit) {}

  std::uint32_t limit() const { return this->Limit; }
  std::uint32_t count() const {
    return this->Count.load(std::memory_order_relaxed);
  }

  /// \brief Counts one more request. \returns false if the limit is reached.
  bool enter();
  /// \brief Ends a request for which enter() returned true.
  void leave() { this->Count.fetch_sub(1, std::memory_order_relaxed); }

private:
  const std::uint32_t Limit;
  std::atomic<std::uint32_t> Count{0};
};

} // namespace balsamyard
