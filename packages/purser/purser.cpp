#include "purser/purser.hpp"

#include <algorithm>
#include <cmath>

namespace wharf {

Purser::Purser(NodeId self, PurserOptions options) : self_(self), options_(options) {}

NodeId Purser::owner_in(const std::vector<NodeId> &pilots, const std::string &tenant) const {
  return top_ranked_node(pilots, tenant, purser_salt);
}

NodeId Purser::replica_in(const std::vector<NodeId> &pilots, const std::string &tenant) const {
  const auto ranked = rank_nodes(pilots, tenant, purser_salt);
  return ranked.size() < 2 ? 0 : ranked[1];
}

bool Purser::is_handing_over(Instant now) const {
  return std::any_of(ledgers_.begin(), ledgers_.end(), [now](const auto &item) {
    return item.second.handover_to != 0 && now < item.second.handover_until;
  });
}

bool Purser::is_granting(const std::string &tenant, Instant now) const {
  const auto found = ledgers_.find(tenant);
  return found != ledgers_.end() && found->second.post == Post::ready && now < fresh_until_;
}

void Purser::set_allowances(std::map<std::string, Allowance> allowances, Instant now) {
  const bool had_any = !allowances_.empty();
  for (auto &[tenant, allowance] : allowances)
    allowance = {allowance.base * options_.slack, allowance.burst * options_.slack};
  for (const auto &[tenant, allowance] : allowances) {
    Ledger &ledger = ledgers_[tenant];
    const bool is_new = !allowances_.contains(tenant);
    const bool is_owner = roster_.epoch != 0 && owner_in(roster_.owners(), tenant) == self_;
    if (is_new && is_owner && ledger.post == Post::none) {
      ledger.post = Post::awaiting;
      ledger.settled_at = settled_ >= roster_.epoch ? settled_at_ : 0;
      if (had_any && settled_ >= roster_.epoch) {
        ledger.post = Post::ready;
        ledger.tokens = allowance.base + allowance.burst;
        ledger.refilled_at = now;
      }
    }
    if (ledger.post == Post::ready) {
      const auto old = allowances_.find(tenant);
      if (old != allowances_.end()) refill(old->second, ledger, now);
      ledger.tokens = std::min(ledger.tokens, allowance.base + allowance.burst);
    }
  }
  allowances_ = std::move(allowances);
}

bool Purser::is_copy_whole(const std::string &tenant, const Ledger &ledger) const {
  if (!ledger.has_copy) return false;
  bool is_found = false;
  NodeId owner = 0;
  for (const PastRoster &past : roster_.past) {
    if (past.epoch < ledger.copy_epoch) continue;
    if (past.epoch == ledger.copy_epoch) {
      is_found = true;
      owner = owner_in(past.owners(), tenant);
    }
    if (!is_found || owner_in(past.owners(), tenant) != owner || replica_in(past.owners(), tenant) != self_)
      return false;
  }
  return is_found;
}

bool Purser::was_owner_since(Epoch epoch, const std::string &tenant) const {
  bool is_found = false;
  for (const PastRoster &past : roster_.past) {
    if (past.epoch < epoch) continue;
    if (past.epoch == epoch) is_found = true;
    if (owner_in(past.owners(), tenant) != self_) return false;
  }
  return is_found;
}

void Purser::set_roster(const Roster &roster, Epoch settled, Instant now, Outbox &out) {
  if (roster.epoch > roster_.epoch) {
    const Roster old = roster_;
    roster_ = roster;
    for (auto &[tenant, ledger] : ledgers_) {
      const NodeId owner = owner_in(roster_.owners(), tenant);
      if (ledger.handover_to != owner) ledger.handover_to = 0;
      if (owner == self_) {
        ledger.handover_to = 0;
        const bool is_unbroken = was_owner_since(old.epoch, tenant);
        if (ledger.post == Post::ready && is_unbroken) {
          ++ledger.sequence;
          ledger.resend.restart();
          ledger.is_followed = ledger.is_whole_acked = false;
        } else if (ledger.post != Post::awaiting || !is_unbroken) {
          ledger.has_copy =
              ledger.post != Post::ready && ledger.post != Post::awaiting && is_copy_whole(tenant, ledger);
          ledger.post = Post::awaiting;
          ledger.settled_at = 0;
          forget_owner_state(ledger);
        }
        continue;
      }
      const bool was_owner = ledger.post == Post::ready || ledger.post == Post::awaiting;
      const bool has_word = ledger.post == Post::ready || ledger.has_copy;
      forget_owner_state(ledger);
      if (was_owner && has_word && was_owner_since(old.epoch, tenant)) {
        ++ledger.sequence;
        hand_over(tenant, ledger, owner, now, out);
      } else if (!was_owner && is_copy_whole(tenant, ledger)) {
        hand_over(tenant, ledger, owner, now, out);
      }
      if (was_owner) ledger.has_copy = false;
      ledger.post = replica_in(roster_.owners(), tenant) == self_ ? Post::replica : Post::none;
    }
  }
  if (settled > settled_) {
    settled_ = settled;
    settled_at_ = now;
  }
  tick(now, out);
}

void Purser::hand_over(const std::string &tenant, Ledger &ledger, NodeId owner, Instant now, Outbox &out) {
  if (owner == 0) return;
  ledger.handover_to = owner;
  ledger.handover_epoch = roster_.epoch;
  ledger.handover_until = now + seconds(6);
  ledger.handed_over_at = now;
  out.push_back({owner, {}, copy_of(tenant, ledger, now, true)});
}

bool Purser::is_direct_word(const LedgerCopy &copy, NodeId from) const {
  if (copy.epoch > roster_.epoch) return false;
  const PastRoster *before = nullptr;
  for (const PastRoster &past : roster_.past) {
    if (past.epoch < copy.epoch)
      before = &past;
    else if (owner_in(past.owners(), copy.tenant) != self_)
      return false;
  }
  if (before == nullptr || before->epoch + 1 != copy.epoch) return false;
  return owner_in(before->owners(), copy.tenant) == from || replica_in(before->owners(), copy.tenant) == from;
}

void Purser::start_unknown(const Allowance &allowance, Ledger &ledger, Instant now) {
  ++unknown_starts_;
  ledger.charges.clear();
  ledger.blind_before = roster_.epoch;
  const double passed = static_cast<double>(std::max<Span>(0, quiet_ - options_.arrive_late)) / 1e9;
  const double window = allowance.base * static_cast<double>(options_.quota_window) / 1e9 + allowance.burst;
  ledger.tokens = std::min(allowance.base + allowance.burst,
                           allowance.base * (passed - 1.0) + window * options_.start_slack);
  ledger.refilled_at = now;
}

void Purser::begin(const std::string &tenant, Ledger &ledger, Instant now, Outbox &) {
  const Allowance &allowance = allowances_.at(tenant);
  if (!ledger.has_copy) {
    if (roster_.is_first) {
      ledger.tokens = allowance.base + allowance.burst;
      ledger.refilled_at = now;
    } else {
      start_unknown(allowance, ledger, now);
    }
  }
  if (!roster_.is_first && quiet_ == 0 && options_.fallback_taken > 0) {
    const double taken =
        allowance.base * options_.fallback_taken_share * static_cast<double>(options_.fallback_taken) / 1e9;
    charge(ledger, static_cast<std::uint32_t>(std::ceil(taken)), now + options_.quota_window);
  }
  ledger.post = Post::ready;
  ++ledger.sequence;
  ledger.resend = Backoff(options_.copy_again, options_.copy_again_most);
  forget_owner_state(ledger);
}

void Purser::forget_owner_state(Ledger &ledger) {
  ledger.answers.clear();
  ledger.unacked.clear();
  ledger.granted_asks.clear();
  ledger.whole_sequence = 0;
  ledger.is_followed = ledger.is_whole_acked = false;
}

void Purser::charge(Ledger &ledger, std::uint32_t tokens, Instant expires) const {
  const Instant until = (expires + options_.charge_step - 1) / options_.charge_step * options_.charge_step;
  for (auto entry = ledger.charges.rbegin(); entry != ledger.charges.rend(); ++entry) {
    if (entry->permit != 0 || entry->expires != until) continue;
    entry->tokens += tokens;
    return;
  }
  ledger.charges.push_back({0, 0, tokens, 0, 0, until, false, false, 0});
}

void Purser::tick(Instant now, Outbox &out) {
  for (auto &[tenant, ledger] : ledgers_) {
    if (ledger.post == Post::awaiting && settled_ >= roster_.epoch && allowances_.contains(tenant) &&
        now < fresh_until_) {
      if (ledger.settled_at == 0) ledger.settled_at = now;
      const bool can_hand_over = quiet_ == 0 || options_.start_slack == 0;
      if (ledger.has_copy || roster_.is_first || !can_hand_over ||
          now - ledger.settled_at >= options_.handover_patience)
        begin(tenant, ledger, now, out);
    }
    if (ledger.post == Post::ready && (!ledger.is_whole_acked || !ledger.unacked.empty()))
      resend_unacked(tenant, ledger, now, out);
    if (ledger.handover_to != 0 && now < ledger.handover_until &&
        now - ledger.handed_over_at >= options_.copy_again) {
      ledger.handed_over_at = now;
      out.push_back({ledger.handover_to, {}, copy_of(tenant, ledger, now, true)});
    }
  }
}

void Purser::send_copy(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out) {
  const NodeId replica = replica_in(roster_.owners(), tenant);
  if (replica == 0) {
    ledger.is_whole_acked = true;
    ledger.unacked.clear();
    release(ledger, out);
    return;
  }
  ledger.whole_at = now;
  ledger.is_followed = true;
  ++whole_copies_;
  std::erase_if(ledger.granted_asks, [&](const auto &item) { return now - item.second.at > options_.life; });
  out.push_back({replica, {}, copy_of(tenant, ledger, now, false)});
}

void Purser::send_charges_from(std::uint64_t sequence, const std::string &tenant, Ledger &ledger, Instant now,
                               Outbox &out) {
  LedgerCopy copy;
  copy.tenant = tenant;
  copy.epoch = roster_.epoch;
  copy.sequence = ledger.sequence;
  copy.next_permit = ledger.next_permit;
  copy.tokens = ledger.tokens;
  copy.is_delta = true;
  for (auto charge = ledger.unacked.lower_bound(sequence); charge != ledger.unacked.end(); ++charge)
    copy.charges.push_back(charge_of(charge->second, now));
  out.push_back({replica_in(roster_.owners(), tenant), {}, std::move(copy)});
}

void Purser::send_charge(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out) {
  const bool is_whole_due = now - ledger.whole_at >= options_.copy_whole;
  if (replica_in(roster_.owners(), tenant) == 0 || !ledger.is_followed || is_whole_due)
    send_copy(tenant, ledger, now, out);
  else
    send_charges_from(oldest_repeated(ledger), tenant, ledger, now, out);
}

std::uint64_t Purser::oldest_repeated(const Ledger &ledger) const {
  auto oldest = ledger.unacked.end();
  for (std::size_t count = 0; count < options_.charges_repeated && oldest != ledger.unacked.begin(); ++count)
    --oldest;
  return oldest->first;
}

void Purser::resend_unacked(const std::string &tenant, Ledger &ledger, Instant now, Outbox &out) {
  if (!ledger.resend.is_due(now)) return;
  ledger.resend.sent(now);
  if (ledger.is_whole_acked)
    send_charges_from(0, tenant, ledger, now, out);
  else
    send_copy(tenant, ledger, now, out);
}

void Purser::release(Ledger &ledger, Outbox &out) {
  if (!ledger.is_whole_acked) return;
  std::erase_if(ledger.answers, [&](const Answer &answer) {
    if (ledger.unacked.contains(answer.sequence)) return false;
    out.push_back({answer.to, {}, answer.say});
    return true;
  });
}

LedgerCopy Purser::copy_of(const std::string &tenant, const Ledger &ledger, Instant now,
                           bool is_handover) const {
  LedgerCopy copy;
  copy.tenant = tenant;
  copy.epoch = is_handover ? ledger.handover_epoch : roster_.epoch;
  copy.sequence = ledger.sequence;
  copy.next_permit = ledger.next_permit;
  copy.tokens = ledger.tokens;
  copy.is_handover = is_handover;
  for (const Entry &entry : ledger.charges) copy.charges.push_back(charge_of(entry, now));
  return copy;
}

Charge Purser::charge_of(const Entry &entry, Instant now) {
  return {entry.permit,        entry.node,    entry.tokens,   entry.granted, entry.gone,
          entry.expires - now, entry.is_open, entry.is_final, entry.sequence};
}

Purser::Entry Purser::entry_of(const Charge &charge, Instant now) {
  return {charge.permit,    charge.node,    charge.tokens,   charge.granted, charge.gone,
          now + charge.age, charge.is_open, charge.is_final, charge.sequence};
}

void Purser::refill(const Allowance &allowance, Ledger &ledger, Instant now) {
  const double elapsed = static_cast<double>(std::max<Span>(0, now - ledger.refilled_at)) / 1e9;
  ledger.tokens = std::min(allowance.base + allowance.burst, ledger.tokens + elapsed * allowance.base);
  ledger.refilled_at = std::max(now, ledger.refilled_at);
  std::erase_if(ledger.charges, [now](const Entry &entry) { return entry.expires <= now; });
}

void Purser::take_return(const Allowance &allowance, Ledger &ledger, Entry &entry, const PermitReturn &item,
                         std::vector<Entry> &closed, Instant now) {
  const std::uint32_t gone = std::min(item.gone, entry.granted);
  if (gone > entry.gone) {
    const std::uint32_t newly = std::min(gone - entry.gone, entry.tokens);
    entry.tokens -= newly;
    entry.gone = gone;
    const Instant expires = now + options_.quota_window;
    if (newly > 0) closed.push_back({0, 0, newly, 0, 0, expires, false, false, 0});
  }
  if (item.is_final && !entry.is_final) {
    const std::uint32_t unspent =
        std::min(entry.tokens, entry.granted - std::min(entry.granted, std::max(item.spent, gone)));
    ledger.tokens = std::min(allowance.base + allowance.burst, ledger.tokens + unspent);
    entry.tokens -= unspent;
    entry.is_final = true;
  }
  entry.expires = std::max(entry.expires, now + options_.life + options_.quota_window);
  entry.is_open = entry.tokens > 0 || !entry.is_final;
}

void Purser::take_returns(const Allowance &allowance, Ledger &ledger, NodeId from,
                          const std::vector<PermitReturn> &returns, Instant now) {
  std::vector<Entry> closed;
  for (const PermitReturn &item : returns) {
    const auto found = std::find_if(ledger.charges.begin(), ledger.charges.end(), [&](const Entry &entry) {
      return entry.is_open && entry.permit == item.permit && entry.node == from;
    });
    if (found != ledger.charges.end()) {
      take_return(allowance, ledger, *found, item, closed, now);
      continue;
    }
    const bool is_unseen = (item.permit >> 28) < ledger.blind_before && item.spent > item.gone;
    if (!is_unseen) continue;
    ledger.charges.push_back({item.permit, from, item.spent - item.gone, item.spent, item.gone,
                              now + options_.life + options_.quota_window, true, true, 0});
  }
  std::erase_if(ledger.charges,
                [](const Entry &entry) { return entry.tokens == 0 && (!entry.is_open || entry.is_final); });
  for (const Entry &entry : closed) charge(ledger, entry.tokens, entry.expires);
}

void Purser::step(NodeId from, const Signal &signal, Instant now, Outbox &out) {
  if (const auto *ask = std::get_if<PermitAsk>(&signal))
    handle(from, *ask, now, out);
  else if (const auto *copy = std::get_if<LedgerCopy>(&signal))
    handle(from, *copy, now, out);
  else if (const auto *ack = std::get_if<LedgerAck>(&signal))
    handle(from, *ack, now, out);
}

void Purser::handle(NodeId from, const PermitAsk &ask, Instant now, Outbox &out) {
  PermitSay say;
  say.tenant = ask.tenant;
  say.ask = ask.ask;
  say.attempt = ask.attempt;
  const auto found = ledgers_.find(ask.tenant);
  const auto allowance = allowances_.find(ask.tenant);
  if (found == ledgers_.end() || allowance == allowances_.end() || found->second.post != Post::ready ||
      now >= fresh_until_ || ask.epoch > roster_.epoch) {
    say.is_owner = false;
    say.retry_after = milliseconds(60);
    out.push_back({from, {}, say});
    return;
  }
  Ledger &ledger = found->second;
  const Allowance &plan = allowance->second;
  refill(plan, ledger, now);
  take_returns(plan, ledger, from, ask.returns, now);
  if (ask.want == 0 || answer_again(ledger, from, ask, out)) return;
  double taken = 0;
  for (const Entry &entry : ledger.charges) taken += entry.tokens;
  const double cap = plan.base * static_cast<double>(options_.quota_window) / 1e9 + plan.burst;
  const double room = std::min(ledger.tokens, cap - taken);
  const double usual = std::max(1.0, std::floor(plan.base * options_.permit_share));
  const auto granted = static_cast<std::uint32_t>(
      std::max(0.0, std::min({std::floor(room), usual, static_cast<double>(ask.want)})));
  if (granted == 0) {
    ++denied_;
    Span wait = static_cast<Span>(std::max(0.0, 1.0 - ledger.tokens) / plan.base * 1e9);
    if (cap - taken < 1.0 && !ledger.charges.empty()) {
      Instant soonest = ledger.charges.front().expires;
      for (const Entry &entry : ledger.charges) soonest = std::min(soonest, entry.expires);
      wait = std::max(wait, soonest - now);
    }
    say.retry_after = std::max<Span>(wait, milliseconds(1));
    out.push_back({from, {}, say});
    return;
  }
  ++granted_;
  tokens_granted_ += granted;
  ledger.tokens -= granted;
  say.permit = (roster_.epoch << 28) | (++ledger.next_permit & 0xfffffff);
  say.tokens = granted;
  say.window = options_.window;
  // Only the first of those that the replica is to acknowledge sets the time.
  if (ledger.unacked.empty()) ledger.resend.answered(now, options_.copy_again);
  ++ledger.sequence;
  ledger.charges.push_back({say.permit, from, granted, granted, 0,
                            now + options_.life + options_.quota_window, true, false, ledger.sequence});
  ledger.unacked[ledger.sequence] = ledger.charges.back();
  ledger.answers.push_back({ledger.sequence, from, say});
  ledger.granted_asks[from] = {ask.ask, ledger.sequence, say, now};
  send_charge(ask.tenant, ledger, now, out);
}

bool Purser::answer_again(const Ledger &ledger, NodeId from, const PermitAsk &ask, Outbox &out) const {
  const auto granted = ledger.granted_asks.find(from);
  if (granted == ledger.granted_asks.end() || granted->second.ask != ask.ask) return false;
  if (!ledger.unacked.contains(granted->second.sequence)) out.push_back({from, {}, granted->second.say});
  return true;
}

void Purser::add_charges(Ledger &ledger, const LedgerCopy &copy, Instant now, LedgerAck &ack) {
  std::erase_if(ledger.charges, [now](const Entry &entry) { return entry.expires <= now; });
  for (const Charge &charge : copy.charges) {
    ack.charges.push_back(charge.sequence);
    const bool is_held = charge.sequence <= ledger.whole_sequence ||
                         std::any_of(ledger.charges.rbegin(), ledger.charges.rend(),
                                     [&](const Entry &entry) { return entry.sequence == charge.sequence; });
    if (!is_held) ledger.charges.push_back(entry_of(charge, now));
  }
}

void Purser::take_whole(Ledger &ledger, const LedgerCopy &copy, Instant now) {
  std::erase_if(ledger.charges, [&](const Entry &entry) { return entry.sequence <= copy.sequence; });
  for (const Charge &charge : copy.charges) ledger.charges.push_back(entry_of(charge, now));
  ledger.whole_sequence = copy.sequence;
}

void Purser::handle(NodeId from, const LedgerCopy &copy, Instant now, Outbox &out) {
  Ledger &ledger = ledgers_[copy.tenant];
  LedgerAck ack{copy.tenant, copy.epoch, copy.is_delta ? 0 : copy.sequence, {}, false};
  if (ledger.post == Post::ready) {
    if (copy.is_handover) out.push_back({from, {}, ack});
    return;
  }
  const bool is_same_epoch = ledger.has_copy && copy.epoch == ledger.copy_epoch;
  if (copy.is_handover) {
    if (ledger.post != Post::awaiting || ledger.has_copy || !is_direct_word(copy, from)) return;
    ledger.charges.clear();
  } else {
    if (ledger.post == Post::awaiting || copy.epoch < roster_.epoch) return;
    if (ledger.has_copy && copy.epoch < ledger.copy_epoch) return;
    if (!copy.is_delta && is_same_epoch && copy.sequence < ledger.whole_sequence) return;
    ack.needs_whole = copy.is_delta && !is_same_epoch;
  }
  if (ack.needs_whole) {
    out.push_back({from, {}, std::move(ack)});
    return;
  }
  if (!is_same_epoch) {
    ledger.charges.clear();
    ledger.sequence = 0;
  }
  if (copy.is_delta)
    add_charges(ledger, copy, now, ack);
  else
    take_whole(ledger, copy, now);
  out.push_back({from, {}, std::move(ack)});
  ledger.copy_epoch = copy.epoch;
  ledger.has_copy = true;
  ledger.next_permit = std::max(ledger.next_permit, copy.next_permit);
  if (copy.sequence < ledger.sequence) return;
  ledger.sequence = copy.sequence;
  ledger.tokens = copy.tokens;
  ledger.refilled_at = now;
}

void Purser::handle(NodeId from, const LedgerAck &ack, Instant now, Outbox &out) {
  const auto found = ledgers_.find(ack.tenant);
  if (found == ledgers_.end()) return;
  Ledger &ledger = found->second;
  if (ledger.handover_to == from && ack.epoch == ledger.handover_epoch) ledger.handover_to = 0;
  if (ledger.post != Post::ready || ack.epoch != roster_.epoch ||
      replica_in(roster_.owners(), ack.tenant) != from)
    return;
  if (ack.needs_whole) {
    // All charges that are under way are refused likewise; one whole ledger answers them all.
    ledger.is_whole_acked = false;
    if (now - ledger.whole_at >= options_.copy_again) send_copy(ack.tenant, ledger, now, out);
    return;
  }
  ledger.is_whole_acked = ledger.is_whole_acked || ack.sequence > 0;
  ledger.unacked.erase(ledger.unacked.begin(), ledger.unacked.upper_bound(ack.sequence));
  for (std::uint64_t sequence : ack.charges) ledger.unacked.erase(sequence);
  ledger.resend.answered(now, options_.copy_again);
  release(ledger, out);
}

} // namespace wharf
