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

/// \brief A watch is answered after this time if nothing changes.
inline constexpr std::chrono::seconds WatchWait(10);

inline constexpr std::size_t MaxValueBytes = 1 << 20;

/// \brief In-memory implementation of the platform's object API
/// (docs/design.md, section 9.3).
///
/// `POST /fault` with `{"kind":"down|slow|lost-answer","on":true}` switches a
/// fault on or off; `"count"` limits it to that many calls, `"ms"` is the delay
/// of `slow`, and `"prefix"` limits `lost-answer` to objects below it. The
/// faults that drop a connection close it after the headers of the answer.
class PlatformStandIn {
public:
  /// \brief Adds the handlers to \p Server and sets its limits.
  void mount(httplib::Server &Server, std::size_t Threads);

  /// \brief Reads each file below \p Folder as an object named by its path;
  /// `vms.json` at the top is the VM list.
  void load(const std::filesystem::path &Folder);

  /// \brief Answers all pending watches and ends the delays of `slow`.
  void stop();

  void setVms(const nlohmann::json &List);

private:
  struct Object {
    std::uint64_t Version = 0;
    std::string Value;
  };
  struct Fault {
    std::uint64_t RemainingCalls = 0; ///< Calls that are still affected.
    std::chrono::milliseconds Delay{0};
    std::string Prefix;
  };
  enum class CallKind { Read, Write, Watch };

  using Request = httplib::Request;
  using Response = httplib::Response;

  static void dropConnection(Response &Answer);
  static void respondError(Response &Answer, int Status,
                           const std::string &Detail);
  /// \brief Uses up one call of the fault \p Kind if it affects \p Name.
  /// \returns whether it does; \p Found then holds the fault.
  bool consumeFault(const std::string &Kind, const std::string &Name,
                    Fault &Found);
  /// \brief Counts a call and applies the faults `down` and `slow`.
  /// \returns whether the call is to be executed.
  bool admit(CallKind Kind, Response &Answer);
  void listObjects(const Request &Call, Response &Answer);
  void getObject(const Request &Call, Response &Answer);
  void putObject(const Request &Call, Response &Answer);
  void deleteObject(const Request &Call, Response &Answer);
  void setFault(const Request &Call, Response &Answer);
  std::uint64_t newestVersion(const std::string &Prefix) const;
  static std::optional<std::uint64_t> parseNumber(const std::string &Text);

