#include "platform/Platform.h"
#include "balsamyard/src/Connection/HttpParser.h"
#include "balsamyard/src/Process/CrashRecords.h"
#include "balsamyard/src/Process/FeedCodec.h"
#include "balsamyard/src/Process/MoveCounts.h"
#include "fuzz/Mutate.h"

#include <fstream>
#include <unistd.h>

using namespace balsamyard;

namespace {

constexpr int Ok = 200;

HttpResponse okResponse(const std::string &Body) {
  HttpResponse Result;
  Result.Status = Ok;
  Result.Body = Body;
  return Result;
}

/// Decodes every object of a list page with \p Read.
template <typename Decode>
int checkObjects(const std::string &Text, Decode Read) {
  const FeedInput Input = platform::readPage(okResponse(Text));
  const auto *Page = std::get_if<FeedPage>(&Input);
  if (Page == nullptr)
    return std::holds_alternative<FeedCallFailed>(Input) ? 0 : -1;
  int Accepted = 0;
  for (const StoredObject &Object : Page->Objects)
    Accepted += Read(Object) ? 1 : 0;
  return Accepted > 0 ? 1 : 0;
}

int checkConfiguration(const std::string &Text) {
  return checkObjects(Text, [](const StoredObject &Object) {
    const auto Read = platform::readConfiguration(Object);
    if (Read)
      (*Read)->match("a.example", "/search/x");
    return bool(Read);
  });
}

int checkTarget(const std::string &Text) {
  return checkObjects(Text, [](const StoredObject &Object) {
    return bool(platform::readTarget(Object));
  });
}

int checkMove(const std::string &Text) {
  return checkObjects(Text, [](const StoredObject &Object) {
    return bool(platform::readMove(Object));
  });
}

int checkCounts(const std::string &Text) {
  return checkObjects(Text, [](const StoredObject &Object) {
    return bool(decodeCounts(Object.Content));
  });
}

int checkCrashRecord(const std::string &Text) {
  return checkObjects(Text, [](const StoredObject &Object) {
    return bool(decodeCrashRecord(Object.Content));
  });
}

int checkFeedMessage(const std::string &Bytes) {
  return decodeFeedMessage(Bytes) ? 1 : 0;
}

int checkFeedRequest(const std::string &Bytes) {
  return decodeFeedRequest(Bytes) ? 1 : 0;
}

int checkEvents(const std::string &Text) {
  const FeedInput Input = platform::readEvents(okResponse(Text));
  if (std::holds_alternative<FeedCallFailed>(Input))
    return 0;
  return std::holds_alternative<FeedEvents>(Input) ? 1 : -1;
}

/// Parses one message that arrives in a single read.
template <typename Parser>
int checkMessage(Parser &Reader, const std::string &Text) {
  const HttpStep Step = Reader.read(Text);
  if (Step.Consumed > Text.size())
    return -1;
  if (const auto *Fault = std::get_if<HttpMalformed>(&Step.Progress))
    return Fault->Status >= 400 && Fault->Status < 600 ? 0 : -1;
  if (std::holds_alternative<HttpIncomplete>(Step.Progress))
    return 0;
  Reader.take();
  return 1;
}

int checkRequest(const std::string &Text) {
  RequestParser Reader;
  Reader.limit({4096, 4096});
  return checkMessage(Reader, Text);
}

int checkResponse(const std::string &Text) {
  ResponseParser Reader({4096, 4096});
  Reader.begin(true);
  return checkMessage(Reader, Text);
}

/// Checks that the error for rejected settings starts with the path of the
/// file.
int checkSettings(const std::string &Text) {
  static const std::string Path =
      "/tmp/balsamyard-fuzz-" + std::to_string(::getpid()) + ".yaml";
  std::ofstream(Path, std::ios::binary) << Text;
  const Expected<NodeSettings> Read = platform::readSettings(Path);
  ::unlink(Path.c_str());
  if (Read)
    return 1;
  return Read.error().Detail.starts_with(Path) ? 0 : -1;
}

std::string listPage(const std::string &Spec,
                     const std::string &Status = "null") {
  return R"({"items":[{"meta":{"name":"main","revision":41},"spec":)" + Spec +
         R"(,"status":)" + Status + R"(}],"hasMore":false,"asOf":530})";
}

constexpr const char *ConfigurationText =
    R"({"version":7,"routes":[{"name":"r","host":"a.example","pathPrefix":"/search/","type":"idempotent",)"
    R"("timeoutMs":600,"targetLatencyMs":120,"priority":2,"gather":["s1","s2"],"attempts":2,"topK":5,)"
    R"("minCoverage":0.75,"allowedRegions":["north"]},{"name":"w","host":"a.example","pathPrefix":"/w/",)"
    R"("type":"non_idempotent","trafficSplit":[{"service":"s3","weight":0.5},{"service":"s4","weight":0.5}]}],)"
    R"("services":[{"name":"s1","healthPath":"/health","maxConnections":31,"warmupS":3,"warmupPerS":2}],)"
    R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":4096,"headerTimeoutMs":2000,"idleTimeoutMs":20000}})";

constexpr const char *TargetText =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":3,"state":"ready",)"
    R"("warmupLeftMs":0,"sequence":4,"born":1700000000000})";

constexpr const char *EventsText =
    R"({"events":[{"removed":false,"object":{"meta":{"name":"i-1","revision":9},"spec":{},"status":null}}],"asOf":533})";

constexpr const char *SettingsText =
    "nodeName: \"front-1\"\nzone: \"z\"\nregion: \"r\"\nzones:\n  z: \"r\"\n"
    "listen:\n  front: \"10.1.0.9:8104\"\n  readinessAddr: \"10.1.0.9:8108\"\n"
    "limits:\n  cores: 1\nbounds:\n  drainMs: 3000\n  retryBudgetRatio: 0.2\n"
    "platform:\n  address: \"10.200.1.7:8102\"\n";

std::vector<std::string> feedMessages() {
  KindUpdate Update;
  Update.Kind = ObjectKind::Targets;
  Update.Complete = true;
  Update.AsOf = StoreRevision{530};
  ObjectChange Added;
  Added.Object.Name = "i-1";
  Added.Object.Revision = StoreRevision{41};
  Added.Object.Content = nlohmann::json::parse(TargetText);
  ObjectChange Removed;
  Removed.Object.Name = "i-2";
  Removed.Removed = true;
  Update.Changes = {Added, Removed};
  std::vector<std::string> Result = encodeKindUpdate(Update);
  Result.push_back(encodeFeedState({true, std::chrono::milliseconds(40)}));
  return Result;
}

} // namespace

