#include "balsamyard/src/Process/PlatformClient.h"

#include "balsamyard/src/Version/internal/JsonObject.h"

#include <charconv>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <optional>
#include <set>

namespace balsamyard {

using internal::Json;

namespace {

/// The platform ends a watch after 10 s without a change.
constexpr Duration WatchWait = std::chrono::seconds(10);

/// Maximum number of idle connections that are kept open for later calls.
constexpr std::size_t MaxIdleClients = 4;

/// Interval at which stop() retries to cancel calls that are still connecting.
constexpr std::chrono::milliseconds StopInterval(10);

/// \returns \p Text with every byte percent-encoded that is not allowed in a
/// path.
std::string escape(std::string_view Text) {
  std::string Result;
  for (char Byte : Text) {
    bool Plain = (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') ||
                 (Byte >= '0' && Byte <= '9') || Byte == '-' || Byte == '.' ||
                 Byte == '_' || Byte == '~' || Byte == '/';
    if (Plain) {
      Result += Byte;
      continue;
    }
    auto Value = static_cast<unsigned char>(Byte);
    Result += '%';
    Result += "0123456789ABCDEF"[Value >> 4];
    Result += "0123456789ABCDEF"[Value & 15];
  }
  return Result;
}

std::string objectPath(const std::string &Name) {
  return "/objects/" + escape(Name);
}

/// \returns the error for an HTTP status of the platform.
Error errorOf(int Status, const std::string &Path) {
  std::string Detail = Path + ": status " + std::to_string(Status);
  if (Status == 404)
    return {Code::ObjectAbsent, Detail};
  if (Status == 412)
    return {Code::PlatformConflict, Detail};
  if (Status == 413)
    return {Code::BodyTooLarge, Detail};
  if (Status >= 500)
    return {Code::PlatformUnavailable, Detail};
  return {Code::PlatformMalformed, Detail};
}

Expected<std::uint64_t> versionOf(const httplib::Response &Answer) {
  std::string Text = Answer.get_header_value("Version");
  std::uint64_t Version = 0;
  auto [End, Fault] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Fault != std::errc() || End != Text.data() + Text.size() || Version == 0)
    return fail(Code::PlatformMalformed,
                "expected a header Version with a number, found \"" + Text +
                    "\"");
  return Version;
}

} // namespace

Expected<PlatformListing> internal::parseListing(const std::string &Text) {
  Expected<Json> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  JsonFaults Faults;
  PlatformListing Listing;
  {
    JsonObject Top(*Document, "", Faults);
    Listing.Version = Top.number<std::uint64_t>("version");
    for (const Json &Element : Top.array("objects")) {
      JsonObject Object(Element, "objects.", Faults);
      PlatformEntry Entry;
      Entry.Name = Object.text("name");
      Entry.Version = Object.number<std::uint64_t>("version", 1);
      Listing.Entries.push_back(std::move(Entry));
    }
  }
  if (!Faults.none())
    return Faults.error();
  return Listing;
}

Expected<std::vector<PlatformVm>> internal::parseVms(const std::string &Text) {
  Expected<Json> Document = parseJson(Text);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  JsonFaults Faults;
  std::vector<PlatformVm> Vms;
  {
    JsonObject Top(*Document, "", Faults);
    std::set<std::string> Seen;
    for (const Json &Element : Top.array("vms")) {
      JsonObject Object(Element, "vms.", Faults);
      PlatformVm Vm;
      Vm.Node = Object.name<NodeName>("node");
      Vm.Domain = Object.name<DomainName>("domain");
      Vm.Region = Object.name<RegionName>("region");
      std::string State = Object.text("state");
      if (State != "live" && State != "leaving")
        Faults.report("vms.state", "expected live or leaving");
      Vm.Leaving = State == "leaving";
      Expected<Endpoint> Holder = parseEndpoint(Object.text("holder"));
      if (Holder)
        Vm.Holder = *Holder;
      else
        Faults.report("vms.holder", Holder.error().Detail);
      if (!Seen.insert(Vm.Node.Text).second)
        Faults.report("vms.node", "expected each node once");
      Vms.push_back(std::move(Vm));
    }
  }
  if (!Faults.none())
    return Faults.error();
  return Vms;
}

struct PlatformClient::Impl {
  Endpoint Platform;
  Duration Timeout;

  std::mutex Mutex;
  std::condition_variable CallEnded;
  bool Stopped = false;
  std::vector<std::unique_ptr<httplib::Client>> Idle;
  std::set<httplib::Client *> Running;

  std::unique_ptr<httplib::Client> acquire();
  void release(std::unique_ptr<httplib::Client> Client, bool Usable);

  Expected<httplib::Response> send(const char *Method, const std::string &Path,
                                   httplib::Headers Headers,
                                   const std::string &Body, Duration ExtraTime);
};

std::unique_ptr<httplib::Client> PlatformClient::Impl::acquire() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Stopped)
    return nullptr;
  std::unique_ptr<httplib::Client> Client;
  if (this->Idle.empty()) {
    Client = std::make_unique<httplib::Client>(this->Platform.Address,
                                               this->Platform.Port);
    Client->set_keep_alive(true);
    Client->set_tcp_nodelay(true);
    Client->set_url_encode(false);
  } else {
    Client = std::move(this->Idle.back());
    this->Idle.pop_back();
  }
  this->Running.insert(Client.get());
  return Client;
}

