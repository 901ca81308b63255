#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <functional>
#include <memory>
#include <string>

namespace balsamyard {

/// \brief One request to a peer. Destroying it does not cancel the request.
class PeerCall : public RefCounted<PeerCall> {
public:
  struct State;
  explicit PeerCall(Ref<State> Shared);
  ~PeerCall();

  /// \brief Resets the stream; no handler is called after cancel() returned
  /// from the thread that runs the handlers, and OnClose reports Cancelled.
  void cancel();

private:
  Ref<State> Shared;
};

/// \brief Keeps one HTTP/2 connection per peer and runs many calls over it.
///
/// Runs its own Asio threads. Every member may be called from any thread.
/// Destroying it ends running calls with PeerUnreachable and drops the tasks of
/// after(); it must not be destroyed by one of its handlers.
/// \sa PeerServer
class PeerClient {
public:
  /// \brief Called for each reply message, in order.
  using MessageHandler = std::function<void(std::string Message)>;

  /// \brief Called exactly once: Ok after the last message, PeerUnreachable,
  /// DeadlineExceeded, Cancelled or MalformedMessage otherwise. Sent is false
  /// only if no byte of the request can have reached the peer, or the peer
  /// refused the stream before its handler saw it.
  using CloseHandler = std::function<void(Code Result, bool Sent)>;

  explicit PeerClient(std::size_t Threads);
  ~PeerClient();

  /// \brief Sends one message; handlers run on an Asio thread and must not
  /// block.
  Ref<PeerCall> call(const Endpoint &To, std::string Path, std::string Message,
                     Duration Timeout, MessageHandler OnMessage,
                     CloseHandler OnClose);

  /// \brief Runs \p Task on an Asio thread after \p Delay.
  void after(Duration Delay, std::function<void()> Task);

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
