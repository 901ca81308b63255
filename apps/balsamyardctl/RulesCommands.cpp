#include "apps/balsamyardctl/Commands.h"
#include "balsamyard/src/Process/RulesStore.h"
#include "balsamyard/src/Version/RulesDelta.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace balsamyard::ctl {

namespace {

/// Changed lines that are shown after a conflict.
constexpr int MaxShownLines = 100;

std::optional<std::string> fileArgument(const cxxopts::ParseResult &Options) {
  if (Options.count("subject") &&
      Options["subject"].as<std::vector<std::string>>().size() == 1)
    return Options["subject"].as<std::vector<std::string>>().front();
  std::cerr << "balsamyardctl: expected one FILE\n";
  return std::nullopt;
}

/// The file beside a rules file that keeps the version and the text it was
/// fetched as.
std::string baseFile(const std::string &File) { return File + ".base"; }

bool writeFile(const std::string &Path, const std::string &Text) {
  // A rename leaves either the old or the new file.
  const std::string Next = Path + ".new";
  std::ofstream Stream(Next, std::ios::binary);
  Stream << Text;
  Stream.close();
  if (Stream && std::rename(Next.c_str(), Path.c_str()) == 0)
    return true;
  std::cerr << Path << ": cannot be written\n";
  return false;
}

/// \returns the rules that \p File was fetched as, or nothing.
std::optional<StoredRules> readBase(const std::string &File) {
  std::ifstream Stream(baseFile(File), std::ios::binary);
  StoredRules Base;
  if (!(Stream >> Base.Version) || Stream.get() != '\n')
    return std::nullopt;
  Base.Text.assign(std::istreambuf_iterator<char>(Stream), {});
  return Base;
}

bool writeBase(const std::string &File, const StoredRules &Base) {
  return writeFile(baseFile(File),
                   std::to_string(Base.Version) + "\n" + Base.Text);
}

/// \returns the text of the file if it has no faults.
std::optional<std::string> checkedFile(const std::string &File, int &Status) {
  std::optional<std::string> Text = readFile(File);
  if (!Text) {
    Status = Failure;
    return std::nullopt;
  }
  auto Parsed = parseRules(*Text);
  if (Parsed)
    return Text;
  for (const RuleFault &Fault : Parsed.error())
    std::cerr << toText(File, Fault) << "\n";
  Status = BadRules;
  return std::nullopt;
}

/// \returns at most the first MaxShownLines lines.
std::string shortened(const std::string &Text) {
  std::size_t End = 0;
  for (int Line = 0; Line < MaxShownLines; ++Line) {
    std::size_t Next = Text.find('\n', End);
    if (Next == std::string::npos)
      return Text;
    End = Next + 1;
  }
  return Text.substr(0, End) + "...\n";
}

/// \param Since is the text of the base, if it is known.
int reportConflict(const std::optional<std::string> &Since,
                   const std::string &Own, const StoredRules &Newest,
                   std::uint64_t Base) {
  std::cerr << "Nothing was applied: the file is based on version " << Base
            << ", but the accepted rules have version " << Newest.Version
            << ". "
            << (Since ? "Another operator changed:\n"
                      : "They differ from the file by:\n")
            << shortened(diffText(Since.value_or(Own), Newest.Text))
            << "Fetch the newest rules, repeat your change and apply again.\n";
  return ConflictFound;
}

} // namespace

std::string toText(const std::string &File, const RuleFault &Fault) {
  std::ostringstream Line;
  Line << File << ":" << Fault.Line << ":" << Fault.Column << ": "
       << static_cast<int>(Fault.Value) << " " << name(Fault.Value) << ": "
       << Fault.Expectation;
  return Line.str();
}

