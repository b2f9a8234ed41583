// Owners that are cut off: what such a node goes on granting, and what its successor leaves to it.
#include <algorithm>

#include "scheduler/scheduler.hpp"

namespace wharf {

namespace {
/// A process that was stopped for a while hears nobody until it has read what came meanwhile, so requests are
/// not refused before its isolation has lasted this long.
constexpr Span isolation_confirmed = milliseconds(300);
} // namespace

void Scheduler::set_isolated(bool is_isolated, Instant now) {
  if (!is_isolated)
    isolated_since_ = 0;
  else if (isolated_since_ == 0)
    isolated_since_ = now;
}

bool Scheduler::has_no_share(const OwnedService &owned, const ServicePlan &plan, Instant now) const {
  return isolated_since_ != 0 && now - isolated_since_ >= isolation_confirmed &&
         slots_to_grant(owned, plan) == 0;
}

bool Scheduler::is_replaced(const PastRoster &past, NodeId node) const {
  const auto found = std::find(past.pilots.begin(), past.pilots.end(), node);
  const auto place = static_cast<std::size_t>(found - past.pilots.begin());
  if (place >= past.addresses.size()) return false;
  return std::find(roster_.addresses.begin(), roster_.addresses.end(), past.addresses[place]) !=
         roster_.addresses.end();
}

void Scheduler::find_cut_off_owners(const std::string &service, OwnedService &owned) const {
  for (const PastRoster &past : roster_.past) {
    const NodeId former = owner_in(past.owners(), service);
    // Whoever is in the node set is told of it by the leader.
    if (former == self_ || !owned.untold.contains(former) || is_in_node_set(former) ||
        is_replaced(past, former))
      continue;
    owned.cut_off_owners[former] = past.pilots.size();
  }
}

void Scheduler::forget_ended_owners() {
  for (auto &[service, owned] : services_) {
    if (owned.cut_off_owners.empty()) continue;
    std::erase_if(owned.cut_off_owners, [&](const auto &owner) {
      return is_in_node_set(owner.first) ||
             std::any_of(roster_.past.begin(), roster_.past.end(),
                         [&](const PastRoster &past) { return is_replaced(past, owner.first); });
    });
    if (const auto plan = plans_.find(service); plan != plans_.end()) update_reserves(owned, plan->second);
  }
}

void Scheduler::update_reserves(OwnedService &owned, const ServicePlan &plan) {
  std::size_t place = 0;
  for (auto &[id, runner_state] : owned.runner_states) {
    runner_state.reserved = 0;
    for (const auto &[owner, nodes] : owned.cut_off_owners)
      runner_state.reserved += cut_off_share({plan.slots, owned.runner_states.size(), nodes}, place);
    runner_state.reserved = std::min(runner_state.reserved, std::max(1u, plan.slots / 2));
    ++place;
  }
}

std::uint32_t Scheduler::slots_to_grant(const OwnedService &owned, const ServicePlan &plan,
                                        std::size_t place) const {
  // A successor may count on all slots but this share.
  if (isolated_since_ == 0 || !plan.is_self_bounding || roster_.pilots.size() < 2) return plan.slots;
  return cut_off_share({plan.slots, owned.runner_states.size(), roster_.pilots.size()}, place);
}

std::uint32_t Scheduler::slots_to_grant(const OwnedService &owned, const ServicePlan &plan) const {
  std::uint32_t all = 0;
  for (std::size_t place = 0; place < owned.runner_states.size(); ++place)
    all += slots_to_grant(owned, plan, place);
  return all;
}

} // namespace wharf
