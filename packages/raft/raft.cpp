#include "raft/raft.hpp"

#include <algorithm>

#include "signals/pack.hpp"

namespace wharf {

RaftNode::RaftNode(NodeId self, RaftOptions options, std::uint64_t seed, const Recovered &recovered,
                   Instant now)
    : self_(self), options_(options), dice_(seed * 0x9E3779B97F4A7C15ull + self), hard_(recovered.hard),
      base_(recovered.snapshot) {
  log_.assign(recovered.entries.begin(), recovered.entries.end());
  commit_ = delivered_ = base_.index;
  synced_ = last_index();
  refresh_replicas();
  // What it confirmed before it started is forgotten; it may have heard a leader until then.
  heard_leader_ = now;
  set_election(now);
  election_at_ -= options_.first_sooner;
}

std::uint64_t RaftNode::term_at(std::uint64_t index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last_index()) return 0;
  return log_[index - base_.index - 1].term;
}

bool RaftNode::is_settled() const { return is_leader() && term_at(commit_) == hard_.term; }

bool RaftNode::is_voter(NodeId id) const {
  return std::any_of(replicas_.begin(), replicas_.end(),
                     [id](const Replica &replica) { return replica.id == id && replica.is_voter; });
}

std::size_t RaftNode::majority() const {
  return static_cast<std::size_t>(std::count_if(replicas_.begin(), replicas_.end(),
                                                [](const Replica &replica) { return replica.is_voter; })) /
             2 +
         1;
}

std::uint64_t RaftNode::match_of(NodeId id) const {
  if (id == self_) return synced_;
  const auto found = progress_.find(id);
  return found == progress_.end() ? 0 : found->second.match;
}

Instant RaftNode::heard_from(NodeId id) const {
  const auto found = progress_.find(id);
  return found == progress_.end() ? 0 : found->second.heard;
}

bool RaftNode::is_caught_up(NodeId id) const {
  const auto found = progress_.find(id);
  return found != progress_.end() && found->second.last_round &&
         *found->second.last_round <= options_.election_least;
}

bool RaftNode::is_disk_well(Instant now) const {
  return !is_disk_dead_ && (waiting_.empty() || now - waiting_.front().since < options_.disk_patience);
}

void RaftNode::refresh_replicas() {
  replicas_ = base_.replicas;
  replicas_index_ = base_.index;
  for (const Entry &entry : log_) {
    if (entry.kind != static_cast<std::uint8_t>(EntryKind::replicas)) continue;
    unpack(entry.body, replicas_);
    replicas_index_ = entry.index;
  }
}

WriteBatch &RaftNode::save(RaftOutput &) {
  if (!building_) {
    building_.emplace();
    building_->ticket = next_ticket_++;
  }
  return *building_;
}

void RaftNode::finish(Instant now, RaftOutput &out) {
  if (building_) {
    Waiting wait;
    wait.ticket = building_->ticket;
    wait.last_index = last_index();
    wait.last_term = term_at(last_index());
    wait.has_entries = !building_->append.empty() || building_->snapshot || building_->cut_from != 0;
    wait.since = now;
    wait.hard = hard_;
    wait.mail = std::move(after_);
    waiting_.push_back(std::move(wait));
    out.batches.push_back(std::move(*building_));
    building_.reset();
  } else if (!after_.empty()) {
    if (waiting_.empty() || waiting_.back().hard == hard_) {
      bool must_wait = std::any_of(waiting_.begin(), waiting_.end(),
                                   [](const Waiting &wait) { return !wait.mail.empty(); });
      if (must_wait) {
        auto &mail = waiting_.back().mail;
        std::move(after_.begin(), after_.end(), std::back_inserter(mail));
      } else {
        std::move(after_.begin(), after_.end(), std::back_inserter(out.mail));
      }
    }
  }
  after_.clear();
}

void RaftNode::found(std::uint64_t group, std::vector<Replica> replicas, Instant now, RaftOutput &out) {
  if (hard_.group != 0) return;
  hard_.group = group;
  base_ = Snapshot{};
  base_.replicas = std::move(replicas);
  refresh_replicas();
  WriteBatch &batch = save(out);
  batch.hard = hard_;
  batch.snapshot = base_;
  set_election(now);
  finish(now, out);
}

