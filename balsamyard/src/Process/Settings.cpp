#include "balsamyard/src/Process/Settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <sstream>
#include <toml++/toml.h>

namespace balsamyard {

namespace {

/// Names are part of every gossip message, whose size is bounded.
constexpr std::size_t MaxNameBytes = 48;

/// Reads values from a TOML document and collects all errors.
class Reader {
public:
  explicit Reader(const toml::table &Root) : Root(Root) {}

  std::vector<SettingsFault> Faults;

  /// A table of the document and the keys that are allowed in it.
  struct Section {
    std::string_view Name;
    std::vector<std::string_view> Keys;
  };

  /// Reports tables and keys that are not in \p Sections.
  void rejectUnknown(const std::vector<Section> &Sections) {
    for (const auto &[RootKey, Node] : this->Root) {
      const toml::key &Key = RootKey;
      auto Found = std::find_if(
          Sections.begin(), Sections.end(),
          [&](const Section &Item) { return Item.Name == Key.str(); });
      if (Found == Sections.end()) {
        this->add(Code::SettingsUnknownKey, Key.source(),
                  "unknown key '" + std::string(Key.str()) +
                      "', expected one of" + sectionNames(Sections));
        continue;
      }
      const toml::table *Table = Node.as_table();
      if (!Table) {
        this->add(Code::SettingsBadValue, Node.source(),
                  "'" + std::string(Key.str()) +
                      "' has a wrong type, expected a table");
        continue;
      }
      for (const auto &[Inner, Value] : *Table)
        if (std::find(Found->Keys.begin(), Found->Keys.end(), Inner.str()) ==
            Found->Keys.end()) {
          std::string Names;
          for (std::string_view Name : Found->Keys)
            Names += " " + std::string(Name);
          this->add(Code::SettingsUnknownKey, Inner.source(),
                    "unknown key '" + path(Found->Name, Inner.str()) +
                        "', expected one of" + Names);
        }
    }
  }

  /// Reads a required name of letters, digits, '.', '_' and '-'.
  template <typename NameType>
  void name(std::string_view Table, std::string_view Key, NameType &Result) {
    const toml::node *Node = this->required(Table, Key, "a name");
    if (!Node)
      return;
    std::optional<std::string> Text = Node->value_exact<std::string>();
    auto IsNameChar = [](char Char) {
      return (Char >= 'a' && Char <= 'z') || (Char >= 'A' && Char <= 'Z') ||
             (Char >= '0' && Char <= '9') || Char == '.' || Char == '_' ||
             Char == '-';
    };
    if (!Text || Text->empty() || Text->size() > MaxNameBytes ||
        !std::all_of(Text->begin(), Text->end(), IsNameChar))
      return this->add(Code::SettingsBadValue, Node->source(),
                       "'" + path(Table, Key) +
                           "' expected a text of 1 to 48 letters, digits, "
                           "'.', '_' or '-'");
    Result.Text = *Text;
  }

  void endpoint(std::string_view Table, std::string_view Key,
                Endpoint &Result) {
    if (const toml::node *Node =
            this->required(Table, Key, "an IP address with port"))
      this->endpointValue(path(Table, Key), *Node, Result);
  }

  void endpoints(std::string_view Table, std::string_view Key,
                 std::vector<Endpoint> &Result) {
    const toml::node *Node = this->optional(Table, Key);
    if (!Node)
      return;
    const toml::array *Items = Node->as_array();
    if (!Items)
      return this->add(Code::SettingsBadValue, Node->source(),
                       "'" + path(Table, Key) +
                           "' expected an array of \"IP:PORT\"");
    for (const toml::node &Item : *Items) {
      Endpoint Value;
      if (this->endpointValue(path(Table, Key), Item, Value))
        Result.push_back(Value);
    }
  }

  void number(std::string_view Table, std::string_view Key, std::uint32_t Min,
              std::uint32_t Max, std::uint32_t &Result) {
    const toml::node *Node = this->optional(Table, Key);
    if (!Node)
      return;
    std::optional<std::int64_t> Value = Node->value_exact<std::int64_t>();
    if (!Value || *Value < Min || *Value > Max)
      return this->add(Code::SettingsBadValue, Node->source(),
                       "'" + path(Table, Key) + "' expected a whole number " +
                           std::to_string(Min) + " to " + std::to_string(Max));
    Result = static_cast<std::uint32_t>(*Value);
  }

  void text(std::string_view Table, std::string_view Key, std::string &Result) {
    const toml::node *Node = this->optional(Table, Key);
    if (!Node)
      return;
    std::optional<std::string> Value = Node->value_exact<std::string>();
    if (!Value)
      return this->add(Code::SettingsBadValue, Node->source(),
                       "'" + path(Table, Key) + "' expected a text");
    Result = *Value;
  }

private:
  const toml::table &Root;

  static std::string path(std::string_view Table, std::string_view Key) {
    return std::string(Table) + "." + std::string(Key);
  }

  static std::string sectionNames(const std::vector<Section> &Sections) {
    std::string Names;
    for (const Section &Item : Sections)
      Names += " [" + std::string(Item.Name) + "]";
    return Names;
  }

