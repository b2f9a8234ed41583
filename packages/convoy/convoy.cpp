#include "convoy/convoy.hpp"

#include <algorithm>

#include "signals/pack.hpp"

namespace wharf {

Convoy::Convoy(NodeId self, ConvoyOptions options, std::uint64_t seed, const Recovered &recovered,
               Instant now)
    : self_(self), options_(options), dice_(seed * 0x9E3779B97F4A7C15ull + self), hard_(recovered.hard),
      base_(recovered.picture) {
  log_.assign(recovered.entries.begin(), recovered.entries.end());
  commit_ = delivered_ = base_.index;
  synced_ = last_index();
  remember_mates();
  heard_leader_ = now - options_.election_most;
  set_election(now);
  election_at_ -= options_.first_sooner;
}

std::uint64_t Convoy::term_at(std::uint64_t index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last_index()) return 0;
  return log_[index - base_.index - 1].term;
}

bool Convoy::is_settled() const { return is_leader() && term_at(commit_) == hard_.term; }

bool Convoy::is_voter(NodeId id) const {
  return std::any_of(mates_.begin(), mates_.end(),
                     [id](const Mate &mate) { return mate.id == id && mate.is_voter; });
}

std::size_t Convoy::majority() const {
  return static_cast<std::size_t>(
             std::count_if(mates_.begin(), mates_.end(), [](const Mate &mate) { return mate.is_voter; })) /
             2 +
         1;
}

std::uint64_t Convoy::match_of(NodeId id) const {
  if (id == self_) return synced_;
  const auto found = progress_.find(id);
  return found == progress_.end() ? 0 : found->second.match;
}

Instant Convoy::heard_from(NodeId id) const {
  const auto found = progress_.find(id);
  return found == progress_.end() ? 0 : found->second.heard;
}

bool Convoy::is_disk_well(Instant now) const {
  return !is_disk_dead_ && (waiting_.empty() || now - waiting_.front().since < options_.disk_patience);
}

void Convoy::remember_mates() {
  mates_ = base_.mates;
  mates_index_ = base_.index;
  for (const Entry &entry : log_) {
    if (entry.kind != static_cast<std::uint8_t>(EntryKind::mates)) continue;
    unpack(entry.body, mates_);
    mates_index_ = entry.index;
  }
}

void Convoy::set_election(Instant now) {
  const auto spread = static_cast<std::uint64_t>(options_.election_most - options_.election_least);
  election_at_ = now + options_.election_least + static_cast<Span>(dice_.below(spread + 1));
}

Save &Convoy::save(ConvoyOutput &) {
  if (!building_) {
    building_.emplace();
    building_->ticket = next_ticket_++;
  }
  return *building_;
}

