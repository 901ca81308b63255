#pragma once

#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/LinkCall.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Version/KnownTarget.h"

#include <boost/intrusive/list.hpp>
#include <unordered_map>
#include <vector>

namespace balsamyard {

/// \brief How a channel uses its connections; the same for all targets.
struct ChannelTimes {
  /// A connection between regions opens in about 50 ms and a target spends 6
  /// ms on it; a second of patience covers a lost packet.
  Duration OpenTimeout = std::chrono::seconds(1);

  /// A health request waits for a slot like any other.
  Duration ProbeTimeout = std::chrono::seconds(1);

  /// First and longest pause between two checks of an unreachable target.
  Duration MinProbePause = std::chrono::milliseconds(150);
  Duration MaxProbePause = std::chrono::seconds(1);

  /// A target stops work at the deadline that it was given; its answer that
  /// says so needs this long at most.
  Duration AnswerGrace = std::chrono::milliseconds(250);

  /// Idle time of a connection whose target has stated none yet. The close of
  /// the target is noticed when it comes.
  Duration IdleLimit = std::chrono::seconds(30);

  /// No target closes connections that were idle for a shorter time.
  Duration MinIdleLimit = std::chrono::seconds(1);

  /// A connection is not used in the last part of the idle time that the
  /// target states: its close may be on the way.
  Duration IdleMargin = std::chrono::milliseconds(500);

  /// Idle time of a connection to a target that is not preferred: its few
  /// connections belong to others.
  Duration SpareIdleLimit = std::chrono::seconds(1);

  /// A target that closes a new connection at once has no room for it.
  Duration FullPause = std::chrono::milliseconds(500);
};

/// \brief The connections of one I/O thread to one target, and the calls that
/// wait for one.
class TargetChannel : public RefCounted<TargetChannel> {
public:
  TargetChannel(asio::io_context &Context, Ref<KnownTarget> Target,
                const TargetProtocol &Protocol);

  /// \brief Sends the call as soon as a connection is free.
  void submit(Ref<LinkCall> Call);

  /// \brief Takes back a call that was not sent.
  void withdraw(LinkCall &Call);

  /// \brief Ends a call at once; if it was sent, its connection is closed, and
  /// the target drops the work.
  void abort(LinkCall &Call);

  /// \brief Checks deadlines, idle connections and unreachable targets.
  void tick(TimePoint Now);

  /// \brief Applies what the view says of the target's service.
  void configure(LinkLimit Next, const std::string &NextHealthPath) {
    this->Limit = Next;
    this->HealthPath = NextHealthPath;
  }

  /// \brief The target may get no new requests; running ones finish.
  void retire();

  /// \brief The target may get new requests again once its health page shows
  /// whether it is cold.
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

  void openLink();
  void dispatch();
  void run(LinkEntry &Entry, const Ref<LinkCall> &Call);
  void onAnswer(const Ref<LinkEntry> &Entry, Expected<HttpResponse> Result);
  void onLinkLost(const LinkEntry &Entry, bool Expected);
  void onIdleClose(const LinkEntry &Entry, TimePoint Now);
  void remove(const LinkEntry &Entry);
  void suspect();
  void probe();
  void onProbe(Expected<HttpResponse> Result);
  void probeFailed();
  void endCall(LinkCall &Call, Expected<HttpResponse> Result);
  void failWaiting();
  void observe(LinkCall &Call, const Expected<HttpResponse> &Result,
               TimePoint Now);
  std::size_t openLinks() const;

  asio::io_context &Context;
  const Ref<KnownTarget> Target;
  const TargetProtocol &Protocol;
  std::string HealthPath; ///< Empty until the view has named the target.
  const ChannelTimes Times;
  LinkLimit Limit;
  std::vector<Ref<LinkEntry>> Links;
  CallList Waiting;
  Ref<HttpLink> ProbeLink;
  TimePoint ProbeDeadline{};
  TimePoint NextProbe{};
  TimePoint NextOpen{};
  Duration ProbePause{};
  Duration IdleLimit;
  bool IdleTimeoutAdvertised = false; ///< By the target, in an answer.
  bool Retired = false;
};

/// \brief The channels of one I/O thread.
class TargetChannels {
public:
  /// \p Threads share the connections of the process.
  TargetChannels(asio::io_context &Context, const TargetProtocol &Protocol,
                 std::size_t Threads)
      : Context(Context), Protocol(Protocol), Threads(Threads),
        Started(steadyNow()) {}

  /// \brief Opens channels to new targets of \p Next and retires those that
  /// are not in it. Does nothing if it follows \p Next already.
  void setView(const Ref<const FleetView> &Next);

  /// \returns the channel of a target, also of one that left the view while a
  /// request still refers to it.
  TargetChannel &channelFor(KnownTarget &Target);

  void tick(TimePoint Now);

private:
  /// What a channel reports may open channels to further targets, so loops go
  /// over a copy.
  std::vector<Ref<TargetChannel>> all() const;

  void applyView();

  asio::io_context &Context;
  const TargetProtocol &Protocol;
  const std::size_t Threads;
  const TimePoint Started;
  Ref<const FleetView> View;
  bool FormerLinksExpired =
      false; ///< The connections of a former process are gone.
  std::unordered_map<const KnownTarget *, Ref<TargetChannel>> Channels;
};

} // namespace balsamyard
