#include "tests/ControlSim.h"

#include <catch2/catch.hpp>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// Time in which the member lists of a fleet that starts at once must converge.
/// Complete reads of the list take place until 21 s after the start, and once
/// more in processes whose peers then have more members.
constexpr Duration StartBound = 90s;

/// Time from a crash until all member lists show it: a few probe periods until
/// a probe fails, a suspicion timeout of 4 s * log10(members), and
/// dissemination of the update.
Duration detectionBound(std::size_t Members) {
  double Factor = std::max(
      1.0, std::log10(static_cast<double>(std::max<std::size_t>(Members, 1))));
  return 12s + std::chrono::duration_cast<Duration>(4s * Factor);
}

} // namespace

// Guards against member lists that do not converge, crashed processes that stay
// listed as alive, and healthy processes that are declared dead.
TEST_CASE("members learn who is there", "[membership]") {
  SimOptions Options;
  Options.Seed = 20261204;
  Options.Nodes = GENERATE(4, 32, 125);
  Options.Regions = 2;
  ControlSim Sim(Options);
  std::size_t Size = Sim.Processes.size();
  INFO("members " << Size << ", seed " << Options.Seed);
  Sim.startAll();
  REQUIRE(Sim.runFor(StartBound, [&] { return Sim.converged(); }));

  SECTION("a healthy fleet stays as it is") {
    std::uint64_t Before = Sim.total().Deaths;
    Sim.runFor(60s);
    CHECK(Sim.converged());
    CHECK(Sim.total().Deaths == Before);
  }

  SECTION("a node crashes") {
    Sim.crashNode(2);
    CHECK(Sim.runFor(detectionBound(Size), [&] { return Sim.converged(); }));

    SECTION("and comes back as a new incarnation of the same processes") {
      Sim.start(4);
      Sim.start(5);
      CHECK(Sim.runFor(15s, [&] { return Sim.converged(); }));
      Sim.runFor(30s);
      CHECK(Sim.converged());
    }
  }

  SECTION("a node restarts before anyone noticed that it was gone") {
    Sim.crashNode(2);
    Sim.runFor(500ms);
    Sim.start(4);
    Sim.start(5);
    CHECK(Sim.runFor(detectionBound(Size) + 10s,
                     [&] { return Sim.converged(); }));
    std::uint64_t Incarnation = Sim.Processes[4].Members->self().Incarnation;
    CHECK(Sim.runFor(15s, [&] {
      const auto &Seen = Sim.Processes[0].Members->members();
      return Seen.at(Sim.Processes[4].Info.Key).Incarnation >= Incarnation;
    }));
  }

  SECTION("a process leaves on purpose") {
    std::uint64_t Before = Sim.total().Accusations;
    Sim.leave(3);
    auto EveryoneKnows = [&] {
      for (std::size_t Index = 0; Index < Size; ++Index)
        if (Index != 3 && Sim.stateOf(Index, 3) != MemberState::Left)
          return false;
      return true;
    };
    CHECK(Sim.runFor(10s, EveryoneKnows));
    Sim.crash(3);
    Sim.runFor(20s);
    for (std::size_t Index = 0; Index < Size; ++Index)
      if (Index != 3)
        CHECK(Sim.stateOf(Index, 3) == MemberState::Dead);
    CHECK(Sim.total().Accusations == Before);
  }
}

