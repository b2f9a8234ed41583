#include "anchorage/http_door.hpp"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

class HttpDoor::Link final : public Watched {
public:
  enum class Phase : std::uint8_t { reading, serving, ending };

  Link(HttpDoor &door, LinkId id, int descriptor, Instant now)
      : door_(door), id_(id), descriptor_(descriptor), since_(now), reader_(HttpReader::Side::requests) {
    door_.loop_.add(descriptor_, EPOLLIN, *this);
  }
  ~Link() override { shut(); }
  void shut() {
    if (descriptor_ < 0) return;
    door_.loop_.remove(descriptor_);
    close(descriptor_);
    descriptor_ = -1;
  }

  void ready(std::uint32_t events) override {
    if (descriptor_ < 0) return;
    bool is_fine = (events & EPOLLERR) == 0;
    if (is_fine && (events & EPOLLOUT) != 0) is_fine = write_out();
    if (is_fine && descriptor_ >= 0 && (events & (EPOLLIN | EPOLLHUP)) != 0) is_fine = read_in();
    if (!is_fine && descriptor_ >= 0) door_.lose(*this);
  }

  bool read_in() {
    char bytes[16384];
    const ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
    if (count < 0) return errno == EAGAIN || errno == EINTR;
    if (count == 0) {
      if (phase_ != Phase::serving || !outgoing_.empty()) return false;
      has_ended_ = true;
      watch();
      door_.sink_.left(id_);
      return true;
    }
    if (phase_ == Phase::ending) return true;
    incoming_.append(bytes, static_cast<std::size_t>(count));
    arrivals_.push_back({static_cast<std::size_t>(count), door_.tide_.now()});
    if (phase_ == Phase::serving) {
      is_held_ = incoming_.size() > 65536;
      watch();
      return true;
    }
    return parse();
  }

  bool parse() {
    while (phase_ == Phase::reading && !incoming_.empty() && descriptor_ >= 0) {
      if (!reader_.has_begun()) {
        since_ = door_.tide_.now();
        begun_at_ = arrivals_.front().at;
        reader_.set_bounds(door_.options_.bounds);
      }
      std::size_t used = 0;
      const Reading reading = reader_.feed(incoming_, used);
      consume(used);
      if (reading == Reading::partial) return true;
      if (reading != Reading::whole) {
        const int status = reading == Reading::head_too_large   ? 431
                           : reading == Reading::body_too_large ? 413
                                                                : 400;
        refuse(status);
        return true;
      }
      HttpMessage request = reader_.take();
      request.begun_at = begun_at_;
      phase_ = Phase::serving;
      since_ = door_.tide_.now();
      keeps_link_ = request.keeps_link;
      is_head_ = request.method == "HEAD";
      ++door_.counters_["door_requests"];
      door_.sink_.asked(id_, std::move(request));
    }
    return true;
  }

  /// Drops bytes that have been read, with what is known of their arrival.
  void consume(std::size_t size) {
    incoming_.erase(0, size);
    while (size > 0) {
      Arrived &first = arrivals_.front();
      const std::size_t part = std::min(size, first.size);
      first.size -= part;
      size -= part;
      if (first.size == 0) arrivals_.pop_front();
    }
  }

  void refuse(int status) {
    ++door_.counters_["door_refused_" + std::to_string(status)];
    HttpMessage response;
    response.status = status;
    phase_ = Phase::serving;
    keeps_link_ = false;
    answer(response, false);
  }

  void answer(const HttpMessage &response, bool keeps_link) {
    if (phase_ != Phase::serving) return;
    keeps_link_ = keeps_link_ && keeps_link && !door_.is_draining_ && !has_ended_;
    outgoing_ += response_bytes(response, keeps_link_, is_head_);
    phase_ = keeps_link_ ? Phase::reading : Phase::ending;
    since_ = door_.tide_.now();
    is_held_ = false;
    if (!write_out()) {
      door_.lose(*this);
      return;
    }
    if (descriptor_ >= 0 && phase_ == Phase::reading && !incoming_.empty() && !is_parsing_) {
      is_parsing_ = true;
      if (!parse()) door_.lose(*this);
      is_parsing_ = false;
    }
  }