void RaftNode::abandon_empty_group(RaftOutput &out) {
  if (last_index() != 0) return;
  if (role_ != RaftRole::follower) out.has_role_changed = true;
  role_ = RaftRole::follower;
  leader_ = 0;
  votes_.clear();
  after_.clear();
  hard_ = {};
  base_ = {};
  forget_verified();
  refresh_replicas();
}

void RaftNode::forget_verified() {
  verified_ = 0;
  last_sent_at_ = 0;
}

void RaftNode::follow(std::uint64_t term, NodeId leader, Instant now, RaftOutput &out) {
  if (term > hard_.term) {
    hard_.term = term;
    hard_.vote = 0;
    forget_verified();
    save(out).hard = hard_;
  }
  // What it did under its own lease has the same end as what a leader does that was heard so long ago.
  if (role_ == RaftRole::leader) heard_leader_ = std::max(heard_leader_, now - options_.leader_lease);
  if (role_ != RaftRole::follower || leader_ != leader) out.has_role_changed = true;
  if (role_ != RaftRole::follower) set_election(now);
  role_ = RaftRole::follower;
  leader_ = leader;
}

void RaftNode::step_down(Instant now, RaftOutput &out) {
  if (!is_leader()) return;
  follow(hard_.term, 0, now, out);
  election_at_ = now + options_.election_most * 2;
  finish(now, out);
}

void RaftNode::disk_failed(Instant now, RaftOutput &out) {
  is_disk_dead_ = true;
  step_down(now, out);
}

RaftNode::Progress RaftNode::new_progress(std::uint64_t next, Instant now) {
  Progress progress;
  progress.next = next;
  progress.heard = now;
  return progress;
}

void RaftNode::append(std::uint8_t kind, std::string body, RaftOutput &out) {
  Entry entry{last_index() + 1, hard_.term, kind, std::move(body)};
  log_.push_back(entry);
  save(out).append.push_back(std::move(entry));
}

std::optional<std::uint64_t> RaftNode::propose(std::string body, Instant now, RaftOutput &out) {
  if (!is_leader() || !is_disk_well(now)) return std::nullopt;
  append(static_cast<std::uint8_t>(EntryKind::command), std::move(body), out);
  broadcast(now, out);
  finish(now, out);
  return last_index();
}

std::optional<std::uint64_t> RaftNode::propose_replicas(std::vector<Replica> replicas, Instant now,
                                                        RaftOutput &out) {
  if (!is_settled() || replicas_index_ > commit_ || !is_disk_well(now)) return std::nullopt;
  append(static_cast<std::uint8_t>(EntryKind::replicas), pack(replicas), out);
  replicas_ = std::move(replicas);
  replicas_index_ = last_index();
  for (const Replica &replica : replicas_)
    if (!progress_.contains(replica.id)) progress_[replica.id] = new_progress(last_index(), now);
  const auto is_removed = [this](NodeId id) {
    return std::none_of(replicas_.begin(), replicas_.end(),
                        [id](const Replica &replica) { return replica.id == id; });
  };
  std::vector<NodeId> removed;
  for (const auto &[id, progress] : progress_)
    if (is_removed(id)) removed.push_back(id);
  for (NodeId id : removed) {
    // Told once, so that a replica that waits to leave learns that it may.
    send_append(id, now, out);
    progress_.erase(id);
  }
  broadcast(now, out);
  finish(now, out);
  return last_index();
}

void RaftNode::send_append(NodeId to, Instant now, RaftOutput &out) {
  Progress &progress = progress_[to];
  if (progress.next <= base_.index) {
    send_snapshot(to, progress, now, out);
    return;
  }
  AppendEntriesRequest ask{hard_.group, hard_.term, progress.next - 1, term_at(progress.next - 1), commit_,
                           now,         {}};
  std::size_t bytes = 0;
  for (std::uint64_t index = progress.next; index <= last_index(); ++index) {
    const Entry &entry = log_[index - base_.index - 1];
    if (ask.entries.size() >= options_.batch_entries || bytes > options_.batch_bytes) break;
    bytes += entry.body.size() + 32;
    ask.entries.push_back(entry);
  }
  progress.next += ask.entries.size();
  out.mail.push_back({to, {}, std::move(ask)});
}

