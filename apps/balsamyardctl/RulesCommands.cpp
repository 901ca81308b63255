#include "Commands.h"

#include "balsamyard/src/Core/Overload.h"
#include "balsamyard/src/Process/RulesStore.h"
#include "balsamyard/src/Version/Rules.h"
#include "balsamyard/src/Version/RulesDelta.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace balsamyard::ctl {

namespace {

ExitStatus usage(const std::string &Detail) {
  std::cerr << "balsamyardctl: " << Detail << "; see --help\n";
  return BadUsage;
}

ExitStatus report(const Error &Fault) {
  std::cerr << "balsamyardctl: " << static_cast<int>(Fault.Value) << " "
            << name(Fault.Value) << ": " << Fault.Detail << "\n";
  return Unreachable;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

/// Prints every fault of the rules text.
bool isValid(const std::string &Path, const std::string &Text) {
  auto Parsed = parseRules(Text);
  if (Parsed)
    return true;
  for (const RuleFault &Fault : Parsed.error())
    std::cerr << Path << ":" << Fault.Line << ":" << Fault.Column << ": "
              << static_cast<int>(Fault.Value) << " " << name(Fault.Value)
              << ": " << Fault.Expectation << "\n";
  return false;
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  for (std::size_t At = 0; At < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', At), Text.size());
    Lines.push_back(Text.substr(At, End - At));
    At = End + 1;
  }
  return Lines;
}

/// Prints the removed and added lines with their numbers.
void printDiff(const std::string &From, const std::string &To) {
  const std::vector<std::string> Old = linesOf(From);
  for (const LineEdit &Edit : makeDelta(From, To).Edits) {
    std::cout << "@@ line " << Edit.First + 1 << " @@\n";
    for (std::uint32_t Line = Edit.First;
         Line < Edit.First + Edit.Removed && Line < Old.size(); ++Line)
      std::cout << "-" << Old[Line] << "\n";
    for (const std::string &Line : Edit.Added)
      std::cout << "+" << Line << "\n";
  }
}

std::string versionFile(const std::string &Path) { return Path + ".version"; }

/// The version that the file is based on: --base, or what fetch or apply noted.
std::optional<std::uint64_t> baseOf(const Arguments &Given) {
  if (Given.Base)
    return Given.Base;
  std::ifstream Noted(versionFile(Given.Files.front()));
  std::uint64_t Version = 0;
  if (Noted >> Version)
    return Version;
  return std::nullopt;
}

/// Notes the version and the text that the file is now based on.
void noteBase(const std::string &Path, const StoredRules &Base) {
  std::ofstream(versionFile(Path), std::ios::binary) << Base.Version << "\n"
                                                     << Base.Text;
}

/// \returns the text of version \p Base, if it was noted.
std::optional<std::string> baseText(const std::string &Path,
                                    std::uint64_t Base) {
  std::ifstream Noted(versionFile(Path), std::ios::binary);
  std::uint64_t Version = 0;
  if (!(Noted >> Version) || Version != Base || Noted.get() != '\n')
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Noted), {});
}

ExitStatus showConflict(const std::string &Path, const std::string &Text,
                        std::uint64_t Base, const StoredRules &Current) {
  std::cerr << "balsamyardctl: " << static_cast<int>(Code::PlatformConflict)
            << " platform-conflict: version " << Current.Version
            << " is in force and the file is based on version " << Base
            << "; nothing was changed. ";
  if (std::optional<std::string> Since = baseText(Path, Base)) {
    std::cerr << "Another operator changed:\n";
    printDiff(*Since, Current.Text);
  } else {
    std::cerr << "From the version in force to the file:\n";
    printDiff(Current.Text, Text);
  }
  return Conflict;
}

} // namespace

ExitStatus check(const Arguments &Given) {
  if (Given.Files.empty())
    return usage("check needs a rules file");
  bool Valid = true;
  for (const std::string &Path : Given.Files) {
    std::optional<std::string> Text = readFile(Path);
    if (!Text)
      return usage("cannot read " + Path);
    Valid = isValid(Path, *Text) && Valid;
  }
  return Valid ? Success : Faulty;
}

ExitStatus diff(const Arguments &Given) {
  if (Given.Files.size() != 1 || !Given.Platform)
    return usage("diff needs one rules file and --platform");
  std::optional<std::string> Text = readFile(Given.Files.front());
  if (!Text)
    return usage("cannot read " + Given.Files.front());
  PlatformClient Platform(*Given.Platform, Given.Timeout);
  Expected<StoredRules> Current = RulesStore(Platform).read();
  if (!Current)
    return report(Current.error());
  printDiff(Current->Text, *Text);
  return Success;
}

ExitStatus fetch(const Arguments &Given) {
  if (!Given.Platform)
    return usage("fetch needs --platform");
  PlatformClient Platform(*Given.Platform, Given.Timeout);
  Expected<StoredRules> Current = RulesStore(Platform).read();
  if (!Current)
    return report(Current.error());
  if (Given.Out.empty()) {
    std::cout << Current->Text;
    std::cerr << "version " << Current->Version << "\n";
    return Success;
  }
  if (!(std::ofstream(Given.Out, std::ios::binary) << Current->Text))
    return usage("cannot write " + Given.Out);
  noteBase(Given.Out, *Current);
  return Success;
}

ExitStatus apply(const Arguments &Given) {
  if (Given.Files.size() != 1 || !Given.Platform)
    return usage("apply needs one rules file and --platform");
  const std::string &Path = Given.Files.front();
  std::optional<std::string> Text = readFile(Path);
  if (!Text)
    return usage("cannot read " + Path);
  if (!isValid(Path, *Text))
    return Faulty;
  PlatformClient Platform(*Given.Platform, Given.Timeout);
  RulesStore Store(Platform);
  // Without a known base the file may only be the first one.
  const std::uint64_t Base = baseOf(Given).value_or(0);
  Expected<ApplyResult> Result = Store.apply(*Text, Base);
  if (!Result)
    return report(Result.error());
  return std::visit(
      Overload{[&](const RulesAccepted &Accepted) {
                 noteBase(Path, {Accepted.Version, *Text});
                 std::cout << "accepted as version " << Accepted.Version
                           << "\n";
                 return Success;
               },
               [&](const RulesConflict &Other) {
                 return showConflict(Path, *Text, Base, Other.Current);
               },
               [&](const RulesUnconfirmed &Lost) {
                 std::cerr << "balsamyardctl: "
                           << static_cast<int>(Code::PlatformUnavailable)
                           << " platform-unavailable: it is not known whether "
                              "the rules were accepted: "
                           << Lost.Detail << "; run diff to find out\n";
                 return Unclear;
               }},
      *Result);
}

} // namespace balsamyard::ctl
