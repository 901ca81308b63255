#pragma once

#include "balsamyard/src/Connection/ServerConnection.h"
#include "balsamyard/src/Connection/TargetChannel.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/LatencyQuantile.h"
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

/// \brief State shared by the requests of one I/O thread.
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

  /// Set late in a planned stop: requests are rejected, since they might not
  /// end before the process does.
  bool IsStopping = false;

  /// When the thread is next due to check its connections. If that is overdue,
  /// a request that is read now may have waited for as long.
  TimePoint NextTick{};

  /// Time by which answers that were due at their goal left later. A busy VM
  /// needs it to handle the timer, to merge the parts and to send the answer.
  LatencyQuantile GoalLag{0.8, std::chrono::milliseconds(1)};

  /// A longer lag is an exception, such as a pause of the whole VM.
  static constexpr Duration MaxGoalLag = std::chrono::milliseconds(30);
};

/// \brief Maximum number of requests in flight in the process. Each holds its
/// body and the received parts, about 20 KB, so all together use less than a
/// tenth of the memory.
inline constexpr std::uint32_t MaxRequestsInFlight = 1024;

/// \brief Estimated time outside this process: setting up the connection,
/// receiving the request, and sending the answer to the caller.
inline constexpr Duration CallerNetworkTime = std::chrono::milliseconds(18);

/// \brief A running request of a caller: performs the effects of its Scatter
/// state machine on the connections of the thread.
class RequestRun : public RefCounted<RequestRun> {
public:
  /// \brief Starts to process a request; the answer is sent immediately or
  /// later.
  static void start(RequestContext &Context, ServerConnection &Caller,
                    HttpRequest Request);

  /// \brief Ends the request of \p Caller, if there is one, with a final
  /// answer.
  static void stop(ServerConnection &Caller);

  /// \brief Aborts the attempts of a request whose caller disconnected.
  static void callerDisconnected(ServerConnection &Caller);

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
  void reportOutcome(const CallerAnswer &Answer) const;

  /// \brief Reports the attempts whose connection ended. \returns whether
  /// there were any.
  bool reportBroken() const;
  void log(const CallerAnswer &Answer, TimePoint Now) const;

  RequestContext &Context;
  Ref<ServerConnection> Caller;
  const HttpRequest Request;
  const std::string RequestId;
  const std::string SharedHead;
  Scatter Decisions;
  asio::steady_timer Timer;
  /// By AttemptIndex. Null for attempts that were withdrawn before they were
  /// submitted.
  std::vector<Ref<LinkCall>> Calls;
  TimePoint Arrived;
  TimePoint WakeAt{};
  bool Released = false;
};

} // namespace balsamyard
