// What a node has been told by the leader: the configuration in force, the node set and the runners of the
// services that it owns. Nothing here goes back to an older state.
#include "pilot/pilot.hpp"

#include <algorithm>
#include <unordered_map>

#include "delta/delta.hpp"

namespace wharf {

namespace {
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
} // namespace

InForce Pilot::in_force() const {
  std::lock_guard guard(in_force_mutex_);
  return in_force_;
}

Span Pilot::retry_when_stale() const {
  return leader_ == 0 ? options_.election_guess : options_.delivery_guess;
}

bool Pilot::may_serve(Instant now) const {
  return is_fresh(now) || (fresh_until_ != 0 && now < fresh_until_ + cut_off_);
}

bool Pilot::is_settled(Instant now) const {
  return is_fresh(now) && roster_.epoch != 0 && settled_ >= roster_.epoch;
}

void Pilot::handle(NodeId from, const Orders &orders, Instant now, PilotOutput &out) {
  if (orders.node != 0 && orders.node != self_.id) {
    count("orders_for_another");
    return;
  }
  const Version version = in_force().version;
  if (orders.version < version || orders.roster.epoch < roster_.epoch) {
    count("orders_older");
    return;
  }
  if (!orders.has_roster && orders.roster.epoch != roster_.epoch) {
    count("orders_without_node_set");
    // The node set is sent again at a pace of its own; the manifest is not to wait for both to come together.
    if (orders.has_manifest) take_manifest_text(orders);
    return;
  }
  note_leader_heard(from, now, out);
  if (orders.version == version) {
    follow_orders(from, orders, false, now, out);
    return;
  }
  const bool has_text =
      orders.has_manifest ? take_manifest_text(orders) : orders.version == manifest_text_version_;
  if (!has_text) return;
  staged_.emplace(from, orders);
  staged_->second.manifest.clear();
  if (version == 0 || now - switched_at_ >= options_.switch_gap) switch_staged(now, out);
}

bool Pilot::take_manifest_text(const Orders &orders) {
  if (orders.version == manifest_text_version_) return true;
  if (orders.version < manifest_text_version_) return false;
  if (!is_delta(orders.manifest)) {
    keep_manifest_text(orders.manifest, orders.version);
    return true;
  }
  if (orders.manifest_base != 0 && orders.manifest_base != manifest_text_version_) {
    count("manifest_base_missing");
    has_missed_manifest_ = true;
    return false;
  }
  auto text = decode_delta(orders.manifest_base == 0 ? std::string_view() : manifest_text_, orders.manifest);
  if (!text) {
    count("manifest_unreadable");
    return false;
  }
  keep_manifest_text(std::move(*text), orders.version);
  return true;
}

void Pilot::keep_manifest_text(std::string text, Version version) {
  manifest_text_ = std::move(text);
  manifest_text_version_ = version;
  // Orders that were put off are of the text before.
  staged_.reset();
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
  scheduler_.set_fresh_until(owner_lease_until() + cut_off_);
  purser_.set_quiet(orders.quiet);
  if (orders.roster.epoch > roster_.epoch) {
    roster_ = orders.roster;
    lease_extension_.set_node_set(roster_.epoch, roster_.owners());
    forget_newer_owners(now);
    is_switched = true;
    for (auto &[id, errand] : afloat_) errand.retry.restart();
    for (auto &[tenant, till] : tills_) {
      till.asked_at = 0;
      if (till.pending) till.pending->retry.restart();
    }
    for (Freeing &item : freeing_) item.retry.restart();
  }
  renew_owner_lease(now, out);
  settled_ = std::max(settled_, orders.settled);
  purser_.set_roster(roster_, orders.settled, now, out.mail);
  if (takes_runners) {
    std::vector<RunnerView> views;
    views.reserve(runners_.size());
    for (const auto &[id, runner] : runners_) views.push_back(runner);
    scheduler_.set_roster_and_runners(roster_, orders.settled, views, now, out.mail);
  } else {
    scheduler_.set_roster(roster_, orders.settled, now, out.mail);
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
  scheduler_.set_plans(std::move(plans), now, out.mail);
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

} // namespace wharf
