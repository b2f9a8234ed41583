// A node's part in quotas: each tenant's local bucket, the requests that wait for tokens, and the asks for
// them to the tenant's owner. Grants are judged here, never made.
#include "pilot/pilot.hpp"

#include <algorithm>
#include <cmath>

namespace wharf {

NodeId Pilot::owner_of_tenant(const std::string &tenant) { return tenant_owners_.owner_of(tenant, roster_); }

const Tenant *Pilot::declared(const std::string &tenant) const {
  return in_force_.charter ? in_force_.charter->tenant_named(tenant) : nullptr;
}

double Pilot::capacity_of(const std::string &tenant) const {
  const Tenant *found = declared(tenant);
  return found == nullptr ? 0 : static_cast<double>(found->base + found->burst);
}

bool Pilot::is_modest(const Till &till, const Tenant &tenant) const {
  const double nodes = static_cast<double>(std::max<std::size_t>(1, roster_.pilots.size()));
  return till.rate * nodes <= options_.modest_share * static_cast<double>(tenant.base);
}

bool Pilot::is_denied(const Afloat &errand, Instant now) {
  const Till &till = tills_[tenant_index(errand.bill.tenant)];
  return till.deny_until != 0 && now - till.deny_until < options_.permit_patience;
}

Span Pilot::patience_of(const Afloat &errand) {
  const Tenant *tenant = declared(errand.bill.tenant);
  const bool may_wait = tenant != nullptr && is_modest(tills_[tenant_index(tenant->name)], *tenant);
  return may_wait ? options_.modest_patience : options_.permit_patience;
}

bool Pilot::spend_fallback(Till &till, Instant now) {
  const Tenant *tenant = declared(till.name);
  if (tenant == nullptr || roster_.pilots.empty()) return false;
  std::size_t nodes = roster_.pilots.size();
  for (const PastRoster &past : roster_.past) nodes = std::max(nodes, past.pilots.size());
  const double even = static_cast<double>(tenant->base) / static_cast<double>(nodes);
  const bool is_long = till.unanswered_since != 0 && now - till.unanswered_since > options_.fallback_whole;
  const double as_before =
      std::min(till.paid_rate * options_.fallback_as_before, 3 * even) * (is_long ? 0.5 : 1.0);
  const double rate = std::max(options_.purser.fallback_share * even, as_before);
  if (!till.is_fallback) {
    till.is_fallback = true;
    till.fallback_at = now;
    till.fallback = 0;
  }
  till.fallback = std::min(std::max(1.0, rate * options_.fallback_burst_s),
                           till.fallback + rate * static_cast<double>(now - till.fallback_at) / 1e9);
  till.fallback_at = now;
  if (till.fallback < 1.0) return false;
  till.fallback -= 1.0;
  count("fallback_spent");
  return true;
}

void Pilot::line_up(Till &till, const std::string &id, std::uint32_t worth) {
  auto place = till.line.end();
  while (options_.by_worth && place != till.line.begin()) {
    const auto before = afloat_.find(*std::prev(place));
    if (before == afloat_.end() || before->second.bill.worth >= worth) break;
    --place;
  }
  till.line.insert(place, id);
}

void Pilot::thin_line(Till &till, Instant now, PilotOutput &out) {
  const Tenant *tenant = declared(till.name);
  const double base = tenant == nullptr ? 0 : static_cast<double>(tenant->base);
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, roster_.pilots.size()));
  const std::uint32_t top = options_.by_worth && in_force_.charter ? in_force_.charter->top_worth : 0;
  std::size_t kept = 0;
  const auto most = static_cast<std::size_t>(std::ceil(base * options_.waiting_share / nodes));
  const std::deque<std::string> line = till.line;
  for (const std::string &id : line) {
    const auto found = afloat_.find(id);
    const bool may_wait = found != afloat_.end() && top > 0 && found->second.bill.worth == top && kept < most;
    kept += may_wait ? 1 : 0;
    if (may_wait) continue;
    count("denied_errands");
    if (found == afloat_.end())
      std::erase(till.line, id);
    else
      finish(id, Fate::over_quota, come_back(till, now), now, out);
  }
}

Span Pilot::come_back(Till &till, Instant now) {
  const Tenant *tenant = declared(till.name);
  const double base = tenant == nullptr ? 1 : static_cast<double>(std::max<std::int64_t>(1, tenant->base));
  const auto nodes = static_cast<double>(std::max<std::size_t>(1, roster_.pilots.size()));
  constexpr Span longest = seconds(2);
  till.come_back_at = std::clamp(till.come_back_at, std::max(till.deny_until, now), now + longest);
  const Span wait = till.come_back_at - now;
  till.come_back_at += static_cast<Span>(nodes / base * 1e9);
  return std::max<Span>(1, wait);
}

