// Three nodes follow the store. The answer of the store that tells one of them
// of a new config is lost, once; everything else works. That node must not
// handle requests as only the older version allows once the bounds are over.
#include "review/common/Standins.h"

using namespace review;

namespace {

Json config(int Version, const std::string &Desk) {
  const Json Routes = {{{"name", "records"},
                        {"host", "shop.example"},
                        {"pathPrefix", "/records/"},
                        {"type", "idempotent"},
                        {"timeoutMs", 2000},
                        {"targetLatencyMs", 300},
                        {"priority", 1},
                        {"service", Desk},
                        {"attempts", 2},
                        {"allowedRegions", Json::array()}}};
  return {{"version", Version},
          {"routes", Routes},
          {"services", {service("desk-old"), service("desk-new")}},
          {"limits", limits()}};
}

} // namespace

int main(int, char **Arguments) {
  const std::string Folder = Arguments[1];
  const std::string Temporary = Arguments[2];
  std::signal(SIGPIPE, SIG_IGN);
  Record Log(Folder + "/record.txt");
  const bool Lose = trouble();
  Log.say(std::string("disruption: ") +
          (Lose ? "one answer of the store is lost" : "none"));

  constexpr double ContactMs = 4000;
  constexpr double ConfigApplyMs = 3000;
  constexpr double SkewMaxMs = 12000;

  Store Platform;
  std::atomic<bool> MayLose{false};
  Platform.LoseWatchAnswer = [&](const std::string &Kind, const std::string &) {
    if (Kind != "config" || !MayLose.exchange(false))
      return false;
    Log.say("the answer to one watch of kind config is lost");
    return true;
  };
  Runs Seen;
  std::vector<std::unique_ptr<Leaf>> Leafs;
  for (const std::string Service : {"desk-old", "desk-new"})
    for (int Copy = 0; Copy < 2; ++Copy) {
      Leafs.push_back(std::make_unique<Leaf>(
          "i-" + Service + "-" + std::to_string(Copy), Service, "pos-a", Seen));
      Platform.put("servers", Leafs.back()->Id, Leafs.back()->entry());
    }
  Platform.put("config", "main", config(7, "desk-old"));

  const std::string Net = network();
  std::vector<std::unique_ptr<Node>> Nodes;
  for (int Index = 1; Index <= 3; ++Index) {
    Nodes.push_back(std::make_unique<Node>(
        "front-pos-a-" + std::to_string(Index), Net + std::to_string(Index),
        "pos-a", "north-west",
        std::map<std::string, std::string>{{"pos-a", "north-west"}},
        Platform.text(), Temporary));
    Nodes.back()->start();
  }
  for (const auto &Item : Nodes)
    if (!waitServing(*Item, "GET", "/records/0", 15000)) {
      Log.say("a node does not serve\n" + Item->logTail());
      Log.flush();
      return 2;
    }
  sleepMs(4500); // All machines are in touch.

  std::atomic<bool> Stop{false};
  std::atomic<double> AckedAt{0};
  std::mutex Mutex;
  std::map<std::size_t, std::vector<double>> Stale; // Time after the ack.
  int Answered = 0, ByNew = 0;
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
    Threads.emplace_back([&, Index] {
      Consumer Caller(Nodes[Index]->Ip, "n" + std::to_string(Index + 1));
      while (!Stop) {
        const Outcome Result = Caller.ask("GET", "/records/1", 2000);
        const std::string Stamp =
            Result.Answer.field("X-Balsamyard-Server-Stamp");
        const std::string By = Stamp.substr(0, Stamp.find('/'));
        const double After = Result.SentAt - AckedAt;
        Log.line("request " + Result.Id + " at node " +
                 std::to_string(Index + 1) + ": status " +
                 std::to_string(Result.status()) + " run by " + By);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          ++Answered;
          ByNew += By == "desk-new" ? 1 : 0;
          // Allowed are the contact time after the lost answer, the time to
          // apply the config and, in the most generous reading, the stretch for
          // a store that is not stable.
          if (AckedAt > 0 && By == "desk-old" &&
              After > ContactMs + ConfigApplyMs + SkewMaxMs + 500)
            Stale[Index].push_back(After);
        }
        sleepMs(100);
      }
    });
  sleepMs(500);
  MayLose = Lose;
  AckedAt = Platform.put("config", "main", config(8, "desk-new"));
  Log.say("config 8 acknowledged: /records/ goes to desk-new");
  sleepMs(35000);
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  int Result = 0;
  for (const auto &[Index, Times] : Stale) {
    Log.say("node " + std::to_string(Index + 1) + ": " +
            std::to_string(Times.size()) +
            " requests run by the old service, sent " +
            std::to_string(Times.front()) + " to " +
            std::to_string(Times.back()) + " ms after the ack");
    if (Times.size() >= 5)
      Result = 1;
  }
  Log.say("answers " + std::to_string(Answered) + ", run by the new service " +
          std::to_string(ByNew));
  for (const auto &Item : Nodes)
    Item->kill();
  if (ByNew == 0) {
    Log.say("the new config was never seen");
    Result = 2;
  }
  Log.say(Result == 1 ? "BROKEN: CONFIG" : Result == 0 ? "held" : "not run");
  Log.flush();
  std::_Exit(Result);
}
