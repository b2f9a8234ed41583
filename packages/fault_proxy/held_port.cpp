#include "fault_proxy/held_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace wharf {

HeldPort::HeldPort() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  // Servers set the one or the other; a bind is allowed where both sides set the same.
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof place;
  auto *raw = reinterpret_cast<sockaddr *>(&place);
  if (bind(descriptor_, raw, size) != 0 || getsockname(descriptor_, raw, &size) != 0)
    throw std::runtime_error("no free port");
  port_ = ntohs(place.sin_port);
}

HeldPort::~HeldPort() {
  if (descriptor_ >= 0) close(descriptor_);
}

HeldPort::HeldPort(HeldPort &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), port_(other.port_) {}

HeldPort &HeldPort::operator=(HeldPort &&other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(port_, other.port_);
  return *this;
}

std::string HeldPort::address() const { return "127.0.0.1:" + std::to_string(port_); }

} // namespace wharf
