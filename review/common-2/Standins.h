#pragma once

// Stand-ins for the store, the leafs and the consumers of a small deployment,
// and the start and end of node processes. Plain sockets, one thread for each
// connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char **environ;

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline void sleepFor(Millis Time) { std::this_thread::sleep_for(Time); }

/// \brief Exit status of a case that could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// \brief Lines of what was sent, answered and run, with the time in seconds.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path, std::ios::trunc) {}

  void line(const std::string &Text) {
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - this->Start).count();
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ", Seconds);
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->File << Time << Text << "\n" << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  const Clock::time_point Start = Clock::now();
};

// ---------------------------------------------------------------------------
// Messages

struct Message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool Complete = false; ///< The whole message was read.

  std::string field(std::string Name) const {
    const auto Lower = [](std::string Text) {
      for (char &C : Text)
        C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
      return Text;
    };
    Name = Lower(Name);
    for (const auto &[Key, Value] : this->Fields)
      if (Lower(Key) == Name)
        return Value;
    return "";
  }
  std::string word(int Index) const {
    std::size_t At = 0;
    for (int Skip = 0; Skip < Index; ++Skip) {
      At = this->StartLine.find(' ', At);
      if (At == std::string::npos)
        return "";
      ++At;
    }
    return this->StartLine.substr(At, this->StartLine.find(' ', At) - At);
  }
  int status() const { return std::atoi(this->word(1).c_str()); }
};

/// \brief A connected socket with a buffer of what was read ahead.
class Stream {
public:
  explicit Stream(int Handle) : Handle(Handle) {}
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;
  ~Stream() { this->close(); }

  void close() {
    if (this->Handle >= 0)
      ::close(this->Handle);
    this->Handle = -1;
  }
  void shutdown() {
    if (this->Handle >= 0)
      ::shutdown(this->Handle, SHUT_RDWR);
  }
  int handle() const { return this->Handle; }
  bool isOpen() const { return this->Handle >= 0; }

  void readTimeout(Millis Time) {
    const timeval Limit{Time.count() / 1000, (Time.count() % 1000) * 1000};
    ::setsockopt(this->Handle, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    ::setsockopt(this->Handle, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  }

  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Length =
          ::send(this->Handle, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Length <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Length));
    }
    return true;
  }

  /// \brief Reads more bytes into the buffer. \returns false at the end, after
  /// an error or at the time limit.
  bool fill() {
    char Bytes[16384];
    const ssize_t Length = ::recv(this->Handle, Bytes, sizeof(Bytes), 0);
    if (Length <= 0) {
      this->TimedOut = Length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      return false;
    }
    this->Buffer.append(Bytes, static_cast<std::size_t>(Length));
    return true;
  }
  bool timedOut() const { return this->TimedOut; }
  std::string &buffer() { return this->Buffer; }

  /// \brief Reads a message. \p NoBody: the answer to a HEAD request.
  Message read(bool NoBody = false) {
    Message Result;
    std::size_t End = 0;
    while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!this->fill())
        return Result;
    const std::string Head = this->Buffer.substr(0, End + 2);
    this->Buffer.erase(0, End + 4);
    std::size_t At = Head.find("\r\n");
    Result.StartLine = Head.substr(0, At);
    for (At += 2; At < Head.size();) {
      const std::size_t Next = Head.find("\r\n", At);
      const std::string Line = Head.substr(At, Next - At);
      const std::size_t Colon = Line.find(':');
      if (Colon != std::string::npos) {
        std::size_t Value = Line.find_first_not_of(" \t", Colon + 1);
        Result.Fields.emplace_back(
            Line.substr(0, Colon),
            Value == std::string::npos ? "" : Line.substr(Value));
      }
      At = Next + 2;
    }
    if (NoBody) {
      Result.Complete = true;
      return Result;
    }
    if (Result.field("Transfer-Encoding") == "chunked")
      return this->readChunks(std::move(Result));
    const std::string Length = Result.field("Content-Length");
    const std::size_t Wanted =
        Length.empty() ? 0 : std::strtoull(Length.c_str(), nullptr, 10);
    while (this->Buffer.size() < Wanted)
      if (!this->fill())
        return Result;
    Result.Body = this->Buffer.substr(0, Wanted);
    this->Buffer.erase(0, Wanted);
    Result.Complete = true;
    return Result;
  }