void RaftNode::note_round(Progress &progress, Instant now) {
  if (progress.match < progress.round_end) return;
  if (progress.round_end != 0) progress.last_round = now - progress.round_began;
  progress.round_end = last_index();
  progress.round_began = now;
}

void RaftNode::broadcast(Instant now, RaftOutput &out) {
  heartbeat_at_ = now + options_.heartbeat;
  for (const Replica &replica : replicas_)
    if (replica.id != self_) send_append(replica.id, now, out);
}

Instant RaftNode::confirmed_at(Instant now) const {
  if (!is_leader()) return 0;
  std::vector<Instant> moments;
  for (const Replica &replica : replicas_) {
    if (!replica.is_voter) continue;
    const auto found = progress_.find(replica.id);
    moments.push_back(replica.id == self_ ? now : found == progress_.end() ? 0 : found->second.acked);
  }
  std::sort(moments.rbegin(), moments.rend());
  return moments.size() < majority() ? 0 : moments[majority() - 1];
}

Instant RaftNode::may_act_until(Instant now) const {
  if (!is_settled() || has_transferred_ || now < acts_from_) return 0;
  return confirmed_at(now) + options_.leader_lease;
}

void RaftNode::advance_commit(Instant now, RaftOutput &out) {
  std::vector<std::uint64_t> matches;
  for (const Replica &replica : replicas_)
    if (replica.is_voter) matches.push_back(match_of(replica.id));
  if (matches.size() < majority()) return;
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t index = matches[majority() - 1];
  if (index <= commit_ || term_at(index) != hard_.term) return;
  commit_ = index;
  deliver(out);
  const bool is_out = std::none_of(replicas_.begin(), replicas_.end(), [this](const Replica &replica) {
    return replica.id == self_ && replica.is_voter;
  });
  if (is_out && replicas_index_ <= commit_) {
    broadcast(now, out);
    follow(hard_.term, 0, now, out);
  }
}

void RaftNode::deliver(RaftOutput &out) {
  while (delivered_ < commit_) out.committed.push_back(log_[++delivered_ - base_.index - 1]);
}

void RaftNode::cut_log(std::uint64_t from) {
  while (last_index() >= from) log_.pop_back();
  synced_ = std::min(synced_, last_index());
  refresh_replicas();
}

void RaftNode::saved(std::uint64_t ticket, Instant now, RaftOutput &out) {
  while (!waiting_.empty() && waiting_.front().ticket <= ticket) {
    Waiting wait = std::move(waiting_.front());
    waiting_.pop_front();
    if (wait.has_entries && wait.last_index <= last_index() && term_at(wait.last_index) == wait.last_term)
      synced_ = std::max(synced_, wait.last_index);
    std::move(wait.mail.begin(), wait.mail.end(), std::back_inserter(out.mail));
    if (role_ == RaftRole::candidate && wait.hard.term == hard_.term && wait.hard.vote == self_) {
      votes_.insert(self_);
      count_votes(now, out);
    }
  }
  if (role_ == RaftRole::follower && leader_ != 0 && verified_ != 0)
    out.mail.push_back(
        {leader_,
         {},
         AppendEntriesResponse{hard_.group, hard_.term, std::min(verified_, synced_), true, last_sent_at_}});
  if (is_leader()) advance_commit(now, out);
  finish(now, out);
}

void RaftNode::tick(Instant now, RaftOutput &out) {
  if (hard_.group == 0) return;
  if (is_leader()) {
    if (!is_disk_well(now)) {
      step_down(now, out);
      return;
    }
    const Instant confirmed = confirmed_at(now);
    if (now - std::max(confirmed, led_since_) > options_.election_most * 2) {
      step_down(now, out);
      return;
    }
    if (now >= heartbeat_at_) broadcast(now, out);
  } else if (now >= election_at_) {
    set_election(now);
    if (is_voter(self_) && is_disk_well(now)) campaign(true, false, now, out);
  } else if (role_ == RaftRole::pre_candidate && now >= pre_vote_again_at_) {
    set_pre_vote_again(now);
    ask_votes(true, false);
  }
  finish(now, out);
}

