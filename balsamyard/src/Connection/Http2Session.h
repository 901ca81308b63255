#pragma once

#include "balsamyard/src/Connection/internal/IoThreads.h"
#include "balsamyard/src/Core/RefCounted.h"

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

struct nghttp2_session;

namespace balsamyard::internal {

/// \brief The peer ended the stream after complete messages.
struct StreamFinished {};

/// \brief The peer reset the stream or refused it unprocessed.
struct StreamReset {
  std::uint32_t ErrorCode = 0;
};

/// \brief The peer sent something that is not a sequence of messages.
struct StreamMalformed {};

/// \brief The connection ended first.
struct StreamLost {};

using StreamEnd =
    std::variant<StreamFinished, StreamReset, StreamMalformed, StreamLost>;

/// \brief Callbacks of the user of a stream, called on the strand.
struct Http2StreamHandlers {
  std::function<void(std::string Message)> OnMessage;
  /// Server: the peer has sent its last message and waits for the reply.
  std::function<void()> OnRequestEnd;
  std::function<void(const StreamEnd &End)> OnEnd;
};

/// \brief State of one stream. Accessed only on the strand of its session.
struct Http2Stream
    : RefCounted<Http2Stream>,
      boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::safe_link>> {
  std::int32_t Id = -1;
  std::string Path;
  Http2StreamHandlers Handlers;
  std::string Inbound;              ///< Bytes of an incomplete message.
  std::deque<std::string> Outbound; ///< Messages with their length prefix.
  std::size_t OutboundOffset = 0;   ///< Bytes of the first that are sent.
  std::size_t OutboundBytes = 0;
  bool Finishing = false;     ///< No message follows those in Outbound.
  bool Deferred = false;      ///< nghttp2 waits for more data.
  bool HeadersSent = false;   ///< Some byte may have reached the peer.
  bool Accepted = false;      ///< The peer answered with status 200.
  bool PeerFinished = false;  ///< The peer ended its side.
  bool MalformedSeen = false; ///< Reset because of what the peer sent.
  bool Ended = false;         ///< OnEnd was called or must not be called.
};

/// \brief One HTTP/2 connection that carries length-prefixed messages in DATA
/// frames.
///
/// Drives nghttp2 from an Asio socket. Every member must be called on the
/// strand of the socket. \sa PeerServer, PeerClient
class Http2Session : public RefCounted<Http2Session> {
public:
  enum class Side { Client, Server };

  /// \brief Callbacks of the owner of a session, called on the strand.
  struct Handlers {
    /// Server: a stream was opened; sets the handlers of the stream.
    std::function<void(Http2Stream &Stream)> OnOpen;
    /// The peer accepts no further streams.
    std::function<void()> OnGoAway;
    /// Called once; every stream has ended before.
    std::function<void()> OnClosed;
  };

  Http2Session(Side Role, asio::ip::tcp::socket Socket, Handlers Events);
  ~Http2Session();

  /// \brief Sends the settings and starts to read.
  void start();

  /// \brief Client: opens a stream that sends one message.
  /// \returns nullptr if the connection accepts no further streams.
  Ref<Http2Stream> open(std::string Path, std::string_view Message,
                        Http2StreamHandlers Handlers);

  /// \brief Queues one message.
  void send(Http2Stream &Stream, std::string_view Message);

  /// \brief Ends this side of the stream after all queued messages.
  void finish(Http2Stream &Stream);

  /// \brief Ends the stream at once with an HTTP/2 error code. Its handlers are
  /// not called.
  void reset(Http2Stream &Stream, std::uint32_t ErrorCode);

  /// \brief Accepts no further streams and closes when the last has ended.
  ///
  /// Announces the shutdown first and refuses streams only after the peer has
  /// acknowledged it, so that no stream in flight is refused.
  void drain();

  /// \brief Closes the connection; running streams end with StreamLost.
  void close();

private:
  using StreamList =
      boost::intrusive::list<Http2Stream,
                             boost::intrusive::constant_time_size<false>>;
  struct Callbacks;
  friend struct Callbacks;

  void read();
  void flush();
  void closeIfFinished();
  void add(Ref<Http2Stream> Stream);
  void remove(Http2Stream &Stream);
  void end(Http2Stream &Stream, const StreamEnd &End);
  void receive(Http2Stream &Stream, std::string_view Bytes);
  void peerFinished(Http2Stream &Stream);
  void rejectMalformed(Http2Stream &Stream);

  Side Role;
  asio::ip::tcp::socket Socket;
  Handlers Events;
  nghttp2_session *Raw = nullptr;
  StreamList Streams;
  std::array<std::uint8_t, 65536> ReadBuffer;
  std::string WriteBuffer;
  bool InNghttp2 = false; ///< nghttp2 runs; it must not be entered again.
  bool Writing = false;
  bool Draining = false;
  bool GoAwaySeen = false;
  bool CloseRequested = false;
  bool Closed = false;
};

} // namespace balsamyard::internal
