#include "anchorage/outgoing_bytes.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace wharf {

bool OutgoingBytes::send(int descriptor, std::size_t &sent) {
  sent = 0;
  while (!pieces_.empty()) {
    const std::string &piece = pieces_.front();
    const int more = pieces_.size() > 1 ? MSG_MORE : 0;
    const ssize_t count = ::send(descriptor, piece.data() + at_, piece.size() - at_, MSG_NOSIGNAL | more);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno == EAGAIN;
    at_ += static_cast<std::size_t>(count);
    sent += static_cast<std::size_t>(count);
    if (at_ < piece.size()) continue;
    held_ -= piece.capacity();
    pieces_.pop_front();
    at_ = 0;
  }
  return true;
}

void OutgoingBytes::clear() {
  pieces_.clear();
  at_ = held_ = 0;
}

} // namespace wharf
