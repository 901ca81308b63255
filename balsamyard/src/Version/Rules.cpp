#include "balsamyard/src/Version/Rules.h"

#include "balsamyard/src/Version/internal/NameText.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <sstream>
#include <type_traits>

namespace balsamyard {

namespace {

bool matchesPattern(std::string_view Pattern, std::string_view Text) {
  if (!Pattern.empty() && Pattern.back() == '*')
    return Text.starts_with(Pattern.substr(0, Pattern.size() - 1));
  return Pattern == Text;
}

/// \returns the first rule of kind \p Kind that covers the route, or nullptr.
template <typename Kind>
const Kind *firstMatch(const std::vector<Rule> &Lines,
                       const ServiceName &Service, const RouteName &Route) {
  for (const Rule &Line : Lines)
    if (const Kind *Body = std::get_if<Kind>(&Line.Body))
      if (Body->Scope.matches(Service, Route))
        return Body;
  return nullptr;
}

} // namespace

bool RuleScope::matches(const ServiceName &Name, const RouteName &Path) const {
  return matchesPattern(this->Service, Name.Text) &&
         matchesPattern(this->Route, Path.Text);
}

SearchRule Rules::searchFor(const ServiceName &Service,
                            const RouteName &Route) const {
  const auto *Found = firstMatch<SearchRule>(this->Lines, Service, Route);
  return Found ? *Found : SearchRule{};
}

WriteRule Rules::writeFor(const ServiceName &Service,
                          const RouteName &Route) const {
  const auto *Found = firstMatch<WriteRule>(this->Lines, Service, Route);
  return Found ? *Found : WriteRule{};
}

double Rules::connectionShare(const ServiceName &Service,
                              const RouteName &Route) const {
  const auto *Found = firstMatch<LimitRule>(this->Lines, Service, Route);
  return Found ? Found->Share : 1.0;
}

bool Rules::isDrained(const DomainName &Domain) const {
  for (const Rule &Line : this->Lines)
    if (const auto *Drain = std::get_if<DrainRule>(&Line.Body))
      if (Drain->Domain == Domain)
        return true;
  return false;
}

const MoveRule *Rules::moveFor(const ServiceName &Service,
                               const RouteName &Route) const {
  return firstMatch<MoveRule>(this->Lines, Service, Route);
}

namespace {

constexpr Duration MinDeadline = std::chrono::milliseconds(1);
constexpr Duration MaxDeadline = std::chrono::seconds(60);

/// Hedges may add at most 5% load, so no rule may allow more.
constexpr double MaxHedge = 0.05;

/// \brief A word of a line and its first column, counted from 1.
struct Word {
  std::string_view Text;
  std::uint32_t Column = 1;
};

/// \brief One `key=value` of a line.
struct Setting {
  Word Key;
  Word Value;
  bool Used = false;
};

/// \brief Parses one line and collects its faults.
class LineReader {
public:
  LineReader(std::string_view Text, std::uint32_t Line,
             std::vector<RuleFault> &Faults)
      : Text(Text), Line(Line), Faults(Faults) {}

  /// \returns the rule, or nothing if the line is blank or has faults.
  std::optional<Rule> read();

private:
  void report(Code Value, std::uint32_t Column, std::string Expectation) {
    this->Faults.push_back({Value, this->Line, Column, std::move(Expectation)});
  }

  std::uint32_t endColumn() const {
    return static_cast<std::uint32_t>(this->Text.size()) + 1;
  }

  std::vector<Word> words(std::string_view Part) const;
  Setting *setting(std::string_view Key, bool Required);
  std::optional<RuleBody> readBody(const Word &Kind);

  RuleScope readScope();
  std::string readName(std::string_view Key);
  void readDeadline(Duration &Value);
  void readNumber(std::string_view Key, double Min, bool MinExcluded,
                  double Max, bool Required, double &Value);
  bool readYesOrNo(std::string_view Key);
  WallTime readTime(std::string_view Key);

