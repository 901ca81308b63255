#include "balsamyard/src/Core/Http.h"

#include <algorithm>
#include <array>

namespace balsamyard {

namespace {

char lower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

std::string lower(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](char C) { return lower(C); });
  return Result;
}

/// \returns whether \p Predicate is true for an element of a comma-separated
/// list.
template <typename Function>
bool anyOf(std::string_view List, Function Predicate) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    if (Predicate(trimmed(List.substr(0, Comma))))
      return true;
    if (Comma == std::string_view::npos)
      return false;
    List.remove_prefix(Comma + 1);
  }
  return false;
}

} // namespace

std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

const std::string *HttpFields::find(std::string_view Name) const {
  for (const HttpField &Field : this->List)
    if (sameHeaderName(Field.Name, Name))
      return &Field.Value;
  return nullptr;
}

std::size_t HttpFields::count(std::string_view Name) const {
  return static_cast<std::size_t>(std::count_if(
      this->List.begin(), this->List.end(), [&](const HttpField &Field) {
        return sameHeaderName(Field.Name, Name);
      }));
}

bool HttpFields::hasListElement(std::string_view Name,
                                std::string_view Token) const {
  for (const HttpField &Field : this->List)
    if (sameHeaderName(Field.Name, Name) &&
        anyOf(Field.Value, [&](std::string_view Element) {
          return sameHeaderName(Element, Token);
        }))
      return true;
  return false;
}

HopByHopFields::HopByHopFields(const HttpFields &Fields) {
  for (const HttpField &Field : Fields)
    if (sameHeaderName(Field.Name, "connection"))
      anyOf(Field.Value, [this](std::string_view Element) {
        this->Listed.push_back(lower(Element));
        return false;
      });
  std::sort(this->Listed.begin(), this->Listed.end());
}

bool HopByHopFields::contains(std::string_view Name) const {
  constexpr std::array<std::string_view, 9> Names = {"connection",
                                                     "keep-alive",
                                                     "proxy-connection",
                                                     "proxy-authenticate",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade"};
  for (std::string_view HopByHopName : Names)
    if (sameHeaderName(HopByHopName, Name))
      return true;
  return !this->Listed.empty() &&
         std::binary_search(this->Listed.begin(), this->Listed.end(),
                            lower(Name));
}

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 421:
    return "Misdirected Request";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

void appendField(std::string &Message, std::string_view Name,
                 std::string_view Value) {
  Message.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace balsamyard
