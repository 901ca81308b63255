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

  /// \brief Binds the address and serves connections on separate threads.
  Expected<void> start();

  /// \brief Stops accepting connections; open and queued ones are still served.
  /// Call some time after EntryState::Stopping was set, so that callers have
  /// closed their connections.
  void drain();

  /// \returns whether every connection was served after drain().
  bool drained() const { return this->Ended.load(std::memory_order_acquire); }

private:
  void addRoutes();
  void serve(const httplib::Request &HttpRequest, std::string Body,
             httplib::Response &HttpResponse);
  CallerAnswer answer(const httplib::Request &HttpRequest, std::string Body,
                      TimePoint Arrived, bool Admitted, CallerRequest &Checked);
  void send(const CallerAnswer &Answer, httplib::Response &HttpResponse);
  void report(const CallerRequest &Request, const CallerAnswer &Answer,
              Duration Elapsed);
  void closeIfNeeded(httplib::Response &HttpResponse) const;

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
