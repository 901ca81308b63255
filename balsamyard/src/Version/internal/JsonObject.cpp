#include "balsamyard/src/Version/internal/JsonObject.h"

namespace balsamyard::internal {

Expected<Json> parseJson(std::string_view Text) {
  std::vector<std::set<std::string>> Open;
  std::string Duplicate;
  // The parser itself accepts duplicate members and keeps the last one.
  auto Check = [&](int, Json::parse_event_t Event, Json &Parsed) {
    if (Event == Json::parse_event_t::object_start)
      Open.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      Open.pop_back();
    else if (Event == Json::parse_event_t::key &&
             !Open.back().insert(Parsed.get<std::string>()).second)
      Duplicate = Parsed.get<std::string>();
    return true;
  };
  try {
    Json Result = Json::parse(Text.begin(), Text.end(), Check);
    if (!Duplicate.empty())
      return fail(Code::PlatformMalformed,
                  "expected member \"" + Duplicate + "\" once");
    return Result;
  } catch (const Json::parse_error &Fault) {
    return fail(Code::PlatformMalformed,
                "expected JSON, fault at byte " + std::to_string(Fault.byte));
  } catch (const Json::out_of_range &) {
    return fail(Code::PlatformMalformed, "expected numbers within range");
  }
}

void JsonFaults::report(const std::string &Path,
                        const std::string &Expectation) {
  if (this->none())
    this->First = Path + ": " + Expectation;
}

JsonObject::JsonObject(const Json &Value, std::string Path, JsonFaults &Faults)
    : Value(Value), Path(std::move(Path)), Faults(Faults) {
  if (!Value.is_object())
    this->Faults.report(this->Path, "expected an object");
}

JsonObject::~JsonObject() {
  if (!this->Faults.none() || !this->Value.is_object())
    return;
  for (const auto &Member : this->Value.items())
    if (!this->ReadMembers.contains(Member.key()))
      this->Faults.report(this->at(Member.key()), "expected no such member");
}

bool JsonObject::has(const char *Key) const {
  return this->Value.is_object() && this->Value.contains(Key);
}

const Json *JsonObject::member(const char *Key) {
  this->ReadMembers.insert(Key);
  if (!this->Value.is_object())
    return nullptr;
  auto Found = this->Value.find(Key);
  if (Found == this->Value.end()) {
    this->Faults.report(this->at(Key), "expected this member");
    return nullptr;
  }
  return &*Found;
}

std::string JsonObject::text(const char *Key) {
  const Json *Found = this->member(Key);
  if (Found && Found->is_string())
    return Found->get<std::string>();
  this->Faults.report(this->at(Key), "expected a text");
  return {};
}

bool JsonObject::flag(const char *Key) {
  const Json *Found = this->member(Key);
  if (Found && Found->is_boolean())
    return Found->get<bool>();
  this->Faults.report(this->at(Key), "expected true or false");
  return false;
}

double JsonObject::real(const char *Key) {
  const Json *Found = this->member(Key);
  if (Found && Found->is_number())
    return Found->get<double>();
  this->Faults.report(this->at(Key), "expected a number");
  return 0;
}

const Json &JsonObject::array(const char *Key) {
  static const Json Empty = Json::array();
  const Json *Found = this->member(Key);
  if (Found && Found->is_array())
    return *Found;
  this->Faults.report(this->at(Key), "expected an array");
  return Empty;
}

std::string toLines(const std::vector<Json> &Elements) {
  std::string Text = "[\n";
  for (std::size_t Index = 0; Index < Elements.size(); ++Index)
    Text +=
        Elements[Index].dump() + (Index + 1 < Elements.size() ? ",\n" : "\n");
  return Text + "]";
}

} // namespace balsamyard::internal
