#include "balsamyard/src/Connection/PeerServer.h"

#include "balsamyard/src/Connection/Http2Session.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nghttp2/nghttp2.h>
#include <optional>

namespace balsamyard {

using internal::Http2Session;
using internal::Http2Stream;
using internal::IoThreads;
using internal::Strand;

namespace {

/// Pause after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds AcceptPause(100);

/// State of a stream that its handler and its session share. Queued tasks hold
/// references to it, so it must not hold IoThreads.
struct StreamState : RefCounted<StreamState> {
  StreamState(Ref<Http2Session> Session, Ref<Http2Stream> Stream,
              Strand SessionStrand)
      : Session(std::move(Session)), Stream(std::move(Stream)),
        SessionStrand(std::move(SessionStrand)) {}

  Ref<Http2Session> Session;
  Ref<Http2Stream> Stream;
  Strand SessionStrand;
  std::atomic<bool> Cancelled{false};
  std::atomic<bool> Finished{false};
  std::function<void()> OnCancel; ///< Accessed only on the strand.
};

/// Whether a connection has brought a complete request, as those of other nodes
/// do at once.
struct ConnectionUse : RefCounted<ConnectionUse> {
  std::atomic<bool> HasRequest{false};
};

/// Collects the one message of a request.
struct RequestState : RefCounted<RequestState> {
  std::optional<std::string> Message;
};

} // namespace

struct PeerStream::State : RefCounted<PeerStream::State> {
  State(Ref<IoThreads> Io, Ref<StreamState> Inner)
      : Io(std::move(Io)), Inner(std::move(Inner)) {}

  Ref<IoThreads> Io; ///< Declared first, so that it is released last.
  Ref<StreamState> Inner;
};

PeerStream::PeerStream(Ref<State> Shared) : Shared(std::move(Shared)) {}

PeerStream::~PeerStream() {
  const Ref<StreamState> &Inner = this->Shared->Inner;
  if (Inner->Finished.exchange(true))
    return;
  asio::post(Inner->SessionStrand, [Inner] {
    Inner->OnCancel = nullptr;
    Inner->Session->reset(*Inner->Stream, NGHTTP2_INTERNAL_ERROR);
  });
}

void PeerStream::send(std::string Message) {
  const Ref<StreamState> &Inner = this->Shared->Inner;
  asio::post(Inner->SessionStrand, [Inner, Message = std::move(Message)] {
    Inner->Session->send(*Inner->Stream, Message);
  });
}

void PeerStream::finish() {
  const Ref<StreamState> &Inner = this->Shared->Inner;
  if (Inner->Finished.exchange(true))
    return;
  asio::post(Inner->SessionStrand, [Inner] {
    Inner->OnCancel = nullptr;
    Inner->Session->finish(*Inner->Stream);
  });
}

void PeerStream::onCancel(std::function<void()> Handler) {
  const Ref<StreamState> &Inner = this->Shared->Inner;
  asio::dispatch(Inner->SessionStrand,
                 [Inner, Handler = std::move(Handler)]() mutable {
                   if (Inner->Finished)
                     return;
                   if (Inner->Cancelled)
                     Handler();
                   else
                     Inner->OnCancel = std::move(Handler);
                 });
}

bool PeerStream::cancelled() const { return this->Shared->Inner->Cancelled; }

struct PeerServer::Impl {
  Impl(std::size_t Threads, Handler OnRequest, std::size_t MaxConnections)
      : Io(makeRef<IoThreads>(Threads)), AcceptStrand(this->Io->makeStrand()),
        Acceptor(this->AcceptStrand), AcceptTimer(this->AcceptStrand),
        OnRequest(std::move(OnRequest)), MaxConnections(MaxConnections) {}

  struct Entry {
    Ref<Http2Session> Session;
    Strand SessionStrand;
    Ref<ConnectionUse> Use;
    std::uint64_t Number = 0; ///< In the order of their acceptance.
  };

  void accept();
  bool makeRoom();
  void serve(asio::ip::tcp::socket Socket, const Strand &SessionStrand);
  void open(const Entry &Connection, Http2Stream &Stream);
  std::vector<Entry> sessions();

