// Leases of edge nodes: what a node may still act on, and when every node is known to have moved on.
#include "control/control_node.hpp"

#include <algorithm>

namespace wharf {

std::string ControlNode::address_of_pilot(NodeId pilot) const {
  const auto session = sessions_.find(pilot);
  if (session != sessions_.end()) return session->second.address;
  const Roster &roster = registry_.roster();
  for (std::size_t at = 0; at < roster.pilots.size() && at < roster.addresses.size(); ++at)
    if (roster.pilots[at] == pilot) return roster.addresses[at];
  return {};
}

bool ControlNode::is_all_known() const {
  const auto is_known = [this](NodeId pilot) { return sessions_.contains(pilot) || ended_.contains(pilot); };
  const auto at_risk = rosters_at_risk();
  return std::all_of(at_risk.begin(), at_risk.end(), [&](const std::vector<NodeId> *pilots) {
    return std::all_of(pilots->begin(), pilots->end(), is_known);
  });
}

std::vector<const std::vector<NodeId> *> ControlNode::rosters_at_risk() const {
  std::vector<const std::vector<NodeId> *> list{&registry_.roster().pilots};
  for (const PastRoster *past : rosters_replaced_within(longest_lease())) list.push_back(&past->pilots);
  return list;
}

std::vector<const PastRoster *> ControlNode::rosters_replaced_within(Span span) const {
  const Roster &roster = registry_.roster();
  const Span clock_span = span + options_.clock_every;
  std::vector<const PastRoster *> list;
  std::int64_t replaced_ms = roster.taken_ms;
  for (auto past = roster.past.rbegin(); past != roster.past.rend(); ++past) {
    if (milliseconds(registry_.clock_ms() - replaced_ms) > clock_span) break;
    list.push_back(&*past);
    replaced_ms = past->taken_ms;
  }
  return list;
}

Span ControlNode::longest_lease() const { return std::max(options_.fresh, options_.duty) + options_.drift; }

Span ControlNode::longest_ownership() const { return longest_lease() + options_.witness.extension_most; }

bool ControlNode::is_owner_over(NodeId owner, Instant now) const {
  if (ended_.contains(owner)) return true;
  const auto found = sessions_.find(owner);
  if (found == sessions_.end()) return now >= raft_.led_since() + longest_ownership();
  const NodeSession &session = found->second;
  const Instant lease_until = std::max(session.duty_until, raft_.led_since());
  return session.epoch >= registry_.roster().epoch || now >= lease_until + longest_ownership();
}

bool ControlNode::is_witness_over(NodeId witness, Instant now) const {
  const auto ended = ended_.find(witness);
  if (ended != ended_.end()) return now >= ended->second + options_.witness.grant + options_.witness.drift;
  const auto found = sessions_.find(witness);
  if (found == sessions_.end()) return false;
  return found->second.epoch >= registry_.roster().epoch && now >= found->second.witness_granted_until;
}

bool ControlNode::may_owners_act(const PastRoster &past, Instant now) const {
  const std::vector<NodeId> &owners = past.owners();
  const std::vector<NodeId> witnesses = witnesses_of(owners);
  const auto may_vouch = std::count_if(witnesses.begin(), witnesses.end(),
                                       [&](NodeId witness) { return !is_witness_over(witness, now); });
  if (witnesses.empty() || static_cast<std::size_t>(may_vouch) < witness_majority(witnesses.size()))
    return false;
  return !std::all_of(owners.begin(), owners.end(), [&](NodeId owner) { return is_owner_over(owner, now); });
}

bool ControlNode::may_former_owners_act(Instant now) const {
  const auto past_sets = rosters_replaced_within(longest_ownership());
  return std::any_of(past_sets.begin(), past_sets.end(),
                     [&](const PastRoster *past) { return may_owners_act(*past, now); });
}

void ControlNode::note_taken_over(Instant now) {
  const Epoch newest = registry_.roster().epoch;
  if (taken_over_epoch_ == newest) return;
  if (!options_.must_wait_for_witnesses || !may_former_owners_act(now)) taken_over_epoch_ = newest;
}

std::optional<Instant> ControlNode::all_ended_at(const std::vector<NodeId> &nodes) const {
  Instant last = 0;
  for (NodeId node : nodes) {
    const auto found = ended_.find(node);
    if (found == ended_.end()) return std::nullopt;
    last = std::max(last, found->second);
  }
  return last;
}

std::optional<Instant> ControlNode::extensions_ended_at(const PastRoster &past) const {
  if (const auto owners_ended = all_ended_at(past.owners())) return owners_ended;
  Instant last = 0;
  std::size_t may_vouch = 0;
  const std::vector<NodeId> witnesses = witnesses_of(past.owners());
  for (NodeId witness : witnesses) {
    const auto found = ended_.find(witness);
    if (found == ended_.end())
      ++may_vouch;
    else
      last = std::max(last, found->second);
  }
  if (may_vouch >= witness_majority(witnesses.size())) return std::nullopt;
  return last + options_.witness.grant;
}

Span ControlNode::quiet_for(Instant now) const {
  const Roster &roster = registry_.roster();
  if (roster.past.empty()) return 0;
  std::optional<Instant> last = all_ended_at(roster.past.back().pilots);
  if (!last) return 0;
  const std::size_t leased = rosters_at_risk().size() - 1;
  const auto older = rosters_replaced_within(longest_ownership());
  for (std::size_t at = 0; last && at < older.size(); ++at) {
    const auto ended = at < leased ? all_ended_at(older[at]->pilots) : extensions_ended_at(*older[at]);
    last = ended ? std::optional(std::max(*last, *ended)) : std::nullopt;
  }
  return !last || *last == 0 ? 0 : std::max<Span>(0, now - *last);
}

bool ControlNode::is_in_doubt(Instant now) const {
  const Span doubtful_after = options_.raft.election_least + 2 * options_.raft.heartbeat;
  return now - std::max(raft_.confirmed_at(now), raft_.led_since()) > doubtful_after;
}

void ControlNode::note_ended(NodeId ended, Instant moment, Instant now) {
  const auto [found, is_new] = ended_.emplace(ended, moment);
  found->second = std::min(found->second, moment);
  if (!is_new) return;
  sessions_.erase(ended);
  settle_at_ = now;
}

std::vector<NodeId> ControlNode::replaced_by(const Envelope &envelope, const Pulse &pulse) const {
  std::vector<NodeId> replaced;
  const Roster &roster = registry_.roster();
  // A process that is older than the node set may be the one that was replaced: its report may have been long
  // on its way.
  const Span roster_age = milliseconds(registry_.clock_ms() - roster.taken_ms);
  if (roster_age < pulse.up_for) return replaced;
  for (std::size_t at = 0; at < roster.pilots.size() && at < roster.addresses.size(); ++at)
    if (roster.pilots[at] != envelope.from && roster.addresses[at] == envelope.from_address)
      replaced.push_back(roster.pilots[at]);
  return replaced;
}

void ControlNode::answer_pulse(const Envelope &envelope, const Pulse &pulse, Instant now,
                               ControlOutput &out) {
  const NodeId from = envelope.from;
  if (!is_leading()) {
    out.mail.push_back({from, {}, NotLeader{raft_.leader()}});
    return;
  }
  if (is_in_doubt(now)) {
    out.mail.push_back({from, {}, NotLeader{}});
    return;
  }
  if (ended_.contains(from)) {
    if (reports_of_ended_++ == 0)
      out.lines.push_back("a node that was noted as ended reports: " + envelope.from_address);
    return;
  }
  const Instant began_at = now - std::min(now, pulse.up_for);
  for (NodeId ended : pulse.replaces)
    if (ended != from) note_ended(ended, began_at, now);
  for (NodeId ended : replaced_by(envelope, pulse)) note_ended(ended, began_at, now);
  almanac_.add(pulse.soundings, now);
  NodeSession &session = sessions_[from];
  session.address = envelope.from_address;
  session.last_pulse = now;
  session.last_sent_at = std::max(session.last_sent_at, pulse.sent_at);
  session.version = std::max(session.version, pulse.version);
  session.received = std::max({session.received, pulse.received, pulse.version});
  if (pulse.has_missed_manifest) {
    session.received = pulse.received;
    session.offered_until = 0;
  }
  session.epoch = std::max(session.epoch, pulse.epoch);
  session.stamp = pulse.runners_term == raft_.term() ? pulse.runners_stamp : 0;
  session.is_leaving = pulse.is_leaving;
  session.capacity = pulse.capacity;
  session.is_beside_control = pulse.is_beside_control;
  // Reports may overtake each other.
  session.witness_granted_until = std::max(session.witness_granted_until, now + pulse.witness_granted_for);
  note_lateness(session, pulse, now);
  std::map<std::string, Want> wants;
  if (!pulse.has_all_wants) wants = std::move(session.wants);
  for (const Want &want : pulse.wants) {
    const auto known = pulse.has_all_wants ? session.wants.find(want.service) : wants.find(want.service);
    const bool is_known = known != (pulse.has_all_wants ? session.wants.end() : wants.end());
    if (!is_known || known->second.runners != want.runners || known->second.retire != want.retire)
      settle_at_ = now;
    wants[want.service] = want;
  }
  session.wants = std::move(wants);
  Orders orders = orders_for(from, session, now);
  // A late node is to know that it owns nothing before it gets a lease again, or its successors would wait
  // for it.
  const bool must_learn = now < session.is_late_until && pulse.epoch < registry_.roster().epoch;
  if (!must_learn) {
    orders.sent_at = pulse.sent_at;
    session.permit_until = now + options_.fresh + options_.drift;
    session.duty_until = now + options_.duty + options_.drift;
  }
  out.mail.push_back({from, {}, std::move(orders)});
  settle_writes(now, out);
}

void ControlNode::note_lateness(NodeSession &session, const Pulse &pulse, Instant now) const {
  if (!pulse.has_lost_lease) {
    session.lost_lease_since = 0;
    return;
  }
  if (session.lost_lease_since == 0) session.lost_lease_since = now;
  if (now - session.lost_lease_since >= options_.pilot_silence)
    session.is_late_until = now + options_.late_node_rest;
}

bool ControlNode::are_few_late(Instant now) const {
  const auto late = std::count_if(sessions_.begin(), sessions_.end(),
                                  [now](const auto &item) { return now < item.second.is_late_until; });
  return static_cast<std::size_t>(late) * 2 < sessions_.size();
}

Version ControlNode::settled_version(Instant now) const {
  if (!is_leading() || now < floor_) return 0;
  Version lowest = registry_.version();
  for (const auto &[pilot, session] : sessions_)
    if (session.permit_until > now) lowest = std::min(lowest, session.version);
  return lowest;
}

Epoch ControlNode::settled_epoch(Instant now) const {
  const bool is_taken_over = taken_over_epoch_ == registry_.roster().epoch;
  if (!is_leading() || !is_taken_over || (now < duty_floor_ && !is_all_known())) return 0;
  Epoch lowest = registry_.roster().epoch;
  for (const auto &[pilot, session] : sessions_)
    if (session.duty_until > now) lowest = std::min(lowest, session.epoch);
  return lowest;
}

std::string ControlNode::why_unheld(Instant now) const {
  if (settled_version(now) >= registry_.version()) return {};
  if (!is_leading()) return "no majority: this replica does not lead";
  if (now < floor_) return "a new leader waits out its predecessors' permits";
  std::string late;
  for (const auto &[pilot, session] : sessions_)
    if (session.permit_until > now && session.version < registry_.version())
      late += (late.empty() ? "" : ", ") + session.address;
  return "not yet switched: " + late;
}

} // namespace wharf
