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

/// \returns the timestamp of \p Request if it is a UUIDv7 in canonical
/// lower-case form.
std::optional<WallTime> issueTime(const RequestId &Request);

/// \brief Identifies a caller that waits for a reply of a gate. Assigned by the
/// application.
enum class GateCaller : std::uint64_t {};

/// \brief A write, shared by reference while it runs.
struct GateCommand : RefCounted<GateCommand> {
  explicit GateCommand(WriteCommand Command) : Command(std::move(Command)) {}
  WriteCommand Command;
};

/// \brief A copy of a non-idempotent write arrived. Slots are tried in order.
struct WriteArrived {
  GateCaller Caller{};
  Ref<const GateCommand> Write;
  std::vector<SlotIndex> Slots;
  std::optional<Code> Refusal; ///< Set if the application rejects the write.
};

/// \brief An attempt at a slot ended. The outcome is NotRun only if the write
/// can no longer run there.
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

/// \brief The owner of this gate according to `shared/gates`. Epoch is that of
/// the RereadOwner that caused the read, or 0 if the table came from the
/// configuration synchronization.
struct OwnerRead {
  std::uint64_t Version = 0;
  GateOwner Owner;
  std::uint64_t Epoch = 0;
};

/// \brief The gate must be given to another owner.
struct GiveAwayRequested {};

/// \brief The update that gives the gate away succeeded or can no longer take
/// effect. Tables of at least TableVersion show its result.
struct GiveAwaySettled {
  std::uint64_t TableVersion = 0;
};

/// \brief Fires every WriteGate::TickPeriod.
struct GateTick {};

using GateEvent =
    std::variant<WriteArrived, AttemptEnded, ClaimEnded, OwnerRead,
                 GiveAwayRequested, GiveAwaySettled, GateTick>;

/// \brief Send the write to the slot, which rejects it after Expiry.
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

/// \brief Read `shared/gates` from the platform. Repeated at each tick until an
/// OwnerRead with the current Epoch arrives.
struct RereadOwner {
  std::uint64_t Epoch = 0;
};

/// \brief No write runs any more, so the gate may be given to another owner.
/// GateOwner::Since must be taken from the clock of this process after this
/// effect.
struct GateDrained {};

using GateEffect =
    std::variant<SendWrite, AnswerWrite, CreateClaim, RereadOwner, GateDrained>;

/// \brief Limits on the memory of one gate.
struct GateLimits {
  std::size_t Entries = 8192;
  std::size_t AnswerBytes = 1 << 20;
};

/// \brief Deduplicates non-idempotent writes by request id.
///
/// Runs each request id at most once. Replies "not run" only if no target has
/// started the write or can still start it. See section 5.6 of docs/design.md.
///
/// \code
/// for (const GateEffect &Effect : Gate.apply(WriteArrived{...}, wallNow()))
///   carryOut(Effect);
/// \endcode
class WriteGate {
public:
  using Milliseconds = std::chrono::milliseconds;

  /// Time after its issue for which an id is accepted and stored.
  static constexpr Milliseconds IdRetention = std::chrono::minutes(10);

  /// Maximum time by which the clock of a caller may be ahead.
  static constexpr Milliseconds MaxClockLead = std::chrono::seconds(2);

  /// Maximum time from the arrival of a write until targets reject it.
  static constexpr Milliseconds MaxExpiry = std::chrono::seconds(10);

  static constexpr Milliseconds TickPeriod = Milliseconds(500);

  /// A tick that is delayed by more than this shows that the process was
  /// paused.
  static constexpr Milliseconds PauseLimit = std::chrono::seconds(2);

  /// \brief Constructs a gate without an owner. \p Started is the start time of
  /// the process.
  WriteGate(NodeName Node, WallTime Started, GateLimits Limits = {});

  std::vector<GateEffect> apply(const GateEvent &Event, WallTime Now);

  /// \returns whether new writes are accepted.
  bool owned() const;

  /// \returns "waiting", "elsewhere", "owned", "giving-away" or "given-away".
  std::string_view stateName() const;

  std::size_t entries() const { return this->Entries.size(); }
  std::size_t answerBytes() const { return this->AnswerBytes; }

private:
  // Ownership. After the start of the process and after a pause, the gate waits
  // until the table was read from the platform, because the local view may be
  // older than the last change of owner.
  struct Waiting {};
  struct OwnedElsewhere {};
  struct Owned {
    WallTime Since;
  };
  struct GivingAway {
    WallTime Since;
  };
  struct GivenAway {
    std::optional<std::uint64_t> TableVersion;
  };
  using Ownership =
      std::variant<Waiting, OwnedElsewhere, Owned, GivingAway, GivenAway>;

  // States of a request id.
  struct Claiming {};
  struct Sent {
    std::size_t Attempt = 0;
  };
  struct Refused {};
  struct Finished {
    VersionName Version;
    std::string Body;
  };
  struct Unresolved {
    std::size_t Attempt = 0;
  };
  using EntryState =
      std::variant<Claiming, Sent, Refused, Finished, Unresolved>;

  using Hook = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

  struct Entry : boost::intrusive::list_base_hook<Hook>,
                 boost::intrusive::set_base_hook<Hook> {
    RequestId Request;
    WallTime RemoveAt{};
    WallTime Expiry{};
    GateCaller Caller{};
    Ref<const GateCommand> Write; ///< Set only while the write runs.
    std::vector<SlotIndex> Slots;
    EntryState State;
  };
  struct ByRemoveAt {
    bool operator()(const Entry &A, const Entry &B) const {
      return A.RemoveAt < B.RemoveAt;
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

  void detectPause(WallTime Now, Effects &Out);
  std::optional<WriteReply> rejectByIssueTime(const RequestId &Request,
                                              WallTime Issued) const;
  std::optional<Code> rejectBeforeSending(const WriteArrived &Event) const;
  Entry *addEntry(const WriteArrived &Event, WallTime RemoveAt);
  void send(Entry &Write, std::size_t Attempt, Effects &Out);
  void finish(Entry &Write, WriteReply Reply, Effects &Out);
  void storeReply(Entry &Write, const WriteReply &Reply);
  void answer(const WriteArrived &Event, Code Result, Outcome Ran,
              Effects &Out) const;
  WriteReply replay(const Entry &Write) const;
  void removeExpired();
  void applyOwner(const OwnerRead &Event);
  void checkDrained(Effects &Out);

  NodeName Node;
  WallTime Started;
  GateLimits Limits;
  Ownership Owner = Waiting{};
  bool NeedsRead = true;
  std::uint64_t ReadEpoch = 1;
  WallTime Now{}; ///< Monotonic, even if the wall clock is set back.
  WallTime LastEvent{};
  std::uint64_t TableVersion = 0;
  std::unordered_map<RequestId, Entry> Entries;
  boost::intrusive::list<Entry, boost::intrusive::constant_time_size<false>>
      Running;
  boost::intrusive::multiset<Entry, boost::intrusive::compare<ByRemoveAt>,
                             boost::intrusive::constant_time_size<false>>
      RemovalQueue;
  std::size_t AnswerBytes = 0;
};

} // namespace balsamyard
