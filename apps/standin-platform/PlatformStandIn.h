#pragma once

#include "balsamyard/Core"

#include <charconv>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace balsamyard::standin {

/// \brief A watch without a change is answered after this time.
inline constexpr std::chrono::seconds WatchWait(10);

inline constexpr std::size_t MaxValueBytes = 1 << 20;

/// \brief The platform's object API in memory (docs/design.md, section 9.3).
///
/// `POST /fault` with `{"kind":"down|slow|lost-answer","on":true}` switches a
/// fault on or off; `"count"` limits it to that many calls, `"ms"` is the delay
/// of `slow`, and `"prefix"` limits `lost-answer` to objects below it. A
/// dropped connection ends after the headers of an answer.
class PlatformStandIn {
public:
  /// \brief Adds the handlers to \p Server and sets its limits.
  void mount(httplib::Server &Server, std::size_t Threads);

  /// \brief Reads each file below \p Folder as an object named by its path;
  /// `vms.json` at the top is the VM list.
  void load(const std::filesystem::path &Folder);

  /// \brief Ends the waiting watches.
  void stop();

  void setVms(const nlohmann::json &List);

private:
  struct Object {
    std::uint64_t Version = 0;
    std::string Value;
  };
  struct Fault {
    std::uint64_t Left = 0; ///< Calls that are still affected.
    std::chrono::milliseconds Delay{0};
    std::string Prefix;
  };
  enum class CallKind { Read, Write, Watch };

  using Request = httplib::Request;
  using Response = httplib::Response;

  static void drop(Response &Answer);
  static void refuse(Response &Answer, int Status, const std::string &Detail);
  bool strike(const std::string &Kind, const std::string &Name, Fault &Found);
  bool admit(CallKind Kind, Response &Answer);
  void listObjects(const Request &Call, Response &Answer);
  void getObject(const Request &Call, Response &Answer);
  void putObject(const Request &Call, Response &Answer);
  void deleteObject(const Request &Call, Response &Answer);
  void setFault(const Request &Call, Response &Answer);
  std::uint64_t newestBelow(const std::string &Prefix) const;
  static std::optional<std::uint64_t> number(const std::string &Text);

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopped = false;
  std::uint64_t Counter = 0;
  std::map<std::string, Object> Objects;
  std::string Vms = "{\"vms\":[]}";
  std::map<std::string, Fault> Faults;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

inline void PlatformStandIn::drop(Response &Answer) {
  Answer.set_content_provider(
      1, "text/plain",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

inline void PlatformStandIn::refuse(Response &Answer, int Status,
                                    const std::string &Detail) {
  Answer.status = Status;
  Answer.set_content(nlohmann::json({{"detail", Detail}}).dump(),
                     "application/json");
}

inline std::optional<std::uint64_t>
PlatformStandIn::number(const std::string &Text) {
  std::uint64_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

inline bool PlatformStandIn::strike(const std::string &Kind,
                                    const std::string &Name, Fault &Found) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto At = this->Faults.find(Kind);
  if (At == this->Faults.end() || At->second.Left == 0 ||
      !Name.starts_with(At->second.Prefix))
    return false;
  --At->second.Left;
  Found = At->second;
  return true;
}

inline bool PlatformStandIn::admit(CallKind Kind, Response &Answer) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++(Kind == CallKind::Read    ? this->Reads
       : Kind == CallKind::Write ? this->Writes
                                 : this->Watches);
  }
  Fault Found;
  if (this->strike("down", "", Found)) {
    drop(Answer);
    return false;
  }
  if (this->strike("slow", "", Found)) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Changed.wait_for(Lock, Found.Delay, [this] { return this->Stopped; });
  }
  return true;
}

inline std::uint64_t
PlatformStandIn::newestBelow(const std::string &Prefix) const {
  std::uint64_t Newest = 0;
  for (auto At = this->Objects.lower_bound(Prefix);
       At != this->Objects.end() && At->first.starts_with(Prefix); ++At)
    Newest = std::max(Newest, At->second.Version);
  return Newest;
}

inline void PlatformStandIn::listObjects(const Request &Call,
                                         Response &Answer) {
  bool Waits = Call.has_param("after");
  std::optional<std::uint64_t> After =
      Waits ? number(Call.get_param_value("after")) : std::uint64_t(0);
  if (!After)
    return refuse(Answer, 400, "expected a number in after");
  if (!this->admit(Waits ? CallKind::Watch : CallKind::Read, Answer))
    return;
  std::string Prefix = Call.get_param_value("prefix");
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (Waits)
    this->Changed.wait_for(Lock, WatchWait, [&] {
      return this->Stopped || this->newestBelow(Prefix) > *After;
    });
  nlohmann::json List = {{"version", this->Counter},
                         {"objects", nlohmann::json::array()}};
  for (auto At = this->Objects.lower_bound(Prefix);
       At != this->Objects.end() && At->first.starts_with(Prefix); ++At)
    if (At->second.Version > *After)
      List["objects"].push_back(
          {{"name", At->first}, {"version", At->second.Version}});
  Answer.set_content(List.dump(), "application/json");
}

inline void PlatformStandIn::getObject(const Request &Call, Response &Answer) {
  std::string Name = Call.matches[1];
  bool Waits = Call.has_param("after");
  std::optional<std::uint64_t> After =
      Waits ? number(Call.get_param_value("after")) : std::uint64_t(0);
  if (!After)
    return refuse(Answer, 400, "expected a number in after");
  if (!this->admit(Waits ? CallKind::Watch : CallKind::Read, Answer))
    return;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  auto Newer = [&] {
    auto At = this->Objects.find(Name);
    return At != this->Objects.end() && At->second.Version > *After;
  };
  if (Waits)
    this->Changed.wait_for(Lock, WatchWait,
                           [&] { return this->Stopped || Newer(); });
  if (!Newer()) {
    if (Waits)
      Answer.status = 204;
    else
      refuse(Answer, 404, "no object " + Name);
    return;
  }
  const Object &Found = this->Objects[Name];
  Answer.set_header("Version", std::to_string(Found.Version));
  Answer.set_content(Found.Value, "application/octet-stream");
}

