#include "anchorage/http_door_link.hpp"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

namespace {
/// What a link takes besides the texts it holds, in this process and in the kernel.
constexpr std::size_t link_bytes = 4096;
/// How much is read of what stands behind a request that is served.
constexpr std::size_t read_ahead_most = 16384;
/// An emptied buffer of this size or less is kept for the next request.
constexpr std::size_t kept_buffer_bytes = 1024;
/// Moments of arrival that are told apart.
constexpr std::size_t arrivals_most = 16;
/// Bytes that the kernel takes of an answer beyond what is on its way to the client.
constexpr int unsent_in_kernel = 32768;
/// An answer that is read more slowly than this may be given up when memory is short, after a while.
constexpr std::size_t slow_bytes_a_second = 64u << 10;
constexpr Span slow_after = milliseconds(500);
constexpr Span linger = seconds(1), rest_in_drain = milliseconds(300);

/// What the kernel may hold of bytes that this process does not read.
std::size_t kernel_buffer(int descriptor) {
  int bytes = 0;
  socklen_t size = sizeof bytes;
  constexpr std::size_t unknown = 128u << 10;
  if (getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, &size) != 0 || bytes <= 0) return unknown;
  return static_cast<std::size_t>(bytes);
}
} // namespace

HttpDoor::Link::Link(HttpDoor &door, LinkId id, int descriptor, Instant now)
    : door_(door), id_(id), descriptor_(descriptor), since_(now), reader_(HttpReader::Side::requests),
      charge_(door.options_.memory, link_bytes), watched_(EPOLLIN) {
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_in_kernel, sizeof unsent_in_kernel);
  door_.loop_.add(descriptor_, EPOLLIN, *this);
}

void HttpDoor::Link::shut() {
  if (descriptor_ < 0) return;
  door_.loop_.remove(descriptor_);
  close(descriptor_);
  descriptor_ = -1;
  incoming_ = {};
  outgoing_.clear();
  reader_.drop();
  charge_.set(0);
}

