#include "pilot/pilot.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_set>

#include "delta/delta.hpp"
#include "trace/trace.hpp"

namespace wharf {

namespace {
std::string fate_counter(Fate fate) {
  const Outcome outcome = outcome_of(fate);
  return "errands_" + std::string(outcome.reason);
}
/// The shortest aim of the rules that lead to each service, in milliseconds; services without one are left
/// out.
using AimsByService = std::unordered_map<std::string_view, std::uint32_t>;

AimsByService shortest_aims(const Compass &compass) {
  AimsByService aims;
  for (const Rule &rule : compass.rules()) {
    if (rule.aim_ms == 0) continue;
    for (const Target &target : rule.targets) {
      const auto [found, is_new] = aims.try_emplace(target.service, rule.aim_ms);
      if (!is_new) found->second = std::min(found->second, rule.aim_ms);
    }
  }
  return aims;
}

/// True while the key an errand came with is still its tenant's.
bool holds_key(const Charter &charter, const Waybill &bill) {
  if (bill.is_open) return true;
  const Tenant *tenant = charter.find_tenant(bill.key);
  return tenant != nullptr && tenant->name == bill.tenant;
}
} // namespace

Pilot::Pilot(Member self, std::vector<std::string> seeds, PilotOptions options, Instant now)
    : self_(self), options_(options), rollcall_(self, std::move(seeds), options.rollcall),
      purser_(self.id, options.purser), stevedore_(self.id, options.berth), born_(now) {}

InForce Pilot::in_force() const {
  std::lock_guard guard(in_force_mutex_);
  return in_force_;
}

std::uint32_t Pilot::tenant_index(const std::string &name) {
  std::lock_guard guard(in_force_mutex_);
  const auto [found, is_new] = tenant_index_.emplace(name, static_cast<std::uint32_t>(tenant_index_.size()));
  return found->second;
}

std::variant<Waybill, Fate> Pilot::front(const ErrandHead &head, Instant now) {
  const InForce force = in_force();
  if (!force.charter || !may_serve(now)) return Fate::stale;
  auto planned = plan_errand(*force.charter, force.version, head, now);
  if (auto *bill = std::get_if<Waybill>(&planned)) {
    const auto purse = rack_.find(tenant_index(bill->tenant));
    if (purse && (bill->worth >= force.charter->top_worth || !options_.by_worth || !purse->is_short(now)))
      bill->permit = purse->pay(now);
    bill->is_paid = bill->permit != 0;
  }
  return planned;
}

Span Pilot::retry_when_stale() const {
  return leader_ == 0 ? options_.election_guess : options_.delivery_guess;
}

bool Pilot::may_serve(Instant now) const {
  return is_fresh(now) || (fresh_until_ != 0 && now < fresh_until_ + cut_off_);
}

void Pilot::knock_answered(const Knock &knock, Instant now, PilotOutput &out) {
  stevedore_.is_up(knock.service, knock.runner, now, out.mail);
  loop_back(now, out);
}

bool Pilot::is_settled(Instant now) const {
  return is_fresh(now) && roster_.epoch != 0 && settled_ >= roster_.epoch;
}

std::map<std::string, std::uint64_t> Pilot::gauges(Instant now) const {
  std::map<std::string, std::uint64_t> values;
  values["afloat"] = afloat_.size();
  values["manifest_version"] = in_force().version;
  values["roster_epoch"] = roster_.epoch;
  values["settled_epoch"] = settled_;
  values["is_fresh"] = is_fresh(now) ? 1 : 0;
  values["purses"] = rack_.size();
  values["soundings"] = soundings_.size();
  values["outlays"] = 0;
  for (const auto &[index, till] : tills_) values["outlays"] += till.outlays.size();
  values["members_living"] = rollcall_.living(now).size();
  values["permits_granted"] = purser_.granted();
  values["permits_denied"] = purser_.denied();
  values["tokens_granted"] = purser_.tokens_granted();
  values["ledgers_sent_whole"] = purser_.whole_copies();
  values["ledger_unknown_starts"] = purser_.unknown_starts();
  stevedore_.counters().report(values);
  values["runners_known"] = runners_.size();
  return values;
}

void Pilot::set_leaving() {
  is_leaving_ = true;
  pulse_at_ = 0;
  rollcall_.set_leaving();
}

bool Pilot::is_quiet(Instant now) const {
  const auto living = rollcall_.living(now);
  const bool has_successor = std::any_of(living.begin(), living.end(), [](const Member &member) {
    return member.role == static_cast<std::uint8_t>(Role::pilot) && !member.is_leaving;
  });
  const bool is_counted_on = has_successor && std::find(roster_.pilots.begin(), roster_.pilots.end(),
                                                        self_.id) != roster_.pilots.end();
  const bool is_settled_without = !has_successor || settled_ >= roster_.epoch || !is_fresh(now);
  return afloat_.empty() && freeing_.empty() && closing_.empty() && !is_counted_on && is_settled_without &&
         !purser_.is_handing_over(now);
}

NodeId Pilot::owner_of_service(const std::string &service) {
  const auto newer = newer_owners_.find(service);
  if (newer != newer_owners_.end()) return newer->second.node;
  return service_owners_.owner_of(service, roster_);
}

NodeId Pilot::owner_of_tenant(const std::string &tenant) { return tenant_owners_.owner_of(tenant, roster_); }

const Tenant *Pilot::declared(const std::string &tenant) const {
  return in_force_.charter ? in_force_.charter->tenant_named(tenant) : nullptr;
}

double Pilot::capacity_of(const std::string &tenant) const {
  const Tenant *found = declared(tenant);
  return found == nullptr ? 0 : static_cast<double>(found->base + found->burst);
}

void Pilot::receive(const Envelope &envelope, Instant now, PilotOutput &out) {
  heard_[envelope.from] = now;
  unanswered_.erase(envelope.from);
  if (const auto *passed = std::get_if<PassOn>(&envelope.signal)) {
    Envelope inner;
    std::size_t used = 0;
    if (passed->to != self_.id) {
      // A process that ended may still be known at the address that is ours now: its mail would come back for
      // ever.
      if (is_out_of_reach(passed->to, now) || rollcall_.address_of(passed->to) == self_.address) return;
      out.mail.push_back({passed->to, {}, *passed});
    } else if (unframe(passed->frame, inner, used) == FrameState::whole) {
      dispatch(inner, now, out);
    }
  } else {
    dispatch(envelope, now, out);
  }
  loop_back(now, out);
}

bool Pilot::is_out_of_reach(NodeId pilot, Instant now) const {
  const bool is_counted =
      std::find(roster_.pilots.begin(), roster_.pilots.end(), pilot) != roster_.pilots.end();
  if (!is_counted || !rollcall_.is_living(pilot, now)) return false;
  const auto found = unanswered_.find(pilot);
  return found != unanswered_.end() && now - found->second.since > options_.unheard;
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
    const bool may_go =
        !std::holds_alternative<PassOn>(posted.signal) && !std::holds_alternative<Muster>(posted.signal);
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

void Pilot::dispatch(const Envelope &envelope, Instant now, PilotOutput &out) {
  const Signal &signal = envelope.signal;
  if (std::holds_alternative<Muster>(signal)) {
    rollcall_.step(envelope, now, out.mail);
  } else if (const auto *orders = std::get_if<Orders>(&signal)) {
    handle(envelope.from, *orders, now, out);
  } else if (const auto *other = std::get_if<NotLeader>(&signal)) {
    if (leader_ == envelope.from || leader_ == 0) leader_ = other->leader;
  } else if (const auto *permit = std::get_if<PermitSay>(&signal)) {
    handle(*permit, envelope.from, now, out);
  } else if (const auto *claim = std::get_if<ClaimSay>(&signal)) {
    handle(*claim, now, out);
  } else if (const auto *closed = std::get_if<CloseSay>(&signal)) {
    std::erase_if(closing_, [&](const Closing &item) { return item.close.errand == closed->errand; });
  } else if (const auto *slot = std::get_if<SlotSay>(&signal)) {
    handle(envelope.from, *slot, now, out);
  } else if (const auto *freed = std::get_if<SlotFreed>(&signal)) {
    if (owner_of_service(freed->service) == envelope.from)
      std::erase_if(freeing_, [&](const Freeing &item) {
        return item.free.errand == freed->errand && item.free.attempt == freed->attempt;
      });
  } else if (const auto *inventory = std::get_if<InventoryAsk>(&signal)) {
    handle(envelope.from, *inventory, now, out);
  } else if (std::holds_alternative<PermitAsk>(signal) || std::holds_alternative<LedgerCopy>(signal) ||
             std::holds_alternative<LedgerAck>(signal)) {
    purser_.step(envelope.from, signal, now, out.mail);
  } else if (std::holds_alternative<SlotAsk>(signal) || std::holds_alternative<SlotFree>(signal) ||
             std::holds_alternative<InventorySay>(signal)) {
    stevedore_.step(envelope.from, signal, now, out.mail);
  }
}

void Pilot::send_leader(const Signal &signal, PilotOutput &out) {
  if (leader_ != 0) out.mail.push_back({leader_, {}, signal});
}

std::vector<Want> Pilot::wants_to_report(bool has_all, Instant now) {
  std::vector<Want> wants = stevedore_.wants(now);
  if (has_all) reported_wants_.clear();
  std::erase_if(wants, [&](const Want &want) {
    const std::pair<std::uint32_t, std::size_t> newest(want.runners, want.retire.size());
    const auto [reported, is_new] = reported_wants_.try_emplace(want.service, newest);
    if (is_new) return false;
    const bool is_known = reported->second == newest;
    reported->second = newest;
    return is_known;
  });
  return wants;
}

void Pilot::send_pulse(Instant now, PilotOutput &out) {
  const bool has_all_wants = now >= pulse_at_;
  pulse_at_ = has_all_wants ? now + options_.pulse : pulse_at_;
  pulsed_at_ = now;
  told_wants_ = stevedore_.wants_mark();
  Pulse pulse;
  pulse.sent_at = now;
  pulse.version = in_force().version;
  pulse.epoch = roster_.epoch;
  pulse.runners_stamp = runners_stamp_;
  pulse.runners_term = runners_term_;
  pulse.is_leaving = is_leaving_;
  pulse.capacity = options_.capacity;
  pulse.has_lost_lease = fresh_until_ != 0 && !is_fresh(now);
  pulse.has_all_wants = has_all_wants;
  pulse.wants = wants_to_report(has_all_wants, now);
  pulse.up_for = now - born_;
  const auto note_replaced = [&](const std::vector<NodeId> &pilots,
                                 const std::vector<std::string> &addresses) {
    for (std::size_t at = 0; at < pilots.size() && at < addresses.size(); ++at)
      if (pilots[at] != self_.id && addresses[at] == self_.address) pulse.replaces.push_back(pilots[at]);
  };
  note_replaced(roster_.pilots, roster_.addresses);
  for (const PastRoster &past : roster_.past) note_replaced(past.pilots, past.addresses);
  if (leader_ != 0 && now - heard_leader_at_ < options_.leader_silence) {
    if (now - sounded_at_ >= options_.sound_again) {
      sounded_at_ = now;
      pulse.soundings = soundings_.take(options_.soundings_most);
    }
    send_leader(pulse, out);
    return;
  }
  for (const Member &member : rollcall_.living(now))
    if (member.role == static_cast<std::uint8_t>(Role::control)) out.mail.push_back({member.id, {}, pulse});
}

void Pilot::handle(NodeId from, const Orders &orders, Instant now, PilotOutput &out) {
  if (orders.node != 0 && orders.node != self_.id) {
    count("orders_for_another");
    return;
  }
  const Version version = in_force().version;
  if (orders.version < version || orders.roster.epoch < roster_.epoch) return;
  if (!orders.has_roster && orders.roster.epoch != roster_.epoch) return;
  leader_ = from;
  heard_leader_at_ = now;
  if (orders.version == version) {
    follow_orders(from, orders, false, now, out);
    return;
  }
  if (!orders.has_manifest || !take_manifest_text(orders)) return;
  staged_.emplace(from, orders);
  staged_->second.manifest.clear();
  if (version == 0 || now - switched_at_ >= options_.switch_gap) switch_staged(now, out);
}

bool Pilot::take_manifest_text(const Orders &orders) {
  if (!is_delta(orders.manifest)) {
    manifest_text_ = orders.manifest;
    manifest_text_version_ = orders.version;
    return true;
  }
  if (orders.manifest_base != 0 && orders.manifest_base != manifest_text_version_) return false;
  auto text = decode_delta(orders.manifest_base == 0 ? std::string_view() : manifest_text_, orders.manifest);
  if (!text) {
    count("manifest_unreadable");
    return false;
  }
  manifest_text_ = std::move(*text);
  manifest_text_version_ = orders.version;
  return true;
}

void Pilot::switch_staged(Instant now, PilotOutput &out) {
  const auto [from, orders] = std::move(*staged_);
  staged_.reset();
  if (orders.version <= in_force().version || orders.roster.epoch < roster_.epoch) return;
  switched_at_ = now;
  switch_manifest(orders.version, now, out);
  if (!orders.has_roster && orders.roster.epoch != roster_.epoch) return;
  follow_orders(from, orders, true, now, out);
}

void Pilot::follow_orders(NodeId, const Orders &orders, bool is_switched, Instant now, PilotOutput &out) {
  const bool takes_runners =
      orders.has_runners &&
      (orders.since_stamp == 0 || (orders.since_stamp <= runners_stamp_ &&
                                   orders.runners_stamp > runners_stamp_ && orders.term == runners_term_));
  if (takes_runners) {
    if (orders.since_stamp == 0) runners_.clear();
    for (const std::string &service : orders.changed_services)
      std::erase_if(runners_, [&](const auto &item) { return item.second.service == service; });
    for (const RunnerView &runner : orders.runners) runners_[runner.id] = runner;
    runners_stamp_ = orders.runners_stamp;
    runners_term_ = orders.term;
  }
  if (orders.sent_at != 0)
    fresh_until_ = std::max(fresh_until_.load(), orders.sent_at + options_.fresh - orders.age);
  const Instant duty_until = fresh_until_ - options_.fresh + options_.duty;
  purser_.set_fresh_until(duty_until);
  stevedore_.set_fresh_until(duty_until + cut_off_);
  purser_.set_quiet(orders.quiet);
  if (orders.roster.epoch > roster_.epoch) {
    roster_ = orders.roster;
    forget_newer_owners(now);
    is_switched = true;
    for (auto &[id, errand] : afloat_) errand.retry.restart();
    for (auto &[tenant, till] : tills_) {
      till.asked_at = 0;
      if (till.pending) till.pending->retry.restart();
    }
    for (Freeing &item : freeing_) item.retry.restart();
  }
  settled_ = std::max(settled_, orders.settled);
  purser_.set_roster(roster_, orders.settled, now, out.mail);
  if (takes_runners) {
    std::vector<RunnerView> views;
    views.reserve(runners_.size());
    for (const auto &[id, runner] : runners_) views.push_back(runner);
    stevedore_.set_roster_and_runners(roster_, orders.settled, views, now, out.mail);
  } else {
    stevedore_.set_roster(roster_, orders.settled, now, out.mail);
  }
  if (is_switched) send_pulse(now, out);
}

void Pilot::switch_manifest(Version version, Instant now, PilotOutput &out) {
  auto read = read_charter(manifest_text_);
  std::shared_ptr<const Charter> charter;
  if (auto *whole = std::get_if<std::shared_ptr<const Charter>>(&read)) charter = *whole;
  if (!charter) {
    count("manifest_unreadable");
    return;
  }
  {
    std::lock_guard guard(in_force_mutex_);
    in_force_ = {version, charter};
  }
  cut_off_ = seconds(charter->limits.cut_off_s);
  count("manifest_switches");
  out.lines.push_back("manifest " + std::to_string(version) + " in force");
  std::map<std::string, Allowance> allowances;
  for (const Tenant &tenant : charter->tenants)
    allowances[tenant.name] = {static_cast<double>(tenant.base), static_cast<double>(tenant.burst)};
  purser_.set_allowances(std::move(allowances), now);
  std::map<std::string, ServicePlan> plans;
  const AimsByService aims = shortest_aims(charter->compass);
  const Limits &limits = charter->limits;
  const ServicePrices prices =
      limits.memory_price == 0 ? options_.prices : prices_of(limits.start_price, limits.memory_price);
  for (const Service &service : charter->services) {
    ServicePlan plan;
    plan.slots = static_cast<std::uint32_t>(service.slots);
    plan.least = static_cast<std::uint32_t>(service.least);
    plan.most = static_cast<std::uint32_t>(service.most);
    plan.worth = static_cast<std::uint32_t>(service.worth);
    plan.pending_most = static_cast<std::uint32_t>(charter->limits.pending_most);
    plan.idle = seconds(service.idle_s);
    plan.wait_most = milliseconds(charter->limits.wait_most_ms);
    plan.boot = milliseconds(service.boot_ms);
    plan.is_self_bounding = service.self_bounding;
    const auto aim = aims.find(service.name);
    if (prices.gigabyte_second > 0 && service.boot_ms != 0)
      apply_prices(prices, static_cast<std::uint32_t>(service.memory_mb),
                   aim == aims.end() ? 0 : milliseconds(aim->second), plan);
    plans[service.name] = plan;
  }
  stevedore_.set_plans(std::move(plans), now, out.mail);
  for (const auto &[index, till] : tills_)
    if (const auto purse = rack_.find(index)) purse->set_capacity(capacity_of(till.name));
  std::vector<std::pair<std::string, Fate>> ended;
  for (const auto &[id, errand] : afloat_) {
    if (errand.is_carrying) continue;
    if (!holds_key(*charter, errand.bill))
      ended.emplace_back(id, Fate::unknown_key);
    else if (charter->service_named(errand.bill.service) == nullptr)
      ended.emplace_back(id, Fate::no_rule);
  }
  for (const auto &[id, fate] : ended) finish(id, fate, 0, now, out);
}

void Pilot::arrive(Waybill bill, Instant now, PilotOutput &out) {
  const std::string id = bill.id;
  count("errands_read");
  Afloat errand;
  errand.bill = std::move(bill);
  errand.waiting_since = now;
  const std::uint32_t tenant = tenant_index(errand.bill.tenant);
  Till &till = tills_[tenant];
  till.name = errand.bill.tenant;
  ++till.recent;
  if (errand.bill.permit != 0) ++till.paid_recent;
  soundings_.arrived(errand.bill.tenant, errand.bill.rule, errand.bill.service, errand.bill.call);
  std::string steps;
  for (Step step : errand.bill.steps) steps += " " + std::string(step_name(step));
  note(errand, now,
       "planned by manifest " + std::to_string(errand.bill.version) + ": tenant " + errand.bill.tenant +
           ", rule " + errand.bill.rule + ", service " + errand.bill.service + ", steps" + steps);
  if (errand.bill.is_paid) note(errand, now, "paid from the local purse");
  const std::uint32_t worth = errand.bill.worth;
  const bool is_full =
      afloat_.size() >= places_for(worth) &&
      (afloat_.size() < options_.errands_most || !options_.by_worth || !displace(worth, now, out));
  afloat_[id] = std::move(errand);
  if (is_full)
    finish(id, Fate::no_runner, seconds(1), now, out, nullptr, "pilot-full");
  else if (!may_serve(now))
    finish(id, Fate::stale, seconds(1), now, out);
  else
    go_on(id, now, out);
  maintain_till(tenant, now, out);
  loop_back(now, out);
}

void Pilot::note(Afloat &errand, Instant now, std::string text) {
  constexpr std::size_t story_most = 40;
  if (errand.story.size() < story_most) errand.story.push_back({now - errand.bill.arrived, std::move(text)});
}

void Pilot::next_step(const std::string &id, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(id);
  if (found == afloat_.end()) return;
  ++found->second.at;
  go_on(id, now, out);
}

void Pilot::go_on(const std::string &id, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(id);
  if (found == afloat_.end()) return;
  Afloat &errand = found->second;
  errand.waiting_since = now;
  switch (errand.bill.steps[errand.at]) {
  case Step::pay: {
    if (errand.bill.is_paid) {
      next_step(id, now, out);
      return;
    }
    const std::uint32_t tenant = tenant_index(errand.bill.tenant);
    Till &till = tills_[tenant];
    const Tenant *plan = declared(till.name);
    const double base = plan == nullptr ? 0 : static_cast<double>(plan->base);
    const bool may_wait = plan != nullptr && is_modest(till, *plan);
    const double share = may_wait ? 1.5 : options_.silent_line_share;
    const auto most = static_cast<std::size_t>(std::max(4.0, base * share));
    const bool is_silent = till.unanswered_since != 0 && now - till.unanswered_since > options_.silent_owner;
    if (is_silent && till.line.size() >= most) {
      finish(id, Fate::no_permit, seconds(1), now, out, nullptr, "purser-silent");
      return;
    }
    note(errand, now, "waits for a permit");
    line_up(till, id, errand.bill.worth);
    serve_line(tenant, now, out);
    return;
  }
  case Step::claim:
    errand.retry = Backoff(options_.claim_again, options_.claim_again_most);
    ask_claim(errand, now, out);
    return;
  case Step::berth:
    errand.retry = Backoff(options_.berth_again, options_.berth_again_most);
    ask_berth(errand, now, out);
    return;
  case Step::carry:
    return;
  }
}

std::optional<Fate> Pilot::recheck(const Afloat &errand, Instant now) const {
  if (!may_serve(now)) return Fate::stale;
  const InForce force = in_force();
  if (!force.charter || !holds_key(*force.charter, errand.bill)) return Fate::unknown_key;
  if (force.charter->service_named(errand.bill.service) == nullptr) return Fate::no_rule;
  if (now >= errand.bill.deadline) return Fate::waited_unsent;
  return std::nullopt;
}

void Pilot::ask_claim(Afloat &errand, Instant now, PilotOutput &out) {
  errand.retry.sent(now);
  errand.has_claimed = true;
  note(errand, now, "asks the control group for its claim");
  send_leader(ClaimAsk{errand.bill.claim_key, errand.bill.id, errand.bill.claim_digest}, out);
}

void Pilot::ask_berth(Afloat &errand, Instant now, PilotOutput &out) {
  errand.retry.sent(now);
  const NodeId owner = owner_of_service(errand.bill.service);
  if (owner == 0) return;
  SlotAsk ask;
  ask.errand = errand.bill.id;
  ask.service = errand.bill.service;
  ask.tenant = errand.bill.tenant;
  ask.epoch = roster_.epoch;
  ask.worth = errand.bill.worth;
  ask.patience = errand.bill.deadline - now;
  ask.is_second = errand.tries > 0;
  ask.attempt = errand.attempt;
  ask.avoid = errand.avoid;
  ask.zone = self_.zone;
  note(errand, now,
       "asks stevedore " + std::to_string(owner) + " for a slot, attempt " + std::to_string(errand.attempt));
  out.mail.push_back({owner, {}, ask});
}

void Pilot::handle(const ClaimSay &say, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(say.errand);
  if (found == afloat_.end() || found->second.bill.steps[found->second.at] != Step::claim) return;
  Afloat &errand = found->second;
  static constexpr const char *names[] = {"first",    "in flight", "recorded", "unknown",
                                          "mismatch", "refused",   "not kept"};
  note(errand, now,
       std::string("claim answered: ") + (say.state < std::size(names) ? names[say.state] : "?"));
  switch (static_cast<ClaimState>(say.state)) {
  case ClaimState::first:
    next_step(say.errand, now, out);
    return;
  case ClaimState::recorded: {
    errand.has_claimed = false;
    CallEnd end;
    end.status = say.status;
    end.type = say.type;
    end.body = say.body;
    end.headers = say.headers;
    finish(say.errand, Fate::replayed, 0, now, out, &end, say.first_errand);
    return;
  }
  case ClaimState::in_flight:
  case ClaimState::unknown:
    errand.has_claimed = false;
    finish(say.errand, Fate::in_flight, seconds(1), now, out, nullptr, say.first_errand);
    return;
  case ClaimState::mismatch:
    errand.has_claimed = false;
    finish(say.errand, Fate::key_reused, 0, now, out);
    return;
  case ClaimState::not_kept:
    errand.has_claimed = false;
    finish(say.errand, Fate::not_kept, 0, now, out, nullptr, say.first_errand);
    return;
  case ClaimState::refused:
    finish(say.errand, Fate::no_runner, seconds(1), now, out, nullptr, "claims-full");
    return;
  }
}

void Pilot::handle(NodeId from, const SlotSay &say, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(say.errand);
  const auto state = static_cast<SlotState>(say.state);
  const bool is_owner = owner_of_service(say.service) == from;
  const bool is_wanted = found != afloat_.end() &&
                         found->second.bill.steps[found->second.at] == Step::berth && is_owner &&
                         found->second.attempt == say.attempt;
  if (!is_wanted) {
    const bool is_ours =
        found != afloat_.end() && found->second.is_carrying && found->second.attempt == say.attempt;
    const bool is_freeing = std::any_of(freeing_.begin(), freeing_.end(), [&](const Freeing &item) {
      return item.free.errand == say.errand && item.free.attempt == say.attempt;
    });
    if (state == SlotState::granted && is_owner && !is_ours && !is_freeing)
      out.mail.push_back({from,
                          {},
                          SlotFree{say.errand, say.service, say.runner,
                                   static_cast<std::uint8_t>(SlotEnd::unused), say.attempt}});
    return;
  }
  Afloat &errand = found->second;
  if (state == SlotState::not_mine) {
    errand.retry.answered(now, options_.berth_again);
    return;
  }
  if (state == SlotState::refused) {
    if (errand.tries > 0 && errand.first_fate)
      finish(say.errand, *errand.first_fate, say.retry_after, now, out, nullptr, say.why);
    else
      finish(say.errand, Fate::no_runner, say.retry_after, now, out, nullptr, say.why);
    return;
  }
  errand.runner = say.runner;
  errand.is_granted = true;
  note(errand, now, "granted a slot on " + say.runner);
  if (const auto fate = recheck(errand, now)) {
    finish(say.errand, *fate, seconds(1), now, out);
    return;
  }
  const auto runner = runners_.find(say.runner);
  if (runner != runners_.end() && runner->second.is_leaving) {
    free_slot(errand, SlotEnd::unused, now, out);
    ++errand.attempt;
    errand.is_granted = false;
    errand.retry.restart();
    return;
  }
  ++errand.at;
  ++errand.tries;
  errand.is_carrying = true;
  errand.carried_at = now;
  note_gone(errand, now);
  if (errand.tries > 1) count("second_tries");
  count("carried");
  out.carries.push_back({say.errand, say.runner, say.address, say.seal_key, errand.bill.tenant,
                         errand.bill.service, say.handle, errand.bill.deadline, errand.bill.is_repeatable});
}

void Pilot::call_ended(const CallEnd &end, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(end.errand);
  if (found == afloat_.end()) return;
  Afloat &errand = found->second;
  errand.is_carrying = false;
  static constexpr const char *ends[] = {"answered", "refused", "unreached", "bad seal", "lost", "timed out"};
  note(errand, now, "call to " + errand.runner + " ended: " + ends[static_cast<std::size_t>(end.kind)]);
  switch (end.kind) {
  case CallKind::answered:
    soundings_.done(errand.bill.tenant, errand.bill.rule, now - errand.carried_at);
    free_slot(errand, SlotEnd::answered, now, out);
    finish(end.errand, Fate::answered, 0, now, out, &end);
    break;
  case CallKind::refused:
  case CallKind::unreached: {
    const bool is_refusal = end.kind == CallKind::refused;
    free_slot(errand, is_refusal ? SlotEnd::refused : SlotEnd::unreached, now, out);
    ++errand.attempt;
    errand.is_granted = false;
    if (!is_refusal && errand.bill.tries > 0 && errand.unreached++ < options_.unreached_most) --errand.tries;
    if (!errand.first_fate || outcome_of(*errand.first_fate).verdict == Verdict::not_run)
      errand.first_fate = is_refusal ? Fate::refused : Fate::no_runner;
    if (!may_try_again(errand, now)) {
      finish(end.errand, *errand.first_fate, seconds(1), now, out);
    } else {
      errand.avoid = errand.runner;
      --errand.at;
      go_on(end.errand, now, out);
    }
    break;
  }
  case CallKind::bad_seal:
  case CallKind::lost: {
    const bool is_lost = end.kind == CallKind::lost;
    free_slot(errand, is_lost ? SlotEnd::lost : SlotEnd::answered, now, out);
    const Fate fate = is_lost ? Fate::link_lost : Fate::bad_seal;
    if (!errand.bill.is_repeatable || !may_try_again(errand, now)) {
      finish(end.errand, fate, 0, now, out, &end);
      break;
    }
    ++errand.attempt;
    errand.is_granted = false;
    errand.first_fate = fate;
    errand.avoid = errand.runner;
    --errand.at;
    go_on(end.errand, now, out);
    break;
  }
  case CallKind::timed_out:
    free_slot(errand, SlotEnd::lost, now, out);
    finish(end.errand, Fate::waited_sent, seconds(1), now, out, &end);
    break;
  }
  loop_back(now, out);
}

bool Pilot::may_try_again(const Afloat &errand, Instant now) const {
  const std::size_t most = errand.bill.tries > 0 ? errand.bill.tries : options_.tries_most;
  if (errand.has_caller_left) return false;
  return errand.tries < most && errand.bill.deadline - now >= milliseconds(20);
}

void Pilot::caller_gone(const std::string &id, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(id);
  if (found == afloat_.end()) return;
  if (found->second.is_carrying) {
    if (!found->second.bill.is_repeatable || found->second.has_caller_left) return;
    found->second.has_caller_left = true;
    out.cancels.push_back(id);
    return;
  }
  finish(id, found->second.first_fate.value_or(Fate::caller_gone), 0, now, out);
  loop_back(now, out);
}

void Pilot::free_slot(const Afloat &errand, SlotEnd end, Instant now, PilotOutput &out) {
  const bool is_cancel = end == SlotEnd::unused && !errand.is_granted;
  SlotFree free{errand.bill.id, errand.bill.service, is_cancel ? std::string() : errand.runner,
                static_cast<std::uint8_t>(end), errand.attempt};
  if (end == SlotEnd::lost)
    lost_.push_back({errand.bill.id, errand.bill.service, errand.runner, errand.attempt, now + seconds(60)});
  const NodeId owner = owner_of_service(errand.bill.service);
  if (owner != 0) out.mail.push_back({owner, {}, free});
  Backoff retry(options_.free_again, options_.free_again_most);
  retry.sent(now);
  freeing_.push_back({std::move(free), retry, now + seconds(60)});
}

void Pilot::close_claim(const Afloat &errand, ClosedAs as, const CallEnd *end, Instant now,
                        PilotOutput &out) {
  CloseAsk close;
  close.key = errand.bill.claim_key;
  close.errand = errand.bill.id;
  close.closed_as = static_cast<std::uint8_t>(as);
  if (as == ClosedAs::run && end != nullptr) {
    close.status = end->status;
    std::size_t bytes = end->type.size() + end->body.size();
    for (const KeptHeader &header : end->headers) bytes += header.name.size() + header.value.size();
    close.is_whole = bytes <= options_.record_most;
    if (close.is_whole) {
      close.type = end->type;
      close.body = end->body;
      close.headers = end->headers;
    }
  }
  send_leader(close, out);
  Backoff retry(options_.claim_again, options_.claim_again_most);
  retry.sent(now);
  closing_.push_back({std::move(close), retry, now + seconds(120)});
}

void Pilot::finish(const std::string &id, Fate fate, Span retry_after, Instant now, PilotOutput &out,
                   const CallEnd *end, std::string why) {
  const auto found = afloat_.find(id);
  if (found == afloat_.end()) return;
  Afloat &errand = found->second;
  const Step step = errand.bill.steps[errand.at];
  if (step == Step::berth) free_slot(errand, SlotEnd::unused, now, out);
  if (errand.has_claimed) {
    const Verdict verdict = outcome_of(fate).verdict;
    close_claim(errand,
                verdict == Verdict::run       ? ClosedAs::run
                : verdict == Verdict::not_run ? ClosedAs::not_run
                                              : ClosedAs::unknown,
                end, now, out);
  }
  note_gone(errand, now);
  if (step == Step::pay) std::erase(tills_[tenant_index(errand.bill.tenant)].line, id);
  count(fate_counter(fate));
  if (fate == Fate::over_quota || fate == Fate::no_runner || fate == Fate::refused ||
      fate == Fate::waited_unsent)
    soundings_.refused(errand.bill.tenant, errand.bill.rule, fate == Fate::over_quota);
  Reply reply;
  reply.errand = id;
  reply.service = errand.bill.service;
  reply.rule = errand.bill.rule;
  reply.runner = errand.runner;
  reply.version = errand.bill.version;
  reply.fate = fate;
  reply.retry_after = retry_after;
  reply.why = std::move(why);
  if (end != nullptr && fate == Fate::replayed) {
    reply.status = end->status;
    reply.type = end->type;
    reply.body = end->body;
    reply.headers = end->headers;
  }
  if (options_.must_trace_calls) {
    const Instant sent_at = errand.carried_at == 0 ? now : errand.carried_at;
    out.lines.push_back(trace_line(CallTrace{errand.bill.service, std::string(outcome_of(fate).reason),
                                             errand.runner, sent_at - errand.bill.arrived, now - sent_at}));
  }
  note(errand, now,
       "ends: " + std::string(outcome_of(fate).reason) + ", verdict " +
           std::string(verdict_name(outcome_of(fate).verdict)) + (reply.why.empty() ? "" : ", " + reply.why));
  reply.story = std::move(errand.story);
  out.replies.push_back(std::move(reply));
  afloat_.erase(found);
}

void Pilot::handle(NodeId from, const InventoryAsk &ask, Instant now, PilotOutput &out) {
  if (roster_.epoch < ask.epoch) follow_newer_owner(from, ask, now, out);
  std::map<std::string_view, ServiceInventory> found;
  for (const std::string &service : ask.services) found[service].service = service;
  for (const auto &[id, errand] : afloat_) {
    const auto inventory = found.find(errand.bill.service);
    if (inventory == found.end() || !errand.is_carrying) continue;
    inventory->second.held.push_back(
        {id, errand.runner, self_.id, errand.attempt, errand.bill.deadline - now});
  }
  for (const LostSlot &lost : lost_) {
    const auto inventory = found.find(lost.service);
    if (inventory == found.end()) continue;
    inventory->second.held.push_back({lost.errand, lost.runner, self_.id, lost.attempt, 0});
  }
  InventorySay say;
  say.number = ask.number;
  say.epoch = ask.epoch;
  for (auto &[service, inventory] : found) {
    stevedore_.describe_former(ask.epoch, now, inventory);
    if (!inventory.is_empty()) say.services.push_back(std::move(inventory));
  }
  out.mail.push_back({from, {}, std::move(say)});
}

void Pilot::follow_newer_owner(NodeId owner, const InventoryAsk &ask, Instant now, PilotOutput &out) {
  stevedore_.hand_over_superseded(ask.services, ask.epoch, now, out.mail);
  std::unordered_set<std::string_view> moved;
  for (const std::string &service : ask.services) {
    NewerOwner &newer = newer_owners_[service];
    if (newer.epoch >= ask.epoch) continue;
    newer = {owner, ask.epoch};
    moved.insert(service);
  }
  for (auto &[id, errand] : afloat_)
    if (moved.contains(errand.bill.service)) errand.retry.restart();
  for (Freeing &item : freeing_)
    if (moved.contains(item.free.service)) item.retry.restart();
}

void Pilot::forget_newer_owners(Instant now) {
  std::erase_if(newer_owners_, [&](const auto &item) {
    return item.second.epoch <= roster_.epoch || !rollcall_.is_living(item.second.node, now);
  });
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

std::size_t Pilot::places_for(std::uint32_t worth) const {
  if (!options_.by_worth || !in_force_.charter) return options_.errands_most;
  const std::uint32_t top = in_force_.charter->top_worth;
  const double share = options_.places_floor +
                       (1 - options_.places_floor) * static_cast<double>(worth) / static_cast<double>(top);
  return static_cast<std::size_t>(std::min(1.0, share) * static_cast<double>(options_.errands_most));
}

bool Pilot::displace(std::uint32_t worth, Instant now, PilotOutput &out) {
  const Afloat *least = nullptr;
  for (const auto &[id, errand] : afloat_) {
    if (errand.is_carrying || errand.has_claimed || errand.bill.worth >= worth) continue;
    if (least == nullptr || errand.bill.worth < least->bill.worth) least = &errand;
  }
  if (least == nullptr) return false;
  finish(std::string(least->bill.id), Fate::no_runner, seconds(1), now, out, nullptr, "displaced");
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

void Pilot::tick(Instant now, PilotOutput &out) {
  std::erase_if(heard_, [now](const auto &item) { return now - item.second > seconds(60); });
  std::erase_if(unanswered_, [&](const auto &item) {
    return now - item.second.since > seconds(60) || !rollcall_.is_living(item.first, now);
  });
  rollcall_.tick(now, out.mail);
  if (staged_ && now - switched_at_ >= options_.switch_gap) switch_staged(now, out);
  for (const Member &member : rollcall_.living(now))
    if (member.group != 0 && member.role == static_cast<std::uint8_t>(Role::control))
      rollcall_.set_group(member.group);
  const bool has_news = stevedore_.wants_mark() != told_wants_ && now - pulsed_at_ >= options_.pulse_least;
  if (now >= pulse_at_ || has_news) send_pulse(now, out);
  forget_newer_owners(now);
  purser_.tick(now, out.mail);
  stevedore_.tick(now, out.mail);
  std::vector<std::uint32_t> tenants;
  for (const auto &[tenant, till] : tills_) tenants.push_back(tenant);
  for (std::uint32_t tenant : tenants) {
    if (!tills_[tenant].line.empty()) serve_line(tenant, now, out);
    maintain_till(tenant, now, out);
  }
  std::vector<std::string> ids;
  for (const auto &[id, errand] : afloat_) ids.push_back(id);
  for (const std::string &id : ids) {
    const auto found = afloat_.find(id);
    if (found == afloat_.end() || found->second.is_carrying) continue;
    Afloat &errand = found->second;
    const Step step = errand.bill.steps[errand.at];
    if (now >= errand.bill.deadline) {
      finish(id, errand.first_fate ? *errand.first_fate : Fate::waited_unsent, seconds(1), now, out);
    } else if (!may_serve(now)) {
      finish(id, Fate::stale, seconds(1), now, out);
    } else if (step == Step::pay && now - errand.waiting_since > patience_of(errand)) {
      finish(id, is_denied(errand, now) ? Fate::over_quota : Fate::no_permit,
             come_back(tills_[tenant_index(errand.bill.tenant)], now), now, out);
    } else if (step == Step::claim && errand.retry.is_due(now)) {
      ask_claim(errand, now, out);
    } else if (step == Step::berth && errand.retry.is_due(now)) {
      ask_berth(errand, now, out);
    }
  }
  for (Freeing &item : freeing_) {
    if (!item.retry.is_due(now)) continue;
    item.retry.sent(now);
    const NodeId owner = owner_of_service(item.free.service);
    if (owner != 0) out.mail.push_back({owner, {}, item.free});
  }
  std::erase_if(freeing_, [now](const Freeing &item) { return now > item.until; });
  for (Closing &item : closing_) {
    if (!item.retry.is_due(now)) continue;
    item.retry.sent(now);
    send_leader(item.close, out);
  }
  std::erase_if(closing_, [now](const Closing &item) { return now > item.until; });
  std::erase_if(lost_, [now](const LostSlot &item) { return now > item.until; });
  loop_back(now, out);
  out.knocks = stevedore_.knocks(now);
}

} // namespace wharf
