#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamyard {

/// \brief Services and routes that a rule applies to. A trailing "*" matches
/// any suffix.
struct RuleScope {
  std::string Service = "*";
  std::string Route = "*";

  bool matches(const ServiceName &Name, const RouteName &Path) const;
};

/// \brief Settings of searches.
struct SearchRule {
  RuleScope Scope;
  Duration Deadline = std::chrono::milliseconds(160);
  double Coverage = 1.0; ///< Target fraction of the weight, 0 to 1.
  double Hedge = 0.05;   ///< Extra requests per first attempt, 0 to 0.05.
};

/// \brief Settings of record writes.
struct WriteRule {
  RuleScope Scope;
  Duration Deadline = std::chrono::seconds(2);
  bool Repeatable = false;
};

/// \brief Share of the connection limit of a service that may be used.
struct LimitRule {
  RuleScope Scope;
  double Share = 1.0; ///< Above 0, at most 1.
};

/// \brief Takes a failure domain out of service.
struct DrainRule {
  DomainName Domain;
};

/// \brief Moves traffic to a back end version by a given time.
struct MoveRule {
  RuleScope Scope;
  VersionName To;
  WallTime By{};
};

using RuleBody =
    std::variant<SearchRule, WriteRule, LimitRule, DrainRule, MoveRule>;

/// \brief One line of the rules file.
struct Rule {
  RuleBody Body;
  std::string AskedBy; ///< The comment of the line.
  std::uint32_t Line = 0;
};

/// \brief A fault in a rules file. Line and Column count from 1.
struct RuleFault {
  Code Value;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Expectation;
};

/// \brief A valid rules file. The first matching rule of a kind applies.
struct Rules {
  std::vector<Rule> Lines;

  SearchRule searchFor(const ServiceName &Service,
                       const RouteName &Route) const;
  WriteRule writeFor(const ServiceName &Service, const RouteName &Route) const;
  double connectionShare(const ServiceName &Service,
                         const RouteName &Route) const;
  bool isDrained(const DomainName &Domain) const;

  /// \returns the move that applies to the route, or nullptr.
  const MoveRule *moveFor(const ServiceName &Service,
                          const RouteName &Route) const;
};

/// \returns the time "YYYY-MM-DDThh:mm:ssZ", or nothing if it is not one.
std::optional<WallTime> parseWallTime(std::string_view Text);

/// \brief Parses a rules file: one rule per line, with a comment that says who
/// asked for it.
///
/// \code
/// search service=portal-* route=* deadline=150ms coverage=0.95  # Ada Marsh
/// write service=permits deadline=2s repeat=no                   # permits desk
/// limit service=portal-* share=0.5                              # budget team
/// drain domain=east                                             # Ada Marsh
/// move service=depot route=* to=v2 by=2026-12-05T06:00:00Z      # depot desk
/// \endcode
/// \returns the rules, or all faults if there are any.
tl::expected<Rules, std::vector<RuleFault>> parseRules(std::string_view Text);

} // namespace balsamyard
