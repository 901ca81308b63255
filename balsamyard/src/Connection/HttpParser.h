#pragma once

#include "balsamyard/src/Core/Http.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <variant>

namespace balsamyard {

/// \brief Largest message that a parser accepts, in bytes.
struct HttpLimits {
  std::size_t HeaderBytes = 64UL * 1024;
  std::size_t BodyBytes = 16UL * 1024 * 1024;
};

/// \brief More bytes are needed.
struct HttpIncomplete {};

/// \brief The message is whole; the rest of the bytes was not consumed.
struct HttpComplete {};

/// \brief The bytes are not acceptable. Status is what a server answers.
struct HttpMalformed {
  int Status = 400;
  std::string_view Reason;
};

using HttpProgress = std::variant<HttpIncomplete, HttpComplete, HttpMalformed>;

/// \brief Bytes that were consumed, and what they led to.
struct HttpStep {
  std::size_t Consumed = 0;
  HttpProgress Progress;
};

/// \brief Reads one request after the other (http-parser).
class RequestParser {
public:
  RequestParser();
  ~RequestParser();

  /// \brief Sets the limits of the messages that follow.
  void limit(const HttpLimits &Limits);

  /// \brief Reads up to the end of the current message.
  HttpStep read(std::string_view Bytes);

  /// \returns whether any byte of the current message was read.
  bool started() const;

  /// \returns whether the header section of the current message is whole.
  bool headersComplete() const;

  /// \returns whether the header section is whole and the caller waits for
  /// "100 Continue" before it sends the body. True once for each message.
  bool takeExpectContinue();

  /// \returns the request after HttpComplete, and starts the next one.
  HttpRequest take();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

/// \brief Reads one response after the other (http-parser).
class ResponseParser {
public:
  explicit ResponseParser(const HttpLimits &Limits = {});
  ~ResponseParser();

  /// \brief Starts a response. \p BodyExpected is false after HEAD.
  void begin(bool BodyExpected);

  HttpStep read(std::string_view Bytes);

  /// \brief The peer closed the connection in an orderly way, which ends a
  /// response without length.
  HttpProgress end();

  /// \returns whether any byte of the current message was read.
  bool started() const;

  /// \returns the response after HttpComplete.
  HttpResponse take();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
