// How a leader is chosen: pre-votes, votes, and a lead that is handed over.
#include "raft/raft.hpp"

#include "signals/pack.hpp"

namespace wharf {

Span RaftNode::draw(Span least, Span most) {
  return least + static_cast<Span>(dice_.below(static_cast<std::uint64_t>(most - least) + 1));
}

void RaftNode::set_election(Instant now) {
  election_at_ = now + draw(options_.election_least, options_.election_most);
}

bool RaftNode::transfer_leadership(const std::set<NodeId> &excluded, Instant now, RaftOutput &out) {
  if (!is_leader()) return false;
  NodeId furthest = 0;
  for (const Replica &replica : replicas_) {
    if (!replica.is_voter || replica.id == self_ || excluded.contains(replica.id)) continue;
    if (now - heard_from(replica.id) > options_.election_least) continue;
    if (furthest == 0 || match_of(replica.id) > match_of(furthest)) furthest = replica.id;
  }
  if (furthest == 0 || match_of(furthest) != last_index()) return false;
  // Where its own predecessors' acts may not have arrived yet, the successor waits for these as well.
  const Span act_after = std::max<Span>(0, acts_from_ - now) + options_.act_delivery_most;
  out.mail.push_back({furthest, {}, TimeoutNowRequest{hard_.group, hard_.term, act_after}});
  has_transferred_ = true;
  return true;
}

void RaftNode::handle(NodeId from, const TimeoutNowRequest &ask, Instant now, RaftOutput &out) {
  const bool is_from_leader = ask.group == hard_.group && ask.term == hard_.term && from == leader_;
  if (!is_from_leader || role_ != RaftRole::follower || !is_voter(self_) || !is_disk_well(now)) return;
  campaign(false, true, now, out);
  if (ask.act_after >= 0) transferred_acts_from_ = now + ask.act_after;
}

void RaftNode::campaign(bool is_pre_vote, bool is_transfer, Instant now, RaftOutput &out) {
  set_election(now);
  votes_.clear();
  leader_ = 0;
  voters_led_until_ = heard_leader_;
  transferred_acts_from_.reset();
  role_ = is_pre_vote ? RaftRole::pre_candidate : RaftRole::candidate;
  out.has_role_changed = true;
  if (!is_pre_vote) {
    ++hard_.term;
    hard_.vote = self_;
    forget_verified();
    save(out).hard = hard_;
  } else {
    votes_.insert(self_);
  }
  ask_votes(is_pre_vote, is_transfer);
  if (!is_pre_vote) return;
  set_pre_vote_again(now);
  count_votes(now, out);
}

void RaftNode::ask_votes(bool is_pre_vote, bool is_transfer) {
  const RequestVoteRequest ask{hard_.group,  hard_.term + (is_pre_vote ? 1 : 0),
                               last_index(), term_at(last_index()),
                               is_pre_vote,  is_transfer};
  for (const Replica &replica : replicas_)
    if (replica.is_voter && replica.id != self_ && !votes_.contains(replica.id))
      after_.push_back({replica.id, {}, ask});
}

void RaftNode::set_pre_vote_again(Instant now) {
  pre_vote_again_at_ = now + draw(options_.pre_vote_again_least, options_.pre_vote_again_most);
}

void RaftNode::count_votes(Instant now, RaftOutput &out) {
  std::size_t count = 0;
  for (NodeId id : votes_) count += is_voter(id) ? 1 : 0;
  if (count < majority()) return;
  if (role_ == RaftRole::pre_candidate)
    campaign(false, false, now, out);
  else if (role_ == RaftRole::candidate)
    lead(now, out);
}

void RaftNode::lead(Instant now, RaftOutput &out) {
  role_ = RaftRole::leader;
  leader_ = self_;
  led_since_ = now;
  has_transferred_ = false;
  acts_from_ =
      transferred_acts_from_.value_or(voters_led_until_ + options_.leader_lease + options_.act_delivery_most);
  out.has_role_changed = true;
  progress_.clear();
  for (const Replica &replica : replicas_) progress_[replica.id] = new_progress(last_index() + 1, now);
  append(static_cast<std::uint8_t>(EntryKind::replicas), pack(replicas_), out);
  replicas_index_ = last_index();
  broadcast(now, out);
}

void RaftNode::handle(NodeId from, const RequestVoteRequest &ask, Instant now, RaftOutput &out) {
  if (ask.group != hard_.group || hard_.group == 0) return;
  const bool has_leader = is_leader() || (leader_ != 0 && now - heard_leader_ < options_.election_least);
  if (has_leader && !ask.is_transfer && ask.term > hard_.term) return;
  const bool is_fresh = ask.last_term > term_at(last_index()) ||
                        (ask.last_term == term_at(last_index()) && ask.last_index >= last_index());
  if (ask.is_pre_vote) {
    const bool is_granted = ask.term > hard_.term && is_fresh && !has_leader;
    out.mail.push_back({from,
                        {},
                        RequestVoteResponse{hard_.group, is_granted ? ask.term : hard_.term, is_granted, true,
                                            unled_for(now)}});
    return;
  }
  if (ask.term > hard_.term) follow(ask.term, 0, now, out);
  const bool is_granted = ask.term == hard_.term && is_fresh && (hard_.vote == 0 || hard_.vote == from) &&
                          role_ == RaftRole::follower;
  if (is_granted) {
    if (hard_.vote != from) {
      hard_.vote = from;
      save(out).hard = hard_;
    }
    set_election(now);
  }
  after_.push_back(
      {from, {}, RequestVoteResponse{hard_.group, hard_.term, is_granted, false, unled_for(now)}});
}

void RaftNode::handle(NodeId from, const RequestVoteResponse &say, Instant now, RaftOutput &out) {
  if (say.group != hard_.group) return;
  if (say.is_pre_vote) {
    if (!say.is_granted && say.term > hard_.term) follow(say.term, 0, now, out);
    if (role_ != RaftRole::pre_candidate || !say.is_granted || say.term != hard_.term + 1) return;
  } else {
    if (say.term > hard_.term) follow(say.term, 0, now, out);
    if (role_ != RaftRole::candidate || !say.is_granted || say.term != hard_.term) return;
    voters_led_until_ = std::max(voters_led_until_, now - say.unled_for);
  }
  votes_.insert(from);
  count_votes(now, out);
}

} // namespace wharf
