#include "fault_proxy/fault_proxy.hpp"

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
/// Closes so that the other end sees a reset.
void close_with_reset(int descriptor) {
  const linger at_once{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close(descriptor);
}
} // namespace

FaultProxy::FaultProxy() : duty_(std::make_unique<Duty>("fault-proxy", [this] { run(); })) {}

FaultProxy::~FaultProxy() {
  is_stopping_ = true;
  duty_.reset();
  for (const Entrance &entrance : entrances_) close(entrance.listener);
  for (const auto &connection : connections_) {
    close(connection->in);
    close(connection->out);
  }
}

std::string FaultProxy::open(const std::string &listens) {
  Entrance entrance;
  entrance.listener = open_socket();
  entrance.listens = listens;
  sockaddr_in place = place_of("127.0.0.1:0");
  auto *raw = reinterpret_cast<sockaddr *>(&place);
  socklen_t size = sizeof place;
  if (bind(entrance.listener, raw, size) != 0 || listen(entrance.listener, 256) != 0)
    throw std::runtime_error("the relay cannot listen");
  getsockname(entrance.listener, raw, &size);
  entrance.place = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
  std::lock_guard guard(mutex_);
  entrances_.push_back(entrance);
  return entrance.place;
}

void FaultProxy::set_cut(const std::string &from, const std::string &to, bool is_cut) {
  std::lock_guard guard(mutex_);
  if (is_cut)
    cuts_.insert({from, to});
  else
    cuts_.erase({from, to});
}

void FaultProxy::reset(const std::string &place) {
  std::lock_guard guard(mutex_);
  for (const auto &connection : connections_)
    if (connection->from == place || connection->to == place)
      connection->is_over = connection->is_reset = true;
}

void FaultProxy::heal() {
  std::lock_guard guard(mutex_);
  cuts_.clear();
  delay_ = 0;
}

void FaultProxy::take(const Entrance &entrance) {
  const int in = accept4(entrance.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (in < 0) return;
  auto connection = std::make_unique<Connection>();
  connection->in = in;
  connection->to = entrance.place;
  connection->out = open_socket();
  const sockaddr_in place = place_of(entrance.listens);
  const int outcome = connect(connection->out, reinterpret_cast<const sockaddr *>(&place), sizeof place);
  connection->is_over = outcome != 0 && errno != EINPROGRESS;
  connections_.push_back(std::move(connection));
}

void FaultProxy::read_in(Connection &connection, Instant now) {
  char buffer[65536];
  const ssize_t count = recv(connection.in, buffer, sizeof buffer, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    connection.is_over = true;
    return;
  }
  std::string bytes(buffer, static_cast<std::size_t>(count));
  if (connection.from.empty()) {
    connection.head += bytes;
    Envelope envelope;
    std::size_t used = 0;
    const FrameState state = unframe(connection.head, envelope, used);
    if (state == FrameState::broken) connection.is_over = true;
    if (state != FrameState::whole) return;
    connection.from = envelope.from_address;
    bytes = std::move(connection.head);
  }
  const Span delay = delay_;
  Instant due =
      now + delay + (delay > 0 ? static_cast<Span>(dice_.below(static_cast<std::uint64_t>(delay))) : 0);
  if (!connection.chunks.empty()) due = std::max(due, connection.chunks.back().due);
  connection.waiting += bytes.size();
  connection.chunks.push_back({due, std::move(bytes)});
  connection.is_over = connection.is_over || connection.waiting > waiting_most;
}

void FaultProxy::write_out(Connection &connection, Instant now) {
  if (cuts_.contains({connection.from, connection.to})) return;
  while (!connection.chunks.empty() && connection.chunks.front().due <= now) {
    std::string &bytes = connection.chunks.front().bytes;
    const ssize_t count = send(connection.out, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count < 0) {
      connection.is_over = true;
      return;
    }
    connection.waiting -= static_cast<std::size_t>(count);
    bytes.erase(0, static_cast<std::size_t>(count));
    if (bytes.empty()) connection.chunks.pop_front();
  }
}

void FaultProxy::run() {
  while (!is_stopping_) {
    std::vector<pollfd> polled;
    std::size_t entrances = 0;
    {
      std::lock_guard guard(mutex_);
      entrances = entrances_.size();
      for (const Entrance &entrance : entrances_) polled.push_back({entrance.listener, POLLIN, 0});
      for (const auto &connection : connections_) {
        const bool has_room = connection->waiting < waiting_most / 2;
        polled.push_back({connection->in, static_cast<short>(has_room ? POLLIN : 0), 0});
        polled.push_back({connection->out, POLLIN, 0});
      }
    }
    poll(polled.data(), polled.size(), 2);
    std::lock_guard guard(mutex_);
    const Instant now = tide_.now();
    const std::size_t connections = connections_.size();
    for (std::size_t at = 0; at < entrances; ++at)
      if ((polled[at].revents & POLLIN) != 0) take(entrances_[at]);
    std::uint64_t held = 0;
    for (std::size_t at = 0; at < connections; ++at) {
      Connection &connection = *connections_[at];
      if (polled[entrances + at * 2].revents != 0) read_in(connection, now);
      if ((polled[entrances + at * 2 + 1].revents & (POLLERR | POLLHUP)) != 0) connection.is_over = true;
      if (!connection.is_over) write_out(connection, now);
      held += connection.waiting;
    }
    held_ = held;
    std::erase_if(connections_, [](const auto &connection) {
      if (!connection->is_over) return false;
      const auto end = connection->is_reset ? close_with_reset : [](int descriptor) { ::close(descriptor); };
      end(connection->in);
      end(connection->out);
      return true;
    });
  }
}

} // namespace wharf
