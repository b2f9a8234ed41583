#include "narrows/narrows.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

namespace {
constexpr std::size_t waiting_most = 16u << 20;

int open_socket() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int is_on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof is_on);
  return descriptor;
}

sockaddr_in place_of(const std::string &address) {
  std::string ip;
  int port = 0;
  split_address(address, ip, port);
  sockaddr_in place{};
  place.sin_family = AF_INET;
  place.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &place.sin_addr);
  return place;
}
} // namespace

Narrows::Narrows() : duty_(std::make_unique<Duty>("narrows", [this] { run(); })) {}

Narrows::~Narrows() {
  is_stopping_ = true;
  duty_.reset();
  for (const Mouth &mouth : mouths_) close(mouth.listener);
  for (const auto &passage : passages_) {
    close(passage->in);
    close(passage->out);
  }
}

std::string Narrows::open(const std::string &listens) {
  Mouth mouth;
  mouth.listener = open_socket();
  mouth.listens = listens;
  sockaddr_in place = place_of("127.0.0.1:0");
  auto *raw = reinterpret_cast<sockaddr *>(&place);
  socklen_t size = sizeof place;
  if (bind(mouth.listener, raw, size) != 0 || listen(mouth.listener, 256) != 0)
    throw std::runtime_error("the relay cannot listen");
  getsockname(mouth.listener, raw, &size);
  mouth.place = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
  std::lock_guard guard(mutex_);
  mouths_.push_back(mouth);
  return mouth.place;
}

void Narrows::set_cut(const std::string &from, const std::string &to, bool is_cut) {
  std::lock_guard guard(mutex_);
  if (is_cut)
    cuts_.insert({from, to});
  else
    cuts_.erase({from, to});
}

void Narrows::heal() {
  std::lock_guard guard(mutex_);
  cuts_.clear();
  delay_ = 0;
}

void Narrows::take(const Mouth &mouth) {
  const int in = accept4(mouth.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (in < 0) return;
  auto passage = std::make_unique<Passage>();
  passage->in = in;
  passage->to = mouth.place;
  passage->out = open_socket();
  const sockaddr_in place = place_of(mouth.listens);
  const int outcome = connect(passage->out, reinterpret_cast<const sockaddr *>(&place), sizeof place);
  passage->is_over = outcome != 0 && errno != EINPROGRESS;
  passages_.push_back(std::move(passage));
}

void Narrows::read_in(Passage &passage, Instant now) {
  char buffer[65536];
  const ssize_t count = recv(passage.in, buffer, sizeof buffer, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    passage.is_over = true;
    return;
  }
  std::string bytes(buffer, static_cast<std::size_t>(count));
  if (passage.from.empty()) {
    passage.head += bytes;
    Envelope envelope;
    std::size_t used = 0;
    const FrameState state = unframe(passage.head, envelope, used);
    if (state == FrameState::broken) passage.is_over = true;
    if (state != FrameState::whole) return;
    passage.from = envelope.from_address;
    bytes = std::move(passage.head);
  }
  const Span delay = delay_;
  Instant due =
      now + delay + (delay > 0 ? static_cast<Span>(dice_.below(static_cast<std::uint64_t>(delay))) : 0);
  if (!passage.parts.empty()) due = std::max(due, passage.parts.back().due);
  passage.waiting += bytes.size();
  passage.parts.push_back({due, std::move(bytes)});
  passage.is_over = passage.is_over || passage.waiting > waiting_most;
}

void Narrows::write_out(Passage &passage, Instant now) {
  if (cuts_.contains({passage.from, passage.to})) return;
  while (!passage.parts.empty() && passage.parts.front().due <= now) {
    std::string &bytes = passage.parts.front().bytes;
    const ssize_t count = send(passage.out, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count < 0) {
      passage.is_over = true;
      return;
    }
    passage.waiting -= static_cast<std::size_t>(count);
    bytes.erase(0, static_cast<std::size_t>(count));
    if (bytes.empty()) passage.parts.pop_front();
  }
}

void Narrows::run() {
  while (!is_stopping_) {
    std::vector<pollfd> polled;
    std::size_t mouths = 0;
    {
      std::lock_guard guard(mutex_);
      mouths = mouths_.size();
      for (const Mouth &mouth : mouths_) polled.push_back({mouth.listener, POLLIN, 0});
      for (const auto &passage : passages_) {
        const bool has_room = passage->waiting < waiting_most / 2;
        polled.push_back({passage->in, static_cast<short>(has_room ? POLLIN : 0), 0});
        polled.push_back({passage->out, POLLIN, 0});
      }
    }
    poll(polled.data(), polled.size(), 2);
    std::lock_guard guard(mutex_);
    const Instant now = tide_.now();
    const std::size_t passages = passages_.size();
    for (std::size_t at = 0; at < mouths; ++at)
      if ((polled[at].revents & POLLIN) != 0) take(mouths_[at]);
    std::uint64_t held = 0;
    for (std::size_t at = 0; at < passages; ++at) {
      Passage &passage = *passages_[at];
      if (polled[mouths + at * 2].revents != 0) read_in(passage, now);
      if ((polled[mouths + at * 2 + 1].revents & (POLLERR | POLLHUP)) != 0) passage.is_over = true;
      if (!passage.is_over) write_out(passage, now);
      held += passage.waiting;
    }
    held_ = held;
    std::erase_if(passages_, [](const auto &passage) {
      if (!passage->is_over) return false;
      close(passage->in);
      close(passage->out);
      return true;
    });
  }
}

} // namespace wharf
