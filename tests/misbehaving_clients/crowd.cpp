#include "misbehaving_clients/crowd.hpp"

#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hawser/address.hpp"
#include "signals/signals.hpp"

namespace wharf {

namespace {
/// Little enough that what a client does not read stays with the process.
constexpr int receive_buffer_bytes = 4096;
constexpr int poll_ms = 20;
/// How much of `repeated` a client gets rid of in one go, so that all get their turn.
constexpr int sends_in_a_row = 16;
} // namespace

Crowd::Crowd(std::string address, std::size_t size, CrowdScript script)
    : address_(std::move(address)), script_(std::move(script)), clients_(size) {
  for (Client &client : clients_) connect(client);
}

Crowd::~Crowd() { release(); }

void Crowd::connect(Client &client) {
  sockaddr_in place{};
  if (!socket_address(address_, place)) return;
  client = {};
  client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client.descriptor < 0) return;
  setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  ::connect(client.descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place);
  ++connections_;
}

void Crowd::end(Client &client) {
  if (client.descriptor >= 0) close(client.descriptor);
  client.descriptor = -1;
  if (script_.must_return) connect(client);
}

/// True once the process has closed or reset the connection and nothing more of it is to be read.
bool Crowd::has_ended(const Client &client) {
  char byte = 0;
  const ssize_t count = recv(client.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0;
}

void Crowd::send_more(Client &client) {
  for (int turn = 0; turn < sends_in_a_row; ++turn) {
    const bool is_opening = client.sent < script_.opening.size();
    if (!is_opening && script_.repeated.empty()) break;
    const std::string &text = is_opening ? script_.opening : script_.repeated;
    const std::size_t at =
        is_opening ? client.sent : (client.sent - script_.opening.size()) % script_.repeated.size();
    const ssize_t count = send(client.descriptor, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (count <= 0) break;
    client.sent += static_cast<std::size_t>(count);
    sent_ += static_cast<std::size_t>(count);
  }
  if (client.has_gone || client.sent < script_.opening.size()) return;
  if (script_.must_half_close) {
    client.has_gone = true;
    shutdown(client.descriptor, SHUT_WR);
  } else if (script_.must_leave) {
    client.has_gone = true;
    end(client);
  }
}

void Crowd::press(double seconds) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (std::chrono::steady_clock::now() < until) {
    std::vector<pollfd> polled;
    for (const Client &client : clients_) {
      const bool has_more = client.sent < script_.opening.size() || !script_.repeated.empty();
      const bool must_act = script_.must_half_close || script_.must_leave;
      const bool wants_out = !client.has_gone && (has_more || must_act);
      polled.push_back({client.descriptor, static_cast<short>(POLLRDHUP | (wants_out ? POLLOUT : 0)), 0});
    }
    poll(polled.data(), polled.size(), poll_ms);
    for (std::size_t at = 0; at < clients_.size(); ++at) {
      const short events = polled[at].revents;
      if (polled[at].fd < 0 || events == 0) continue;
      const bool is_lost = (events & (POLLERR | POLLHUP | POLLNVAL)) != 0;
      const bool is_closed = (events & POLLRDHUP) != 0 && has_ended(clients_[at]);
      if (is_lost || is_closed)
        end(clients_[at]);
      else if ((events & POLLOUT) != 0)
        send_more(clients_[at]);
    }
  }
}

std::string half_frame(std::size_t bytes) {
  const std::string whole = frame(Envelope{1, "127.0.0.1:1", PassOn{1, std::string(bytes, 'f')}});
  return whole.substr(0, whole.size() - 1);
}

void Crowd::release() {
  script_.must_return = false;
  for (Client &client : clients_) end(client);
}

} // namespace wharf
