#pragma once

#include <cstdint>

namespace balsamyard {

/// \brief Status of the move of traffic to another version. In texts,
/// RolledBack is written as "taken back".
enum class MoveStatus : std::uint8_t { UnderWay, Done, RolledBack };

} // namespace balsamyard