  std::mutex Mutex;
  std::condition_variable Changed; ///< Signals a put or stop().
  bool Stopped = false;
  std::uint64_t CurrentVersion = 0;
  std::map<std::string, Object> Objects;
  std::string Vms = "{\"vms\":[]}";
  std::map<std::string, Fault> Faults;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

inline void PlatformStandIn::dropConnection(Response &Answer) {
  Answer.set_content_provider(
      1, "text/plain",
      [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

inline void PlatformStandIn::respondError(Response &Answer, int Status,
                                          const std::string &Detail) {
  Answer.status = Status;
  Answer.set_content(nlohmann::json({{"detail", Detail}}).dump(),
                     "application/json");
}

inline std::optional<std::uint64_t>
PlatformStandIn::parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

inline bool PlatformStandIn::consumeFault(const std::string &Kind,
                                          const std::string &Name,
                                          Fault &Found) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto Entry = this->Faults.find(Kind);
  if (Entry == this->Faults.end() || Entry->second.RemainingCalls == 0 ||
      !Name.starts_with(Entry->second.Prefix))
    return false;
  --Entry->second.RemainingCalls;
  Found = Entry->second;
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
  if (this->consumeFault("down", "", Found)) {
    dropConnection(Answer);
    return false;
  }
  if (this->consumeFault("slow", "", Found)) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Changed.wait_for(Lock, Found.Delay, [this] { return this->Stopped; });
  }
  return true;
}

inline std::uint64_t
PlatformStandIn::newestVersion(const std::string &Prefix) const {
  std::uint64_t Newest = 0;
  for (auto Entry = this->Objects.lower_bound(Prefix);
       Entry != this->Objects.end() && Entry->first.starts_with(Prefix);
       ++Entry)
    Newest = std::max(Newest, Entry->second.Version);
  return Newest;
}

inline void PlatformStandIn::listObjects(const Request &Call,
                                         Response &Answer) {
  bool IsWatch = Call.has_param("after");
  std::optional<std::uint64_t> After =
      IsWatch ? parseNumber(Call.get_param_value("after")) : std::uint64_t(0);
  if (!After)
    return respondError(Answer, 400, "expected a number in after");
  if (!this->admit(IsWatch ? CallKind::Watch : CallKind::Read, Answer))
    return;
  std::string Prefix = Call.get_param_value("prefix");
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (IsWatch)
    this->Changed.wait_for(Lock, WatchWait, [&] {
      return this->Stopped || this->newestVersion(Prefix) > *After;
    });
  nlohmann::json List = {{"version", this->CurrentVersion},
                         {"objects", nlohmann::json::array()}};
  for (auto Entry = this->Objects.lower_bound(Prefix);
       Entry != this->Objects.end() && Entry->first.starts_with(Prefix);
       ++Entry)
    if (Entry->second.Version > *After)
      List["objects"].push_back(
          {{"name", Entry->first}, {"version", Entry->second.Version}});
  Answer.set_content(List.dump(), "application/json");
}

inline void PlatformStandIn::getObject(const Request &Call, Response &Answer) {
  std::string Name = Call.matches[1];
  bool IsWatch = Call.has_param("after");
  std::optional<std::uint64_t> After =
      IsWatch ? parseNumber(Call.get_param_value("after")) : std::uint64_t(0);
  if (!After)
    return respondError(Answer, 400, "expected a number in after");
  if (!this->admit(IsWatch ? CallKind::Watch : CallKind::Read, Answer))
    return;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  auto IsNewer = [&] {
    auto Entry = this->Objects.find(Name);
    return Entry != this->Objects.end() && Entry->second.Version > *After;
  };
  if (IsWatch)
    this->Changed.wait_for(Lock, WatchWait,
                           [&] { return this->Stopped || IsNewer(); });
  if (!IsNewer()) {
    if (IsWatch)
      Answer.status = 204;
    else
      respondError(Answer, 404, "no object " + Name);
    return;
  }
  const Object &Found = this->Objects[Name];
  Answer.set_header("Version", std::to_string(Found.Version));
  Answer.set_content(Found.Value, "application/octet-stream");
}

inline void PlatformStandIn::putObject(const Request &Call, Response &Answer) {
  std::string Name = Call.matches[1];
  bool IsCreate = Call.get_header_value("If-None-Match") == "*";
  std::optional<std::uint64_t> Match =
      parseNumber(Call.get_header_value("If-Match"));
  if (IsCreate == Match.has_value())
    return respondError(Answer, 400,
                        "expected If-Match: VERSION or If-None-Match: *");
  if (!this->admit(CallKind::Write, Answer))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    auto Entry = this->Objects.find(Name);
    bool Exists = Entry != this->Objects.end();
    if (IsCreate ? Exists : !Exists || Entry->second.Version != *Match)
      return respondError(Answer, 412, "the version is another one");
    this->Objects[Name] = {++this->CurrentVersion, Call.body};
    Answer.set_header("Version", std::to_string(this->CurrentVersion));
  }
  this->Changed.notify_all();
  Fault Found;
  if (this->consumeFault("lost-answer", Name, Found))
    dropConnection(Answer);
}

inline void PlatformStandIn::deleteObject(const Request &Call,
                                          Response &Answer) {
  std::string Name = Call.matches[1];
  std::optional<std::uint64_t> Match =
      parseNumber(Call.get_header_value("If-Match"));
  if (!Match)
    return respondError(Answer, 400, "expected If-Match: VERSION");
  if (!this->admit(CallKind::Write, Answer))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    auto Entry = this->Objects.find(Name);
    if (Entry == this->Objects.end() || Entry->second.Version != *Match)
      return respondError(Answer, 412, "the version is another one");
    this->Objects.erase(Entry);
    ++this->CurrentVersion;
  }
  Fault Found;
  if (this->consumeFault("lost-answer", Name, Found))
    dropConnection(Answer);
}

inline void PlatformStandIn::setFault(const Request &Call, Response &Answer) {
  nlohmann::json Command = nlohmann::json::parse(Call.body, nullptr, false);
  std::string Kind;
  if (Command.is_object() && Command.contains("kind") &&
      Command["kind"].is_string())
    Kind = Command["kind"].get<std::string>();
  if (Kind != "down" && Kind != "slow" && Kind != "lost-answer")
    return respondError(Answer, 400, "expected kind down, slow or lost-answer");
  try {
    Fault Next;
    Next.RemainingCalls = Command.value("on", true)
                              ? Command.value("count", std::uint64_t(-1))
                              : 0;
    Next.Delay = std::chrono::milliseconds(Command.value("ms", 1000));
    Next.Prefix = Command.value("prefix", std::string());
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Faults[Kind] = Next;
  } catch (const nlohmann::json::exception &) {
    return respondError(Answer, 400,
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
      this->Objects[Name] = {++this->CurrentVersion, Value};
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
  // Each keep-alive connection and each watch occupies a thread of the pool.
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
      return respondError(Answer, 400, "expected {\"vms\":[..]}");
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
                                       {"version", this->CurrentVersion}})
                           .dump(),
                       "application/json");
  });
}

} // namespace balsamyard::standin
