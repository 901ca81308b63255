#include "balsamyard/src/Process/PlatformClient.h"
#include "apps/standin-platform/PlatformStandIn.h"
#include "tests/LocalServer.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

void setFault(const Endpoint &Platform, const std::string &Body) {
  httplib::Client Client(Platform.Address, Platform.Port);
  REQUIRE(Client.Post("/fault", Body, "application/json")->status == 200);
}

Code errorOf(const Expected<std::uint64_t> &Result) {
  return Result ? Code::Ok : Result.error().Value;
}

} // namespace

// Guards against an update that overwrites a concurrent one, and against a lost
// answer that is treated as a rejection.
TEST_CASE("objects are changed only by conditional updates", "[platform]") {
  standin::PlatformStandIn StandIn;
  LocalServer Local;
  StandIn.mount(Local.Server, 16);
  Endpoint Platform = Local.start();
  PlatformClient Client(Platform, 2s);

  SECTION("an absent object is reported as such") {
    CHECK(Client.get("shared/gates").error().Value == Code::ObjectAbsent);
    CHECK(errorOf(Client.update("shared/gates", "x", 1)) ==
          Code::PlatformConflict);
  }
  SECTION("a created object is read, updated and deleted") {
    Expected<std::uint64_t> First = Client.create("shared/a b?#%/ü", "one");
    REQUIRE(First.has_value());
    CHECK(errorOf(Client.create("shared/a b?#%/ü", "two")) ==
          Code::PlatformConflict);
    CHECK(Client.get("shared/a b?#%/ü")->Value == "one");

    Expected<std::uint64_t> Second =
        Client.update("shared/a b?#%/ü", "two", *First);
    REQUIRE(Second.has_value());
    CHECK(*Second > *First);
    CHECK(errorOf(Client.update("shared/a b?#%/ü", "three", *First)) ==
          Code::PlatformConflict);
    CHECK(Client.get("shared/a b?#%/ü")->Version == *Second);

    CHECK(Client.erase("shared/a b?#%/ü", *First).error().Value ==
          Code::PlatformConflict);
    CHECK(Client.erase("shared/a b?#%/ü", *Second).has_value());
    CHECK(Client.get("shared/a b?#%/ü").error().Value == Code::ObjectAbsent);
  }
  SECTION("two operators who start from one version: only one succeeds") {
    std::uint64_t Base = *Client.create("shared/rules/head", "base");
    PlatformClient Other(Platform, 2s);
    CHECK(errorOf(Client.update("shared/rules/head", "mine", Base)) ==
          Code::Ok);
    CHECK(errorOf(Other.update("shared/rules/head", "theirs", Base)) ==
          Code::PlatformConflict);
    CHECK(Other.get("shared/rules/head")->Value == "mine");
  }
  SECTION("an update without an answer may have taken effect") {
    std::uint64_t Base = *Client.create("shared/gates", "base");
    setFault(Platform, R"({"kind":"lost-answer","count":1})");
    CHECK(errorOf(Client.update("shared/gates", "next", Base)) ==
          Code::PlatformUnavailable);
    CHECK(Client.get("shared/gates")->Value == "next");
  }
  SECTION("values are limited to 1 MB and may be binary") {
    std::string Large(MaxObjectBytes, '\0');
    CHECK(errorOf(Client.create("large", Large)) == Code::Ok);
    CHECK(Client.get("large")->Value == Large);
    CHECK(errorOf(Client.create("larger", Large + "x")) == Code::BodyTooLarge);
  }
}

