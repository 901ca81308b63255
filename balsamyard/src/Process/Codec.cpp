#include "balsamyard/src/Process/Codec.h"

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <concepts>
#include <cstring>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>
#include <type_traits>

// Wire format: a struct is encoded as the array of its fields in the order of
// fields() below, a variant as the array [index, value], and a list as an
// array.

namespace balsamyard {

namespace {

using nlohmann::json;

/// Maximum nesting depth of the input. The deepest message is ConfigDelta,
/// which nests documents, edits and lines. Without a limit, the parser would
/// recurse until the stack overflows.
constexpr std::size_t MaxDepth = 8;

/// Longer durations are invalid. Adding them to a clock value could overflow.
constexpr Duration MaxDuration = std::chrono::hours(24);

/// Latest time accepted, about the year 2248. Later times would overflow a
/// 64-bit count of nanoseconds since 1970.
constexpr std::int64_t MaxWallMs = std::int64_t(1) << 43;

/// Satisfied by Message and const Message.
template <typename T, typename Message>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Message>;

template <MaybeConst<LeafItem> T> auto fields(T &M) {
  return std::tie(M.Leaf, M.Slot, M.Attempt, M.Shards);
}

template <MaybeConst<LeafBatch> T> auto fields(T &M) {
  return std::tie(M.Query, M.Request, M.Service, M.Route, M.Version, M.Snapshot,
                  M.TimeLeft, M.Print, M.Body, M.Items);
}

template <MaybeConst<ShardPart> T> auto fields(T &M) {
  return std::tie(M.Shard, M.Weight, M.Rows);
}

template <MaybeConst<LeafReply> T> auto fields(T &M) {
  return std::tie(M.Query, M.Leaf, M.Slot, M.Attempt, M.Result, M.Snapshot,
                  M.Version, M.TargetTime, M.Parts);
}

template <MaybeConst<WriteCommand> T> auto fields(T &M) {
  return std::tie(M.Request, M.Service, M.Route, M.Version, M.Leaf, M.Slot,
                  M.Repeatable, M.TimeLeft, M.Expiry, M.Print, M.Body);
}

template <MaybeConst<WriteReply> T> auto fields(T &M) {
  return std::tie(M.Request, M.Result, M.Ran, M.Version, M.Body);
}

template <MaybeConst<ConfigFetch> T> auto fields(T &M) {
  return std::tie(M.KnownVersion, M.Whole);
}

template <MaybeConst<LineEdit> T> auto fields(T &M) {
  return std::tie(M.First, M.Removed, M.Added);
}

template <MaybeConst<DocumentDelta> T> auto fields(T &M) {
  return std::tie(M.Name, M.From, M.To, M.Digest, M.Edits);
}

template <MaybeConst<ConfigDelta> T> auto fields(T &M) {
  return std::tie(M.To, M.Documents);
}

template <MaybeConst<SlotKey> T> auto fields(T &M) {
  return std::tie(M.Service, M.Leaf, M.Slot);
}

template <MaybeConst<SlotCold> T> auto fields(T &M) { return std::tie(M.Slot); }

template <MaybeConst<SlotLeaving> T> auto fields(T &M) {
  return std::tie(M.Slot);
}

template <MaybeConst<RequestQuarantined> T> auto fields(T &M) {
  return std::tie(M.Print, M.Remaining);
}

template <MaybeConst<VersionRolledBack> T> auto fields(T &M) {
  return std::tie(M.Service, M.Route, M.Version, M.RuleVersion, M.Reason);
}

template <MaybeConst<Notice> T> auto fields(T &M) {
  return std::tie(M.From, M.Body);
}

template <MaybeConst<Evidence> T> auto fields(T &M) {
  return std::tie(M.From, M.Incarnation, M.Service, M.Route, M.Version,
                  M.Requests, M.Errors, M.Slow);
}

template <typename T>
concept Struct = requires(T &Value) {
  fields(Value);
};

template <typename T>
concept NameLike = requires(T Value) {
  { Value.Text } -> std::convertible_to<std::string>;
};

// Encoding.

template <typename T>
requires std::integral<T> json toCbor(T Value) { return Value; }

template <typename T>
requires std::is_enum_v<T> json toCbor(T Value) {
  return static_cast<std::underlying_type_t<T>>(Value);
}

json toCbor(const std::string &Value) { return Value; }

template <NameLike T> json toCbor(const T &Value) { return Value.Text; }

json toCbor(Duration Value) {
  // The time left is negative after the deadline; it is sent as zero.
  return std::max<Duration::rep>(Value.count(), 0);
}

json toCbor(WallTime Value) { return Value.time_since_epoch().count(); }

template <Struct T> json toCbor(const T &Value);

template <typename T> json toCbor(const std::vector<T> &Value) {
  json List = json::array();
  for (const T &Element : Value)
    List.push_back(toCbor(Element));
  return List;
}

template <typename... Ts> json toCbor(const std::variant<Ts...> &Value) {
  json Pair = json::array({Value.index()});
  std::visit(
      [&Pair](const auto &Alternative) { Pair.push_back(toCbor(Alternative)); },
      Value);
  return Pair;
}

template <Struct T> json toCbor(const T &Value) {
  return std::apply(
      [](const auto &...Field) {
        json List = json::array();
        (List.push_back(toCbor(Field)), ...);
        return List;
      },
      fields(Value));
}

// Decoding: the parser flattens the input into a list of items, from which the
// fields are then read in order.

struct ListBegin {
  std::size_t Size = 0;
};

using Item =
    std::variant<ListBegin, std::uint64_t, std::int64_t, bool, std::string>;

bool isUtf8(std::string_view Text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const char *Position = Text.data();
  const char *End = Position + Text.size();
  while (Position != End) {
    // Most text is ASCII; skip it eight bytes at a time.
    std::uint64_t Block = 0;
    while (End - Position >= 8) {
      std::memcpy(&Block, Position, sizeof(Block));
      if ((Block & 0x8080808080808080U) != 0)
        break;
      Position += sizeof(Block);
    }
    if (Position == End)
      break;
    auto Point = Traits::decode(Position, End);
    if (Point == boost::locale::utf::illegal ||
        Point == boost::locale::utf::incomplete)
      return false;
  }
  return true;
}

/// SAX handler that collects the parsed items. A member function that returns
/// false stops the parser.
class Collector {
public:
  using Number = json::number_integer_t;
  using Unsigned = json::number_unsigned_t;

