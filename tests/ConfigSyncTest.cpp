#include "tests/ControlSim.h"

#include "balsamyard/src/Version/RulesDelta.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// \returns a rules file of \p Lines lines; \p Change selects and alters one.
std::string rulesText(std::size_t Lines, std::size_t Change) {
  std::string Text;
  for (std::size_t Line = 0; Line < Lines; ++Line)
    Text += "search service=s" + std::to_string(Line) + " route=* hedge=0.0" +
            std::to_string(Line == Change % Lines ? Change % 5 : 5) +
            " # change " + std::to_string(Line == Change % Lines ? Change : 0) +
            "\n";
  return Text;
}

/// Counts reversals: a version that decreases while a process runs or that is
/// lower after a restart than before.
struct ReversalCheck {
  explicit ReversalCheck(ControlSim &Sim) {
    Sim.AfterEvent = [this, &Sim](std::size_t Index) {
      ControlSim::Process &Entry = Sim.Processes[Index];
      if (!Entry.Sync->ready())
        return;
      if (Entry.Sync->version() < Entry.HighestApplied)
        ++this->Reversals;
      Entry.HighestApplied =
          std::max(Entry.HighestApplied, Entry.Sync->version());
      for (const auto &[Name, Document] : Entry.Sync->documents()) {
        ConfigVersion &Seen = this->Newest[{Index, Name}];
        if (Document.Version < Seen)
          ++this->Reversals;
        Seen = Document.Version;
      }
    };
  }

  std::map<std::pair<std::size_t, std::string>, ConfigVersion> Newest;
  std::size_t Reversals = 0;
};

/// \returns whether all running processes have the documents of the platform.
bool sameAsPlatform(const ControlSim &Sim) {
  for (const ControlSim::Process &Entry : Sim.Processes) {
    if (!Entry.Up)
      continue;
    for (const auto &[Name, Object] : Sim.Objects) {
      auto Held = Entry.Sync->documents().find(Name);
      if (Held == Entry.Sync->documents().end() ||
          Held->second.Text != Object.Text)
        return false;
    }
  }
  return true;
}

SimOptions smallFleet(std::uint64_t Seed) {
  SimOptions Options;
  Options.Seed = Seed;
  Options.Nodes = 8;
  Options.Domains = 3;
  Options.Regions = 3;
  Options.RegionDelay = 8ms;
  Options.WithConfig = true;
  Options.CheckPeriod = 10ms;
  return Options;
}

std::optional<ConfigFetch>
firstFetch(const std::vector<ConfigEffect> &Effects) {
  for (const ConfigEffect &Effect : Effects)
    if (const auto *From = std::get_if<FetchFromPeer>(&Effect))
      return From->Question;
  return std::nullopt;
}

void acceptInitialDocuments(ControlSim &Sim) {
  Sim.accept("rules", rulesText(40, 0));
  Sim.accept("catalog/portal", "one\ntwo\nthree\n");
  Sim.accept("gates", "gates\n");
}

} // namespace

// Guards against a change that is applied too late or never in some processes
// (invariant 11). Fails with 8 nodes if AnnounceRounds is 0.
TEST_CASE("a change is in force in every process in time", "[config]") {
  SECTION("under 2 s with 8 nodes") {
    std::uint64_t Seed = GENERATE(101, 102, 103, 104, 105);
    SimOptions Options = smallFleet(Seed);
    Options.RegionDelay = GENERATE(8ms, 20ms);
    ControlSim Sim(Options);
    acceptInitialDocuments(Sim);
    Sim.startAll();
    REQUIRE(Sim.runFor(60s, [&] {
      return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
    }));
    Sim.runFor(20s);
    for (std::size_t Change = 1; Change <= 20; ++Change) {
      Sim.accept("rules", rulesText(40, Change));
      TimePoint Accepted = Sim.Now;
      CHECK(Sim.runFor(2s, [&] {
        return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
      }));
      CHECK(sameAsPlatform(Sim));
      Sim.runUntil(Accepted + 3s);
    }
  }

  SECTION("within 6 s with 840 nodes in 2 regions and 7 failure domains") {
    SimOptions Options;
    Options.Seed = 111;
    Options.Nodes = 840;
    Options.Domains = 7;
    Options.Regions = 2;
    Options.RegionDelay = 20ms;
    Options.WithConfig = true;
    Options.Codec = false;
    Options.MemberLimits.JoinPasses = 0;
    Options.CheckPeriod = 50ms;
    ControlSim Sim(Options);
    acceptInitialDocuments(Sim);
    Sim.startConverged();
    REQUIRE(Sim.runFor(20s, [&] {
      return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
    }));
    Sim.runFor(2s);
    for (std::size_t Change = 1; Change <= 3; ++Change) {
      Sim.accept("rules", rulesText(40, Change));
      CHECK(Sim.runFor(6s, [&] {
        return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
      }));
      Sim.runFor(2s);
    }
  }
}

