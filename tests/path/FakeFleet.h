#pragma once

#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/Listener.h"
#include "balsamyard/src/Connection/TargetProtocol.h"
#include "balsamyard/src/Core/Overload.h"

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <condition_variable>
#include <future>
#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace balsamyard::test {

/// \brief HTTP server with its own thread on a loopback port that the kernel
/// chooses.
class FakeServer {
public:
  explicit FakeServer(const std::function<void(ServerConnection &,
                                               const HttpRequest &)> &OnRequest)
      : Work(asio::make_work_guard(this->Io)),
        Server(this->Io,
               ServerHooks{[OnRequest](ServerConnection &Peer,
                                       const HttpRequest &Request) {
                             OnRequest(Peer, Request);
                           },
                           [this](ServerConnection &) { ++this->Gone; },
                           [] { return ServerLimits{}; }}) {
    this->Server.listen({asio::ip::make_address("127.0.0.1"), 0});
    this->Thread = std::thread([this] { this->Io.run(); });
  }

  ~FakeServer() { this->stop(); }

  /// \brief Stops handling requests. Connections that an owner still holds must
  /// be released before this object is destroyed.
  void stop() {
    this->Io.stop();
    if (this->Thread.joinable())
      this->Thread.join();
  }

  Endpoint endpoint() const { return {"127.0.0.1", this->Server.port()}; }

  std::string address() const { return toText(this->endpoint()); }

  asio::io_context Io;
  std::atomic<int> Gone{0}; ///< Peers that disconnected before their answer.

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  Listener Server;
  std::thread Thread;
};

/// \brief Answers at once.
struct WellBehaved {};
/// \brief Never answers.
struct Silent {};
/// \brief Answers after a delay.
struct Late {
  Duration After{};
};
/// \brief Sends its answer twice.
struct DuplicateAnswer {};
/// \brief Answers with the id of another request.
struct MismatchedId {};
/// \brief Rejects the request as not executed.
struct Refusing {};
/// \brief Answers 421, because another target has taken over its address.
struct Replaced {};
/// \brief Executes the request and answers 500.
struct Failing {};
/// \brief Closes the connection without an answer, as after a crash.
struct Crashing {};
/// \brief Sends one byte of its answer to the first request, two to the second,
/// and so on, and closes the connection.
struct Truncating {};
/// \brief Answers, and says in each answer that it leaves.
struct Leaving {};
/// \brief Answers after a delay, and names a limit of requests per second.
struct Limiting {
  const char *PerSecond;
  Duration After{};
};
/// \brief Rejects the request and asks for a pause of this many seconds.
struct Pausing {
  const char *Seconds;
};
/// \brief Sends these bytes and keeps the connection open or closes it. "{id}"
/// stands for the id of the request.
struct RawAnswer {
  std::string Bytes;
  bool KeepOpen = true;
};

using Behaviour =
    std::variant<WellBehaved, Silent, Late, DuplicateAnswer, MismatchedId,
                 Refusing, Replaced, Failing, Crashing, Truncating, Leaving,
                 Limiting, Pausing, RawAnswer>;

/// \brief A target that speaks the platform's protocol.
class FakeTarget {
public:
  FakeTarget(std::string Id, std::string Record, Behaviour Acts)
      : Id(std::move(Id)), Record(std::move(Record)), Acts(std::move(Acts)),
        Server([this](ServerConnection &Peer, const HttpRequest &Request) {
          this->onRequest(Peer, Request);
        }) {}

  std::string address() const { return this->Server.address(); }
  int peersGone() const { return this->Server.Gone; }

  std::vector<HttpRequest> requests() const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Seen;
  }

  const std::string Id;

