#pragma once

#include "tests/path/FakeFleet.h"
#include "tests/soak/Ledger.h"
#include "tests/soak/NodeProcess.h"
#include "tests/soak/Proxy.h"
#include "tests/soak/SoakCaller.h"
#include "tests/soak/SoakTarget.h"

#include <deque>
#include <memory>
#include <random>

namespace balsamyard::soak {

/// \brief What a run does.
struct SoakOptions {
  unsigned Seed = 1;
  Duration FaultTime = std::chrono::seconds(10);
  std::size_t Nodes = 3;
  std::size_t Callers = 9;
  std::string Program; ///< Path of balsamyard-node.
  std::string Folder;  ///< For logs and settings of the nodes.
  bool Verbose = false;
};

/// \brief Node processes between callers, targets and a store of this process,
/// with faults in series that overlap, drawn from a seed. It checks the
/// promises of the pages from what callers and targets see.
class World {
public:
  explicit World(SoakOptions Options);
  ~World();

  /// \brief Plays the run. \returns what was broken.
  std::vector<std::string> run();

  const Ledger &seen() const { return this->Seen; }

private:
  struct Member {
    std::unique_ptr<Proxy> Store;
    std::unique_ptr<NodeProcess> Process;
    TimePoint StoreFaultTill{};
    bool StoreBroken = false;
    TimePoint StartAt = TimePoint::max();
  };
  struct Place {
    std::unique_ptr<SoakTarget> Target;
    std::string Domain;
    TimePoint LinkFaultTill{};
    bool LinkBroken = false;
    TimePoint StateTill{};
    TimePoint ChangeAt = TimePoint::max(); ///< Its next step, see below.
    bool Listed = false;
  };
  struct ConfigEntry {
    std::uint64_t Version = 0;
    std::vector<std::string> Shards;
    TimePoint AcceptedAt{};
    std::optional<TimePoint> DroppedAt; ///< Accepted time of the next one.
  };

  // The fault kinds.
  void stopNode();
  void killNode();
  void killAllNodes();
  void pauseNode();
  void reloadNode();
  void breakStoreLink();
  void resetStoreLinks();
  void crashTarget();
  void drainTarget();
  void disturbTarget();
  void breakTargetLink();
  void changeConfig();
  void toggleEvacuation();

  void startFaults();
  void tick();
  void tickNode(Member &Each);
  void tickTarget(Place &Each);
  void checkNodeEnd(Member &Each);
  void heal();
  bool recover();
  bool allReady();
  void announce(Place &Each, const char *State);
  void withdraw(Place &Each);
  void onEnd(const Exchange &Ended);
  void checkAnswer(const Exchange &Ended);
  void checkMerged(const Exchange &Ended);
  void checkConfig(const Exchange &Ended);
  void checkDuration(const Exchange &Ended);
  bool inTouch(const Member &Each, TimePoint Since) const;
  bool allInTouch(TimePoint Since) const;
  void runFor(Duration Time);
  void note(const std::string &What);
  void violation(const std::string &What);
  CallerRequest chooseRequest();
  Member &anyNode() { return this->Nodes[this->Random() % this->Nodes.size()]; }
  Place &anyTarget() {
    return this->Targets[this->Random() % this->Targets.size()];
  }
  Duration between(int LowMillis, int HighMillis);

  const SoakOptions Options;
  std::mt19937 Random;
  asio::io_context Io;
  Ledger Seen;
  test::FakeStore Store;
  std::vector<Member> Nodes;
  std::vector<Place> Targets;
  std::vector<std::shared_ptr<SoakCaller>> Callers;
  std::deque<ConfigEntry> Configs;
  std::optional<TimePoint> EvacuatedSince;
  TimePoint EvacuationChangeAt{};
  TimePoint StartedAt;
  int Requests = 0;
  bool Finished = false; ///< What callers see of the end says nothing.
  std::size_t SuccessesInARow = 0;
  TimePoint LastFailureAt{};
};

} // namespace balsamyard::soak
