#include "balsamyard/src/Connection/HttpLink.h"
#include "balsamyard/src/Connection/StoreChannel.h"
#include "balsamyard/src/Connection/TargetChannel.h"
#include "tests/path/PlatformWorld.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \brief What a target sends.
struct SampleAnswer {
  const char *Name;
  std::string Bytes;
  bool KeepOpen = true;
};

/// Fields that make a success valid, without its status line and length.
const std::string ValidFields =
    "X-Balsamyard-Attempt-Id: {id}\r\nX-Balsamyard-Server-Stamp: stamp\r\n";

std::string withStatusLine(const std::string &StatusLine) {
  return StatusLine + "\r\n" + ValidFields + "Content-Length: 4\r\n\r\nbody";
}

/// \returns a success whose head has \p Lines in front of its last field.
std::string withLines(const std::string &Lines) {
  return "HTTP/1.1 200 OK\r\n" + ValidFields + Lines +
         "Content-Length: 4\r\n\r\nbody";
}

std::vector<SampleAnswer> invalidStatuses() {
  return {{"a status of 000", withStatusLine("HTTP/1.1 000 Nothing")},
          {"a status of 000 without a reason", withStatusLine("HTTP/1.1 000")},
          {"a status below 100", withStatusLine("HTTP/1.1 099 Low")},
          {"a status above 599", withStatusLine("HTTP/1.1 600 High")},
          {"a status of 999", withStatusLine("HTTP/1.1 999 High")},
          {"a switch of protocols, which was not asked for",
           "HTTP/1.1 101 Switching Protocols\r\n\r\n" +
               withStatusLine("HTTP/1.1 200 OK")}};
}

std::vector<SampleAnswer> brokenStatusLines() {
  return {{"a status of one digit", withStatusLine("HTTP/1.1 2 OK")},
          {"a status of two digits", withStatusLine("HTTP/1.1 20 OK")},
          {"a status of four digits", withStatusLine("HTTP/1.1 0200 OK")},
          {"two blanks before the status", withStatusLine("HTTP/1.1  200 OK")},
          {"another major version", withStatusLine("HTTP/9.9 200 OK")},
          {"an older major version", withStatusLine("HTTP/0.9 200 OK")},
          {"a NUL in the reason",
           withStatusLine(std::string("HTTP/1.1 200 O\0K", 16))},
          {"a CR in the reason", withStatusLine("HTTP/1.1 404 Not\rX")},
          {"an LF without CR behind the reason",
           "HTTP/1.1 200 OK\n" + ValidFields + "Content-Length: 4\r\n\r\nbody"},
          {"an empty line before the status line",
           "\r\n" + withStatusLine("HTTP/1.1 200 OK")}};
}

std::vector<SampleAnswer> brokenFieldLines() {
  std::vector<SampleAnswer> Result = {
      {"a folded field", withLines("X-Field: a\r\n b\r\n")},
      {"a folded receipt", "HTTP/1.1 200 OK\r\n" + ValidFields +
                               "\tmore\r\nContent-Length: 4\r\n\r\nbody"},
      {"a folded line without text", withLines("X-Field: a\r\n \r\n")},
      {"a field whose name begins with a CR", withLines("\rX-Field: a\r\n")},
      {"a failure with a field whose name begins with a CR",
       "HTTP/1.1 404 No\r\nX-Balsamyard-Attempt-Id: {id}\r\n\rX-Field: a\r\n"
       "Content-Length: 4\r\n\r\nbody"},
      {"a CR without LF in a value", withLines("X-Field: a\rb\r\n")},
      {"a CR without LF behind a value",
       withLines("X-Field: a\rX-Next: b\r\n")},
      {"an LF without CR behind a value", withLines("X-Field: a\n")},
      {"an empty line without CR", withLines("X-Field: a\r\n\nX-Field: a\r\n")},
      {"an empty line without LF", withLines("X-Field: a\r\n\rX")},
      {"a field without a colon", withLines("X-Field\r\n")},
      {"a field without a name", withLines(": a\r\n")}};
  for (const char Byte :
       {'\0', '\1', '\t', ' ', '\x1f', '"', '(', '/', '\x7f', '\x80', '\xff'}) {
    const std::string Text(1, Byte);
    Result.push_back({"a forbidden byte in the name of a field",
                      withLines("X-Fi" + Text + "eld: a\r\n")});
    Result.push_back({"a forbidden byte behind the name of a field",
                      withLines("X-Field" + Text + ": a\r\n")});
  }
  for (const char Byte : {'\0', '\1', '\b', '\x1f', '\x7f'})
    Result.push_back(
        {"a forbidden byte in the value of a field",
         withLines("X-Field: a" + std::string(1, Byte) + "b\r\n")});
  return Result;
}

