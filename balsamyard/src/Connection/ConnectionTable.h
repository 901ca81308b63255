#pragma once

#include "balsamyard/src/Connection/ServerConnection.h"

#include <atomic>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace balsamyard {

/// \brief The open connections of one listener, the one that has been silent
/// longest first. Used on one io_context thread, except for the counters.
///
/// A full table closes silent connections, so that callers that open
/// connections and send nothing do not keep others out.
class ConnectionTable {
public:
  explicit ConnectionTable(std::size_t Capacity) : Capacity(Capacity) {}
  ~ConnectionTable();
  ConnectionTable(const ConnectionTable &) = delete;
  ConnectionTable &operator=(const ConnectionTable &) = delete;

  /// \brief Makes room for one more connection.
  /// \returns false if all of them have a request at work.
  bool makeRoom();

  void add(ServerConnection &Opened);

  /// \brief Notes that a request was completed, or that the peer took a part of
  /// an answer. Single bytes of a request do not count, so that a peer cannot
  /// keep its place by sending them slowly.
  void touch(ServerConnection &Active);

  void remove(ServerConnection &Closed);

  /// \brief Notes that an answer waits for its peer, from now until
  /// endWriting() or remove().
  void beginWriting(ServerConnection &Writer);
  void endWriting(ServerConnection &Writer);

  /// \brief Closes connections whose peer takes nothing of its answer: those
  /// that have stalled for their idle timeout, and while \p Answers is scarce,
  /// those that hold a part of it and have stalled longest.
  void endStalled(TimePoint Now, const MessageMemory *Answers);

  /// \returns all open connections.
  std::vector<Ref<ServerConnection>> open();

  std::size_t size() const {
    return this->Count.load(std::memory_order_relaxed);
  }

  /// \returns how many connections were closed to make room for others, or
  /// because their answers stalled.
  std::uint64_t evictions() const {
    return this->Evictions.load(std::memory_order_relaxed);
  }

private:
  /// An answer of which the peer took something within this time is not ended
  /// because memory is scarce.
  static constexpr Duration MinStall = std::chrono::milliseconds(100);

  using Hook = boost::intrusive::list_member_hook<>;
  template <Hook ServerConnection::*Position>
  using List = boost::intrusive::list<
      ServerConnection,
      boost::intrusive::member_hook<ServerConnection, Hook, Position>>;

  void evict(ServerConnection &Open);

  const std::size_t Capacity;
  List<&ServerConnection::Hook> Connections;
  List<&ServerConnection::WriterHook> Writers; ///< Longest stalled first.
  std::atomic<std::size_t> Count{0};
  std::atomic<std::uint64_t> Evictions{0};
};

} // namespace balsamyard