private:
  std::string successResponse(const std::string &RequestId,
                              const std::string &Fields = "") const {
    return "HTTP/1.1 200 OK\r\nX-Balsamyard-Attempt-Id: " + RequestId +
           "\r\nX-Balsamyard-Server-Stamp: stamp-" + this->Id + "\r\n" +
           Fields + "Content-Length: " + std::to_string(this->Record.size()) +
           "\r\n\r\n" + this->Record;
  }

  void answerAfter(Duration Time, const Ref<ServerConnection> &Peer,
                   const std::string &Response) {
    auto Timer = std::make_shared<asio::steady_timer>(this->Server.Io);
    Timer->expires_after(Time);
    Timer->async_wait([Peer, Timer, Response](const asio::error_code &) {
      Peer->answer(Response, true);
    });
  }

  void onRequest(ServerConnection &Peer, const HttpRequest &Request) {
    if (Request.Target == "/health") {
      Peer.answer("HTTP/1.1 200 OK\r\nX-Balsamyard-Instance-Id: " + this->Id +
                      "\r\nContent-Length: 0\r\n\r\n",
                  true);
      return;
    }
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Seen.push_back(Request);
    }
    const std::string *Sent = Request.Fields.find("X-Balsamyard-Attempt-Id");
    const std::string RequestId = Sent == nullptr ? "" : *Sent;
    const Ref<ServerConnection> Held(&Peer);
    std::visit(
        Overload{
            [&](const WellBehaved &) {
              Held->answer(this->successResponse(RequestId), true);
            },
            [](const Silent &) {},
            [&](const Late &Delayed) {
              this->answerAfter(Delayed.After, Held,
                                this->successResponse(RequestId));
            },
            [&](const DuplicateAnswer &) {
              Held->answer(this->successResponse(RequestId) +
                               this->successResponse(RequestId),
                           true);
            },
            [&](const MismatchedId &) {
              Held->answer(this->successResponse("other"), true);
            },
            [&](const Refusing &) {
              Held->answer("HTTP/1.1 503 Full\r\nX-Balsamyard-Not-Executed: 1"
                           "\r\nContent-Length: 0\r\n\r\n",
                           true);
            },
            [&](const Replaced &) {
              Held->answer("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
                           true);
            },
            [&](const Failing &) {
              Held->answer("HTTP/1.1 500 Failed\r\nX-Balsamyard-Attempt-Id: " +
                               RequestId +
                               "\r\nX-Balsamyard-Server-Stamp: stamp-" +
                               this->Id + "\r\nContent-Length: 0\r\n\r\n",
                           true);
            },
            [&](const Crashing &) { Held->close(); },
            [&](const Truncating &) {
              Held->answer(this->successResponse(RequestId).substr(
                               0, this->requests().size()),
                           false);
            },
            [&](const Leaving &) {
              Held->answer(
                  this->successResponse(RequestId, "Server-Leaving: 1\r\n"),
                  true);
            },
            [&](const Limiting &Needy) {
              this->answerAfter(
                  Needy.After, Held,
                  this->successResponse(
                      RequestId, "Server-Limit: " +
                                     std::string(Needy.PerSecond) + "\r\n"));
            },
            [&](const Pausing &Busy) {
              Held->answer("HTTP/1.1 503 Busy\r\nX-Balsamyard-Not-Executed: 1"
                           "\r\nRetry-After: " +
                               std::string(Busy.Seconds) +
                               "\r\nContent-Length: 0\r\n\r\n",
                           true);
            },
            [&](const RawAnswer &Raw) {
              std::string Bytes = Raw.Bytes;
              const std::string_view Id = "{id}";
              if (const std::size_t At = Bytes.find(Id);
                  At != std::string::npos)
                Bytes.replace(At, Id.size(), RequestId);
              Held->answer(std::move(Bytes), Raw.KeepOpen);
            }},
        this->Acts);
  }

  const std::string Record;
  const Behaviour Acts;
  mutable std::mutex Mutex;
  std::vector<HttpRequest> Seen;
  FakeServer Server;
};

/// \brief In-memory store of the platform with lists, watches and conditional
/// writes.
class FakeStore {
public:
  FakeStore()
      : Server([this](ServerConnection &Peer, const HttpRequest &Request) {
          this->onRequest(Peer, Request);
        }) {}

  ~FakeStore() {
    this->Server.stop();
    this->Watchers.clear();
    this->Forgotten.clear();
  }

  std::string address() const { return this->Server.address(); }