  Ref<IoThreads> Io;
  Strand AcceptStrand;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  Handler OnRequest;
  const std::size_t MaxConnections;
  Endpoint Local;
  std::mutex Mutex; ///< Guards the members below; not taken by requests.
  std::map<Http2Session *, Entry> Sessions;
  std::uint64_t Accepted = 0;
  bool Stopping = false;
};

void PeerServer::Impl::accept() {
  Strand SessionStrand = this->Io->makeStrand();
  this->Acceptor.async_accept(
      SessionStrand, [this, SessionStrand](const asio::error_code &Fault,
                                           asio::ip::tcp::socket Socket) {
        if (!Fault)
          this->serve(std::move(Socket), SessionStrand);
        if (!this->Acceptor.is_open())
          return;
        if (!Fault) {
          this->accept();
          return;
        }
        this->AcceptTimer.expires_after(AcceptPause);
        this->AcceptTimer.async_wait([this](const asio::error_code &Cancelled) {
          if (!Cancelled && this->Acceptor.is_open())
            this->accept();
        });
      });
}

bool PeerServer::Impl::makeRoom() {
  if (this->Sessions.size() < this->MaxConnections)
    return true;
  auto Oldest = this->Sessions.end();
  for (auto Each = this->Sessions.begin(); Each != this->Sessions.end(); ++Each)
    if (!Each->second.Use->HasRequest &&
        (Oldest == this->Sessions.end() ||
         Each->second.Number < Oldest->second.Number))
      Oldest = Each;
  if (Oldest == this->Sessions.end())
    return false;
  asio::post(Oldest->second.SessionStrand,
             [Session = Oldest->second.Session] { Session->close(); });
  this->Sessions.erase(Oldest);
  return true;
}

void PeerServer::Impl::serve(asio::ip::tcp::socket Socket,
                             const Strand &SessionStrand) {
  Http2Session::Handlers Events;
  // The session calls its handlers only while it lives, and it leaves the map
  // before it ends.
  auto Self = std::make_shared<Http2Session *>(nullptr);
  const auto Use = makeRef<ConnectionUse>();
  Events.OnOpen = [this, Self, SessionStrand, Use](Http2Stream &Stream) {
    this->open({Ref<Http2Session>(*Self), SessionStrand, Use}, Stream);
  };
  Events.OnClosed = [this, Self] {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Sessions.erase(*Self);
  };
  auto Session = makeRef<Http2Session>(Http2Session::Side::Server,
                                       std::move(Socket), std::move(Events));
  *Self = Session.get();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Stopping || !this->makeRoom())
      return;
    this->Sessions.emplace(
        Session.get(), Entry{Session, SessionStrand, Use, this->Accepted++});
  }
  asio::post(SessionStrand, [Session, Drain = !this->Acceptor.is_open()] {
    Session->start();
    // The connection was accepted just before drain() closed the acceptor.
    if (Drain)
      Session->drain();
  });
}

void PeerServer::Impl::open(const Entry &Connection, Http2Stream &Stream) {
  auto Request = makeRef<RequestState>();
  auto Inner = makeRef<StreamState>(
      Connection.Session, Ref<Http2Stream>(&Stream), Connection.SessionStrand);
  Stream.Handlers.OnMessage = [Inner, Request](std::string Message) {
    if (!Request->Message) {
      Request->Message = std::move(Message);
      return;
    }
    Inner->Session->reset(*Inner->Stream, NGHTTP2_PROTOCOL_ERROR);
  };
  Stream.Handlers.OnRequestEnd = [this, Inner, Request, Use = Connection.Use] {
    if (!Request->Message) {
      Inner->Session->reset(*Inner->Stream, NGHTTP2_PROTOCOL_ERROR);
      return;
    }
    Use->HasRequest = true;
    this->OnRequest(
        Inner->Stream->Path, std::move(*Request->Message),
        makeRef<PeerStream>(makeRef<PeerStream::State>(this->Io, Inner)));
  };
  Stream.Handlers.OnEnd = [Inner](const internal::StreamEnd & /*End*/) {
    if (Inner->Finished)
      return;
    Inner->Cancelled = true;
    if (auto Handler = std::move(Inner->OnCancel)) {
      Inner->OnCancel = nullptr;
      Handler();
    }
  };
}

std::vector<PeerServer::Impl::Entry> PeerServer::Impl::sessions() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<Entry> Result;
  for (const auto &[Session, Open] : this->Sessions)
    Result.push_back(Open);
  return Result;
}

PeerServer::PeerServer(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

Expected<std::unique_ptr<PeerServer>>
PeerServer::listen(const Endpoint &At, std::size_t Threads, Handler OnRequest,
                   std::size_t MaxConnections) {
  asio::error_code Fault;
  asio::ip::address Address = asio::ip::make_address(At.Address, Fault);
  if (Fault)
    return fail(Code::PeerUnreachable,
                "cannot listen on " + toText(At) + ": " + Fault.message());
  auto Server =
      std::make_unique<Impl>(Threads, std::move(OnRequest), MaxConnections);
  asio::ip::tcp::endpoint Local(Address, At.Port);
  asio::ip::tcp::acceptor &Acceptor = Server->Acceptor;
  Acceptor.open(Local.protocol(), Fault);
  if (!Fault)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Fault);
  if (!Fault)
    Acceptor.bind(Local, Fault);
  if (!Fault)
    Acceptor.listen(asio::socket_base::max_listen_connections, Fault);
  if (!Fault)
    Local = Acceptor.local_endpoint(Fault);
  if (Fault) {
    Server->Io->finish();
    return fail(Code::PeerUnreachable,
                "cannot listen on " + toText(At) + ": " + Fault.message());
  }
  Server->Local = {Local.address().to_string(), Local.port()};
  asio::post(Server->AcceptStrand, [Raw = Server.get()] { Raw->accept(); });
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(Server)));
}

PeerServer::~PeerServer() {
  Impl &Self = *this->Implementation;
  {
    std::lock_guard<std::mutex> Lock(Self.Mutex);
    Self.Stopping = true;
  }
  asio::post(Self.AcceptStrand, [&Self] {
    asio::error_code Ignored;
    Self.Acceptor.close(Ignored);
    Self.AcceptTimer.cancel();
  });
  for (const Impl::Entry &Open : Self.sessions())
    asio::post(Open.SessionStrand,
               [Session = Open.Session] { Session->close(); });
  Self.Io->finish();
}

Endpoint PeerServer::local() const { return this->Implementation->Local; }

void PeerServer::drain() {
  Impl &Self = *this->Implementation;
  asio::post(Self.AcceptStrand, [&Self] {
    asio::error_code Ignored;
    Self.Acceptor.close(Ignored);
    Self.AcceptTimer.cancel();
    for (const Impl::Entry &Open : Self.sessions())
      asio::post(Open.SessionStrand,
                 [Session = Open.Session] { Session->drain(); });
  });
}

} // namespace balsamyard