  bool null() { return this->reject("null"); }
  bool boolean(bool Value) { return this->add(Value); }
  bool number_integer(Number Value) { // NOLINT(readability-identifier-naming)
    return this->add(std::int64_t(Value));
  }
  bool number_unsigned( // NOLINT(readability-identifier-naming)
      Unsigned Value) {
    return this->add(std::uint64_t(Value));
  }
  bool number_float( // NOLINT(readability-identifier-naming)
      json::number_float_t /*Value*/, const std::string & /*Text*/) {
    return this->reject("floating-point number");
  }
  bool string(std::string &Value) {
    if (!isUtf8(Value))
      return this->reject("text that is not UTF-8");
    return this->add(std::move(Value));
  }
  bool binary(json::binary_t & /*Value*/) {
    return this->reject("byte string");
  }
  bool start_object( // NOLINT(readability-identifier-naming)
      std::size_t /*Size*/) {
    return this->reject("map");
  }
  bool key(std::string & /*Value*/) { return this->reject("map"); }
  bool end_object() { // NOLINT(readability-identifier-naming)
    return this->reject("map");
  }
  bool start_array(std::size_t Size) { // NOLINT(readability-identifier-naming)
    if (++this->Depth > MaxDepth)
      return this->reject("lists nested too deeply");
    if (Size == std::numeric_limits<std::size_t>::max())
      return this->reject("list of indefinite length");
    return this->add(ListBegin{Size});
  }
  bool end_array() { // NOLINT(readability-identifier-naming)
    --this->Depth;
    return true;
  }
  bool parse_error( // NOLINT(readability-identifier-naming)
      std::size_t Position, const std::string & /*Token*/,
      const json::exception & /*Fault*/) {
    return this->reject("invalid CBOR at byte " + std::to_string(Position));
  }

  std::vector<Item> Items;
  std::string Fault;

private:
  bool add(Item Value) {
    this->Items.push_back(std::move(Value));
    return true;
  }
  bool reject(std::string Reason) {
    this->Fault = std::move(Reason);
    return false;
  }

  std::size_t Depth = 0;
};

/// Reads typed values from the items in order. take() returns false if the next
/// item does not match the type or range of its argument.
class Reader {
public:
  explicit Reader(std::vector<Item> &Items) : Items(Items) {}

  bool done() const { return this->Next == this->Items.size(); }

  template <typename T>
  requires std::unsigned_integral<T>
  bool take(T &Value) {
    const auto *Number = this->next<std::uint64_t>();
    if (!Number || *Number > std::numeric_limits<T>::max())
      return false;
    Value = static_cast<T>(*Number);
    return true;
  }

  bool take(bool &Value) {
    const bool *Flag = this->next<bool>();
    if (Flag)
      Value = *Flag;
    return Flag != nullptr;
  }

