#include "anchorage/loop.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hawser/address.hpp"

namespace wharf {

Loop::Loop() : poll_(epoll_create1(EPOLL_CLOEXEC)), bell_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.ptr = nullptr;
  epoll_ctl(poll_, EPOLL_CTL_ADD, bell_, &event);
}

Loop::~Loop() {
  close(poll_);
  close(bell_);
}

void Loop::add(int descriptor, std::uint32_t events, Watched &watched) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = &watched;
  epoll_ctl(poll_, EPOLL_CTL_ADD, descriptor, &event);
}

void Loop::change(int descriptor, std::uint32_t events, Watched &watched) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = &watched;
  epoll_ctl(poll_, EPOLL_CTL_MOD, descriptor, &event);
}

void Loop::remove(int descriptor) { epoll_ctl(poll_, EPOLL_CTL_DEL, descriptor, nullptr); }

void Loop::post(std::function<void()> work) {
  {
    std::lock_guard guard(mutex_);
    posted_.push_back(std::move(work));
  }
  const std::uint64_t one = 1;
  (void)!write(bell_, &one, sizeof one);
}

void Loop::turn(Span patience) {
  std::array<epoll_event, 128> events{};
  const int wait_ms = static_cast<int>((patience + 999'999) / 1'000'000);
  const int count = epoll_wait(poll_, events.data(), static_cast<int>(events.size()), wait_ms);
  for (int at = 0; at < count; ++at) {
    const epoll_event &event = events[static_cast<std::size_t>(at)];
    if (event.data.ptr != nullptr) {
      static_cast<Watched *>(event.data.ptr)->ready(event.events);
      continue;
    }
    std::uint64_t rings = 0;
    (void)!read(bell_, &rings, sizeof rings);
    std::vector<std::function<void()>> taken;
    {
      std::lock_guard guard(mutex_);
      taken.swap(posted_);
    }
    for (const auto &work : taken) work();
  }
  graves_.clear();
}

int open_call(const std::string &address, Span user_timeout) {
  sockaddr_in place{};
  if (!socket_address(address, place)) return -1;
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int on = 1, wait_ms = static_cast<int>(user_timeout / 1'000'000);
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait_ms, sizeof wait_ms);
  const int outcome = connect(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place);
  if (outcome == 0 || errno == EINPROGRESS) return descriptor;
  close(descriptor);
  return -1;
}

int open_listener(const std::string &address, int backlog) {
  sockaddr_in place{};
  if (!socket_address(address, place)) throw std::runtime_error("not an address: " + address);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place) == 0 &&
      listen(descriptor, backlog) == 0)
    return descriptor;
  close(descriptor);
  throw std::runtime_error("cannot listen on " + address);
}

} // namespace wharf
