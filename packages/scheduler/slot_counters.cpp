#include "scheduler/slot_counters.hpp"

namespace wharf {

void SlotCounters::report(std::map<std::string, std::uint64_t> &values) const {
  values["slots_granted"] = granted;
  values["second_tries_granted"] = second_granted;
  values["slots_refused_by_runner"] = refused_by_runner;
  values["slots_refused_again"] = refused_again;
  values["slots_refused_after_takeover"] = refused_after_takeover;
  values["slots_freed_in_doubt"] = freed_in_doubt;
  values["slot_takeovers"] = takeovers;
  values["slot_takeovers_unheard"] = takeovers_unheard;
  values["slot_owner_superseded"] = superseded;
}

} // namespace wharf