  bool take(std::string &Value) {
    std::string *Text = this->next<std::string>();
    if (Text)
      Value = std::move(*Text);
    return Text != nullptr;
  }

  template <NameLike T> bool take(T &Value) { return this->take(Value.Text); }

  bool take(Duration &Value) {
    const auto *Number = this->next<std::uint64_t>();
    if (!Number || *Number > std::uint64_t(MaxDuration.count()))
      return false;
    Value = Duration(static_cast<Duration::rep>(*Number));
    return true;
  }

  bool take(WallTime &Value) {
    const auto *Number = this->next<std::uint64_t>();
    if (!Number || *Number > std::uint64_t(MaxWallMs))
      return false;
    Value =
        WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(*Number)));
    return true;
  }

  bool take(Code &Value) {
    std::uint32_t Number = 0;
    if (!this->take(Number) || Number > 9999)
      return false;
    Value = static_cast<Code>(Number);
    return find(Value) != nullptr;
  }

  bool take(Outcome &Value) {
    std::uint8_t Number = 0;
    if (!this->take(Number) || Number > std::uint8_t(Outcome::Ran))
      return false;
    Value = static_cast<Outcome>(Number);
    return true;
  }

  /// Ids, for which every value of the underlying type is valid.
  template <typename T>
  requires std::same_as<std::underlying_type_t<T>, std::uint64_t>
  bool take(T &Value) {
    std::uint64_t Number = 0;
    if (!this->take(Number))
      return false;
    Value = static_cast<T>(Number);
    return true;
  }

  template <typename T> bool take(std::vector<T> &Value) {
    const auto *List = this->next<ListBegin>();
    // Every element takes at least one item, so a size above the number of
    // remaining items is invalid. The check also bounds the allocation.
    if (!List || List->Size > this->Items.size() - this->Next)
      return false;
    Value.resize(List->Size);
    return std::all_of(Value.begin(), Value.end(),
                       [this](T &Element) { return this->take(Element); });
  }

  template <typename... Ts> bool take(std::variant<Ts...> &Value) {
    std::size_t Index = 0;
    if (!this->takeListHeader(2) || !this->take(Index))
      return false;
    return this->takeAlternative<0>(Value, Index);
  }

  template <Struct T> bool take(T &Value) {
    return std::apply(
        [this](auto &...Field) {
          return this->takeListHeader(sizeof...(Field)) &&
                 (this->take(Field) && ...);
        },
        fields(Value));
  }

private:
  template <typename T> T *next() {
    if (this->done())
      return nullptr;
    return std::get_if<T>(&this->Items[this->Next++]);
  }

  bool takeListHeader(std::size_t Size) {
    const auto *List = this->next<ListBegin>();
    return List && List->Size == Size;
  }

  template <std::size_t Index, typename... Ts>
  bool takeAlternative(std::variant<Ts...> &Value, std::size_t Wanted) {
    if constexpr (Index < sizeof...(Ts)) {
      if (Index == Wanted)
        return this->take(Value.template emplace<Index>());
      return this->takeAlternative<Index + 1>(Value, Wanted);
    } else {
      return false;
    }
  }

  std::vector<Item> &Items;
  std::size_t Next = 0;
};

} // namespace

template <typename Message> std::string encode(const Message &Value) {
  std::string Bytes;
  json::to_cbor(toCbor(Value), Bytes);
  return Bytes;
}

template <typename Message> Expected<Message> decode(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return fail(Code::MalformedMessage, "message of " +
                                            std::to_string(Bytes.size()) +
                                            " bytes exceeds the limit");
  Collector Parsed;
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &Parsed,
                       json::input_format_t::cbor))
    return fail(Code::MalformedMessage, Parsed.Fault);
  Message Value;
  Reader Fields(Parsed.Items);
  if (!Fields.take(Value) || !Fields.done())
    return fail(Code::MalformedMessage,
                "a field is missing, surplus or out of range");
  return Value;
}

template std::string encode(const LeafBatch &);
template Expected<LeafBatch> decode(std::string_view);
template std::string encode(const LeafReply &);
template Expected<LeafReply> decode(std::string_view);
template std::string encode(const WriteCommand &);
template Expected<WriteCommand> decode(std::string_view);
template std::string encode(const WriteReply &);
template Expected<WriteReply> decode(std::string_view);
template std::string encode(const ConfigFetch &);
template Expected<ConfigFetch> decode(std::string_view);
template std::string encode(const ConfigDelta &);
template Expected<ConfigDelta> decode(std::string_view);
template std::string encode(const Notice &);
template Expected<Notice> decode(std::string_view);
template std::string encode(const Evidence &);
template Expected<Evidence> decode(std::string_view);

} // namespace balsamyard