// Guards against changes that a watcher misses, and against threads that keep
// running when a process stops.
TEST_CASE("a watch waits for news below a prefix", "[platform]") {
  standin::PlatformStandIn StandIn;
  LocalServer Local;
  StandIn.mount(Local.Server, 16);
  Endpoint Platform = Local.start();
  PlatformClient Client(Platform, 2s);
  std::uint64_t Base = *Client.create("shared/gates", "a");
  std::uint64_t Outside = *Client.create("leases/a", "a");

  SECTION("a listing names the objects below the prefix and the counter") {
    Expected<PlatformListing> Listing = Client.list("shared/");
    REQUIRE(Listing.has_value());
    REQUIRE(Listing->Entries.size() == 1);
    CHECK(Listing->Entries[0].Name == "shared/gates");
    CHECK(Listing->Entries[0].Version == Base);
    CHECK(Listing->Version == Outside);
  }
  SECTION("a change below the prefix ends the watch, another one does not") {
    std::thread Writer([&] {
      std::this_thread::sleep_for(20ms);
      PlatformClient Other(Platform, 2s);
      std::uint64_t Next = *Other.create("leases/b", "b");
      (void)Next;
      std::this_thread::sleep_for(20ms);
      (void)Other.update("shared/gates", "b", Base);
    });
    TimePoint Begin = steadyNow();
    Expected<PlatformListing> Changes = Client.watch("shared/", Outside);
    Writer.join();
    REQUIRE(Changes.has_value());
    REQUIRE(Changes->Entries.size() == 1);
    CHECK(Changes->Entries[0].Version > Outside);
    CHECK(steadyNow() - Begin >= 40ms);
  }
  SECTION("stop() ends a waiting watch, and later calls fail at once") {
    std::thread Stopper([&] {
      std::this_thread::sleep_for(50ms);
      Client.stop();
    });
    TimePoint Begin = steadyNow();
    CHECK(Client.watch("shared/", Outside).error().Value ==
          Code::PlatformUnavailable);
    CHECK(steadyNow() - Begin < 5s);
    Stopper.join();
    CHECK(Client.get("shared/gates").error().Value ==
          Code::PlatformUnavailable);
  }
  StandIn.stop();
}

// Guards against a platform outage that blocks a caller, and against malformed
// answers that are accepted.
TEST_CASE("a platform in trouble is reported as such", "[platform]") {
  SECTION("no process listens at the address") {
    PlatformClient Client({"127.0.0.1", 1}, 200ms);
    CHECK(Client.get("a").error().Value == Code::PlatformUnavailable);
  }
  SECTION("the stand-in is down, then returns") {
    standin::PlatformStandIn StandIn;
    LocalServer Local;
    StandIn.mount(Local.Server, 16);
    Endpoint Platform = Local.start();
    PlatformClient Client(Platform, 2s);
    setFault(Platform, R"({"kind":"down"})");
    CHECK(Client.vms().error().Value == Code::PlatformUnavailable);
    CHECK(errorOf(Client.create("a", "b")) == Code::PlatformUnavailable);
    setFault(Platform, R"({"kind":"down","on":false})");
    CHECK(Client.vms()->empty());
    CHECK(Client.get("a").error().Value == Code::ObjectAbsent);
  }
  SECTION("a slow answer is abandoned after the timeout") {
    standin::PlatformStandIn StandIn;
    LocalServer Local;
    StandIn.mount(Local.Server, 16);
    Endpoint Platform = Local.start();
    PlatformClient Client(Platform, 100ms);
    setFault(Platform, R"({"kind":"slow","ms":2000,"count":1})");
    TimePoint Begin = steadyNow();
    CHECK(Client.get("a").error().Value == Code::PlatformUnavailable);
    CHECK(steadyNow() - Begin < 1500ms);
    StandIn.stop();
  }
  SECTION("malformed answers are rejected") {
    LocalServer Local;
    std::string Body;
    std::string Version;
    Local.Server.Get(".*",
                     [&](const httplib::Request &, httplib::Response &Answer) {
                       if (!Version.empty())
                         Answer.set_header("Version", Version);
                       Answer.set_content(Body, "application/json");
                     });
    PlatformClient Client(Local.start(), 2s);

    for (std::string Bad : {"", "x", "-1", "1.5", "18446744073709551616"}) {
      Version = Bad;
      CHECK(Client.get("a").error().Value == Code::PlatformMalformed);
    }
    for (std::string Bad :
         {"", "[]", R"({"version":1})", R"({"version":-1,"objects":[]})",
          R"({"version":1,"objects":[{"name":1,"version":1}]})",
          R"({"version":1,"objects":[{"name":"a"}]})",
          R"({"version":1,"objects":[],"more":1})"}) {
      Body = Bad;
      CHECK(Client.list("a").error().Value == Code::PlatformMalformed);
    }
    const std::string Vm =
        R"({"node":"e1","state":"live","domain":"e","region":"n",)"
        R"("holder":"127.0.0.1:7000"})";
    Body = R"({"vms":[)" + Vm + "]}";
    CHECK(Client.vms()->size() == 1);
    const std::string DuplicateVm = Vm + "," + Vm;
    for (const std::string &Bad :
         {DuplicateVm, std::string("{}"),
          std::string(R"({"node":"e1","state":"dead","domain":"e",)"
                      R"("region":"n","holder":"127.0.0.1:7000"})")}) {
      Body = R"({"vms":[)" + Bad + "]}";
      CHECK(Client.vms().error().Value == Code::PlatformMalformed);
    }
    Body = std::string(MaxObjectBytes + 1, ' ');
    CHECK(Client.list("a").error().Value == Code::PlatformMalformed);
  }
}