void Pilot::serve_line(std::uint32_t tenant, Instant now, PilotOutput &out) {
  Till &till = tills_[tenant];
  std::erase_if(till.line, [this](const std::string &id) { return !afloat_.contains(id); });
  while (!till.line.empty()) {
    const auto purse = rack_.obtain(tenant, capacity_of(till.name));
    const bool is_cut_off =
        till.unanswered_since != 0 && now - till.unanswered_since >= options_.fallback_after;
    const std::uint64_t permit = purse->pay(now);
    if (permit == 0 && !(is_cut_off && spend_fallback(till, now))) {
      if (till.deny_until > now) thin_line(till, now, out);
      break;
    }
    const bool is_floor_turn = options_.by_worth && till.served % 5 == 4;
    const std::string id = is_floor_turn ? first_of_least_worth(till) : till.line.front();
    ++till.served;
    std::erase(till.line, id);
    Afloat &errand = afloat_.at(id);
    errand.bill.is_paid = true;
    errand.bill.permit = permit;
    if (permit != 0) ++till.paid_recent;
    note(errand, now, "paid");
    next_step(id, now, out);
  }
  if (!till.line.empty()) ask_permit(tenant, now, out);
}

std::string Pilot::first_of_least_worth(const Till &till) const {
  std::string id = till.line.front();
  for (const std::string &other : till.line)
    if (afloat_.at(other).bill.worth < afloat_.at(id).bill.worth) id = other;
  return id;
}

std::uint32_t Pilot::tokens_wanted(const Till &till) const {
  const double waiting = static_cast<double>(till.line.size());
  return static_cast<std::uint32_t>(std::max(1.0, waiting + std::floor(till.rate * permit_reach())));
}

void Pilot::ask_permit(std::uint32_t tenant, Instant now, PilotOutput &out) {
  Till &till = tills_[tenant];
  if (till.pending ? !till.pending->retry.is_due(now)
                   : till.asked_at != 0 && now - till.asked_at < options_.permit_again)
    return;
  const NodeId owner = owner_of_tenant(till.name);
  if (owner == 0) return;
  // Tokens granted to an ask this old would be dead on arrival, so it is given up for a new one.
  if (till.pending && now - till.pending->sent_at.front() >= options_.purser.life) till.pending.reset();
  if (!till.pending)
    till.pending = PendingAsk{next_ask_++, {}, Backoff(options_.permit_again, options_.permit_again_most)};
  till.pending->sent_at.push_back(now);
  till.pending->retry.sent(now);
  PermitAsk ask;
  ask.tenant = till.name;
  ask.epoch = roster_.epoch;
  ask.ask = till.pending->number;
  ask.attempt = static_cast<std::uint32_t>(till.pending->sent_at.size() - 1);
  ask.want = tokens_wanted(till);
  ask.returns = take_report(till, tenant, now);
  till.asked_at = now;
  if (till.unanswered_since == 0) till.unanswered_since = now;
  count("permit_asks");
  out.mail.push_back({owner, {}, ask});
}

void Pilot::handle(const PermitSay &say, NodeId, Instant now, PilotOutput &out) {
  const std::uint32_t tenant = tenant_index(say.tenant);
  const auto found = tills_.find(tenant);
  if (found == tills_.end()) return;
  Till &till = found->second;
  const bool is_asked = till.pending && till.pending->number == say.ask;
  if (!say.is_owner) {
    if (is_asked) till.pending->retry.answered(now, say.retry_after);
    return;
  }
  till.unanswered_since = 0;
  till.is_fallback = false;
  const bool is_doubled =
      say.tokens > 0 && std::find(till.seen.begin(), till.seen.end(), say.permit) != till.seen.end();
  if (is_doubled) return;
  if (say.tokens > 0) till.seen.push_back(say.permit);
  if (till.seen.size() > 64) till.seen.pop_front();
  if (!is_asked) {
    if (say.tokens > 0) counters_["tokens_unasked"] += say.tokens;
    if (say.tokens > 0) end_permit(till, {say.permit, 0, say.tokens}, now);
    return;
  }
  const auto &sent = till.pending->sent_at;
  const Instant sent_at = say.attempt < sent.size() ? sent[say.attempt] : sent.front();
  till.pending.reset();
  till.asked_at = 0;
  if (say.tokens == 0) {
    till.deny_until = std::max(till.deny_until, now + std::min(say.retry_after, milliseconds(250)));
    till.come_back_at = std::max(till.come_back_at, now + std::min(say.retry_after, seconds(1)));
    if (const auto purse = rack_.find(tenant)) purse->set_short(now + seconds(1));
    till.asked_at = now;
    serve_line(tenant, now, out);
    return;
  }
  const Grant grant{say.permit, say.tokens, sent_at, say.window, options_.purser.life};
  if (now - sent_at >= grant.life) {
    counters_["tokens_late"] += say.tokens;
    end_permit(till, {say.permit, 0, say.tokens}, now);
    serve_line(tenant, now, out);
    return;
  }
  const Spent old = rack_.obtain(tenant, capacity_of(till.name))->install(grant, now);
  end_permit(till, old, now);
  count("permits_received");
  counters_["tokens_received"] += say.tokens;
  serve_line(tenant, now, out);
}

