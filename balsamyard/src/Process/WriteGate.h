#pragma once

#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Version/ShareTable.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace balsamyard {

/// \returns the time of issue if \p Request is a UUIDv7 in its canonical
/// lower-case form.
std::optional<WallTime> issueTime(const RequestId &Request);

/// \brief Identifies a waiting caller of a gate; chosen by the app.
enum class GateCaller : std::uint64_t {};

/// \brief A write that is passed around while it runs.
struct GateCommand : RefCounted<GateCommand> {
  explicit GateCommand(WriteCommand Command) : Command(std::move(Command)) {}
  WriteCommand Command;
};

/// \brief A copy of a non-idempotent write arrived. Slots are tried in order.
struct WriteArrived {
  GateCaller Caller{};
  Ref<const GateCommand> Write;
  std::vector<SlotIndex> Slots;
  std::optional<Code> Refusal; ///< Set if the app refuses it.
};

/// \brief An attempt at a slot ended; NotRun only if it cannot run any more.
struct AttemptEnded {
  RequestId Request;
  std::size_t Attempt = 0;
  WriteReply Reply;
};

enum class ClaimResult : std::uint8_t { Created, Exists, Unclear };

/// \brief The conditional create of `claims/ID` ended.
struct ClaimEnded {
  RequestId Request;
  ClaimResult Result = ClaimResult::Unclear;
};

/// \brief `shared/gates` names the owner of this gate. Epoch is that of the
/// RereadOwner that asked for the read, and 0 if the table came as news.
struct OwnerRead {
  std::uint64_t Version = 0;
  GateOwner Owner;
  std::uint64_t Epoch = 0;
};

/// \brief The gate has to go to another owner.
struct GiveAwayRequested {};

/// \brief The update that gives the gate away succeeded or can no longer take
/// effect; a table of at least version Known shows the owner.
struct GiveAwaySettled {
  std::uint64_t Known = 0;
};

/// \brief Fires every WriteGate::TickPeriod.
struct GateTick {};

using GateEvent =
    std::variant<WriteArrived, AttemptEnded, ClaimEnded, OwnerRead,
                 GiveAwayRequested, GiveAwaySettled, GateTick>;

/// \brief Send the write to the slot, to be refused there after Expiry.
struct SendWrite {
  Ref<const GateCommand> Write;
  SlotIndex Slot = 0;
  std::size_t Attempt = 0;
  WallTime Expiry{};
};

/// \brief Answer a waiting caller.
struct AnswerWrite {
  GateCaller Caller{};
  WriteReply Reply;
};

/// \brief Create the platform object `claims/ID` if it does not exist.
struct CreateClaim {
  RequestId Request;
};

/// \brief Read `shared/gates` from the platform. Repeated at each tick until a
/// read that started after the first one arrives.
struct RereadOwner {
  std::uint64_t Epoch = 0;
};

/// \brief The gate may be given to another owner, whose Since must be taken
/// from the clock of this process after this effect.
struct GateDrained {};

using GateEffect =
    std::variant<SendWrite, AnswerWrite, CreateClaim, RereadOwner, GateDrained>;

/// \brief Bounds of the memory of one gate.
struct GateLimits {
  std::size_t Entries = 8192;
  std::size_t AnswerBytes = 1 << 20;
};

/// \brief Decides which copies of non-idempotent requests may run.
///
/// Executes each request id at most once and says "not run" only if no target
/// can have started it or still can. See section 5.6 of docs/design.md.
///
/// \code
/// for (const GateEffect &Effect : Gate.apply(WriteArrived{...}, wallNow()))
///   carryOut(Effect);
/// \endcode
class WriteGate {
public:
  using Milliseconds = std::chrono::milliseconds;

  /// How long an id is accepted and remembered after its issue.
  static constexpr Milliseconds Memory = std::chrono::minutes(10);

  /// How far a caller's clock may run ahead.
  static constexpr Milliseconds ClockLead = std::chrono::seconds(2);

  /// Longest time from arrival until the target refuses a write.
  static constexpr Milliseconds MaxExpiry = std::chrono::seconds(10);