private:
  Message readChunks(Message Result) {
    while (true) {
      std::size_t End = 0;
      while ((End = this->Buffer.find("\r\n")) == std::string::npos)
        if (!this->fill())
          return Result;
      const std::size_t Size = std::strtoull(this->Buffer.c_str(), nullptr, 16);
      while (this->Buffer.size() < End + 2 + Size + 2)
        if (!this->fill())
          return Result;
      Result.Body += this->Buffer.substr(End + 2, Size);
      this->Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0) {
        Result.Complete = true;
        return Result;
      }
    }
  }

  int Handle;
  std::string Buffer;
  bool TimedOut = false;
};

inline sockaddr_in address(const std::string &Host, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  if (::inet_pton(AF_INET, Host.c_str(), &Result.sin_addr) != 1)
    throw CannotRun("bad address " + Host);
  return Result;
}

/// \returns a connection, not open if there is none.
inline std::unique_ptr<Stream> connectTo(const std::string &Host, int Port) {
  const int Handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = address(Host, Port);
  const int On = 1;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  auto Result = std::make_unique<Stream>(Handle);
  if (::connect(Handle, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) !=
      0)
    Result->close();
  return Result;
}

// ---------------------------------------------------------------------------
// Servers

/// \brief A listener whose connections are each served by a thread of its own.
class Server {
public:
  using Handler = std::function<void(const std::shared_ptr<Stream> &)>;

  explicit Server(Handler Serve, std::string Host = "127.0.0.1", int Port = 0)
      : Serve(std::move(Serve)), Host(std::move(Host)), Port(Port) {
    this->open();
  }
  ~Server() {
    this->stop();
    for (std::thread &Each : this->Threads)
      Each.join();
  }

  void open() {
    this->Listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(this->Listening, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in At = address(this->Host, this->Port);
    if (::bind(this->Listening, reinterpret_cast<sockaddr *>(&At),
               sizeof(At)) != 0 ||
        ::listen(this->Listening, 512) != 0)
      throw CannotRun("cannot listen on " + this->Host);
    socklen_t Size = sizeof(At);
    ::getsockname(this->Listening, reinterpret_cast<sockaddr *>(&At), &Size);
    this->Port = ntohs(At.sin_port);
    this->Accepting = std::thread([this, Handle = this->Listening] {
      while (true) {
        const int Accepted = ::accept4(Handle, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          return;
        const int NoDelay = 1;
        ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                     sizeof(NoDelay));
        auto Peer = std::make_shared<Stream>(Accepted);
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        this->Peers.push_back(Peer);
        this->Threads.emplace_back([this, Peer] {
          this->Serve(Peer);
          Peer->shutdown();
          const std::lock_guard<std::mutex> Guard(this->Mutex);
          std::erase(this->Peers, Peer);
        });
      }
    });
  }

  /// \brief Ends all connections and listens no longer, as after a crash.
  void stop() {
    if (this->Listening < 0)
      return;
    ::shutdown(this->Listening, SHUT_RDWR);
    this->Accepting.join();
    ::close(this->Listening);
    this->Listening = -1;
    this->reset();
  }
  void reset() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const std::shared_ptr<Stream> &Peer : this->Peers)
      Peer->shutdown();
  }

  std::string at() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
  int port() const { return this->Port; }

private:
  const Handler Serve;
  const std::string Host;
  int Port;
  int Listening = -1;
  std::thread Accepting;
  std::mutex Mutex;
  std::vector<std::shared_ptr<Stream>> Peers;
  std::list<std::thread> Threads;
};