  /// \brief Writes an object, or removes it if \p Spec is null.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Spec) {
    this->onThread([&] {
      if (Spec.is_null())
        this->remove(Kind, Name);
      else
        this->change(Kind, Name, Spec, nullptr);
    });
  }

  /// \returns the status of an object, null if there is none.
  nlohmann::json status(const std::string &Kind, const std::string &Name) {
    nlohmann::json Result;
    this->onThread([&] { Result = this->Kinds[Kind][Name].Status; });
    return Result;
  }

  /// \brief Keeps a copy of all objects for restore().
  void copy() {
    this->onThread([&] {
      this->Copy = this->Kinds;
      this->CopyRevision = this->Revision;
    });
  }

  /// \brief Goes back to the copy and starts a new era. Revisions since then
  /// are given out again.
  void restore() {
    this->onThread([&] {
      this->Kinds = this->Copy;
      this->Revision = this->CopyRevision;
      this->History.clear();
      this->Oldest = this->Revision;
      ++this->Era;
      for (const Watcher &Waiting : this->Watchers)
        Waiting.Peer->close();
      this->Watchers.clear();
    });
  }

  /// \brief Stops or resumes answering requests. Those that came meanwhile are
  /// never answered.
  void setSilent(bool Next) {
    this->onThread([&] {
      this->Silent = Next;
      if (Next)
        std::move(this->Watchers.begin(), this->Watchers.end(),
                  std::back_inserter(this->Forgotten));
      if (Next)
        this->Watchers.clear();
    });
  }

  /// \brief Forgets all changes so far. Watches that wait are not affected.
  void compact() {
    this->onThread([&] {
      this->History.clear();
      this->Oldest = this->Revision;
    });
  }

  /// \brief Loses the next answer to a watch of \p Kind that has changes. Its
  /// connection stays open and returns nothing further.
  void loseNextAnswer(const std::string &Kind) {
    this->onThread([&] { this->LosingKind = Kind; });
  }

  /// \returns the number of answers that were lost.
  std::size_t lostAnswers() {
    std::size_t Result = 0;
    this->onThread([&] { Result = this->LostAnswers; });
    return Result;
  }

  /// \returns the number of calls so far.
  std::size_t calls() {
    std::size_t Result = 0;
    this->onThread([&] { Result = this->Calls; });
    return Result;
  }

  std::vector<std::string> names(const std::string &Kind) {
    std::vector<std::string> Result;
    this->onThread([&] {
      for (const auto &[Name, Value] : this->Kinds[Kind])
        Result.push_back(Name);
    });
    return Result;
  }

  std::size_t count(const std::string &Kind) {
    std::size_t Result = 0;
    this->onThread([&] { Result = this->Kinds[Kind].size(); });
    return Result;
  }

