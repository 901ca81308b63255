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
/// \returns whether it has none.
bool checkRules(const std::string &Path, const std::string &Text) {
  auto Parsed = parseRules(Text);
  if (Parsed)
    return true;
  for (const RuleFault &Fault : Parsed.error())
    std::cerr << Path << ":" << Fault.Line << ":" << Fault.Column << ": "
              << static_cast<int>(Fault.Value) << " " << name(Fault.Value)
              << ": " << Fault.Expectation << "\n";
  return false;
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  for (std::size_t Begin = 0; Begin < Text.size();) {
    const std::size_t End = std::min(Text.find('\n', Begin), Text.size());
    Lines.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Lines;
}

/// Prints the removed and added lines with their numbers.
void printDiff(const std::string &From, const std::string &To) {
  const std::vector<std::string> Old = splitLines(From);
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

/// \returns the version that the file is based on: --base, or the one that
/// fetch or apply saved.
std::optional<std::uint64_t> baseOf(const Arguments &Args) {
  if (Args.Base)
    return Args.Base;
  std::ifstream Saved(versionFile(Args.Operands.front()));
  std::uint64_t Version = 0;
  if (Saved >> Version)
    return Version;
  return std::nullopt;
}

/// Saves the version and the text that the file is now based on.
void saveBase(const std::string &Path, const StoredRules &Base) {
  std::ofstream(versionFile(Path), std::ios::binary) << Base.Version << "\n"
                                                     << Base.Text;
}

/// \returns the text of version \p Base, if it was saved.
std::optional<std::string> savedBaseText(const std::string &Path,
                                         std::uint64_t Base) {
  std::ifstream Saved(versionFile(Path), std::ios::binary);
  std::uint64_t Version = 0;
  if (!(Saved >> Version) || Version != Base || Saved.get() != '\n')
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(Saved), {});
}

ExitStatus printConflict(const std::string &Path, const std::string &Text,
                         std::uint64_t Base, const StoredRules &Current) {
  std::cerr << "balsamyardctl: " << static_cast<int>(Code::PlatformConflict)
            << " platform-conflict: version " << Current.Version
            << " is in force and the file is based on version " << Base
            << "; nothing was changed. ";
  if (std::optional<std::string> BaseText = savedBaseText(Path, Base)) {
    std::cerr << "Another operator changed:\n";
    printDiff(*BaseText, Current.Text);
  } else {
    std::cerr << "From the version in force to the file:\n";
    printDiff(Current.Text, Text);
  }
  return Conflict;
}

} // namespace

ExitStatus check(const Arguments &Args) {
  if (Args.Operands.empty())
    return usage("check needs a rules file");
  bool Valid = true;
  for (const std::string &Path : Args.Operands) {
    std::optional<std::string> Text = readFile(Path);
    if (!Text)
      return usage("cannot read " + Path);
    Valid = checkRules(Path, *Text) && Valid;
  }
  return Valid ? Success : FaultsFound;
}

ExitStatus diff(const Arguments &Args) {
  if (Args.Operands.size() != 1 || !Args.Platform)
    return usage("diff needs one rules file and --platform");
  std::optional<std::string> Text = readFile(Args.Operands.front());
  if (!Text)
    return usage("cannot read " + Args.Operands.front());
  PlatformClient Platform(*Args.Platform, Args.Timeout);
  Expected<StoredRules> Current = RulesStore(Platform).read();
  if (!Current)
    return report(Current.error());
  printDiff(Current->Text, *Text);
  return Success;
}

ExitStatus fetch(const Arguments &Args) {
  if (!Args.Platform)
    return usage("fetch needs --platform");
  PlatformClient Platform(*Args.Platform, Args.Timeout);
  Expected<StoredRules> Current = RulesStore(Platform).read();
  if (!Current)
    return report(Current.error());
  if (Args.Out.empty()) {
    std::cout << Current->Text;
    std::cerr << "version " << Current->Version << "\n";
    return Success;
  }
  if (!(std::ofstream(Args.Out, std::ios::binary) << Current->Text))
    return usage("cannot write " + Args.Out);
  saveBase(Args.Out, *Current);
  return Success;
}

ExitStatus apply(const Arguments &Args) {
  if (Args.Operands.size() != 1 || !Args.Platform)
    return usage("apply needs one rules file and --platform");
  const std::string &Path = Args.Operands.front();
  std::optional<std::string> Text = readFile(Path);
  if (!Text)
    return usage("cannot read " + Path);
  if (!checkRules(Path, *Text))
    return FaultsFound;
  PlatformClient Platform(*Args.Platform, Args.Timeout);
  RulesStore Store(Platform);
  // Without a base version, the file can only become the first version.
  const std::uint64_t Base = baseOf(Args).value_or(0);
  Expected<ApplyResult> Result = Store.apply(*Text, Base);
  if (!Result)
    return report(Result.error());
  return std::visit(
      Overload{[&](const RulesAccepted &Accepted) {
                 saveBase(Path, {Accepted.Version, *Text});
                 std::cout << "accepted as version " << Accepted.Version
                           << "\n";
                 return Success;
               },
               [&](const RulesConflict &Other) {
                 return printConflict(Path, *Text, Base, Other.Current);
               },
               [&](const RulesUnconfirmed &Failure) {
                 std::cerr << "balsamyardctl: "
                           << static_cast<int>(Code::PlatformUnavailable)
                           << " platform-unavailable: it is not known whether "
                              "the rules were accepted: "
                           << Failure.Detail << "; run diff to find out\n";
                 return Unconfirmed;
               }},
      *Result);
}

} // namespace balsamyard::ctl
