#pragma once

#include "balsamyard/src/Core/MessageMemory.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace balsamyard {

/// \brief One header field of an HTTP message.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// \returns whether two header names are equal, ignoring case.
bool sameHeaderName(std::string_view Left, std::string_view Right);

/// \returns \p Text without the blanks and tabs at its ends.
std::string_view trimmed(std::string_view Text);

/// \brief Header fields in the order of their receipt.
class HttpFields {
public:
  void add(std::string_view Name, std::string_view Value) {
    this->List.push_back({std::string(Name), std::string(Value)});
  }

  /// \returns the value of the first field of that name, or nullptr.
  const std::string *find(std::string_view Name) const;

  /// \returns the number of fields of that name.
  std::size_t count(std::string_view Name) const;

  /// \returns whether the comma-separated value of a field of that name
  /// contains \p Token, as in "Connection: keep-alive, Upgrade".
  bool hasListElement(std::string_view Name, std::string_view Token) const;

  auto begin() const { return this->List.begin(); }
  auto end() const { return this->List.end(); }
  bool empty() const { return this->List.empty(); }
  std::size_t size() const { return this->List.size(); }
  HttpField &last() { return this->List.back(); }

private:
  std::vector<HttpField> List;
};

/// \brief A complete request. Target is the path with the query string.
struct HttpRequest {
  std::string Method;
  std::string Target;
  HttpFields Fields;
  std::string Body;
  Ref<MessageShare> Share; ///< Of a large message.
  bool KeepAlive = true;
};

/// \brief A complete response.
struct HttpResponse {
  int Status = 0;
  HttpFields Fields;
  std::string Body;
  Ref<MessageShare> Share; ///< Of a large message.
  bool KeepAlive = true;
};

/// \brief A message that is ready to be sent. Its body is apart, so that it
/// need not be copied.
struct EncodedMessage {
  std::string Head; ///< Up to the empty line; all of it if Body is empty.
  std::string Body;
  Ref<MessageShare> Share; ///< Of a large message.

  std::size_t size() const { return this->Head.size() + this->Body.size(); }
};

/// \brief The fields of a message that are hop-by-hop and must not be
/// forwarded: those of RFC 9110, section 7.6.1, and those that its Connection
/// fields list.
class HopByHopFields {
public:
  explicit HopByHopFields(const HttpFields &Fields);

  bool contains(std::string_view Name) const;

private:
  std::vector<std::string> Listed; ///< In lower case and in order.
};

/// \returns the reason phrase of a status.
std::string_view reasonPhrase(int Status);

/// \brief Appends "NAME: VALUE" and CR LF.
void appendField(std::string &Message, std::string_view Name,
                 std::string_view Value);

} // namespace balsamyard
