#include "balsamyard/src/Request/Fingerprint.h"

#include <xxhash.h>

namespace balsamyard {

Fingerprint fingerprintOf(const ServiceName &Service, const RouteName &Route,
                          std::string_view CanonicalBody) {
  // Each part seeds the next, so that "ab" + "c" and "a" + "bc" differ.
  XXH64_hash_t Hash = XXH3_64bits(Service.Text.data(), Service.Text.size());
  Hash = XXH3_64bits_withSeed(Route.Text.data(), Route.Text.size(), Hash);
  Hash = XXH3_64bits_withSeed(CanonicalBody.data(), CanonicalBody.size(), Hash);
  return Fingerprint{Hash};
}

} // namespace balsamyard