// Guards against a configuration that reverts to an older version (invariant
// 11). Fails if documents are applied without a check of their version, or if a
// starting process accepts the first answer of a peer.
TEST_CASE("configuration never goes back", "[config]") {
  SimOptions Options = smallFleet(GENERATE(201, 202, 203));
  ControlSim Sim(Options);
  ReversalCheck Check(Sim);
  acceptInitialDocuments(Sim);
  Sim.startAll();
  REQUIRE(Sim.runFor(
      60s, [&] { return Sim.appliedEverywhere(ConfigVersion{Sim.Counter}); }));
  Sim.runFor(25s);
  auto InDomain = [&](std::size_t Index) {
    return Sim.Processes[Index].Info.Domain.Text == "domain-0";
  };

  SECTION("the platform is down") {
    Sim.accept("rules", rulesText(40, 1));
    Sim.runFor(5s);
    REQUIRE(Sim.appliedEverywhere(ConfigVersion{Sim.Counter}));
    Sim.PlatformUp = false;

    SECTION("and all processes of a failure domain restart in some order") {
      std::vector<std::size_t> Order;
      for (std::size_t Index = 0; Index < Sim.Processes.size(); ++Index)
        if (InDomain(Index))
          Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(
                                           Sim.draw() % (Order.size() + 1)),
                       Index);
      for (std::size_t Index : Order) {
        Sim.crash(Index);
        Sim.at(Sim.Now + Duration(Sim.draw() % 4'000'000),
               [&Sim, Index] { Sim.start(Index); });
      }
      Sim.runFor(4s);
      CHECK(Sim.runFor(60s, [&] {
        return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
      }));
      CHECK(sameAsPlatform(Sim));
      CHECK(Check.Reversals == 0);

      SECTION("until it answers again") {
        Sim.PlatformUp = true;
        Sim.accept("rules", rulesText(40, 2));
        CHECK(Sim.runFor(10s, [&] {
          return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
        }));
        CHECK(Check.Reversals == 0);
      }
    }
  }

  SECTION("a failure domain is cut off and comes back with an old copy") {
    for (std::size_t Index = 0; Index < Sim.Processes.size(); ++Index)
      Sim.Processes[Index].Partition = InDomain(Index);
    for (std::size_t Change = 1; Change <= 4; ++Change) {
      Sim.accept("rules", rulesText(40, Change));
      Sim.runFor(4s);
    }
    for (std::size_t Index = 0; Index < Sim.Processes.size(); ++Index)
      if (!InDomain(Index))
        REQUIRE(Sim.Processes[Index].Sync->version() ==
                ConfigVersion{Sim.Counter});

    SECTION("while one process outside restarts without the platform") {
      Sim.PlatformUp = false;
      for (ControlSim::Process &Entry : Sim.Processes)
        Entry.Partition = 0;
      std::size_t Outside = 0;
      while (InDomain(Outside))
        ++Outside;
      Sim.crash(Outside);
      Sim.start(Outside);
      CHECK(Sim.runFor(90s, [&] {
        return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
      }));
      CHECK(Check.Reversals == 0);
    }

    SECTION("and catches up") {
      for (ControlSim::Process &Entry : Sim.Processes)
        Entry.Partition = 0;
      CHECK(Sim.runFor(60s, [&] {
        return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
      }));
      CHECK(sameAsPlatform(Sim));
      CHECK(Check.Reversals == 0);
    }
  }

  SECTION("a node is cut off for a moment, and its neighbours restart") {
    Sim.PlatformTimeout = 10ms;
    for (int Round = 0; Round < 10; ++Round) {
      Sim.PlatformUp = true;
      Sim.runFor(10s);
      // Nodes 1, 4 and 7 share a failure domain.
      Sim.Processes[8].Partition = Sim.Processes[9].Partition = 1;
      Sim.accept("rules", rulesText(40, static_cast<std::size_t>(Round) + 1));
      Sim.runFor(2s);
      Sim.PlatformUp = false;
      Sim.Processes[8].Partition = Sim.Processes[9].Partition = 0;
      for (std::size_t Index : {2, 3, 14, 15}) {
        Sim.crash(Index);
        Sim.start(Index);
      }
      Sim.runFor(10s);
    }
    CHECK(Sim.appliedEverywhere(ConfigVersion{Sim.Counter}));
    CHECK(Check.Reversals == 0);
  }

  SECTION("answers of the platform are lost") {
    Sim.PlatformLostAnswers = 0.5;
    for (std::size_t Change = 1; Change <= 5; ++Change) {
      Sim.accept("rules", rulesText(40, Change));
      Sim.accept("gates", "gates " + std::to_string(Change) + "\n");
      Sim.runFor(5s);
    }
    CHECK(Sim.runFor(60s, [&] {
      return Sim.appliedEverywhere(ConfigVersion{Sim.Counter});
    }));
    CHECK(sameAsPlatform(Sim));
    CHECK(Check.Reversals == 0);
  }
}

