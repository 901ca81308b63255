#include "TargetServer.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <httplib.h>
#include <list>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standin {

using namespace balsamyard;
using Json = nlohmann::json;

namespace {

/// Longest body of a request, in bytes.
constexpr std::size_t MaxBodyBytes = 1 << 20;

/// Idle connections are closed after this time.
constexpr std::chrono::milliseconds IdleTime = std::chrono::minutes(2);

/// \brief One thread per connection, because a kept connection holds its
/// thread. httplib takes its queue by inheritance.
class ConnectionThreads final : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->reap();
    auto Entry = this->Threads.emplace(this->Threads.end());
    Entry->Worker = std::thread([this, Entry, Task = std::move(Task)] {
      Task();
      std::lock_guard<std::mutex> EndLock(this->Mutex);
      Entry->Ended = true;
    });
  }

  void shutdown() override {
    std::list<Connection> Rest;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Rest.swap(this->Threads);
    }
    for (Connection &Entry : Rest)
      Entry.Worker.join();
  }

private:
  struct Connection {
    std::thread Worker;
    bool Ended = false;
  };

  void reap() {
    for (auto Entry = this->Threads.begin(); Entry != this->Threads.end();) {
      if (!Entry->Ended) {
        ++Entry;
        continue;
      }
      Entry->Worker.join();
      Entry = this->Threads.erase(Entry);
    }
  }

  std::mutex Mutex;
  std::list<Connection> Threads;
};

/// \brief The bytes of one connection. Holds answers back so that they can be
/// dropped or cut short.
class TargetStream final : public httplib::Stream {
public:
  explicit TargetStream(int Socket) : Socket(Socket) {}

  bool is_readable() const override {
    return this->poll(POLLIN, IdleTime) & (POLLIN | POLLHUP);
  }
  bool is_writable() const override { return true; }
  socket_t socket() const override { return this->Socket; }

  ssize_t read(char *Data, std::size_t Size) override {
    if (!this->is_readable())
      return -1;
    return ::recv(this->Socket, Data, Size, 0);
  }

  ssize_t write(const char *Data, std::size_t Size) override {
    this->Pending.append(Data, Size);
    return static_cast<ssize_t>(Size);
  }

  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    Ip = "127.0.0.1";
    Port = 0;
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    Ip = "127.0.0.1";
    Port = 0;
  }

  /// \brief Sends what was written, as the ending demands.
  /// \returns whether the connection may be kept.
  bool flush() {
    std::size_t Size = this->Pending.size();
    if (this->End == Ending::Truncate)
      Size /= 2;
    else if (this->End != Ending::Answer)
      Size = 0;
    std::size_t Sent = 0;
    while (Sent < Size) {
      const ssize_t Count = ::send(this->Socket, this->Pending.data() + Sent,
                                   Size - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<std::size_t>(Count);
    }
    this->Pending.clear();
    return this->End == Ending::Answer;
  }

  /// \returns whether the peer closed the connection within \p Time.
  bool closedWithin(std::chrono::microseconds Time) const {
    return this->poll(POLLRDHUP, Time) != 0;
  }

  Ending End = Ending::Answer;
  bool Counted = false;
  bool OverLimit = false;

private:
  int poll(short Events, std::chrono::microseconds Time) const {
    pollfd Entry{this->Socket, Events, 0};
    timespec Limit{};
    Limit.tv_sec = Time.count() / 1000000;
    Limit.tv_nsec = Time.count() % 1000000 * 1000;
    return ::ppoll(&Entry, 1, &Limit, nullptr) > 0 ? Entry.revents : 0;
  }

  int Socket;
  std::string Pending;
};

thread_local TargetStream *CurrentStream = nullptr;

/// \brief httplib server that owns its sockets, so that a crash can reset all
/// of them. httplib offers this by inheritance only.
class SocketServer final : public httplib::Server {
public:
  explicit SocketServer(TargetModel &Model) : Model(Model) {}

  /// \brief Resets every connection without an answer.
  void resetAll() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const linger Reset{1, 0};
    for (int Socket : this->Open) {
      ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      ::shutdown(Socket, SHUT_RDWR);
    }
  }

private:
  bool process_and_close_socket(socket_t Socket) override {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Open.insert(Socket);
    }
    TargetStream Stream(Socket);
    CurrentStream = &Stream;
    bool Keep = !Stream.closedWithin(this->Model.settings().ConnectTime);
    while (Keep && Stream.is_readable()) {
      bool Closed = false;
      const bool Processed =
          this->process_request(Stream, false, Closed, nullptr);
      Keep = Stream.flush() && Processed && !Closed && !Stream.OverLimit;
    }
    CurrentStream = nullptr;
    if (Stream.Counted)
      this->Model.disconnect();
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Open.erase(Socket);
    ::close(Socket);
    return true;
  }

  TargetModel &Model;
  std::mutex Mutex;
  std::set<int> Open;
};

std::optional<std::int64_t> numberHeader(const httplib::Request &Request,
                                         const char *Name) {
  const std::string Text = Request.get_header_value(Name);
  if (Text.empty() || Text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return std::strtoll(Text.c_str(), nullptr, 10);
}

} // namespace

