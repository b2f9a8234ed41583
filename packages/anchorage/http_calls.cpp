#include "anchorage/http_calls.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <deque>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

class HttpCalls::Link final : public Watched {
public:
  explicit Link(HttpCalls &calls)
      : calls_(calls), reader_(HttpReader::Side::responses), charge_(calls.options_.memory) {}
  ~Link() override { shut(); }
  void shut() {
    if (descriptor_ < 0) return;
    calls_.loop_.remove(descriptor_);
    close(descriptor_);
    descriptor_ = -1;
    --calls_.links_;
    outgoing_.clear();
    reader_.drop();
    charge_.set(0);
  }

  void begin(HttpCall call, Instant now) {
    call_ = std::move(call);
    is_busy_ = true;
    started_ = now;
    passed_ = 0;
    reader_.set_bounds({65536, calls_.options_.body_most});
    if (call_.request.method == "HEAD") reader_.expect_no_body();
    std::string head = request_head(call_.request);
    outgoing_.add_message(std::move(head), std::move(call_.request.body));
    call_.request = {};
    is_admitted_ = is_held_back_ = false;
    count_memory();
    if (is_up_ && !write_out()) calls_.end(*this, CallFate::lost);
  }

  void ready(std::uint32_t events) override {
    if (descriptor_ < 0) return;
    if (!is_up_) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
        calls_.end(*this, CallFate::unreached);
        return;
      }
      if ((events & EPOLLOUT) == 0) return;
      is_up_ = true;
      if (knocked_) {
        const auto done = std::move(knocked_);
        knocked_ = nullptr;
        watch(EPOLLIN);
        calls_.rest(*this);
        done(true);
        return;
      }
      if (!write_out()) calls_.end(*this, CallFate::lost);
      return;
    }
    if ((events & EPOLLOUT) != 0 && !write_out()) {
      calls_.end(*this, CallFate::lost);
      return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read_in();
  }

  bool write_out() {
    if (!outgoing_.is_empty() && call_.may_send && !call_.may_send()) return false;
    std::size_t sent = 0;
    const bool is_fine = outgoing_.send(descriptor_, sent);
    has_sent_ = has_sent_ || sent > 0;
    if (!is_fine) return false;
    count_memory();
    watch_as_needed();
    return true;
  }

  void watch_as_needed() {
    watch((is_held_back_ ? 0u : static_cast<std::uint32_t>(EPOLLIN)) |
          (outgoing_.is_empty() ? 0u : static_cast<std::uint32_t>(EPOLLOUT)));
  }

  void count_memory() { charge_.set(outgoing_.held_bytes() + reader_.held_bytes()); }

  /// Once an answer's head is there: whether memory lets its body be read. What is long waits where there is
  /// no room, so that it stays with the runner.
  bool may_read_on() {
    count_memory();
    MemoryAccount *memory = calls_.options_.memory;
    if (memory == nullptr || is_admitted_ || !reader_.has_head()) return true;
    const std::size_t taken = reader_.message().body.size();
    const std::size_t missing = reader_.announced_body() > taken ? reader_.announced_body() - taken : taken;
    if (std::max(missing, taken) >= MemoryAccount::large_bytes && !memory->make_room_for(missing))
      return false;
    // A body of no known length is looked at again each time that it grows.
    is_admitted_ = reader_.announced_body() > 0;
    if (is_admitted_) reader_.reserve_body();
    count_memory();
    return true;
  }

  /// True for an answer that would not fit if nothing else were held.
  bool is_beyond_memory() const {
    const MemoryAccount *memory = calls_.options_.memory;
    return memory != nullptr && reader_.announced_body() > memory->bound_for(reader_.announced_body());
  }

  void hold_back() {
    is_held_back_ = true;
    ++calls_.held_back_;
    watch_as_needed();
  }

  /// Reads on where memory has come free meanwhile.
  void try_again() {
    if (!is_held_back_ || !may_read_on()) return;
    is_held_back_ = false;
    watch_as_needed();
  }

  void read_in() {
    char bytes[16384];
    const ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (!is_busy_) {
      calls_.end(*this, CallFate::lost);
      return;
    }
    if (count <= 0) {
      const bool is_whole = count == 0 && reader_.has_head() && reader_.end() == Reading::whole;
      if (is_whole)
        take_answer(false);
      else
        calls_.end(*this, reader_.has_begun() ? CallFate::garbled : CallFate::lost);
      return;
    }
    std::string_view rest(bytes, static_cast<std::size_t>(count));
    while (is_busy_ && descriptor_ >= 0 && !rest.empty()) {
      std::size_t used = 0;
      const Reading reading = reader_.feed(rest, used);
      rest.remove_prefix(used);
      if (reading == Reading::partial) {
        if (is_beyond_memory())
          calls_.end(*this, CallFate::garbled);
        else if (!may_read_on())
          hold_back();
        return;
      }
      if (reading != Reading::whole) {
        calls_.end(*this, CallFate::garbled);
        return;
      }
      if (!take_answer(!rest.empty())) return;
    }
  }

  /// Takes one whole message; true when it was none for this call and reading goes on.
  bool take_answer(bool has_more) {
    HttpMessage response = reader_.take();
    count_memory();
    if (response.status / 100 == 1) return true;
    if (call_.is_mine && !call_.is_mine(response, !was_reused_ && passed_ == 0)) {
      is_tainted_ = true;
      if (++passed_ > 8 || !response.keeps_link) {
        calls_.end(*this, CallFate::garbled);
        return false;
      }
      return true;
    }
    is_tainted_ = is_tainted_ || has_more || !response.keeps_link || !outgoing_.is_empty();
    if (const std::string *named = response.find("Keep-Alive")) {
      const auto at = named->find("timeout=");
      long whole = 0;
      const char *from = named->data() + (at == std::string::npos ? 0 : at + 8);
      if (std::from_chars(from, named->data() + named->size(), whole).ec == std::errc())
        rest_for_ = std::min(calls_.options_.rest_most, seconds(whole));
    }
    CallAnswer answer{CallFate::answered, std::move(response), was_reused_};
    auto done = std::move(call_.done);
    is_busy_ = false;
    if (is_tainted_)
      calls_.end(*this, CallFate::lost);
    else
      calls_.rest(*this);
    done(std::move(answer));
    return false;
  }

  void watch(std::uint32_t events) {
    if (events == watched_) return;
    watched_ = events;
    calls_.loop_.change(descriptor_, events, *this);
  }

  HttpCalls &calls_;
  int descriptor_ = -1;
  std::string peer_;
  OutgoingBytes outgoing_;
  HttpReader reader_;
  MemoryCharge charge_;
  HttpCall call_;
  std::function<void(bool)> knocked_;
  Instant started_ = 0, rested_at_ = 0, knock_until_ = 0;
  Span rest_for_ = 0;
  std::uint32_t watched_ = 0;
  int passed_ = 0;
  bool is_up_ = false, is_busy_ = false, has_sent_ = false, is_tainted_ = false, was_reused_ = false;
  /// The answer's body fits and may be read; reading waits for memory.
  bool is_admitted_ = false, is_held_back_ = false;
};

