#include "hawser/address.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace wharf {

bool split_address(std::string_view address, std::string &ip, int &port) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) return false;
  ip = address.substr(0, colon);
  const auto digits = address.substr(colon + 1);
  const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  in_addr parsed{};
  return read.ec == std::errc() && read.ptr == digits.data() + digits.size() && port >= 0 && port < 65536 &&
         inet_pton(AF_INET, ip.c_str(), &parsed) == 1;
}

bool socket_address(std::string_view address, sockaddr_in &into) {
  std::string ip;
  int port = 0;
  if (!split_address(address, ip, port)) return false;
  into = {};
  into.sin_family = AF_INET;
  into.sin_port = htons(static_cast<std::uint16_t>(port));
  return inet_pton(AF_INET, ip.c_str(), &into.sin_addr) == 1;
}

} // namespace wharf
