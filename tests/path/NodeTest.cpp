#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Request/Fingerprint.h"
#include "tests/path/PlatformWorld.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <deque>
#include <unistd.h>

using namespace balsamyard;
using namespace balsamyard::test;

SCENARIO("a node serves a query over three shards", "[node]") {
  PlatformWorld World;
  World.add("s1", "i-1a", record('a'), WellBehaved{});
  World.add("s1", "i-1b", record('b'), Late{1500 * Millisecond});
  World.add("s2", "i-2a", record('c'), DuplicateAnswer{});
  World.add("s2", "i-2b", record('d'), MismatchedId{});
  FakeTarget &Leaving =
      World.add("s3", "i-3a", record('e'), WellBehaved{}, "draining");
  World.add("s3", "i-3b", record('f'), WellBehaved{});
  World.Store.put("servers", "i-bad", {{"service", 3}});
  World.addRoute(
      "/search/",
      {{"gather", {"s1", "s2", "s3"}}, {"topK", 2}, {"minCoverage", 0.5}});
  World.start();

  GIVEN("one slow, one doubling, one crossing and one leaving target") {
    std::vector<HttpResponse> Answers;
    FakeCaller Caller = World.caller();
    for (int Count = 0; Count < 20; ++Count)
      Answers.push_back(
          Caller.ask(get("/search/x", "id-" + std::to_string(Count))));
    THEN("every answer is a success whose parts and missing shards add up") {
      for (const HttpResponse &Answer : Answers) {
        REQUIRE(Answer.Status == 200);
        const std::string Stamps = field(Answer, "X-Balsamyard-Part-Stamps");
        const auto Parts = 1 + std::count(Stamps.begin(), Stamps.end(), ',');
        CHECK(Parts + std::stoi(field(Answer, "X-Balsamyard-Missing-Parts")) ==
              3);
        // The answer to another request is never merged.
        CHECK(Stamps.find("i-2b") == std::string::npos);
        CHECK(Answer.Body.size() == 32);
        CHECK(Answer.Body.substr(0, 16) >= Answer.Body.substr(16));
      }
    }
    THEN("the leaving target gets no requests") {
      CHECK(Leaving.requests().empty());
    }
    THEN("requests name the expected target and the remaining time") {
      const HttpRequest Received = World.Targets[0]->requests().front();
      CHECK(*Received.Fields.find("X-Balsamyard-Expect-Instance") == "i-1a");
      const int Left =
          std::stoi(*Received.Fields.find("X-Balsamyard-Request-Deadline"));
      CHECK(Left <= 2000);
      CHECK(Left > 0);
      CHECK(Received.Target == "/search/x");
    }
  }

  GIVEN("a new configuration") {
    World.Config["version"] = 9;
    World.addRoute("/other/", {{"service", "s3"}});
    World.Store.put("config", "main", World.Config);
    THEN("it comes into force without a restart") {
      FakeCaller Caller = World.caller();
      HttpResponse Answer;
      while ((Answer = Caller.ask(get("/other/x"))).Status == 404)
        ::usleep(2000);
      CHECK(Answer.Status == 200);
      CHECK(field(Answer, "X-Balsamyard-Server-Stamp") == "stamp-i-3b");
    }
  }

  // Guards against configurations that are taken for old ones, because the
  // store has given out their revisions before.
  GIVEN("a store that is restored from a copy") {
    World.Store.copy();
    World.Config["version"] = 8;
    World.Store.put("config", "main", World.Config);
    FakeCaller Caller = World.caller();
    World.addRoute("/lost/", {{"service", "s3"}});
    World.Config["version"] = 9;
    World.Store.put("config", "main", World.Config);
    while (Caller.ask(get("/lost/x")).Status == 404)
      ::usleep(2000);
    World.Store.restore();
    WHEN("another configuration is written at once") {
      World.addRoute("/next/", {{"service", "s3"}});
      World.Config["version"] = 12;
      World.Store.put("config", "main", World.Config);
      THEN("it comes into force") {
        const TimePoint GiveUp = steadyNow() + 5 * Second;
        while (Caller.ask(get("/next/x")).Status == 404 && steadyNow() < GiveUp)
          ::usleep(2000);
        CHECK(Caller.ask(get("/next/x")).Status == 200);
      }
    }
    WHEN("what was lost is written again, so that all revisions are given out "
         "again") {
      World.Store.put("config", "main", World.Config);
      World.Store.put("config", "main", World.Config);
      ::usleep(1'500'000);
      THEN("nothing goes back, and a later one comes into force") {
        CHECK(Caller.ask(get("/lost/x")).Status == 200);
        World.addRoute("/next/", {{"service", "s3"}});
        World.Config["version"] = 12;
        World.Store.put("config", "main", World.Config);
        const TimePoint GiveUp = steadyNow() + 5 * Second;
        while (Caller.ask(get("/next/x")).Status == 404 && steadyNow() < GiveUp)
          ::usleep(2000);
        CHECK(Caller.ask(get("/next/x")).Status == 200);
      }
    }
  }

  GIVEN("a node that is told to stop") {
    FakeCaller Idle = World.caller();
    REQUIRE(Idle.ask(get("/search/x")).Status == 200);
    ::kill(::getpid(), SIGTERM);
    while (World.readiness() == 200)
      ::usleep(2000);
    THEN("it still answers on open connections, and then closes them") {
      const HttpResponse Answer = Idle.ask(get("/search/y", "id-2"));
      CHECK(Answer.Status == 200);
      CHECK(field(Answer, "Connection") == "close");
      CHECK(Idle.receive().Status == 0);
      World.Thread.join();
    }
  }
}

