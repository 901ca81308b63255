#include "balsamyard/src/Request/Fingerprint.h"

#include <initializer_list>
#include <xxhash.h>

namespace balsamyard {

namespace {

/// The hash of each part seeds the next, so that "ab" + "c" and "a" + "bc"
/// differ.
Fingerprint chainedHash(std::initializer_list<std::string_view> Parts) {
  XXH64_hash_t Hash = 0;
  for (const std::string_view Part : Parts)
    Hash = XXH3_64bits_withSeed(Part.data(), Part.size(), Hash);
  return Fingerprint{Hash};
}

} // namespace

Fingerprint fingerprintOf(const ServiceName &Service, const RouteName &Route,
                          std::string_view CanonicalBody) {
  return chainedHash({Service.Text, Route.Text, CanonicalBody});
}

Fingerprint fingerprintOf(std::string_view Method, std::string_view Host,
                          std::string_view Target, std::string_view Body) {
  return chainedHash({Method, Host, Target, Body});
}

} // namespace balsamyard
