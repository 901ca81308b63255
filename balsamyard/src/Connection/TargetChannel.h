#pragma once

#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/LinkCall.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Version/KnownTarget.h"

#include <boost/intrusive/list.hpp>
#include <unordered_map>
#include <vector>

namespace balsamyard {

/// \brief Timeouts of a channel; the same for all targets.
struct ChannelTimes {
  /// Connecting across regions takes about 50 ms plus 6 ms at the target; 1 s
  /// leaves time to retransmit a lost packet.
  Duration OpenTimeout = std::chrono::seconds(1);

  /// Includes the time that a health request queues for a slot of the target,
  /// like any other request.
  Duration ProbeTimeout = std::chrono::seconds(1);

  /// Initial and maximum backoff between health checks of an unreachable
  /// target.
  Duration MinProbePause = std::chrono::milliseconds(150);
  Duration MaxProbePause = std::chrono::seconds(1);

  /// A target stops work at the deadline of a request; its response that
  /// reports this arrives within this time.
  Duration AnswerGrace = std::chrono::milliseconds(250);

  /// Idle limit until the target advertises a timeout. A close by the target is
  /// detected when it happens.
  Duration IdleLimit = std::chrono::seconds(30);

  /// Targets do not close connections that were idle for less than this time.
  Duration MinIdleLimit = std::chrono::seconds(1);

  /// Subtracted from the idle timeout that the target advertises, because
  /// towards its end a close may already be in flight.
  Duration IdleMargin = std::chrono::milliseconds(500);

  /// Idle limit for targets that are not preferred. Their few connections are
  /// left to the nodes that prefer them.
  Duration SpareIdleLimit = std::chrono::seconds(1);

  /// Connections of a target that crashes end within this time of each other.
  Duration CrashSpread = std::chrono::milliseconds(250);

  /// Pause before the next connection if the target closes one that is open for
  /// less than this time: it is at its connection limit.
  Duration FullPause = std::chrono::milliseconds(500);
};

/// \brief The connections of one I/O thread to one target, and the queue of
/// calls that wait for a free one.
class TargetChannel : public RefCounted<TargetChannel> {
public:
  TargetChannel(asio::io_context &Context, Ref<KnownTarget> Target,
                const TargetProtocol &Protocol, const HttpLimits &Answers = {});

  /// \brief Sends the call as soon as a connection is free.
  void submit(Ref<LinkCall> Call);

  /// \brief Removes a call from the queue if it was not sent.
  void withdraw(LinkCall &Call);

  /// \brief Ends a call at once. If it was sent, its connection is closed, so
  /// that the target drops the work.
  void abort(LinkCall &Call);

  /// \brief Enforces deadlines and idle limits, and starts health checks of an
  /// unreachable target.
  void tick(TimePoint Now);

  /// \brief Opens a connection in advance if one is missing. \returns whether
  /// it did.
  bool preopen();

  /// \returns whether tick() may have something to do. Cheap, as most of the
  /// hundreds of channels of a thread are idle most of the time.
  bool isDue(TimePoint Now) const {
    return Now >= this->NextCheck || this->Retired ||
           this->Target->reach() != Reach::Up;
  }

  /// \brief Applies the connection limit and health path of the target's
  /// service.
  void configure(ConnectionQuota Next, const std::string &NextHealthPath) {
    this->Limit = Next;
    this->HealthPath = NextHealthPath;
    this->NextCheck = {};
  }

  /// \brief Stops sending new requests to the target; running ones finish.
  void retire();

  /// \brief Allows new requests again once the health page has shown whether
  /// the target is cold.
  void resume();

  const KnownTarget &target() const { return *this->Target; }
  bool isRetired() const { return this->Retired; }
  bool isIdle() const { return this->Links.empty() && this->Waiting.empty(); }

private:
  struct LinkEntry : RefCounted<LinkEntry> {
    Ref<HttpLink> Link;
    Ref<LinkCall> Running;
    TimePoint OpenedAt{};
    bool Opening = true;
  };

