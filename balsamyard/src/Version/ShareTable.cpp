#include "balsamyard/src/Version/ShareTable.h"

#include <xxhash.h>

namespace balsamyard {

const std::vector<NodeName> *ShareTable::owners(const GroupKey &Group) const {
  auto Found = this->Lanes.find(Group);
  return Found == this->Lanes.end() ? nullptr : &Found->second;
}

std::size_t gateOf(const RequestId &Request) {
  return XXH3_64bits(Request.Text.data(), Request.Text.size()) % WriteGateCount;
}

} // namespace balsamyard