void HttpDoor::Link::reset() {
  const struct linger at_once { 1, 0 };
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void HttpDoor::Link::ready(std::uint32_t events) {
  if (!is_open()) return;
  bool is_fine = (events & EPOLLERR) == 0;
  if (is_fine && (events & EPOLLOUT) != 0) is_fine = write_out() && go_on();
  if (is_fine && is_open() && (events & (EPOLLIN | EPOLLHUP)) != 0) is_fine = read_in();
  if (!is_fine && is_open()) door_.lose(*this);
}

bool HttpDoor::Link::read_in() {
  char bytes[16384];
  const ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
  if (count < 0) return errno == EAGAIN || errno == EINTR;
  if (count == 0) return read_end();
  if (phase_ == Phase::ending) return true;
  incoming_.append(bytes, static_cast<std::size_t>(count));
  note_arrival(static_cast<std::size_t>(count));
  if (may_read_request()) return parse();
  is_held_ = incoming_.size() >= read_ahead_most;
  watch();
  count_memory();
  return true;
}

/// The client has ended its half; what it was promised still goes to it.
bool HttpDoor::Link::read_end() {
  const bool is_waiting = phase_ == Phase::serving;
  if (!is_waiting && outgoing_.is_empty()) return false;
  has_ended_ = true;
  if (!is_waiting) phase_ = Phase::ending;
  watch();
  if (is_waiting) door_.sink_.left(id_);
  return true;
}

bool HttpDoor::Link::parse() {
  if (is_parsing_) return true;
  is_parsing_ = true;
  bool is_fine = true;
  while (is_fine && may_read_request() && !incoming_.empty() && is_open()) {
    if (!reader_.has_begun()) {
      since_ = door_.tide_.now();
      begun_at_ = arrivals_.front().at;
      reader_.set_bounds(door_.options_.bounds);
    }
    std::size_t used = 0;
    const Reading reading = reader_.feed(incoming_, used);
    consume(used);
    is_fine = hand_on(reading);
    if (reading == Reading::partial) break;
  }
  is_parsing_ = false;
  if (is_open()) count_memory();
  return is_fine;
}

/// Hands on a request that is whole, refuses one that is broken.
bool HttpDoor::Link::hand_on(Reading reading) {
  if (reading == Reading::partial) return true;
  if (reading != Reading::whole) {
    refuse(reading == Reading::head_too_large ? 431 : reading == Reading::body_too_large ? 413 : 400);
    return true;
  }
  HttpMessage request = reader_.take();
  request.begun_at = begun_at_;
  phase_ = Phase::serving;
  since_ = door_.tide_.now();
  keeps_link_ = request.keeps_link;
  is_head_ = request.method == "HEAD";
  count_memory();
  if (!is_open()) return true;
  ++door_.counters_["door_requests"];
  door_.sink_.asked(id_, std::move(request));
  return true;
}

void HttpDoor::Link::note_arrival(std::size_t size) {
  if (arrivals_.size() < arrivals_most)
    arrivals_.push_back({size, door_.tide_.now()});
  else
    arrivals_.back().size += size;
}

/// Drops bytes that have been read, with what is known of their arrival.
void HttpDoor::Link::consume(std::size_t size) {
  incoming_.erase(0, size);
  if (incoming_.empty() && incoming_.capacity() > kept_buffer_bytes) incoming_ = {};
  while (size > 0) {
    Arrived &first = arrivals_.front();
    const std::size_t part = std::min(size, first.size);
    first.size -= part;
    size -= part;
    if (first.size == 0) arrivals_.pop_front();
  }
}

void HttpDoor::Link::refuse(int status) {
  ++door_.counters_["door_refused_" + std::to_string(status)];
  HttpMessage response;
  response.status = status;
  if (status == 503) response.set("Retry-After", "1");
  phase_ = Phase::serving;
  reader_.drop();
  incoming_ = {};
  arrivals_.clear();
  answer(std::move(response), false);
}

void HttpDoor::Link::answer(HttpMessage response, bool keeps_link) {
  if (phase_ != Phase::serving) return;
  keeps_link_ = keeps_link_ && keeps_link && !door_.is_draining_ && !has_ended_;
  std::string head = response_head(response, keeps_link_);
  if (!has_body_to_send(response, is_head_)) response.body = {};
  outgoing_.add_message(std::move(head), std::move(response.body));
  phase_ = keeps_link_ ? Phase::reading : Phase::ending;
  since_ = answered_at_ = progress_at_ = door_.tide_.now();
  sent_ = 0;
  is_held_ = false;
  if (!write_out() || !go_on()) door_.lose(*this);
}

/// Reads on after an answer has been sent.
bool HttpDoor::Link::go_on() {
  if (is_open() && may_read_request() && !incoming_.empty()) return parse();
  if (is_open()) count_memory();
  return true;
}

bool HttpDoor::Link::write_out() {
  std::size_t sent = 0;
  if (!outgoing_.send(descriptor_, sent)) return false;
  sent_ += sent;
  if (sent > 0) progress_at_ = door_.tide_.now();
  if (outgoing_.is_empty() && phase_ == Phase::reading) {
    since_ = progress_at_;
    is_held_ = false;
  }
  if (outgoing_.is_empty() && phase_ == Phase::ending && !is_shut_) {
    is_shut_ = true;
    since_ = door_.tide_.now();
    if (has_ended_) return false;
    shutdown(descriptor_, SHUT_WR);
  }
  watch();
  return true;
}

void HttpDoor::Link::watch() {
  const std::uint32_t wanted = (outgoing_.is_empty() ? 0u : static_cast<std::uint32_t>(EPOLLOUT)) |
                               (is_held_ || has_ended_ ? 0u : static_cast<std::uint32_t>(EPOLLIN));
  if (wanted == watched_) return;
  watched_ = wanted;
  door_.loop_.change(descriptor_, wanted, *this);
}

bool HttpDoor::Link::is_in_time(Instant now) {
  const HttpDoorOptions &options = door_.options_;
  if (!outgoing_.is_empty()) return now - progress_at_ < options.write_within;
  if (phase_ == Phase::ending) return now - since_ < linger;
  if (phase_ == Phase::serving) return true;
  if (!reader_.has_begun()) return now - since_ < (door_.is_draining_ ? rest_in_drain : options.idle);
  const Span within = reader_.has_head() ? options.body_within : options.head_within;
  if (now - since_ >= within) refuse(408);
  return true;
}

bool HttpDoor::Link::is_read_too_slowly(Instant now) const {
  if (outgoing_.is_empty() || now - answered_at_ < slow_after) return false;
  const double wanted =
      static_cast<double>(slow_bytes_a_second) * static_cast<double>(now - answered_at_) / 1e9;
  return static_cast<double>(sent_) < wanted;
}

HttpDoor::Link::Rank HttpDoor::Link::rank(Instant now) const {
  if (!outgoing_.is_empty()) return is_read_too_slowly(now) ? Rank::reading_too_slowly : Rank::needed;
  if (phase_ != Phase::reading) return Rank::needed;
  return reader_.has_begun() || !incoming_.empty() ? Rank::sending_request : Rank::resting;
}

std::size_t HttpDoor::Link::reclaimable(Instant now) const {
  if (!is_open()) return 0;
  if (rank(now) != Rank::needed) return charge_.bytes();
  // What stands behind a request that is served goes with the link.
  return phase_ == Phase::serving && is_held_ ? charge_.bytes() : 0;
}

void HttpDoor::Link::reclaim() {
  if (rank(door_.tide_.now()) == Rank::sending_request) {
    ++door_.counters_["door_shed_requests"];
    refuse(503);
    return;
  }
  ++door_.counters_[outgoing_.is_empty() ? "door_shed_links" : "door_shed_answers"];
  reset();
  door_.lose(*this);
}

void HttpDoor::Link::count_memory() {
  std::size_t bytes = link_bytes + heap_bytes(incoming_) + reader_.held_bytes() + outgoing_.held_bytes();
  if (is_held_) bytes += kernel_buffer(descriptor_);
  const bool has_grown = bytes > charge_.bytes();
  charge_.set(bytes);
  if (has_grown) door_.keep_within_memory(*this);
}

} // namespace wharf
