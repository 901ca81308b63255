// A version of the config raises the limits. Requests on connections that were
// idle meanwhile are refused by the limits of the version before.

#include "Standins.h"

using namespace review;

namespace {

constexpr int Consumers = 20;
constexpr std::size_t BodyBytes = 10000;

json configuration(int Version, int MaxBodyBytes) {
  json Result =
      config(Version, json::array({route("permit", {{"service", "permit"}})}),
             json::array({service("permit")}));
  Result["limits"]["maxBodyBytes"] = MaxBodyBytes;
  return Result;
}

bool play(Record &Lines) {
  const Folder Home;
  Store Platform;
  Leaf Permit("i-1", "permit", [&](Stream &Peer, const Message &Request) {
    return Peer.send(Permit.success(Request, "permit record"));
  });
  Platform.put("servers", Permit.Id, Permit.entry());
  Platform.put("config", "main",
               configuration(7, hasTrouble() ? 1024 : 262144));
  Node Front(Home, 0, Platform.at());
  Front.start();
  Front.waitUntilReady();
  sleepFor(Millis(5000)); // contactMs, and a second

  const auto Ask = [&](Stream &Link, const std::string &Id,
                       std::size_t Length) {
    Link.send(request("POST", "/permit/" + Id, Id, 1200, "",
                      std::string(Length, 'b')));
    const Message Answer = Link.read();
    Lines.line("request " + Id + " with " + std::to_string(Length) +
               " bytes: " + Answer.StartLine + " " +
               Answer.field("X-Balsamyard-Server-Stamp"));
    return Answer.status();
  };
  std::vector<std::unique_ptr<Stream>> Links;
  for (int Number = 0; Number < Consumers; ++Number) {
    Links.push_back(Front.connect());
    Links.back()->readTimeout(Millis(3000));
    if (Ask(*Links.back(), "first-" + std::to_string(Number), 500) != 200)
      throw CannotRun("the first request was not served");
  }
  Platform.put("config", "main", configuration(9, 262144));
  Lines.line("the store accepts version 9, with maxBodyBytes 262144");
  sleepFor(Millis(6000)); // twice configApplyMs; idleTimeoutMs is 15 s
  const auto Fresh = Front.connect();
  Fresh->readTimeout(Millis(3000));
  if (Ask(*Fresh, "fresh", BodyBytes) != 200)
    throw CannotRun("a new connection is refused as well");
  int Refused = 0;
  for (int Number = 0; Number < Consumers; ++Number)
    if (Ask(*Links[Number], "second-" + std::to_string(Number), BodyBytes) ==
        413)
      ++Refused;
  Lines.line(std::to_string(Refused) + " of " + std::to_string(Consumers) +
             " requests were refused with 413, 6 s after the ack");
  // DENIED: more than 5 + one in 500 of all requests, first ones included.
  return Refused > 5 + (2 * Consumers + 1) / 500.0;
}

} // namespace

int main(int Count, char **Arguments) { return run(Count, Arguments, play); }
