#include "balsamyard/src/Version/Configuration.h"

#include <algorithm>
#include <cctype>

namespace balsamyard {

namespace {

/// Host names are compared without case and without a port.
std::string normalizedHost(std::string_view Host) {
  std::string Result(Host.substr(0, Host.find(':')));
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Result;
}

} // namespace

ServiceNumber Configuration::findOrAddService(const ServiceName &Service) {
  const auto [Found, Added] = this->Numbers.try_emplace(
      Service, static_cast<ServiceNumber>(this->Services.size()));
  if (Added)
    this->Services.emplace_back().Name = Service;
  return Found->second;
}

void Configuration::index() {
  this->ByHost.clear();
  for (std::size_t Index = 0; Index < this->Routes.size(); ++Index)
    this->ByHost[normalizedHost(this->Routes[Index].Host)].push_back(Index);
  for (auto &[Host, Positions] : this->ByHost)
    std::stable_sort(Positions.begin(), Positions.end(),
                     [this](std::size_t Left, std::size_t Right) {
                       return this->Routes[Left].PathPrefix.size() >
                              this->Routes[Right].PathPrefix.size();
                     });
}

std::ptrdiff_t Configuration::match(std::string_view Host,
                                    std::string_view Path) const {
  const auto Found = this->ByHost.find(normalizedHost(Host));
  if (Found == this->ByHost.end())
    return -1;
  for (std::size_t Index : Found->second)
    if (Path.starts_with(this->Routes[Index].PathPrefix))
      return static_cast<std::ptrdiff_t>(Index);
  return -1;
}

} // namespace balsamyard