inline void PlatformStandIn::putObject(const Request &Call, Response &Answer) {
  std::string Name = Call.matches[1];
  bool Creates = Call.get_header_value("If-None-Match") == "*";
  std::optional<std::uint64_t> Match =
      number(Call.get_header_value("If-Match"));
  if (Creates == Match.has_value())
    return refuse(Answer, 400,
                  "expected If-Match: VERSION or If-None-Match: *");
  if (!this->admit(CallKind::Write, Answer))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    auto At = this->Objects.find(Name);
    bool Exists = At != this->Objects.end();
    if (Creates ? Exists : !Exists || At->second.Version != *Match)
      return refuse(Answer, 412, "the version is another one");
    this->Objects[Name] = {++this->Counter, Call.body};
    Answer.set_header("Version", std::to_string(this->Counter));
  }
  this->Changed.notify_all();
  Fault Found;
  if (this->strike("lost-answer", Name, Found))
    drop(Answer);
}

inline void PlatformStandIn::deleteObject(const Request &Call,
                                          Response &Answer) {
  std::string Name = Call.matches[1];
  std::optional<std::uint64_t> Match =
      number(Call.get_header_value("If-Match"));
  if (!Match)
    return refuse(Answer, 400, "expected If-Match: VERSION");
  if (!this->admit(CallKind::Write, Answer))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    auto At = this->Objects.find(Name);
    if (At == this->Objects.end() || At->second.Version != *Match)
      return refuse(Answer, 412, "the version is another one");
    this->Objects.erase(At);
    ++this->Counter;
  }
  Fault Found;
  if (this->strike("lost-answer", Name, Found))
    drop(Answer);
}

inline void PlatformStandIn::setFault(const Request &Call, Response &Answer) {
  nlohmann::json Wanted = nlohmann::json::parse(Call.body, nullptr, false);
  std::string Kind;
  if (Wanted.is_object() && Wanted.contains("kind") &&
      Wanted["kind"].is_string())
    Kind = Wanted["kind"].get<std::string>();
  if (Kind != "down" && Kind != "slow" && Kind != "lost-answer")
    return refuse(Answer, 400, "expected kind down, slow or lost-answer");
  try {
    Fault Next;
    Next.Left =
        Wanted.value("on", true) ? Wanted.value("count", std::uint64_t(-1)) : 0;
    Next.Delay = std::chrono::milliseconds(Wanted.value("ms", 1000));
    Next.Prefix = Wanted.value("prefix", std::string());
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Faults[Kind] = Next;
  } catch (const nlohmann::json::exception &) {
    return refuse(Answer, 400,
                  "expected on (true or false), count, ms (numbers) and "
                  "prefix (text)");
  }
  Answer.set_content("{}", "application/json");
}

inline void PlatformStandIn::setVms(const nlohmann::json &List) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Vms = List.dump();
}

inline void PlatformStandIn::load(const std::filesystem::path &Folder) {
  std::set<std::filesystem::path> Files;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Folder))
    if (Entry.is_regular_file())
      Files.insert(Entry.path());
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const std::filesystem::path &File : Files) {
    std::ifstream Stream(File, std::ios::binary);
    std::string Value{std::istreambuf_iterator<char>(Stream), {}};
    std::string Name = std::filesystem::relative(File, Folder).generic_string();
    if (Name == "vms.json")
      this->Vms = Value;
    else
      this->Objects[Name] = {++this->Counter, Value};
  }
}

inline void PlatformStandIn::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopped = true;
  }
  this->Changed.notify_all();
}

inline void PlatformStandIn::mount(httplib::Server &Server,
                                   std::size_t Threads) {
  // Each kept connection and each watch holds a thread of the pool.
  Server.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1000000);
  Server.set_payload_max_length(MaxValueBytes);
  Server.Get("/objects", [this](const Request &Call, Response &Answer) {
    this->listObjects(Call, Answer);
  });
  Server.Get("/objects/(.+)", [this](const Request &Call, Response &Answer) {
    this->getObject(Call, Answer);
  });
  Server.Put("/objects/(.+)", [this](const Request &Call, Response &Answer) {
    this->putObject(Call, Answer);
  });
  Server.Delete("/objects/(.+)", [this](const Request &Call, Response &Answer) {
    this->deleteObject(Call, Answer);
  });
  Server.Get("/vms", [this](const Request &, Response &Answer) {
    if (!this->admit(CallKind::Read, Answer))
      return;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Answer.set_content(this->Vms, "application/json");
  });
  Server.Put("/vms", [this](const Request &Call, Response &Answer) {
    nlohmann::json List = nlohmann::json::parse(Call.body, nullptr, false);
    if (!List.is_object() || !List.contains("vms"))
      return refuse(Answer, 400, "expected {\"vms\":[..]}");
    this->setVms(List);
  });
  Server.Post("/fault", [this](const Request &Call, Response &Answer) {
    this->setFault(Call, Answer);
  });
  Server.Get("/stats", [this](const Request &, Response &Answer) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Answer.set_content(nlohmann::json({{"reads", this->Reads},
                                       {"writes", this->Writes},
                                       {"watches", this->Watches},
                                       {"objects", this->Objects.size()},
                                       {"version", this->Counter}})
                           .dump(),
                       "application/json");
  });
}

} // namespace balsamyard::standin