  std::string_view Text;
  std::uint32_t Line;
  std::vector<RuleFault> &Faults;
  std::vector<Setting> Settings;
  std::uint32_t KindColumn = 1;
};

bool isPattern(std::string_view Text) {
  if (!Text.empty() && Text.back() == '*')
    Text.remove_suffix(1);
  return Text.empty() || internal::isName(Text);
}

constexpr std::string_view Blanks = " \t\r";

std::vector<Word> LineReader::words(std::string_view Part) const {
  std::vector<Word> Result;
  for (std::size_t Begin = Part.find_first_not_of(Blanks);
       Begin != std::string_view::npos;) {
    std::size_t End = std::min(Part.find_first_of(Blanks, Begin), Part.size());
    Result.push_back({Part.substr(Begin, End - Begin),
                      static_cast<std::uint32_t>(Begin) + 1});
    Begin = Part.find_first_not_of(Blanks, End);
  }
  return Result;
}

Setting *LineReader::setting(std::string_view Key, bool Required) {
  for (Setting &Candidate : this->Settings)
    if (Candidate.Key.Text == Key) {
      Candidate.Used = true;
      return &Candidate;
    }
  if (Required)
    this->report(Code::RuleMissingKey, this->KindColumn,
                 "expected " + std::string(Key) + "=");
  return nullptr;
}

RuleScope LineReader::readScope() {
  RuleScope Result;
  if (const Setting *Service = this->setting("service", true))
    Result.Service = Service->Value.Text;
  if (const Setting *Route = this->setting("route", false))
    Result.Route = Route->Value.Text;
  for (const Setting &Part : this->Settings)
    if ((Part.Key.Text == "service" || Part.Key.Text == "route") &&
        (Part.Value.Text.empty() || !isPattern(Part.Value.Text)))
      this->report(Code::RuleBadValue, Part.Value.Column,
                   "expected a name, which may end in *");
  return Result;
}

std::string LineReader::readName(std::string_view Key) {
  const Setting *Found = this->setting(Key, true);
  if (!Found)
    return {};
  if (!internal::isName(Found->Value.Text))
    this->report(Code::RuleBadValue, Found->Value.Column, "expected a name");
  return std::string(Found->Value.Text);
}

void LineReader::readDeadline(Duration &Value) {
  const Setting *Found = this->setting("deadline", false);
  if (!Found)
    return;
  std::string_view Written = Found->Value.Text;
  std::uint32_t Count = 0;
  auto [End, Fault] =
      std::from_chars(Written.data(), Written.data() + Written.size(), Count);
  std::string_view Unit(End, Written.data() + Written.size() - End);
  Duration Read{};
  if (Fault == std::errc() && Unit == "ms")
    Read = std::chrono::milliseconds(Count);
  else if (Fault == std::errc() && Unit == "s")
    Read = std::chrono::seconds(Count);
  if (Read < MinDeadline || Read > MaxDeadline)
    this->report(Code::RuleBadValue, Found->Value.Column,
                 "expected a whole number with unit ms or s, from 1ms to 60s");
  else
    Value = Read;
}

void LineReader::readNumber(std::string_view Key, double Min, bool MinExcluded,
                            double Max, bool Required, double &Value) {
  const Setting *Found = this->setting(Key, Required);
  if (!Found)
    return;
  std::string_view Written = Found->Value.Text;
  double Read = 0;
  auto [End, Fault] =
      std::from_chars(Written.data(), Written.data() + Written.size(), Read);
  bool Whole = Fault == std::errc() && End == Written.data() + Written.size();
  if (Whole && Read >= Min && Read <= Max && !(MinExcluded && Read == Min)) {
    Value = Read;
    return;
  }
  std::ostringstream Range;
  Range << "expected a number " << (MinExcluded ? "above " : "from ") << Min
        << " to " << Max;
  this->report(Code::RuleBadValue, Found->Value.Column, Range.str());
}

bool LineReader::readYesOrNo(std::string_view Key) {
  const Setting *Found = this->setting(Key, false);
  if (!Found)
    return false;
  if (Found->Value.Text != "yes" && Found->Value.Text != "no")
    this->report(Code::RuleBadValue, Found->Value.Column, "expected yes or no");
  return Found->Value.Text == "yes";
}

WallTime LineReader::readTime(std::string_view Key) {
  const Setting *Found = this->setting(Key, true);
  if (!Found)
    return {};
  std::optional<WallTime> Read = parseWallTime(Found->Value.Text);
  if (!Read)
    this->report(Code::RuleBadValue, Found->Value.Column,
                 "expected a time such as 2026-12-05T06:00:00Z");
  return Read.value_or(WallTime{});
}

std::optional<RuleBody> LineReader::readBody(const Word &Kind) {
  if (Kind.Text == "search") {
    SearchRule Body;
    Body.Scope = this->readScope();
    this->readDeadline(Body.Deadline);
    this->readNumber("coverage", 0, false, 1, false, Body.Coverage);
    this->readNumber("hedge", 0, false, MaxHedge, false, Body.Hedge);
    return Body;
  }
  if (Kind.Text == "write") {
    WriteRule Body;
    Body.Scope = this->readScope();
    this->readDeadline(Body.Deadline);
    Body.Repeatable = this->readYesOrNo("repeat");
    return Body;
  }
  if (Kind.Text == "limit") {
    LimitRule Body;
    Body.Scope = this->readScope();
    this->readNumber("share", 0, true, 1, true, Body.Share);
    return Body;
  }
  if (Kind.Text == "drain")
    return DrainRule{DomainName{this->readName("domain")}};
  if (Kind.Text == "move") {
    MoveRule Body;
    Body.Scope = this->readScope();
    Body.To = VersionName{this->readName("to")};
    Body.By = this->readTime("by");
    return Body;
  }
  this->report(Code::RuleUnknownKind, Kind.Column,
               "expected search, write, limit, drain or move");
  return std::nullopt;
}

std::optional<Rule> LineReader::read() {
  std::size_t Hash = this->Text.find('#');
  std::vector<Word> Words = this->words(this->Text.substr(0, Hash));
  if (Words.empty())
    return std::nullopt;
  std::size_t Before = this->Faults.size();

  for (std::size_t Index = 1; Index < Words.size(); ++Index) {
    const Word &Part = Words[Index];
    std::size_t Equals = Part.Text.find('=');
    if (Equals == 0 || Equals == std::string_view::npos) {
      this->report(Code::RuleSyntax, Part.Column, "expected key=value");
      continue;
    }
    Word Key{Part.Text.substr(0, Equals), Part.Column};
    Word Value{Part.Text.substr(Equals + 1),
               Part.Column + static_cast<std::uint32_t>(Equals) + 1};
    bool Repeated = std::any_of(
        this->Settings.begin(), this->Settings.end(),
        [&](const Setting &Other) { return Other.Key.Text == Key.Text; });
    if (Repeated)
      this->report(Code::RuleSyntax, Key.Column,
                   "expected " + std::string(Key.Text) + "= once");
    else
      this->Settings.push_back({Key, Value});
  }

  Rule Result;
  Result.Line = this->Line;
  this->KindColumn = Words.front().Column;
  if (std::optional<RuleBody> Body = this->readBody(Words.front())) {
    Result.Body = std::move(*Body);
    for (const Setting &Unused : this->Settings)
      if (!Unused.Used)
        this->report(Code::RuleUnknownKey, Unused.Key.Column,
                     "expected no " + std::string(Unused.Key.Text) +
                         "= in a rule of this kind");
  }

  if (Hash != std::string_view::npos) {
    std::string_view Comment = this->Text.substr(Hash + 1);
    std::size_t Begin = Comment.find_first_not_of(Blanks);
    if (Begin != std::string_view::npos)
      Result.AskedBy =
          Comment.substr(Begin, Comment.find_last_not_of(Blanks) - Begin + 1);
  }
  if (Result.AskedBy.empty())
    this->report(Code::RuleMissingComment, this->endColumn(),
                 "expected # and who asked for the rule");
  if (this->Faults.size() != Before)
    return std::nullopt;
  return Result;
}

/// \returns a key that at most one rule of a file may have.
std::string conflictKey(const RuleBody &Body) {
  return std::visit(
      [&Body](const auto &Kind) {
        std::string Key = std::to_string(Body.index()) + " ";
        if constexpr (std::is_same_v<std::decay_t<decltype(Kind)>, DrainRule>)
          return Key + Kind.Domain.Text;
        else
          return Key + Kind.Scope.Service + " " + Kind.Scope.Route;
      },
      Body);
}

} // namespace

std::optional<WallTime> parseWallTime(std::string_view Text) {
  constexpr std::string_view Format = "0000-00-00T00:00:00Z";
  if (Text.size() != Format.size())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Format.size(); ++Index) {
    bool Digit = Text[Index] >= '0' && Text[Index] <= '9';
    if (Format[Index] == '0' ? !Digit : Text[Index] != Format[Index])
      return std::nullopt;
  }
  auto Field = [Text](std::size_t Begin, std::size_t Size) {
    int Value = 0;
    for (char Digit : Text.substr(Begin, Size))
      Value = Value * 10 + (Digit - '0');
    return Value;
  };
  std::chrono::year_month_day Day{
      std::chrono::year(Field(0, 4)),
      std::chrono::month(static_cast<unsigned>(Field(5, 2))),
      std::chrono::day(static_cast<unsigned>(Field(8, 2)))};
  if (!Day.ok() || Field(11, 2) > 23 || Field(14, 2) > 59 || Field(17, 2) > 59)
    return std::nullopt;
  return WallTime(std::chrono::sys_days(Day)) +
         std::chrono::hours(Field(11, 2)) + std::chrono::minutes(Field(14, 2)) +
         std::chrono::seconds(Field(17, 2));
}

tl::expected<Rules, std::vector<RuleFault>> parseRules(std::string_view Text) {
  Rules Result;
  std::vector<RuleFault> Faults;
  std::map<std::string, std::uint32_t> LineOfKey;
  std::uint32_t Line = 0;
  for (std::size_t Begin = 0; Begin < Text.size();) {
    std::size_t End = std::min(Text.find('\n', Begin), Text.size());
    LineReader Reader(Text.substr(Begin, End - Begin), ++Line, Faults);
    Begin = End + 1;
    std::optional<Rule> Read = Reader.read();
    if (!Read)
      continue;
    auto [Former, New] = LineOfKey.emplace(conflictKey(Read->Body), Line);
    if (!New)
      Faults.push_back({Code::RuleConflict, Line, 1,
                        "expected one rule of this kind and scope, another "
                        "is in line " +
                            std::to_string(Former->second)});
    Result.Lines.push_back(std::move(*Read));
  }
  if (!Faults.empty())
    return tl::unexpected<std::vector<RuleFault>>(std::move(Faults));
  return Result;
}

} // namespace balsamyard
