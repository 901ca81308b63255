#pragma once

#include "apps/balsamyard-entry/CallerPool.h"
#include "apps/balsamyard-entry/QueryRunner.h"
#include "apps/balsamyard-entry/WriteRunner.h"

#include <atomic>

namespace balsamyard::entry {

/// \brief The HTTP server for callers and operators.
class CallerServer {
public:
  CallerServer(EntryState &State, QueryRunner &Queries, WriteRunner &Writes);
  ~CallerServer();

  /// \brief Binds the address and serves on threads of its own.
  Expected<void> start();

  /// \brief Accepts no more connections; those that are open or wait for a
  /// thread are served. Call after EntryState::Stopping was set for a while,
  /// because callers close their connections since then.
  void drain();

  /// \returns whether every connection was served after drain().
  bool drained() const { return this->Ended.load(std::memory_order_acquire); }

private:
  void addRoutes();
  void serve(const httplib::Request &From, std::string Body,
             httplib::Response &To);
  CallerAnswer answer(const httplib::Request &From, std::string Body,
                      TimePoint Arrived, bool Admitted, CallerRequest &Checked);
  void send(const CallerAnswer &Answer, httplib::Response &To);
  void report(const CallerRequest &Request, const CallerAnswer &Answer,
              Duration Took);
  void closeIfNeeded(httplib::Response &To) const;

  EntryState &State;
  QueryRunner &Queries;
  WriteRunner &Writes;
  httplib::Server Server;
  std::atomic<CallerPool *> Pool{nullptr}; ///< Owned by Server.
  int ListenSocket = -1;
  std::thread Listener;
  std::atomic<bool> Ended{false}; ///< Listener and caller threads ended.
};

} // namespace balsamyard::entry
