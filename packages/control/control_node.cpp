// A control process: ties the group's log, its state and its duties together.
#include "control/control_node.hpp"

#include <algorithm>

#include "seal/seal.hpp"

namespace wharf {

namespace {
/// How many times its usual size the log may reach while a snapshot of it is on its way to a replica, which
/// then goes on from the log instead of waiting for the next snapshot.
constexpr std::size_t log_growth_during_transfer = 3;
} // namespace

ControlNode::ControlNode(const Member &self, std::vector<std::string> seeds, ControlOptions options,
                         std::uint64_t seed, const Recovered &recovered, Instant now)
    : self_(self), options_(options), membership_(self, std::move(seeds), options.membership),
      raft_(self.id, options.raft, seed, recovered, now), dice_(seed ^ (self.id * 31)), began_at_(now) {
  registry_.load(recovered.snapshot.body);
  applied_ = recovered.snapshot.index;
  if (raft_.group() != 0) membership_.set_group(raft_.group());
}

std::optional<std::uint64_t> ControlNode::propose(const Command &command, Instant now, ControlOutput &out) {
  RaftOutput step;
  const auto index = raft_.propose(pack_command(command), now, step);
  absorb(std::move(step), now, out);
  return index;
}

void ControlNode::absorb(RaftOutput &&step, Instant now, ControlOutput &out) {
  std::move(step.mail.begin(), step.mail.end(), std::back_inserter(out.mail));
  std::move(step.batches.begin(), step.batches.end(), std::back_inserter(out.batches));
  if (step.load) {
    registry_.load(step.load->body);
    applied_ = step.load->index;
    charter_version_ = 0;
  }
  if (step.has_role_changed) lead_changed(now, out);
  for (const Entry &entry : step.committed) apply(entry, now, out);
  if (raft_.is_leader() && registry_.version() != charter_version_) {
    refresh_charter();
    push_orders(now, out);
  }
}

void ControlNode::refresh_charter() {
  if (registry_.version() == charter_version_) return;
  charter_version_ = registry_.version();
  auto read = read_charter(registry_.manifest());
  if (auto *charter = std::get_if<std::shared_ptr<const Charter>>(&read)) charter_ = *charter;
}

void ControlNode::lead_changed(Instant now, ControlOutput &out) {
  const bool is_leader = raft_.is_leader();
  if (is_leader == was_leader_) return;
  was_leader_ = is_leader;
  sessions_.clear();
  ended_.clear();
  reports_of_ended_ = 0;
  almanac_.clear();
  outlook_ = {};
  notes_.clear();
  worker_rests_.clear();
  named_.clear();
  views_.clear();
  listed_.clear();
  workers_.clear();
  platform_ = {};
  platform_at_ = 0;
  is_roster_proposed_ = is_runners_proposed_ = is_secret_proposed_ = false;
  roster_differs_since_ = 0;
  taken_over_epoch_ = 0;
  if (is_leader) {
    floor_ = now + options_.fresh + options_.drift;
    duty_floor_ = now + longest_lease();
    clock_at_ = now;
    pace_at_ = now;
    pace_ = 0;
    orders_since_ = 0;
    out.lines.push_back("leads in term " + std::to_string(raft_.term()));
    return;
  }
  out.lines.push_back("no longer leads");
  for (const auto &[index, proposal] : proposals_)
    if (proposal.operator_ticket != 0)
      refuse_operator(proposal.operator_ticket, 503, "unknown",
                      "the lead was lost before the outcome was known", out);
  proposals_.clear();
  write_index_ = 0;
  for (const WaitingWrite &write : writes_)
    refuse_operator(write.ticket, 503, "unknown", "the lead was lost before every pilot had switched", out);
  writes_.clear();
  for (const UnconfirmedRequest &request : unconfirmed_)
    refuse_operator(request.ask.ticket, 503, "not-taken", "the lead was lost", out);
  unconfirmed_.clear();
}

void ControlNode::apply(const Entry &entry, Instant now, ControlOutput &out) {
  applied_ = entry.index;
  bytes_since_snapshot_ += entry.body.size() + 64;
  Applied applied;
  const Version replaced = registry_.version();
  if (entry.kind == static_cast<std::uint8_t>(EntryKind::command)) {
    Command command;
    if (unpack_command(entry.body, command)) applied = registry_.apply(command);
  } else {
    settle_at_ = now;
  }
  if (entry.index == write_index_) write_index_ = 0;
  if (entry.index == roster_index_) is_roster_proposed_ = false;
  if (entry.index == runners_index_) {
    is_runners_proposed_ = false;
    settle_at_ = now;
  }
  const auto found = proposals_.find(entry.index);
  if (found == proposals_.end()) return;
  Proposal proposal = std::move(found->second);
  proposals_.erase(found);
  if (proposal.term != entry.term) {
    if (proposal.operator_ticket != 0)
      refuse_operator(proposal.operator_ticket, 503, "not-taken", "another leader's entry took its place",
                      out);
    return;
  }
  if (proposal.is_claim) out.mail.push_back({proposal.pilot, {}, applied.claim});
  if (proposal.is_close) out.mail.push_back({proposal.pilot, {}, CloseSay{proposal.errand}});
  if (proposal.operator_ticket == 0) return;
  if (!applied.is_taken) {
    if (proposal.ask.verb == OperatorVerb::patch_manifest && proposal.ask.if_match.empty()) {
      write_manifest(std::move(proposal.ask), now, out);
      return;
    }
    refuse_version(proposal.operator_ticket, out);
    return;
  }
  if (proposal.charter && applied.version == registry_.version()) {
    charter_ = std::move(proposal.charter);
    charter_version_ = registry_.version();
  }
  writes_.push_back({proposal.operator_ticket, applied.version, std::move(proposal.trial)});
  if (registry_.version() != replaced)
    out.lines.push_back("configuration " + std::to_string(registry_.version()) + " takes the place of " +
                        std::to_string(replaced));
  outlook_ = {applied.version, now, false, std::move(proposal.foretold), {}, 0};
  push_orders(now, out);
}

void ControlNode::receive(const Envelope &envelope, Instant now, ControlOutput &out) {
  const Signal &signal = envelope.signal;
  if (std::holds_alternative<MembershipGossip>(signal)) {
    membership_.step(envelope, now, out.mail);
  } else if (const auto *ask = std::get_if<FoundAsk>(&signal)) {
    answer_founder(envelope, *ask, now, out);
  } else if (const auto *heard = std::get_if<FoundSay>(&signal)) {
    if (heard->nonce == found_nonce_) seed_says_[envelope.from_address] = {*heard, now};
  } else if (const auto *order = std::get_if<FoundOrder>(&signal)) {
    if (raft_.group() == 0) enter_group(order->group, order->replicas, "joins the founding of", now, out);
  } else if (const auto *pulse = std::get_if<Pulse>(&signal)) {
    answer_pulse(envelope, *pulse, now, out);
  } else if (const auto *claim = std::get_if<ClaimAsk>(&signal)) {
    const auto index =
        is_leading() ? propose(PutClaim{claim->key, claim->errand, claim->digest}, now, out) : std::nullopt;
    if (!index) {
      out.mail.push_back({envelope.from, {}, NotLeader{raft_.leader()}});
      return;
    }
    Proposal proposal;
    proposal.term = raft_.term();
    proposal.pilot = envelope.from;
    proposal.is_claim = true;
    if (*index > applied_) proposals_[*index] = proposal;
  } else if (const auto *close = std::get_if<CloseAsk>(&signal)) {
    const auto index = is_leading() ? propose(PutClose{*close}, now, out) : std::nullopt;
    if (!index) {
      out.mail.push_back({envelope.from, {}, NotLeader{raft_.leader()}});
      return;
    }
    Proposal proposal;
    proposal.term = raft_.term();
    proposal.pilot = envelope.from;
    proposal.is_close = true;
    proposal.errand = close->errand;
    if (*index > applied_) proposals_[*index] = proposal;
  } else if (std::holds_alternative<TimeoutNowRequest>(signal) && leaving_since_ != 0) {
    // Who leaves takes no lead over: it would only hand it back, as long as both don't know of each other.
    return;
  } else {
    RaftOutput step;
    raft_.step(envelope.from, signal, now, step);
    absorb(std::move(step), now, out);
    if (raft_.is_leader()) {
      carry_out_confirmed(now, out);
      settle_writes(now, out);
    }
  }
}

void ControlNode::saved(std::uint64_t ticket, Instant now, ControlOutput &out) {
  RaftOutput step;
  raft_.saved(ticket, now, step);
  absorb(std::move(step), now, out);
  carry_out_confirmed(now, out);
  compact_if_due(out);
}

void ControlNode::disk_failed(Instant now, ControlOutput &out) {
  RaftOutput step;
  raft_.disk_failed(now, step);
  absorb(std::move(step), now, out);
  out.lines.push_back("the disk refused a write");
}

void ControlNode::tick(Instant now, ControlOutput &out) {
  membership_.seek(raft_.replicas());
  membership_.tick(now, out.mail);
  RaftOutput step;
  raft_.tick(now, step);
  absorb(std::move(step), now, out);
  if (raft_.group() == 0) {
    if (options_.is_replica) maintain_founding(now, out);
    return;
  }
  if (!founding_replicas_.empty() || raft_.last_index() == 0) maintain_founding(now, out);
  if (!is_leading()) return;
  note_taken_over(now);
  maintain_handover(now, out);
  carry_out_confirmed(now, out);
  settle_writes(now, out);
  if (now < settle_at_) return;
  settle_at_ = now + options_.settle_every;
  if (registry_.secret().empty() && !is_secret_proposed_) {
    is_secret_proposed_ = true;
    propose(PutSecret{digest_hex(std::to_string(dice_.next()) + std::to_string(raft_.group()) +
                                 std::to_string(dice_.next()))},
            now, out);
  }
  if (now - clock_at_ >= options_.clock_every) {
    propose(PutClock{(now - clock_at_) / 1'000'000}, now, out);
    clock_at_ = now;
  }
  judge_outlook(now);
  maintain_replicas(now, out);
  maintain_roster(now, out);
  maintain_runners(now, out);
}

void ControlNode::compact_if_due(ControlOutput &out) {
  const bool is_due = applied_ > raft_.first_index() + options_.compact_entries ||
                      bytes_since_snapshot_ > options_.compact_bytes;
  if (!is_due || applied_ < raft_.first_index()) return;
  const bool is_far_over = bytes_since_snapshot_ > options_.compact_bytes * log_growth_during_transfer;
  if (raft_.is_sending_snapshot() && !is_far_over) return;
  bytes_since_snapshot_ = 0;
  RaftOutput step;
  raft_.compact(applied_, registry_.snapshot(), step);
  std::move(step.batches.begin(), step.batches.end(), std::back_inserter(out.batches));
}
} // namespace wharf
