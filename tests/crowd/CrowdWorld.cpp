#include "tests/crowd/CrowdWorld.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <netinet/in.h>
#include <poll.h>
#include <unistd.h>

namespace balsamyard::test {

namespace {

/// How long an ordinary caller waits for bytes before it gives an attempt up.
constexpr Duration AttemptTime = std::chrono::seconds(5);
constexpr Duration MinRetryPause = std::chrono::milliseconds(100);

/// \brief A connection that gives up after a while, which FakeCaller does not.
class PatientConnection {
public:
  PatientConnection(const asio::ip::tcp::endpoint &Server,
                    const ReadPauses &Pauses)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)), Pauses(Pauses) {
    if (Pauses.First > Duration::zero() || Pauses.Each > Duration::zero())
      ::setsockopt(this->Socket, SOL_SOCKET, SO_RCVBUF, &SlowReceiveBuffer,
                   sizeof(SlowReceiveBuffer));
    const timeval Limit{
        std::chrono::duration_cast<std::chrono::seconds>(AttemptTime).count(),
        0};
    ::setsockopt(this->Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    ::setsockopt(this->Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    this->Connected = ::connect(this->Socket, Server.data(),
                                static_cast<socklen_t>(Server.size())) == 0;
  }
  PatientConnection(const PatientConnection &) = delete;
  PatientConnection &operator=(const PatientConnection &) = delete;
  ~PatientConnection() { ::close(this->Socket); }

  /// \returns the answer, with a status of 0 if there is none.
  HttpResponse ask(std::string_view Bytes) {
    if (!this->Connected || !this->send(Bytes))
      return {};
    ResponseParser Reader;
    Reader.begin(true);
    std::string Buffer(64 * Kibibyte, '\0');
    for (Duration Pause = this->Pauses.First;; Pause = this->Pauses.Each) {
      const ssize_t Length =
          ::recv(this->Socket, Buffer.data(), Buffer.size(), 0);
      if (Length < 0)
        return {};
      if (Length == 0)
        return std::holds_alternative<HttpComplete>(Reader.end())
                   ? Reader.take()
                   : HttpResponse{};
      const HttpStep Step =
          Reader.read({Buffer.data(), static_cast<std::size_t>(Length)});
      if (std::holds_alternative<HttpComplete>(Step.Progress))
        return Reader.take();
      if (std::holds_alternative<HttpMalformed>(Step.Progress))
        return {};
      std::this_thread::sleep_for(Pause);
    }
  }

private:
  bool send(std::string_view Bytes) const {
    while (!Bytes.empty()) {
      const ssize_t Length =
          ::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Length <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Length));
    }
    return true;
  }

  /// Makes the window of a slow reader close.
  static constexpr int SlowReceiveBuffer = 64 * 1024;

  const int Socket;
  const ReadPauses Pauses;
  bool Connected = false;
};

/// \returns a loopback address that only this process uses.
std::string ownAddress() {
  const int Id = ::getpid();
  return "127." + std::to_string(210 + Id / 62500 % 40) + "." +
         std::to_string(1 + Id / 250 % 250) + "." +
         std::to_string(1 + Id % 250);
}

/// \returns the program to test: the one of this build, unless the environment
/// names another one.
std::string nodeProgram() {
  const char *Other = std::getenv("BALSAMYARD_NODE");
  return Other != nullptr ? Other : BALSAMYARD_BINARY_DIR "/balsamyard-node";
}

std::string ownFolder() {
  std::string Result = std::filesystem::temp_directory_path() /
                       ("balsamyard-crowd-" + std::to_string(::getpid()));
  std::filesystem::remove_all(Result);
  std::filesystem::create_directories(Result);
  return Result;
}

asio::ip::tcp::endpoint toEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  return {asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

} // namespace

std::string request(const std::string &Path, const std::string &Id,
                    const std::string &MoreFields) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\n" +
         "X-Balsamyard-Attempt-Id: " + Id + "\r\n" + MoreFields + "\r\n";
}

CrowdTarget::CrowdTarget(std::string Id, std::string Body)
    : Id(std::move(Id)), Body(std::move(Body)),
      Server([this](ServerConnection &Peer, const HttpRequest &Request) {
        this->onRequest(Peer, Request);
      }) {}

void CrowdTarget::onRequest(ServerConnection &Peer,
                            const HttpRequest &Request) const {
  const bool Health = Request.Target == "/health";
  if (!Health && this->Body.empty())
    return;
  std::string Message =
      plainAnswer(200, Health ? std::string_view() : this->Body, true);
  const std::string *RequestId = Request.Fields.find("X-Balsamyard-Attempt-Id");
  Message.insert(Message.find("\r\n") + 2,
                 "X-Balsamyard-Instance-Id: " + this->Id +
                     "\r\nX-Balsamyard-Server-Stamp: stamp-" + this->Id +
                     "\r\nX-Balsamyard-Attempt-Id: " +
                     (RequestId == nullptr ? "" : *RequestId) + "\r\n");
  Peer.answer(std::move(Message), true);
}