  static constexpr Milliseconds TickPeriod = Milliseconds(500);

  /// A timer that is later than this shows that the process was paused.
  static constexpr Milliseconds PauseLimit = std::chrono::seconds(2);

  /// \brief A gate that has no owner yet. \p Started is the start time of the
  /// process.
  WriteGate(NodeName Node, WallTime Started, GateLimits Limits = {});

  std::vector<GateEffect> apply(const GateEvent &Event, WallTime Now);

  /// \returns whether new writes are accepted.
  bool owned() const;

  /// \returns "waiting", "elsewhere", "owned", "giving-away" or "given-away".
  std::string_view stateName() const;

  std::size_t entries() const { return this->Seen.size(); }
  std::size_t answerBytes() const { return this->AnswerBytes; }

private:
  // Ownership. Waiting lasts until the table was read from the platform, after
  // the start of the process and after a pause: the view may be older than a
  // change of owner.
  struct Waiting {};
  struct Elsewhere {};
  struct Owned {
    WallTime Since;
  };
  struct GivingAway {
    WallTime Since;
  };
  struct GivenAway {
    std::optional<std::uint64_t> Known;
  };
  using Ownership =
      std::variant<Waiting, Elsewhere, Owned, GivingAway, GivenAway>;

  // State of one request id.
  struct Claiming {};
  struct Sent {
    std::size_t Attempt = 0;
  };
  struct Refused {};
  struct Finished {
    VersionName Version;
    std::string Body;
  };
  struct Lost {
    std::size_t Attempt = 0;
  };
  using EntryState = std::variant<Claiming, Sent, Refused, Finished, Lost>;

  using Hook = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

  struct Entry : boost::intrusive::list_base_hook<Hook>,
                 boost::intrusive::set_base_hook<Hook> {
    RequestId Request;
    WallTime ForgetAt{};
    WallTime Expiry{};
    GateCaller Caller{};
    Ref<const GateCommand> Write; ///< Only while it runs.
    std::vector<SlotIndex> Slots;
    EntryState State;
  };
  struct ByForgetAt {
    bool operator()(const Entry &A, const Entry &B) const {
      return A.ForgetAt < B.ForgetAt;
    }
  };
  using Effects = std::vector<GateEffect>;

  void on(const WriteArrived &Event, Effects &Out);
  void on(const AttemptEnded &Event, Effects &Out);
  void on(const ClaimEnded &Event, Effects &Out);
  void on(const OwnerRead &Event, Effects &Out);
  void on(const GiveAwayRequested &Event, Effects &Out);
  void on(const GiveAwaySettled &Event, Effects &Out);
  void on(const GateTick &Event, Effects &Out);

  void noticePause(WallTime Now, Effects &Out);
  std::optional<WriteReply> refuseByTime(const RequestId &Request,
                                         WallTime Issued) const;
  std::optional<Code> refuseBeforeSending(const WriteArrived &Event) const;
  Entry *remember(const WriteArrived &Event, WallTime ForgetAt);
  void send(Entry &Write, std::size_t Attempt, Effects &Out);
  void endRunning(Entry &Write, WriteReply Reply, Effects &Out);
  void keepAnswer(Entry &Write, const WriteReply &Reply);
  void answer(const WriteArrived &Event, Code Result, Outcome Ran,
              Effects &Out) const;
  WriteReply replay(const Entry &Write) const;
  void forgetOld();
  void adopt(const OwnerRead &Event);
  void checkDrained(Effects &Out);

  NodeName Node;
  WallTime Started;
  GateLimits Limits;
  Ownership Owner = Waiting{};
  bool NeedsRead = true;
  std::uint64_t ReadEpoch = 1;
  WallTime Now{}; ///< Never goes back.
  WallTime LastEvent{};
  std::uint64_t TableVersion = 0;
  std::unordered_map<RequestId, Entry> Seen;
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>
      Running;
  boost::intrusive::multiset<Entry, boost::intrusive::compare<ByForgetAt>,
                             boost::intrusive::constant_time_size<false>>
      Oldest;
  std::size_t AnswerBytes = 0;
};

} // namespace balsamyard
