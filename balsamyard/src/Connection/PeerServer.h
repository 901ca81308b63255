#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamyard {

/// \brief The server side of one HTTP/2 stream. Every member may be called from
/// any thread, also after the server was destroyed.
///
/// Dropping the last reference before finish() resets the stream.
class PeerStream : public RefCounted<PeerStream> {
public:
  struct State;
  explicit PeerStream(Ref<State> Shared);
  ~PeerStream();

  /// \brief Queues one message to the client. A message above MaxMessageBytes,
  /// or more than 16 of that size queued, resets the stream.
  void send(std::string Message);

  /// \brief Ends the stream after all queued messages.
  void finish();

  /// \brief Calls \p Handler once if the client cancels or the connection
  /// breaks before finish().
  void onCancel(std::function<void()> Handler);

  bool cancelled() const;

private:
  Ref<State> Shared;
};

/// \brief Accepts HTTP/2 connections from other balsamyard processes.
///
/// Runs its own Asio threads. Destroying it breaks the streams that still run;
/// it must not be destroyed by one of its handlers. A request is one message; a
/// reply is a sequence of messages. \sa PeerClient
class PeerServer {
public:
  /// \brief Called on an Asio thread; must not block.
  using Handler = std::function<void(std::string Path, std::string Message,
                                     Ref<PeerStream> Stream)>;

  static constexpr std::size_t DefaultMaxConnections = 4096;

  /// \brief Listens on \p At; port 0 lets the kernel choose.
  ///
  /// With \p MaxConnections open, a new one replaces the oldest that has not
  /// brought any request, or is closed if all have.
  static Expected<std::unique_ptr<PeerServer>>
  listen(const Endpoint &At, std::size_t Threads, Handler OnRequest,
         std::size_t MaxConnections = DefaultMaxConnections);

  ~PeerServer();

  /// \returns the address with the port that was chosen.
  Endpoint local() const;

  /// \brief Stops accepting connections and streams; running streams finish.
  void drain();

private:
  struct Impl;
  explicit PeerServer(std::unique_ptr<Impl> Implementation);
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
