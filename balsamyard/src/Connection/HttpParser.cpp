#include "balsamyard/src/Connection/HttpParser.h"

#include "balsamyard/src/Connection/HttpSyntax.h"

#include <algorithm>
#include <http_parser.h>
#include <optional>
#include <utility>

namespace balsamyard {

namespace {

/// The bytes of a body.
struct BodyPart {
  std::optional<std::uint64_t> LeftInChunk; ///< Set for a body in chunks.
};

/// What the next bytes of a message belong to.
using MessagePart = std::variant<SectionSyntax, BodyPart>;

/// Other messages have been read after this time.
constexpr Duration MemoryRetryAfter = std::chrono::milliseconds(300);

/// Message that the callbacks of http-parser build, for requests and responses.
struct Collector {
  http_parser Parser{};
  MessagePart Part = SectionSyntax(RequestLine());
  std::optional<MessagePart> NextPart; ///< Set when http-parser ends a section.
  HttpLimits Limits;
  std::string RequestTarget;
  HttpFields Fields;
  std::string Body;
  Ref<MessageShare> Share;
  std::size_t CountedBytes = 0;          ///< In Share.
  std::optional<std::size_t> BodyLength; ///< If the head states it.
  std::size_t HeaderBytes = 0;
  bool LastWasValue = true;
  bool Started = false;
  bool HeadersComplete = false;
  bool ExpectContinue = false;
  bool MessageComplete = false;
  bool InTrailer = false;
  bool BodyExpected = true;
  bool KeepAlive = true;
  HttpMalformed Fault{};

  void reset(http_parser_type Type) {
    http_parser_init(&this->Parser, Type);
    this->Parser.data = this;
    this->Part = Type == HTTP_REQUEST ? SectionSyntax(RequestLine())
                                      : SectionSyntax(StatusLine());
    this->RequestTarget.clear();
    this->Fields = {};
    this->Body = {};
    this->Share = nullptr;
    this->CountedBytes = 0;
    this->BodyLength.reset();
    this->HeaderBytes = 0;
    this->LastWasValue = true;
    this->Started = false;
    this->HeadersComplete = false;
    this->ExpectContinue = false;
    this->MessageComplete = false;
    this->InTrailer = false;
    this->Fault = {};
    this->NextPart.reset();
  }

  int fault(int Status, std::string_view Reason) {
    this->Fault = {Status, Reason};
    return 1;
  }

  /// \returns the memory that the fields take, with the reserves of growing
  /// containers. It is many times the bytes that were received if the fields
  /// are small.
  std::size_t headMemory() const {
    return 2 * (this->HeaderBytes + this->Fields.size() * sizeof(HttpField));
  }

  /// Counts \p Bytes in total, and more in advance, so that a message is
  /// counted only a few times. \p Length is the whole length if it is known.
  bool count(std::size_t Bytes, std::optional<std::size_t> Length) {
    if (this->Limits.Memory == nullptr || Bytes <= this->CountedBytes ||
        Bytes <= MessageMemory::UncountedBytes)
      return true;
    if (!this->Share)
      this->Share = makeRef<MessageShare>(*this->Limits.Memory);
    const std::size_t Wanted =
        Length ? Bytes : std::max(Bytes, 2 * this->CountedBytes);
    if (!this->Share->grow(Wanted, Length)) {
      this->Fault = {NoMemoryStatus, "no memory is left for the message",
                     MemoryRetryAfter};
      return false;
    }
    this->CountedBytes = Wanted;
    return true;
  }

  /// Makes room for \p Count more bytes of the body, at least doubling what
  /// it has, so that it is copied only a few times.
  bool reserveBody(std::size_t Count) {
    const std::size_t Needed = this->Body.size() + Count;
    if (Needed <= this->Body.capacity())
      return true;
    const std::size_t Wanted =
        std::min(std::max(Needed, 2 * this->Body.capacity()),
                 this->BodyLength.value_or(this->Limits.BodyBytes));
    // A body that cannot grow any further needs no reserve for it.
    const bool IsLast = Wanted >= this->Limits.BodyBytes;
    const std::size_t Total = this->headMemory() + Wanted;
    if (!this->count(Total, IsLast ? std::optional(Total) : this->BodyLength))
      return false;
    this->Body.reserve(Wanted);
    return true;
  }

