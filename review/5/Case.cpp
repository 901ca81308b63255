// Four nodes of one zone: three read the store, the fourth follows one of them.
// A leaf is replaced: a new one starts, the old one drains and says so in its
// answers too. No request may reach it later than drainMs after the ack.
#include "review/common/Standins.h"

using namespace review;

int main(int, char **Arguments) {
  const std::string Folder = Arguments[1];
  const std::string Temporary = Arguments[2];
  std::signal(SIGPIPE, SIG_IGN);
  Record Log(Folder + "/record.txt");
  const bool Leaves = trouble();
  Log.say(std::string("disruption: ") + (Leaves ? "a leaf leaves" : "none"));

  constexpr double DrainMs = 3000;

  Store Platform;
  Runs Seen;
  std::vector<std::unique_ptr<Leaf>> Leafs;
  const auto AddLeaf = [&] {
    Leafs.push_back(std::make_unique<Leaf>(
        "i-desk-" + std::to_string(Leafs.size() + 1), "desk", "pos-a", Seen));
    Leafs.back()->WorkMs = 20;
    Platform.put("servers", Leafs.back()->Id, Leafs.back()->entry());
  };
  std::atomic<bool> Leaving{false};
  AddLeaf();
  AddLeaf();
  Leaf &Old = *Leafs.front();
  Old.ExtraFields = [&Leaving] {
    return std::string(Leaving ? "Server-Leaving: 1\r\n" : "");
  };
  const Json Routes = {{{"name", "desk"},
                        {"host", "shop.example"},
                        {"pathPrefix", "/desk/"},
                        {"type", "non_idempotent"},
                        {"timeoutMs", 2000},
                        {"targetLatencyMs", 300},
                        {"priority", 1},
                        {"service", "desk"},
                        {"attempts", 2},
                        {"allowedRegions", Json::array()}}};
  Platform.put("config", "main",
               {{"version", 7},
                {"routes", Routes},
                {"services", {service("desk", 100)}},
                {"limits", limits()}});

  const std::string Net = network();
  std::vector<std::unique_ptr<Node>> Nodes;
  for (int Index = 1; Index <= 4; ++Index) {
    Nodes.push_back(std::make_unique<Node>(
        "front-pos-a-" + std::to_string(Index), Net + std::to_string(Index),
        "pos-a", "north-west",
        std::map<std::string, std::string>{{"pos-a", "north-west"}},
        Platform.text(), Temporary));
    Nodes.back()->start();
  }
  for (const auto &Item : Nodes)
    if (!waitServing(*Item, "POST", "/desk/start", 20000)) {
      Log.say("a node does not serve\n" + Item->logTail());
      Log.flush();
      return 2;
    }
  sleepMs(8000); // All machines are in touch.

  std::atomic<bool> Stop{false};
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < 12; ++Index)
    Threads.emplace_back([&, Index] {
      Consumer Caller(Nodes[Index % 3]->Ip, "c" + std::to_string(Index));
      while (!Stop) {
        const Outcome Result = Caller.ask("POST", "/desk/1", 2000, "x");
        Log.line("request " + Result.Id + " at node " +
                 std::to_string(Index % 3 + 1) + ": status " +
                 std::to_string(Result.status()));
        sleepMs(20);
      }
    });
  sleepMs(3000);
  AddLeaf();
  Log.say("a new leaf has started");
  sleepMs(100);
  double AckedAt = nowMs();
  if (Leaves) {
    Leaving = true;
    sleepMs(30); // Its call to the store takes as long.
    AckedAt = Platform.put("servers", Old.Id, Old.entry("draining"));
    Log.say("the store has accepted that " + Old.Id + " drains");
  }
  while (nowMs() < AckedAt + DrainMs + 1000)
    sleepMs(10);
  std::mutex Mutex;
  std::vector<std::string> Ids; // Of requests that are sent too late.
  const auto AskFourth = [&](const std::string &Name) {
    std::vector<std::thread> Late;
    for (int Index = 0; Index < 6; ++Index)
      Late.emplace_back([&, Index] {
        Consumer Caller(Nodes[3]->Ip, Name + std::to_string(Index));
        for (int Turn = 0; Turn < 20; ++Turn) {
          const Outcome Result = Caller.ask("POST", "/desk/1", 2000, "x");
          Log.line("request " + Result.Id + " at node 4: status " +
                   std::to_string(Result.status()));
          const std::lock_guard<std::mutex> Lock(Mutex);
          Ids.push_back(Result.Id);
        }
      });
    for (std::thread &Thread : Late)
      Thread.join();
  };
  // The fourth node gets its first requests since the start.
  AskFourth("late");
  // It is stopped and started as planned, and is in touch again.
  Nodes[3]->signal(SIGTERM);
  for (const double Until = nowMs() + 7000;
       nowMs() < Until && !Nodes[3]->ended();)
    sleepMs(20);
  Nodes[3]->kill();
  Nodes[3]->Bootstrap = false;
  Nodes[3]->start();
  Log.say("node 4 was stopped and started again");
  constexpr double ContactMs = 4000;
  sleepMs(ContactMs + 3000);
  AskFourth("restarted");
  Stop = true;
  for (std::thread &Thread : Threads)
    Thread.join();

  int TooLate = 0;
  for (const auto &[Id, RunsOfIt] : Seen.all())
    for (const Run &Item : RunsOfIt)
      if (Leaves && Item.Leaf == Old.Id && Item.At > AckedAt + DrainMs + 50) {
        ++TooLate;
        Log.say("request " + Id + " ran at " + Item.Leaf + " " +
                std::to_string(Item.At - AckedAt) + " ms after the ack");
      }
  Log.say(std::to_string(Ids.size()) + " late requests at node 4, " +
          std::to_string(TooLate) + " requests too late at the leaf");
  for (const auto &Item : Nodes)
    Item->kill();
  Log.say(TooLate > 0 ? "BROKEN: DRAIN" : "held");
  Log.flush();
  std::_Exit(TooLate > 0 ? 1 : 0);
}