  using CallList = boost::intrusive::list<
      LinkCall,
      boost::intrusive::member_hook<
          LinkCall, boost::intrusive::list_member_hook<>, &LinkCall::Hook>>;

  bool openLink();
  void dispatch();
  void run(LinkEntry &Entry, const Ref<LinkCall> &Call);
  void onAnswer(const Ref<LinkEntry> &Entry, Expected<HttpResponse> Result);
  void onLinkLost(const LinkEntry &Entry, bool Expected);
  void onIdleClose(const LinkEntry &Entry, TimePoint Now);
  void remove(const LinkEntry &Entry);
  void onAllLinksLost();
  void suspect();
  void probe();
  void onProbe(Expected<HttpResponse> Result);
  void probeFailed();
  void endCall(LinkCall &Call, Expected<HttpResponse> Result);
  void failWaiting();
  void observeRequestLimit(const HttpResponse &Response, TimePoint Now);
  void observeDeparture(const HttpResponse &Response);
  void observePause(const HttpResponse &Response, TimePoint Now);

  /// \returns whether requests may be sent, as far as the statements of the
  /// target are concerned.
  bool acceptsRequests(TimePoint Now) const;
  void observe(LinkCall &Call, const Expected<HttpResponse> &Result,
               TimePoint Now);
  std::size_t openLinks() const;
  Duration maxIdle() const;
  void scheduleCheck(TimePoint Now);

  asio::io_context &Context;
  const Ref<KnownTarget> Target;
  const TargetProtocol &Protocol;
  const HttpLimits Answers;
  std::string HealthPath; ///< Empty until configure().
  const ChannelTimes Times;
  ConnectionQuota Limit;
  std::vector<Ref<LinkEntry>> Links;
  CallList Waiting;
  Ref<HttpLink> ProbeLink;
  TimePoint ProbeDeadline{};
  TimePoint NextProbe{};
  TimePoint NextOpen{};
  TimePoint RequestBrokenAt{}; ///< A connection last ended under a request.
  TimePoint NextCheck{}; ///< Reset whenever a connection changes its state.
  Duration ProbePause{};
  Duration IdleLimit;
  bool IdleTimeoutAdvertised = false; ///< By a response.
  bool Retired = false;
};

/// \brief The channels of one I/O thread.
class TargetChannels {
public:
  /// Connections opened in advance per call of tick(). When an index is cut
  /// into other shards, hundreds of targets appear at once; opening a
  /// connection to each in one go would keep a small VM from its requests for a
  /// fifth of a second.
  static constexpr std::size_t MaxPreopensPerTick = 16;

  /// \p Threads is the number of I/O threads that share the connections of the
  /// process.
  TargetChannels(asio::io_context &Context, const TargetProtocol &Protocol,
                 std::size_t Threads, const HttpLimits &Answers = {})
      : Context(Context), Protocol(Protocol), Threads(Threads),
        Answers(Answers), Started(steadyNow()) {}

  /// \brief Opens channels to new targets of \p Next and retires those that
  /// are not in it. Does nothing if \p Next is the current view.
  void setView(const Ref<const FleetView> &Next);

  /// \returns the channel of a target, also of one that left the view while a
  /// request still refers to it.
  TargetChannel &channelFor(KnownTarget &Target);

  void tick(TimePoint Now);

private:
  /// Returns a copy, because handlers called by a channel may open further
  /// channels while a caller iterates.
  template <typename Filter>
  std::vector<Ref<TargetChannel>> channels(Filter Wanted) const;

  void applyView();

  asio::io_context &Context;
  const TargetProtocol &Protocol;
  const std::size_t Threads;
  const HttpLimits Answers;
  const TimePoint Started;
  Ref<const FleetView> View;
  /// The connections of the previous process have expired at the targets.
  bool FormerLinksExpired = false;
  std::unordered_map<const KnownTarget *, Ref<TargetChannel>> Channels;
};

} // namespace balsamyard
