#pragma once
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace wharf {

/// Splits "ip:port"; false when it is not one.
bool split_address(std::string_view address, std::string &ip, int &port);
/// The socket address of "ip:port"; false when it is not one.
bool socket_address(std::string_view address, sockaddr_in &into);

} // namespace wharf
