// The node set by which owners of tenants and services are placed; each change is an epoch of its own.
#include "control/control_node.hpp"

#include <algorithm>

namespace wharf {

void ControlNode::maintain_roster(Instant now, ControlOutput &out) {
  if (is_in_doubt(now)) doubtful_until_ = now;
  if (is_roster_proposed_) return;
  const Roster &roster = registry_.roster();
  if (options_.must_wait_roster && now < duty_floor_ && roster.epoch != 0 && !is_all_known()) return;
  std::vector<NodeId> wanted;
  // When most nodes are late, it is this leader that is.
  const bool must_pass_over_late = are_few_late(now);
  for (const auto &[pilot, session] : sessions_) {
    // Silence while this leader itself may be cut off says nothing of a node.
    const bool is_heard = now - std::max(session.last_pulse, doubtful_until_) < options_.pilot_silence;
    const bool is_late = must_pass_over_late && now < session.is_late_until;
    if (is_heard && !is_late && !session.is_leaving) wanted.push_back(pilot);
  }
  if (now - raft_.led_since() < options_.pilot_silence)
    for (NodeId pilot : roster.pilots)
      if (!sessions_.contains(pilot) && !ended_.contains(pilot)) wanted.push_back(pilot);
  std::sort(wanted.begin(), wanted.end());
  if (wanted.empty() || (wanted == roster.pilots && !has_better_owners(wanted))) {
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
  std::vector<NodeId> candidates = owner_candidates(wanted);
  if (!propose(PutRoster{std::move(wanted), std::move(addresses), std::move(candidates)}, now, out))
    is_roster_proposed_ = false;
  else
    out.lines.push_back("roster of " + std::to_string(count) + " pilots");
}

bool ControlNode::has_better_owners(const std::vector<NodeId> &pilots) const {
  return is_all_reported(pilots) && owner_candidates(pilots) != registry_.roster().owner_candidates;
}

bool ControlNode::is_all_reported(const std::vector<NodeId> &pilots) const {
  return std::all_of(pilots.begin(), pilots.end(),
                     [this](NodeId pilot) { return sessions_.contains(pilot); });
}

std::vector<NodeId> ControlNode::owner_candidates(const std::vector<NodeId> &pilots) const {
  std::vector<NodeId> candidates = apart_from_control(nodes_of_capacity(pilots));
  const bool has_enough = candidates.size() >= options_.owners_least && candidates.size() < pilots.size();
  return has_enough ? candidates : std::vector<NodeId>{};
}

std::vector<NodeId> ControlNode::apart_from_control(const std::vector<NodeId> &nodes) const {
  std::vector<NodeId> apart;
  for (NodeId node : nodes) {
    const auto session = sessions_.find(node);
    if (session == sessions_.end() || !session->second.is_beside_control) apart.push_back(node);
  }
  return apart.size() >= options_.owners_least ? apart : nodes;
}

NodeCapacity ControlNode::best_capacity(const std::vector<NodeId> &pilots) const {
  NodeCapacity best;
  for (NodeId pilot : pilots) {
    const auto session = sessions_.find(pilot);
    if (session == sessions_.end()) continue;
    best.link_kbps = std::max(best.link_kbps, session->second.capacity.link_kbps);
    best.cpu_permille = std::max(best.cpu_permille, session->second.capacity.cpu_permille);
  }
  return best;
}

std::vector<NodeId> ControlNode::nodes_of_capacity(const std::vector<NodeId> &pilots) const {
  const NodeCapacity best = best_capacity(pilots);
  const auto is_enough = [this](std::uint32_t own, std::uint32_t most) {
    return own == 0 || std::uint64_t{own} * options_.owner_capacity_ratio >= most;
  };
  const std::vector<NodeId> &earlier = registry_.roster().owner_candidates;
  std::vector<NodeId> list;
  for (NodeId pilot : pilots) {
    const auto session = sessions_.find(pilot);
    // A node that has not reported to this leader yet keeps the part that it had.
    const bool is_fit = session == sessions_.end()
                            ? std::find(earlier.begin(), earlier.end(), pilot) != earlier.end()
                            : is_enough(session->second.capacity.link_kbps, best.link_kbps) &&
                                  is_enough(session->second.capacity.cpu_permille, best.cpu_permille);
    if (is_fit) list.push_back(pilot);
  }
  return list;
}

} // namespace wharf
