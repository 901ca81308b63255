#include "Deployment.h"

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace standin {

using namespace balsamyard;

namespace {

using Json = nlohmann::json;

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::filesystem::create_directories(Path.parent_path());
  std::ofstream(Path, std::ios::binary) << Text;
}

std::string quoted(const Endpoint &Address) {
  return "\"" + toText(Address) + "\"";
}

/// \returns the settings of the entry or holder process of \p Node.
std::string nodeSettings(const Deployment &From, const DeployedNode &Node,
                         bool Entry, const std::string &Folder) {
  const std::string Process = Entry ? "entry" : "holder";
  std::string Seeds;
  for (const DeployedNode &Other : From.Nodes)
    Seeds += (Seeds.empty() ? "" : ", ") + quoted(Other.HolderGossip);
  return "[node]\nname = \"" + Node.Name.Text + "\"\ndomain = \"" +
         Node.Domain.Text + "\"\nregion = \"" + Node.Domain.Text +
         "\"\n[listen]\nhttp = " +
         quoted(Entry ? Node.EntryHttp : Node.HolderHttp) +
         "\npeer = " + quoted(Entry ? Node.EntryPeer : Node.HolderPeer) +
         "\ngossip = " + quoted(Entry ? Node.EntryGossip : Node.HolderGossip) +
         "\n[platform]\naddress = " + quoted(From.Platform) +
         "\n[peers]\nseeds = [" + Seeds + "]\n[log]\nfile = \"" + Folder +
         "/logs/" + Node.Name.Text + "-" + Process + ".jsonl\"\n";
}

std::string vmList(const Deployment &From) {
  Json Vms = Json::array();
  for (const DeployedNode &Node : From.Nodes)
    Vms.push_back({{"node", Node.Name.Text},
                   {"state", "live"},
                   {"domain", Node.Domain.Text},
                   {"region", Node.Domain.Text},
                   {"holder", toText(Node.HolderPeer)}});
  return Json{{"vms", Vms}}.dump(1);
}

std::string shardList(const ServiceCatalog &Service, LeafIndex Leaf) {
  std::string Result;
  for (const CatalogShard &Shard : Service.Snapshots.front().Shards)
    if (Shard.Leaf == Leaf)
      Result += (Result.empty() ? "" : ",") + std::to_string(Shard.Id) + ":" +
                std::to_string(Shard.Weight);
  return Result;
}

std::string targetSettings(const Deployment &From,
                           const ServiceCatalog &Service, LeafIndex Leaf,
                           const CatalogSlot &Slot) {
  const ServiceGroup &Group = From.findServiceGroup(Service.Name);
  return "[[slot]]\nslot = \"" +
         toText(SlotKey{Service.Name, Leaf, Slot.Index}) + "\"\nversion = \"" +
         Slot.Version.Text + "\"\nlisten = " + quoted(Slot.Address) +
         "\nsnapshots = [1]\nshards = \"" + shardList(Service, Leaf) +
         "\"\nconnection_limit = " + std::to_string(Slot.ConnectionLimit) +
         "\ncold_limit = " + std::to_string(Slot.ColdLimit) +
         "\nconnect_ms = " + std::to_string(Group.ConnectTime.count()) +
         "\nwork_us = 1000\nwarm_ms = 1000\nwarm_requests = 10\n\n";
}

std::string baseRules(const Deployment &From) {
  std::string Result = "# Rules of " + From.Layout.Name + "\n";
  for (const ServiceGroup &Group : From.Layout.Services)
    Result += "search service=" + Group.Prefix +
              "-* route=* deadline=160ms coverage=1 hedge=0.05  # asked by the "
              "duty desk\n";
  return Result + "write service=* route=* deadline=2s repeat=no  # asked by "
                  "the records "
                  "office\n";
}

std::string moveRule(const Deployment &From, std::chrono::seconds In) {
  const std::time_t By = std::chrono::system_clock::to_time_t(
      std::chrono::system_clock::now() + In);
  std::tm Parts{};
  gmtime_r(&By, &Parts);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return "move service=" + From.MovedService.Text +
         " route=* to=v2 by=" + Text + "  # asked by the release desk\n";
}

/// \returns the target that the trace crashes, so that it turns cold without
/// warning: the first slot of the second service.
const CatalogSlot &crashedSlot(const Deployment &From) {
  return From.Services[1].Leaves.front().Slots.front();
}

/// \returns the target that runs in its own process, so that a script can kill
/// it: the first slot of the third service.
const CatalogSlot &killableSlot(const Deployment &From) {
  return From.Services[2].Leaves.front().Slots.front();
}

std::string generateTrace(const Deployment &From, const TraceOptions &Options) {
  boost::random::mt19937_64 Random(Options.Seed);
  boost::random::bernoulli_distribution<> IsWrite(Options.WriteShare);
  boost::random::uniform_int_distribution<std::size_t> PickService(
      0, From.Services.size() - 1);
  boost::random::bernoulli_distribution<> IsMoved(Options.MovedShare);
  boost::random::uniform_int_distribution<int> PickWord(0, 499);
  const std::chrono::microseconds Step =
      std::chrono::microseconds(std::chrono::seconds(1)) /
      Options.RequestsPerSecond;
  const auto Count = Options.Length / Step;
  std::string Result;
  Result += Json{{"at_ms", 0},
                 {"kind", "rules"},
                 {"body", baseRules(From) + moveRule(From, Options.MoveIn)}}
                .dump() +
            "\n";
  bool Crashed = false;
  for (std::int64_t Number = 0; Number < Count; ++Number) {
    const auto Time =
        std::chrono::duration_cast<std::chrono::milliseconds>(Number * Step);
    if (!Crashed && Time >= Options.Length / 4) {
      Crashed = true;
      Result += Json{{"at_ms", Time.count()},
                     {"kind", "fault"},
                     {"url",
                      "http://" + toText(crashedSlot(From).Address) + "/fault"},
                     {"body", {{"kind", "crash"}}}}
                    .dump() +
                "\n";
    }
    const std::size_t Picked = PickService(Random);
    const ServiceCatalog &Service = From.Services[IsMoved(Random) ? 0 : Picked];
    const bool Write = IsWrite(Random);
    Json Body = {{"text", "word-" + std::to_string(PickWord(Random))}};
    if (Write)
      Body["record"] = "record-" + std::to_string(Number);
    Result += Json{{"at_ms", Time.count()},
                   {"kind", Write ? "write" : "search"},
                   {"service", Service.Name.Text},
                   {"route", Service.Routes.front().Text},
                   {"id", From.Layout.Name + "-" + std::to_string(Number)},
                   {"deadline_ms", Write ? 2000 : 160},
                   {"body", Body}}
                  .dump() +
              "\n";
  }
  return Result;
}

/// \returns the assignments of shell variables that scripts/demo.sh reads.
std::string addressList(const Deployment &From) {
  std::string Entries;
  std::string Holders;
  for (const DeployedNode &Node : From.Nodes) {
    Entries += toText(Node.EntryHttp) + " ";
    Holders += toText(Node.HolderHttp) + " ";
  }
  std::string Next;
  for (const CatalogLeaf &Leaf : From.Services.front().Leaves)
    for (const CatalogSlot &Slot : Leaf.Slots)
      if (Slot.Version.Text == "v2")
        Next += toText(Slot.Address) + " ";
  return "PLATFORM=" + toText(From.Platform) + "\nENTRIES=\"" + Entries +
         "\"\nHOLDERS=\"" + Holders + "\"\nNEXT_VERSION=\"" + Next + "\"\n";
}

} // namespace