  void add(Code Value, const toml::source_region &Region, std::string Detail) {
    this->Faults.push_back(
        {Value, static_cast<std::uint32_t>(Region.begin.line),
         static_cast<std::uint32_t>(Region.begin.column), std::move(Detail)});
  }

  const toml::node *optional(std::string_view Table, std::string_view Key) {
    const toml::node *Section = this->Root.get(Table);
    const toml::table *Inner = Section ? Section->as_table() : nullptr;
    return Inner ? Inner->get(Key) : nullptr;
  }

  const toml::node *required(std::string_view Table, std::string_view Key,
                             std::string_view Kind) {
    if (const toml::node *Node = this->optional(Table, Key))
      return Node;
    const toml::node *Section = this->Root.get(Table);
    this->add(Code::SettingsMissingKey,
              Section ? Section->source() : toml::source_region{},
              "missing key '" + path(Table, Key) + "', expected " +
                  std::string(Kind));
    return nullptr;
  }

  bool endpointValue(const std::string &Path, const toml::node &Node,
                     Endpoint &Result) {
    std::optional<std::string> Text = Node.value_exact<std::string>();
    Expected<Endpoint> Value =
        Text ? parseEndpoint(*Text)
             : fail(Code::SettingsBadValue, "expected a text \"IP:PORT\"");
    if (!Value) {
      this->add(Code::SettingsBadValue, Node.source(),
                "'" + Path + "' " + Value.error().Detail);
      return false;
    }
    Result = *Value;
    return true;
  }
};

} // namespace

bool isIpAddress(std::string_view Text) {
  std::string Copy(Text);
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Copy.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Copy.c_str(), Bytes.data()) == 1;
}

Expected<Endpoint> parseEndpoint(std::string_view Text) {
  auto Bad = [] {
    return fail(Code::SettingsBadValue,
                "expected \"IPV4:PORT\" or \"[IPV6]:PORT\" with an IP number "
                "and a port 0 to 65535");
  };
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Bad();
  std::string_view Address = Text.substr(0, Colon);
  std::string_view Digits = Text.substr(Colon + 1);
  bool Bracketed =
      Address.size() > 2 && Address.front() == '[' && Address.back() == ']';
  if (Bracketed)
    Address = Address.substr(1, Address.size() - 2);
  bool HasColon = Address.find(':') != std::string_view::npos;
  if (HasColon != Bracketed || !isIpAddress(Address))
    return Bad();
  std::uint16_t Port = 0;
  auto [End, Fault] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Digits.empty() || Fault != std::errc() ||
      End != Digits.data() + Digits.size())
    return Bad();
  return Endpoint{std::string(Address), Port};
}

tl::expected<Settings, std::vector<SettingsFault>>
parseSettings(std::string_view Text) {
  toml::table Root;
  try {
    Root = toml::parse(Text);
  } catch (const toml::parse_error &Fault) {
    return tl::unexpected(std::vector<SettingsFault>{
        {Code::SettingsSyntax,
         static_cast<std::uint32_t>(Fault.source().begin.line),
         static_cast<std::uint32_t>(Fault.source().begin.column),
         std::string(Fault.description())}});
  }

  Settings Result;
  Reader Input(Root);
  Input.rejectUnknown(
      {{"node", {"name", "domain", "region"}},
       {"listen", {"http", "peer", "gossip"}},
       {"platform", {"address"}},
       {"peers", {"seeds"}},
       {"limits",
        {"caller_threads", "worker_threads", "in_flight", "body_bytes"}},
       {"log", {"file"}}});
  Input.name("node", "name", Result.Node);
  Input.name("node", "domain", Result.Domain);
  Input.name("node", "region", Result.Region);
  Input.endpoint("listen", "http", Result.Http);
  Input.endpoint("listen", "peer", Result.Peer);
  Input.endpoint("listen", "gossip", Result.Gossip);
  Input.endpoint("platform", "address", Result.Platform);
  Input.endpoints("peers", "seeds", Result.Seeds);
  Input.number("limits", "caller_threads", 1, 4096, Result.CallerThreads);
  Input.number("limits", "worker_threads", 1, 4096, Result.WorkerThreads);
  Input.number("limits", "in_flight", 1, 1 << 20, Result.InFlight);
  Input.number("limits", "body_bytes", 1024, 1 << 26, Result.BodyBytes);
  Input.text("log", "file", Result.LogFile);
  if (!Input.Faults.empty()) {
    std::stable_sort(Input.Faults.begin(), Input.Faults.end(),
                     [](const SettingsFault &A, const SettingsFault &B) {
                       return std::pair(A.Line, A.Column) <
                              std::pair(B.Line, B.Column);
                     });
    return tl::unexpected(std::move(Input.Faults));
  }
  return Result;
}

tl::expected<Settings, std::vector<SettingsFault>>
readSettings(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return tl::unexpected(std::vector<SettingsFault>{
        {Code::SettingsUnreadable, 0, 0, "cannot read '" + Path + "'"}});
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  return parseSettings(Text);
}

} // namespace balsamyard
