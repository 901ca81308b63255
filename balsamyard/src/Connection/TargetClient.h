#pragma once

#include "balsamyard/src/Connection/TargetConnection.h"

#include <cstdint>

namespace balsamyard {

/// \brief A connection that was taken from a TargetClient. Null if none was
/// free.
struct TargetLease {
  Ref<TargetConnection> Connection;
  bool AllLost = false; ///< The target closed every idle connection.
};

/// \brief Connection pool of one target with a maximum size. Not thread-safe;
/// the owner locks it.
class TargetClient {
public:
  explicit TargetClient(Endpoint Target) : Target(std::move(Target)) {}
  ~TargetClient();

  /// \brief Sets the maximum size and closes idle connections beyond it.
  void setLimit(std::uint32_t Connections);

  /// \brief Takes the most recently used idle connection, or a new one.
  TargetLease take();

  /// \brief Takes the least recently used idle connection, so that health polls
  /// keep all of them open.
  TargetLease takeOldest();

  /// \brief Takes a new connection, to be opened in advance.
  TargetLease takeNew();

  /// \brief Returns a connection to the pool after \p Exchange.
  /// \returns whether the target seems to have lost all of its connections: one
  /// broke and no idle one is left that is still open.
  bool giveBack(const TargetLease &Lease, const TargetExchange &Exchange);

  /// \returns open connections, idle or taken.
  std::uint32_t open() const { return this->Open; }
  std::uint32_t idle() const;

private:
  using List =
      boost::intrusive::list<TargetConnection,
                             boost::intrusive::constant_time_size<false>>;

  /// \brief Closes idle connections that the target closed.
  /// \returns whether there were some and none is left.
  bool dropClosed();
  void close(TargetConnection &Connection);
  TargetLease takeIdle(TargetConnection &Connection);
  bool hasRoom() const { return this->Open < this->Limit; }

  Endpoint Target;
  std::uint32_t Limit = 0;
  std::uint32_t Open = 0;
  List Idle; ///< Most recently used first. Each entry holds one reference.
};

} // namespace balsamyard
