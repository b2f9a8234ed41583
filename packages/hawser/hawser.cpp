#include "hawser/hawser.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

namespace {
constexpr std::size_t link_backlog = 8u << 20;
/// What a link that another process opened takes besides what it sent.
constexpr std::size_t link_bytes = 4096;
/// Read of one link before the others get their turn.
constexpr std::size_t read_in_a_row = 1u << 20;
} // namespace

Hawser::Hawser(std::string address, Sink sink, HawserOptions options)
    : address_(std::move(address)), sink_(std::move(sink)), options_(options) {
  sockaddr_in place{};
  if (!socket_address(address_, place)) throw std::runtime_error("not an address: " + address_);
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener_, reinterpret_cast<sockaddr *>(&place), sizeof place) != 0 ||
      listen(listener_, 128) != 0) {
    close(listener_);
    throw std::runtime_error("cannot listen on " + address_);
  }
  bell_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  duty_ = std::make_unique<Duty>("hawser", [this] { run(); });
}

Hawser::~Hawser() {
  is_stopping_ = true;
  const std::uint64_t one = 1;
  (void)!write(bell_, &one, sizeof one);
  duty_.reset();
  for (auto &[name, link] : ours_) close_link(link);
  for (auto &link : theirs_) close_link(*link);
  close(listener_);
  close(bell_);
}

void Hawser::send(const std::string &address, std::string bytes) {
  {
    std::lock_guard guard(mutex_);
    if (queued_.size() > 65536) {
      ++dropped_;
      return;
    }
    queued_.emplace_back(address, std::move(bytes));
  }
  const std::uint64_t one = 1;
  (void)!write(bell_, &one, sizeof one);
}

void Hawser::take_queued() {
  std::vector<std::pair<std::string, std::string>> taken;
  {
    std::lock_guard guard(mutex_);
    taken.swap(queued_);
  }
  for (auto &[address, bytes] : taken) {
    Link &link = ours_[address];
    link.address = address;
    link.is_ours = true;
    if (link.descriptor < 0) open_link(link);
    if (link.descriptor < 0 || link.outgoing.size() + bytes.size() > link_backlog + frame_limit) {
      ++dropped_;
      continue;
    }
    link.outgoing += bytes;
    if (link.is_up && !write_link(link)) close_link(link);
  }
}

void Hawser::open_link(Link &link) {
  const Instant now = tide_.now();
  sockaddr_in place{};
  if (now < link.retry_at || !socket_address(link.address, place)) return;
  link.retry_at = now + milliseconds(100);
  link.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link.descriptor < 0) return;
  const int on = 1;
  setsockopt(link.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int wait_ms = 2000;
  setsockopt(link.descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &wait_ms, sizeof wait_ms);
  const int outcome = connect(link.descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place);
  if (outcome == 0) {
    link.is_up = true;
  } else if (errno != EINPROGRESS) {
    close_link(link);
  }
}

void Hawser::close_link(Link &link) {
  if (link.descriptor >= 0) close(link.descriptor);
  if (!link.outgoing.empty()) ++dropped_;
  link.descriptor = -1;
  link.is_up = false;
  link.outgoing = {};
  link.incoming = {};
  link.charge.set(0);
}

void Hawser::forget_closed() {
  std::erase_if(theirs_, [](const auto &link) { return link->descriptor < 0; });
}

void Hawser::accept_links() {
  while (true) {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    if (theirs_.size() >= options_.accepted_most) {
      const auto silent =
          std::min_element(theirs_.begin(), theirs_.end(), [](const auto &left, const auto &right) {
            return left->heard_at < right->heard_at;
          });
      close_link(**silent);
      theirs_.erase(silent);
    }
    auto link = std::make_unique<Link>();
    link->descriptor = descriptor;
    link->heard_at = tide_.now();
    link->charge = MemoryCharge(options_.memory, link_bytes);
    theirs_.push_back(std::move(link));
  }
}

void Hawser::keep_within_memory() {
  const MemoryAccount *memory = options_.memory;
  while (memory != nullptr && memory->used() > memory->bound_for(MemoryAccount::large_bytes)) {
    const auto largest =
        std::max_element(theirs_.begin(), theirs_.end(), [](const auto &left, const auto &right) {
          return left->charge.bytes() < right->charge.bytes();
        });
    if (largest == theirs_.end() || (*largest)->charge.bytes() < MemoryAccount::large_bytes) return;
    ++dropped_;
    close_link(**largest);
    theirs_.erase(largest);
  }
}

bool Hawser::read_link(Link &link) {
  char bytes[65536];
  link.heard_at = tide_.now();
  for (std::size_t taken = 0; taken < read_in_a_row;) {
    const ssize_t count = read(link.descriptor, bytes, sizeof bytes);
    if (count == 0) return false;
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) break;
      return false;
    }
    link.incoming.append(bytes, static_cast<std::size_t>(count));
    taken += static_cast<std::size_t>(count);
  }
  std::size_t at = 0;
  while (true) {
    Envelope envelope;
    std::size_t used = 0;
    const FrameState state = unframe(std::string_view(link.incoming).substr(at), envelope, used);
    if (state == FrameState::broken) return false;
    if (state == FrameState::partial) break;
    at += used;
    sink_(std::move(envelope));
  }
  link.incoming.erase(0, at);
  if (link.incoming.empty()) link.incoming = {};
  if (!link.is_ours) link.charge.set(link_bytes + heap_bytes(link.incoming));
  return true;
}

bool Hawser::write_link(Link &link) {
  std::size_t at = 0;
  while (at < link.outgoing.size()) {
    const ssize_t count =
        ::send(link.descriptor, link.outgoing.data() + at, link.outgoing.size() - at, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN) return false;
      break;
    }
    at += static_cast<std::size_t>(count);
  }
  link.outgoing.erase(0, at);
  return true;
}

void Hawser::run() {
  std::vector<pollfd> watched;
  std::vector<Link *> links;
  while (!is_stopping_) {
    take_queued();
    watched.assign({{listener_, POLLIN, 0}, {bell_, POLLIN, 0}});
    links.assign({nullptr, nullptr});
    for (auto &[name, link] : ours_) {
      if (link.descriptor < 0) continue;
      const bool wants_out = !link.is_up || !link.outgoing.empty();
      watched.push_back({link.descriptor, static_cast<short>(POLLIN | (wants_out ? POLLOUT : 0)), 0});
      links.push_back(&link);
    }
    for (auto &link : theirs_) {
      watched.push_back({link->descriptor, POLLIN, 0});
      links.push_back(link.get());
    }
    poll(watched.data(), watched.size(), 200);
    if (watched[1].revents != 0) {
      std::uint64_t count = 0;
      (void)!read(bell_, &count, sizeof count);
    }
    for (std::size_t at = 2; at < watched.size(); ++at) {
      Link &link = *links[at];
      const short events = watched[at].revents;
      bool is_fine = true;
      if (events & (POLLERR | POLLNVAL)) is_fine = false;
      if (is_fine && (events & POLLOUT)) {
        link.is_up = true;
        is_fine = write_link(link);
      }
      if (is_fine && (events & (POLLIN | POLLHUP))) is_fine = read_link(link);
      if (!is_fine) close_link(link);
    }
    forget_closed();
    keep_within_memory();
    if (watched[0].revents & POLLIN) accept_links();
  }
}

} // namespace wharf