inline std::string answer(int Status, const std::string &Fields,
                          const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " x\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// \brief The platform's store: lists, watches, writes.
class Store {
public:
  Store()
      : Front([this](const std::shared_ptr<Stream> &Peer) {
          this->serve(*Peer, true);
        }),
        Second([this](const std::shared_ptr<Stream> &Peer) {
          this->serve(*Peer, false);
        }) {}
  ~Store() {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Ending = true;
    }
    this->Changed.notify_all();
  }

  std::string at() const { return this->Front.at(); }

  /// \returns the second address of the same store.
  std::string secondAt() const { return this->Second.at(); }

  /// \brief The first address answers all calls with 503 from now on.
  void leaveFirst() {
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Left = true;
    }
    this->Changed.notify_all();
  }

  /// \brief The first address is closed, with its connections.
  void closeFirst() { this->Front.stop(); }

  /// \returns the calls at the second address so far.
  int callsAtSecond() const { return this->SecondCalls; }

  void put(const std::string &Kind, const std::string &Name, const json &Spec) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->change(Kind, Name, Spec, this->Kinds[Kind][Name].Status);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->erase(Kind, Name);
  }
  std::size_t count(const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Kinds[Kind].size();
  }
  json status(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Kinds[Kind][Name].Status;
  }

private:
  struct Object {
    std::uint64_t Revision = 0;
    json Spec;
    json Status;
  };
  struct Event {
    std::string Kind;
    std::string Name;
    Object Value;
    bool Removed = false;
  };

  static json toJson(const std::string &Name, const Object &Value) {
    return {{"meta",
             {{"name", Name},
              {"revision", Value.Revision},
              {"created", 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", Value.Spec},
            {"status", Value.Status}};
  }
  void change(const std::string &Kind, const std::string &Name,
              const json &Spec, const json &Status) {
    Object &Value = this->Kinds[Kind][Name];
    if (Value.Revision != 0 && Value.Spec == Spec && Value.Status == Status)
      return;
    Value = {++this->Revision, Spec, Status};
    this->History.push_back({Kind, Name, Value, false});
    this->Changed.notify_all();
  }
  void erase(const std::string &Kind, const std::string &Name) {
    Object Last = this->Kinds[Kind][Name];
    this->Kinds[Kind].erase(Name);
    Last.Revision = ++this->Revision;
    this->History.push_back({Kind, Name, Last, true});
    this->Changed.notify_all();
  }

  static std::string query(const std::string &Target, const std::string &Key) {
    const std::size_t From = Target.find('?');
    if (From == std::string::npos)
      return "";
    for (std::size_t At = From; At != std::string::npos;
         At = Target.find('&', At + 1))
      if (Target.compare(At + 1, Key.size() + 1, Key + "=") == 0) {
        const std::size_t Value = At + 2 + Key.size();
        return Target.substr(Value, Target.find('&', Value) - Value);
      }
    return "";
  }
  static std::string decoded(const std::string &Text) {
    std::string Result;
    for (std::size_t At = 0; At < Text.size(); ++At)
      if (Text[At] == '%' && At + 2 < Text.size()) {
        Result += static_cast<char>(
            std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
        At += 2;
      } else
        Result += Text[At];
    return Result;
  }

  void serve(Stream &Peer, bool First) {
    while (true) {
      const Message Call = Peer.read();
      if (!Call.Complete)
        return;
      if (!First)
        ++this->SecondCalls;
      if (!Peer.send(this->handle(Call, First)))
        return;
    }
  }
  std::string reply(int Status, const json &Body) const {
    return answer(Status, "Content-Type: application/json\r\nStore-Era: 1\r\n",
                  Body.dump());
  }

  std::string handle(const Message &Call, bool First) {
    const std::string Target = Call.word(1);
    std::vector<std::string> Path;
    const std::string Plain = Target.substr(0, Target.find('?'));
    for (std::size_t At = 1; At <= Plain.size();) {
      const std::size_t End = std::min(Plain.find('/', At), Plain.size());
      Path.push_back(decoded(Plain.substr(At, End - At)));
      At = End + 1;
    }
    if (Path.size() < 2)
      return this->reply(404, nullptr);
    const std::string Kind = Path[1];
    std::unique_lock<std::mutex> Lock(this->Mutex);
    if (First && this->Left)
      return this->reply(503, nullptr);
    if (Call.word(0) != "GET")
      return this->write(Call, Kind, Path);
    if (Path.size() > 2) {
      const auto Found = this->Kinds[Kind].find(Path[2]);
      return Found == this->Kinds[Kind].end()
                 ? this->reply(404, nullptr)
                 : this->reply(200, toJson(Path[2], Found->second));
    }
    if (const std::string Since = query(Target, "watch"); !Since.empty())
      return this->watch(Lock, Kind, First, std::stoull(Since),
                         Millis(std::atoi(query(Target, "waitMs").c_str())));
    json Items = json::array();
    const std::string After = decoded(query(Target, "after"));
    bool More = false;
    for (const auto &[Name, Value] : this->Kinds[Kind]) {
      if (Name <= After && !After.empty())
        continue;
      if (Items.size() >= 500) {
        More = true;
        break;
      }
      Items.push_back(toJson(Name, Value));
    }
    return this->reply(
        200, {{"items", Items}, {"hasMore", More}, {"asOf", this->Revision}});
  }

  std::string watch(std::unique_lock<std::mutex> &Lock, const std::string &Kind,
                    bool First, std::uint64_t Since, Millis Wait) {
    const Clock::time_point End = Clock::now() + Wait;
    while (true) {
      if (First && this->Left)
        return this->reply(503, nullptr);
      json Events = json::array();
      for (const Event &Past : this->History)
        if (Past.Kind == Kind && Past.Value.Revision > Since)
          Events.push_back({{"object", toJson(Past.Name, Past.Value)},
                            {"removed", Past.Removed}});
      if (!Events.empty() || Clock::now() >= End || this->Ending)
        return this->reply(200, {{"events", Events}, {"asOf", this->Revision}});
      this->Changed.wait_until(Lock, End);
    }
  }

  std::string write(const Message &Call, const std::string &Kind,
                    const std::vector<std::string> &Path) {
    if (Path.size() < 3)
      return this->reply(404, nullptr);
    const std::string &Name = Path[2];
    auto &Objects = this->Kinds[Kind];
    const bool Exists = Objects.contains(Name);
    const std::string Method = Call.word(0);
    if (Method == "POST" ? Exists : !Exists)
      return this->reply(Method == "POST" ? 409 : 404,
                         Exists ? toJson(Name, Objects[Name]) : json());
    if (Method == "DELETE") {
      this->erase(Kind, Name);
      return this->reply(200, nullptr);
    }
    const json Body = json::parse(Call.Body, nullptr, false);
    if (!Body.is_object())
      return this->reply(400, nullptr);
    const json Meta = Body.value("meta", json::object());
    if (Exists && Meta.contains("revision") &&
        Meta["revision"] != Objects[Name].Revision)
      return this->reply(409, toJson(Name, Objects[Name]));
    if (Path.size() > 3)
      this->change(Kind, Name, Objects[Name].Spec,
                   Body.value("status", json()));
    else
      this->change(Kind, Name, Body.value("spec", json()),
                   Exists ? Objects[Name].Status : json());
    return this->reply(200, toJson(Name, Objects[Name]));
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 10;
  std::map<std::string, std::map<std::string, Object>> Kinds;
  std::vector<Event> History;
  bool Ending = false;
  bool Left = false; ///< The first address serves nobody any more.
  std::atomic<int> SecondCalls{0};
  Server Front;
  Server Second;
};

/// \brief A leaf. \p Act answers the requests that it accepts.
class Leaf {
public:
  /// \returns false to close the connection.
  using Action = std::function<bool(Stream &, const Message &)>;

  Leaf(std::string Id, std::string Service, Action Act)
      : Id(std::move(Id)), Service(std::move(Service)), Act(std::move(Act)),
        Front([this](const std::shared_ptr<Stream> &Peer) {
          this->serve(*Peer);
        }) {}

  json entry(const std::string &State = "ready") {
    return {{"service", this->Service},
            {"address", this->Front.at()},
            {"zone", "pos-a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", State},
            {"warmupLeftMs", 0},
            {"sequence", ++this->Sequence},
            {"born", 1}};
  }
  void crash() { this->Front.stop(); }

  /// \returns the usual answer to a request that was run.
  std::string success(const Message &Request, const std::string &Body,
                      const std::string &More = "") const {
    const std::string Attempt = Request.field("X-Balsamyard-Attempt-Id");
    std::string Result =
        answer(200,
               "X-Balsamyard-Attempt-Id: " + Attempt +
                   "\r\nX-Balsamyard-Server-Stamp: " + this->Service + "." +
                   Attempt + "\r\n" + More,
               Body);
    if (Request.word(0) == "HEAD")
      Result.erase(Result.find("\r\n\r\n") + 4);
    return Result;
  }

  const std::string Id;
  const std::string Service;

private:
  void serve(Stream &Peer) {
    while (true) {
      const Message Request = Peer.read();
      if (!Request.Complete)
        return;
      if (Request.word(1) == "/health") {
        if (!Peer.send(answer(
                200, "X-Balsamyard-Instance-Id: " + this->Id + "\r\n", "")))
          return;
        continue;
      }
      if (Request.field("X-Balsamyard-Expect-Instance") != this->Id) {
        if (!Peer.send(answer(
                421, "X-Balsamyard-Instance-Id: " + this->Id + "\r\n", "")))
          return;
        continue;
      }
      if (!this->Act(Peer, Request))
        return;
    }
  }

  const Action Act;
  int Sequence = 0;
  Server Front;
};

// ---------------------------------------------------------------------------
// Configuration

inline json route(const std::string &Name, const json &More) {
  json Result = {{"name", "r-" + Name},
                 {"host", "a.example"},
                 {"pathPrefix", "/" + Name + "/"},
                 {"type", "idempotent"},
                 {"timeoutMs", 1200},
                 {"targetLatencyMs", 200},
                 {"priority", 1},
                 {"attempts", 2},
                 {"allowedRegions", json::array()}};
  Result.update(More);
  return Result;
}
inline json service(const std::string &Name, int MaxConnections = 100) {
  return {{"name", Name},
          {"healthPath", "/health"},
          {"maxConnections", MaxConnections},
          {"protocol", "h1"},
          {"tls", false},
          {"warmupS", 3.0},
          {"warmupPerS", 0.0}};
}
inline json config(int Version, const json &Routes, const json &Services) {
  return {{"version", Version},
          {"routes", Routes},
          {"services", Services},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

// ---------------------------------------------------------------------------
// Node processes

/// \brief The processes that this program has started, for its end by a signal.
inline std::atomic<pid_t> StartedProcesses[64];

inline void noteProcess(pid_t Former, pid_t Next) {
  for (std::atomic<pid_t> &Slot : StartedProcesses)
    if (pid_t Expected = Former; Slot.compare_exchange_strong(Expected, Next))
      return;
}

/// \brief Ends all processes and this program, which could not run to its end.
inline void onStopSignal(int) {
  for (const std::atomic<pid_t> &Slot : StartedProcesses)
    if (Slot > 0)
      ::kill(Slot, SIGKILL);
  ::_exit(2);
}

/// \brief Folder of a run, removed at its end.
class Folder {
public:
  Folder() {
    const char *Parent = std::getenv("TMPDIR");
    this->Path =
        (Parent == nullptr ? "/tmp" : std::string(Parent)) + "/review-2-XXXXXX";
    if (::mkdtemp(this->Path.data()) == nullptr)
      throw CannotRun("no temporary folder");
  }
  ~Folder() {
    std::error_code Ignored;
    std::filesystem::remove_all(this->Path, Ignored);
  }
  std::string Path;
};

/// \brief A process of the deployed program, on an address of its own.
class Node {
public:
  static constexpr int Front = 8104;
  static constexpr int Ready = 8108;

  Node(const Folder &Home, int Number, const std::string &Store,
       const std::string &Zone = "pos-a")
      : Home(Home.Path),
        Name("front-" + Zone + "-" + std::to_string(Number + 1)), Zone(Zone) {
    const int Id = ::getpid();
    this->Host = "127." + std::to_string(64 + Id / 250 % 120) + "." +
                 std::to_string(1 + Id % 250) + "." +
                 std::to_string(Number + 1);
    this->writeSettings(Store);
  }

  /// \brief Replaces the settings file as a whole.
  void writeSettings(const std::string &Store) const {
    const std::string Path = this->Home + "/" + this->Name + ".yaml";
    std::ofstream File(Path + ".next");
    File << "nodeName: \"" << this->Name << "\"\nrole: \"node\"\n"
         << "machineClass: \"front\"\nserves:\n  - \"front\"\nip: \""
         << this->Host << "\"\nzone: \"" << this->Zone << "\"\nregion: \""
         << (this->Zone == "pos-a"    ? "north-west"
             : this->Zone == "chag-a" ? "central"
                                      : "south")
         << "\"\nzones:\n  pos-a: \"north-west\"\n  chag-a: \"central\"\n  "
            "sando-a: \"south\"\n"
         << "listen:\n  front: \"" << this->Host << ":" << Front
         << "\"\n  readinessAddr: \"" << this->Host << ":" << Ready << "\"\n"
         << "internalPorts:\n  - 7380\n  - 7395\nseedNodes: []\n"
         << "bootstrap: true\nlossCounted: false\nlimits:\n  cpuShare: 0.25\n"
         << "  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n"
         << "  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
         << "discovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1200\n"
         << "bounds:\n  seedLagS: 3\n  addrReuseS: 2\n  contactMs: 4000\n"
         << "  ackMs: 5000\n  catchUpS: 4\n  drainMs: 3000\n  graceS: 6\n"
         << "  lossSlackMs: 200\n  configApplyMs: 3000\n"
         << "  rollbackSlackMs: 250\n  skewMaxMs: 12000\n"
         << "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n"
         << "  retryBudgetSlack: 54\n  canaryShare: 0.1\n  canarySlack: 50\n"
         << "  rollbackMs: 5000\n  warmupOverage: 1.5\n  warmupSlack: 5\n"
         << "  evacuateMs: 5000\n  recoveryS: 12\n"
         << "platform:\n  address: \"" << Store << "\"\n  form: \"objects\"\n"
         << "  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
         << "  valueBytes: 1048576\n  ttlMinMs: 1000\n";
    File.close();
    if (std::rename((Path + ".next").c_str(), Path.c_str()) != 0)
      throw CannotRun("the settings cannot be written");
  }
  ~Node() {
    if (this->Process <= 0)
      return;
    ::kill(this->Process, SIGKILL);
    ::waitpid(this->Process, nullptr, 0);
    noteProcess(this->Process, 0);
  }

  void start() {
    posix_spawn_file_actions_t Files;
    ::posix_spawn_file_actions_init(&Files);
    const char *Log = std::getenv("NODE_LOG");
    ::posix_spawn_file_actions_addopen(
        &Files, STDOUT_FILENO,
        Log == nullptr ? "/dev/null" : (Log + ("/" + this->Name)).c_str(),
        O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
    const char *Other = std::getenv("BALSAMYARD_NODE");
    std::string Program =
        Other != nullptr ? Other : "target/bin/balsamyard-node";
    std::string Flag = "--metrics-port";
    std::string Port = "9464";
    char *Arguments[] = {Program.data(), Flag.data(), Port.data(), nullptr};
    std::vector<std::string> Texts = {"BALSAMYARD_CONFIG=" + this->Home + "/" +
                                      this->Name + ".yaml"};
    for (const char *Kept : {"PATH", "HOME", "LANG", "ASAN_OPTIONS"})
      if (const char *Value = std::getenv(Kept))
        Texts.push_back(std::string(Kept) + "=" + Value);
    std::vector<char *> Environment;
    for (std::string &Text : Texts)
      Environment.push_back(Text.data());
    Environment.push_back(nullptr);
    const int Problem = ::posix_spawn(&this->Process, Program.c_str(), &Files,
                                      nullptr, Arguments, Environment.data());
    ::posix_spawn_file_actions_destroy(&Files);
    if (Problem != 0)
      throw CannotRun("cannot start " + Program);
    noteProcess(0, this->Process);
  }

  /// \brief Waits until the node says that it is ready, or knows a config: a
  /// node may stay "not ready" although it serves (KNOWN-RED.txt).
  void waitUntilReady() {
    for (int Tries = 0; Tries < 300; ++Tries) {
      if (this->statusOf(Ready, "/ready") == 200)
        return;
      if (Tries > 200 && this->statusOf(Front, "/no-such-route/") == 404)
        return;
      sleepFor(Millis(50));
    }
    throw CannotRun(this->Name + " did not become ready");
  }

  /// \returns the status of the answer to a GET request, 0 if there is none.
  int statusOf(int Port, const std::string &Path) const {
    const auto Link = connectTo(this->Host, Port);
    if (!Link->isOpen())
      return 0;
    Link->readTimeout(Millis(1000));
    Link->send("GET " + Path +
               " HTTP/1.1\r\nHost: a.example\r\n"
               "X-Balsamyard-Attempt-Id: probe\r\n\r\n");
    return Link->read().status();
  }

  void signal(int Number) const { ::kill(this->Process, Number); }

  /// \returns the wait status if the process has ended.
  std::optional<int> ended() {
    int Status = 0;
    if (this->Process <= 0)
      return this->Status;
    if (::waitpid(this->Process, &Status, WNOHANG) <= 0)
      return std::nullopt;
    noteProcess(this->Process, 0);
    this->Process = 0;
    this->Status = Status;
    return Status;
  }

  /// \returns resident memory in bytes.
  std::size_t memory() const {
    std::ifstream File("/proc/" + std::to_string(this->Process) + "/statm");
    std::size_t All = 0;
    std::size_t Resident = 0;
    File >> All >> Resident;
    return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }

  const std::string &host() const { return this->Host; }
  std::unique_ptr<Stream> connect() const {
    return connectTo(this->Host, Front);
  }
  pid_t id() const { return this->Process; }
  const std::string &name() const { return this->Name; }

private:
  const std::string Home;
  const std::string Name;
  const std::string Zone;
  std::string Host;
  pid_t Process = 0;
  std::optional<int> Status;
};

inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Id, int DeadlineMs,
                           const std::string &More = "",
                           const std::string &Body = "") {
  std::string Result =
      Method + " " + Path +
      " HTTP/1.1\r\nHost: a.example\r\n"
      "X-Balsamyard-Attempt-Id: " +
      Id + "\r\nX-Balsamyard-Request-Deadline: " + std::to_string(DeadlineMs) +
      "\r\n" + More;
  if (!Body.empty() || Method == "POST")
    Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Result + "\r\n" + Body;
}

inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

/// \brief Runs a case: \p Play returns whether the rule was broken. \returns
/// the exit status.
inline int run(int Count, char **Arguments,
               const std::function<bool(Record &)> &Play) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, onStopSignal);
  std::signal(SIGINT, onStopSignal);
  if (Count < 2)
    return 2;
  Record Lines(Arguments[1]);
  try {
    const bool Broken = Play(Lines);
    Lines.line(Broken ? "RESULT: the rule was broken"
                      : "RESULT: the rule held");
    return Broken ? 1 : 0;
  } catch (const std::exception &Problem) {
    Lines.line(std::string("RESULT: could not run: ") + Problem.what());
    return 2;
  }
}

} // namespace review
