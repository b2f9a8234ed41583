#include "anchorage/cables.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wharf {

namespace {
/// What a link that another process opened takes besides what it sent.
constexpr std::size_t link_bytes = 4096;
/// An emptied buffer of this size or less is kept.
constexpr std::size_t kept_buffer_bytes = 65536;
} // namespace

class Cables::Cable final : public Watched {
public:
  Cable(Cables &owner, std::string address)
      : owner_(owner), address_(std::move(address)), charge_(owner.options_.memory) {}
  ~Cable() override { shut(); }
  void shut() {
    if (descriptor < 0) return;
    owner_.loop_.remove(descriptor);
    close(descriptor);
    descriptor = -1;
    charge_.set(0);
  }
  void ready(std::uint32_t events) override {
    if (descriptor < 0) return;
    bool is_fine = (events & EPOLLERR) == 0;
    if (is_fine && (events & EPOLLOUT) != 0) {
      is_up = true;
      given_up = 0;
      is_fine = write_out();
    }
    if (is_fine && (events & (EPOLLIN | EPOLLHUP | EPOLLRDHUP)) != 0) is_fine = read_in();
    if (!is_fine) owner_.lose(*this);
  }
  bool write_out() {
    std::size_t at = 0;
    while (at < outgoing.size()) {
      const ssize_t count = ::send(descriptor, outgoing.data() + at, outgoing.size() - at, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0 && errno != EAGAIN) return false;
      if (count < 0) break;
      at += static_cast<std::size_t>(count);
    }
    owner_.bytes_sent_ += at;
    outgoing.erase(0, at);
    const bool wants_out = !outgoing.empty();
    if (wants_out != is_waiting_out) {
      is_waiting_out = wants_out;
      owner_.loop_.change(descriptor, EPOLLIN | (wants_out ? EPOLLOUT : 0u), *this);
    }
    return true;
  }
  bool read_in() {
    char bytes[65536];
    const ssize_t count = read(descriptor, bytes, sizeof bytes);
    if (count < 0) return errno == EAGAIN || errno == EINTR;
    if (count == 0) return false;
    incoming.append(bytes, static_cast<std::size_t>(count));
    heard_at = owner_.tide_.now();
    std::size_t at = 0;
    while (descriptor >= 0) {
      Envelope envelope;
      std::size_t used = 0;
      const FrameState state = unframe(std::string_view(incoming).substr(at), envelope, used);
      if (state == FrameState::broken) return false;
      if (state == FrameState::partial) break;
      at += used;
      owner_.sink_(std::move(envelope));
    }
    incoming.erase(0, at);
    if (incoming.empty() && incoming.capacity() > kept_buffer_bytes) incoming = {};
    return count_memory();
  }

  /// False when the frame that is being read is given up for want of memory.
  bool count_memory() {
    MemoryAccount *memory = owner_.options_.memory;
    charge_.set(is_theirs ? link_bytes + heap_bytes(incoming) : 0);
    if (memory == nullptr || memory->used() <= memory->bound_for(charge_.bytes())) return true;
    memory->make_room_for(std::min(charge_.bytes(), MemoryAccount::large_bytes));
    return descriptor >= 0;
  }

  /// What is given back by giving up a frame that isn't whole.
  std::size_t reclaimable() const {
    return charge_.bytes() >= MemoryAccount::large_bytes ? charge_.bytes() : 0;
  }

  Cables &owner_;
  std::string address_, incoming, outgoing;
  MemoryCharge charge_;
  Instant heard_at = 0;
  bool is_theirs = false;
  int descriptor = -1;
  bool is_up = false, is_waiting_out = false, is_dirty = false;
  Instant retry_at = 0, dialed_at = 0;
  /// Dials given up since a connection was last made.
  std::uint32_t given_up = 0;
};

class Cables::Listener final : public Watched {
public:
  Listener(Cables &owner, int descriptor) : owner_(owner), descriptor_(descriptor) {
    owner_.loop_.add(descriptor_, EPOLLIN, *this);
  }
  ~Listener() override {
    owner_.loop_.remove(descriptor_);
    close(descriptor_);
  }
  void ready(std::uint32_t) override {
    const int taken = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (taken >= 0)
      owner_.take(taken);
    else if (errno == EMFILE || errno == ENFILE)
      owner_.end_most_silent();
  }

private:
  Cables &owner_;
  int descriptor_;
};

