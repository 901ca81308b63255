#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Version/internal/NameText.h"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamyard::internal {

using Json = nlohmann::json;

/// \brief Parses JSON text; objects with duplicate members are faults.
/// \returns the value, or PlatformMalformed with the expectation.
Expected<Json> parseJson(std::string_view Text);

/// \brief Keeps the first fault that was found in a document.
struct JsonFaults {
  std::string First;

  void report(const std::string &Path, const std::string &Expectation);
  bool none() const { return this->First.empty(); }
  tl::unexpected<Error> error() const {
    return fail(Code::PlatformMalformed, this->First);
  }
};

/// \brief Strict reader of one JSON object: every member that is read is
/// required, and members that were not read are faults.
class JsonObject {
public:
  JsonObject(const Json &Value, std::string Path, JsonFaults &Faults);

  /// \brief Reports the members that were not read.
  ~JsonObject();
  JsonObject(const JsonObject &) = delete;
  JsonObject &operator=(const JsonObject &) = delete;

  bool has(const char *Key) const;
  std::string text(const char *Key);
  bool flag(const char *Key);
  double real(const char *Key);

  /// \returns a non-empty name.
  template <typename NameKind> NameKind name(const char *Key) {
    std::string Text = this->text(Key);
    if (this->Faults.none() && !isName(Text))
      this->Faults.report(this->at(Key), "expected a name");
    return NameKind{std::move(Text)};
  }

  template <std::unsigned_integral T>
  T number(const char *Key, T Min = 0, T Max = std::numeric_limits<T>::max()) {
    const Json *Value = this->member(Key);
    if (!Value)
      return Min;
    if (Value->is_number_unsigned()) {
      auto Read = Value->get<std::uint64_t>();
      if (Read >= Min && Read <= Max)
        return static_cast<T>(Read);
    }
    this->Faults.report(this->at(Key), "expected a whole number from " +
                                           std::to_string(Min) + " to " +
                                           std::to_string(Max));
    return Min;
  }

  /// \returns the elements of an array.
  const Json &array(const char *Key);

  std::string at(const std::string &Key) const { return this->Path + Key; }

private:
  const Json *member(const char *Key);

  const Json &Value;
  std::string Path;
  JsonFaults &Faults;
  std::set<std::string> ReadMembers;
};

/// \returns a JSON array with one element per line, so that line-based deltas
/// stay small.
std::string toLines(const std::vector<Json> &Elements);

} // namespace balsamyard::internal
