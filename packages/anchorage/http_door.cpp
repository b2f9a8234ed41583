#include "anchorage/http_door.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "anchorage/http_door_link.hpp"

namespace wharf {

namespace {
/// Connections taken in one turn, so that a crowd at the door does not hold up those inside.
constexpr int accepted_in_a_row = 32;
} // namespace

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
    for (int turn = 0; turn < accepted_in_a_row; ++turn) {
      const int taken = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (taken >= 0) {
        door_.take(taken);
        continue;
      }
      if (errno != EMFILE && errno != ENFILE) return;
      ++door_.counters_["door_no_descriptor"];
      if (door_.close_one_for_room()) continue;
      rest();
      return;
    }
  }
  /// Listens again after a rest.
  void resume() {
    if (!is_resting_) return;
    is_resting_ = false;
    door_.loop_.change(descriptor_, EPOLLIN, *this);
  }

private:
  /// There is no descriptor for whoever waits: asked again and again, the kernel would say the same.
  void rest() {
    is_resting_ = true;
    door_.loop_.change(descriptor_, 0, *this);
  }
  HttpDoor &door_;
  int descriptor_;
  bool is_resting_ = false;
};

HttpDoor::HttpDoor(Loop &loop, const std::string &address, HttpDoorSink &sink, HttpDoorOptions options)
    : loop_(loop), sink_(sink), options_(options),
      listener_(std::make_shared<Listener>(*this, open_listener(address, options.backlog))) {
  if (options_.memory != nullptr) options_.memory->add_holder(*this);
}

HttpDoor::~HttpDoor() {
  if (options_.memory != nullptr) options_.memory->remove_holder(*this);
}

void HttpDoor::take(int descriptor) {
  if (links_.size() >= options_.links_most) {
    ++counters_["door_full"];
    if (!close_one_for_room()) {
      close(descriptor);
      return;
    }
  }
  const LinkId id = next_++;
  auto link = std::make_shared<Link>(*this, id, descriptor, tide_.now());
  links_.emplace(id, link);
  keep_within_memory(*link);
  if (link->is_open() && !link->read_in() && link->is_open()) lose(*link);
}

void HttpDoor::lose(Link &link) {
  const auto found = links_.find(link.id());
  if (found == links_.end()) return;
  const bool was_serving = link.is_waited_for();
  const LinkId id = link.id();
  link.shut();
  loop_.bury(found->second);
  links_.erase(found);
  if (was_serving) sink_.left(id);
}

bool HttpDoor::close_one_for_room() {
  const Instant now = tide_.now();
  std::shared_ptr<Link> least;
  auto least_rank = Link::Rank::needed;
  for (const auto &[id, link] : links_) {
    const auto rank = link->rank(now);
    const bool is_less = rank < least_rank || (least && rank == least_rank && link->since() < least->since());
    if (!is_less) continue;
    least = link;
    least_rank = rank;
  }
  if (!least) return false;
  ++counters_["door_closed_for_room"];
  lose(*least);
  return true;
}

std::size_t HttpDoor::largest_reclaimable() {
  const Instant now = tide_.now();
  std::size_t most = 0;
  for (const auto &[id, link] : links_) most = std::max(most, link->reclaimable(now));
  return most;
}

void HttpDoor::reclaim_largest() {
  const Instant now = tide_.now();
  std::shared_ptr<Link> largest;
  std::size_t most = 0;
  for (const auto &[id, link] : links_) {
    const std::size_t bytes = link->reclaimable(now);
    if (bytes <= most) continue;
    most = bytes;
    largest = link;
  }
  if (largest) largest->reclaim();
}

void HttpDoor::keep_within_memory(const Link &link) {
  MemoryAccount *memory = options_.memory;
  if (memory == nullptr || memory->used() <= memory->bound_for(link.held_bytes())) return;
  memory->make_room_for(std::min(link.held_bytes(), MemoryAccount::large_bytes));
}

void HttpDoor::answer(LinkId id, HttpMessage response, bool keeps_link) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const std::shared_ptr<Link> link = found->second;
  link->answer(std::move(response), keeps_link);
}

void HttpDoor::tick(Instant now) {
  if (now < tick_at_) return;
  tick_at_ = now + milliseconds(200);
  if (listener_) listener_->resume();
  std::vector<std::shared_ptr<Link>> late;
  for (const auto &[id, link] : links_) late.push_back(link);
  for (const auto &link : late)
    if (link->is_open() && !link->is_in_time(now)) lose(*link);
}

void HttpDoor::drain() { is_draining_ = true; }

std::size_t HttpDoor::serving() const {
  return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(),
                                                [](const auto &item) { return item.second->is_serving(); }));
}

} // namespace wharf