// Guards against a slow process that suspects its peers because of its own
// delay. Fails if late ticks and missing answers of helpers are ignored.
TEST_CASE("a slow member does not accuse healthy peers", "[membership]") {
  SimOptions Options;
  Options.Seed = GENERATE(11, 12, 13);
  Options.Nodes = 16;
  Options.Loss = 0;
  // A long round trip, so that many pauses begin while a probe is running.
  Options.LocalDelay = 60ms;
  ControlSim Sim(Options);
  Sim.startAll();
  REQUIRE(Sim.runFor(StartBound, [&] { return Sim.converged(); }));
  auto AccusedBySlow = [&] { return Sim.Processes[7].Sent.Accusations; };
  std::uint64_t Before = AccusedBySlow();

  SECTION("while it handles its events only now and then") {
    for (int Round = 0; Round < 40; ++Round) {
      Sim.pause(7, Sim.Now + 1500ms);
      Sim.runFor(1550ms + Duration(Sim.draw() % 200'000));
    }
    CHECK(AccusedBySlow() - Before <= 2);
    for (std::size_t Index = 0; Index < Sim.Processes.size(); ++Index)
      for (std::size_t Other = 0; Other < Sim.Processes.size(); ++Other)
        if (Index != Other && Other != 7)
          CHECK(Sim.stateOf(Index, Other) != MemberState::Dead);
    Sim.runFor(60s);
    CHECK(Sim.converged());
    CHECK(Sim.Processes[7].Members->health() == 0);
  }

  SECTION("when it wakes from a pause longer than any suspicion") {
    Sim.pause(7, Sim.Now + 40s);
    Sim.runFor(41s);
    CHECK(AccusedBySlow() == Before);
    CHECK(Sim.runFor(60s, [&] { return Sim.converged(); }));
    CHECK(AccusedBySlow() == Before);
  }
}

// Guards against a fleet that stays split after a partition has ended. Fails if
// dead members and seeds are not probed.
TEST_CASE("a partition heals", "[membership]") {
  SimOptions Options;
  Options.Seed = GENERATE(21, 22);
  Options.Nodes = Options.Seed == 21 ? GENERATE(4, 125) : GENERATE(4, 32);
  Options.Domains = 4;
  Options.Regions = 2;
  ControlSim Sim(Options);
  Sim.startAll();
  REQUIRE(Sim.runFor(StartBound, [&] { return Sim.converged(); }));
  INFO("members " << Sim.Processes.size() << ", seed " << Options.Seed);

  for (ControlSim::Process &Entry : Sim.Processes)
    Entry.Partition = Entry.Info.Region.Text == "region-1";
  auto Separated = [&] {
    for (std::size_t Viewer = 0; Viewer < Sim.Processes.size(); ++Viewer)
      for (std::size_t Other = 0; Other < Sim.Processes.size(); ++Other)
        if (Viewer != Other &&
            (Sim.stateOf(Viewer, Other) == MemberState::Dead) ==
                (Sim.Processes[Viewer].Partition ==
                 Sim.Processes[Other].Partition))
          return false;
    return true;
  };
  // Half of the members become unreachable at once. Each one is suspected only
  // after a probe of its own, so detection takes a full round of probes.
  Duration Round = Sim.Processes.size() * 1s;
  REQUIRE(Sim.runFor(60s + 2 * Round, Separated));

  SECTION("and both sides join again") {
    for (ControlSim::Process &Entry : Sim.Processes)
      Entry.Partition = 0;
    CHECK(Sim.runFor(120s, [&] { return Sim.converged(); }));
    Sim.runFor(30s);
    CHECK(Sim.converged());
  }
}

// Guards against member lists that are wrong after lost or duplicated messages.
TEST_CASE("lost and duplicated messages do no harm", "[membership]") {
  SimOptions Options;
  Options.Seed = GENERATE(31, 32, 33);
  Options.Nodes = 32;
  Options.Loss = 0.1;
  Options.Duplicates = 0.2;
  ControlSim Sim(Options);
  Sim.startAll();
  REQUIRE(Sim.runFor(StartBound, [&] { return Sim.converged(); }));

  SECTION("no healthy member is taken for dead") {
    std::uint64_t Before = Sim.total().Deaths;
    Sim.runFor(120s);
    CHECK(Sim.total().Deaths == Before);
  }

  SECTION("a crash is still detected") {
    Sim.crash(9);
    CHECK(Sim.runFor(2 * detectionBound(64), [&] {
      for (std::size_t Index = 0; Index < Sim.Processes.size(); ++Index)
        if (Index != 9 && Sim.stateOf(Index, 9) != MemberState::Dead)
          return false;
      return true;
    }));
  }
}

// Guards against a suspected member that cannot refute, and against forged or
// damaged datagrams that crash a process or exhaust its memory.
TEST_CASE("hostile messages are survived", "[membership]") {
  SimOptions Options;
  Options.Seed = 41;
  Options.Nodes = 4;
  ControlSim Sim(Options);
  Sim.startAll();
  REQUIRE(Sim.runFor(StartBound, [&] { return Sim.converged(); }));
  const MemberInfo &Victim = Sim.Processes[3].Info;
  MemberInfo Sender{{{"forger"}, ProcessRole::Entry},
                    {"domain-0"},
                    {"region-0"},
                    {"10.99.0.1", 9},
                    {"10.99.0.1", 9}};
  std::uint64_t Incarnation = Sim.Processes[3].Members->self().Incarnation;

  SECTION("a living member refutes its death") {
    GossipMessage Forged{{Sender, Incarnation, MemberState::Left},
                         {},
                         0,
                         Announce{},
                         {{Victim, Incarnation, MemberState::Dead}}};
    for (std::size_t Index = 0; Index < 3; ++Index)
      Sim.inject(Index, Sender.Gossip, encodeGossip(Forged));
    Sim.runFor(100ms);
    CHECK(Sim.stateOf(0, 3) == MemberState::Dead);
    CHECK(Sim.runFor(30s, [&] { return Sim.converged(); }));
  }

  SECTION("an incarnation that could not be refuted is not believed") {
    GossipMessage Forged{{Sender, MaxIncarnation, MemberState::Left},
                         {},
                         0,
                         Announce{},
                         {{Victim, MaxIncarnation, MemberState::Dead}}};
    for (std::size_t Index = 0; Index < 3; ++Index)
      Sim.inject(Index, Sender.Gossip, encodeGossip(Forged));
    Sim.runFor(5s);
    CHECK(Sim.converged());
  }

  SECTION("a member cannot be spoken for by another sender") {
    GossipMessage Forged{
        {Victim, Incarnation + 5, MemberState::Left}, {}, 0, Announce{}, {}};
    Sim.inject(3, Sender.Gossip, encodeGossip(Forged));
    Sim.runFor(5s);
    CHECK(Sim.Processes[3].Members->self().State == MemberState::Alive);
  }

  SECTION("invented members are bounded") {
    MembershipLimits Small;
    Small.MaxMembers = 20;
    Membership Alone(Victim, Incarnation, {}, {}, Small);
    for (int Number = 0; Number < 100; ++Number) {
      MemberInfo Invented = Sender;
      Invented.Key.Node.Text = "forger-" + std::to_string(Number);
      Alone.handle(GossipReceived{Sender.Gossip,
                                  {{Invented, Incarnation, MemberState::Alive},
                                   {},
                                   0,
                                   Ping{1},
                                   {}}},
                   TimePoint(1s), 7);
    }
    CHECK(Alone.members().size() == 20);
  }

  SECTION("a request for an indirect probe reaches members only") {
    auto Effects = Sim.Processes[0].Members->handle(
        GossipReceived{Sender.Gossip,
                       {{Sender, Incarnation, MemberState::Alive},
                        {},
                        0,
                        PingRequest{1, {{"unknown"}, ProcessRole::Holder}},
                        {}}},
        Sim.Now, 7);
    for (const MembershipEffect &Effect : Effects)
      CHECK_FALSE(std::holds_alternative<SendGossip>(Effect));
  }

  SECTION("damaged datagrams are refused or are messages of the right form") {
    std::mt19937_64 Random(42);
    GossipMessage Message{{Victim, Incarnation, MemberState::Alive},
                          ConfigVersion{7},
                          8,
                          Ping{3, true, Sender.Key},
                          {{Sender, Incarnation, MemberState::Suspect}}};
    std::string Whole = encodeGossip(Message);
    std::size_t Refused = 0;
    for (int Round = 0; Round < 20000; ++Round) {
      std::string Bytes = Whole;
      for (std::uint64_t Change = Random() % 4 + 1; Change > 0; --Change)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      if (Random() % 4 == 0)
        Bytes.resize(Random() % Bytes.size());
      auto Decoded = decodeGossip(Bytes);
      Refused += !Decoded;
      if (Decoded)
        Sim.Processes[0].Members->handle(
            GossipReceived{Sender.Gossip, *Decoded}, Sim.Now, Random());
    }
    CHECK(Refused > 10000);
  }
}

// Guards against datagrams that exceed the size limit and are truncated.
TEST_CASE("gossip messages keep their form and size", "[membership]") {
  MemberInfo Info{{{std::string(48, 'n')}, ProcessRole::Holder},
                  {std::string(48, 'd')},
                  {std::string(48, 'r')},
                  {"2001:db8:1111:2222:3333:4444:5555:6666", 65535},
                  {"2001:db8:1111:2222:3333:4444:5555:7777", 65535}};
  GossipMessage Message{{Info, MaxIncarnation, MemberState::Left},
                        ConfigVersion{MaxIncarnation},
                        UINT32_MAX,
                        Ping{MaxIncarnation, true, Info.Key},
                        {}};

  SECTION("each kind of body survives") {
    GossipBody Body = GENERATE(
        GossipBody(Ping{}), GossipBody(Ping{1, true, ProcessKey{{"a"}}}),
        GossipBody(PingRequest{2, {{"b"}, ProcessRole::Holder}}),
        GossipBody(Ack{3, false, true, true}), GossipBody(Announce{}));
    Message.Body = Body;
    Message.Updates = {{Info, 5, MemberState::Dead}};
    auto Decoded = decodeGossip(encodeGossip(Message));
    REQUIRE(Decoded);
    CHECK(*Decoded == Message);
  }

  SECTION("updates that do not fit are left out") {
    Message.Updates.assign(60, {Info, MaxIncarnation, MemberState::Alive});
    std::string Bytes = encodeGossip(Message);
    CHECK(Bytes.size() <= MaxGossipBytes);
    auto Decoded = decodeGossip(Bytes);
    REQUIRE(Decoded);
    CHECK(Decoded->Updates.size() >= 3);
    CHECK(Decoded->Updates.size() < 60);
  }

  SECTION("an address must be an IP number") {
    Message.From.Info.Gossip.Address = "example.org";
    CHECK_FALSE(decodeGossip(encodeGossip(Message)));
  }

  SECTION("bytes after the message are refused") {
    CHECK_FALSE(decodeGossip(encodeGossip(Message) + "x"));
  }
}