/// \returns a success in chunks with \p Chunks as its body.
std::string withChunks(const std::string &Chunks) {
  return "HTTP/1.1 200 OK\r\n" + ValidFields +
         "Transfer-Encoding: chunked\r\n\r\n" + Chunks;
}

std::vector<SampleAnswer> brokenChunks() {
  return {
      {"a CR without LF behind the size of a chunk",
       withChunks("4\rXbody\r\n0\r\n\r\n")},
      {"an LF without CR behind the size of a chunk",
       withChunks("4\nbody\r\n0\r\n\r\n")},
      {"text behind the size of a chunk",
       withChunks("4 x\r\nbody\r\n0\r\n\r\n")},
      {"a size with a sign", withChunks("+4\r\nbody\r\n0\r\n\r\n")},
      {"a size with a prefix", withChunks("0x4\r\nbody\r\n0\r\n\r\n")},
      {"no size", withChunks("\r\nbody\r\n0\r\n\r\n")},
      {"a size above 64 bits",
       withChunks("10000000000000004\r\nbody\r\n0\r\n\r\n")},
      {"a control byte in the extension of a chunk",
       withChunks("4;a=\1\r\nbody\r\n0\r\n\r\n")},
      {"a CR without LF in the extension of a chunk",
       withChunks("4;a\rb\r\nbody\r\n0\r\n\r\n")},
      {"a CR without LF behind a chunk", withChunks("4\r\nbody\rX0\r\n\r\n")},
      {"an LF without CR behind a chunk", withChunks("4\r\nbody\n0\r\n\r\n")},
      {"a chunk that is longer than its size",
       withChunks("3\r\nbody\r\n0\r\n\r\n")},
      {"a CR without LF behind the last chunk",
       withChunks("4\r\nbody\r\n0\rX\r\n")},
      {"a CR without LF at the end", withChunks("4\r\nbody\r\n0\r\n\rX")},
      {"a blank in the name of a trailer field",
       withChunks("4\r\nbody\r\n0\r\nX Field: a\r\n\r\n")},
      {"a folded trailer field",
       withChunks("4\r\nbody\r\n0\r\nX-Field: a\r\n b\r\n\r\n")},
      {"a trailer field whose name begins with a CR",
       withChunks("4\r\nbody\r\n0\r\nX-Field: a\r\n\rX-Next: b\r\n\r\n")},
      {"a control byte in a trailer field",
       withChunks("4\r\nbody\r\n0\r\nX-Field: \1\r\n\r\n")}};
}

std::vector<SampleAnswer> brokenLengths() {
  const std::string Ok = "HTTP/1.1 200 OK\r\n" + ValidFields;
  return {
      {"an unknown transfer coding", Ok + "Transfer-Encoding: xyz\r\n\r\nbody",
       false},
      {"a transfer coding that was not asked for",
       Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
      {"a transfer coding in front of the chunks",
       Ok + "Transfer-Encoding: chunked, gzip\r\n\r\nbody", false},
      {"chunks in chunks", Ok + "Transfer-Encoding: chunked, chunked\r\n\r\n"
                                "4\r\nbody\r\n0\r\n\r\n"},
      {"two transfer codings",
       Ok + "Transfer-Encoding: xyz\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\n\r\n"},
      {"an empty transfer coding", Ok + "Transfer-Encoding:\r\n\r\nbody",
       false},
      {"an empty length", Ok + "Content-Length:\r\n\r\nbody", false},
      {"a negative length", Ok + "Content-Length: -4\r\n\r\nbody", false},
      {"a length with a sign", Ok + "Content-Length: +4\r\n\r\nbody"},
      {"a list of lengths", Ok + "Content-Length: 4, 4\r\n\r\nbody"},
      {"a length of two numbers", Ok + "Content-Length: 4 4\r\n\r\nbody"},
      {"a length above 64 bits",
       Ok + "Content-Length: 18446744073709551620\r\n\r\nbody"}};
}

std::vector<SampleAnswer> bodiesWithoutRoom() {
  const std::string Fields = ValidFields + "Content-Length: 4\r\n\r\nbody";
  const std::string Final = withStatusLine("HTTP/1.1 200 OK");
  return {{"an interim response with a length",
           "HTTP/1.1 103 Hints\r\nContent-Length: 4\r\n\r\nbody" + Final},
          {"an interim response in chunks",
           "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
               Final},
          {"204 with a body", "HTTP/1.1 204 No Content\r\n" + Fields},
          {"204 in chunks",
           "HTTP/1.1 204 No Content\r\n" + ValidFields +
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}};
}

/// \brief Broken answers of one kind.
struct AnswerGroup {
  const char *Name;
  std::vector<SampleAnswer> Answers;
};

std::vector<AnswerGroup> brokenAnswers() {
  return {{"statuses", invalidStatuses()},
          {"status lines", brokenStatusLines()},
          {"lines of the head", brokenFieldLines()},
          {"chunks", brokenChunks()},
          {"lengths", brokenLengths()},
          {"bodies where none is allowed", bodiesWithoutRoom()}};
}

/// \brief A node with a route and a target for each of some answers.
struct AnsweringWorld : PlatformWorld {
  explicit AnsweringWorld(const std::vector<SampleAnswer> &Answers) {
    for (std::size_t At = 0; At < Answers.size(); ++At) {
      const std::string Service = "s" + std::to_string(At);
      this->add(Service, "i-" + std::to_string(At), "",
                RawAnswer{Answers[At].Bytes, Answers[At].KeepOpen});
      this->addRoute(path(At), {{"service", Service}});
    }
    this->start();
  }

  static std::string path(std::size_t At) {
    return "/get/" + std::to_string(At) + "/";
  }

  /// \brief Sends a request to the target of the answer \p At.
  HttpResponse ask(std::size_t At) {
    FakeCaller Caller = this->caller();
    return Caller.ask(get(path(At)));
  }
};

} // namespace

