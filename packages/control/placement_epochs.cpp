// The node set by which owners of tenants and services are placed; each change is an epoch of its own.
#include "control/control_node.hpp"

#include <algorithm>

namespace wharf {

void ControlNode::maintain_roster(Instant now, ControlOutput &out) {
  if (is_roster_proposed_) return;
  const Roster &roster = registry_.roster();
  if (options_.must_wait_roster && now < duty_floor_ && roster.epoch != 0 && !is_all_known()) return;
  std::vector<NodeId> wanted;
  for (const auto &[pilot, session] : sessions_)
    if (!session.is_leaving && now - session.last_pulse < options_.pilot_silence) wanted.push_back(pilot);
  if (now - raft_.led_since() < options_.pilot_silence)
    for (NodeId pilot : roster.pilots)
      if (!sessions_.contains(pilot) && !ended_.contains(pilot)) wanted.push_back(pilot);
  std::sort(wanted.begin(), wanted.end());
  if (wanted == roster.pilots || wanted.empty()) {
    roster_differs_since_ = 0;
    return;
  }
  if (roster_differs_since_ == 0) roster_differs_since_ = roster_steady_since_ = now;
  if (wanted != roster_wanted_) roster_steady_since_ = now;
  roster_wanted_ = wanted;
  if (now - roster_steady_since_ < options_.enrol_gather && now - roster_differs_since_ < options_.enrol_most)
    return;
  roster_differs_since_ = 0;
  const std::size_t count = wanted.size();
  is_roster_proposed_ = true;
  roster_index_ = raft_.last_index() + 1;
  std::vector<std::string> addresses;
  addresses.reserve(wanted.size());
  for (NodeId pilot : wanted) addresses.push_back(address_of_pilot(pilot));
  if (!propose(PutRoster{std::move(wanted), std::move(addresses)}, now, out))
    is_roster_proposed_ = false;
  else
    out.lines.push_back("roster of " + std::to_string(count) + " pilots");
}

} // namespace wharf