void PlatformClient::Impl::release(std::unique_ptr<httplib::Client> Client,
                                   bool Usable) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Running.erase(Client.get());
  if (Usable && !this->Stopped && this->Idle.size() < MaxIdleClients)
    this->Idle.push_back(std::move(Client));
  this->CallEnded.notify_all();
}

Expected<httplib::Response> PlatformClient::Impl::send(const char *Method,
                                                       const std::string &Path,
                                                       httplib::Headers Headers,
                                                       const std::string &Body,
                                                       Duration ExtraTime) {
  if (Body.size() > MaxObjectBytes)
    return fail(Code::BodyTooLarge,
                Path + ": expected at most " + std::to_string(MaxObjectBytes) +
                    " bytes, found " + std::to_string(Body.size()));
  std::unique_ptr<httplib::Client> Client = this->acquire();
  if (!Client)
    return fail(Code::PlatformUnavailable, Path + ": the client is stopped");

  Duration Limit = this->Timeout + ExtraTime;
  Client->set_connection_timeout(this->Timeout);
  Client->set_write_timeout(this->Timeout);
  Client->set_read_timeout(Limit);
  const TimePoint Deadline = steadyNow() + Limit + this->Timeout;
  bool TooLarge = false;
  std::string Received;
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.headers = std::move(Headers);
  Request.body = Body;
  if (!Body.empty())
    Request.set_header("Content-Type", "application/octet-stream");
  // The read timeout applies to each read; the deadline also bounds an answer
  // that arrives in many small pieces.
  Request.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    TooLarge = Received.size() + Size > MaxObjectBytes;
    if (TooLarge || steadyNow() > Deadline)
      return false;
    Received.append(Data, Size);
    return true;
  };
  httplib::Result Result = Client->send(Request);
  bool Answered = Result.error() == httplib::Error::Success;
  this->release(std::move(Client), Answered);
  if (TooLarge)
    return fail(Code::PlatformMalformed, Path + ": expected at most " +
                                             std::to_string(MaxObjectBytes) +
                                             " bytes");
  if (!Answered)
    return fail(Code::PlatformUnavailable,
                Path + ": " + httplib::to_string(Result.error()));
  httplib::Response Answer = Result.value();
  Answer.body = std::move(Received);
  return Answer;
}

PlatformClient::PlatformClient(Endpoint Platform, Duration Timeout)
    : Implementation(std::make_unique<Impl>()) {
  this->Implementation->Platform = std::move(Platform);
  this->Implementation->Timeout = Timeout;
}

PlatformClient::~PlatformClient() { this->stop(); }

Expected<PlatformObject> PlatformClient::get(const std::string &Name) {
  std::string Path = objectPath(Name);
  Expected<httplib::Response> Answer =
      this->Implementation->send("GET", Path, {}, "", Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  Expected<std::uint64_t> Version = versionOf(*Answer);
  if (!Version)
    return tl::unexpected<Error>(Version.error());
  return PlatformObject{*Version, std::move(Answer->body)};
}

Expected<std::uint64_t> PlatformClient::create(const std::string &Name,
                                               const std::string &Value) {
  std::string Path = objectPath(Name);
  Expected<httplib::Response> Answer = this->Implementation->send(
      "PUT", Path, {{"If-None-Match", "*"}}, Value, Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  return versionOf(*Answer);
}

Expected<std::uint64_t> PlatformClient::update(const std::string &Name,
                                               const std::string &Value,
                                               std::uint64_t IfVersion) {
  std::string Path = objectPath(Name);
  Expected<httplib::Response> Answer = this->Implementation->send(
      "PUT", Path, {{"If-Match", std::to_string(IfVersion)}}, Value,
      Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  return versionOf(*Answer);
}

Expected<void> PlatformClient::erase(const std::string &Name,
                                     std::uint64_t IfVersion) {
  std::string Path = objectPath(Name);
  Expected<httplib::Response> Answer = this->Implementation->send(
      "DELETE", Path, {{"If-Match", std::to_string(IfVersion)}}, "",
      Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  return {};
}

Expected<PlatformListing> PlatformClient::list(const std::string &Prefix) {
  std::string Path = "/objects?prefix=" + escape(Prefix);
  Expected<httplib::Response> Answer =
      this->Implementation->send("GET", Path, {}, "", Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  return internal::parseListing(Answer->body);
}

Expected<PlatformListing> PlatformClient::watch(const std::string &Prefix,
                                                std::uint64_t After) {
  std::string Path =
      "/objects?prefix=" + escape(Prefix) + "&after=" + std::to_string(After);
  Expected<httplib::Response> Answer =
      this->Implementation->send("GET", Path, {}, "", WatchWait);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, Path));
  return internal::parseListing(Answer->body);
}

Expected<std::vector<PlatformVm>> PlatformClient::vms() {
  Expected<httplib::Response> Answer =
      this->Implementation->send("GET", "/vms", {}, "", Duration(0));
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->status != 200)
    return tl::unexpected<Error>(errorOf(Answer->status, "/vms"));
  return internal::parseVms(Answer->body);
}

void PlatformClient::stop() {
  std::unique_lock<std::mutex> Lock(this->Implementation->Mutex);
  this->Implementation->Stopped = true;
  this->Implementation->Idle.clear();
  // httplib ignores stop() while a client is connecting, so the call is
  // repeated.
  while (!this->Implementation->Running.empty()) {
    for (httplib::Client *Client : this->Implementation->Running)
      Client->stop();
    this->Implementation->CallEnded.wait_for(Lock, StopInterval);
  }
}

} // namespace balsamyard