void writeDeployment(const Deployment &From, const TraceOptions &Options,
                     const std::string &Folder) {
  const std::filesystem::path Root = std::filesystem::absolute(Folder);
  std::filesystem::create_directories(Root / "logs");
  std::string Processes = "platform standin-platform --listen " +
                          toText(From.Platform) + " --load " +
                          (Root / "objects").string() + "\n";
  writeFile(Root / "objects" / "vms.json", vmList(From));

  std::map<std::string, std::string> TargetFiles;
  for (const ServiceCatalog &Service : From.Services) {
    writeFile(Root / "objects" / "shared" / "catalog" / Service.Name.Text,
              toJson(Service));
    for (const CatalogLeaf &Leaf : Service.Leaves)
      for (const CatalogSlot &Slot : Leaf.Slots)
        TargetFiles[Slot.Address == killableSlot(From).Address
                        ? "targets-killable"
                        : "targets-" + Slot.Domain.Text] +=
            targetSettings(From, Service, Leaf.Index, Slot);
  }
  for (const auto &[Name, Text] : TargetFiles) {
    const auto Path = Root / (Name + ".toml");
    writeFile(Path, Text);
    Processes += Name + " standin-target --config " + Path.string() + "\n";
  }
  for (const DeployedNode &Node : From.Nodes)
    for (const char *Process : {"holder", "entry"}) {
      const std::string Name = Node.Name.Text + "-" + Process;
      const auto Path = Root / (Name + ".toml");
      writeFile(Path, nodeSettings(From, Node, Process == std::string("entry"),
                                   Root.string()));
      Processes += Name + " balsamyard-" + Process + " --settings " +
                   Path.string() + "\n";
    }
  writeFile(Root / "processes.txt", Processes);
  writeFile(Root / "addresses.sh", addressList(From));
  writeFile(Root / "rules.txt", baseRules(From));
  writeFile(Root / "rules-move.txt",
            baseRules(From) + moveRule(From, Options.MoveIn));
  writeFile(Root / "trace.jsonl", generateTrace(From, Options));
}

} // namespace standin