private:
  struct Stored {
    std::uint64_t Revision = 0;
    nlohmann::json Spec;
    nlohmann::json Status;
  };
  struct Change {
    std::string Kind;
    std::string Name;
    Stored Value;
    bool Removed = false;
  };
  struct Watcher {
    Ref<ServerConnection> Peer;
    std::string Kind;
    std::uint64_t Since = 0;
    bool Waits = true; ///< Is answered without changes otherwise.
  };

  template <typename Work> void onThread(const Work &Do) {
    std::promise<void> Done;
    asio::post(this->Server.Io, [&] {
      Do();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  void change(const std::string &Kind, const std::string &Name,
              const nlohmann::json &Spec, const nlohmann::json &Status) {
    Stored &Object = this->Kinds[Kind][Name];
    Object = {++this->Revision, Spec, Status};
    this->History.push_back({Kind, Name, Object});
    this->wakeWatchers();
  }

  void remove(const std::string &Kind, const std::string &Name) {
    this->Kinds[Kind].erase(Name);
    this->History.push_back({Kind, Name, {++this->Revision, {}, {}}, true});
    this->wakeWatchers();
  }

  static nlohmann::json object(const std::string &Name, const Stored &Value) {
    return {{"meta", {{"name", Name}, {"revision", Value.Revision}}},
            {"spec", Value.Spec},
            {"status", Value.Status}};
  }

  void send(ServerConnection &Peer, int Status,
            const nlohmann::json &Body) const {
    std::string Message =
        plainAnswer(Status, Body.dump(), true, {}, "application/json");
    Message.insert(Message.find("\r\n") + 2,
                   "Store-Era: " + std::to_string(this->Era) + "\r\n");
    Peer.answer(std::move(Message), true);
  }

  void onRequest(ServerConnection &Peer, const HttpRequest &Request) {
    ++this->Calls;
    if (this->Silent) {
      this->Forgotten.push_back({Ref<ServerConnection>(&Peer), {}, 0});
      return;
    }
    const std::string &Target = Request.Target;
    const std::size_t Query = Target.find('?');
    const std::string Path = Target.substr(0, Query).substr(9);
    const std::string Kind = Path.substr(0, Path.find('/'));
    if (Request.Method != "GET") {
      this->onWrite(Peer, Request, Kind, Path);
      return;
    }
    const std::size_t Watch = Target.find("watch=");
    if (Watch == std::string::npos) {
      nlohmann::json Items = nlohmann::json::array();
      for (const auto &[Name, Value] : this->Kinds[Kind])
        Items.push_back(object(Name, Value));
      send(Peer, 200,
           {{"items", Items}, {"hasMore", false}, {"asOf", this->Revision}});
      return;
    }
    const std::uint64_t Since = std::stoull(Target.substr(Watch + 6));
    if (Since > this->Revision || Since < this->Oldest) {
      send(Peer, 410, nullptr);
      return;
    }
    const bool Waits = Target.find("waitMs=0") == std::string::npos;
    this->Watchers.push_back(
        {Ref<ServerConnection>(&Peer), Kind, Since, Waits});
    this->wakeWatchers();
  }

  void onWrite(ServerConnection &Peer, const HttpRequest &Request,
               const std::string &Kind, const std::string &Path) {
    std::string Name = Path.substr(Path.find('/') + 1);
    const std::size_t Part = Name.find('/');
    const bool OnlyStatus = Part != std::string::npos;
    Name = Name.substr(0, Part);
    auto &Objects = this->Kinds[Kind];
    const auto Found = Objects.find(Name);
    if ((Found != Objects.end()) == (Request.Method == "POST")) {
      send(Peer, Request.Method == "POST" ? 409 : 404, nullptr);
      return;
    }
    if (Request.Method == "DELETE") {
      this->remove(Kind, Name);
      send(Peer, 200, nullptr);
      return;
    }
    const auto Body = nlohmann::json::parse(Request.Body);
    const nlohmann::json &Meta = Body["meta"];
    if (Meta.contains("revision") && Found != Objects.end() &&
        Meta["revision"] != Found->second.Revision) {
      send(Peer, 409, object(Name, Found->second));
      return;
    }
    const Stored Former = Found == Objects.end() ? Stored{} : Found->second;
    this->change(Kind, Name, OnlyStatus ? Former.Spec : Body["spec"],
                 OnlyStatus ? Body["status"] : Former.Status);
    send(Peer, 200, object(Name, Objects[Name]));
  }

  void wakeWatchers() {
    std::erase_if(this->Watchers, [this](const Watcher &Waiting) {
      nlohmann::json Events = nlohmann::json::array();
      for (const Change &Past : this->History)
        if (Past.Value.Revision > Waiting.Since && Past.Kind == Waiting.Kind)
          Events.push_back({{"object", object(Past.Name, Past.Value)},
                            {"removed", Past.Removed}});
      if (Events.empty() && Waiting.Waits)
        return false;
      if (!Events.empty() && Waiting.Waits &&
          Waiting.Kind == this->LosingKind) {
        this->LosingKind.clear();
        ++this->LostAnswers;
        this->Forgotten.push_back(Waiting);
        return true;
      }
      send(*Waiting.Peer, 200, {{"events", Events}, {"asOf", this->Revision}});
      return true;
    });
  }

  std::uint64_t Era = 1;
  std::uint64_t Revision = 1;
  std::uint64_t Oldest = 0; ///< Watches from earlier revisions are refused.
  std::uint64_t CopyRevision = 0;
  std::map<std::string, std::map<std::string, Stored>> Copy;
  std::map<std::string, std::map<std::string, Stored>> Kinds;
  std::vector<Change> History;
  std::vector<Watcher> Watchers;
  bool Silent = false;
  std::string LosingKind;
  std::size_t LostAnswers = 0;
  std::size_t Calls = 0;
  std::vector<Watcher> Forgotten; ///< Requests that get no answer.
  FakeServer Server;
};

/// \brief A caller with one connection.
class FakeCaller {
public:
  explicit FakeCaller(std::uint16_t Port) : Socket(this->Io) {
    this->Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  }

  void send(const std::string &Bytes) {
    asio::write(this->Socket, asio::buffer(Bytes));
  }

  /// \brief Waits for a complete response. Its status is 0 if the connection
  /// ended first.
  HttpResponse receive() {
    ResponseParser Reader;
    Reader.begin(true);
    while (true) {
      const HttpStep Step = Reader.read(this->Unread);
      this->Unread.erase(0, Step.Consumed);
      if (std::holds_alternative<HttpComplete>(Step.Progress))
        return Reader.take();
      if (std::holds_alternative<HttpMalformed>(Step.Progress))
        return {};
      std::array<char, 4096> Buffer{};
      asio::error_code Problem;
      const std::size_t Length =
          this->Socket.read_some(asio::buffer(Buffer), Problem);
      if (Problem) {
        if (std::holds_alternative<HttpComplete>(Reader.end()))
          return Reader.take();
        return {};
      }
      this->Unread.append(Buffer.data(), Length);
    }
  }

  HttpResponse ask(const std::string &Bytes) {
    this->send(Bytes);
    return this->receive();
  }

  void close() { this->Socket.close(); }

  /// \returns the bytes that have arrived and were not received yet.
  std::size_t unread() const { return this->Socket.available(); }

private:
  asio::io_context Io;
  asio::ip::tcp::socket Socket;
  std::string Unread; ///< Received bytes after the last response.
};

} // namespace balsamyard::test