CrowdWorld::CrowdWorld(soak::NodeLimits Limits, CallerBounds Bounds)
    : Limits(Limits), Folder(ownFolder()), Address(ownAddress()) {
  const auto Millis = [](Duration Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  };
  this->Config = {{"version", 1},
                  {"routes", nlohmann::json::array()},
                  {"services", nlohmann::json::array()},
                  {"limits",
                   {{"maxHeaderBytes", Bounds.HeaderBytes},
                    {"maxBodyBytes", Bounds.BodyBytes},
                    {"headerTimeoutMs", Millis(Bounds.HeaderTimeout)},
                    {"idleTimeoutMs", Millis(Bounds.IdleTimeout)}}}};
  this->addService("small", "sixteen bytes...");
  this->addService("medium", std::string(MediumBytes, 'm'));
  this->addService("long", std::string(LongBytes, 'l'));
  this->addService("silent", "");
  nlohmann::json Names = nlohmann::json::array();
  for (int Number = 0; Number < ShardTargets; ++Number)
    this->addTarget("shard-" + std::to_string(Number), "");
  for (int Number = 0; Number < Shards; ++Number)
    Names.push_back("shard-" + std::to_string(Number % ShardTargets));
  this->Config["routes"].push_back({{"name", "route-shards"},
                                    {"host", "a.example"},
                                    {"pathPrefix", "/shards/"},
                                    {"type", "idempotent"},
                                    {"timeoutMs", 2000},
                                    {"targetLatencyMs", 400},
                                    {"attempts", 2},
                                    {"topK", 5},
                                    {"minCoverage", 0.5},
                                    {"gather", Names}});
  this->publish();
  this->Node = std::make_unique<soak::NodeProcess>(
      soak::NodeOptions{nodeProgram(), this->Folder, "node", this->Address,
                        toEndpoint(this->Store.address()), Limits, true});
  this->Node->start();
  this->Meter = std::make_unique<ProcessUsage>(this->Node->id(), this->Address);
  REQUIRE(this->isServed("/small/first"));
  REQUIRE(this->isServed("/long/first"));
  REQUIRE(this->isServed("/medium/first"));
}

CrowdWorld::~CrowdWorld() {
  this->Meter = nullptr;
  this->Node = nullptr;
  std::filesystem::remove_all(this->Folder);
}

void CrowdWorld::addTarget(const std::string &Service,
                           const std::string &Body) {
  this->Targets.push_back(std::make_unique<CrowdTarget>("i-" + Service, Body));
  const CrowdTarget &Target = *this->Targets.back();
  this->Store.put("servers", Target.Id,
                  {{"service", Service},
                   {"address", Target.address()},
                   {"zone", "z"},
                   {"version", "v1"},
                   {"slots", 100},
                   {"state", "ready"},
                   {"warmupLeftMs", 0},
                   {"sequence", 1},
                   {"born", 1}});
}

void CrowdWorld::addService(const std::string &Name, const std::string &Body) {
  this->addTarget(Name, Body);
  this->Config["routes"].push_back({{"name", "route-" + Name},
                                    {"host", "a.example"},
                                    {"pathPrefix", "/" + Name + "/"},
                                    {"type", "idempotent"},
                                    {"timeoutMs", 2000},
                                    {"targetLatencyMs", 400},
                                    {"attempts", 2},
                                    {"service", Name}});
  if (this->Node)
    this->publish();
}

void CrowdWorld::publish() {
  this->Config["version"] = this->Config["version"].get<int>() + 1;
  this->Store.put("config", "main", this->Config);
}

bool CrowdWorld::isServed(const std::string &Path) {
  const TimePoint GiveUp = steadyNow() + GiveUpTime;
  while (steadyNow() < GiveUp) {
    const HttpResponse Answer =
        this->ask(request(Path, "ordinary-" + std::to_string(++this->NextId)));
    if (Answer.Status == 200)
      return true;
    const std::string *Wait = Answer.Fields.find("retry-after");
    std::this_thread::sleep_for(std::max<std::chrono::duration<double>>(
        MinRetryPause,
        std::chrono::duration<double>(Wait == nullptr ? 0 : std::stod(*Wait))));
  }
  return false;
}

HttpResponse CrowdWorld::ask(const std::string &Bytes,
                             const ReadPauses &Pauses) const {
  return PatientConnection(this->Node->callers(), Pauses).ask(Bytes);
}

bool CrowdWorld::stops() {
  this->Node->signal(SIGTERM);
  const TimePoint GiveUp = steadyNow() + soak::NodeProcess::GraceTime;
  while (steadyNow() < GiveUp) {
    if (const std::optional<int> Status = this->Node->takeExitStatus())
      return *Status == 0;
    std::this_thread::sleep_for(MinRetryPause);
  }
  return false;
}

void checkBears(CrowdWorld &World, const asio::ip::tcp::endpoint &Server,
                std::size_t Clients, const ClientPlan &Plan) {
  const auto Check = [&World] {
    REQUIRE(World.isAlive());
    CHECK(World.isServed("/small/ordinary"));
    CHECK(World.isServed("/medium/ordinary"));
    REQUIRE(World.isAlive());
  };
  {
    Crowd Callers(Server, Clients, Plan);
    CHECK(Callers.waitUntilArrived());
    std::this_thread::sleep_for(CrowdWorld::PressTime);
    Check();
  }
  Check();
  CHECK(World.isServed("/long/afterwards"));
  const Usage Peak = World.usage().peak();
  INFO("resident: " << Peak.ResidentBytes
                    << ", in sockets: " << Peak.SocketBytes);
  CHECK(Peak.bytes() <= World.memoryBytes());
  CHECK(Peak.Descriptors < World.descriptors());
}

} // namespace balsamyard::test