int main() {
  bool Passed = true;
  Passed &= fuzz::run("configuration", {listPage(ConfigurationText)},
                      checkConfiguration);
  Passed &= fuzz::run("target entry", {listPage(TargetText)}, checkTarget);
  Passed &= fuzz::run(
      "move order",
      {listPage(
          R"({"service":"s1","targetVersion":"v2","durationS":12})",
          R"({"state":"running","targetVersion":"v2","step":1,"due":99})")},
      checkMove);
  Passed &= fuzz::run(
      "move counts",
      {listPage(
          R"({"service":"s1","version":"v2","node":"n","incarnation":7,"rows":[[3,10,2,1,90,0,4]]})")},
      checkCounts);
  Passed &= fuzz::run(
      "crash record",
      {listPage(
          R"({"print":42,"node":"n","requests":2,"targets":["i-1","i-2"]})")},
      checkCrashRecord);
  Passed &= fuzz::run("watch events", {EventsText}, checkEvents);
  Passed &=
      fuzz::run("http request",
                {"POST /a/b?c HTTP/1.1\r\nHost: a.example\r\nX-Other: kept\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                 "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"},
                checkRequest);
  Passed &= fuzz::run(
      "http response",
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=5\r\n\r\n"
       "abc",
       "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
       "\r\n"},
      checkResponse);
  Passed &= fuzz::run("feed message", feedMessages(), checkFeedMessage);
  FeedRequest Request{{"node-1"}, {{ObjectKind::Targets, StoreRevision{9}}}};
  Passed &=
      fuzz::run("feed request", {encodeFeedRequest(Request)}, checkFeedRequest);
  Passed &= fuzz::run("platform settings", {SettingsText}, checkSettings);
  return Passed ? 0 : 1;
}
