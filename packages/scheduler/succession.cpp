// How a service goes from one owner to the next: who owns it, what a former owner tells and what a new one
// learns before it grants slots.
#include <algorithm>

#include "scheduler/scheduler.hpp"

namespace wharf {

namespace {
/// How long an owner keeps what it knew of a service that went to another node, for its successors to ask.
constexpr Span former_kept = seconds(60);
} // namespace

NodeId Scheduler::owner_in(const std::vector<NodeId> &pilots, const std::string &service) const {
  return top_ranked_node(pilots, service, scheduler_salt);
}

bool Scheduler::is_in_node_set(NodeId node) const {
  return std::find(roster_.pilots.begin(), roster_.pilots.end(), node) != roster_.pilots.end();
}

bool Scheduler::was_owner_since(Epoch epoch, const std::string &service) const {
  bool is_found = false;
  for (const PastRoster &past : roster_.past) {
    if (past.epoch < epoch) continue;
    if (past.epoch == epoch) is_found = true;
    if (owner_in(past.owners(), service) != self_) return false;
  }
  return is_found;
}

void Scheduler::begin(const std::string &service, Instant now) {
  OwnedService &owned = services_[service];
  owned = OwnedService{};
  owned.scaler = ServiceScaler(options_.scaler);
  owned.since = roster_.epoch;
  const auto plan = plans_.find(service);
  owned.boot_guess = plan != plans_.end() && plan->second.boot > 0 ? plan->second.boot : options_.boot_guess;
  owned.unheard.insert(roster_.pilots.begin(), roster_.pilots.end());
  if (!roster_.past.empty())
    owned.unheard.insert(roster_.past.back().pilots.begin(), roster_.past.back().pilots.end());
  owned.untold = owned.unheard;
  for (const PastRoster &past : roster_.past) owned.untold.insert(past.pilots.begin(), past.pilots.end());
  has_new_questions_ = true;
  for (const RunnerView &runner : runners_) {
    if (runner.service != service) continue;
    take_view(owned.runner_states[runner.id], runner, now);
  }
  keep_found(owned, plan == plans_.end() ? ServicePlan{} : plan->second, now);
}

void Scheduler::keep_found(OwnedService &owned, const ServicePlan &plan, Instant now) {
  const auto found =
      static_cast<std::uint32_t>(std::count_if(owned.runner_states.begin(), owned.runner_states.end(),
                                               [](const auto &item) { return !item.second.is_leaving; }));
  owned.scaler.keep(found, plan, now);
}

void Scheduler::set_roster(const Roster &roster, Epoch settled, Instant now, Outbox &out) {
  const bool is_new = roster.epoch > roster_.epoch;
  if (is_new) hand_over_lost_services(roster, now, out);
  settled_ = std::max(settled_, settled);
  if (is_new) begin_owned_services(now);
  tick(now, out);
}

void Scheduler::set_roster_and_runners(const Roster &roster, Epoch settled,
                                       const std::vector<RunnerView> &runners, Instant now, Outbox &out) {
  const bool is_new = roster.epoch > roster_.epoch;
  if (is_new) hand_over_lost_services(roster, now, out);
  settled_ = std::max(settled_, settled);
  replace_runners(runners, now);
  if (is_new) begin_owned_services(now);
  tick(now, out);
}

void Scheduler::hand_over_lost_services(const Roster &roster, Instant now, Outbox &out) {
  const Epoch old_epoch = roster_.epoch;
  roster_ = roster;
  inventory_rounds_.clear();
  has_new_questions_ = true;
  for (auto owned = services_.begin(); owned != services_.end();) {
    const bool is_kept =
        owner_in(roster_.owners(), owned->first) == self_ && was_owner_since(old_epoch, owned->first);
    if (is_kept) {
      ++owned;
      continue;
    }
    send_waiting_elsewhere(owned->first, owned->second, out);
    former_[owned->first] = {old_epoch, now, std::move(owned->second)};
    owned = services_.erase(owned);
  }
  std::erase_if(former_, [now](const auto &item) { return now - item.second.lost_at > former_kept; });
  std::erase_if(superseded_, [this](const auto &item) { return item.second <= roster_.epoch; });
}

void Scheduler::hand_over_superseded(const std::vector<std::string> &services, Epoch epoch, Instant now,
                                     Outbox &out) {
  for (const std::string &service : services) {
    Epoch &newest = superseded_[service];
    newest = std::max(newest, epoch);
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    send_waiting_elsewhere(service, found->second, out);
    former_[service] = {roster_.epoch, now, std::move(found->second)};
    services_.erase(found);
    ++counters_.superseded;
  }
}

bool Scheduler::may_begin(const std::string &service) const {
  const auto found = superseded_.find(service);
  return found == superseded_.end() || found->second <= roster_.epoch;
}

void Scheduler::send_waiting_elsewhere(const std::string &service, const OwnedService &owned,
                                       Outbox &out) const {
  for (const auto &[tenant, line] : owned.pending)
    for (const Waiting &waiting : line) {
      SlotSay say;
      say.errand = waiting.ask.errand;
      say.service = service;
      say.epoch = roster_.epoch;
      say.state = static_cast<std::uint8_t>(SlotState::not_mine);
      out.push_back({waiting.pilot, {}, say});
    }
}

void Scheduler::begin_owned_services(Instant now) {
  forget_ended_owners();
  for (const auto &[service, plan] : plans_)
    if (owner_in(roster_.owners(), service) == self_ && !services_.contains(service) && may_begin(service))
      begin(service, now);
}

void Scheduler::describe_former(Epoch epoch, Instant now, ServiceInventory &say) const {
  const std::string &service = say.service;
  const auto found = former_.find(service);
  if (found == former_.end()) return;
  if (found->second.owned.is_learning) {
    for (const auto &[id, runner_state] : found->second.owned.runner_states) say.doubtful.push_back(id);
    return;
  }
  // The asker's node set is newer than ours: only where none lies between them has nobody owned the service
  // after us.
  bool is_direct =
      roster_.epoch < epoch && roster_.epoch + 1 == epoch && found->second.until == roster_.epoch;
  for (std::size_t at = 0; at < roster_.past.size(); ++at) {
    const Epoch next = at + 1 < roster_.past.size() ? roster_.past[at + 1].epoch : roster_.epoch;
    if (next == epoch && owner_in(roster_.past[at].owners(), service) == self_ &&
        roster_.past[at].epoch >= found->second.owned.since)
      is_direct =
          roster_.past[at].epoch == found->second.until || was_owner_since(found->second.until, service);
  }
  if (!is_direct) return;
  say.is_former_owner = true;
  for (const auto &[id, runner_state] : found->second.owned.runner_states) {
    for (const auto &[errand, slot] : runner_state.taken)
      say.granted_by_former.push_back({errand, id, slot.pilot, slot.attempt, slot.deadline - now});
    if (runner_state.must_retire) say.doubtful.push_back(id);
  }
}

void Scheduler::handle(NodeId from, const InventorySay &say, Instant now, Outbox &out) {
  const auto round = inventory_rounds_.find(from);
  if (round == inventory_rounds_.end() || round->second.number != say.number || say.epoch != roster_.epoch)
    return;
  for (const ServiceInventory &inventory : say.services) take_inventory(from, inventory, now);
  for (const std::string &service : round->second.services) {
    const auto found = services_.find(service);
    if (found == services_.end()) continue;
    found->second.unheard.erase(from);
    found->second.untold.erase(from);
    const auto plan = plans_.find(service);
    if (found->second.cut_off_owners.erase(from) > 0 && plan != plans_.end())
      update_reserves(found->second, plan->second);
  }
  inventory_rounds_.erase(round);
  has_new_questions_ = true;
  tick(now, out);
}

void Scheduler::take_inventory(NodeId from, const ServiceInventory &inventory, Instant now) {
  const auto found = services_.find(inventory.service);
  if (found == services_.end()) return;
  OwnedService &owned = found->second;
  for (const HeldSlot &held : inventory.held) {
    if (!owned.is_learning &&
        (owned.granted.contains(held.errand) || !owned.runner_states.contains(held.runner)))
      continue;
    owned.runner_states[held.runner].taken[held.errand] = {from, now + held.left, now, held.attempt};
    owned.granted[held.errand] = held.runner;
  }
  if (!owned.is_learning) return;
  if (roster_.past.empty() || owner_in(roster_.past.back().owners(), inventory.service) != from) return;
  for (const HeldSlot &held : inventory.granted_by_former) {
    owned.runner_states[held.runner].taken[held.errand] = {held.pilot, now + held.left, now, held.attempt};
    owned.granted[held.errand] = held.runner;
  }
  const auto plan = plans_.find(inventory.service);
  const bool is_self_bounding = plan != plans_.end() && plan->second.is_self_bounding;
  for (const std::string &runner : inventory.doubtful)
    if (!is_self_bounding) owned.runner_states[runner].must_retire = true;
  owned.is_inherited = inventory.is_former_owner;
}

bool Scheduler::must_ask(const OwnedService &owned, Instant now) const {
  if (owned.is_learning) return true;
  return !roster_.is_first && now - owned.learned_at < options_.inventory_late && !owned.untold.empty();
}

void Scheduler::ask_inventories(Instant now, Outbox &out) {
  const bool is_any_asking = std::any_of(services_.begin(), services_.end(),
                                         [&](const auto &item) { return must_ask(item.second, now); });
  if (!is_any_asking) {
    inventory_rounds_.clear();
    return;
  }
  if (has_new_questions_) begin_inventory_rounds(now);
  for (auto &[node, round] : inventory_rounds_) {
    if (!round.retry.is_due(now)) continue;
    round.retry.sent(now);
    out.push_back({node, {}, InventoryAsk{round.number, roster_.epoch, round.services}});
  }
}

std::map<NodeId, std::vector<std::string>> Scheduler::untold_services(Instant now) const {
  std::map<NodeId, std::vector<std::string>> untold;
  for (const auto &[service, owned] : services_) {
    if (!must_ask(owned, now) || !plans_.contains(service)) continue;
    for (NodeId node : owned.untold) {
      if (inventory_rounds_.contains(node)) continue;
      std::vector<std::string> &services = untold[node];
      if (services.size() < options_.inventory_services) services.push_back(service);
    }
  }
  return untold;
}

void Scheduler::begin_inventory_rounds(Instant now) {
  has_new_questions_ = false;
  for (auto &[node, services] : untold_services(now))
    inventory_rounds_[node] = {++inventory_number_, std::move(services),
                               Backoff(options_.inventory_again, options_.inventory_again_most)};
}

void Scheduler::learn(const std::string &service, OwnedService &owned, const ServicePlan &plan, Instant now) {
  const bool is_settled = settled_ >= owned.since || plan.is_self_bounding;
  if (is_settled && owned.settled_at == 0) owned.settled_at = now;
  if (owned.settled_at == 0) return;
  const Span patience = plan.is_self_bounding ? options_.inventory_brief : options_.inventory_patience;
  const bool is_known = roster_.is_first || owned.is_inherited || owned.unheard.empty();
  if (is_known || now - owned.settled_at >= patience) finish_learning(service, owned, now);
}

void Scheduler::finish_learning(const std::string &service, OwnedService &owned, Instant now) {
  const ServicePlan &plan = plans_.at(service);
  owned.is_learning = false;
  owned.learned_at = now;
  if (!roster_.is_first) ++counters_.takeovers;
  if (!roster_.is_first && !owned.is_inherited && !owned.unheard.empty()) ++counters_.takeovers_unheard;
  keep_found(owned, plan, now);
  if (roster_.is_first || owned.is_inherited || owned.unheard.empty()) return;
  if (plan.is_self_bounding) {
    find_cut_off_owners(service, owned);
    update_reserves(owned, plan);
    return;
  }
  for (auto &[id, runner_state] : owned.runner_states) {
    runner_state.unknown = runner_state.taken.size() < plan.slots
                               ? plan.slots - static_cast<std::uint32_t>(runner_state.taken.size())
                               : 0;
    runner_state.rests_until = now;
    runner_state.must_retire = true;
  }
}

} // namespace wharf
