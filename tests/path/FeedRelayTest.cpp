#include "balsamyard/src/Process/FeedRelay.h"
#include "balsamyard/src/Process/FeedSubscription.h"
#include "tests/path/PathWorld.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

KindUpdate targets(bool Complete, std::vector<ObjectChange> Changes,
                   std::uint64_t AsOf) {
  return {ObjectKind::Targets, Complete, std::move(Changes),
          StoreRevision{AsOf}};
}

ObjectChange change(const std::string &Name, std::uint64_t Revision,
                    bool Removed = false) {
  ObjectChange Result;
  Result.Object.Name = Name;
  Result.Object.Revision = StoreRevision{Revision};
  Result.Removed = Removed;
  return Result;
}

/// \brief Two nodes on loopback, one of which follows the other.
struct TwoNodes {
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work =
      asio::make_work_guard(Io);
  ObjectCache Known;
  std::vector<TargetReport> Reports;
  std::vector<StoreProgress> Progress;
  FeedRelay Relay{
      Io,
      Known,
      {[this](const TargetReport &Report) { Reports.push_back(Report); },
       [this](const StoreProgress &Told) { Progress.push_back(Told); }}};
  ObjectCache Received;
  std::vector<bool> States;
  std::vector<TargetReport> SlowReceived;
  int Ends = 0;
  std::unique_ptr<FeedSubscription> Subscription =
      std::make_unique<FeedSubscription>(
          Io, FeedSubscription::Handlers{[this](KindUpdate Update) {
                                           Received.update(std::move(Update));
                                         },
                                         [this](const FeedSourceState &State) {
                                           States.push_back(State.Connected);
                                         },
                                         [this](const TargetReport &Report) {
                                           SlowReceived.push_back(Report);
                                         },
                                         [this] { ++Ends; }});

  TwoNodes() {
    this->Known.update(targets(true, {change("a", 1), change("b", 2)}, 5));
    REQUIRE(this->Relay.listen({"127.0.0.1", 0}));
    this->Relay.setState(true, std::nullopt);
  }

  void follow() {
    FeedRequest Request;
    Request.Node.Text = "follower";
    if (const auto AsOf = this->Received.asOf(ObjectKind::Targets))
      Request.Known[ObjectKind::Targets] = *AsOf;
    this->Subscription->open(this->Relay.local(), Request);
  }

  template <typename Test> void runUntil(Test Condition) {
    while (!Condition())
      this->Io.run_one();
  }

  bool same() const {
    return this->Received.asOf(ObjectKind::Targets) ==
               this->Known.asOf(ObjectKind::Targets) &&
           this->Received.objects(ObjectKind::Targets).size() ==
               this->Known.objects(ObjectKind::Targets).size();
  }
};

} // namespace

