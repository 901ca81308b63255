#include "balsamyard/src/Connection/PeerClient.h"

#include "balsamyard/src/Connection/Http2Session.h"
#include "balsamyard/src/Core/Messages.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nghttp2/nghttp2.h>

namespace balsamyard {

using internal::Http2Session;
using internal::Http2Stream;
using internal::IoThreads;
using internal::Strand;

namespace {

/// A peer in the other region answers within 20 ms, so a connection attempt
/// that takes this long is given up; later calls try again.
constexpr std::chrono::milliseconds ConnectTimeout(1000);

using Hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::safe_link>>;

struct Peer;

/// One call. Accessed only on the strand of its peer, except for constant
/// members. Queued tasks hold references to it, so it must not hold IoThreads.
struct Call : RefCounted<Call>, Hook {
  explicit Call(const Strand &PeerStrand) : Timer(PeerStrand) {}

  Ref<Peer> To;
  std::string Path;
  std::string Message;
  TimePoint Deadline;
  PeerClient::MessageHandler OnMessage;
  PeerClient::CloseHandler OnClose;
  asio::steady_timer Timer;
  Ref<Http2Session> Session;
  Ref<Http2Stream> Stream;
  bool Linked = false;
  bool Done = false;
};

template <typename T>
using IntrusiveList =
    boost::intrusive::list<T, boost::intrusive::constant_time_size<false>>;

/// One peer and its connection.
struct Peer : RefCounted<Peer> {
  Peer(Endpoint Remote, Strand PeerStrand)
      : Remote(std::move(Remote)), PeerStrand(std::move(PeerStrand)),
        ConnectTimer(this->PeerStrand) {}

  void start(const Ref<Call> &Started);
  void cancel(Call &Wanted, Code Reason);
  void finish(Call &Ended, Code Result, bool Sent);
  void connect();
  void connected(asio::ip::tcp::socket Socket);
  void failWaitingCalls();
  void open(Call &Waiting);
  void stop();

