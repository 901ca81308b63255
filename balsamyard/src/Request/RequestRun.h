#pragma once

#include "balsamyard/src/Connection/ServerConnection.h"
#include "balsamyard/src/Connection/TargetChannel.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Request/Scatter.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamyard {

class Metrics;

/// \brief What the requests of one I/O thread share.
struct RequestContext {
  asio::io_context &Io;
  TargetChannels &Channels;
  const TargetProtocol &Protocol;
  const RcuCell<FleetView> &View;
  Metrics &Counters;
  std::atomic<std::uint32_t> &InFlight; ///< Of the process.
  std::uint64_t NextSeed = 0;
  std::string ThreadLabel; ///< Of this thread's metrics.

  /// May be called from any thread.
  std::function<void(RequestCrashEvent)> OnCrashEvent;
};

/// \brief Requests that the process handles at once. Each holds its body and
/// its parts; at about 20 KB each they stay below a tenth of the memory.
inline constexpr std::uint32_t MaxRequestsInFlight = 1024;

/// \brief Time that the answer needs to the caller, with the time that the
/// request and its connection needed before they were seen here.
inline constexpr Duration CallerTravel = std::chrono::milliseconds(18);

/// \brief One request of a caller while it runs: carries out what Scatter
/// decides on the connections of the thread.
class RequestRun : public RefCounted<RequestRun> {
public:
  /// \brief Answers a request, at once or later.
  static void start(RequestContext &Context, ServerConnection &Caller,
                    HttpRequest Request);

  /// \brief The caller left: its work at targets ends.
  static void callerGone(ServerConnection &Caller);

  RequestRun(RequestContext &Context, ServerConnection &Caller,
             HttpRequest Request, ScatterInput Input);

private:
  void handle(ScatterEvent Event);
  void perform(const ScatterEffects &Effects);
  void on(const SubmitAttempt &Effect);
  void on(const WithdrawAttempt &Effect);
  void on(const AttemptLate &Effect);
  void on(const WakeScatter &Effect);
  void on(const ScatterFinished &Effect);
  void onEnd(AttemptIndex Attempt, Expected<HttpResponse> Result, bool Sent);
  void release();
  void reportCrash(const CallerAnswer &Answer) const;
  void log(const CallerAnswer &Answer, TimePoint Now) const;

  RequestContext &Context;
  Ref<ServerConnection> Caller;
  const HttpRequest Request;
  const std::string RequestId;
  const std::string SharedHead;
  Scatter Decisions;
  asio::steady_timer Timer;
  std::vector<Ref<LinkCall>> Calls; ///< By AttemptIndex.
  TimePoint Arrived;
  TimePoint WakeAt{};
  bool Released = false;
};

} // namespace balsamyard
