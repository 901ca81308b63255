#include "balsamyard/src/Version/internal/NameText.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace balsamyard::internal {

bool isName(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxNameBytes)
    return false;
  return Text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "abcdefghijklmnopqrstuvwxyz"
                                "0123456789._-") == std::string_view::npos;
}

Expected<Endpoint> parseEndpoint(std::string_view Text) {
  auto Refuse = [&] {
    return fail(Code::PlatformMalformed,
                "expected IP:PORT, found \"" + std::string(Text) + "\"");
  };
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return Refuse();
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  Endpoint Result{std::string(Host), 0};
  std::error_code Failure;
  asio::ip::make_address(Result.Address, Failure);
  auto [End, Fault] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (Failure || Fault != std::errc() || End != Port.data() + Port.size())
    return Refuse();
  return Result;
}

} // namespace balsamyard::internal