HttpCalls::HttpCalls(Loop &loop, HttpCallOptions options) : loop_(loop), options_(options) {}
HttpCalls::~HttpCalls() = default;

std::shared_ptr<HttpCalls::Link> HttpCalls::open(const std::string &address, const std::string &peer) {
  if (links_ >= options_.links_most && !end_oldest_at_rest()) return nullptr;
  auto link = std::make_shared<Link>(*this);
  link->peer_ = peer;
  link->rest_for_ = options_.rest_unnamed;
  link->descriptor_ = open_call(address, options_.silent_most);
  if (link->descriptor_ < 0) return nullptr;
  ++links_;
  ++opened_;
  link->watched_ = EPOLLIN | EPOLLOUT;
  loop_.add(link->descriptor_, link->watched_, *link);
  busy_[link.get()] = link;
  return link;
}

void HttpCalls::call(HttpCall call) {
  const Instant now = tide_.now();
  auto &rested = resting_[call.peer];
  while (!rested.empty()) {
    auto link = rested.back();
    rested.pop_back();
    const Span age = now - link->rested_at_;
    if (age > call.rested_most || age > link->rest_for_) {
      link->shut();
      loop_.bury(link);
      continue;
    }
    link->was_reused_ = true;
    link->has_sent_ = false;
    busy_[link.get()] = link;
    link->begin(std::move(call), now);
    return;
  }
  auto link = open(call.address, call.peer);
  if (!link) {
    loop_.post([done = std::move(call.done)] { done({CallFate::unreached, {}, false}); });
    return;
  }
  link->begin(std::move(call), now);
}

