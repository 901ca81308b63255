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

/// \brief Options of one run.
struct SoakOptions {
  unsigned Seed = 1;
  Duration FaultTime = std::chrono::seconds(10);
  std::size_t Nodes = 3;
  std::size_t Callers = 9;
  std::string Program; ///< Path of balsamyard-node.
  std::string Folder;  ///< Folder of the logs and settings of the nodes.
  bool Verbose = false;
};

/// \brief Soak test with real node processes and simulated callers, targets and
/// store. It injects overlapping random faults from a seed and checks the
/// documented guarantees against what callers and targets observe.
class SoakRun {
public:
  explicit SoakRun(SoakOptions Options);
  ~SoakRun();

  /// \brief Executes the run. \returns the violations.
  std::vector<std::string> run();

  const Ledger &ledger() const { return this->Observed; }

private:
  struct NodeRecord {
    std::unique_ptr<Proxy> Store;
    std::unique_ptr<NodeProcess> Process;
    TimePoint StoreFaultUntil{};
    bool StoreBroken = false;
    TimePoint StartAt = TimePoint::max();
  };
  struct TargetRecord {
    std::unique_ptr<SoakTarget> Target;
    std::string Domain;
    TimePoint LinkFaultUntil{};
    bool LinkBroken = false;
    TimePoint StateUntil{};
    TimePoint ChangeAt = TimePoint::max(); ///< Next step of its restart.
    bool Listed = false;
  };
  struct ConfigEntry {
    std::uint64_t Version = 0;
    std::vector<std::string> Shards;
    TimePoint AcceptedAt{};
    std::optional<TimePoint> ReplacedAt; ///< By the next version.
  };

  // Faults that startRandomFault() chooses from.
  void stopNode();
  void killNode();
  void killAllNodes();
  void pauseNode();
  void reloadNode();
  void breakStoreLink();
  void resetStoreLinks();
  void crashTarget();
  void drainTarget();
  void impairTarget();
  void breakTargetLink();
  void changeConfig();
  void toggleEvacuation();

  // Faults that are drawn from a generator of their own, so that seeds that
  // found faults before keep their sequence.
  void startHiddenFault();
  void loseStoreAnswer();
  void chooseQuietNode();

  void startRandomFault();
  void tick();
  void tickNode(NodeRecord &Node);
  void tickTarget(TargetRecord &Record);
  void checkNodeExit(NodeRecord &Node);
  void endFaults();
  bool recover();
  void checkLostAnswers();
  void checkRequestLimits();
  bool allReady();
  void announce(TargetRecord &Record, const char *State);
  void withdraw(TargetRecord &Record);
  void onEnd(const Exchange &Ended);
  void checkAnswer(const Exchange &Ended);
  void checkMerged(const Exchange &Ended);
  void checkConfig(const Exchange &Ended);
  void checkDuration(const Exchange &Ended);
  bool isUndisturbed(const NodeRecord &Node, TimePoint Since) const;
  bool allUndisturbed(TimePoint Since) const;
  void runFor(Duration Time);
  void trace(const std::string &Message);
  void violation(const std::string &Message);
  CallerRequest chooseRequest();
  NodeRecord &randomNode() {
    return this->Nodes[this->Random() % this->Nodes.size()];
  }
  TargetRecord &randomTarget() {
    return this->Targets[this->Random() % this->Targets.size()];
  }
  Duration randomDuration(int LowMillis, int HighMillis);

  const SoakOptions Options;
  std::mt19937 Random;
  std::mt19937 HiddenRandom; ///< \sa startHiddenFault
  asio::io_context Io;
  Ledger Observed;
  test::FakeStore Store;
  std::vector<NodeRecord> Nodes;
  std::vector<TargetRecord> Targets;
  std::vector<std::shared_ptr<SoakCaller>> Callers;
  std::deque<ConfigEntry> Configs;
  std::optional<TimePoint> EvacuatedSince;
  TimePoint EvacuationChangeAt{};
  TimePoint StartedAt;
  std::optional<std::size_t> QuietNode; ///< Gets no requests.
  int Requests = 0;
  bool Finished = false; ///< Answers during the teardown are not checked.
  std::size_t SuccessesInARow = 0;
  TimePoint LastFailureAt{};
};

} // namespace balsamyard::soak
