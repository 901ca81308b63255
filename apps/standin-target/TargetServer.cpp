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

/// Maximum size of a request body.
constexpr std::size_t MaxBodyBytes = 1 << 20;

/// Idle connections are closed after this time.
constexpr std::chrono::milliseconds IdleTimeout = std::chrono::minutes(2);

/// \brief Runs each connection on its own thread, because a keep-alive
/// connection occupies its thread. httplib accepts only queues that derive from
/// httplib::TaskQueue.
class ConnectionThreads final : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->joinEnded();
    auto Entry = this->Threads.emplace(this->Threads.end());
    Entry->Worker = std::thread([this, Entry, Task = std::move(Task)] {
      Task();
      std::lock_guard<std::mutex> EndLock(this->Mutex);
      Entry->Ended = true;
    });
  }

  void shutdown() override {
    std::list<Connection> Remaining;
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      Remaining.swap(this->Threads);
    }
    for (Connection &Entry : Remaining)
      Entry.Worker.join();
  }

private:
  struct Connection {
    std::thread Worker;
    bool Ended = false;
  };

  void joinEnded() {
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

/// \brief Stream of one connection. Buffers each answer until flush(), so that
/// it can be dropped or truncated.
class TargetStream final : public httplib::Stream {
public:
  explicit TargetStream(int Socket) : Socket(Socket) {}

  bool is_readable() const override {
    return this->poll(POLLIN, IdleTimeout) & (POLLIN | POLLHUP);
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

  /// \brief Sends the buffered bytes as the delivery mode demands.
  /// \returns whether the connection may stay open.
  bool flush() {
    std::size_t Size = this->Pending.size();
    if (this->Mode == DeliveryMode::Truncate)
      Size /= 2;
    else if (this->Mode != DeliveryMode::Answer)
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
    return this->Mode == DeliveryMode::Answer;
  }

  /// \returns whether the peer closed the connection within \p Time.
  bool closedWithin(std::chrono::microseconds Time) const {
    return this->poll(POLLRDHUP, Time) != 0;
  }

  DeliveryMode Mode = DeliveryMode::Answer;
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

/// \brief httplib server that tracks its open sockets, so that a simulated
/// crash can reset all of them. httplib offers this only to derived classes.
class SocketServer final : public httplib::Server {
public:
  explicit SocketServer(TargetModel &Model) : Model(Model) {}

  /// \brief Resets all connections without answering.
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
      this->Model.removeConnection();
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Open.erase(Socket);
    ::close(Socket);
    return true;
  }

  TargetModel &Model;
  std::mutex Mutex;
  std::set<int> Open;
};

std::optional<std::int64_t> parseNumberHeader(const httplib::Request &Request,
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
      this->handleFault(Request, Response);
    });
  }

  /// Counts the connection towards the limit at its first request to the
  /// target. The paths /fault and /stats control the stand-in and don't count.
  httplib::Server::HandlerResponse admit(const httplib::Request &Request,
                                         httplib::Response &Response) {
    TargetStream &Stream = *CurrentStream;
    if (Stream.Counted || Request.path == "/fault" || Request.path == "/stats")
      return httplib::Server::HandlerResponse::Unhandled;
    if (this->Model.tryAddConnection()) {
      Stream.Counted = true;
      return httplib::Server::HandlerResponse::Unhandled;
    }
    Stream.Mode = DeliveryMode::CloseWithoutAnswer;
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
    const auto DeadlineMs = parseNumberHeader(Request, "Deadline-Ms");
    const auto Expiry = parseNumberHeader(Request, "Expiry-Ms");
    if (!Parsed.Body.is_object() || !(IsWrite ? Expiry : DeadlineMs) ||
        !Parsed.Body.contains("route") || !Parsed.Body["route"].is_string()) {
      Response.status = 400;
      return;
    }
    Parsed.Route = Parsed.Body["route"].get<std::string>();
    Parsed.RemainingTime = std::chrono::milliseconds(DeadlineMs.value_or(0));
    Parsed.Expiry = WallTime(std::chrono::milliseconds(Expiry.value_or(0)));
    try {
      const ResponsePlan Planned =
          this->Model.begin(Parsed, steadyNow(), wallNow());
      this->executePlan(Planned, Response);
      this->Model.finish(steadyNow());
    } catch (const Json::exception &) {
      this->Model.finish(steadyNow());
      Response.status = 400;
    }
  }

  void executePlan(const ResponsePlan &Planned, httplib::Response &Response) {
    TargetStream &Stream = *CurrentStream;
    Stream.Mode = Planned.Mode;
    if (Planned.Mode == DeliveryMode::Crash)
      return this->crash();
    // A frozen request ends when the client closes its connection, or after an
    // hour.
    const std::chrono::microseconds Delay = Planned.Mode == DeliveryMode::Freeze
                                                ? std::chrono::hours(1)
                                                : Planned.Delay;
    if (Planned.Status == 200 && Stream.closedWithin(Delay)) {
      this->Model.countCancelled();
      Stream.Mode = DeliveryMode::CloseWithoutAnswer;
    }
    Response.status = Planned.Status;
    Response.set_content(Planned.Body, "application/json");
  }

  void crash() {
    this->Model.restart(steadyNow());
    this->Http.resetAll();
  }

  void handleFault(const httplib::Request &Request,
                   httplib::Response &Response) {
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
  Endpoint Listen = this->Implementation->Model.settings().Listen;
  httplib::Server &Http = this->Implementation->Http;
  if (Listen.Port == 0)
    Listen.Port = static_cast<std::uint16_t>(
        std::max(0, Http.bind_to_any_port(Listen.Address)));
  else if (!Http.bind_to_port(Listen.Address, Listen.Port))
    Listen.Port = 0;
  if (Listen.Port == 0)
    return fail(Code::SettingsBadValue, "cannot listen on " + toText(Listen));
  // httplib's backlog of 5 would drop connections that arrive in a burst.
  ::listen(this->Implementation->Listener, SOMAXCONN);
  this->Implementation->Acceptor =
      std::thread([&Http] { Http.listen_after_bind(); });
  return Listen;
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
