#include "balsamyard/src/Connection/HttpParser.h"

#include <catch2/catch.hpp>
#include <string>

using namespace balsamyard;

namespace {

/// Feeds \p Bytes in pieces of \p Piece bytes until the message is complete or
/// malformed.
template <typename Parser>
HttpProgress feed(Parser &Reader, std::string_view Bytes, std::size_t Piece,
                  std::size_t *Left = nullptr) {
  HttpProgress Progress = HttpIncomplete{};
  while (!Bytes.empty() && std::holds_alternative<HttpIncomplete>(Progress)) {
    const HttpStep Step = Reader.read(Bytes.substr(0, Piece));
    Bytes.remove_prefix(Step.Consumed);
    Progress = Step.Progress;
  }
  if (Left != nullptr)
    *Left = Bytes.size();
  return Progress;
}

int statusOf(std::string_view Bytes, const HttpLimits &Limits = {}) {
  RequestParser Reader;
  Reader.limit(Limits);
  const HttpProgress Progress = feed(Reader, Bytes, Bytes.size());
  const auto *Fault = std::get_if<HttpMalformed>(&Progress);
  return Fault == nullptr ? 0 : Fault->Status;
}

} // namespace

// Guards against a response that ends within its head or body and is taken for
// a complete one.
SCENARIO("a response ends early", "[http]") {
  for (const char *Framing :
       {"Content-Length: 4\r\n\r\nbody", "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"})
    GIVEN("the beginning of a response with " + std::string(Framing)) {
      const std::string Whole =
          std::string("HTTP/1.1 200 OK\r\nX-Stamp: a, b\r\n") + Framing;
      for (std::size_t Length = 0; Length < Whole.size(); ++Length) {
        ResponseParser Reader;
        Reader.begin(true);
        CHECK_FALSE(std::holds_alternative<HttpComplete>(
            feed(Reader, Whole.substr(0, Length), 1000)));
        CHECK_FALSE(std::holds_alternative<HttpComplete>(Reader.end()));
      }
    }
  GIVEN("the beginning of the head of a response without a length") {
    const std::string Head = "HTTP/1.1 200 OK\r\nX-Stamp: a\r\n\r\n";
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      ResponseParser Reader;
      Reader.begin(true);
      feed(Reader, Head.substr(0, Length), 1000);
      CHECK_FALSE(std::holds_alternative<HttpComplete>(Reader.end()));
    }
  }
}

SCENARIO("requests are read from a stream of bytes", "[http]") {
  for (std::size_t Piece : {1U, 7U, 1000U}) {
    GIVEN("bytes that arrive in pieces of " + std::to_string(Piece)) {
      RequestParser Reader;
      WHEN("a request has a body with a length") {
        std::size_t Left = 0;
        const HttpProgress Progress =
            feed(Reader,
                 "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                 "\r\nhelloGET /next",
                 Piece, &Left);
        THEN("it is whole, and the next one stays unread") {
          REQUIRE(std::holds_alternative<HttpComplete>(Progress));
          const HttpRequest Request = Reader.take();
          CHECK(Request.Method == "POST");
          CHECK(Request.Target == "/a/b?c=d");
          CHECK(Request.Body == "hello");
          CHECK(Request.KeepAlive);
          CHECK(Left == std::string("GET /next").size());
          AND_WHEN("the next request follows") {
            const HttpProgress Next =
                feed(Reader, "GET /next HTTP/1.1\r\nHost: y\r\n\r\n", Piece);
            THEN("nothing of the first one is left in it") {
              REQUIRE(std::holds_alternative<HttpComplete>(Next));
              const HttpRequest Second = Reader.take();
              CHECK(Second.Body.empty());
              CHECK(*Second.Fields.find("host") == "y");
              CHECK(Second.Fields.find("content-length") == nullptr);
            }
          }
        }
      }
      WHEN("a body comes in chunks") {
        const HttpProgress Progress =
            feed(Reader,
                 "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                 "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n",
                 Piece);
        THEN("its content is put together and trailers are dropped") {
          REQUIRE(std::holds_alternative<HttpComplete>(Progress));
          const HttpRequest Request = Reader.take();
          CHECK(Request.Body == "abcde");
          CHECK(Request.Fields.find("trailer") == nullptr);
        }
      }
    }
  }
}

// Guards against request smuggling: one message that this parser and a target
// split into requests differently.
TEST_CASE("ambiguous and malformed requests are rejected", "[http]") {
  SECTION("two lengths") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                   "Content-Length: 4\r\n\r\nabcd") == 400);
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                   "Content-Length: 3\r\n\r\nabc") == 400);
  }
  SECTION("a length and chunks") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == 400);
  }
  SECTION("another transfer encoding") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\n"
                   "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n") == 400);
  }
  SECTION("a space in a header name") {
    CHECK(statusOf("GET / HTTP/1.1\r\nHost : x\r\n\r\n") == 400);
  }
  SECTION("a length that is not a number") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1x\r\n"
                   "\r\na") == 400);
  }
  SECTION("bytes that are not a request") {
    CHECK(statusOf("\x16\x03\x01 hello\r\n\r\n") == 400);
  }
}

TEST_CASE("message limits are enforced", "[http]") {
  const HttpLimits Small{200, 10};
  SECTION("of the header section") {
    CHECK(statusOf("GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(300, 'a') +
                       "\r\n\r\n",
                   Small) == 431);
  }
  SECTION("of a body with a length, before it arrives") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n",
                   Small) == 413);
  }
  SECTION("of a body in chunks") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: x\r\n"
                   "Transfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n",
                   Small) == 413);
  }
}

SCENARIO("responses are read from a stream of bytes", "[http]") {
  ResponseParser Reader;
  Reader.begin(true);
  WHEN("interim responses come first") {
    const HttpProgress Progress =
        feed(Reader,
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 P\r\n\r\n"
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
             1000);
    THEN("the final one counts") {
      REQUIRE(std::holds_alternative<HttpComplete>(Progress));
      const HttpResponse Response = Reader.take();
      CHECK(Response.Status == 200);
      CHECK(Response.Body == "ok");
    }
  }
  WHEN("a response has no length") {
    REQUIRE(std::holds_alternative<HttpIncomplete>(
        feed(Reader, "HTTP/1.1 200 OK\r\n\r\npart", 1000)));
    THEN("the orderly end of the connection completes it") {
      CHECK(std::holds_alternative<HttpComplete>(Reader.end()));
      const HttpResponse Response = Reader.take();
      CHECK(Response.Body == "part");
      CHECK_FALSE(Response.KeepAlive);
    }
  }
  WHEN("a response is cut short") {
    REQUIRE(std::holds_alternative<HttpIncomplete>(feed(
        Reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", 1000)));
    THEN("its end does not complete it") {
      CHECK(std::holds_alternative<HttpMalformed>(Reader.end()));
    }
  }
  WHEN("the bytes are not a response") {
    THEN("they are malformed") {
      CHECK(std::holds_alternative<HttpMalformed>(
          feed(Reader, "garbage garbage\r\n\r\n", 1000)));
    }
  }
}