// Guards against a crash of the node: when the turn at a limited target was
// taken between the choice of the target and the claim of the turn, the calls
// of all later attempts of the request were taken for those of others. Two
// threads take turns from each other; so do two shards with the same target.
SCENARIO("the turn at a limited target is taken by another attempt", "[node]") {
  PlatformWorld World;
  World.add("s1", "i-1a", record('a'), Limiting{"200", Duration::zero()});
  World.add("s1", "i-1b", record('b'), Limiting{"200", 60 * Millisecond});
  World.add("s1", "i-1c", record('c'), Limiting{"200", 150 * Millisecond});
  World.add("s2", "i-2a", record('d'), Late{60 * Millisecond});
  World.add("s2", "i-2b", record('e'), WellBehaved{});
  World.addRoute("/search/", {{"gather", {"s1", "s1", "s1", "s2"}},
                              {"topK", 2},
                              {"minCoverage", 0.25},
                              {"targetLatencyMs", 100}});
  World.start();
  std::deque<FakeCaller> Callers;
  for (int Count = 0; Count < 4; ++Count)
    Callers.emplace_back(World.Process->callerPort());
  THEN("every request is answered") {
    std::size_t Successes = 0;
    for (int Round = 0; Round < 60; ++Round) {
      for (std::size_t Index = 0; Index < Callers.size(); ++Index)
        Callers[Index].send(get("/search/x", "id-" + std::to_string(Round) +
                                                 "-" + std::to_string(Index)));
      for (FakeCaller &Caller : Callers) {
        const int Status = Caller.receive().Status;
        REQUIRE((Status == 200 || Status == 503));
        Successes += Status == 200 ? 1 : 0;
      }
    }
    CHECK(Successes > 0);
  }
}

