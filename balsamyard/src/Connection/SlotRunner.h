#pragma once

#include "balsamyard/src/Connection/SlotLimiter.h"
#include "balsamyard/src/Connection/TargetClient.h"
#include "balsamyard/src/Core/Messages.h"

#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace balsamyard {

/// \brief A LeafBatch that its items share.
struct SharedBatch : RefCounted<SharedBatch> {
  explicit SharedBatch(LeafBatch Batch) : Batch(std::move(Batch)) {}
  LeafBatch Batch;
};

/// \brief One item of a batch; OnEnd is called once, on any thread.
struct SearchTask {
  Ref<const SharedBatch> Batch;
  std::size_t Item = 0;
  std::function<void(LeafReply)> OnEnd;
};

/// \brief One attempt of a write; OnEnd is called once, on any thread.
struct WriteTask {
  WriteCommand Write;
  std::function<void(WriteReply)> OnEnd;
};

/// \brief A request on its way to a target.
class SlotTask
    : public RefCounted<SlotTask>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
  using Kind = std::variant<SearchTask, WriteTask>;

  SlotTask(Kind Body, TimePoint Deadline)
      : Body(std::move(Body)), Deadline(Deadline) {}

  /// \brief Ends the task early. OnEnd still reports how it actually ended.
  void cancel() { this->Call.cancel(); }

private:
  friend class SlotRunner;
  const RouteName &route() const;
  Fingerprint fingerprint() const;

  Kind Body;
  TimePoint Deadline;
  TargetCall Call;
};

/// \brief How a request to a target ended, as counted per version.
enum class TaskResult : std::uint8_t { Good, Error, Late, Cancelled, Refused };

/// \brief Callbacks of a runner, called without holding its lock.
struct SlotObserver {
  std::function<void(const SlotKey &, const SlotEffect &)> OnEffect;
  std::function<void(const SlotKey &, std::uint64_t Generation, Fingerprint)>
      OnCrash;
  std::function<void(Fingerprint)> OnSuccess;
  std::function<void(const SlotKey &, const RouteName &, TaskResult, Duration)>
      OnResult;

  /// \brief Runs a blocking job on a worker thread.
  std::function<void(std::function<void()>)> Post;
};

/// \brief Status of a slot for the status page.
struct SlotStatus {
  std::string_view State;
  std::uint32_t Limit = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Workers = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Connections = 0;
  std::uint64_t Incarnation = 0;
  SlotShare Share;
};

/// \brief Queues the requests to one slot and runs them within its limits.
/// Thread-safe.
class SlotRunner : public RefCounted<SlotRunner> {
public:
  /// \param MaxWorkers workers that one slot may occupy, so that a frozen
  /// target leaves some to the others.
  SlotRunner(SlotKey Key, Endpoint Target, VersionName Version,
             std::uint32_t MaxWorkers, const SlotObserver &Observer,
             TimePoint Now);

  /// \brief Accepts or refuses a request at once; never blocks.
  void submit(Ref<SlotTask> Task);

  /// \brief Sets the share of the slot. Without a share no request is accepted;
  /// running ones continue until they end or cancelExcess() is called.
  void setShare(SlotShare Share, bool LaneTaken);

  /// \brief Waits until no more connections are open than the share permits.
  /// \returns false if that was not so by \p Deadline.
  bool waitForShare(TimePoint Deadline);

  /// \brief Cancels running requests if more connections are open than the
  /// share permits.
  void cancelExcess();

  /// \brief Applies an event that another process observed.
  void notice(const SlotEvent &Event);

  /// \brief Ends requests that are past their deadline. Must be called
  /// periodically.
  void expire(TimePoint Now);

  /// \brief Polls the health page and opens a connection in advance, on a
  /// worker thread.
  void maintain();

  SlotStatus status() const;
  const SlotKey &key() const { return this->Key; }
  const Endpoint &target() const { return this->Target; }
  const VersionName &version() const { return this->Version; }

private:
  using TaskList =
      boost::intrusive::list<SlotTask,
                             boost::intrusive::constant_time_size<false>>;

  /// \brief Work to do after the lock is released.
  struct Deferred {
    std::vector<SlotEffect> Effects;
    std::vector<std::pair<Ref<SlotTask>, Code>> Ended;
    std::vector<std::pair<Ref<SlotTask>, SlotTicket>> Started;
  };

  std::optional<Code> refusal(TimePoint Now, TimePoint Deadline) const;
  void dispatch(Deferred &Later);
  void apply(const SlotEvent &Event, Deferred &Later);
  void endQueued(Code Reason, Deferred &Later);
  void carryOut(const Deferred &Later);
  void run(const Ref<SlotTask> &Task, SlotTicket Ticket);
  void finish(const Ref<SlotTask> &Task, SlotTicket Ticket,
              const TargetLease &Lease, TargetExchange Exchange);
  void requeue(const Ref<SlotTask> &Task, SlotTicket Ticket, bool AllLost);
  void poll();
  void completeUnsent(const SlotTask &Task, Code Reason) const;

  const SlotKey Key;
  const Endpoint Target;
  const VersionName Version;
  const std::uint32_t MaxWorkers;
  const SlotObserver &Observer;

  mutable std::mutex Mutex;
  std::condition_variable ConnectionClosed;
  SlotLimiter Limiter;
  TargetClient Client;
  TaskList Queue;   ///< Each entry holds one reference.
  TaskList Running; ///< Each entry holds one reference.
  std::uint32_t Queued = 0;
  std::uint32_t Workers = 0;
  bool Polling = false;
  Duration MeanServiceTime{};
};

} // namespace balsamyard