  const Endpoint Remote;
  const Strand PeerStrand;
  asio::steady_timer ConnectTimer;
  std::shared_ptr<asio::ip::tcp::socket> Connecting;
  Ref<Http2Session> Current; ///< Accepts new streams.
  std::map<Http2Session *, Ref<Http2Session>> Sessions;
  IntrusiveList<Call> Calls; ///< Every call that has not ended.
  bool Stopped = false;
};

/// \returns the result of a call for the end of its stream.
struct EndToResult {
  Code operator()(const internal::StreamFinished & /*End*/) const {
    return Code::Ok;
  }
  Code operator()(const internal::StreamReset &End) const {
    return End.ErrorCode == NGHTTP2_PROTOCOL_ERROR ? Code::MalformedMessage
                                                   : Code::PeerUnreachable;
  }
  Code operator()(const internal::StreamMalformed & /*End*/) const {
    return Code::MalformedMessage;
  }
  Code operator()(const internal::StreamLost & /*End*/) const {
    return Code::PeerUnreachable;
  }
};

bool refusedUnprocessed(const internal::StreamEnd &End) {
  const auto *Reset = std::get_if<internal::StreamReset>(&End);
  return Reset && Reset->ErrorCode == NGHTTP2_REFUSED_STREAM;
}

void Peer::start(const Ref<Call> &Started) {
  if (Started->Done)
    return;
  intrusive_ptr_add_ref(Started.get());
  this->Calls.push_back(*Started);
  Started->Linked = true;
  if (this->Stopped) {
    this->finish(*Started, Code::PeerUnreachable, false);
    return;
  }
  if (Started->Message.size() > MaxMessageBytes) {
    this->finish(*Started, Code::MalformedMessage, false);
    return;
  }
  Started->Timer.expires_at(Started->Deadline);
  Started->Timer.async_wait([Started](const asio::error_code &Cancelled) {
    if (!Cancelled)
      Started->To->cancel(*Started, Code::DeadlineExceeded);
  });
  if (this->Current)
    this->open(*Started);
  else if (!this->Connecting)
    this->connect();
}

void Peer::cancel(Call &Wanted, Code Reason) {
  if (Wanted.Done)
    return;
  bool Sent = Wanted.Stream && Wanted.Stream->HeadersSent;
  if (Wanted.Stream)
    Wanted.Session->reset(*Wanted.Stream, NGHTTP2_CANCEL);
  this->finish(Wanted, Reason, Sent);
}

void Peer::finish(Call &Ended, Code Result, bool Sent) {
  if (Ended.Done)
    return;
  Ref<Call> Keep(&Ended);
  Ended.Done = true;
  Ended.Timer.cancel();
  if (Ended.Linked) {
    Ended.Linked = false;
    this->Calls.erase(this->Calls.iterator_to(Ended));
    Ref<Call> Released(&Ended, false);
  }
  Ended.Stream = nullptr;
  Ended.Session = nullptr;
  // OnMessage may be running now, so it is not destroyed here.
  auto OnClose = std::move(Ended.OnClose);
  Ended.OnClose = nullptr;
  if (OnClose)
    OnClose(Result, Sent);
}

void Peer::connect() {
  asio::error_code Fault;
  asio::ip::address Address =
      asio::ip::make_address(this->Remote.Address, Fault);
  if (Fault) {
    this->failWaitingCalls();
    return;
  }
  auto Socket = std::make_shared<asio::ip::tcp::socket>(this->PeerStrand);
  this->Connecting = Socket;
  this->ConnectTimer.expires_after(ConnectTimeout);
  this->ConnectTimer.async_wait([Socket](const asio::error_code &Cancelled) {
    asio::error_code Ignored;
    if (!Cancelled)
      Socket->close(Ignored);
  });
  Socket->async_connect(
      asio::ip::tcp::endpoint(Address, this->Remote.Port),
      [Self = Ref<Peer>(this), Socket](const asio::error_code &Refused) {
        Self->ConnectTimer.cancel();
        Self->Connecting = nullptr;
        if (Refused || Self->Stopped || !Socket->is_open())
          Self->failWaitingCalls();
        else
          Self->connected(std::move(*Socket));
      });
}

void Peer::connected(asio::ip::tcp::socket Socket) {
  Http2Session::Handlers Events;
  auto SessionPointer = std::make_shared<Http2Session *>(nullptr);
  Events.OnGoAway = [Self = Ref<Peer>(this), SessionPointer] {
    if (Self->Current.get() == *SessionPointer)
      Self->Current = nullptr;
  };
  Events.OnClosed = [Self = Ref<Peer>(this), SessionPointer] {
    if (Self->Current.get() == *SessionPointer)
      Self->Current = nullptr;
    Self->Sessions.erase(*SessionPointer);
  };
  this->Current = makeRef<Http2Session>(Http2Session::Side::Client,
                                        std::move(Socket), std::move(Events));
  *SessionPointer = this->Current.get();
  this->Sessions.emplace(*SessionPointer, this->Current);
  this->Current->start();
  // Opening a call may end others and so modify the list.
  std::vector<Ref<Call>> Waiting;
  for (Call &Pending : this->Calls)
    if (!Pending.Stream)
      Waiting.emplace_back(&Pending);
  for (const Ref<Call> &Pending : Waiting)
    if (!Pending->Done)
      this->open(*Pending);
}

void Peer::failWaitingCalls() {
  std::vector<Ref<Call>> Waiting;
  for (Call &Pending : this->Calls)
    if (!Pending.Stream)
      Waiting.emplace_back(&Pending);
  for (const Ref<Call> &Pending : Waiting)
    this->finish(*Pending, Code::PeerUnreachable, false);
}

void Peer::open(Call &Waiting) {
  Ref<Call> Keep(&Waiting);
  internal::Http2StreamHandlers Handlers;
  Handlers.OnMessage = [Keep](std::string Message) {
    if (!Keep->Done && Keep->OnMessage)
      Keep->OnMessage(std::move(Message));
  };
  Handlers.OnEnd = [Keep](const internal::StreamEnd &End) {
    bool Sent =
        Keep->Stream && Keep->Stream->HeadersSent && !refusedUnprocessed(End);
    Keep->To->finish(*Keep, std::visit(EndToResult{}, End), Sent);
  };
  Ref<Http2Session> Session = this->Current;
  Ref<Http2Stream> Stream;
  if (Session)
    Stream = Session->open(Waiting.Path, Waiting.Message, std::move(Handlers));
  if (!Stream) {
    // The connection has used up its stream ids or is closing.
    if (Session) {
      Session->drain();
      if (this->Current == Session)
        this->Current = nullptr;
    }
    if (!Waiting.Done && !this->Connecting)
      this->connect();
    return;
  }
  Waiting.Message.clear();
  Waiting.Session = std::move(Session);
  Waiting.Stream = std::move(Stream);
}

void Peer::stop() {
  this->Stopped = true;
  asio::error_code Ignored;
  if (this->Connecting)
    this->Connecting->close(Ignored);
  auto Open = this->Sessions;
  for (const auto &[Key, Session] : Open)
    Session->close();
  this->failWaitingCalls();
}

/// All peers that were called so far.
struct PeerMap : RefCounted<PeerMap> {
  std::map<Endpoint, Ref<Peer>> Peers;
};

/// A task scheduled by after().
struct DelayedTask : RefCounted<DelayedTask>, Hook {
  DelayedTask(asio::io_context &Context, std::function<void()> Task)
      : Timer(Context), Task(std::move(Task)) {}

