#include "tests/path/PlatformWorld.h"

#include <catch2/catch.hpp>
#include <map>

using namespace balsamyard;
using namespace balsamyard::test;

namespace {

/// The text of a request that is sent inside of another one.
const std::string Inner = get("/get/inner", "id-inner");

/// \returns a request whose head, body and end are \p Rest.
std::string request(const std::string &Rest) {
  return "GET /get/outer HTTP/1.1\r\nHost: a.example\r\n"
         "X-Balsamyard-Attempt-Id: id-outer\r\n" +
         Rest;
}

std::string post(const std::string &Rest) {
  return "POST /get/outer HTTP/1.1\r\nHost: a.example\r\n"
         "X-Balsamyard-Attempt-Id: id-outer\r\n" +
         Rest;
}

} // namespace

// Guards against a request inside of another one, which a proxy in front of the
// node passes on as one request and the node runs as two.
SCENARIO("a malformed request is rejected together with all that follows it",
         "[smuggling]") {
  PlatformWorld World;
  FakeTarget &Target = World.add("s1", "i-1", record('a'), WellBehaved{});
  World.addRoute("/get/", {{"service", "s1"}});
  World.start();
  for (const auto &[Name, Bytes] : std::map<std::string, std::string>{
           {"a field whose name begins with a CR",
            request("X-Field: a\r\n\rX" + Inner)},
           {"a CR without LF behind a value",
            request("X-Field: a\rX\r\n\r\n" + Inner)},
           {"an empty line without CR", request("X-Field: a\r\n\n" + Inner)},
           {"two LF without CR", request("X-Field: a\n\n" + Inner)},
           {"a folded field", request("X-Field: a\r\n b\r\n\r\n" + Inner)},
           {"a control byte in a value",
            request("X-Field: a\1\r\n\r\n" + Inner)},
           {"a tab in the request line",
            "GET\t/get/outer HTTP/1.1\r\nHost: a.example\r\n\r\n" + Inner},
           {"a tab in the path",
            "GET /get/\touter HTTP/1.1\r\nHost: a.example"
            "\r\nX-Balsamyard-Attempt-Id: id-outer\r\n\r\n" +
                Inner},
           {"an empty length", post("Content-Length:\r\n\r\n" + Inner)},
           {"an unknown transfer coding",
            post("Transfer-Encoding: xyz\r\n\r\n" + Inner)},
           {"a CR without LF behind a chunk",
            post("Transfer-Encoding: chunked\r\n\r\n1\r\na\rX0\r\n\r\n" +
                 Inner)},
           {"a CR without LF behind the last chunk",
            post("Transfer-Encoding: chunked\r\n\r\n0\r\n\rX" + Inner)},
           {"a CR without LF in an extension",
            post("Transfer-Encoding: chunked\r\n\r\n1;\rX\r\na\r\n0\r\n\r\n" +
                 Inner)},
           {"an LF without CR behind the size of a chunk",
            post("Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n" +
                 Inner)}})
    WHEN("it has " + Name) {
      FakeCaller Caller = World.caller();
      const HttpResponse Answer = Caller.ask(Bytes);
      THEN("no target runs any of it, and the connection ends") {
        CHECK(Answer.Status == 400);
        CHECK_FALSE(Answer.KeepAlive);
        CHECK(Caller.receive().Status == 0);
        CHECK(Target.requests().empty());
      }
    }
}

// Guards against checks that reject what callers may send.
SCENARIO("an unusual but valid request is served", "[smuggling]") {
  PlatformWorld World;
  FakeTarget &Target = World.add("s1", "i-1", record('a'), WellBehaved{});
  World.addRoute("/get/", {{"service", "s1"}});
  World.start();
  for (const auto &[Name, Bytes] : std::map<std::string, std::string>{
           {"empty lines before it", "\r\n\r\n" + get("/get/x")},
           {"a field without a value", get("/get/x", "id-1", "X-Empty:\r\n")},
           {"bytes above 0x7f in a value",
            get("/get/x", "id-1", "X-Field: \xc3\xa9\r\n")},
           {"a body in chunks with an extension and a trailer",
            post("Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nbo\r\n2 \r\ndy\r\n"
                 "0\r\nX-Trailer: t\r\n\r\n")},
           {"an offer to switch the protocol",
            post("Connection: upgrade\r\nUpgrade: h2c\r\n"
                 "Content-Length: 4\r\n\r\nbody")}})
    WHEN("it has " + Name) {
      FakeCaller Caller = World.caller();
      const HttpResponse Answer = Caller.ask(Bytes);
      THEN("a target runs it") {
        CHECK(Answer.Status == 200);
        CHECK(Target.requests().size() == 1);
        AND_WHEN("another request follows on the connection") {
          CHECK(Caller.ask(get("/get/y", "id-2")).Status == 200);
        }
      }
    }
}
