// How a control group comes into being, and how a process without a group joins one.
#include "control/control_node.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// How often a founder asks the other seeds, and how old an answer may be to count.
constexpr Span founding_round = milliseconds(300), answer_valid = seconds(1);
/// How long a seed that told one founder that it may found leaves it to that one; longer than the answer is
/// valid.
constexpr Span promise_valid = milliseconds(1500);
} // namespace

void ControlNode::maintain_founding(Instant now, ControlOutput &out) {
  if (now < found_at_) return;
  found_at_ = now + founding_round;
  if (raft_.group() != 0) {
    tell_founded(now, out);
    leave_orphaned_group(now, out);
    return;
  }
  if (!join_known_group(now, out)) try_to_found(now, out);
}

void ControlNode::tell_founded(Instant now, ControlOutput &out) {
  bool is_done = true;
  for (const Replica &replica : founding_replicas_) {
    const Member *member = membership_.find(replica.id);
    if (replica.id == self_.id || (member != nullptr && member->group == raft_.group())) continue;
    is_done = false;
    if (raft_.is_disk_well(now))
      out.mail.push_back({replica.id, {}, FoundOrder{raft_.group(), founding_replicas_}});
  }
  if (is_done) founding_replicas_.clear();
}

void ControlNode::enter_group(std::uint64_t group, std::vector<Replica> replicas, const std::string &how,
                              Instant now, ControlOutput &out) {
  RaftOutput step;
  raft_.found(group, std::move(replicas), now, step);
  membership_.set_group(group);
  out.lines.push_back(how + " group " + std::to_string(group));
  absorb(std::move(step), now, out);
}

bool ControlNode::join_known_group(Instant now, ControlOutput &out) {
  for (const Member &member : membership_.living(now)) {
    if (member.group == 0 || !is_control_node(member)) continue;
    enter_group(member.group, {}, "joins", now, out);
    return true;
  }
  return false;
}

bool ControlNode::knows_group(Instant now) const {
  const auto living = membership_.living(now);
  return raft_.group() != 0 ||
         std::any_of(living.begin(), living.end(), [](const Member &member) { return member.group != 0; });
}

void ControlNode::try_to_found(Instant now, ControlOutput &out) {
  const auto &seeds = membership_.seeds();
  const auto place = std::find(seeds.begin(), seeds.end(), self_.address);
  if (!options_.may_found || place == seeds.end() || knows_group(now)) return;
  const bool is_promised = now < promised_until_ && promised_to_ != self_.address;
  if (is_promised) return;
  // The first seed founds with all seeds. Only where some are missing for long does a majority do, and a
  // later seed takes the place of earlier ones that do not ask.
  const Span waited = now - began_at_;
  const Span patience = options_.founding_patience;
  const auto rank = place - seeds.begin();
  if (rank > 0 && (patience == 0 || waited < patience * rank)) return;
  const bool may_do_with_majority = patience != 0 && waited >= patience;
  if (found_nonce_ == 0) found_nonce_ = dice_.next() | 1;
  std::vector<Replica> replicas{{self_.id, true, self_.zone}};
  for (const std::string &seed : seeds) {
    if (seed == self_.address) continue;
    out.mail.push_back({0, seed, FoundAsk{found_nonce_, seeds}});
    const auto found = seed_says_.find(seed);
    if (found == seed_says_.end() || now - found->second.at > answer_valid || !found->second.say.may_found)
      continue;
    replicas.push_back({found->second.say.id, true, found->second.say.zone});
  }
  const std::size_t needed = may_do_with_majority ? seeds.size() / 2 + 1 : seeds.size();
  if (replicas.size() < needed) return;
  founding_replicas_ = replicas;
  enter_group(dice_.next() | 1, std::move(replicas), "founds", now, out);
}

void ControlNode::answer_founder(const Envelope &envelope, const FoundAsk &ask, Instant now,
                                 ControlOutput &out) {
  FoundSay say;
  say.nonce = ask.nonce;
  say.group = raft_.group();
  say.id = self_.id;
  say.zone = self_.zone;
  for (const Member &member : membership_.living(now))
    if (member.group != 0) say.group = member.group;
  const bool is_free = now >= promised_until_ || promised_to_ == envelope.from_address;
  say.may_found = options_.may_found && options_.is_replica && !knows_group(now) && is_free &&
                  ask.seeds == membership_.seeds();
  if (say.may_found) {
    promised_to_ = envelope.from_address;
    promised_until_ = now + promise_valid;
  }
  out.mail.push_back({0, envelope.from_address, say});
}

std::uint64_t ControlNode::group_beside_orphaned(Instant now) const {
  std::uint64_t other_group = 0;
  if (raft_.replicas().empty()) {
    // Joined by hearsay and never told anything: only of use while somebody else is in the group.
    for (const Member &member : membership_.living(now)) {
      if (!is_control_node(member) || member.group == 0) continue;
      if (member.group == raft_.group()) return 0;
      other_group = member.group;
    }
    return other_group;
  }
  std::size_t gone = 0;
  for (const Replica &replica : raft_.replicas()) {
    const Member *member = membership_.find(replica.id);
    if (member == nullptr || member->group == 0 || member->group == raft_.group()) continue;
    ++gone;
    other_group = member->group;
  }
  // Members of another group never vote in this one, so it can neither have decided anything nor ever will.
  const std::size_t left = raft_.replicas().size() - gone;
  return gone > 0 && left * 2 <= raft_.replicas().size() ? other_group : 0;
}

void ControlNode::leave_orphaned_group(Instant now, ControlOutput &out) {
  if (raft_.last_index() != 0) return;
  const std::uint64_t other_group = group_beside_orphaned(now);
  if (other_group == 0) return;
  founding_replicas_.clear();
  RaftOutput step;
  raft_.abandon_empty_group(step);
  absorb(std::move(step), now, out);
  enter_group(other_group, {}, "leaves a group that never decided anything and joins", now, out);
}

} // namespace wharf