  int addHeaderBytes(std::size_t Count) {
    this->HeaderBytes += Count;
    if (this->HeaderBytes > this->Limits.HeaderBytes)
      return this->fault(431, "the header section is too large");
    return this->count(this->headMemory(), std::nullopt) ? 0 : 1;
  }
};

Collector &collector(http_parser *Parser) {
  return *static_cast<Collector *>(Parser->data);
}

/// \returns why no response may have this status, empty if one may.
std::string_view statusFault(int Status) {
  constexpr int MinStatus = 100;
  constexpr int MaxStatus = 599;
  constexpr int SwitchingProtocols = 101;
  if (Status < MinStatus || Status > MaxStatus)
    return "the status is not valid";
  if (Status == SwitchingProtocols)
    return "the protocol was switched without a request for it";
  return {};
}

/// \returns whether a response with this status must not state a body.
bool forbidsBody(int Status) {
  constexpr int NoContent = 204;
  return Status / 100 == 1 || Status == NoContent;
}

/// \returns why the end of the message is not certain, empty if it is.
std::string_view framingFault(const Collector &Self) {
  const std::string *Length = Self.Fields.find("content-length");
  const std::string *Coding = Self.Fields.find("transfer-encoding");
  if (Self.Fields.count("content-length") > 1 ||
      Self.Fields.count("transfer-encoding") > 1 ||
      (Length != nullptr && Coding != nullptr))
    return "the length of the body is ambiguous";
  if (Coding != nullptr && ((Self.Parser.flags & F_CHUNKED) == 0 ||
                            !sameHeaderName(trimmed(*Coding), "chunked")))
    return "the transfer coding is not supported";
  return {};
}

/// \returns why the head of a response is malformed, empty if it is not.
std::string_view responseFault(const Collector &Self) {
  const int Status = Self.Parser.status_code;
  if (const std::string_view Fault = statusFault(Status); !Fault.empty())
    return Fault;
  const bool StatesBody = (Self.Parser.flags & F_CHUNKED) != 0 ||
                          ((Self.Parser.flags & F_CONTENTLENGTH) != 0 &&
                           Self.Parser.content_length > 0);
  if (StatesBody && forbidsBody(Status))
    return "a response with this status has no body";
  return {};
}

int onMessageBegin(http_parser *Parser) {
  collector(Parser).Started = true;
  return 0;
}

int onUrl(http_parser *Parser, const char *At, std::size_t Length) {
  Collector &Self = collector(Parser);
  Self.RequestTarget.append(At, Length);
  return Self.addHeaderBytes(Length);
}

int onHeaderField(http_parser *Parser, const char *At, std::size_t Length) {
  Collector &Self = collector(Parser);
  // Trailer fields are parsed but dropped, as trailers are not forwarded.
  if (!Self.InTrailer) {
    if (Self.LastWasValue)
      Self.Fields.add({}, {});
    Self.LastWasValue = false;
    Self.Fields.last().Name.append(At, Length);
  }
  // 3 bytes for the colon and the line end.
  return Self.addHeaderBytes(Length + 3);
}

int onHeaderValue(http_parser *Parser, const char *At, std::size_t Length) {
  Collector &Self = collector(Parser);
  if (!Self.InTrailer) {
    Self.LastWasValue = true;
    Self.Fields.last().Value.append(At, Length);
  }
  return Self.addHeaderBytes(Length);
}

int onHeadersComplete(http_parser *Parser) {
  Collector &Self = collector(Parser);
  Self.HeadersComplete = true;
  Self.InTrailer = true;
  Self.KeepAlive = http_should_keep_alive(Parser) != 0;
  std::string_view Fault = framingFault(Self);
  if (Fault.empty() && Parser->type == HTTP_RESPONSE)
    Fault = responseFault(Self);
  if (!Fault.empty()) {
    Self.fault(400, Fault);
    return -1;
  }
  if ((Parser->flags & F_CONTENTLENGTH) != 0)
    Self.BodyLength = Parser->content_length;
  if (Self.BodyLength.value_or(0) > Self.Limits.BodyBytes) {
    Self.fault(413, "the body is too large");
    return -1;
  }
  Self.ExpectContinue = Self.Fields.hasListElement("expect", "100-continue");
  if ((Parser->flags & F_CHUNKED) != 0)
    Self.NextPart = SectionSyntax(ChunkSizeLine());
  else
    Self.NextPart = BodyPart{};
  // The length of a 304 is that of the body which it does not have.
  constexpr unsigned NotModified = 304;
  const bool HasBody =
      Parser->type == HTTP_REQUEST || Parser->status_code != NotModified;
  return Self.BodyExpected && HasBody ? 0 : 1;
}

int onChunkHeader(http_parser *Parser) {
  Collector &Self = collector(Parser);
  if (Parser->content_length > 0)
    Self.NextPart = BodyPart{Parser->content_length};
  else
    Self.NextPart = SectionSyntax(FieldLine());
  return 0;
}

int onChunkComplete(http_parser *Parser) {
  collector(Parser).NextPart = SectionSyntax(ChunkSizeLine());
  return 0;
}

int onBody(http_parser *Parser, const char *At, std::size_t Length) {
  Collector &Self = collector(Parser);
  if (Self.Body.size() + Length > Self.Limits.BodyBytes)
    return Self.fault(413, "the body is too large");
  if (!Self.reserveBody(Length))
    return 1;
  Self.Body.append(At, Length);
  return 0;
}

int onMessageComplete(http_parser *Parser) {
  collector(Parser).MessageComplete = true;
  // Stops the parser, so that it does not consume bytes of the next message.
  http_parser_pause(Parser, 1);
  return 0;
}

const http_parser_settings &callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings Result;
    http_parser_settings_init(&Result);
    Result.on_message_begin = onMessageBegin;
    Result.on_url = onUrl;
    Result.on_header_field = onHeaderField;
    Result.on_header_value = onHeaderValue;
    Result.on_headers_complete = onHeadersComplete;
    Result.on_chunk_header = onChunkHeader;
    Result.on_chunk_complete = onChunkComplete;
    Result.on_body = onBody;
    Result.on_message_complete = onMessageComplete;
    return Result;
  }();
  return Settings;
}