SCENARIO("a node follows another one", "[relay]") {
  TwoNodes Nodes;
  Nodes.follow();
  Nodes.runUntil([&] { return !Nodes.States.empty(); });

  THEN("it has all objects before it learns that the other one is connected") {
    CHECK(Nodes.same());
    CHECK(Nodes.States.front());
    CHECK(Nodes.Relay.followers() == 1);
  }
  WHEN("objects change and go") {
    Nodes.Known.update(
        targets(false, {change("c", 6), change("a", 1, true)}, 7));
    Nodes.Relay.publish();
    Nodes.runUntil([&] { return Nodes.same(); });
    THEN("it learns of both") {
      CHECK(Nodes.Received.objects(ObjectKind::Targets)[0].Name == "b");
    }
  }
  WHEN("nothing changes") {
    const std::size_t Before = Nodes.States.size();
    Nodes.runUntil([&] { return Nodes.States.size() >= Before + 2; });
    THEN("signs of life arrive") { CHECK(Nodes.States.back()); }
  }
  WHEN("the other one loses the store") {
    Nodes.Relay.setState(false, steadyNow());
    Nodes.runUntil([&] { return !Nodes.States.back(); });
    THEN("it learns so") { CHECK_FALSE(Nodes.States.back()); }
  }
  WHEN("it tells how far it has read the store") {
    const StoreProgress Told{
        StoreRevision{40, 2},
        {{ObjectKind::Targets, StoreRevision{38, 2}},
         {ObjectKind::Configuration, StoreRevision{7, 2}}}};
    Nodes.Subscription->tell(Nodes.Relay.local(), Told);
    Nodes.runUntil([&] { return !Nodes.Progress.empty(); });
    THEN("the other one is told the same") {
      CHECK(Nodes.Progress.front() == Told);
    }
  }
  WHEN("both report slow targets") {
    const TargetId Slow{"i-1"};
    Nodes.Subscription->report(Nodes.Relay.local(),
                               {{Slow}, {TargetId{"i-3"}}, false});
    Nodes.Relay.sendReport({{Slow, TargetId{"i-2"}}, {}, true});
    Nodes.runUntil(
        [&] { return !Nodes.Reports.empty() && !Nodes.SlowReceived.empty(); });
    THEN("the reports arrive") {
      CHECK(Nodes.Reports[0].Slow == std::vector<TargetId>{Slow});
      CHECK(Nodes.Reports[0].Unlimited ==
            std::vector<TargetId>{TargetId{"i-3"}});
      CHECK_FALSE(Nodes.Reports[0].Forwarded);
      CHECK(Nodes.SlowReceived[0].Slow.size() == 2);
      CHECK(Nodes.SlowReceived[0].Unlimited.empty());
      CHECK(Nodes.SlowReceived[0].Forwarded);
    }
  }
  WHEN("one reports a request that crashes targets") {
    CrashRecord Record;
    Record.Print = Fingerprint{42};
    Record.Node.Text = "node-1";
    Record.Requests = 2;
    Record.Targets = {TargetId{"i-1"}, TargetId{"i-2"}};
    Nodes.Subscription->report(Nodes.Relay.local(), {{}, {}, false, {Record}});
    Nodes.runUntil([&] { return !Nodes.Reports.empty(); });
    THEN("the record arrives") {
      REQUIRE(Nodes.Reports[0].Crashes.size() == 1);
      CHECK(crashRecordName(Nodes.Reports[0].Crashes[0]) ==
            crashRecordName(Record));
      CHECK(Nodes.Reports[0].Crashes[0].Targets == Record.Targets);
    }
  }
  WHEN("the other one stops") {
    Nodes.Relay.stop();
    Nodes.runUntil([&] { return Nodes.Ends > 0; });
    THEN("the end is reported once") { CHECK(Nodes.Ends == 1); }
  }
  WHEN("it leaves and comes back after a change") {
    Nodes.Subscription->close();
    Nodes.runUntil([&] { return Nodes.Relay.followers() == 0; });
    Nodes.Known.update(targets(false, {change("b", 2, true)}, 9));
    Nodes.Relay.publish();
    Nodes.follow();
    Nodes.runUntil([&] { return Nodes.same(); });
    THEN("it has missed nothing, and no end was reported") {
      CHECK(Nodes.Received.objects(ObjectKind::Targets).size() == 1);
      CHECK(Nodes.Ends == 0);
    }
  }
  WHEN("it already knows more than the other one") {
    Nodes.Received.update(targets(false, {change("b", 2, true)}, 20));
    Nodes.follow();
    Nodes.States.clear();
    Nodes.runUntil([&] { return !Nodes.States.empty(); });
    THEN("its state does not go back") {
      CHECK(Nodes.Received.objects(ObjectKind::Targets).size() == 1);
      CHECK(Nodes.Received.asOf(ObjectKind::Targets) == StoreRevision{20});
    }
  }
}

SCENARIO("a node that cannot be followed", "[relay]") {
  TwoNodes Nodes;
  GIVEN("an address at which nobody listens") {
    const Endpoint Closed = Nodes.Relay.local();
    Nodes.Relay.stop();
    Nodes.Subscription->open({"127.0.0.1", 1}, {});
    Nodes.runUntil([&] { return Nodes.Ends > 0; });
    THEN("the end is reported") { CHECK(Nodes.Ends == 1); }
    CHECK(Closed.Port != 0);
  }
  GIVEN("a peer that sends what is no message") {
    auto Server =
        PeerServer::listen({"127.0.0.1", 0}, 1,
                           [](const std::string &, const std::string &,
                              const Ref<PeerStream> &Stream) {
                             Stream->send("no CBOR");
                             Stream->finish();
                           });
    REQUIRE(Server);
    Nodes.Subscription->open((*Server)->local(), {});
    Nodes.runUntil([&] { return Nodes.Ends > 0; });
    THEN("the end is reported once") {
      CHECK(Nodes.Ends == 1);
      CHECK(Nodes.Received.objects(ObjectKind::Targets).empty());
    }
  }
  GIVEN("a request that the relay cannot read") {
    PeerClient Client(1);
    std::atomic<int> Closed{0};
    Client.call(
        Nodes.Relay.local(), FeedRelay::Path, "no CBOR", Second * 5,
        [](const std::string &) {}, [&](Code, bool) { ++Closed; });
    Nodes.runUntil([&] { return Closed > 0; });
    THEN("it is rejected and others are served") {
      Nodes.follow();
      Nodes.runUntil([&] { return !Nodes.States.empty(); });
      CHECK(Nodes.same());
    }
  }
}
