#include "balsamyard/src/Connection/Http2Session.h"

#include "balsamyard/src/Core/Messages.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>

namespace balsamyard::internal {

namespace {

/// Size in bytes of the big-endian length before each message.
constexpr std::size_t PrefixBytes = 4;

/// A stream window above the largest message lets it pass without a round trip
/// for window updates.
constexpr std::int32_t StreamWindowBytes = 4 << 20;
constexpr std::int32_t ConnectionWindowBytes = 64 << 20;

/// At the target deployment size a process has at most about 131 queries per
/// second and peer pair; the rest is headroom for slow ones.
constexpr std::uint32_t MaxConcurrentStreams = 4096;

/// A stream whose reader falls behind by more is reset.
constexpr std::size_t MaxQueuedBytes = MaxMessageBytes * 16;

/// Frames that are ready together are combined into one write of about this
/// size.
constexpr std::size_t WriteBatchBytes = 256 << 10;

/// The kernel ends a connection whose peer has acknowledged nothing for this
/// long, because a VM that is gone sends no reset.
constexpr int UnacknowledgedLimitMs = 5000;

/// Detects a lost peer on a connection without traffic. At the target
/// deployment size 840 such connections cost about 0.4 KB/s; a tenth of this
/// time would exceed the control budget of a node.
constexpr int KeepAliveIdleSeconds = 300;
constexpr int KeepAliveIntervalSeconds = 5;

template <int Level, int Name>
using IntegerOption = asio::detail::socket_option::integer<Level, Name>;

std::string frame(std::string_view Message) {
  std::string Framed;
  Framed.reserve(PrefixBytes + Message.size());
  const auto Size = static_cast<std::uint32_t>(Message.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Framed.push_back(static_cast<char>((Size >> Shift) & 0xff));
  Framed.append(Message);
  return Framed;
}

std::size_t prefixedSize(std::string_view Bytes) {
  std::size_t Size = 0;
  for (std::size_t Index = 0; Index < PrefixBytes; ++Index)
    Size = (Size << 8) | static_cast<unsigned char>(Bytes[Index]);
  return Size;
}

nghttp2_nv header(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both before submit returns; its type lacks the const.
  auto *Key = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data()));
  auto *Text =
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data()));
  return {Key, Text, Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// Callbacks of nghttp2.
struct Http2Session::Callbacks {
  static Http2Session &self(void *User) {
    return *static_cast<Http2Session *>(User);
  }

  static Http2Stream *find(nghttp2_session *Raw, std::int32_t Id) {
    return static_cast<Http2Stream *>(
        nghttp2_session_get_stream_user_data(Raw, Id));
  }

  static int onBeginHeaders(nghttp2_session *Raw, const nghttp2_frame *Frame,
                            void *User) {
    Http2Session &Session = self(User);
    if (Session.Role == Side::Server &&
        Frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      auto Stream = makeRef<Http2Stream>();
      Stream->Id = Frame->hd.stream_id;
      nghttp2_session_set_stream_user_data(Raw, Stream->Id, Stream.get());
      Session.add(std::move(Stream));
    }
    return 0;
  }

  static int onHeader(nghttp2_session *Raw, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t /*Flags*/, void * /*User*/) {
    Http2Stream *Stream = find(Raw, Frame->hd.stream_id);
    if (!Stream)
      return 0;
    std::string_view Key(reinterpret_cast<const char *>(Name), NameSize);
    std::string_view Text(reinterpret_cast<const char *>(Value), ValueSize);
    if (Key == ":path")
      Stream->Path = Text;
    else if (Key == ":status")
      Stream->Accepted = Text == "200";
    return 0;
  }

  static int onDataChunk(nghttp2_session *Raw, std::uint8_t /*Flags*/,
                         std::int32_t Id, const std::uint8_t *Data,
                         std::size_t Size, void *User) {
    if (Http2Stream *Stream = find(Raw, Id))
      self(User).receive(*Stream, {reinterpret_cast<const char *>(Data), Size});
    return 0;
  }

  static int onFrameReceived(nghttp2_session *Raw, const nghttp2_frame *Frame,
                             void *User) {
    Http2Session &Session = self(User);
    if (Frame->hd.type == NGHTTP2_GOAWAY) {
      Session.GoAwaySeen = true;
      if (Session.Events.OnGoAway)
        Session.Events.OnGoAway();
      return 0;
    }
    if (Frame->hd.type == NGHTTP2_PING &&
        (Frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 && Session.Draining) {
      nghttp2_submit_goaway(Raw, NGHTTP2_FLAG_NONE,
                            nghttp2_session_get_last_proc_stream_id(Raw),
                            NGHTTP2_NO_ERROR, nullptr, 0);
      return 0;
    }
    if (Frame->hd.type != NGHTTP2_DATA && Frame->hd.type != NGHTTP2_HEADERS)
      return 0;
    Http2Stream *Stream = find(Raw, Frame->hd.stream_id);
    if (!Stream)
      return 0;
    if (Session.Role == Side::Server && Frame->hd.type == NGHTTP2_HEADERS &&
        Frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      Session.Events.OnOpen(*Stream);
    if (Session.Role == Side::Client && Frame->hd.type == NGHTTP2_HEADERS &&
        !Stream->Accepted)
      Session.rejectMalformed(*Stream);
    if ((Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
      Session.peerFinished(*Stream);
    return 0;
  }

  static int onFrameSent(nghttp2_session *Raw, const nghttp2_frame *Frame,
                         void * /*User*/) {
    if (Frame->hd.type == NGHTTP2_HEADERS)
      if (Http2Stream *Stream = find(Raw, Frame->hd.stream_id))
        Stream->HeadersSent = true;
    return 0;
  }

  static int onStreamClose(nghttp2_session *Raw, std::int32_t Id,
                           std::uint32_t ErrorCode, void *User) {
    Http2Stream *Found = find(Raw, Id);
    if (!Found)
      return 0;
    Ref<Http2Stream> Stream(Found);
    nghttp2_session_set_stream_user_data(Raw, Id, nullptr);
    Http2Session &Session = self(User);
    Session.remove(*Stream);
    if (Stream->MalformedSeen ||
        (Stream->PeerFinished && !Stream->Inbound.empty()))
      Session.end(*Stream, StreamMalformed{});
    else if (Stream->PeerFinished && ErrorCode == NGHTTP2_NO_ERROR)
      Session.end(*Stream, StreamFinished{});
    else
      Session.end(*Stream, StreamReset{ErrorCode});
    return 0;
  }

  static ssize_t readOutbound(nghttp2_session *Raw, std::int32_t Id,
                              std::uint8_t *Buffer, std::size_t Room,
                              std::uint32_t *Flags,
                              nghttp2_data_source * /*Source*/,
                              void * /*User*/) {
    Http2Stream *Stream = find(Raw, Id);
    if (!Stream)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    std::size_t Filled = 0;
    while (Filled < Room && !Stream->Outbound.empty()) {
      const std::string &First = Stream->Outbound.front();
      std::size_t Count =
          std::min(Room - Filled, First.size() - Stream->OutboundOffset);
      std::copy_n(First.data() + Stream->OutboundOffset, Count,
                  Buffer + Filled);
      Filled += Count;
      Stream->OutboundOffset += Count;
      Stream->OutboundBytes -= Count;
      if (Stream->OutboundOffset == First.size()) {
        Stream->Outbound.pop_front();
        Stream->OutboundOffset = 0;
      }
    }
    if (Stream->Outbound.empty() && Stream->Finishing) {
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (Filled == 0) {
      Stream->Deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(Filled);
  }
};

Http2Session::Http2Session(Side Role, asio::ip::tcp::socket Socket,
                           Handlers Events)
    : Role(Role), Socket(std::move(Socket)), Events(std::move(Events)) {
  nghttp2_session_callbacks *Table = nullptr;
  nghttp2_session_callbacks_new(&Table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      Table, &Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Table, &Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      Table, &Callbacks::onDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      Table, &Callbacks::onFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(Table,
                                                       &Callbacks::onFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      Table, &Callbacks::onStreamClose);
  nghttp2_option *Options = nullptr;
  nghttp2_option_new(&Options);
  nghttp2_option_set_no_closed_streams(Options, 1);
  if (this->Role == Side::Server)
    nghttp2_session_server_new2(&this->Raw, Table, this, Options);
  else
    nghttp2_session_client_new2(&this->Raw, Table, this, Options);
  nghttp2_option_del(Options);
  nghttp2_session_callbacks_del(Table);
}

Http2Session::~Http2Session() {
  // Streams remain only if the event loop was destroyed before close().
  while (!this->Streams.empty()) {
    this->Streams.front().Handlers = {};
    this->remove(this->Streams.front());
  }
  nghttp2_session_del(this->Raw);
}

void Http2Session::start() {
  if (this->Closed)
    return;
  asio::error_code Ignored;
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  this->Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveIdleSeconds), Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveIntervalSeconds),
      Ignored);
  this->Socket.set_option(
      IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(UnacknowledgedLimitMs),
      Ignored);

  const std::array<nghttp2_settings_entry, 3> Entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // A server has no push setting to send.
  std::size_t Count =
      this->Role == Side::Client ? Entries.size() : Entries.size() - 1;
  nghttp2_submit_settings(this->Raw, NGHTTP2_FLAG_NONE, Entries.data(), Count);
  nghttp2_session_set_local_window_size(this->Raw, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
  this->read();
  this->flush();
}

Ref<Http2Stream> Http2Session::open(std::string Path, std::string_view Message,
                                    Http2StreamHandlers Handlers) {
  if (this->Closed || this->CloseRequested || this->GoAwaySeen ||
      nghttp2_session_check_request_allowed(this->Raw) == 0)
    return nullptr;
  auto Stream = makeRef<Http2Stream>();
  Stream->Path = std::move(Path);
  Stream->Handlers = std::move(Handlers);
  Stream->Outbound.push_back(frame(Message));
  Stream->OutboundBytes = Stream->Outbound.back().size();
  Stream->Finishing = true;
  const std::array<nghttp2_nv, 4> Headers = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", "balsamyard"), header(":path", Stream->Path)};
  nghttp2_data_provider Provider{};
  Provider.read_callback = &Callbacks::readOutbound;
  std::int32_t Id =
      nghttp2_submit_request(this->Raw, nullptr, Headers.data(), Headers.size(),
                             &Provider, Stream.get());
  if (Id < 0)
    return nullptr;
  Stream->Id = Id;
  this->add(Stream);
  this->flush();
  return Stream;
}

void Http2Session::send(Http2Stream &Stream, std::string_view Message) {
  if (this->Closed || Stream.Ended || Stream.Finishing)
    return;
  if (Message.size() > MaxMessageBytes ||
      Stream.OutboundBytes + Message.size() > MaxQueuedBytes) {
    this->reset(Stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  Stream.Outbound.push_back(frame(Message));
  Stream.OutboundBytes += Stream.Outbound.back().size();
  if (Stream.Deferred) {
    Stream.Deferred = false;
    nghttp2_session_resume_data(this->Raw, Stream.Id);
  }
  this->flush();
}

void Http2Session::finish(Http2Stream &Stream) {
  if (this->Closed || Stream.Ended || Stream.Finishing)
    return;
  Stream.Finishing = true;
  if (Stream.Deferred) {
    Stream.Deferred = false;
    nghttp2_session_resume_data(this->Raw, Stream.Id);
  }
  this->flush();
}

void Http2Session::reset(Http2Stream &Stream, std::uint32_t ErrorCode) {
  if (Stream.Ended)
    return;
  Stream.Ended = true;
  // The handlers stay until end(), because one of them may be running.
  if (this->Closed)
    return;
  nghttp2_submit_rst_stream(this->Raw, NGHTTP2_FLAG_NONE, Stream.Id, ErrorCode);
  this->flush();
}

void Http2Session::drain() {
  if (this->Closed || this->Draining)
    return;
  this->Draining = true;
  if (this->Role == Side::Client) {
    // The server opens no streams, so none can be in flight.
    nghttp2_submit_goaway(this->Raw, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                          nullptr, 0);
  } else {
    nghttp2_submit_shutdown_notice(this->Raw);
    nghttp2_submit_ping(this->Raw, NGHTTP2_FLAG_NONE, nullptr);
  }
  this->flush();
}

void Http2Session::close() {
  if (this->Closed)
    return;
  if (this->InNghttp2) {
    this->CloseRequested = true;
    return;
  }
  this->Closed = true;
  asio::error_code Ignored;
  this->Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  this->Socket.close(Ignored);
  Ref<Http2Session> Keep(this);
  while (!this->Streams.empty()) {
    Ref<Http2Stream> Stream(&this->Streams.front());
    this->remove(*Stream);
    this->end(*Stream, StreamLost{});
  }
  // The handlers may hold the owner, which holds this session.
  Handlers Last = std::move(this->Events);
  this->Events = {};
  if (Last.OnClosed)
    Last.OnClosed();
}

void Http2Session::read() {
  this->Socket.async_read_some(
      asio::buffer(this->ReadBuffer),
      [Self = Ref<Http2Session>(this)](const asio::error_code &Fault,
                                       std::size_t Size) {
        if (Self->Closed)
          return;
        if (Fault) {
          Self->close();
          return;
        }
        Self->InNghttp2 = true;
        ssize_t Used =
            nghttp2_session_mem_recv(Self->Raw, Self->ReadBuffer.data(), Size);
        Self->InNghttp2 = false;
        if (Used < 0) {
          Self->close();
          return;
        }
        Self->flush();
        if (!Self->Closed)
          Self->read();
      });
}

void Http2Session::flush() {
  if (this->InNghttp2 || this->Closed)
    return;
  if (this->CloseRequested) {
    this->close();
    return;
  }
  if (this->Writing)
    return;
  this->WriteBuffer.clear();
  this->InNghttp2 = true;
  bool Failed = false;
  while (this->WriteBuffer.size() < WriteBatchBytes) {
    const std::uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(this->Raw, &Data);
    Failed = Size < 0;
    if (Size <= 0)
      break;
    this->WriteBuffer.append(reinterpret_cast<const char *>(Data),
                             static_cast<std::size_t>(Size));
  }
  this->InNghttp2 = false;
  if (Failed || this->CloseRequested) {
    this->close();
    return;
  }
  if (this->WriteBuffer.empty()) {
    this->closeIfFinished();
    return;
  }
  this->Writing = true;
  asio::async_write(this->Socket, asio::buffer(this->WriteBuffer),
                    [Self = Ref<Http2Session>(this)](
                        const asio::error_code &Fault, std::size_t /*Size*/) {
                      Self->Writing = false;
                      if (Fault)
                        Self->close();
                      else
                        Self->flush();
                    });
}

void Http2Session::closeIfFinished() {
  if (nghttp2_session_want_read(this->Raw) == 0 &&
      nghttp2_session_want_write(this->Raw) == 0)
    this->close();
}

void Http2Session::add(Ref<Http2Stream> Stream) {
  this->Streams.push_back(*Stream.detach());
}

void Http2Session::remove(Http2Stream &Stream) {
  this->Streams.erase(this->Streams.iterator_to(Stream));
  Ref<Http2Stream> Last(&Stream, false);
}

void Http2Session::end(Http2Stream &Stream, const StreamEnd &End) {
  Http2StreamHandlers Last = std::move(Stream.Handlers);
  Stream.Handlers = {};
  if (Stream.Ended)
    return;
  Stream.Ended = true;
  if (Last.OnEnd)
    Last.OnEnd(End);
}

void Http2Session::receive(Http2Stream &Stream, std::string_view Bytes) {
  if (Stream.Ended || Stream.MalformedSeen)
    return;
  Stream.Inbound.append(Bytes);
  std::size_t Used = 0;
  while (Stream.Inbound.size() - Used >= PrefixBytes) {
    std::string_view Rest = std::string_view(Stream.Inbound).substr(Used);
    std::size_t Size = prefixedSize(Rest);
    if (Size > MaxMessageBytes) {
      this->rejectMalformed(Stream);
      return;
    }
    if (Rest.size() < PrefixBytes + Size)
      break;
    std::string Message(Rest.substr(PrefixBytes, Size));
    Used += PrefixBytes + Size;
    if (Stream.Handlers.OnMessage)
      Stream.Handlers.OnMessage(std::move(Message));
    // The handler may have cancelled the call.
    if (Stream.Ended || Stream.MalformedSeen)
      return;
  }
  Stream.Inbound.erase(0, Used);
}

void Http2Session::peerFinished(Http2Stream &Stream) {
  Stream.PeerFinished = true;
  if (Stream.Ended || Stream.MalformedSeen)
    return;
  if (!Stream.Inbound.empty()) {
    this->rejectMalformed(Stream);
    return;
  }
  if (this->Role == Side::Client)
    return;
  // The request is complete; its handler may answer from now on.
  if (Stream.Handlers.OnRequestEnd)
    Stream.Handlers.OnRequestEnd();
  if (Stream.Ended || Stream.MalformedSeen)
    return;
  const std::array<nghttp2_nv, 1> Headers = {header(":status", "200")};
  nghttp2_data_provider Provider{};
  Provider.read_callback = &Callbacks::readOutbound;
  nghttp2_submit_response(this->Raw, Stream.Id, Headers.data(), Headers.size(),
                          &Provider);
}

void Http2Session::rejectMalformed(Http2Stream &Stream) {
  Stream.MalformedSeen = true;
  nghttp2_submit_rst_stream(this->Raw, NGHTTP2_FLAG_NONE, Stream.Id,
                            NGHTTP2_PROTOCOL_ERROR);
}

} // namespace balsamyard::internal
