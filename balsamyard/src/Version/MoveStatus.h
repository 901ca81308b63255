#pragma once

#include <cstdint>

namespace balsamyard {

/// \brief Where the move of traffic to another version stands.
enum class MoveStatus : std::uint8_t { UnderWay, Done, RolledBack };

} // namespace balsamyard
