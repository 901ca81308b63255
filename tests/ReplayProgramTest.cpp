#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;

/// Timeout for an event that is expected to occur.
constexpr std::chrono::seconds TestTimeout(30);

/// HTTP server that answers like an entry process, without targets behind it.
class FakeEntry {
public:
  FakeEntry() {
    this->Server.set_tcp_nodelay(true);
    this->Server.Get("/health", [](const auto &, auto &Response) {
      Response.set_content("{}", "application/json");
    });
    this->Server.Post(
        R"(/v1/(search|write)/([^/]+)/([^/]+))",
        [this](const httplib::Request &Asked, httplib::Response &Response) {
          this->answer(Asked, Response);
        });
    this->Port = this->Server.bind_to_any_port("127.0.0.1");
    this->Thread = std::thread([this] { this->Server.listen_after_bind(); });
  }

  ~FakeEntry() {
    this->Server.stop();
    this->Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port);
  }

private:
  void answer(const httplib::Request &Asked, httplib::Response &Response) {
    std::string Id = Asked.get_header_value("Request-Id");
    std::unique_lock<std::mutex> Lock(this->Mutex);
    ++this->Arrived;
    this->Changed.notify_all();
    // The first answer is held back until the last request has arrived.
    if (Id == "held")
      this->Changed.wait_for(Lock, TestTimeout,
                             [this] { return this->Arrived >= 4; });
    if (Id == "crossed")
      Id = "held";
    json Answer = {{"code", 1000},
                   {"name", "ok"},
                   {"request", Id},
                   {"outcome", "ran"},
                   {"snapshot", 1},
                   {"coverage",
                    {{"share", 1.0},
                     {"shards_answered", 1},
                     {"shards_asked", 1},
                     {"missing", json::array()}}},
                   {"rows", {{{"id", "0-0"}, {"snapshot", 1}}}}};
    Response.set_content(Answer.dump(), "application/json");
  }

  httplib::Server Server;
  int Port = 0;
  std::thread Thread;
  std::mutex Mutex;
  std::condition_variable Changed;
  int Arrived = 0;
};

/// Temporary folder that the destructor removes.
class Folder {
public:
  Folder() {
    std::string Name = std::filesystem::temp_directory_path() / "replay-XXXXXX";
    this->Path = mkdtemp(Name.data());
  }
  ~Folder() { std::filesystem::remove_all(this->Path); }

  std::string write(const char *Name, const std::string &Text) const {
    std::string File = this->Path + "/" + Name;
    std::ofstream(File) << Text;
    return File;
  }

  std::string Path;
};

/// Exit status and output of a program.
struct Run {
  int Status = -1;
  std::string Output; ///< Standard output and standard error.

  json lastLine() const {
    std::size_t End = this->Output.find_last_not_of('\n');
    std::size_t Begin = this->Output.rfind('\n', End);
    return json::parse(this->Output.substr(Begin + 1, End - Begin), nullptr,
                       false);
  }
};

Run replay(const std::string &Arguments) {
  Run Result;
  std::string Command =
      BALSAMYARD_BINARY_DIR "/balsamyard-replay " + Arguments + " 2>&1";
  FILE *Pipe = popen(Command.c_str(), "r");
  REQUIRE(Pipe);
  std::array<char, 4096> Buffer{};
  while (std::size_t Size = fread(Buffer.data(), 1, Buffer.size(), Pipe))
    Result.Output.append(Buffer.data(), Size);
  Result.Status = WEXITSTATUS(pclose(Pipe));
  return Result;
}

std::string searchLine(int At, const std::string &Id) {
  return json{
             {"at_ms", At},           {"kind", "search"}, {"service", "portal"},
             {"route", "find"},       {"id", Id},         {"deadline_ms", 1000},
             {"body", json::object()}}
             .dump() +
         "\n";
}

} // namespace

// Guards against a driver that blocks on a late answer, counts answers to other
// requests, or reports a failed run as passed.
TEST_CASE("the replay program drives a trace", "[replay-program]") {
  FakeEntry Entry;
  Folder Files;
  std::string Trace = Files.write(
      "trace.jsonl", searchLine(0, "held") + searchLine(5, "crossed") +
                         searchLine(10, "third") + searchLine(15, "last"));
  std::string Common =
      "--entry " + Entry.address() + " --out " + Files.Path + "/out.jsonl ";

  SECTION("a delayed answer does not block later requests") {
    std::string Expect = Files.write(
        "expect.json",
        R"({"queries":{"min":4},"wrong":{"min":1,"max":1},"lost":{"max":0}})");
    Run Ended = replay(Common + Trace + " " + Expect);
    INFO(Ended.Output);
    CHECK(Ended.Status == 0);
    json Last = Ended.lastLine();
    CHECK(Last["queries"] == 4);
    CHECK(Last["whole"] == 3);
    // The answer with the id of another request counts only as wrong.
    CHECK(Last["refused"] == 0);
    CHECK(Last["wrong"] == 1);
    CHECK(Last["not_met"].empty());
    CHECK(Last.contains("p50_ms"));
    CHECK(Last.contains("p99_ms"));

    std::ifstream Out(Files.Path + "/out.jsonl");
    std::vector<std::string> Ids;
    for (std::string Line; std::getline(Out, Line);)
      Ids.push_back(json::parse(Line)["id"]);
    CHECK(Ids == std::vector<std::string>{"held", "crossed", "third", "last"});
  }

  SECTION("a bound that is not met shows in the exit status") {
    std::string Expect = Files.write("expect.json", R"({"wrong":{"max":0}})");
    Run Ended = replay(Common + Trace + " " + Expect);
    CHECK(Ended.Status == 1);
    CHECK(Ended.lastLine()["not_met"] == json{"wrong"});
  }

  SECTION("invalid input is rejected before any request is sent") {
    std::string Expect = Files.write("expect.json", "{\n\"p9\":{\"max\":0}}");
    Run Bounds = replay(Common + Trace + " " + Expect);
    CHECK(Bounds.Status == 2);
    CHECK(Bounds.Output.find(Expect + ":2: ") != std::string::npos);

    std::string Bad =
        Files.write("bad.jsonl", searchLine(0, "a") + "{\"at_ms\":1}\n");
    Expect = Files.write("expect.json", "{}");
    Run Line = replay(Common + Bad + " " + Expect);
    CHECK(Line.Status == 2);
    CHECK(Line.Output.find(Bad + ":2: ") != std::string::npos);

    CHECK(replay("--entry 192.0.2.1:80 " + Trace + " " + Expect).Status == 2);
    CHECK(replay(Common + Trace).Status == 2);
    CHECK(replay(Common + "--speed 0 " + Trace + " " + Expect).Status == 2);
    CHECK_FALSE(std::filesystem::exists(Files.Path + "/out.jsonl"));
  }

  SECTION("requests to an address without a listener are lost") {
    std::string Expect = Files.write("expect.json", R"({"lost":{"min":4}})");
    // Port 1 of loopback has no listener.
    Run Ended = replay("--entry 127.0.0.1:1 " + Trace + " " + Expect);
    CHECK(Ended.Status == 0);
  }
}
