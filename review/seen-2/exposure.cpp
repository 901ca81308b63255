// No case: a version that is four times slower is ordered. Prints how many
// requests reach it later than rollbackMs after its 50th slow answer. The
// argument is the file for the record.

#include "Standins.h"

using namespace review;

namespace {

constexpr int DurationS = 90;
constexpr Millis RollbackTime(5000);

bool play(Record &Lines) {
  const Folder Home;
  Store Platform;
  std::mutex Mutex;
  std::vector<Clock::time_point> Arrivals; // At the new version; all are slow.
  std::atomic<int> ArrivalsAtOld{0};
  std::vector<std::unique_ptr<Leaf>> Leafs(4);
  for (int Number = 0; Number < 4; ++Number) {
    const bool IsNew = Number >= 2;
    Leafs[Number] = std::make_unique<Leaf>(
        "i-" + std::to_string(Number), "permit",
        [&, IsNew, Number](Stream &Peer, const Message &Request) {
          if (IsNew) {
            const std::lock_guard<std::mutex> Lock(Mutex);
            Arrivals.push_back(Clock::now());
          } else
            ++ArrivalsAtOld;
          sleepFor(Millis(IsNew ? 80 : 20));
          return Peer.send(Leafs[Number]->success(Request, "permit record"));
        });
    if (!IsNew)
      Platform.put("servers", Leafs[Number]->Id, Leafs[Number]->entry());
  }
  Platform.put("config", "main",
               config(7,
                      json::array({route("permit", {{"service", "permit"}})}),
                      json::array({service("permit")})));
  std::vector<std::unique_ptr<Node>> Fronts;
  for (int Number = 0; Number < 3; ++Number) {
    Fronts.push_back(std::make_unique<Node>(Home, Number, Platform.at()));
    Fronts.back()->start();
  }
  for (const auto &Front : Fronts)
    Front->waitUntilReady();
  sleepFor(Millis(9000));

  std::atomic<bool> Ending{false};
  std::vector<std::thread> Consumers;
  for (int Consumer = 0; Consumer < 9; ++Consumer)
    Consumers.emplace_back([&, Consumer] {
      std::unique_ptr<Stream> Link;
      for (int Number = 0; !Ending; ++Number) {
        if (!Link || !Link->isOpen()) {
          Link = Fronts[Consumer % 3]->connect();
          if (Link->isOpen())
            Link->readTimeout(Millis(2000));
        }
        const std::string Id =
            std::to_string(Consumer) + "." + std::to_string(Number);
        if (!Link->isOpen() ||
            !Link->send(request("GET", "/permit/" + Id, Id, 1200)) ||
            !Link->read().Complete)
          Link.reset();
        sleepFor(Millis(80));
      }
    });
  sleepFor(Millis(3000));
  for (int Number = 2; Number < 4; ++Number) {
    json Entry = Leafs[Number]->entry();
    Entry["version"] = "v2";
    Platform.put("servers", Leafs[Number]->Id, Entry);
  }
  Platform.put("rollouts", "permit",
               {{"service", "permit"},
                {"targetVersion", "v2"},
                {"durationS", DurationS}});
  Lines.line("rollout of v2 is ordered");
  std::string Former;
  for (int Tick = 0; Tick < DurationS * 10; ++Tick) {
    sleepFor(Millis(100));
    const json Status = Platform.status("rollouts", "permit");
    const std::string State =
        Status.is_object() ? Status.value("state", "") : "";
    if (State != Former)
      Lines.line("status: " + State);
    Former = State;
  }
  Ending = true;
  for (std::thread &Each : Consumers)
    Each.join();
  const auto Late = std::count_if(
      Arrivals.begin(), Arrivals.end(), [&](Clock::time_point Time) {
        return Arrivals.size() >= 50 &&
               Time > Arrivals[49] + Millis(80) + RollbackTime;
      });
  Lines.line(std::to_string(Arrivals.size()) + " requests reached v2, " +
             std::to_string(ArrivalsAtOld) + " the old version; " +
             std::to_string(Late) +
             " came later than rollbackMs after the 50th slow answer");
  return Late > 0;
}

} // namespace

int main(int Count, char **Arguments) { return run(Count, Arguments, play); }
