#include "balsamyard/src/Version/Rules.h"

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

} // namespace balsamyard