  asio::steady_timer Timer;
  std::function<void()> Task;
};

} // namespace

struct PeerCall::State : RefCounted<PeerCall::State> {
  State(Ref<IoThreads> Io, Ref<Call> Inner)
      : Io(std::move(Io)), Inner(std::move(Inner)) {}

  Ref<IoThreads> Io; ///< Declared first, so that it is released last.
  Ref<Call> Inner;
};

PeerCall::PeerCall(Ref<State> Shared) : Shared(std::move(Shared)) {}

PeerCall::~PeerCall() = default;

void PeerCall::cancel() {
  const Ref<Call> &Inner = this->Shared->Inner;
  asio::dispatch(Inner->To->PeerStrand,
                 [Inner] { Inner->To->cancel(*Inner, Code::Cancelled); });
}

struct PeerClient::Impl {
  explicit Impl(std::size_t Threads)
      : Io(makeRef<IoThreads>(Threads)),
        CurrentPeers(makeRef<const PeerMap>()) {}

  Ref<Peer> find(const Endpoint &To);

  Ref<IoThreads> Io;
  /// Read by each call and replaced when a peer is added.
  RcuCell<PeerMap> CurrentPeers;
  std::mutex PeerMutex;
  std::mutex TaskMutex; ///< Guards the tasks.
  IntrusiveList<DelayedTask> Tasks;
  std::atomic<bool> Stopping{false};
};

Ref<Peer> PeerClient::Impl::find(const Endpoint &To) {
  auto Lookup = [&To](const PeerMap &Map) {
    auto Found = Map.Peers.find(To);
    return Found == Map.Peers.end() ? Ref<Peer>() : Found->second;
  };
  if (Ref<Peer> Found = Lookup(*this->CurrentPeers.read()))
    return Found;
  std::lock_guard<std::mutex> Lock(this->PeerMutex);
  Ref<const PeerMap> Latest = this->CurrentPeers.read();
  if (Ref<Peer> Found = Lookup(*Latest))
    return Found;
  auto Added = makeRef<Peer>(To, this->Io->makeStrand());
  auto Next = makeRef<PeerMap>();
  Next->Peers = Latest->Peers;
  Next->Peers.emplace(To, Added);
  this->CurrentPeers.publish(Next);
  return Added;
}

PeerClient::PeerClient(std::size_t Threads)
    : Implementation(std::make_unique<Impl>(Threads)) {}

PeerClient::~PeerClient() {
  Impl &Self = *this->Implementation;
  {
    std::lock_guard<std::mutex> Lock(Self.TaskMutex);
    Self.Stopping = true;
    for (DelayedTask &Delayed : Self.Tasks)
      Delayed.Timer.cancel();
  }
  const auto Peers = Self.CurrentPeers.read();
  for (const auto &[Remote, Connected] : Peers->Peers)
    asio::post(Connected->PeerStrand,
               [Stopped = Connected] { Stopped->stop(); });
  Self.Io->finish();
}

Ref<PeerCall> PeerClient::call(const Endpoint &To, std::string Path,
                               std::string Message, Duration Timeout,
                               MessageHandler OnMessage, CloseHandler OnClose) {
  Ref<Peer> Target = this->Implementation->find(To);
  auto Started = makeRef<Call>(Target->PeerStrand);
  Started->To = Target;
  Started->Path = std::move(Path);
  Started->Message = std::move(Message);
  Started->Deadline = steadyNow() + Timeout;
  Started->OnMessage = std::move(OnMessage);
  Started->OnClose = std::move(OnClose);
  bool Stop = this->Implementation->Stopping;
  asio::post(Target->PeerStrand, [Started, Stop] {
    // A handler may make a call to a new peer while the client is destroyed.
    Started->To->Stopped = Started->To->Stopped || Stop;
    Started->To->start(Started);
  });
  return makeRef<PeerCall>(
      makeRef<PeerCall::State>(this->Implementation->Io, Started));
}

void PeerClient::after(Duration Delay, std::function<void()> Task) {
  Impl &Self = *this->Implementation;
  auto Added = makeRef<DelayedTask>(Self.Io->Context, std::move(Task));
  std::lock_guard<std::mutex> Lock(Self.TaskMutex);
  if (Self.Stopping)
    return;
  Self.Tasks.push_back(*Added);
  Added->Timer.expires_after(Delay);
  Added->Timer.async_wait([&Self, Added](const asio::error_code & /*Fault*/) {
    bool Dropped;
    {
      std::lock_guard<std::mutex> Guard(Self.TaskMutex);
      Self.Tasks.erase(Self.Tasks.iterator_to(*Added));
      Dropped = Self.Stopping;
    }
    if (!Dropped)
      Added->Task();
  });
}

} // namespace balsamyard
