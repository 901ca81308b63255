#pragma once

#include "balsamyard/Core"
#include "balsamyard/src/Version/Rules.h"

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace balsamyard::ctl {

/// \brief Exit codes; the help text lists them.
enum ExitStatus {
  Success = 0,
  Failure = 1,
  BadUsage = 2,
  BadRules = 3,
  ConflictFound = 4,
  OutcomeUnclear = 5,
  Differs = 6,
};

/// \brief Time for one call to the platform or a process.
inline constexpr Duration CallTimeout = std::chrono::seconds(5);

int runCheck(const cxxopts::ParseResult &Options);
int runDiff(const cxxopts::ParseResult &Options);
int runApply(const cxxopts::ParseResult &Options);
int runFetch(const cxxopts::ParseResult &Options);
int runStatus(const cxxopts::ParseResult &Options);
int runExplain(const cxxopts::ParseResult &Options);
int runTimeline(const cxxopts::ParseResult &Options);

/// \returns the text of a file, or nothing after a message.
std::optional<std::string> readFile(const std::string &Path);

/// \returns the address in option \p Name, or nothing after a message.
std::optional<Endpoint> addressOption(const cxxopts::ParseResult &Options,
                                      const std::string &Name);

/// \brief Prints a numbered error.
int report(const Error &Fault);

/// \returns "FILE:LINE:COLUMN: CODE name: expected ..." for a fault.
std::string toText(const std::string &File, const RuleFault &Fault);

/// \returns the changed lines, each with - or + and its number.
std::string diffText(std::string_view From, std::string_view To);

} // namespace balsamyard::ctl
