#pragma once
// What the owner of a service must know of it from the configuration in force.
#include <cstdint>

#include "signals/signals.hpp"

namespace wharf {

/// A service's slots, bounds and how it is scaled; times are spans of the monotonic clock.
struct ServicePlan {
  std::uint32_t slots = 1, least = 0, most = 1, worth = 1, pending_most = 256;
  Span idle = seconds(30), wait_most = seconds(30);
  /// What a start is known to take; 0 when nothing is known.
  Span boot = 0;
  /// True where `idle` follows from prices; then levels that are needed often are kept longer, others less.
  bool is_priced = false;
  /// Where priced: how long requests may wait for a slot before more runners are worth starting.
  Span wait_well = 0;
  /// A start takes longer than callers like to wait, so some slots are kept free.
  bool must_spare = true;
  /// Runners refuse what is above their slots themselves, so a slot in doubt is freed, not its runner ended.
  bool is_self_bounding = false;
  bool operator==(const ServicePlan &) const = default;
};

} // namespace wharf
