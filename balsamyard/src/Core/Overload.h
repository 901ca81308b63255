#pragma once

namespace balsamyard {

/// \brief A visitor composed of one function object for each alternative.
///
/// \code
/// std::visit(Overload{[](const Ping &) { ... }, [](const Ack &) { ... }}, M);
/// \endcode
template <typename... Handlers> struct Overload : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers> Overload(Handlers...) -> Overload<Handlers...>;

} // namespace balsamyard