void Pilot::maintain_till(std::uint32_t tenant, Instant now, PilotOutput &out) {
  Till &till = tills_[tenant];
  if (till.rate_at == 0) till.rate_at = now;
  if (now - till.rate_at >= milliseconds(200)) {
    const double fresh = static_cast<double>(till.recent) * 1e9 / static_cast<double>(now - till.rate_at);
    if (till.unanswered_since == 0 || now - till.unanswered_since < options_.silent_owner) {
      const double paid =
          static_cast<double>(till.paid_recent) * 1e9 / static_cast<double>(now - till.rate_at);
      till.paid_rate = till.paid_rate * 0.9 + paid * 0.1;
    }
    till.paid_recent = 0;
    till.rate = till.rate * 0.5 + fresh * 0.5;
    till.recent = 0;
    till.rate_at = now;
  }
  const auto purse = rack_.find(tenant);
  if (purse) {
    const Spent state = purse->glance();
    const bool is_dead = state.permit != 0 && now >= purse->dies_at();
    if (is_dead) {
      end_permit(till, purse->install(Grant{}, now), now);
    }
    const bool is_low =
        !is_dead && state.permit != 0 && state.spent > 0 &&
        (purse->left(now) * 10 <= state.tokens * 3 || purse->dies_at() - now < milliseconds(60));
    if (is_low && till.rate * permit_reach() >= 1.0 && till.deny_until <= now) ask_permit(tenant, now, out);
    const Tenant *plan = declared(till.name);
    const double refill_s = plan == nullptr ? 0 : capacity_of(till.name) / static_cast<double>(plan->base);
    const Span idle = std::max(options_.eviction_least, static_cast<Span>(refill_s * 1e9));
    if (state.permit == 0 && till.line.empty() && now - purse->last_used() > idle) {
      rack_.evict(tenant);
      count("purse_evictions");
    }
  }
  const bool has_news = std::any_of(till.outlays.begin(), till.outlays.end(), [&](const auto &item) {
    return item.second.has_news || now - item.second.told_at >= options_.held_again;
  });
  if (has_news && now - till.reported_at >= options_.report_again) {
    PermitAsk report;
    report.tenant = till.name;
    report.epoch = roster_.epoch;
    report.returns = take_report(till, tenant, now);
    if (const NodeId owner = owner_of_tenant(till.name); owner != 0 && !report.returns.empty())
      out.mail.push_back({owner, {}, report});
  }
}

void Pilot::note_gone(Afloat &errand, Instant now) {
  if (errand.has_gone) return;
  errand.has_gone = true;
  if (errand.bill.permit == 0) return;
  Outlay &outlay = tills_[tenant_index(errand.bill.tenant)].outlays[errand.bill.permit];
  ++outlay.gone;
  outlay.has_news = true;
  if (outlay.since == 0) outlay.since = now;
}

void Pilot::end_permit(Till &till, const Spent &old, Instant now) {
  if (old.permit == 0) return;
  counters_["tokens_spent"] += old.spent;
  counters_["tokens_unspent"] += old.tokens - std::min(old.spent, old.tokens);
  Outlay &outlay = till.outlays[old.permit];
  outlay.spent = old.spent;
  outlay.is_final = outlay.has_news = true;
  if (outlay.since == 0) outlay.since = now;
}

std::vector<PermitReturn> Pilot::take_report(Till &till, std::uint32_t tenant, Instant now) {
  constexpr Span outlay_most = seconds(660);
  till.reported_at = now;
  Spent current;
  if (const auto purse = rack_.find(tenant)) current = purse->glance();
  if (current.permit != 0) till.outlays.try_emplace(current.permit);
  std::vector<PermitReturn> returns;
  for (auto item = till.outlays.begin(); item != till.outlays.end();) {
    Outlay &outlay = item->second;
    if (item->first == current.permit) outlay.spent = current.spent;
    if (outlay.has_news || now - outlay.told_at >= options_.held_again) {
      const std::uint32_t spent = std::max(outlay.spent, outlay.gone);
      returns.push_back({item->first, spent, outlay.gone, outlay.is_final});
      outlay.told_at = now;
    }
    outlay.has_news = false;
    const bool is_over = outlay.is_final && (outlay.gone >= outlay.spent || now - outlay.since > outlay_most);
    item = is_over ? till.outlays.erase(item) : std::next(item);
  }
  return returns;
}

} // namespace wharf