SCENARIO("a node serves requests of one service", "[node]") {
  PlatformWorld World;
  World.addRoute("/records/",
                 {{"service", "records"}, {"type", "non_idempotent"}});
  World.addRoute("/slow/", {{"service", "slow"}, {"timeoutMs", 300}});
  World.addRoute("/nobody/", {{"service", "nobody"}});
  World.addRoute("/full/", {{"service", "full"}});
  World.addRoute("/moved/", {{"service", "moved"}});
  FakeTarget &Target = World.add("records", "i-r", "stored", WellBehaved{});
  FakeTarget &Slow = World.add("slow", "i-s", "", Silent{});
  World.add("full", "i-f", "", Refusing{});
  World.add("moved", "i-m", "", Replaced{});
  World.start();
  FakeCaller Caller = World.caller();

  WHEN("a request with a body comes in chunks") {
    const HttpResponse Answer =
        Caller.ask("POST /records/a?b=c HTTP/1.1\r\nHost: a.example\r\n"
                   "X-Balsamyard-Attempt-Id: id-7\r\nX-Other: kept\r\n"
                   "Connection: keep-alive, X-Private\r\nX-Private: dropped\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    THEN("the target gets it unchanged, without fields of the connection") {
      REQUIRE(Answer.Status == 200);
      CHECK(Answer.Body == "stored");
      CHECK(field(Answer, "X-Balsamyard-Server-Stamp") == "stamp-i-r");
      const HttpRequest Received = Target.requests().front();
      CHECK(Received.Method == "POST");
      CHECK(Received.Target == "/records/a?b=c");
      CHECK(Received.Body == "abc");
      CHECK(*Received.Fields.find("X-Other") == "kept");
      CHECK(*Received.Fields.find("X-Balsamyard-Attempt-Id") == "id-7");
      CHECK(Received.Fields.find("X-Private") == nullptr);
    }
  }
  WHEN("no target answers") {
    const TimePoint Sent = steadyNow();
    const HttpResponse Answer = Caller.ask(get("/slow/x"));
    THEN("the final answer is sent at the timeout of the route") {
      CHECK(Answer.Status == 504);
      CHECK(steadyNow() - Sent >= 300 * Millisecond);
    }
  }
  WHEN("the caller leaves") {
    Caller.send(get("/slow/x"));
    while (Slow.requests().empty())
      ::usleep(1000);
    Caller.close();
    THEN("the request to the target is cancelled") {
      while (Slow.peersGone() == 0)
        ::usleep(1000);
      CHECK(Slow.requests().size() == 1);
    }
  }
  WHEN("a service has no target") {
    const HttpResponse Answer = Caller.ask(get("/nobody/x"));
    THEN("the answer is 503 with Retry-After") {
      CHECK(Answer.Status == 503);
      CHECK(std::stod(field(Answer, "Retry-After")) > 0);
    }
  }
  WHEN("the only target rejects the request") {
    const HttpResponse Answer = Caller.ask(get("/full/x"));
    THEN("the answer says that it was not executed and has no receipt") {
      CHECK(Answer.Status == 503);
      CHECK(field(Answer, "X-Balsamyard-Server-Stamp").empty());
      CHECK(!field(Answer, "Retry-After").empty());
    }
  }
  WHEN("another target has the address") {
    THEN("the answer says that it was not executed") {
      CHECK(Caller.ask(get("/moved/x")).Status == 503);
    }
  }
  WHEN("no route matches") {
    THEN("the answer is 404, and the connection stays open") {
      CHECK(Caller.ask(get("/unknown/x")).Status == 404);
      CHECK(Caller.ask(get("/nobody/x")).Status == 503);
    }
  }
  WHEN("requests are pipelined") {
    Caller.send(get("/nobody/x") + get("/unknown/x"));
    THEN("they are answered in order") {
      CHECK(Caller.receive().Status == 503);
      CHECK(Caller.receive().Status == 404);
    }
  }
  WHEN("a request is malformed") {
    Caller.send("POST /records/x HTTP/1.1\r\nHost: a.example\r\n"
                "X-Balsamyard-Attempt-Id: id\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x");
    THEN("it is rejected, the connection ends, and no target sees it") {
      CHECK(Caller.receive().Status == 400);
      CHECK(Caller.receive().Status == 0);
      CHECK(Target.requests().empty());
    }
  }
  WHEN("a header section is too large") {
    THEN("it is rejected") {
      CHECK(Caller
                .ask(get("/records/x", "id",
                         "A: " + std::string(5000, 'a') + "\r\n"))
                .Status == 431);
    }
  }
}

SCENARIO("a node moves a service to another version", "[node][move]") {
  PlatformWorld World;
  World.addRoute("/records/", {{"service", "records"}});
  World.add("records", "i-old", "old", WellBehaved{});
  FakeTarget &Bad =
      World.add("records", "i-new", "new", Failing{}, "ready", "v2");
  World.Store.put(
      "rollouts", "records",
      {{"service", "records"}, {"targetVersion", "v2"}, {"durationS", 60}});
  World.start();

  GIVEN("a new version that fails") {
    while (World.Store.status("rollouts", "records").is_null())
      ::usleep(2000);
    CHECK(World.Store.status("rollouts", "records")["state"] == "running");
    int Sent = 0;
    FakeCaller Caller = World.caller();
    while (World.Store.status("rollouts", "records")["state"] != "rolled_back")
      REQUIRE(Caller.ask(get("/records/x", "id-" + std::to_string(++Sent)))
                  .Status == 200);
    THEN("it is rolled back after a small share of the requests") {
      const json Status = World.Store.status("rollouts", "records");
      CHECK(Status["targetVersion"] == "v2");
      CHECK(!Status["reason"].get<std::string>().empty());
      CHECK(static_cast<double>(Bad.requests().size()) <= 0.1 * Sent + 50);
    }
    THEN("it gets no more requests, and the counts are removed") {
      const std::size_t Former = Bad.requests().size();
      for (int Count = 0; Count < 200; ++Count)
        REQUIRE(Caller.ask(get("/records/x", "more-" + std::to_string(Count)))
                    .Status == 200);
      CHECK(Bad.requests().size() == Former);
      while (World.Store.count("balsamyard-move-counts") > 0)
        ::usleep(2000);
    }
  }
}