// Guards against faults in rare event orders: 1,000 seeded runs with random
// changes, crashes, restarts, pauses, partitions and platform outages.
TEST_CASE("configuration survives random faults", "[config]") {
  std::size_t Reversals = 0;
  std::size_t Late = 0;
  for (std::uint64_t Seed = 1; Seed <= 1000; ++Seed) {
    SimOptions Options = smallFleet(Seed);
    Options.Nodes = 2 + Seed % 3;
    Options.Loss = 0.02;
    Options.Duplicates = 0.02;
    Options.CheckPeriod = 200ms;
    ControlSim Sim(Options);
    Sim.PlatformLostAnswers = 0.1;
    ReversalCheck Check(Sim);
    acceptInitialDocuments(Sim);
    Sim.startAll();
    Sim.runFor(5s);
    std::size_t Count = Sim.Processes.size();
    for (std::size_t Step = 1; Step <= 8; ++Step) {
      std::size_t Chosen = Sim.draw() % Count;
      switch (Sim.draw() % 6) {
      case 0:
        Sim.crash(Chosen);
        break;
      case 1:
        if (Sim.Processes[Chosen].Up)
          Sim.crash(Chosen);
        Sim.start(Chosen);
        break;
      case 2:
        Sim.pause(Chosen, Sim.Now + Duration(Sim.draw() % 3'000'000));
        break;
      case 3:
        Sim.PlatformUp = !Sim.PlatformUp;
        break;
      case 4:
        Sim.Processes[Chosen].Partition ^= 1;
        break;
      default:
        Sim.accept(Sim.draw() % 2 ? "rules" : "gates", rulesText(10, Step));
      }
      Sim.runFor(Duration(Sim.draw() % 1'500'000));
    }
    Sim.PlatformUp = true;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Sim.Processes[Index].Partition = 0;
      if (!Sim.Processes[Index].Up)
        Sim.start(Index);
    }
    if (!Sim.runFor(90s, [&] {
          return Sim.appliedEverywhere(ConfigVersion{Sim.Counter}) &&
                 sameAsPlatform(Sim);
        })) {
      ++Late;
      UNSCOPED_INFO("not in force everywhere, seed " << Seed);
    }
    if (Check.Reversals > 0) {
      Reversals += Check.Reversals;
      UNSCOPED_INFO("went back, seed " << Seed);
    }
  }
  CHECK(Late == 0);
  CHECK(Reversals == 0);
}

