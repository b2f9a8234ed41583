// A node's part in dispatch: asks a service's owner for a slot of a runner, gives it back, and tells new
// owners which slots it holds.
#include "pilot/pilot.hpp"

#include <algorithm>
#include <unordered_set>

namespace wharf {

NodeId Pilot::owner_of_service(const std::string &service) {
  const auto newer = newer_owners_.find(service);
  if (newer != newer_owners_.end()) return newer->second.node;
  return service_owners_.owner_of(service, roster_);
}

void Pilot::ask_slot(Afloat &errand, Instant now, PilotOutput &out) {
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
       "asks scheduler " + std::to_string(owner) + " for a slot, attempt " + std::to_string(errand.attempt));
  out.mail.push_back({owner, {}, ask});
}

void Pilot::handle(NodeId from, const SlotSay &say, Instant now, PilotOutput &out) {
  const auto found = afloat_.find(say.errand);
  const auto state = static_cast<SlotState>(say.state);
  const bool is_owner = owner_of_service(say.service) == from;
  const bool is_wanted = found != afloat_.end() && found->second.bill.steps[found->second.at] == Step::slot &&
                         is_owner && found->second.attempt == say.attempt;
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
    errand.retry.answered(now, options_.slot_again);
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
    scheduler_.describe_former(ask.epoch, now, inventory);
    if (!inventory.is_empty()) say.services.push_back(std::move(inventory));
  }
  out.mail.push_back({from, {}, std::move(say)});
}

void Pilot::follow_newer_owner(NodeId owner, const InventoryAsk &ask, Instant now, PilotOutput &out) {
  scheduler_.hand_over_superseded(ask.services, ask.epoch, now, out.mail);
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
    return item.second.epoch <= roster_.epoch || !membership_.is_living(item.second.node, now);
  });
}

} // namespace wharf