void RaftNode::step(NodeId from, const Signal &signal, Instant now, RaftOutput &out) {
  if (is_disk_dead_) return;
  if (const auto *ask = std::get_if<RequestVoteRequest>(&signal))
    handle(from, *ask, now, out);
  else if (const auto *vote = std::get_if<RequestVoteResponse>(&signal))
    handle(from, *vote, now, out);
  else if (const auto *entries = std::get_if<AppendEntriesRequest>(&signal))
    handle(from, *entries, now, out);
  else if (const auto *taken = std::get_if<AppendEntriesResponse>(&signal))
    handle(from, *taken, now, out);
  else if (const auto *snapshot = std::get_if<InstallSnapshotRequest>(&signal))
    handle(from, *snapshot, now, out);
  else if (const auto *held = std::get_if<InstallSnapshotResponse>(&signal))
    handle(from, *held, now, out);
  else if (const auto *transfer = std::get_if<TimeoutNowRequest>(&signal))
    handle(from, *transfer, now, out);
  finish(now, out);
}

void RaftNode::handle(NodeId from, const AppendEntriesRequest &ask, Instant now, RaftOutput &out) {
  if (ask.group != hard_.group || hard_.group == 0) return;
  if (ask.term < hard_.term) {
    out.mail.push_back({from, {}, AppendEntriesResponse{hard_.group, hard_.term, 0, false, 0}});
    return;
  }
  follow(ask.term, from, now, out);
  heard_leader_ = now;
  set_election(now);
  if (ask.prev_index > last_index() ||
      (ask.prev_index >= base_.index && term_at(ask.prev_index) != ask.prev_term)) {
    const std::uint64_t hint =
        ask.prev_index > last_index() ? last_index() : std::max(commit_, ask.prev_index - 1);
    after_.push_back({from, {}, AppendEntriesResponse{hard_.group, hard_.term, hint, false, ask.sent_at}});
    return;
  }
  for (const Entry &entry : ask.entries) {
    if (entry.index <= base_.index) continue;
    if (entry.index <= last_index()) {
      if (term_at(entry.index) == entry.term) continue;
      cut_log(entry.index);
      WriteBatch &batch = save(out);
      batch.cut_from = entry.index;
    }
    log_.push_back(entry);
    save(out).append.push_back(entry);
    if (entry.kind == static_cast<std::uint8_t>(EntryKind::replicas)) refresh_replicas();
  }
  verified_ = std::max(verified_, ask.prev_index + ask.entries.size());
  last_sent_at_ = ask.sent_at;
  const std::uint64_t commit = std::min(ask.commit, ask.prev_index + ask.entries.size());
  if (commit > commit_) {
    commit_ = commit;
    deliver(out);
  }
  if (!building_ || !building_->hard)
    out.mail.push_back(
        {from,
         {},
         AppendEntriesResponse{hard_.group, hard_.term, std::min(verified_, synced_), true, ask.sent_at}});
}

void RaftNode::handle(NodeId from, const AppendEntriesResponse &say, Instant now, RaftOutput &out) {
  if (say.group != hard_.group) return;
  if (say.term > hard_.term) {
    follow(say.term, 0, now, out);
    return;
  }
  if (!is_leader() || say.term != hard_.term) return;
  const auto found = progress_.find(from);
  if (found == progress_.end()) return;
  Progress &progress = found->second;
  progress.heard = now;
  progress.acked = std::max(progress.acked, say.sent_at);
  if (!say.is_taken) {
    if (say.match + 1 < progress.next) progress.next = std::max(progress.match, say.match) + 1;
    if (now - progress.stepped_back < options_.heartbeat / 2) return;
    progress.stepped_back = now;
    send_append(from, now, out);
    return;
  }
  const bool has_advanced = say.match > progress.match;
  if (has_advanced) {
    progress.match = say.match;
    progress.next = std::max(progress.next, say.match + 1);
    if (progress.snapshot && progress.match >= progress.snapshot->index) progress.snapshot.reset();
    note_round(progress, now);
    advance_commit(now, out);
  } else {
    note_round(progress, now);
  }
  if (is_leader() && has_advanced && progress.next <= last_index() && progress.next <= progress.match + 4096)
    send_append(from, now, out);
}

} // namespace wharf
