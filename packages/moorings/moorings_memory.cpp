// What links hold of the process's memory and descriptors, and whose is taken back when they run short.
#include "moorings/mooring_link.hpp"

namespace wharf {

namespace {
/// An answer that is read more slowly than this may be given up when memory is short, after a while.
constexpr std::size_t slow_bytes_a_second = 64u << 10;
constexpr Span slow_after = milliseconds(500);
} // namespace

void Moorings::count_memory(Link &link) {
  const std::size_t bytes = mooring_link_bytes + heap_bytes(link.bytes) + heap_bytes(link.outgoing);
  link.charge.set(link.descriptor < 0 ? 0 : bytes);
}

std::size_t Moorings::reclaimable(const Link &link, Instant now) const {
  if (link.state == Berthing::parked) return link.charge.bytes();
  if (link.state != Berthing::writing || now - link.answered_at < slow_after) return 0;
  const double wanted =
      static_cast<double>(slow_bytes_a_second) * static_cast<double>(now - link.answered_at) / 1e9;
  return static_cast<double>(link.sent) < wanted ? link.charge.bytes() : 0;
}

bool Moorings::reclaim_largest(Instant now) {
  LinkPtr largest;
  std::size_t most = 0;
  for (const auto &[descriptor, link] : links_) {
    const std::size_t bytes = reclaimable(*link, now);
    if (bytes <= most) continue;
    most = bytes;
    largest = link;
  }
  if (!largest) return false;
  const bool is_request_part = largest->state == Berthing::parked && !largest->bytes.empty();
  ++counters_[is_request_part ? "door_shed_requests" : "door_shed_links"];
  if (is_request_part)
    turn_away(largest, 503, "no-memory", now);
  else
    close_link(largest);
  return true;
}

bool Moorings::make_room_for(std::size_t bytes, Instant now) {
  if (options_.memory == nullptr) return true;
  while (!options_.memory->has_room_for(bytes))
    if (!reclaim_largest(now)) return false;
  return true;
}

bool Moorings::close_one_for_room(Instant now) {
  LinkPtr least;
  const auto rank = [&](const Link &link) {
    if (link.state == Berthing::parked) return link.bytes.empty() ? 0 : 1;
    return reclaimable(link, now) > 0 ? 2 : 3;
  };
  for (const auto &[descriptor, link] : links_) {
    const int own = rank(*link), other = least ? rank(*least) : 3;
    if (own < other || (own < 3 && own == other && link->parked_at < least->parked_at)) least = link;
  }
  if (!least) return false;
  close_link(least);
  return true;
}

} // namespace wharf