// Guards against documents that are applied partially or with a wrong digest,
// and against a peer that blocks progress.
TEST_CASE("a process takes documents from a peer", "[config]") {
  ProcessKey Key{{"own"}, ProcessRole::Holder};
  ProcessKey Other{{"other"}, ProcessRole::Holder};
  Endpoint Address{"10.0.0.2", 7000};
  ConfigSync Local(Key, {"east"});
  ConfigSync Peer(Other, {"east"});
  TimePoint Now(1h);
  auto Change = [&](std::uint64_t Version, const std::string &Text) {
    Peer.handle(PlatformAnswered{Version,
                                 ConfigVersion{Version},
                                 {{"rules", ConfigVersion{Version}, Text}}},
                Now, 1);
  };
  Local.handle(ConfigPeerChanged{Other, Address, {"east"}, true}, Now, 1);
  auto Fetch = [&]() -> std::optional<ConfigFetch> {
    Now += 2s;
    return firstFetch(Local.handle(
        PeerVersionAnnounced{Other, Address, Peer.version()}, Now, 1));
  };
  Change(5, rulesText(100, 0));
  Local.handle(
      PlatformAnswered{1, ConfigVersion{1}, {{"gates", ConfigVersion{1}, "g"}}},
      Now, 1);
  REQUIRE(Local.ready());

  SECTION("first whole, then only the lines that changed") {
    ConfigDelta Whole = Peer.answer(*Fetch());
    Local.handle(FetchAnswered{Other, Whole}, Now, 1);
    CHECK(Local.version() == ConfigVersion{5});
    Change(8, rulesText(100, 7));
    Change(9, rulesText(100, 9));
    ConfigDelta Lines = Peer.answer(*Fetch());
    CHECK(Lines.Documents.size() == 2);
    CHECK(encode(Lines).size() * 10 < encode(Whole).size());
    Local.handle(FetchAnswered{Other, Lines}, Now, 1);
    CHECK(Local.documents().at("rules").Text == rulesText(100, 9));

    SECTION("and a late copy of an older answer changes nothing") {
      Local.handle(FetchAnswered{Other, Whole}, Now, 1);
      CHECK(Local.documents().at("rules").Text == rulesText(100, 9));
      CHECK(Local.version() == ConfigVersion{9});
    }
  }

  SECTION("as whole text after a delta that does not fit its digest") {
    Local.handle(FetchAnswered{Other, Peer.answer(*Fetch())}, Now, 1);
    Change(8, rulesText(100, 7));
    ConfigDelta Damaged = Peer.answer(*Fetch());
    Damaged.Documents[0].Edits[0].Added[0] += "x";
    auto Effects = Local.handle(FetchAnswered{Other, Damaged}, Now, 1);
    CHECK(Local.version() == ConfigVersion{5});
    CHECK(Local.documents().at("rules").Text == rulesText(100, 0));
    std::optional<ConfigFetch> Again = firstFetch(Effects);
    REQUIRE(Again);
    CHECK(Again->Whole == std::vector<std::string>{"rules"});
    ConfigDelta Whole = Peer.answer(*Again);
    CHECK(Whole.Documents[0].From == ConfigVersion{});
    Local.handle(FetchAnswered{Other, Whole}, Now, 1);
    CHECK(Local.version() == ConfigVersion{8});
  }

  SECTION("in pages, if there is more than one message holds") {
    std::vector<PlatformDocument> Many;
    for (std::uint64_t Number = 1; Number <= 20; ++Number)
      Many.push_back({"catalog/" + std::to_string(Number),
                      ConfigVersion{10 + Number},
                      std::string(100'000, 'x') + std::to_string(Number)});
    Peer.handle(PlatformAnswered{30, ConfigVersion{30}, Many}, Now, 1);
    std::size_t Pages = 0;
    for (auto Question = Fetch(); Question && Pages < 20; ++Pages) {
      ConfigDelta Page = Peer.answer(*Question);
      CHECK(encode(Page).size() < MaxMessageBytes);
      Question = firstFetch(Local.handle(FetchAnswered{Other, Page}, Now, 1));
    }
    CHECK(Pages >= 4);
    CHECK(Local.version() == ConfigVersion{30});
    CHECK(Local.documents().size() == 22);
  }

  SECTION("but reaches no version without its documents") {
    Fetch();
    Local.handle(FetchAnswered{Other, ConfigDelta{ConfigVersion{1000}, {}}},
                 Now, 1);
    CHECK(Local.version() == ConfigVersion{1});
  }
}

// Guards against a platform that is watched by all 840 nodes, and against two
// watchers on one VM.
TEST_CASE("two nodes of a failure domain watch the platform", "[config]") {
  std::vector<std::unique_ptr<ConfigSync>> All;
  std::vector<ProcessKey> Keys;
  for (int Node = 0; Node < 6; ++Node)
    for (ProcessRole Role : {ProcessRole::Entry, ProcessRole::Holder})
      Keys.push_back({{"node-" + std::to_string(Node)}, Role});
  for (const ProcessKey &Key : Keys) {
    All.push_back(std::make_unique<ConfigSync>(Key, DomainName{"east"}));
    for (const ProcessKey &Other : Keys)
      if (Other != Key)
        All.back()->handle(ConfigPeerChanged{Other, {}, {"east"}, true},
                           TimePoint(1s), 1);
  }
  auto Watchers = [&] {
    std::set<std::string> Nodes;
    for (std::size_t Index = 0; Index < Keys.size(); ++Index)
      if (All[Index] && All[Index]->isWatcher())
        Nodes.insert(Keys[Index].Node.Text);
    return Nodes;
  };
  REQUIRE(Watchers().size() == 2);

  SECTION("a further node takes over when one of them is lost") {
    std::string Lost = *Watchers().begin();
    for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
      if (Keys[Index].Node.Text == Lost) {
        All[Index].reset();
        continue;
      }
      for (ProcessRole Role : {ProcessRole::Entry, ProcessRole::Holder})
        All[Index]->handle(
            ConfigPeerChanged{{{Lost}, Role}, {}, {"east"}, false},
            TimePoint(2s), 1);
    }
    CHECK(Watchers().size() == 2);
    CHECK_FALSE(Watchers().contains(Lost));
  }
}
