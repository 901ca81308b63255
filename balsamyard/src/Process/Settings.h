#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamyard {

/// \brief Validated settings of an entry or holder process. docs/operators.md
/// lists the keys.
struct Settings {
  NodeName Node;
  DomainName Domain;
  RegionName Region;
  Endpoint Http;
  Endpoint Peer;
  Endpoint Gossip;
  Endpoint Platform;
  std::vector<Endpoint> Seeds;
  std::uint32_t CallerThreads = 64;
  std::uint32_t WorkerThreads = 64;
  std::uint32_t InFlight = 256;
  std::uint32_t BodyBytes = 1 << 20;
  std::string LogFile;
};

/// \brief An error in a settings file. Line and Column count from 1; 0 means
/// unknown.
struct SettingsFault {
  Code Value;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Detail;
};

/// \returns the endpoint in \p Text, "IPV4:PORT" or "[IPV6]:PORT" with a port
/// from 0 to 65535, or SettingsBadValue.
Expected<Endpoint> parseEndpoint(std::string_view Text);

/// \returns whether \p Text is a numeric IPv4 or IPv6 address.
bool isIpAddress(std::string_view Text);

/// \returns the settings, or every error found. After a syntax error, the rest
/// of the text is not checked.
tl::expected<Settings, std::vector<SettingsFault>>
parseSettings(std::string_view Text);

/// \returns the settings in the file \p Path, or every error found.
tl::expected<Settings, std::vector<SettingsFault>>
readSettings(const std::string &Path);

} // namespace balsamyard