struct TargetServer::Impl {
  explicit Impl(TargetSettings Settings)
      : Model(std::move(Settings),
              static_cast<std::uint64_t>(wallNow().time_since_epoch().count())),
        Http(Model) {
    this->Http.new_task_queue = [] { return new ConnectionThreads; };
    this->Http.set_tcp_nodelay(true);
    this->Http.set_socket_options([this](socket_t Socket) {
      const int On = 1;
      ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
      this->Listener = Socket;
    });
    this->Http.set_payload_max_length(MaxBodyBytes);
    this->Http.set_pre_routing_handler(
        [this](const httplib::Request &Request, httplib::Response &Response) {
          return this->admit(Request, Response);
        });
    this->Http.Post("/search", [this](const auto &Request, auto &Response) {
      this->serve(false, Request, Response);
    });
    this->Http.Post("/write", [this](const auto &Request, auto &Response) {
      this->serve(true, Request, Response);
    });
    this->Http.Get("/health", [this](const auto &, auto &Response) {
      Response.set_content(this->Model.health().dump(), "application/json");
    });
    this->Http.Get("/stats", [this](const auto &, auto &Response) {
      Response.set_content(this->Model.stats().dump(), "application/json");
    });
    this->Http.Post("/fault", [this](const auto &Request, auto &Response) {
      this->fault(Request, Response);
    });
  }

  /// Counts the connection at its first request that is not of the stand-in
  /// itself.
  httplib::Server::HandlerResponse admit(const httplib::Request &Request,
                                         httplib::Response &Response) {
    TargetStream &Stream = *CurrentStream;
    if (Stream.Counted || Request.path == "/fault" || Request.path == "/stats")
      return httplib::Server::HandlerResponse::Unhandled;
    if (this->Model.connect()) {
      Stream.Counted = true;
      return httplib::Server::HandlerResponse::Unhandled;
    }
    Stream.End = Ending::CloseWithoutAnswer;
    Stream.OverLimit = true;
    Response.status = 503;
    return httplib::Server::HandlerResponse::Handled;
  }

  void serve(bool IsWrite, const httplib::Request &Request,
             httplib::Response &Response) {
    TargetRequest Parsed;
    Parsed.IsWrite = IsWrite;
    Parsed.Text = Request.body;
    Parsed.Body = Json::parse(Request.body, nullptr, false);
    const auto Left = numberHeader(Request, "Deadline-Ms");
    const auto Expiry = numberHeader(Request, "Expiry-Ms");
    if (!Parsed.Body.is_object() || !(IsWrite ? Expiry : Left) ||
        !Parsed.Body.contains("route") || !Parsed.Body["route"].is_string()) {
      Response.status = 400;
      return;
    }
    Parsed.Route = Parsed.Body["route"].get<std::string>();
    Parsed.TimeLeft = std::chrono::milliseconds(Left.value_or(0));
    Parsed.Expiry = WallTime(std::chrono::milliseconds(Expiry.value_or(0)));
    try {
      const Plan Chosen = this->Model.begin(Parsed, steadyNow(), wallNow());
      this->carryOut(Chosen, Response);
      this->Model.finish(steadyNow());
    } catch (const Json::exception &) {
      this->Model.finish(steadyNow());
      Response.status = 400;
    }
  }

  void carryOut(const Plan &Chosen, httplib::Response &Response) {
    TargetStream &Stream = *CurrentStream;
    Stream.End = Chosen.End;
    if (Chosen.End == Ending::Crash)
      return this->crash();
    // A frozen request ends when its connection does.
    const std::chrono::microseconds Delay =
        Chosen.End == Ending::Freeze ? std::chrono::hours(1) : Chosen.Delay;
    if (Chosen.Status == 200 && Stream.closedWithin(Delay)) {
      this->Model.cancelled();
      Stream.End = Ending::CloseWithoutAnswer;
    }
    Response.status = Chosen.Status;
    Response.set_content(Chosen.Body, "application/json");
  }

  void crash() {
    this->Model.restart(steadyNow());
    this->Http.resetAll();
  }

  void fault(const httplib::Request &Request, httplib::Response &Response) {
    auto Command = parseFault(Request.body, steadyNow());
    if (!Command) {
      Response.status = 400;
      Response.set_content(Command.error().Detail, "text/plain");
      return;
    }
    this->Model.apply(*Command, steadyNow());
    if (std::holds_alternative<CrashCommand>(*Command))
      this->crash();
    if (std::holds_alternative<ExitCommand>(*Command))
      ::_exit(1);
    Response.set_content("{}", "application/json");
  }

  TargetModel Model;
  SocketServer Http;
  int Listener = -1;
  std::thread Acceptor;
};

TargetServer::TargetServer(TargetSettings Settings)
    : Implementation(std::make_unique<Impl>(std::move(Settings))) {}

TargetServer::~TargetServer() { this->stop(); }

Expected<Endpoint> TargetServer::start() {
  Endpoint At = this->Implementation->Model.settings().Listen;
  httplib::Server &Http = this->Implementation->Http;
  if (At.Port == 0)
    At.Port = static_cast<std::uint16_t>(
        std::max(0, Http.bind_to_any_port(At.Address)));
  else if (!Http.bind_to_port(At.Address, At.Port))
    At.Port = 0;
  if (At.Port == 0)
    return fail(Code::SettingsBadValue, "cannot listen on " + toText(At));
  // The package's backlog of 5 drops a burst of connections.
  ::listen(this->Implementation->Listener, SOMAXCONN);
  this->Implementation->Acceptor =
      std::thread([&Http] { Http.listen_after_bind(); });
  return At;
}

void TargetServer::stop() {
  if (!this->Implementation->Acceptor.joinable())
    return;
  // Server::stop() has no effect before the server accepts connections.
  ::shutdown(this->Implementation->Listener, SHUT_RDWR);
  this->Implementation->Http.resetAll();
  this->Implementation->Acceptor.join();
}

} // namespace standin