void HttpCalls::knock(const std::string &address, const std::string &peer, Instant deadline,
                      std::function<void(bool)> done) {
  auto link = open(address, peer);
  if (!link) {
    loop_.post([done = std::move(done)] { done(false); });
    return;
  }
  link->knocked_ = std::move(done);
  link->knock_until_ = deadline;
  link->started_ = tide_.now();
}

bool HttpCalls::end_oldest_at_rest() {
  std::deque<std::shared_ptr<Link>> *where = nullptr;
  for (auto &[peer, rested] : resting_) {
    if (rested.empty()) continue;
    if (where == nullptr || rested.front()->rested_at_ < where->front()->rested_at_) where = &rested;
  }
  if (where == nullptr) return false;
  where->front()->shut();
  loop_.bury(where->front());
  where->pop_front();
  return true;
}

void HttpCalls::rest(Link &link) {
  const auto found = busy_.find(&link);
  if (found == busy_.end()) return;
  const auto kept = found->second;
  busy_.erase(found);
  link.rested_at_ = tide_.now();
  auto &rested = resting_[link.peer_];
  rested.push_back(kept);
  if (rested.size() <= options_.resting_most) return;
  rested.front()->shut();
  loop_.bury(rested.front());
  rested.pop_front();
}

void HttpCalls::end(Link &link, CallFate fate) {
  std::shared_ptr<Link> kept;
  if (const auto found = busy_.find(&link); found != busy_.end()) {
    kept = found->second;
    busy_.erase(found);
  } else if (const auto peer = resting_.find(link.peer_); peer != resting_.end()) {
    for (const auto &other : peer->second)
      if (other.get() == &link) kept = other;
    std::erase(peer->second, kept);
  }
  if (fate == CallFate::lost && !link.has_sent_ && link.is_busy_) fate = CallFate::unreached;
  link.shut();
  if (kept) loop_.bury(kept);
  if (link.knocked_) {
    const auto done = std::move(link.knocked_);
    link.knocked_ = nullptr;
    done(false);
  }
  if (!link.is_busy_) return;
  link.is_busy_ = false;
  const auto done = std::move(link.call_.done);
  done({fate, {}, link.was_reused_});
}

void HttpCalls::cancel(const std::string &name) {
  for (const auto &[key, link] : busy_) {
    if (!link->is_busy_ || link->call_.name != name) continue;
    const auto kept = link;
    end(*kept, CallFate::lost);
    return;
  }
}

void HttpCalls::forget(const std::string &peer) {
  const auto found = resting_.find(peer);
  if (found == resting_.end()) return;
  for (const auto &link : found->second) {
    link->shut();
    loop_.bury(link);
  }
  resting_.erase(found);
}

void HttpCalls::tick(Instant now) {
  if (now < tick_at_) return;
  tick_at_ = now + milliseconds(10);
  std::vector<std::shared_ptr<Link>> late;
  for (const auto &[key, link] : busy_) {
    link->try_again();
    const bool is_unconnected = !link->is_up_ && now - link->started_ > options_.connect_within;
    const bool is_over = link->is_busy_ && now >= link->call_.deadline;
    const bool has_knocked = link->knocked_ && now >= link->knock_until_;
    if (is_unconnected || is_over || has_knocked) late.push_back(link);
  }
  for (const auto &link : late) end(*link, link->is_up_ ? CallFate::late : CallFate::unreached);
  for (auto peer = resting_.begin(); peer != resting_.end();) {
    std::erase_if(peer->second, [&](const auto &link) {
      if (now - link->rested_at_ <= link->rest_for_) return false;
      link->shut();
      loop_.bury(link);
      return true;
    });
    peer = peer->second.empty() ? resting_.erase(peer) : std::next(peer);
  }
}

} // namespace wharf
