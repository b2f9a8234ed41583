#include "moorings/moorings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "moorings/mooring_link.hpp"

namespace wharf {

namespace {
thread_local std::function<void(std::function<void()>)> set_gone;
thread_local std::function<bool(std::size_t)> hold_for_request;

/// An emptied buffer of this size or less is kept for the next request.
constexpr std::size_t kept_buffer_bytes = 1024;
/// Bytes that the kernel takes of an answer beyond what is on its way to the client.
constexpr int unsent_in_kernel = 32768;
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

bool poll_for(int descriptor, short events, Span span) {
  pollfd one{descriptor, events, 0};
  return poll(&one, 1, static_cast<int>(std::max<Span>(0, span) / 1'000'000)) > 0;
}

std::string refusal(int status, std::string_view why) {
  const std::string reason = status == 503 ? "no-runner" : "malformed";
  const std::string body =
      "{\"verdict\": \"not-run\", \"reason\": \"" + reason + "\", \"why\": \"" + std::string(why) + "\"}\n";
  return "HTTP/1.1 " + std::to_string(status) +
         (status == 503 ? " Service Unavailable\r\nRetry-After: 1" : " Request Timeout") +
         "\r\nX-Wharf-Verdict: not-run\r\nX-Wharf-Reason: " + reason +
         "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}
} // namespace

/// The stream the library reads a request from: first what has arrived, then the link, within a deadline.
class Moorings::Pipe final : public httplib::Stream {
public:
  Pipe(Link &link, const MooringOptions &options)
      : link_(link), read_until_(tide_.now() + options.arrive_within) {}
  bool is_readable() const override {
    return link_.read_at < link_.bytes.size() ||
           poll_for(link_.descriptor, POLLIN, read_until_ - tide_.now());
  }
  bool is_writable() const override { return true; }
  ssize_t read(char *into, size_t size) override {
    if (link_.read_at < link_.bytes.size()) {
      const std::size_t count = std::min(size, link_.bytes.size() - link_.read_at);
      std::copy_n(link_.bytes.data() + link_.read_at, count, into);
      link_.read_at += count;
      return static_cast<ssize_t>(count);
    }
    if (!is_readable()) return -1;
    return recv(link_.descriptor, into, size, MSG_DONTWAIT);
  }
  /// Never waits: what the client does not take at once is left for the watch to send.
  ssize_t write(const char *from, size_t size) override {
    const bool was_said = link_.was_told_to_continue && std::string_view(from, size) == continue_answer;
    if (was_said) return static_cast<ssize_t>(size);
    std::size_t written = 0;
    while (link_.outgoing.empty() && written < size) {
      const ssize_t count =
          send(link_.descriptor, from + written, size - written, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0 && errno != EAGAIN) return -1;
      if (count < 0) break;
      written += static_cast<std::size_t>(count);
    }
    link_.outgoing.append(from + written, size - written);
    return static_cast<ssize_t>(size);
  }
  void get_remote_ip_and_port(std::string &ip, int &port) const override { place(true, ip, port); }
  void get_local_ip_and_port(std::string &ip, int &port) const override { place(false, ip, port); }
  socket_t socket() const override { return link_.descriptor; }

private:
  void place(bool is_remote, std::string &ip, int &port) const {
    sockaddr_in seen{};
    socklen_t size = sizeof seen;
    auto *raw = reinterpret_cast<sockaddr *>(&seen);
    if ((is_remote ? getpeername(link_.descriptor, raw, &size) : getsockname(link_.descriptor, raw, &size)) !=
        0)
      return;
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &seen.sin_addr, text, sizeof text);
    ip = text;
    port = ntohs(seen.sin_port);
  }
  SteadyTide tide_;
  Link &link_;
  Instant read_until_;
};

/// Runs what the library's listener enqueues at once: it only hands the link to the watch.
class Moorings::Inline final : public httplib::TaskQueue {
public:
  explicit Inline(Moorings &moorings) : moorings_(moorings) {}
  void enqueue(std::function<void()> job) override { job(); }
  void shutdown() override { moorings_.drain(); }

private:
  Moorings &moorings_;
};

Moorings::Moorings(MooringOptions options) : options_(options) {
  if (pipe2(wake_, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for the door");
  new_task_queue = [this] { return new Inline(*this); };
  for (std::size_t at = 0; at < options_.threads; ++at)
    crew_.push_back(std::make_unique<Duty>("door", [this] { work(); }));
  watch_ = std::make_unique<Duty>("watch", [this] { watch(); });
}

Moorings::~Moorings() {
  drain();
  close(wake_[0]);
  close(wake_[1]);
}

void Moorings::widen() { ::listen(svr_sock_, 1024); }

void Moorings::on_caller_gone(std::function<void()> gone) {
  if (set_gone) set_gone(std::move(gone));
}

bool Moorings::hold_more(std::size_t bytes) { return !hold_for_request || hold_for_request(bytes); }

std::map<std::string, std::uint64_t> Moorings::counters() const {
  std::lock_guard guard(mutex_);
  auto values = counters_;
  values["door_links"] = links_.size();
  values["door_busy"] = busy_;
  values["door_jobs"] = jobs_.size();
  return values;
}

void Moorings::wake() {
  const char byte = 0;
  (void)!::write(wake_[1], &byte, 1);
}

bool Moorings::process_and_close_socket(socket_t descriptor) {
  const int is_on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof is_on);
  setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_in_kernel, sizeof unsent_in_kernel);
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
  auto link = std::make_shared<Link>();
  link->descriptor = descriptor;
  link->parked_at = tide_.now();
  link->charge = MemoryCharge(options_.memory, mooring_link_bytes);
  link->request_charge = MemoryCharge(options_.memory);
  std::lock_guard guard(mutex_);
  ++counters_["door_links_taken"];
  if (links_.size() >= options_.links_most) {
    ++counters_["door_links_full"];
    close_one_for_room(link->parked_at);
  }
  links_[descriptor] = link;
  if (links_.size() > options_.links_most) turn_away(link, 503, "door-full", tide_.now());
  wake();
  return true;
}

void Moorings::close_link(const LinkPtr &link) {
  if (link->descriptor < 0) return;
  links_.erase(link->descriptor);
  bytes_ -= std::min(bytes_, link->bytes.size());
  link->bytes = {};
  link->outgoing = {};
  shutdown(link->descriptor, SHUT_RDWR);
  close(link->descriptor);
  link->descriptor = -1;
  link->charge.set(0);
  link->request_charge.set(0);
}

void Moorings::turn_away(const LinkPtr &link, int status, std::string_view why, Instant now) {
  ++counters_["door_turned_away"];
  const std::string text = refusal(status, why);
  (void)!send(link->descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(link->descriptor, SHUT_WR);
  bytes_ -= std::min(bytes_, link->bytes.size());
  link->bytes = {};
  link->state = Berthing::lingering;
  link->parked_at = now;
  link->request_charge.set(0);
  count_memory(*link);
}

void Moorings::hand_over(const LinkPtr &link, Instant now) {
  link->incoming_snapshot_since = 0;
  if (jobs_.size() >= options_.waiting_most) {
    turn_away(link, 503, "door-full", now);
    return;
  }
  const std::size_t needed = bytes_to_serve(link->bytes);
  link->state = Berthing::waiting;
  if (!make_room_for(needed, now)) {
    turn_away(link, 503, "no-memory", now);
    return;
  }
  link->request_charge.set(needed);
  link->waiting_since = now;
  jobs_.push_back(link);
  ready_.notify_one();
}

void Moorings::take_bytes(const LinkPtr &link, Instant now) {
  char buffer[65536];
  while (true) {
    const ssize_t count = recv(link->descriptor, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) break;
    if (count <= 0) {
      close_link(link);
      return;
    }
    if (link->state == Berthing::lingering) continue;
    if (link->incoming_snapshot_since == 0) link->incoming_snapshot_since = now;
    link->bytes.append(buffer, static_cast<std::size_t>(count));
    bytes_ += static_cast<std::size_t>(count);
    if (bytes_ > options_.bytes_most) {
      turn_away(link, 503, "door-full", now);
      return;
    }
    count_memory(*link);
    const std::size_t piece = std::min(link->charge.bytes(), MemoryAccount::large_bytes);
    const bool is_over = options_.memory != nullptr &&
                         options_.memory->used() > options_.memory->bound_for(link->charge.bytes());
    if (is_over) make_room_for(piece, now);
    if (link->descriptor < 0 || link->state == Berthing::lingering) return;
    if (count < static_cast<ssize_t>(sizeof buffer)) break;
  }
  if (link->state != Berthing::parked) return;
  if (arrival_of(link->bytes, options_, link->chunk_at) == Arrival::whole) {
    hand_over(link, now);
  } else if (!link->was_told_to_continue && asks_to_continue(link->bytes)) {
    link->was_told_to_continue = true;
    (void)!send(link->descriptor, continue_answer.data(), continue_answer.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT);
  }
}

bool Moorings::write_out(Link &link, Instant now) {
  while (link.sent < link.outgoing.size()) {
    const ssize_t count = send(link.descriptor, link.outgoing.data() + link.sent,
                               link.outgoing.size() - link.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno == EAGAIN;
    link.sent += static_cast<std::size_t>(count);
    link.progress_at = now;
  }
  return true;
}

void Moorings::park(const LinkPtr &link, Instant now) {
  link->outgoing = {};
  link->sent = 0;
  if (!link->may_stay) {
    close_link(link);
    return;
  }
  link->state = Berthing::parked;
  link->parked_at = now;
  count_memory(*link);
  if (link->bytes.empty()) return;
  link->incoming_snapshot_since = now;
  if (arrival_of(link->bytes, options_, link->chunk_at) == Arrival::whole) hand_over(link, now);
}

void Moorings::tend(const LinkPtr &link, Instant now) {
  const bool is_idle = link->state == Berthing::parked && link->bytes.empty();
  const bool has_lingered = link->state == Berthing::lingering && now - link->parked_at > seconds(1);
  const bool reads_nothing =
      link->state == Berthing::writing && now - link->progress_at > options_.write_within;
  const bool has_rested = is_idle && (now - link->parked_at > options_.idle || is_draining_);
  const bool is_too_slow = link->state == Berthing::parked && !is_idle &&
                           now - link->incoming_snapshot_since > options_.arrive_within;
  const bool is_left_in_drain =
      link->state == Berthing::parked && !is_too_slow && is_draining_ && now > drain_until_;
  if (has_lingered || reads_nothing || has_rested || is_left_in_drain)
    close_link(link);
  else if (is_too_slow)
    turn_away(link, 408, "too-slow", now);
  else if (link->state == Berthing::waiting && now - link->waiting_since > options_.waiting_within) {
    std::erase(jobs_, link);
    turn_away(link, 503, "door-full", now);
  }
}

void Moorings::watch() {
  while (!is_over_) {
    std::vector<pollfd> polled{{wake_[0], POLLIN, 0}};
    std::vector<LinkPtr> seen{nullptr};
    {
      std::lock_guard guard(mutex_);
      for (const auto &[descriptor, link] : links_) {
        const bool is_held = link->state == Berthing::waiting || link->state == Berthing::busy;
        if (is_held && (!link->on_gone || link->is_gone)) continue;
        const short wanted = link->state == Berthing::writing ? POLLOUT : is_held ? POLLRDHUP : POLLIN;
        polled.push_back({descriptor, wanted, 0});
        seen.push_back(link);
      }
    }
    poll(polled.data(), polled.size(), 50);
    char bytes[256];
    while (::read(wake_[0], bytes, sizeof bytes) > 0) {
    }
    std::vector<std::function<void()>> gone;
    {
      std::lock_guard guard(mutex_);
      const Instant now = tide_.now();
      for (std::size_t at = 1; at < seen.size(); ++at) {
        const LinkPtr &link = seen[at];
        if (polled[at].revents == 0 || link->descriptor < 0) continue;
        if (link->state == Berthing::writing) {
          if (!write_out(*link, now))
            close_link(link);
          else if (link->sent == link->outgoing.size())
            park(link, now);
        } else if (link->state == Berthing::busy) {
          if (link->on_gone && !link->is_gone) {
            link->is_gone = true;
            ++counters_["door_callers_gone"];
            gone.push_back(link->on_gone);
          }
        } else if (link->state != Berthing::waiting) {
          take_bytes(link, now);
        }
      }
      const auto links = links_;
      for (const auto &[descriptor, link] : links) tend(link, now);
    }
    for (const auto &call : gone) call();
  }
}

bool Moorings::serve_one(Link &link) {
  Pipe pipe(link, options_);
  const bool is_last = is_draining_ || ++link.served >= options_.served_most;
  bool is_closed = false;
  const bool is_done = process_request(pipe, is_last, is_closed, nullptr);
  return is_done && !is_closed && !is_last;
}

void Moorings::work() {
  while (true) {
    LinkPtr link;
    {
      std::unique_lock guard(mutex_);
      ready_.wait(guard, [this] { return is_over_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      link = std::move(jobs_.front());
      jobs_.pop_front();
      link->state = Berthing::busy;
      link->is_gone = false;
      bytes_ -= std::min(bytes_, link->bytes.size());
      ++busy_;
    }
    set_gone = [this, link](std::function<void()> gone) {
      {
        std::lock_guard guard(mutex_);
        link->on_gone = std::move(gone);
      }
      wake();
    };
    hold_for_request = [this, link](std::size_t more) {
      std::lock_guard guard(mutex_);
      if (!make_room_for(more, tide_.now())) return false;
      link->request_charge.set(link->request_charge.bytes() + more);
      return true;
    };
    const bool may_stay = serve_one(*link);
    set_gone = nullptr;
    hold_for_request = nullptr;
    std::lock_guard guard(mutex_);
    finish(link, may_stay);
    wake();
  }
}

void Moorings::finish(const LinkPtr &link, bool may_stay) {
  const Instant now = tide_.now();
  --busy_;
  ++counters_["door_served"];
  link->on_gone = nullptr;
  link->may_stay = may_stay;
  link->bytes.erase(0, link->read_at);
  if (link->bytes.empty() && link->bytes.capacity() > kept_buffer_bytes) link->bytes = {};
  link->read_at = link->chunk_at = 0;
  link->was_told_to_continue = false;
  bytes_ += link->bytes.size();
  link->request_charge.set(0);
  if (link->outgoing.empty()) {
    park(link, now);
    return;
  }
  link->state = Berthing::writing;
  link->answered_at = link->progress_at = now;
  count_memory(*link);
}

void Moorings::drain() {
  if (is_over_) return;
  {
    std::lock_guard guard(mutex_);
    const Instant now = tide_.now();
    drain_until_ = now + seconds(1);
    const auto links = links_;
    for (const auto &[descriptor, link] : links)
      if (link->state == Berthing::parked) take_bytes(link, now);
    is_draining_ = true;
  }
  wake();
  while (true) {
    {
      std::lock_guard guard(mutex_);
      const bool is_quiet =
          busy_ == 0 && jobs_.empty() && std::none_of(links_.begin(), links_.end(), [](const auto &item) {
            return item.second->state != Berthing::lingering;
          });
      if (is_quiet) break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  {
    std::lock_guard guard(mutex_);
    is_over_ = true;
  }
  ready_.notify_all();
  wake();
  for (auto &duty : crew_) duty->join();
  watch_->join();
  std::lock_guard guard(mutex_);
  while (!links_.empty()) close_link(LinkPtr(links_.begin()->second));
}

} // namespace wharf