  bool write_out() {
    std::size_t at = 0;
    while (at < outgoing_.size()) {
      const ssize_t count = ::send(descriptor_, outgoing_.data() + at, outgoing_.size() - at, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0 && errno != EAGAIN) return false;
      if (count < 0) break;
      at += static_cast<std::size_t>(count);
    }
    outgoing_.erase(0, at);
    if (outgoing_.empty() && phase_ == Phase::ending && !is_shut_) {
      is_shut_ = true;
      if (has_ended_) return false;
      shutdown(descriptor_, SHUT_WR);
    }
    watch();
    return true;
  }

  void watch() {
    const std::uint32_t wanted = (outgoing_.empty() ? 0u : static_cast<std::uint32_t>(EPOLLOUT)) |
                                 (is_held_ || has_ended_ ? 0u : static_cast<std::uint32_t>(EPOLLIN));
    if (wanted == watched_) return;
    watched_ = wanted;
    door_.loop_.change(descriptor_, wanted, *this);
  }

  /// False when the link has been too slow or has rested too long.
  bool is_in_time(Instant now) {
    const HttpDoorOptions &options = door_.options_;
    if (!outgoing_.empty()) return now - since_ < options.write_within;
    if (phase_ == Phase::ending) return now - since_ < seconds(1);
    if (phase_ == Phase::serving) return true;
    if (!reader_.has_begun()) return now - since_ < (door_.is_draining_ ? milliseconds(300) : options.idle);
    const Span within = reader_.has_head() ? options.body_within : options.head_within;
    if (now - since_ >= within) refuse(408);
    return true;
  }

  HttpDoor &door_;
  LinkId id_;
  int descriptor_;
  Phase phase_ = Phase::reading;
  Instant since_ = 0;
  HttpReader reader_;
  std::string incoming_, outgoing_;
  /// The bytes that are in `incoming_`, by when they arrived: a request may have waited behind another one.
  struct Arrived {
    std::size_t size = 0;
    Instant at = 0;
  };
  std::deque<Arrived> arrivals_;
  /// When the first byte of the request that is being read arrived.
  Instant begun_at_ = 0;
  std::uint32_t watched_ = EPOLLIN;
  bool keeps_link_ = true, is_head_ = false, is_held_ = false, has_ended_ = false, is_shut_ = false,
       is_parsing_ = false;
};

class HttpDoor::Listener final : public Watched {
public:
  Listener(HttpDoor &door, int descriptor) : door_(door), descriptor_(descriptor) {
    door_.loop_.add(descriptor_, EPOLLIN, *this);
  }
  ~Listener() override {
    door_.loop_.remove(descriptor_);
    close(descriptor_);
  }
  void ready(std::uint32_t) override {
    const int taken = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (taken < 0) return;
    if (door_.links_.size() >= door_.options_.links_most) {
      ++door_.counters_["door_full"];
      close(taken);
      return;
    }
    const int on = 1;
    setsockopt(taken, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const LinkId id = door_.next_++;
    auto link = std::make_shared<Link>(door_, id, taken, door_.tide_.now());
    door_.links_.emplace(id, link);
    if (!link->read_in()) door_.lose(*link);
  }

private:
  HttpDoor &door_;
  int descriptor_;
};

HttpDoor::HttpDoor(Loop &loop, const std::string &address, HttpDoorSink &sink, HttpDoorOptions options)
    : loop_(loop), sink_(sink), options_(options),
      listener_(std::make_shared<Listener>(*this, open_listener(address, options.backlog))) {}

HttpDoor::~HttpDoor() = default;

void HttpDoor::lose(Link &link) {
  const auto found = links_.find(link.id_);
  if (found == links_.end()) return;
  const bool was_serving = link.phase_ == Link::Phase::serving && !link.has_ended_;
  const LinkId id = link.id_;
  link.shut();
  loop_.bury(found->second);
  links_.erase(found);
  if (was_serving) sink_.left(id);
}

void HttpDoor::answer(LinkId id, const HttpMessage &response, bool keeps_link) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const std::shared_ptr<Link> link = found->second;
  link->answer(response, keeps_link);
}

void HttpDoor::tick(Instant now) {
  if (now < tick_at_) return;
  tick_at_ = now + milliseconds(200);
  std::vector<std::shared_ptr<Link>> late;
  for (const auto &[id, link] : links_) late.push_back(link);
  for (const auto &link : late)
    if (link->descriptor_ >= 0 && !link->is_in_time(now)) lose(*link);
}

void HttpDoor::drain() { is_draining_ = true; }

std::size_t HttpDoor::serving() const {
  return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &item) {
    return item.second->phase_ == Link::Phase::serving || !item.second->outgoing_.empty();
  }));
}

} // namespace wharf