/// Passes \p Bytes to http-parser.
HttpStep parse(Collector &Self, std::string_view Bytes) {
  const std::size_t Used = http_parser_execute(&Self.Parser, &callbacks(),
                                               Bytes.data(), Bytes.size());
  const auto Problem = static_cast<http_errno>(HTTP_PARSER_ERRNO(&Self.Parser));
  if (Self.MessageComplete && (Problem == HPE_PAUSED || Problem == HPE_OK))
    return {Used, HttpComplete{}};
  if (!Self.Fault.Reason.empty())
    return {Used, Self.Fault};
  if (Problem == HPE_HEADER_OVERFLOW)
    return {Used, HttpMalformed{431, "the header section is too large"}};
  if (Problem != HPE_OK)
    return {Used, HttpMalformed{400, http_errno_description(Problem)}};
  return {Used, HttpIncomplete{}};
}

/// Reads lines, which are checked before http-parser gets them. Both must find
/// the end of the section at the same byte.
HttpStep readPart(Collector &Self, SectionSyntax &Section,
                  std::string_view Bytes) {
  const SectionStep Check = Section.read(Bytes);
  if (const auto *Fault = std::get_if<SectionMalformed>(&Check.Progress))
    return {Check.Length, HttpMalformed{400, Fault->Reason}};
  const HttpStep Step = parse(Self, Bytes.substr(0, Check.Length));
  if (std::holds_alternative<HttpMalformed>(Step.Progress))
    return Step;
  const bool Ends = std::holds_alternative<SectionComplete>(Check.Progress);
  const bool ParserEnds = Self.MessageComplete || Self.NextPart;
  if (Step.Consumed != Check.Length || Ends != ParserEnds)
    return {Step.Consumed,
            HttpMalformed{400, "the end of a section is ambiguous"}};
  return Step;
}

/// Reads bytes of a body up to the end of the chunk, if it comes in chunks.
HttpStep readPart(Collector &Self, BodyPart &Body, std::string_view Bytes) {
  if (!Body.LeftInChunk)
    return parse(Self, Bytes);
  const HttpStep Step = parse(Self, Bytes.substr(0, *Body.LeftInChunk));
  *Body.LeftInChunk -= Step.Consumed;
  if (*Body.LeftInChunk == 0)
    Self.NextPart = SectionSyntax(ChunkEndLine());
  return Step;
}

