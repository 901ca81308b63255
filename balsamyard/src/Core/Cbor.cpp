#include "balsamyard/src/Core/Cbor.h"

namespace balsamyard {

namespace {

using Json = nlohmann::json;

/// Accepts documents that the decoder can turn into a value: it throws for
/// excessive lengths and does not limit the depth.
class ShapeCheck : public Json::json_sax_t {
public:
  explicit ShapeCheck(std::size_t Bytes) : MaxLength(Bytes) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(std::size_t Length) override { return this->enter(Length); }
  bool end_object() override { return this->leave(); }
  bool start_array(std::size_t Length) override { return this->enter(Length); }
  bool end_array() override { return this->leave(); }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  /// Each element takes at least one byte. Containers of unknown length state
  /// the largest number.
  bool enter(std::size_t Length) {
    const bool Unknown = Length == static_cast<std::size_t>(-1);
    return (Unknown || Length <= this->MaxLength) &&
           ++this->Depth <= MaxCborDepth;
  }
  bool leave() {
    --this->Depth;
    return true;
  }

  const std::size_t MaxLength;
  std::size_t Depth = 0;
};

} // namespace

std::optional<Json> parseCbor(std::string_view Bytes) {
  ShapeCheck Shape(Bytes.size());
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Shape,
                       Json::input_format_t::cbor))
    return std::nullopt;
  Json Result = Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (Result.is_discarded())
    return std::nullopt;
  return Result;
}

std::string toCbor(const Json &Document) {
  std::string Result;
  Json::to_cbor(Document, Result);
  return Result;
}

} // namespace balsamyard