// Guards against bytes that are no HTTP/1.1 response and reach a caller as an
// answer, or as a part of one.
SCENARIO("a broken answer of a target does not reach the caller", "[broken]") {
  for (const auto &[Name, Answers] : brokenAnswers())
    GIVEN("targets that send broken " + std::string(Name)) {
      AnsweringWorld World(Answers);
      for (std::size_t At = 0; At < Answers.size(); ++At) {
        INFO(Answers[At].Name);
        const HttpResponse Answer = World.ask(At);
        // The failure is the node's own.
        CHECK(Answer.Status == 502);
        CHECK(field(Answer, "X-Balsamyard-Server-Stamp").empty());
      }
    }
}

// Guards against a request that is refused because it seems to crash targets,
// although they live and only answer badly.
SCENARIO("targets that send broken answers do not count as crashed",
         "[broken]") {
  GIVEN("a service whose targets send a status of 000") {
    PlatformWorld World;
    const std::string Broken = withStatusLine("HTTP/1.1 000 Nothing");
    for (const char *Id : {"i-1", "i-2", "i-3", "i-4"})
      World.add("s1", Id, "", RawAnswer{Broken});
    World.addRoute("/get/", {{"service", "s1"}});
    World.start();
    FakeCaller Caller = World.caller();
    WHEN("the same request is sent again and again") {
      std::vector<int> Statuses;
      for (int Count = 0; Count < 8; ++Count) {
        Statuses.push_back(
            Caller.ask(get("/get/x", "id-" + std::to_string(Count))).Status);
        // The time after which a crash is confirmed.
        ::usleep(300'000);
      }
      THEN("it is never refused") {
        CHECK(Statuses == std::vector<int>(8, 502));
      }
    }
  }
}

// Guards against checks that depend on how the network splits the bytes.
SCENARIO("a broken answer is malformed whatever pieces it arrives in",
         "[broken]") {
  for (const auto &[Name, Answers] : brokenAnswers())
    GIVEN("broken " + std::string(Name)) {
      for (const SampleAnswer &Broken : Answers)
        for (const std::size_t Piece :
             {std::size_t(1), std::size_t(3), Broken.Bytes.size()}) {
          INFO(Broken.Name << " in pieces of " << Piece);
          ResponseParser Reader;
          Reader.begin(true);
          HttpProgress Progress = HttpIncomplete{};
          std::string_view Rest = Broken.Bytes;
          while (!Rest.empty() &&
                 std::holds_alternative<HttpIncomplete>(Progress)) {
            Progress = Reader.read(Rest.substr(0, Piece)).Progress;
            Rest.remove_prefix(std::min(Piece, Rest.size()));
          }
          if (std::holds_alternative<HttpIncomplete>(Progress))
            Progress = Reader.end();
          CHECK(std::holds_alternative<HttpMalformed>(Progress));
        }
    }
}

// Guards against checks that reject what targets may send.
SCENARIO("an unusual but valid answer reaches the caller unchanged",
         "[broken]") {
  const std::string Ok = "HTTP/1.1 200 OK\r\n" + ValidFields;
  const std::vector<SampleAnswer> Answers = {
      {"no reason", withStatusLine("HTTP/1.1 200")},
      {"an empty reason", withStatusLine("HTTP/1.1 200 ")},
      {"bytes above 0x7f in the reason",
       withStatusLine("HTTP/1.1 200 \xc3\xa9t\xc3\xa9")},
      {"a later minor version", withStatusLine("HTTP/1.2 200 OK")},
      {"an interim response first", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" +
                                        withStatusLine("HTTP/1.1 200 OK")},
      {"HTTP/1.0", withStatusLine("HTTP/1.0 200 OK"), false},
      {"a body up to the end of the connection", Ok + "\r\nbody", false},
      {"a body in chunks", Ok + "Transfer-Encoding: Chunked \r\n\r\n"
                                "2\r\nbo\r\n02 ;a=\"b c\"\r\ndy\r\n0\r\n"
                                "X-Trailer: t\r\n\r\n"},
      {"a field without a value, and one with blanks and tabs",
       withLines("X-Empty:\r\nX-Blank: \t a \t b \t\r\n")},
      {"every byte that a name may have",
       withLines("!#$%&'*+-.^_`|~09azAZ: a\r\n")}};
  GIVEN("targets that send such answers") {
    AnsweringWorld World(Answers);
    for (std::size_t At = 0; At < Answers.size(); ++At) {
      INFO(Answers[At].Name);
      const HttpResponse Answer = World.ask(At);
      CHECK(Answer.Status == 200);
      CHECK(Answer.Body == "body");
      CHECK(field(Answer, "X-Balsamyard-Server-Stamp") == "stamp");
    }
  }
}

// Guards against bytes behind an answer that has no body, which the caller
// would take for the next answer.
SCENARIO("the body of an answer that may not have one is dropped", "[broken]") {
  GIVEN("a target that sends 304 with a body") {
    AnsweringWorld World(
        {{"304 with a body", "HTTP/1.1 304 Not Modified\r\n" + ValidFields +
                                 "Content-Length: 4\r\n\r\nbody"}});
    FakeCaller Caller = World.caller();
    for (int Count = 0; Count < 2; ++Count) {
      const HttpResponse Answer = Caller.ask(get("/get/0/"));
      CHECK(Answer.Status == 304);
      CHECK(Answer.Body.empty());
    }
  }
}

// Guards against a target that counts as reached by an answer that is none.
SCENARIO("a broken answer to a health check does not reach a target",
         "[broken]") {
  GIVEN("a target whose health page has a status of 000") {
    const FakeServer Server([](ServerConnection &Peer, const HttpRequest &) {
      Peer.answer("HTTP/1.1 000 Nothing\r\nX-Balsamyard-Instance-Id: i-1\r\n"
                  "Content-Length: 0\r\n\r\n",
                  true);
    });
    asio::io_context Io;
    const TargetProtocol Protocol(platform::makeAdapter().Headers);
    TargetInfo Info;
    Info.Id.Text = "i-1";
    Info.Address = Server.endpoint();
    const auto Target = makeRef<KnownTarget>(Info);
    const auto Channel = makeRef<TargetChannel>(Io, Target, Protocol);
    Channel->configure({1, 0}, "/health");
    WHEN("it is checked") {
      Target->setReach(Reach::Suspect);
      const TimePoint GiveUp = steadyNow() + 5 * Second;
      while (Target->reach() == Reach::Suspect && steadyNow() < GiveUp) {
        Channel->tick(steadyNow());
        Io.run_one_for(std::chrono::milliseconds(10));
      }
      THEN("it counts as unreachable") {
        CHECK(Target->reach() == Reach::Down);
      }
    }
    Channel->retire();
  }
}

// Guards against objects of the store that are read from an answer that is
// none.
SCENARIO("a broken answer of the store is an error", "[broken]") {
  for (const char *Bytes :
       {"HTTP/1.1 000 Nothing\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Field: a\r\n\rX-Next: b\r\n\r\n{}"})
    GIVEN("a store that sends " + std::string(Bytes)) {
      const FakeServer Server(
          [Bytes](ServerConnection &Peer, const HttpRequest &) {
            Peer.answer(Bytes, false);
          });
      asio::io_context Io;
      StoreChannel Channel(Io, Server.endpoint());
      std::optional<bool> Succeeded;
      Channel.call("GET /objects/config HTTP/1.1\r\nHost: a\r\n\r\n",
                   StoreChannel::CallTimeout,
                   [&](const Expected<HttpResponse> &Result) {
                     Succeeded = Result.has_value();
                   });
      while (!Succeeded)
        Io.run_one_for(std::chrono::milliseconds(10));
      THEN("the call fails") { CHECK_FALSE(*Succeeded); }
      Channel.cancel();
    }
}