std::string diffText(std::string_view From, std::string_view To) {
  std::vector<std::string> Old;
  std::istringstream Lines{std::string(From)};
  for (std::string Line; std::getline(Lines, Line);)
    Old.push_back(Line);
  std::ostringstream Text;
  std::int64_t Shift = 0;
  for (const LineEdit &Edit : makeDelta(From, To).Edits) {
    for (std::size_t Line = Edit.First;
         Line < Edit.First + Edit.Removed && Line < Old.size(); ++Line)
      Text << "-" << Line + 1 << ": " << Old[Line] << "\n";
    auto At = static_cast<std::int64_t>(Edit.First) + Shift;
    for (const std::string &Line : Edit.Added) {
      ++At;
      // The text after the last line end is an empty line.
      if (!Line.empty() || Edit.First < Old.size())
        Text << "+" << At << ": " << Line << "\n";
    }
    Shift += static_cast<std::int64_t>(Edit.Added.size()) - Edit.Removed;
  }
  return Text.str();
}

int runCheck(const cxxopts::ParseResult &Options) {
  std::optional<std::string> File = fileArgument(Options);
  if (!File)
    return BadUsage;
  int Status = Success;
  if (checkedFile(*File, Status))
    std::cout << *File << ": no faults\n";
  return Status;
}

int runDiff(const cxxopts::ParseResult &Options) {
  std::optional<std::string> File = fileArgument(Options);
  std::optional<Endpoint> Platform = addressOption(Options, "platform");
  if (!File || !Platform)
    return BadUsage;
  int Status = Success;
  std::optional<std::string> Text = checkedFile(*File, Status);
  if (!Text)
    return Status;
  PlatformClient Client(*Platform, CallTimeout);
  Expected<StoredRules> Newest = readRules(Client);
  if (!Newest)
    return report(Newest.error());
  std::cout << diffText(Newest->Text, *Text);
  return Newest->Text == *Text ? Success : Differs;
}

int runFetch(const cxxopts::ParseResult &Options) {
  std::optional<std::string> File = fileArgument(Options);
  std::optional<Endpoint> Platform = addressOption(Options, "platform");
  if (!File || !Platform)
    return BadUsage;
  PlatformClient Client(*Platform, CallTimeout);
  Expected<StoredRules> Newest = readRules(Client);
  if (!Newest)
    return report(Newest.error());
  if (!writeFile(*File, Newest->Text) || !writeBase(*File, *Newest))
    return Failure;
  std::cout << *File << ": rules of version " << Newest->Version << "\n";
  return Success;
}

int runApply(const cxxopts::ParseResult &Options) {
  std::optional<std::string> File = fileArgument(Options);
  std::optional<Endpoint> Platform = addressOption(Options, "platform");
  if (!File || !Platform)
    return BadUsage;
  int Status = Success;
  std::optional<std::string> Text = checkedFile(*File, Status);
  if (!Text)
    return Status;
  PlatformClient Client(*Platform, CallTimeout);
  Expected<StoredRules> Newest = readRules(Client);
  if (!Newest)
    return report(Newest.error());

  std::optional<StoredRules> Fetched = readBase(*File);
  std::uint64_t Base = Fetched ? Fetched->Version : 0;
  if (Options.count("base"))
    Base = Options["base"].as<std::uint64_t>();
  std::optional<std::string> Since;
  if (Fetched && Fetched->Version == Base)
    Since = Fetched->Text;
  if (Newest->Version != Base)
    return reportConflict(Since, *Text, *Newest, Base);

  ApplyResult Result = applyRules(Client, *Text, Base);
  switch (Result.Outcome) {
  case ApplyOutcome::Accepted:
    std::cout << "Accepted as version " << Result.Version
              << (Result.ReadBack ? " (an answer was lost; found by reading "
                                    "the rules back)\n"
                                  : "\n");
    return writeBase(*File, {*Text, Result.Version}) ? Success : Failure;
  case ApplyOutcome::Conflict:
    Newest = readRules(Client);
    if (!Newest) {
      std::cerr << "Nothing was applied: another operator changed the rules.\n";
      return ConflictFound;
    }
    return reportConflict(Since, *Text, *Newest, Base);
  case ApplyOutcome::Refused:
    std::cerr << "Nothing was applied.\n";
    return report(Result.Fault);
  case ApplyOutcome::Unknown:
    break;
  }
  report(Result.Fault);
  std::cerr << "It is not known whether the rules were accepted. Run diff to "
               "see which rules are in force.\n";
  return OutcomeUnclear;
}

} // namespace balsamyard::ctl
