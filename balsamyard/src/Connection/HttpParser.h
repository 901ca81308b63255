#pragma once

#include "balsamyard/src/Core/Http.h"
#include "balsamyard/src/Core/MessageMemory.h"
#include "balsamyard/src/Core/Time.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <variant>

namespace balsamyard {

/// \brief Largest message that a parser accepts, in bytes.
struct HttpLimits {
  std::size_t HeaderBytes = 64UL * 1024;
  std::size_t BodyBytes = 16UL * 1024 * 1024;

  /// Shared by the connections of the process; nullptr counts nothing.
  MessageMemory *Memory = nullptr;
};

/// \brief More bytes are needed.
struct HttpIncomplete {};

/// \brief The message is complete; bytes after it were not consumed.
struct HttpComplete {};

/// \brief Status of HttpMalformed if this process has no memory left for the
/// message, whatever its bytes are.
inline constexpr int NoMemoryStatus = 503;

/// \brief The message is malformed or exceeds a limit. Status and RetryAfter
/// are those of the response of a server.
struct HttpMalformed {
  int Status = 400;
  std::string_view Reason;
  Duration RetryAfter{};
};

using HttpProgress = std::variant<HttpIncomplete, HttpComplete, HttpMalformed>;

/// \brief Number of consumed bytes and the resulting progress.
struct HttpStep {
  std::size_t Consumed = 0;
  HttpProgress Progress;
};

/// \brief Parses a sequence of requests with http-parser.
class RequestParser {
public:
  RequestParser();
  ~RequestParser();

  /// \brief Sets the limits of the messages that follow.
  void limit(const HttpLimits &Limits);

  /// \brief Parses up to the end of the current message.
  HttpStep read(std::string_view Bytes);

  /// \returns whether any byte of the current message was read.
  bool started() const;

  /// \returns whether the header section of the current message is complete.
  bool headersComplete() const;

  /// \returns the bytes of the body that were read.
  std::size_t bodyBytes() const;

  /// \returns whether the header section is complete and the caller waits for
  /// "100 Continue" before it sends the body. True at most once per message.
  bool takeExpectContinue();

  /// \brief Drops what was read of a request that is rejected.
  void discard();

  /// \returns the request after HttpComplete, and starts the next one.
  HttpRequest take();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

/// \brief Parses a sequence of responses with http-parser.
class ResponseParser {
public:
  explicit ResponseParser(const HttpLimits &Limits = {});
  ~ResponseParser();

  /// \brief Starts a response. \p BodyExpected is false after HEAD.
  void begin(bool BodyExpected);

  HttpStep read(std::string_view Bytes);

  /// \brief Handles an orderly close by the peer, which ends a response without
  /// a length.
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
