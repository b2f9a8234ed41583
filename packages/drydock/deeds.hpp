#pragma once
#include <functional>

#include "drydock/world.hpp"

namespace wharf {

/// Deeds that scenarios are made of.
inline int any_control(World &world) {
  return static_cast<int>(world.dice().below(static_cast<std::uint64_t>(world.control_count())));
}
inline int any_pilot(World &world) {
  return static_cast<int>(world.dice().below(static_cast<std::uint64_t>(world.shape().pilots)));
}
inline Span any_span(World &world, Span least, Span most) {
  return least + static_cast<Span>(world.dice().below(static_cast<std::uint64_t>(most - least)));
}

/// Repeats a deed at seeded moments.
inline void often(World &world, Instant from, Instant until, Span every, const std::function<void()> &deed) {
  for (Instant moment = from + any_span(world, 0, every); moment < until;
       moment += any_span(world, every / 2, every * 3 / 2))
    world.at(moment, deed);
}

/// Kills a pilot now and starts it again after a while.
inline void bounce_pilot(World &world, int which, Span away) {
  if (which < 0) return;
  world.kill_pilot(which);
  world.at(world.now() + away, [&world, which] { world.start_pilot(which); });
}

/// Kills a control now and starts it again after a while, perhaps with an empty disk.
inline void bounce_control(World &world, int which, Span away, bool has_lost_disk = false) {
  if (which < 0) return;
  world.kill_control(which);
  world.at(world.now() + away, [&world, which, has_lost_disk] { world.start_control(which, has_lost_disk); });
}

} // namespace wharf