void Convoy::finish(Instant now, ConvoyOutput &out) {
  if (building_) {
    Waiting wait;
    wait.ticket = building_->ticket;
    wait.last_index = last_index();
    wait.last_term = term_at(last_index());
    wait.has_entries = !building_->append.empty() || building_->picture || building_->cut_from != 0;
    wait.since = now;
    wait.hard = hard_;
    wait.mail = std::move(after_);
    waiting_.push_back(std::move(wait));
    out.saves.push_back(std::move(*building_));
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

void Convoy::found(std::uint64_t group, std::vector<Mate> mates, Instant now, ConvoyOutput &out) {
  if (hard_.group != 0) return;
  hard_.group = group;
  base_ = Picture{};
  base_.mates = std::move(mates);
  remember_mates();
  Save &batch = save(out);
  batch.hard = hard_;
  batch.picture = base_;
  set_election(now);
  finish(now, out);
}

void Convoy::follow(std::uint64_t term, NodeId leader, Instant now, ConvoyOutput &out) {
  if (term > hard_.term) {
    hard_.term = term;
    hard_.vote = 0;
    save(out).hard = hard_;
    verified_ = 0;
  }
  if (rank_ != Rank::follower || leader_ != leader) out.has_role_changed = true;
  if (rank_ != Rank::follower) set_election(now);
  rank_ = Rank::follower;
  leader_ = leader;
}

void Convoy::step_down(Instant now, ConvoyOutput &out) {
  if (!is_leader()) return;
  follow(hard_.term, 0, now, out);
  election_at_ = now + options_.election_most * 2;
  finish(now, out);
}

void Convoy::disk_failed(Instant now, ConvoyOutput &out) {
  is_disk_dead_ = true;
  step_down(now, out);
}

void Convoy::campaign(bool is_trial, Instant now, ConvoyOutput &out) {
  set_election(now);
  votes_.clear();
  leader_ = 0;
  rank_ = is_trial ? Rank::trial : Rank::candidate;
  out.has_role_changed = true;
  if (!is_trial) {
    ++hard_.term;
    hard_.vote = self_;
    save(out).hard = hard_;
  } else {
    votes_.insert(self_);
  }
  VoteAsk ask{hard_.group, hard_.term + (is_trial ? 1 : 0), last_index(), term_at(last_index()), is_trial};
  for (const Mate &mate : mates_)
    if (mate.is_voter && mate.id != self_) after_.push_back({mate.id, {}, ask});
  if (is_trial) count_votes(now, out);
}

void Convoy::count_votes(Instant now, ConvoyOutput &out) {
  std::size_t count = 0;
  for (NodeId id : votes_) count += is_voter(id) ? 1 : 0;
  if (count < majority()) return;
  if (rank_ == Rank::trial)
    campaign(false, now, out);
  else if (rank_ == Rank::candidate)
    lead(now, out);
}

void Convoy::lead(Instant now, ConvoyOutput &out) {
  rank_ = Rank::leader;
  leader_ = self_;
  led_since_ = now;
  out.has_role_changed = true;
  progress_.clear();
  for (const Mate &mate : mates_) progress_[mate.id] = {last_index() + 1, 0, 0, now, 0};
  append(static_cast<std::uint8_t>(EntryKind::mates), pack(mates_), out);
  mates_index_ = last_index();
  broadcast(now, out);
}

void Convoy::append(std::uint8_t kind, std::string body, ConvoyOutput &out) {
  Entry entry{last_index() + 1, hard_.term, kind, std::move(body)};
  log_.push_back(entry);
  save(out).append.push_back(std::move(entry));
}

std::optional<std::uint64_t> Convoy::propose(std::string body, Instant now, ConvoyOutput &out) {
  if (!is_leader() || !is_disk_well(now)) return std::nullopt;
  append(static_cast<std::uint8_t>(EntryKind::command), std::move(body), out);
  broadcast(now, out);
  finish(now, out);
  return last_index();
}

std::optional<std::uint64_t> Convoy::propose_mates(std::vector<Mate> mates, Instant now, ConvoyOutput &out) {
  if (!is_settled() || mates_index_ > commit_ || !is_disk_well(now)) return std::nullopt;
  append(static_cast<std::uint8_t>(EntryKind::mates), pack(mates), out);
  mates_ = std::move(mates);
  mates_index_ = last_index();
  for (const Mate &mate : mates_)
    if (!progress_.contains(mate.id)) progress_[mate.id] = {last_index(), 0, 0, now, 0};
  std::erase_if(progress_, [this](const auto &item) {
    return std::none_of(mates_.begin(), mates_.end(),
                        [&](const Mate &mate) { return mate.id == item.first; });
  });
  broadcast(now, out);
  finish(now, out);
  return last_index();
}

void Convoy::send_append(NodeId to, Instant now, ConvoyOutput &out) {
  Progress &progress = progress_[to];
  if (progress.next <= base_.index) {
    if (progress.picture_index != base_.index) {
      progress.picture_index = base_.index;
      progress.picture_held = 0;
      progress.pictured = 0;
    }
    if (progress.pictured != 0 && now - progress.pictured < options_.picture_again) {
      out.mail.push_back({to, {}, AppendAsk{hard_.group, hard_.term, base_.index, base_.term, 0, now, {}}});
      return;
    }
    progress.pictured = now;
    PictureAsk part{hard_.group, hard_.term, base_.index, base_.term, now, base_.mates, {}, 0, 0};
    part.offset = std::min<std::uint64_t>(progress.picture_held, base_.body.size());
    part.total = base_.body.size();
    part.body = base_.body.substr(part.offset, options_.picture_part);
    out.mail.push_back({to, {}, std::move(part)});
    return;
  }
  AppendAsk ask{hard_.group, hard_.term, progress.next - 1, term_at(progress.next - 1), commit_, now, {}};
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

void Convoy::broadcast(Instant now, ConvoyOutput &out) {
  heartbeat_at_ = now + options_.heartbeat;
  for (const Mate &mate : mates_)
    if (mate.id != self_) send_append(mate.id, now, out);
}

Instant Convoy::confirmed_at(Instant now) const {
  if (!is_leader()) return 0;
  std::vector<Instant> moments;
  for (const Mate &mate : mates_) {
    if (!mate.is_voter) continue;
    const auto found = progress_.find(mate.id);
    moments.push_back(mate.id == self_ ? now : found == progress_.end() ? 0 : found->second.acked);
  }
  std::sort(moments.rbegin(), moments.rend());
  return moments.size() < majority() ? 0 : moments[majority() - 1];
}

void Convoy::advance_commit(Instant now, ConvoyOutput &out) {
  std::vector<std::uint64_t> matches;
  for (const Mate &mate : mates_)
    if (mate.is_voter) matches.push_back(match_of(mate.id));
  if (matches.size() < majority()) return;
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t index = matches[majority() - 1];
  if (index <= commit_ || term_at(index) != hard_.term) return;
  commit_ = index;
  deliver(out);
  const bool is_out = std::none_of(mates_.begin(), mates_.end(),
                                   [this](const Mate &mate) { return mate.id == self_ && mate.is_voter; });
  if (is_out && mates_index_ <= commit_) {
    broadcast(now, out);
    follow(hard_.term, 0, now, out);
  }
}

void Convoy::deliver(ConvoyOutput &out) {
  while (delivered_ < commit_) out.committed.push_back(log_[++delivered_ - base_.index - 1]);
}

void Convoy::cut_log(std::uint64_t from) {
  while (last_index() >= from) log_.pop_back();
  synced_ = std::min(synced_, last_index());
  remember_mates();
}

void Convoy::saved(std::uint64_t ticket, Instant now, ConvoyOutput &out) {
  while (!waiting_.empty() && waiting_.front().ticket <= ticket) {
    Waiting wait = std::move(waiting_.front());
    waiting_.pop_front();
    if (wait.has_entries && wait.last_index <= last_index() && term_at(wait.last_index) == wait.last_term)
      synced_ = std::max(synced_, wait.last_index);
    std::move(wait.mail.begin(), wait.mail.end(), std::back_inserter(out.mail));
    if (rank_ == Rank::candidate && wait.hard.term == hard_.term && wait.hard.vote == self_) {
      votes_.insert(self_);
      count_votes(now, out);
    }
  }
  if (rank_ == Rank::follower && leader_ != 0 && verified_ != 0)
    out.mail.push_back(
        {leader_, {}, AppendSay{hard_.group, hard_.term, std::min(verified_, synced_), true, last_sent_at_}});
  if (is_leader()) advance_commit(now, out);
  finish(now, out);
}

void Convoy::compact(std::uint64_t index, std::string body, ConvoyOutput &out) {
  if (index <= base_.index || index > delivered_) return;
  Picture picture;
  picture.index = index;
  picture.term = term_at(index);
  picture.mates = base_.mates;
  for (const Entry &entry : log_)
    if (entry.index <= index && entry.kind == static_cast<std::uint8_t>(EntryKind::mates))
      unpack(entry.body, picture.mates);
  picture.body = std::move(body);
  log_.erase(log_.begin(), log_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
  base_ = std::move(picture);
  Save &batch = save(out);
  batch.picture = base_;
  batch.append.assign(log_.begin(), log_.end());
  out.saves.push_back(std::move(*building_));
  building_.reset();
}

void Convoy::tick(Instant now, ConvoyOutput &out) {
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
    if (is_voter(self_) && is_disk_well(now)) campaign(true, now, out);
  }
  finish(now, out);
}

void Convoy::step(NodeId from, const Signal &signal, Instant now, ConvoyOutput &out) {
  if (is_disk_dead_) return;
  if (const auto *ask = std::get_if<VoteAsk>(&signal))
    handle(from, *ask, now, out);
  else if (const auto *vote = std::get_if<VoteSay>(&signal))
    handle(from, *vote, now, out);
  else if (const auto *entries = std::get_if<AppendAsk>(&signal))
    handle(from, *entries, now, out);
  else if (const auto *taken = std::get_if<AppendSay>(&signal))
    handle(from, *taken, now, out);
  else if (const auto *picture = std::get_if<PictureAsk>(&signal))
    handle(from, *picture, now, out);
  else if (const auto *held = std::get_if<PictureSay>(&signal))
    handle(from, *held, now, out);
  finish(now, out);
}

void Convoy::handle(NodeId from, const VoteAsk &ask, Instant now, ConvoyOutput &out) {
  if (ask.group != hard_.group || hard_.group == 0) return;
  const bool has_leader = is_leader() || (leader_ != 0 && now - heard_leader_ < options_.election_least);
  if (has_leader && !(ask.term <= hard_.term)) return;
  const bool is_fresh = ask.last_term > term_at(last_index()) ||
                        (ask.last_term == term_at(last_index()) && ask.last_index >= last_index());
  if (ask.is_trial) {
    const bool is_granted = ask.term > hard_.term && is_fresh && !has_leader;
    out.mail.push_back(
        {from, {}, VoteSay{hard_.group, is_granted ? ask.term : hard_.term, is_granted, true}});
    return;
  }
  if (ask.term > hard_.term) follow(ask.term, 0, now, out);
  const bool is_granted = ask.term == hard_.term && is_fresh && (hard_.vote == 0 || hard_.vote == from) &&
                          rank_ == Rank::follower;
  if (is_granted) {
    if (hard_.vote != from) {
      hard_.vote = from;
      save(out).hard = hard_;
    }
    set_election(now);
  }
  after_.push_back({from, {}, VoteSay{hard_.group, hard_.term, is_granted, false}});
}

void Convoy::handle(NodeId from, const VoteSay &say, Instant now, ConvoyOutput &out) {
  if (say.group != hard_.group) return;
  if (say.is_trial) {
    if (!say.is_granted && say.term > hard_.term) follow(say.term, 0, now, out);
    if (rank_ != Rank::trial || !say.is_granted || say.term != hard_.term + 1) return;
  } else {
    if (say.term > hard_.term) follow(say.term, 0, now, out);
    if (rank_ != Rank::candidate || !say.is_granted || say.term != hard_.term) return;
  }
  votes_.insert(from);
  count_votes(now, out);
}

void Convoy::handle(NodeId from, const AppendAsk &ask, Instant now, ConvoyOutput &out) {
  if (ask.group != hard_.group || hard_.group == 0) return;
  if (ask.term < hard_.term) {
    out.mail.push_back({from, {}, AppendSay{hard_.group, hard_.term, 0, false, 0}});
    return;
  }
  follow(ask.term, from, now, out);
  heard_leader_ = now;
  set_election(now);
  if (ask.prev_index > last_index() ||
      (ask.prev_index >= base_.index && term_at(ask.prev_index) != ask.prev_term)) {
    const std::uint64_t hint =
        ask.prev_index > last_index() ? last_index() : std::max(commit_, ask.prev_index - 1);
    after_.push_back({from, {}, AppendSay{hard_.group, hard_.term, hint, false, ask.sent_at}});
    return;
  }
  for (const Entry &entry : ask.entries) {
    if (entry.index <= base_.index) continue;
    if (entry.index <= last_index()) {
      if (term_at(entry.index) == entry.term) continue;
      cut_log(entry.index);
      Save &batch = save(out);
      batch.cut_from = entry.index;
    }
    log_.push_back(entry);
    save(out).append.push_back(entry);
    if (entry.kind == static_cast<std::uint8_t>(EntryKind::mates)) remember_mates();
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
        {from, {}, AppendSay{hard_.group, hard_.term, std::min(verified_, synced_), true, ask.sent_at}});
}

void Convoy::handle(NodeId from, const AppendSay &say, Instant now, ConvoyOutput &out) {
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
    progress.pictured = 0;
    advance_commit(now, out);
  }
  if (is_leader() && has_advanced && progress.next <= last_index() && progress.next <= progress.match + 4096)
    send_append(from, now, out);
}

void Convoy::handle(NodeId from, const PictureSay &say, Instant now, ConvoyOutput &out) {
  const auto found = progress_.find(from);
  if (!is_leader() || say.group != hard_.group || say.term != hard_.term || found == progress_.end()) return;
  Progress &progress = found->second;
  progress.heard = now;
  progress.acked = std::max(progress.acked, say.sent_at);
  if (say.index != base_.index || progress.next > base_.index) return;
  const bool has_grown = say.held > progress.picture_held;
  progress.picture_held = say.held;
  if (!has_grown) return;
  progress.pictured = 0;
  send_append(from, now, out);
}

void Convoy::handle(NodeId from, const PictureAsk &ask, Instant now, ConvoyOutput &out) {
  if (ask.group != hard_.group || ask.term < hard_.term) return;
  follow(ask.term, from, now, out);
  heard_leader_ = now;
  set_election(now);
  last_sent_at_ = ask.sent_at;
  if (ask.index <= commit_) {
    verified_ = std::max(verified_, commit_);
    after_.push_back(
        {from, {}, AppendSay{hard_.group, hard_.term, std::min(synced_, commit_), true, ask.sent_at}});
    return;
  }
  if (ask.index <= last_index() && term_at(ask.index) == ask.last_term) {
    commit_ = ask.index;
    verified_ = std::max(verified_, ask.index);
    deliver(out);
    after_.push_back(
        {from, {}, AppendSay{hard_.group, hard_.term, std::min(synced_, verified_), true, ask.sent_at}});
    return;
  }
  if (arriving_.index != ask.index || arriving_.term != ask.last_term)
    arriving_ = {ask.index, ask.last_term, {}, {}};
  if (ask.offset == arriving_.body.size()) arriving_.body += ask.body;
  if (arriving_.body.size() < ask.total) {
    out.mail.push_back(
        {from, {}, PictureSay{hard_.group, hard_.term, ask.index, arriving_.body.size(), ask.sent_at}});
    return;
  }
  log_.clear();
  base_ = Picture{ask.index, ask.last_term, ask.mates, std::move(arriving_.body)};
  arriving_ = {};
  commit_ = delivered_ = verified_ = ask.index;
  synced_ = 0;
  remember_mates();
  Save &batch = save(out);
  batch.cut_from = 1;
  batch.picture = base_;
  out.committed.clear();
  out.load = base_;
}

} // namespace wharf