Cables::Cables(Loop &loop, const std::string &address, Sink sink, CableOptions options)
    : loop_(loop), sink_(std::move(sink)), options_(options),
      listener_(std::make_shared<Listener>(*this, open_listener(address, 256))) {
  if (options_.memory != nullptr) options_.memory->add_holder(*this);
}

Cables::~Cables() {
  if (options_.memory != nullptr) options_.memory->remove_holder(*this);
}

void Cables::take(int descriptor) {
  if (theirs_.size() >= options_.accepted_most) end_most_silent();
  auto cable = std::make_shared<Cable>(*this, std::string());
  cable->descriptor = descriptor;
  cable->is_up = cable->is_theirs = true;
  cable->heard_at = tide_.now();
  loop_.add(descriptor, EPOLLIN, *cable);
  theirs_[descriptor] = cable;
  cable->count_memory();
}

void Cables::end_most_silent() {
  const auto silent =
      std::min_element(theirs_.begin(), theirs_.end(), [](const auto &left, const auto &right) {
        return left.second->heard_at < right.second->heard_at;
      });
  if (silent == theirs_.end()) return;
  const std::shared_ptr<Cable> kept = silent->second;
  lose(*kept);
}

std::shared_ptr<Cables::Cable> Cables::largest_unfinished() const {
  std::shared_ptr<Cable> largest;
  for (const auto &[descriptor, cable] : theirs_)
    if (cable->reclaimable() > (largest ? largest->reclaimable() : 0)) largest = cable;
  return largest;
}

std::size_t Cables::largest_reclaimable() {
  const auto largest = largest_unfinished();
  return largest ? largest->reclaimable() : 0;
}

void Cables::reclaim_largest() {
  const auto largest = largest_unfinished();
  if (!largest) return;
  ++dropped_;
  lose(*largest);
}

void Cables::open(Cable &cable, Instant now) {
  if (now < cable.retry_at) return;
  cable.retry_at = now + options_.dial_again;
  cable.dialed_at = now;
  cable.descriptor = open_call(cable.address_, options_.silent_most);
  if (cable.descriptor < 0) return;
  cable.is_waiting_out = true;
  loop_.add(cable.descriptor, EPOLLIN | EPOLLOUT, cable);
}

void Cables::lose(Cable &cable) {
  const int descriptor = cable.descriptor;
  if (!cable.outgoing.empty()) ++dropped_;
  cable.shut();
  cable.is_up = false;
  cable.outgoing.clear();
  cable.incoming.clear();
  const auto found = theirs_.find(descriptor);
  if (found == theirs_.end() || found->second.get() != &cable) return;
  loop_.bury(found->second);
  theirs_.erase(found);
}

void Cables::give_up_late_dial(Cable &cable, Instant now) {
  if (cable.descriptor < 0 || cable.is_up) return;
  const std::uint32_t doublings = cable.given_up - std::min(cable.given_up, options_.quick_dials - 1);
  constexpr std::uint32_t doublings_most = 16;
  const Span within =
      std::min(options_.silent_most, options_.dial_within << std::min(doublings, doublings_most));
  if (now - cable.dialed_at < within) return;
  ++dials_given_up_;
  ++cable.given_up;
  lose(cable);
}

void Cables::send(const std::string &address, std::string_view bytes) {
  auto &cable = ours_[address];
  if (!cable) cable = std::make_shared<Cable>(*this, address);
  give_up_late_dial(*cable, tide_.now());
  if (cable->descriptor < 0) open(*cable, tide_.now());
  if (cable->descriptor < 0 || cable->outgoing.size() + bytes.size() > options_.waiting_most + frame_limit) {
    ++dropped_;
    return;
  }
  cable->outgoing += bytes;
  if (cable->is_dirty) return;
  cable->is_dirty = true;
  dirty_.push_back(cable);
}

void Cables::flush() {
  for (const auto &cable : dirty_) {
    cable->is_dirty = false;
    if (cable->descriptor >= 0 && cable->is_up && !cable->write_out()) lose(*cable);
  }
  dirty_.clear();
}

} // namespace wharf
