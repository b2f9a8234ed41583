// Which control processes are replicas and voters of the group: additions, promotions, removals and
// hand-overs, always by agreement of the group itself and one change at a time.
#include "control/control_node.hpp"

#include <algorithm>

namespace wharf {

namespace {
constexpr std::size_t voters_most = 5;
constexpr std::size_t voters_least = 3;
} // namespace

bool ControlNode::is_lost(const Replica &replica, Span patience, Instant now) const {
  if (replica.id == self_.id) return false;
  if (membership_.is_replaced(replica.id)) return true;
  if (membership_.is_living(replica.id, now)) return false;
  return now - std::max(raft_.heard_from(replica.id), raft_.led_since()) > patience;
}

bool ControlNode::is_departing(NodeId id) const {
  const Member *member = membership_.find(id);
  return member != nullptr && member->is_leaving;
}

bool ControlNode::is_staying(const Replica &replica, Instant now) const {
  return !is_departing(replica.id) && !is_lost(replica, options_.voter_silence, now);
}

std::size_t ControlNode::voters_wanted(Instant now) const {
  std::size_t staying = 0, voters = 0;
  for (const Replica &replica : raft_.replicas()) {
    staying += is_staying(replica, now) ? 1 : 0;
    voters += replica.is_voter ? 1 : 0;
  }
  // A lost voter may come back, so it is given up only for a replacement, or where two are lost and the rest
  // is safer as a smaller group.
  const bool lacks_one_of_five = voters >= voters_most && staying + 1 >= voters_most;
  if (staying >= voters_most || lacks_one_of_five) return voters_most;
  return staying >= voters_least || voters >= voters_least ? voters_least : 1;
}

std::size_t ControlNode::staying_voters(Instant now) const {
  std::size_t count = 0;
  for (const Replica &replica : raft_.replicas())
    count += replica.is_voter && is_staying(replica, now) ? 1 : 0;
  return count;
}

bool ControlNode::propose_replicas(std::vector<Replica> replicas, const std::string &why, Instant now,
                                   ControlOutput &out) {
  RaftOutput step;
  const bool is_proposed = raft_.propose_replicas(std::move(replicas), now, step).has_value();
  if (is_proposed) out.lines.push_back(why);
  absorb(std::move(step), now, out);
  return is_proposed;
}

bool ControlNode::add_learner(Instant now, ControlOutput &out) {
  std::vector<Replica> replicas = raft_.replicas();
  for (const Member &member : membership_.living(now)) {
    const bool may_join = is_control_node(member) && member.is_replica && !member.is_leaving &&
                          member.group == raft_.group() && !membership_.is_replaced(member.id);
    const bool is_known = std::any_of(replicas.begin(), replicas.end(),
                                      [&](const Replica &replica) { return replica.id == member.id; });
    if (!may_join || is_known) continue;
    replicas.push_back({member.id, false, member.zone});
    return propose_replicas(std::move(replicas), "adds learner " + member.address, now, out);
  }
  return false;
}

bool ControlNode::promote_learner(Instant now, ControlOutput &out) {
  if (staying_voters(now) >= voters_wanted(now)) return false;
  std::vector<Replica> replicas = raft_.replicas();
  std::set<std::string> zones;
  for (const Replica &replica : replicas)
    if (replica.is_voter && is_staying(replica, now)) zones.insert(replica.zone);
  Replica *best = nullptr;
  for (Replica &replica : replicas) {
    if (replica.is_voter || !is_staying(replica, now) || !raft_.is_caught_up(replica.id)) continue;
    if (best == nullptr || (zones.contains(best->zone) && !zones.contains(replica.zone))) best = &replica;
  }
  if (best == nullptr) return false;
  best->is_voter = true;
  return propose_replicas(std::move(replicas), "promotes a learner to voter", now, out);
}

bool ControlNode::remove_replica(Instant now, ControlOutput &out) {
  std::vector<Replica> replicas = raft_.replicas();
  const auto voters = static_cast<std::size_t>(std::count_if(
      replicas.begin(), replicas.end(), [](const Replica &replica) { return replica.is_voter; }));
  const std::size_t wanted = voters_wanted(now);
  // One too many means that a replacement was promoted; enough that stay, that the others are not needed.
  const bool has_spare_voter = voters > wanted || staying_voters(now) >= wanted;
  const auto found = std::find_if(replicas.begin(), replicas.end(), [&](const Replica &replica) {
    if (replica.id == self_.id) return false;
    if (replica.is_voter) return has_spare_voter && !is_staying(replica, now);
    return is_lost(replica, options_.learner_silence, now);
  });
  if (found == replicas.end()) return false;
  replicas.erase(found);
  return propose_replicas(std::move(replicas), "removes a replica that is lost or leaves", now, out);
}

void ControlNode::maintain_replicas(Instant now, ControlOutput &out) {
  if (add_learner(now, out)) return;
  if (promote_learner(now, out)) return;
  remove_replica(now, out);
}

void ControlNode::set_leaving(Instant now, ControlOutput &out) {
  membership_.set_leaving();
  leaving_since_ = now;
  maintain_handover(now, out);
}

void ControlNode::maintain_handover(Instant now, ControlOutput &out) {
  if (leaving_since_ == 0 || !raft_.is_leader()) return;
  std::set<NodeId> excluded;
  for (const Replica &replica : raft_.replicas())
    if (!is_staying(replica, now)) excluded.insert(replica.id);
  RaftOutput step;
  const bool is_asked = raft_.transfer_leadership(excluded, now, step);
  if (!is_asked && now - leaving_since_ > options_.handover_most) raft_.step_down(now, step);
  absorb(std::move(step), now, out);
}

bool ControlNode::may_end(Instant now) const {
  if (leaving_since_ == 0 || raft_.is_leader()) return false;
  const auto &replicas = raft_.replicas();
  const bool is_voter = std::any_of(replicas.begin(), replicas.end(), [this](const Replica &replica) {
    return replica.id == self_.id && replica.is_voter;
  });
  const bool has_successor = std::any_of(replicas.begin(), replicas.end(), [&](const Replica &replica) {
    return !replica.is_voter && !is_departing(replica.id) && membership_.is_living(replica.id, now);
  });
  return !is_voter || (!has_successor && staying_voters(now) < voters_wanted(now));
}

} // namespace wharf