HttpStep run(Collector &Self, std::string_view Bytes) {
  if (Self.MessageComplete)
    return {0, HttpComplete{}};
  HttpStep Total;
  while (Total.Consumed < Bytes.size() &&
         std::holds_alternative<HttpIncomplete>(Total.Progress)) {
    const HttpStep Step = std::visit(
        [&](auto &Part) {
          return readPart(Self, Part, Bytes.substr(Total.Consumed));
        },
        Self.Part);
    if (Self.NextPart)
      Self.Part = *std::exchange(Self.NextPart, std::nullopt);
    Total.Consumed += Step.Consumed;
    Total.Progress = Step.Progress;
  }
  return Total;
}

} // namespace

struct RequestParser::Impl : Collector {};

RequestParser::RequestParser() : Implementation(std::make_unique<Impl>()) {
  this->Implementation->reset(HTTP_REQUEST);
}

RequestParser::~RequestParser() = default;

void RequestParser::limit(const HttpLimits &Limits) {
  this->Implementation->Limits = Limits;
}

HttpStep RequestParser::read(std::string_view Bytes) {
  return run(*this->Implementation, Bytes);
}

bool RequestParser::started() const { return this->Implementation->Started; }

bool RequestParser::headersComplete() const {
  return this->Implementation->HeadersComplete;
}

std::size_t RequestParser::bodyBytes() const {
  return this->Implementation->Body.size();
}

bool RequestParser::takeExpectContinue() {
  return std::exchange(this->Implementation->ExpectContinue, false) &&
         !this->Implementation->MessageComplete;
}

void RequestParser::discard() { this->Implementation->reset(HTTP_REQUEST); }

HttpRequest RequestParser::take() {
  Collector &Self = *this->Implementation;
  HttpRequest Result;
  Result.Method = http_method_str(static_cast<http_method>(Self.Parser.method));
  Result.Target = std::move(Self.RequestTarget);
  Result.Fields = std::move(Self.Fields);
  Result.Body = std::move(Self.Body);
  Result.Share = std::move(Self.Share);
  Result.KeepAlive = Self.KeepAlive;
  Self.reset(HTTP_REQUEST);
  return Result;
}

struct ResponseParser::Impl : Collector {};

ResponseParser::ResponseParser(const HttpLimits &Limits)
    : Implementation(std::make_unique<Impl>()) {
  this->Implementation->Limits = Limits;
  this->Implementation->reset(HTTP_RESPONSE);
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::begin(bool BodyExpected) {
  this->Implementation->reset(HTTP_RESPONSE);
  this->Implementation->BodyExpected = BodyExpected;
}

HttpStep ResponseParser::read(std::string_view Bytes) {
  Collector &Self = *this->Implementation;
  std::size_t Before = 0;
  while (true) {
    HttpStep Step = run(Self, Bytes.substr(Before));
    Step.Consumed += Before;
    // An interim response (1xx) precedes the final one.
    if (!std::holds_alternative<HttpComplete>(Step.Progress) ||
        Self.Parser.status_code / 100 != 1)
      return Step;
    Before = Step.Consumed;
    // Interim responses may come without end, so all of them together count as
    // the header section. Each has a status line at least.
    constexpr std::size_t StatusLineBytes = 16;
    const std::size_t HeaderBytes = Self.HeaderBytes + StatusLineBytes;
    Self.reset(HTTP_RESPONSE);
    if (Self.addHeaderBytes(HeaderBytes) != 0)
      return {Step.Consumed, Self.Fault};
  }
}

HttpProgress ResponseParser::end() {
  Collector &Self = *this->Implementation;
  if (!Self.MessageComplete && Self.HeadersComplete)
    parse(Self, {});
  if (Self.MessageComplete)
    return HttpComplete{};
  return HttpMalformed{502, "the connection ended within a response"};
}

bool ResponseParser::started() const { return this->Implementation->Started; }

HttpResponse ResponseParser::take() {
  Collector &Self = *this->Implementation;
  HttpResponse Result;
  Result.Status = Self.Parser.status_code;
  Result.Fields = std::move(Self.Fields);
  Result.Body = std::move(Self.Body);
  Result.Share = std::move(Self.Share);
  Result.KeepAlive = Self.KeepAlive;
  return Result;
}

} // namespace balsamyard
