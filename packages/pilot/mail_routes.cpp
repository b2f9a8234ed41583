// Where a node's messages go: to itself at once, to the leader, and around a node that does not answer
// directly.
#include "pilot/pilot.hpp"

#include <algorithm>

namespace wharf {

bool Pilot::is_out_of_reach(NodeId pilot, Instant now) const {
  const auto found = unanswered_.find(pilot);
  if (found == unanswered_.end() || now - found->second.since <= options_.unheard) return false;
  return membership_.is_living(pilot, now) && is_or_was_counted(pilot);
}

bool Pilot::is_or_was_counted(NodeId pilot) const {
  const auto holds = [pilot](const std::vector<NodeId> &nodes) {
    return std::find(nodes.begin(), nodes.end(), pilot) != nodes.end();
  };
  // A node that has just left the node set is the one that its successors must reach.
  return holds(roster_.pilots) || std::any_of(roster_.past.begin(), roster_.past.end(),
                                              [&](const PastRoster &past) { return holds(past.pilots); });
}

bool Pilot::is_isolated(Instant now) const {
  return roster_.pilots.size() > 1 && std::none_of(heard_.begin(), heard_.end(), [&](const auto &item) {
           return now - item.second <= options_.unheard;
         });
}

void Pilot::go_round(Instant now, PilotOutput &out) {
  std::vector<NodeId> reached;
  for (NodeId pilot : roster_.pilots) {
    const auto found = heard_.find(pilot);
    if (pilot != self_.id && found != heard_.end() && now - found->second < options_.unheard / 2)
      reached.push_back(pilot);
  }
  Outbox probes;
  for (Posted &posted : out.mail) {
    const bool may_go = !std::holds_alternative<PassOn>(posted.signal) &&
                        !std::holds_alternative<MembershipGossip>(posted.signal);
    if (posted.to == 0 || posted.to == self_.id || !may_go) continue;
    Unanswered &unanswered = unanswered_.try_emplace(posted.to, Unanswered{now, now}).first->second;
    if (reached.empty() || !is_out_of_reach(posted.to, now)) continue;
    const NodeId target = posted.to;
    PassOn passed{target, frame({self_.id, self_.address, std::move(posted.signal)})};
    // Now and then the direct way is tried as well, as only an answer shows that it is open again.
    if (now - unanswered.probed_at >= options_.unheard) {
      unanswered.probed_at = now;
      probes.push_back({target, {}, passed});
    }
    posted = {reached[went_round_++ % reached.size()], {}, std::move(passed)};
    count("sent_round");
  }
  std::move(probes.begin(), probes.end(), std::back_inserter(out.mail));
}

void Pilot::loop_back(Instant now, PilotOutput &out) {
  for (int round = 0; round < 64; ++round) {
    Outbox own;
    for (auto item = out.mail.begin(); item != out.mail.end();) {
      if (item->to != self_.id) {
        ++item;
        continue;
      }
      own.push_back(std::move(*item));
      item = out.mail.erase(item);
    }
    if (own.empty()) break;
    for (Posted &posted : own) dispatch({self_.id, self_.address, std::move(posted.signal)}, now, out);
  }
  go_round(now, out);
}

void Pilot::send_leader(const Signal &signal, PilotOutput &out) {
  if (leader_ != 0) out.mail.push_back({leader_, {}, signal});
}

} // namespace wharf
