#pragma once

#include <cstddef>
#include <string_view>
#include <variant>

namespace balsamyard {

/// \brief The line "HTTP/1.1 200 OK", or without the reason.
class StatusLine {
public:
  static constexpr std::string_view Fault = "the status line is malformed";

  bool accept(char Byte);
  bool isComplete() const;

private:
  std::size_t Length = 0;
};

/// \brief The line "GET / HTTP/1.1". Its parts are left to http-parser.
class RequestLine {
public:
  static constexpr std::string_view Fault = "the request line is malformed";

  bool accept(char Byte);
  bool isComplete() const { return true; }

  /// \returns whether the line has no bytes, which may precede a request.
  bool isEmpty() const { return this->Empty; }

private:
  bool Empty = true;
};

/// \brief The line "Name: value", or the empty line that ends a section.
class FieldLine {
public:
  static constexpr std::string_view Fault =
      "a header field has forbidden characters";

  bool accept(char Byte);
  bool isComplete() const { return this->InValue || this->Empty; }
  bool isEmpty() const { return this->Empty; }

private:
  bool Empty = true;
  bool InValue = false;
};

/// \brief The line in front of a chunk: "1a2b", or "1a2b;name=value".
class ChunkSizeLine {
public:
  static constexpr std::string_view Fault = "the size of a chunk is malformed";

  bool accept(char Byte);
  bool isComplete() const { return this->HasDigits; }

private:
  bool HasDigits = false;
  bool AfterDigits = false;
  bool InExtension = false;
};

/// \brief The line end behind the bytes of a chunk.
class ChunkEndLine {
public:
  static constexpr std::string_view Fault = "a chunk has the wrong size";

  bool accept(char /*Byte*/) { return false; }
  bool isComplete() const { return true; }
};

using HttpLine = std::variant<StatusLine, RequestLine, FieldLine, ChunkSizeLine,
                              ChunkEndLine>;

/// \brief The section goes on.
struct SectionIncomplete {};

/// \brief The last line of the section was read.
struct SectionComplete {};

/// \brief The section has a byte that RFC 9112 does not allow there.
struct SectionMalformed {
  std::string_view Reason;
};

using SectionProgress =
    std::variant<SectionIncomplete, SectionComplete, SectionMalformed>;

/// \brief Number of bytes that belong to the section, and the progress.
struct SectionStep {
  std::size_t Length = 0;
  SectionProgress Progress;
};

/// \brief Checks one section of lines of an HTTP/1.1 message: its head, the
/// size or the end of a chunk, or the trailer fields.
///
/// http-parser accepts lines that another reader of the same bytes takes
/// differently: it folds fields, takes any byte for the LF behind some CRs, and
/// has no bound for a status. Bytes that passed this check have one meaning.
class SectionSyntax {
public:
  /// \brief Starts a section whose first line is of the kind of \p First.
  explicit SectionSyntax(HttpLine First) : Line(First) {}

  /// \brief Checks up to the end of the section.
  SectionStep read(std::string_view Bytes);

private:
  HttpLine Line;
  bool AfterReturn = false; ///< The last byte was a CR.
};

} // namespace balsamyard
