#include "misbehaving_clients/plain_call.hpp"

#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "hawser/address.hpp"

namespace wharf {

namespace {
constexpr int comes_back_after_ms = 200;

bool is_ready(int descriptor, short events, int patience_ms) {
  pollfd one{descriptor, events, 0};
  return poll(&one, 1, patience_ms) == 1;
}

int open_connection(const std::string &address, const ReadingPace &pace) {
  sockaddr_in place{};
  if (!socket_address(address, place)) return -1;
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (pace.receive_buffer > 0)
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &pace.receive_buffer, sizeof pace.receive_buffer);
  ::connect(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof place);
  return descriptor;
}

bool send_all(int descriptor, const std::string &bytes, int patience_ms) {
  for (std::size_t at = 0; at < bytes.size();) {
    if (!is_ready(descriptor, POLLOUT, patience_ms)) return false;
    const ssize_t count = send(descriptor, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (count <= 0) return false;
    at += static_cast<std::size_t>(count);
  }
  return true;
}

HttpMessage read_answer(int descriptor, const ReadingPace &pace) {
  HttpReader reader(HttpReader::Side::responses);
  reader.set_bounds({1u << 16, 64u << 20});
  std::vector<char> bytes(pace.piece);
  while (true) {
    if (pace.pause_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(pace.pause_ms));
    if (!is_ready(descriptor, POLLIN, pace.patience_ms)) return {};
    const ssize_t count = recv(descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0) return {};
    std::size_t used = 0;
    const Reading reading = reader.feed({bytes.data(), static_cast<std::size_t>(count)}, used);
    if (reading == Reading::whole) return reader.take();
    if (reading != Reading::partial) return {};
  }
}
} // namespace

HttpMessage call_once(const std::string &address, const HttpMessage &request, const ReadingPace &pace) {
  const int descriptor = open_connection(address, pace);
  if (descriptor < 0) return {};
  HttpMessage answer;
  // A refusal may come, and the connection end, before all of a body is sent.
  send_all(descriptor, request_bytes(request), pace.patience_ms);
  answer = read_answer(descriptor, pace);
  close(descriptor);
  return answer;
}

HttpMessage call_until(const std::string &address, const std::function<HttpMessage()> &make_request,
                       const std::function<bool(const HttpMessage &)> &is_served, double seconds) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  HttpMessage answer;
  while (std::chrono::steady_clock::now() < until) {
    answer = call_once(address, make_request());
    if (is_served(answer)) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(comes_back_after_ms));
  }
  return answer;
}

} // namespace wharf
