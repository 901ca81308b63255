// Stand-ins for the outside of balsamyard-node: store, leafs, consumers. They
// follow the users' pages. Blocking sockets, one thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point Epoch = Clock::now();

/// \returns milliseconds since the start of the run.
inline double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Epoch)
      .count();
}

inline void sleepMs(double Ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

/// record.txt: one line for each event.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}
  void line(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%10.1f ", nowMs());
    this->Out << Time << Text << "\n";
  }
  /// Writes the line to the terminal too.
  void say(const std::string &Text) {
    this->line(Text);
    std::cout << Text << std::endl;
  }
  void flush() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Out.flush();
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

struct Message {
  std::string Start; ///< Request or status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : this->Fields)
      if (::strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  std::string word(std::size_t Index) const {
    std::istringstream In(this->Start);
    std::string Word;
    for (std::size_t At = 0; At <= Index; ++At)
      if (!(In >> Word))
        return "";
    return Word;
  }
  int status() const { return std::atoi(this->word(1).c_str()); }
};

/// A TCP connection with buffered reading.
class Connection {
public:
  explicit Connection(int Fd) : Fd(Fd) {
    const int On = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Connection() { ::close(this->Fd); }
  Connection(const Connection &) = delete;

  bool send(const std::string &Text) {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      const ssize_t Sent = ::send(this->Fd, Text.data() + Done,
                                  Text.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<std::size_t>(Sent);
    }
    return true;
  }

  /// Reads a message. A body without a length is read to the end of the
  /// connection if \p IsResponse.
  bool read(Message &Result, double TimeoutMs, bool IsResponse) {
    const double Until = nowMs() + TimeoutMs;
    Result = {};
    std::size_t End;
    while ((End = this->Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!this->more(Until))
        return false;
    std::istringstream Head(this->Buffer.substr(0, End));
    this->Buffer.erase(0, End + 4);
    std::string Line;
    std::getline(Head, Line);
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    Result.Start = Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::size_t First = Line.find_first_not_of(" \t", Colon + 1);
      Result.Fields.emplace_back(
          Line.substr(0, Colon),
          First == std::string::npos ? "" : Line.substr(First));
    }
    const std::string Length = Result.field("Content-Length");
    if (!Length.empty()) {
      const std::size_t Size = std::stoull(Length);
      while (this->Buffer.size() < Size)
        if (!this->more(Until))
          return false;
      Result.Body = this->Buffer.substr(0, Size);
      this->Buffer.erase(0, Size);
      return true;
    }
    if (IsResponse) {
      while (this->more(Until)) {
      }
      Result.Body = std::exchange(this->Buffer, {});
    }
    return true;
  }

  /// \returns whether the peer has closed the connection or sent bytes.
  bool isReadable() const {
    pollfd Poll{this->Fd, POLLIN, 0};
    return ::poll(&Poll, 1, 0) > 0;
  }

  /// Waits until the peer closes or sends. \returns whether it did.
  bool waitReadable(double TimeoutMs) const {
    pollfd Poll{this->Fd, POLLIN, 0};
    return ::poll(&Poll, 1, static_cast<int>(TimeoutMs)) > 0;
  }

  void shutdown() { ::shutdown(this->Fd, SHUT_RDWR); }

  /// The next close resets the connection.
  void resetOnClose() {
    const linger Hard{1, 0};
    ::setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
  }

  bool Keep = true; ///< A server cleared it: close after this request.

private:
  bool more(double Until) {
    const double Left = Until - nowMs();
    if (Left <= 0 || !this->waitReadable(Left + 1))
      return false;
    char Bytes[16384];
    const ssize_t Got = ::recv(this->Fd, Bytes, sizeof(Bytes), 0);
    if (Got <= 0)
      return false;
    this->Buffer.append(Bytes, static_cast<std::size_t>(Got));
    return true;
  }

  const int Fd;
  std::string Buffer;
};

inline sockaddr_in address(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Result.sin_addr);
  return Result;
}

inline std::shared_ptr<Connection> dial(const std::string &Ip,
                                        std::uint16_t Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in To = address(Ip, Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) != 0) {
    ::close(Fd);
    return nullptr;
  }
  return std::make_shared<Connection>(Fd);
}

/// An HTTP server; the handler answers on the connection.
class Server {
public:
  using Handler = std::function<void(Connection &, const Message &)>;

  explicit Server(Handler OnRequest, const std::string &Ip = "127.0.0.1",
                  std::uint16_t Port = 0)
      : OnRequest(std::move(OnRequest)), Ip(Ip) {
    this->Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(this->Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in At = address(Ip, Port);
    if (::bind(this->Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(this->Fd, 512) != 0) {
      std::cerr << "cannot listen on " << Ip << ":" << Port << "\n";
      std::_Exit(2);
    }
    socklen_t Size = sizeof(At);
    ::getsockname(this->Fd, reinterpret_cast<sockaddr *>(&At), &Size);
    this->Port = ntohs(At.sin_port);
    std::thread([this] { this->accept(); }).detach();
  }

  std::string text() const {
    return this->Ip + ":" + std::to_string(this->Port);
  }
  std::uint16_t port() const { return this->Port; }

  /// Ends all connections, and resets new ones until restart().
  void crash() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Down = true;
    for (Connection *Open : this->Links)
      Open->shutdown();
  }
  void restart() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Down = false;
  }

private:
  // Servers live until the process ends.
  void accept() {
    while (true) {
      const int Peer = ::accept4(this->Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Peer < 0)
        continue;
      std::thread([this, Peer] {
        Connection Link(Peer);
        {
          const std::lock_guard<std::mutex> Lock(this->Mutex);
          if (this->Down) {
            Link.resetOnClose();
            return;
          }
          this->Links.insert(&Link);
        }
        Message Request;
        while (Link.Keep && Link.read(Request, 3.6e6, false))
          this->OnRequest(Link, Request);
        const std::lock_guard<std::mutex> Lock(this->Mutex);
        this->Links.erase(&Link);
      }).detach();
    }
  }

  const Handler OnRequest;
  const std::string Ip;
  int Fd = -1;
  std::uint16_t Port = 0;
  std::mutex Mutex;
  std::set<Connection *> Links;
  bool Down = false;
};

inline std::string response(int Status, const std::string &Fields,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " x\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store: objects by kind and name, watches, conditional
/// writes.
class Store {
public:
  struct Object {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    Json Spec;
    Json Status;
  };
  struct Event {
    std::uint64_t Revision;
    std::string Kind, Name;
    Object Value;
    bool Removed;
  };

  Store()
      : Http([this](Connection &Link, const Message &Request) {
          this->onRequest(Link, Request);
        }) {}

  /// Stands for RawBytes in the text of an object. Only another writer puts
  /// such bytes there.
  static constexpr const char *RawMark = "@raw@";
  std::string RawBytes;

  /// Called before a watch is answered with an event. If it returns true, the
  /// answer is lost, and the connection returns nothing further.
  std::function<bool(const std::string &Kind, const std::string &Name)>
      LoseWatchAnswer;

  /// Writes an object. \returns the time of the acknowledgement.
  double put(const std::string &Kind, const std::string &Name,
             const Json &Spec) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->change(Kind, Name, Spec, this->Kinds[Kind][Name].Status);
    return nowMs();
  }
  double remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->removeLocked(Kind, Name);
    return nowMs();
  }
  std::size_t count(const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Kinds[Kind].size();
  }
  Json status(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Kinds[Kind][Name].Status;
  }
  std::string text() const { return this->Http.text(); }
  std::uint16_t port() const { return this->Http.port(); }

private:
  static constexpr const char *Era = "Store-Era: 1\r\n";

  void change(const std::string &Kind, const std::string &Name,
              const Json &Spec, const Json &Status) {
    Object &Item = this->Kinds[Kind][Name];
    if (Item.Revision != 0 && Item.Spec == Spec && Item.Status == Status)
      return;
    Item.Revision = ++this->Revision;
    if (Item.Created == 0)
      Item.Created = Item.Revision;
    Item.Spec = Spec;
    Item.Status = Status;
    this->History.push_back({Item.Revision, Kind, Name, Item, false});
    this->Changed.notify_all();
  }
  void removeLocked(const std::string &Kind, const std::string &Name) {
    auto &Objects = this->Kinds[Kind];
    const auto Found = Objects.find(Name);
    if (Found == Objects.end())
      return;
    Object Gone = Found->second;
    Objects.erase(Found);
    Gone.Revision = ++this->Revision;
    this->History.push_back({Gone.Revision, Kind, Name, Gone, true});
    this->Changed.notify_all();
  }
  static Json object(const std::string &Name, const Object &Value) {
    return {{"meta",
             {{"name", Name},
              {"revision", Value.Revision},
              {"created", Value.Created},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", Value.Spec},
            {"status", Value.Status}};
  }
  static std::string argument(const std::string &Query,
                              const std::string &Name) {
    std::istringstream In(Query);
    std::string Part;
    while (std::getline(In, Part, '&'))
      if (Part.rfind(Name + "=", 0) == 0)
        return decoded(Part.substr(Name.size() + 1));
    return "";
  }
  static std::string decoded(const std::string &Text) {
    std::string Result;
    for (std::size_t At = 0; At < Text.size(); ++At)
      if (Text[At] == '%' && At + 2 < Text.size()) {
        Result +=
            static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
        At += 2;
      } else
        Result += Text[At];
    return Result;
  }
  void answer(Connection &Link, int Status, const Json &Body) const {
    std::string Text = Body.dump();
    for (std::size_t At = 0;
         (At = Text.find(RawMark, At)) != std::string::npos;)
      Text.replace(At, std::strlen(RawMark), this->RawBytes);
    Link.send(response(
        Status, std::string(Era) + "Content-Type: application/json\r\n", Text));
  }

  void onRequest(Connection &Link, const Message &Request) {
    sleepMs(4);
    const std::string Target = Request.word(1);
    const std::size_t Mark = Target.find('?');
    std::string Path = Target.substr(0, Mark);
    const std::string Query =
        Mark == std::string::npos ? "" : Target.substr(Mark + 1);
    if (Path.rfind("/objects/", 0) != 0) {
      answer(Link, 404, nullptr);
      return;
    }
    Path = Path.substr(9);
    std::vector<std::string> Parts;
    std::istringstream In(Path);
    std::string Part;
    while (std::getline(In, Part, '/'))
      Parts.push_back(decoded(Part));
    const std::string Method = Request.word(0);
    if (Method == "GET" && Parts.size() == 1 &&
        !argument(Query, "watch").empty()) {
      this->watch(Link, Parts[0], std::stoull(argument(Query, "watch")),
                  std::stod("0" + argument(Query, "waitMs")));
      return;
    }
    std::unique_lock<std::mutex> Lock(this->Mutex);
    auto &Objects = this->Kinds[Parts[0]];
    if (Method == "GET" && Parts.size() == 1) {
      const std::string After = argument(Query, "after");
      Json Items = Json::array();
      for (const auto &[Name, Value] : Objects)
        if (Name > After)
          Items.push_back(object(Name, Value));
      const Json Body = {
          {"items", Items}, {"hasMore", false}, {"asOf", this->Revision}};
      Lock.unlock();
      answer(Link, 200, Body);
      return;
    }
    const std::string Name = Parts.size() > 1 ? Parts[1] : "";
    const bool OnlyStatus = Parts.size() > 2 && Parts[2] == "status";
    const auto Found = Objects.find(Name);
    const bool Exists = Found != Objects.end();
    int Status = 200;
    Json Body;
    if (Method == "POST" ? Exists : !Exists) {
      Status = Method == "POST" ? 409 : 404;
    } else if (Method == "DELETE") {
      this->removeLocked(Parts[0], Name);
    } else if (Method == "PUT" || Method == "POST") {
      const Json Sent = Json::parse(Request.Body, nullptr, false);
      if (Exists && Sent["meta"].contains("revision") &&
          Sent["meta"]["revision"] != Found->second.Revision) {
        Status = 409;
        Body = object(Name, Found->second);
      } else {
        const Object Former = Exists ? Found->second : Object{};
        this->change(Parts[0], Name, OnlyStatus ? Former.Spec : Sent["spec"],
                     OnlyStatus ? Sent["status"] : Former.Status);
        Body = object(Name, Objects[Name]);
      }
    } else if (Exists) {
      Body = object(Name, Found->second);
    }
    Lock.unlock();
    answer(Link, Status, Body);
  }

  void watch(Connection &Link, const std::string &Kind, std::uint64_t Since,
             double WaitMs) {
    const auto Until =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(
                           std::chrono::duration<double, std::milli>(WaitMs));
    std::unique_lock<std::mutex> Lock(this->Mutex);
    while (true) {
      Json Events = Json::array();
      std::string Last;
      for (const Event &Past : this->History)
        if (Past.Revision > Since && Past.Kind == Kind) {
          Events.push_back({{"object", object(Past.Name, Past.Value)},
                            {"removed", Past.Removed}});
          Last = Past.Name;
        }
      if (!Events.empty() || Clock::now() >= Until) {
        const Json Body = {{"events", Events}, {"asOf", this->Revision}};
        Lock.unlock();
        if (!Events.empty() && this->LoseWatchAnswer &&
            this->LoseWatchAnswer(Kind, Last)) {
          // A connection on which a response is lost returns nothing further.
          while (!Link.waitReadable(1000))
            ;
          Link.Keep = false;
          return;
        }
        answer(Link, 200, Body);
        return;
      }
      this->Changed.wait_until(
          Lock, std::min(Until, Clock::now() + milliseconds(500)));
      if (Link.isReadable()) { // The node has closed it.
        Link.Keep = false;
        return;
      }
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, Object>> Kinds;
  std::vector<Event> History;
  Server Http;
};

/// What happened to one request.
struct Run {
  std::string Leaf;
  double At = 0;
};

/// All runs of requests at leafs, by attempt id.
class Runs {
public:
  void add(const std::string &Id, const std::string &Leaf) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ById[Id].push_back({Leaf, nowMs()});
  }
  std::vector<Run> of(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->ById[Id];
  }
  std::map<std::string, std::vector<Run>> all() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->ById;
  }

private:
  std::mutex Mutex;
  std::map<std::string, std::vector<Run>> ById;
};

/// Sixteen bytes for each of three records that depend on request and service.
inline std::string recordsOf(const std::string &Id,
                             const std::string &Service) {
  std::string Result;
  for (int Count = 0; Count < 3; ++Count) {
    std::string Item = std::to_string(
        std::hash<std::string>{}(Id + Service + std::to_string(Count)));
    Item.resize(16, '.');
    Result += Item;
  }
  return Result;
}

/// A leaf that follows the pages. Hooks change what it does.
class Leaf {
public:
  Leaf(std::string Id, std::string Service, std::string Zone, Runs &Seen)
      : Id(std::move(Id)), Service(std::move(Service)), Zone(std::move(Zone)),
        Seen(Seen), Http([this](Connection &Link, const Message &Request) {
          this->onRequest(Link, Request);
        }) {}

  Json entry(const std::string &State = "ready") {
    return {{"service", this->Service},
            {"address", this->Http.text()},
            {"zone", this->Zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", State},
            {"warmupLeftMs", 0},
            {"sequence", ++this->Sequence},
            {"born", this->Born}};
  }

  const std::string Id, Service, Zone;
  std::uint64_t Born = 1'790'000'000'000;
  std::atomic<double> WorkMs{5};
  std::atomic<double> SpreadMs{0}; ///< Mean of an exponential part of the work.

  /// Fields that each answer to a request carries besides.
  std::function<std::string()> ExtraFields;

  /// Decides on a request before it runs. \returns whether it has dealt with
  /// it.
  std::function<bool(Leaf &, Connection &, const Message &)> Before;

  std::string success(const std::string &Attempt) const {
    return response(200,
                    "X-Balsamyard-Attempt-Id: " + Attempt +
                        "\r\nX-Balsamyard-Server-Stamp: " + this->Service +
                        "/" + Attempt + "\r\n" +
                        (this->ExtraFields ? this->ExtraFields() : ""),
                    recordsOf(Attempt, this->Service));
  }

  /// The process ends; it starts again, under its id, with restart().
  void crash() { this->Http.crash(); }
  void restart() {
    this->Born += 10'000;
    this->Sequence = 0;
    this->Http.restart();
  }

  void ran(const std::string &Attempt) { this->Seen.add(Attempt, this->Id); }

private:
  void onRequest(Connection &Link, const Message &Request) {
    const std::string Instance =
        "X-Balsamyard-Instance-Id: " + this->Id + "\r\n";
    if (Request.word(1) == "/health") {
      Link.send(response(200, Instance, ""));
      return;
    }
    const std::string Attempt = Request.field("X-Balsamyard-Attempt-Id");
    const std::string Expected = Request.field("X-Balsamyard-Expect-Instance");
    if (!Expected.empty() && Expected != this->Id) {
      Link.send(response(
          421, Instance + "X-Balsamyard-Attempt-Id: " + Attempt + "\r\n", ""));
      return;
    }
    if (this->Before && this->Before(*this, Link, Request))
      return;
    this->ran(Attempt);
    thread_local std::minstd_rand Random(std::random_device{}());
    std::exponential_distribution<double> Spread(1);
    sleepMs(this->WorkMs + this->SpreadMs * Spread(Random));
    Link.send(this->success(Attempt));
  }

  Runs &Seen;
  int Sequence = 0;
  Server Http;
};

/// A balsamyard-node process, started with the command of the deploy file.
class Node {
public:
  /// \p Ip is a loopback address that only this node uses.
  Node(std::string Name, std::string Ip, std::string Zone, std::string Region,
       std::map<std::string, std::string> Zones, std::string StoreAddress,
       std::string Folder, int Cores = 1)
      : Name(std::move(Name)), Ip(std::move(Ip)), Zone(std::move(Zone)),
        Region(std::move(Region)), Zones(std::move(Zones)),
        StoreAddress(std::move(StoreAddress)), Folder(std::move(Folder)),
        Cores(Cores) {}
  ~Node() { this->kill(); }

  static constexpr std::uint16_t CallerPort = 8104;
  static constexpr std::uint16_t ReadinessPort = 8108;

  const std::string Name, Ip, Zone, Region;
  bool Bootstrap = true;

  void start() {
    const std::string Path = this->Folder + "/" + this->Name + ".yaml";
    std::ofstream File(Path);
    File << "nodeName: \"" << this->Name << "\"\nrole: \"node\"\n"
         << "machineClass: \"front\"\nserves:\n  - \"front\"\nip: \""
         << this->Ip << "\"\nzone: \"" << this->Zone << "\"\nregion: \""
         << this->Region << "\"\nzones:\n";
    for (const auto &[Key, Value] : this->Zones)
      File << "  " << Key << ": \"" << Value << "\"\n";
    File << "listen:\n  front: \"" << this->Ip << ":" << CallerPort
         << "\"\n  readinessAddr: \"" << this->Ip << ":" << ReadinessPort
         << "\"\ninternalPorts:\n  - 7380\n  - 7395\nbootstrap: "
         << (this->Bootstrap ? "true" : "false")
         << "\nlimits:\n  cpuShare: 0.25\n  cores: " << this->Cores
         << "\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n"
         << "heartbeatMs: 1200\nbounds:\n  seedLagS: 3\n  addrReuseS: 2\n"
         << "  contactMs: 4000\n  ackMs: 5000\n  catchUpS: 4\n"
         << "  drainMs: 3000\n  graceS: 6\n  lossSlackMs: 200\n"
         << "  configApplyMs: 3000\n  rollbackSlackMs: 250\n"
         << "  skewMaxMs: 12000\n  retryBudgetRatio: 0.2\n"
         << "  retryWindowS: 10\n  retryBudgetSlack: 54\n"
         << "  canaryShare: 0.1\n  canarySlack: 50\n  rollbackMs: 5000\n"
         << "  warmupOverage: 1.5\n  warmupSlack: 5\n  evacuateMs: 5000\n"
         << "  recoveryS: 12\nplatform:\n  address: \"" << this->StoreAddress
         << "\"\n  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n"
         << "  historyS: 20\n  valueBytes: 1048576\n";
    File.close();
    const std::string Log = this->Folder + "/" + this->Name + ".log";
    this->Process = ::fork();
    if (this->Process != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the case in any event.
    const int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Out, 1);
    ::dup2(Out, 2);
    ::setenv("BALSAMYARD_CONFIG", Path.c_str(), 1);
    // The command of deploy/system.toml.
    ::execl("target/bin/balsamyard-node", "target/bin/balsamyard-node",
            "--metrics-port", "9464", nullptr);
    std::_Exit(127);
  }

  void signal(int Number) {
    if (this->Process > 0)
      ::kill(this->Process, Number);
  }
  void kill() {
    if (this->Process <= 0)
      return;
    ::kill(this->Process, SIGKILL);
    ::waitpid(this->Process, nullptr, 0);
    this->Process = 0;
  }

  /// \returns the wait status if the process has ended.
  std::optional<int> ended() {
    int Status = 0;
    if (this->Process <= 0 || ::waitpid(this->Process, &Status, WNOHANG) <= 0)
      return std::nullopt;
    this->Process = 0;
    return Status;
  }

  /// \returns the end of its log, for cases that could not run.
  std::string logTail() const {
    std::ifstream File(this->Folder + "/" + this->Name + ".log");
    std::ostringstream Text;
    Text << File.rdbuf();
    const std::string All = Text.str();
    return All.substr(All.size() > 3000 ? All.size() - 3000 : 0);
  }

private:
  const std::map<std::string, std::string> Zones;
  const std::string StoreAddress, Folder;
  const int Cores;
  pid_t Process = 0;
};

/// One answer as a consumer sees it. Status 0: none came.
struct Outcome {
  std::string Id;
  Message Answer;
  double SentAt = 0;
  double EndedAt = 0;
  bool OnKeptConnection = false; ///< An earlier request was answered on it.
  int status() const { return this->Answer.status(); }
};

/// A consumer with a kept connection.
class Consumer {
public:
  Consumer(std::string Ip, std::string Name)
      : Ip(std::move(Ip)), Name(std::move(Name)) {}

  Outcome ask(const std::string &Method, const std::string &Path,
              double TimeLeftMs, const std::string &Body = "") {
    Outcome Result;
    Result.Id = this->Name + "-" + std::to_string(++this->Count);
    if (this->Link && this->Link->isReadable())
      this->Link.reset();
    if (!this->Link) {
      this->Link = dial(this->Ip, Node::CallerPort);
      this->Answered = false;
    }
    Result.SentAt = nowMs();
    Result.OnKeptConnection = this->Link && this->Answered;
    if (this->Link) {
      const std::string Text =
          Method + " " + Path +
          " HTTP/1.1\r\nHost: shop.example\r\nX-Balsamyard-Attempt-Id: " +
          Result.Id + "\r\nX-Balsamyard-Request-Deadline: " +
          std::to_string(static_cast<int>(TimeLeftMs)) +
          (Method == "POST"
               ? "\r\nContent-Length: " + std::to_string(Body.size())
               : "") +
          "\r\n\r\n" + Body;
      if (!this->Link->send(Text) ||
          !this->Link->read(Result.Answer, TimeLeftMs + 1500, true)) {
        Result.Answer = {};
        this->Link.reset();
      } else if (::strcasecmp(Result.Answer.field("Connection").c_str(),
                              "close") == 0)
        this->Link.reset();
    }
    this->Answered = this->Answered || Result.status() != 0;
    Result.EndedAt = nowMs();
    return Result;
  }

private:
  const std::string Ip, Name;
  int Count = 0;
  std::shared_ptr<Connection> Link;
  bool Answered = false; ///< A request on this connection.
};

/// Waits until the node serves a request. Its readiness page is no measure: a
/// node whose lists without entries come last stays "not ready" until something
/// changes, although it serves.
inline bool waitServing(const Node &Front, const std::string &Method,
                        const std::string &Path, double TimeoutMs) {
  Consumer Caller(Front.Ip, "start-" + Front.Name + "-" +
                                std::to_string(static_cast<int>(nowMs())));
  for (const double Until = nowMs() + TimeoutMs; nowMs() < Until; sleepMs(50))
    if (Caller.ask(Method, Path, 1000, Method == "POST" ? "start" : "")
            .status() == 200)
      return true;
  return false;
}

inline Json service(const std::string &Name, int MaxConnections = 31,
                    double WarmupPerS = 0) {
  return {{"name", Name},
          {"healthPath", "/health"},
          {"maxConnections", MaxConnections},
          {"protocol", "h1"},
          {"tls", false},
          {"warmupS", 3.0},
          {"warmupPerS", WarmupPerS}};
}

inline Json limits() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 262144},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

/// \returns whether the disruption of the case is to happen.
inline bool trouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// \returns whether nothing listens on the address.
inline bool isFree(const std::string &Ip, std::uint16_t Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in At = address(Ip, Port);
  const int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const bool Free =
      ::bind(Fd, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) == 0;
  ::close(Fd);
  return Free;
}

/// \returns a loopback network, such as "127.41.7.", on whose first addresses
/// the ports of a node are free.
inline std::string network() {
  static const std::string Chosen = [] {
    constexpr int Addresses = 9;
    for (int Try = static_cast<int>(::getpid());; ++Try) {
      const std::string Net = "127." + std::to_string(20 + Try % 200) + "." +
                              std::to_string(Try / 200 % 250) + ".";
      bool Free = true;
      for (int Last = 1; Last <= Addresses && Free; ++Last)
        for (const std::uint16_t Port : {7380, 8104, 8108, 9464})
          Free = Free && isFree(Net + std::to_string(Last), Port);
      if (Free)
        return Net;
    }
  }();
  return Chosen;
}

} // namespace review