SCENARIO("a node refuses requests that crash targets", "[node][crash]") {
  PlatformWorld World;
  World.addRoute("/fragile/", {{"service", "fragile"}});
  World.addRoute("/sound/", {{"service", "sound"}});
  std::vector<FakeTarget *> Fragile;
  for (const char *Id : {"i-1", "i-2", "i-3", "i-4", "i-5"})
    Fragile.push_back(&World.add("fragile", Id, "", Crashing{}));
  World.add("sound", "i-6", "stored", WellBehaved{});
  World.addRoute("/mixed/",
                 {{"gather", {"crashing", "silent"}}, {"minCoverage", 0.5}});
  World.add("crashing", "i-7", "", Crashing{});
  FakeTarget &Hanging = World.add("silent", "i-8", "", Silent{});
  World.start();
  FakeCaller Caller = World.caller();

  GIVEN("a request that crashes each target which runs it") {
    HttpResponse Answer;
    int Sent = 0;
    do
      Answer = Caller.ask(get("/fragile/x", "id-" + std::to_string(++Sent)));
    while (Answer.Status == 502);
    THEN("it is refused as not executed and reaches no target") {
      CHECK(Answer.Status == 503);
      CHECK(std::stod(field(Answer, "Retry-After")) > 1);
      const auto Arrived = [&Fragile] {
        std::size_t Sum = 0;
        for (const FakeTarget *Target : Fragile)
          Sum += Target->requests().size();
        return Sum;
      };
      const std::size_t Former = Arrived();
      for (int Count = 0; Count < 20; ++Count)
        CHECK(Caller.ask(get("/fragile/x", "more-" + std::to_string(Count)))
                  .Status == 503);
      CHECK(Arrived() == Former);
    }
    THEN("a record is stored for the other nodes") {
      while (World.Store.count("balsamyard-crashes") == 0)
        ::usleep(2000);
    }
    THEN("another request to the same targets is not refused for it") {
      CHECK(Caller.ask(get("/fragile/y")).Status == 502);
    }
  }

  // Guards against crashes that are not counted.
  GIVEN("a request that crashes a target, and whose caller leaves before the "
        "answer") {
    Caller.send(get("/mixed/x"));
    while (Hanging.requests().empty())
      ::usleep(1000);
    ::usleep(50'000);
    Caller.close();
    THEN("the crash is recorded") {
      const TimePoint GiveUp = steadyNow() + 5 * Second;
      while (World.Store.count("balsamyard-crashes") == 0 &&
             steadyNow() < GiveUp)
        ::usleep(2000);
      CHECK(World.Store.count("balsamyard-crashes") == 1);
    }
  }

  // Guards against a crash that the other nodes never learn of.
  GIVEN("a request that crashes targets while the store is silent") {
    World.Store.setSilent(true);
    int Sent = 0;
    while (
        Caller.ask(get("/fragile/x", "id-" + std::to_string(++Sent))).Status ==
        502)
      ;
    // Longer than the timeout of a call.
    ::usleep(2'000'000);
    WHEN("the store is back") {
      World.Store.setSilent(false);
      THEN("the record is stored for the other nodes") {
        const TimePoint GiveUp = steadyNow() + 10 * Second;
        while (World.Store.count("balsamyard-crashes") == 0 &&
               steadyNow() < GiveUp)
          ::usleep(2000);
        CHECK(World.Store.count("balsamyard-crashes") == 1);
      }
    }
  }

  // Guards against a refused request that comes back when its record is lost.
  GIVEN("a refused request whose record was removed from the store") {
    int Sent = 0;
    while (
        Caller.ask(get("/fragile/x", "id-" + std::to_string(++Sent))).Status ==
        502)
      ;
    while (World.Store.count("balsamyard-crashes") == 0)
      ::usleep(2000);
    for (const std::string &Name : World.Store.names("balsamyard-crashes"))
      World.Store.put("balsamyard-crashes", Name, nullptr);
    THEN("it stays refused, and the record is written again") {
      const TimePoint GiveUp = steadyNow() + 20 * Second;
      while (World.Store.count("balsamyard-crashes") == 0 &&
             steadyNow() < GiveUp)
        ::usleep(2000);
      CHECK(World.Store.count("balsamyard-crashes") == 1);
      CHECK(World.caller().ask(get("/fragile/x")).Status == 503);
    }
  }

  GIVEN("a request that crashed targets at another node") {
    CrashRecord Record;
    Record.Print = fingerprintOf("GET", "a.example", "/sound/x", "");
    Record.Node.Text = "node-2";
    Record.Requests = 2;
    Record.Targets = {TargetId{"i-7"}, TargetId{"i-8"}, TargetId{"i-9"}};
    World.Store.put("balsamyard-crashes", crashRecordName(Record),
                    encodeCrashRecord(Record));
    THEN("it is refused here as well") {
      while (Caller.ask(get("/sound/x")).Status == 200)
        ::usleep(2000);
      CHECK(Caller.ask(get("/sound/x")).Status == 503);
      CHECK(Caller.ask(get("/sound/y")).Status == 200);
    }
  }

  GIVEN("a request that is only suspected") {
    CrashRecord Record;
    Record.Print = fingerprintOf("GET", "a.example", "/sound/x", "");
    Record.Node.Text = "node-2";
    Record.Requests = 1;
    Record.Targets = {TargetId{"i-7"}, TargetId{"i-8"}};
    World.Store.put("balsamyard-crashes", crashRecordName(Record),
                    encodeCrashRecord(Record));
    THEN("its success clears it for all nodes") {
      while (World.Store.count("balsamyard-crashes") > 0)
        REQUIRE(Caller.ask(get("/sound/x")).Status == 200);
    }
  }
}

// Guards against requests to a target that has said in an answer that it
// leaves, while its entry in the store says otherwise.
SCENARIO("a target that says in an answer that it leaves gets no more requests",
         "[node][departure]") {
  PlatformWorld World;
  World.addRoute("/records/", {{"service", "records"}});
  FakeTarget &Departing = World.add("records", "i-2", "stored", Leaving{});
  World.start();
  FakeCaller Caller = World.caller();
  int Sent = 0;
  const auto Ask = [&] {
    return Caller.ask(get("/records/x", "id-" + std::to_string(++Sent))).Status;
  };

  GIVEN("an answer of the target") {
    REQUIRE(Ask() == 200);
    REQUIRE(Departing.requests().size() == 1);
    WHEN("there is no other target") {
      THEN("requests are rejected, as they have not run") {
        CHECK(Ask() == 503);
        CHECK(Departing.requests().size() == 1);
      }
    }
    WHEN("another target is added") {
      FakeTarget &Other = World.add("records", "i-1", "stored", WellBehaved{});
      THEN("it gets all further requests") {
        while (Other.requests().size() < 50)
          Ask();
        CHECK(Departing.requests().size() == 1);
      }
    }
    WHEN("its entry is removed and comes back") {
      World.Store.put("servers", Departing.Id, nullptr);
      // Longer than a removed entry is used.
      ::usleep(1'500'000);
      World.announce("records", Departing, "ready", "v1");
      // A later change shows that the entry was read.
      FakeTarget &Other = World.add("records", "i-1", "stored", WellBehaved{});
      THEN("it gets no request either") {
        while (Other.requests().size() < 50)
          Ask();
        CHECK(Departing.requests().size() == 1);
      }
    }
  }
}

// Guards against requests to a target that has answered 503 and asked for a
// pause.
SCENARIO("a target that asks for a pause gets no requests until its end",
         "[node][pause]") {
  PlatformWorld World;
  World.addRoute("/records/", {{"service", "records"}});
  FakeTarget &Busy = World.add("records", "i-1", "", Pausing{"1.5"});
  World.start();
  FakeCaller Caller = World.caller();
  GIVEN("the first answer of the target") {
    REQUIRE(Caller.ask(get("/records/x")).Status == 503);
    const TimePoint Answered = steadyNow();
    THEN("requests are rejected at once until the pause is over") {
      while (Busy.requests().size() < 2)
        CHECK(Caller.ask(get("/records/x")).Status == 503);
      CHECK(steadyNow() - Answered >= 1500 * Millisecond);
    }
  }
}

// Guards against requests to an evacuated failure domain, and against
// nodes that are not counted, after the store has lost what was written last.
SCENARIO("a restored store lacks an evacuation and the entry of a node",
         "[node][restore]") {
  PlatformWorld World;
  World.addRoute("/records/", {{"service", "records"}});
  FakeTarget &Target = World.add("records", "i-1", "stored", WellBehaved{});
  World.Store.copy();
  World.start();
  FakeCaller Caller = World.caller();
  REQUIRE(Caller.ask(get("/records/x")).Status == 200);
  World.Store.put("evacuations", "east", json::object());
  while (Caller.ask(get("/records/x")).Status == 200)
    ::usleep(2000);
  const std::size_t Former = Target.requests().size();
  REQUIRE(World.Store.count("balsamyard-nodes") == 1);

  GIVEN("a restored store") {
    World.Store.restore();
    REQUIRE(World.Store.count("balsamyard-nodes") == 0);
    WHEN("the evacuation is written again") {
      ::usleep(1'500'000);
      World.Store.put("evacuations", "east", json::object());
      ::usleep(4'500'000);
      THEN("the failure domain got nothing meanwhile, and gets nothing now") {
        CHECK(Caller.ask(get("/records/x")).Status == 503);
        CHECK(Target.requests().size() == Former);
        CHECK(World.Store.count("balsamyard-nodes") == 1);
      }
    }
    WHEN("the evacuation is not written again") {
      THEN("it ends, some seconds later") {
        const TimePoint Restored = steadyNow();
        while (Caller.ask(get("/records/x")).Status != 200 &&
               steadyNow() < Restored + 20 * Second)
          ::usleep(20'000);
        CHECK(Caller.ask(get("/records/x")).Status == 200);
        CHECK(steadyNow() - Restored >= 4 * Second);
      }
    }
  }
}

// Guards against an answer that a target has broken off, and that a caller gets
// as a complete one.
SCENARIO("a target closes within the head or the body of its answer",
         "[node]") {
  PlatformWorld World;
  World.addRoute("/records/",
                 {{"service", "records"}, {"type", "non_idempotent"}});
  FakeTarget &Target = World.add("records", "i-1", "stored", Truncating{});
  World.start();
  FakeCaller Caller = World.caller();
  GIVEN("requests whose answers end after each byte") {
    HttpResponse Answer;
    int Sent = 0;
    do
      Answer = Caller.ask(get("/records/x", "id-" + std::to_string(++Sent)));
    while (Answer.Status == 502 || Answer.Status == 503);
    THEN("only the whole one is passed on") {
      CHECK(Answer.Status == 200);
      CHECK(Answer.Body == "stored");
      CHECK(Target.requests().size() > 100);
    }
  }
}

// Guards against requests that are taken late in a planned stop, or are still
// running at its end, and are cut without an answer.
SCENARIO("a planned stop leaves no request without an answer", "[node][stop]") {
  PlatformWorld World;
  World.StopTime = 1500 * Millisecond;
  World.addRoute("/records/",
                 {{"service", "records"}, {"type", "non_idempotent"}});
  World.addRoute("/hanging/", {{"service", "hanging"}, {"timeoutMs", 20000}});
  FakeTarget &Target = World.add("records", "i-1", "stored", WellBehaved{});
  FakeTarget &Hanging = World.add("hanging", "i-2", "", Silent{});
  World.start();
  FakeCaller Caller = World.caller();
  const auto Stop = [&World] {
    ::kill(::getpid(), SIGTERM);
    while (World.readiness() == 200)
      ::usleep(2000);
  };

  GIVEN("a request whose target does not answer before the end") {
    Caller.send("GET /hanging/x HTTP/1.1\r\nHost: a.example\r\n"
                "X-Balsamyard-Attempt-Id: id-1\r\n"
                "X-Balsamyard-Request-Deadline: 20000\r\n\r\n");
    while (Hanging.requests().empty())
      ::usleep(1000);
    Stop();
    World.Thread.join();
    World.Process.reset();
    THEN("it gets an answer that does not say that it has not run") {
      CHECK(Caller.receive().Status == 504);
    }
  }
  GIVEN("a request of which a part has arrived when the stop begins") {
    const std::string Message = get("/records/x");
    Caller.send(Message.substr(0, 20));
    ::usleep(50'000);
    Stop();
    WHEN("the rest comes when no more requests are taken") {
      ::usleep(400'000);
      Caller.send(Message.substr(20));
      THEN("it is rejected at once, and has not run") {
        const HttpResponse Answer = Caller.receive();
        CHECK(Answer.Status == 503);
        CHECK(!field(Answer, "Retry-After").empty());
        CHECK(field(Answer, "Connection") == "close");
        CHECK(Target.requests().empty());
        World.Thread.join();
      }
    }
  }
}
