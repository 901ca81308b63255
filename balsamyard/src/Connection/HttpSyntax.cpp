#include "balsamyard/src/Connection/HttpSyntax.h"

#include "balsamyard/src/Core/Overload.h"

#include <array>
#include <optional>
#include <utility>

namespace balsamyard {

namespace {

bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

bool isBlank(char Byte) { return Byte == ' ' || Byte == '\t'; }

bool isHexDigit(char Byte) {
  return isDigit(Byte) || (Byte >= 'a' && Byte <= 'f') ||
         (Byte >= 'A' && Byte <= 'F');
}

/// \returns a table of the bytes that a name may consist of.
constexpr std::array<bool, 256> makeTokenTable() {
  std::array<bool, 256> Table{};
  for (const unsigned char Byte : std::string_view("!#$%&'*+-.^_`|~0123456789"))
    Table[Byte] = true;
  for (unsigned char Letter = 0; Letter < 26; ++Letter)
    Table['a' + Letter] = Table['A' + Letter] = true;
  return Table;
}

bool isToken(char Byte) {
  static constexpr std::array<bool, 256> Table = makeTokenTable();
  return Table[static_cast<unsigned char>(Byte)];
}

bool isText(char Byte) {
  const auto Value = static_cast<unsigned char>(Byte);
  return Byte == '\t' || (Value >= 0x20 && Value != 0x7f);
}

enum class LineProgress { Incomplete, Complete, Malformed };

/// Reads \p Bytes up to the LF of \p Current. \p Used counts the bytes of the
/// line.
template <typename Line>
LineProgress readLine(Line &Current, bool &AfterReturn, std::string_view Bytes,
                      std::size_t &Used) {
  for (const char Byte : Bytes) {
    ++Used;
    if (AfterReturn) {
      AfterReturn = false;
      return Byte == '\n' ? LineProgress::Complete : LineProgress::Malformed;
    }
    if (Byte == '\r' && Current.isComplete())
      AfterReturn = true;
    else if (!Current.accept(Byte))
      return LineProgress::Malformed;
  }
  return LineProgress::Incomplete;
}

/// \returns the line that follows in the same section, if any.
std::optional<HttpLine> lineAfter(const HttpLine &Line) {
  using Next = std::optional<HttpLine>;
  return std::visit(
      Overload{[](const StatusLine &) { return Next(FieldLine()); },
               [](const RequestLine &Request) {
                 return Request.isEmpty() ? Next(RequestLine())
                                          : Next(FieldLine());
               },
               [](const FieldLine &Field) {
                 return Field.isEmpty() ? Next() : Next(FieldLine());
               },
               [](const auto &) { return Next(); }},
      Line);
}

} // namespace

bool StatusLine::accept(char Byte) {
  // Any minor version is read as HTTP/1.1, as RFC 9110, section 2.5, asks for.
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::size_t SpaceAt = Version.size() + 1;
  constexpr std::size_t ReasonAt = SpaceAt + 4;
  const std::size_t At = this->Length++;
  if (At < Version.size())
    return Byte == Version[At];
  if (At == SpaceAt || At == ReasonAt)
    return Byte == ' ';
  return At < ReasonAt ? isDigit(Byte) : isText(Byte);
}

bool StatusLine::isComplete() const {
  constexpr std::size_t WithoutReason = std::string_view("HTTP/1.1 200").size();
  return this->Length >= WithoutReason;
}

bool RequestLine::accept(char Byte) {
  this->Empty = false;
  return isText(Byte) && Byte != '\t';
}

bool FieldLine::accept(char Byte) {
  if (this->InValue)
    return isText(Byte);
  if (Byte == ':' && !this->Empty) {
    this->InValue = true;
    return true;
  }
  this->Empty = false;
  return isToken(Byte);
}

bool ChunkSizeLine::accept(char Byte) {
  if (this->InExtension)
    return isText(Byte);
  if (isHexDigit(Byte) && !this->AfterDigits) {
    this->HasDigits = true;
    return true;
  }
  this->AfterDigits = true;
  this->InExtension = Byte == ';';
  return this->HasDigits && (this->InExtension || isBlank(Byte));
}

SectionStep SectionSyntax::read(std::string_view Bytes) {
  SectionStep Step;
  while (Step.Length < Bytes.size()) {
    const auto [Progress, Fault] = std::visit(
        [&](auto &Current) {
          return std::pair(readLine(Current, this->AfterReturn,
                                    Bytes.substr(Step.Length), Step.Length),
                           Current.Fault);
        },
        this->Line);
    if (Progress == LineProgress::Malformed)
      return {Step.Length, SectionMalformed{Fault}};
    if (Progress == LineProgress::Incomplete)
      break;
    const std::optional<HttpLine> Next = lineAfter(this->Line);
    if (!Next)
      return {Step.Length, SectionComplete{}};
    this->Line = *Next;
  }
  return Step;
}

} // namespace balsamyard
