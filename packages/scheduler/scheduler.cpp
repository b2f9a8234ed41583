#include "scheduler/scheduler.hpp"

#include <algorithm>

namespace wharf {

namespace {
/// When a caller should come again to a node that is cut off and has no share of the slots that it needs.
constexpr Span isolated_retry = seconds(2);
} // namespace

Scheduler::Scheduler(NodeId self, SchedulerOptions options) : self_(self), options_(options) {}

void Scheduler::take_view(RunnerState &runner_state, const RunnerView &runner, Instant now) {
  const bool is_new = runner_state.address.empty();
  runner_state.is_leaving = runner.is_leaving;
  runner_state.address = runner.address;
  runner_state.seal_key = runner.seal_key;
  runner_state.zone = runner.zone;
  runner_state.handle = runner.handle;
  runner_state.is_booting = runner.is_booting && (is_new || runner_state.is_booting);
  if (is_new) runner_state.boots_since = now - runner.booting_for;
}

std::vector<Knock> Scheduler::knocks(Instant now) {
  std::vector<Knock> list;
  for (auto &[service, owned] : services_) {
    const auto plan = plans_.find(service);
    if (plan == plans_.end()) continue;
    for (auto &[id, runner_state] : owned.runner_states) {
      if (!runner_state.is_booting || runner_state.is_leaving || runner_state.must_retire ||
          now < runner_state.knock_at || now - runner_state.boots_since < plan->second.boot * 2 / 5)
        continue;
      const bool is_late = now - runner_state.boots_since > plan->second.boot * 3;
      runner_state.knock_at = now + options_.knock_again * (is_late ? 5 : owned.pending_count > 0 ? 1 : 3);
      list.push_back({service, id, runner_state.address, runner_state.handle});
    }
  }
  return list;
}

void Scheduler::is_up(const std::string &service, const std::string &runner, Instant now, Outbox &out) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  const auto runner_state = found->second.runner_states.find(runner);
  if (runner_state == found->second.runner_states.end() || !runner_state->second.is_booting) return;
  runner_state->second.is_booting = false;
  found->second.boot_guess = (found->second.boot_guess * 3 + (now - runner_state->second.boots_since)) / 4;
  serve(service, found->second, now, out);
}

void Scheduler::set_plans(std::map<std::string, ServicePlan> plans, Instant now, Outbox &out) {
  plans_ = std::move(plans);
  for (const auto &[service, plan] : plans_) {
    if (roster_.epoch == 0 || services_.contains(service) || owner_in(roster_.owners(), service) != self_ ||
        !may_begin(service))
      continue;
    begin(service, now);
  }
  for (auto &[service, owned] : services_) {
    if (!plans_.contains(service)) refuse_pending(owned, seconds(1), "service-removed", out);
  }
  tick(now, out);
}

void Scheduler::set_runners(const std::vector<RunnerView> &runners, Instant now, Outbox &out) {
  replace_runners(runners, now);
  tick(now, out);
}

void Scheduler::replace_runners(const std::vector<RunnerView> &runners, Instant now) {
  runners_ = runners;
  std::map<std::string, std::set<std::string>> seen;
  for (const RunnerView &runner : runners) {
    seen[runner.service].insert(runner.id);
    const auto found = services_.find(runner.service);
    if (found == services_.end()) continue;
    OwnedService &owned = found->second;
    if (!owned.runner_states.contains(runner.id) && owned.scaler.short_since() != 0) {
      owned.boot_guess = (owned.boot_guess * 3 + (now - owned.scaler.short_since())) / 4;
      owned.scaler.runner_came();
    }
    take_view(owned.runner_states[runner.id], runner, now);
  }
  for (auto &[service, owned] : services_) {
    const auto &living = seen[service];
    for (auto runner_state = owned.runner_states.begin(); runner_state != owned.runner_states.end();) {
      if (living.contains(runner_state->first)) {
        ++runner_state;
        continue;
      }
      for (const auto &[errand, slot] : runner_state->second.taken) owned.granted.erase(errand);
      runner_state = owned.runner_states.erase(runner_state);
    }
    if (const auto plan = plans_.find(service); plan != plans_.end()) update_reserves(owned, plan->second);
  }
}

std::size_t Scheduler::pending(const std::string &service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.pending_count;
}

std::size_t Scheduler::slots_taken(const std::string &runner) const {
  for (const auto &[service, owned] : services_) {
    const auto found = owned.runner_states.find(runner);
    if (found != owned.runner_states.end()) return found->second.load();
  }
  return 0;
}

std::uint32_t Scheduler::usable_runners(const OwnedService &owned) {
  const auto is_usable = [](const auto &item) { return !item.second.is_leaving && !item.second.must_retire; };
  return static_cast<std::uint32_t>(
      std::count_if(owned.runner_states.begin(), owned.runner_states.end(), is_usable));
}

std::uint32_t Scheduler::taken(const OwnedService &owned) {
  std::size_t count = 0;
  for (const auto &[id, runner_state] : owned.runner_states) count += runner_state.taken.size();
  return static_cast<std::uint32_t>(count);
}

std::uint32_t Scheduler::unavailable(const OwnedService &owned) {
  std::uint32_t count = 0;
  for (const auto &[id, runner_state] : owned.runner_states)
    count += runner_state.unseen + runner_state.reserved;
  return count;
}

void Scheduler::step(NodeId from, const Signal &signal, Instant now, Outbox &out) {
  if (const auto *ask = std::get_if<SlotAsk>(&signal))
    handle(from, *ask, now, out);
  else if (const auto *free = std::get_if<SlotFree>(&signal))
    handle(from, *free, now, out);
  else if (const auto *say = std::get_if<InventorySay>(&signal))
    handle(from, *say, now, out);
}

void Scheduler::refuse(const SlotAsk &ask, NodeId pilot, Span retry_after, std::string why, Outbox &out) {
  SlotSay say;
  say.errand = ask.errand;
  say.service = ask.service;
  say.epoch = roster_.epoch;
  say.state = static_cast<std::uint8_t>(SlotState::refused);
  say.attempt = ask.attempt;
  say.retry_after = retry_after;
  say.why = std::move(why);
  out.push_back({pilot, {}, say});
}

void Scheduler::refuse_pending(OwnedService &owned, Span retry_after, const std::string &why, Outbox &out) {
  for (const auto &[tenant, line] : owned.pending)
    for (const Waiting &waiting : line) refuse(waiting.ask, waiting.pilot, retry_after, why, out);
  owned.pending.clear();
  owned.turns.clear();
  owned.pending_count = 0;
}

Span Scheduler::hopeless_for(const OwnedService &owned, const ServicePlan &plan, const SlotAsk &ask,
                             Instant now) const {
  if (has_no_share(owned, plan, now)) return isolated_retry;
  const std::uint32_t usable = usable_runners(owned);
  if (usable == 0) return owned.boot_guess > ask.patience ? owned.boot_guess : 0;
  const auto ahead = static_cast<Span>(owned.pending_count);
  const Span lanes = static_cast<Span>(std::max(usable, plan.least)) * plan.slots;
  const Span expected = ahead * owned.serve_guess / std::max<Span>(1, lanes);
  return expected > ask.patience ? expected : 0;
}

void Scheduler::make_room(OwnedService &owned, const ServicePlan &plan, const std::string &tenant,
                          Outbox &out) {
  if (owned.pending_count < plan.pending_most) return;
  auto longest = owned.pending.end();
  for (auto line = owned.pending.begin(); line != owned.pending.end(); ++line)
    if (longest == owned.pending.end() || line->second.size() > longest->second.size()) longest = line;
  if (longest == owned.pending.end() || longest->first == tenant ||
      longest->second.size() <= owned.pending[tenant].size() + 1)
    return;
  const Waiting &last = longest->second.back();
  refuse(last.ask, last.pilot, seconds(1), "pending-full", out);
  longest->second.pop_back();
  --owned.pending_count;
}

void Scheduler::handle(NodeId from, const SlotAsk &ask, Instant now, Outbox &out) {
  const auto found = services_.find(ask.service);
  const auto plan = plans_.find(ask.service);
  if (found == services_.end() || plan == plans_.end() || now >= fresh_until_) {
    SlotSay say;
    say.errand = ask.errand;
    say.service = ask.service;
    say.epoch = roster_.epoch;
    say.state = static_cast<std::uint8_t>(SlotState::not_mine);
    out.push_back({from, {}, say});
    return;
  }
  OwnedService &owned = found->second;
  const auto held = owned.granted.find(ask.errand);
  if (held != owned.granted.end()) {
    RunnerState &runner_state = owned.runner_states[held->second];
    const std::uint32_t attempt = runner_state.taken[ask.errand].attempt;
    if (ask.attempt < attempt) return;
    if (ask.attempt == attempt) {
      out.push_back({from, {}, held_say(ask, owned, held->second)});
      return;
    }
    runner_state.taken.erase(ask.errand);
    owned.granted.erase(held);
  }
  auto &line = owned.pending[ask.tenant];
  for (Waiting &waiting : line) {
    if (waiting.ask.errand != ask.errand) continue;
    if (ask.attempt > waiting.ask.attempt) waiting.ask = ask;
    return;
  }
  if (ask.is_second) {
    if (owned.seconds_budget < 1.0) {
      refuse(ask, from, seconds(1), "second-tries-spent", out);
      return;
    }
    owned.seconds_budget -= 1.0;
  } else {
    owned.seconds_budget = std::min(options_.second_most, owned.seconds_budget + options_.second_share);
  }
  if (const Span wait = owned.is_learning ? 0 : hopeless_for(owned, plan->second, ask, now); wait > 0) {
    owned.scaler.keep(1, plan->second, now);
    refuse(ask, from, wait, "no-runner-in-time", out);
    return;
  }
  make_room(owned, plan->second, ask.tenant, out);
  if (owned.pending_count >= plan->second.pending_most) {
    refuse(ask, from, seconds(1), "pending-full", out);
    return;
  }
  if (line.empty()) owned.turns.push_back(ask.tenant);
  line.push_back({ask, from, now + ask.patience});
  ++owned.pending_count;
  serve(ask.service, owned, now, out);
  rescale(owned, plan->second, now);
}

Scheduler::RunnerState *Scheduler::free_runner(OwnedService &owned, const ServicePlan &plan,
                                               const SlotAsk &ask, Instant now, std::string &id) {
  RunnerState *best = nullptr;
  std::pair<bool, std::size_t> best_rank;
  std::size_t place = 0;
  for (auto &[name, runner_state] : owned.runner_states) {
    const std::uint32_t slots = slots_to_grant(owned, plan, place++);
    // An owner that is cut off leaves nothing to former ones: its share is its own.
    const std::size_t load = runner_state.load() - (isolated_since_ != 0 ? runner_state.reserved : 0);
    if (runner_state.is_leaving || runner_state.must_retire || runner_state.is_booting || load >= slots ||
        now < runner_state.rests_until || name == ask.avoid)
      continue;
    const std::pair<bool, std::size_t> rank(!ask.zone.empty() && runner_state.zone != ask.zone, load);
    if (best == nullptr || rank < best_rank) {
      best = &runner_state;
      best_rank = rank;
      id = name;
    }
  }
  return best;
}

void Scheduler::grant(OwnedService &owned, const Waiting &waiting, const std::string &runner, Instant now,
                      Outbox &out) {
  owned.runner_states[runner].taken[waiting.ask.errand] = {waiting.pilot, waiting.deadline, now,
                                                           waiting.ask.attempt};
  owned.granted[waiting.ask.errand] = runner;
  ++counters_.granted;
  if (waiting.ask.is_second) ++counters_.second_granted;
  out.push_back({waiting.pilot, {}, held_say(waiting.ask, owned, runner)});
}

SlotSay Scheduler::held_say(const SlotAsk &ask, OwnedService &owned, const std::string &runner) const {
  SlotSay say;
  say.errand = ask.errand;
  say.service = ask.service;
  say.runner = runner;
  say.address = owned.runner_states[runner].address;
  say.seal_key = owned.runner_states[runner].seal_key;
  say.handle = owned.runner_states[runner].handle;
  say.epoch = roster_.epoch;
  say.attempt = ask.attempt;
  return say;
}

void Scheduler::serve(const std::string &service, OwnedService &owned, Instant now, Outbox &out) {
  if (owned.is_learning || now >= fresh_until_) return;
  const auto plan = plans_.find(service);
  if (plan == plans_.end()) return;
  std::size_t skipped = 0;
  while (!owned.turns.empty() && skipped < owned.turns.size()) {
    const std::string tenant = owned.turns.front();
    owned.turns.pop_front();
    auto &line = owned.pending[tenant];
    while (!line.empty() && line.front().deadline <= now) {
      line.pop_front();
      --owned.pending_count;
    }
    if (line.empty()) {
      owned.pending.erase(tenant);
      continue;
    }
    std::string runner;
    if (free_runner(owned, plan->second, line.front().ask, now, runner) == nullptr) {
      owned.turns.push_back(tenant);
      ++skipped;
      continue;
    }
    skipped = 0;
    const Waiting waiting = std::move(line.front());
    line.pop_front();
    --owned.pending_count;
    if (line.empty())
      owned.pending.erase(tenant);
    else
      owned.turns.push_back(tenant);
    grant(owned, waiting, runner, now, out);
  }
}

void Scheduler::handle(NodeId from, const SlotFree &free, Instant now, Outbox &out) {
  out.push_back({from, {}, SlotFreed{free.errand, free.service, free.attempt}});
  const auto found = services_.find(free.service);
  if (found == services_.end()) return;
  OwnedService &owned = found->second;
  for (auto line = owned.pending.begin(); line != owned.pending.end(); ++line)
    owned.pending_count -= std::erase_if(line->second, [&](const Waiting &waiting) {
      return waiting.ask.errand == free.errand && waiting.ask.attempt <= free.attempt;
    });
  const auto held = owned.granted.find(free.errand);
  if (held == owned.granted.end()) return;
  RunnerState &runner_state = owned.runner_states[held->second];
  const Slot slot = runner_state.taken[free.errand];
  const bool is_cancel = free.runner.empty();
  if (is_cancel ? slot.attempt > free.attempt : (held->second != free.runner || slot.attempt != free.attempt))
    return;
  const auto end = static_cast<SlotEnd>(free.end);
  const auto plan = plans_.find(free.service);
  const bool is_self_bounding = plan != plans_.end() && plan->second.is_self_bounding;
  if (end == SlotEnd::lost && !is_self_bounding) {
    runner_state.must_retire = true;
    return;
  }
  if (end == SlotEnd::lost) {
    Slot &doubtful = runner_state.taken[free.errand];
    if (!doubtful.is_doubtful && ++runner_state.strikes >= options_.lost_most)
      runner_state.must_retire = true;
    doubtful.is_doubtful = true;
    doubtful.deadline = std::min(doubtful.deadline, now + owned.serve_guess);
    return;
  }
  runner_state.taken.erase(free.errand);
  if (end == SlotEnd::refused) {
    count_refusal(owned, runner_state, now);
    note_refusal(from, free, owned, runner_state, now);
    if (is_self_bounding) learn_from_refusal(owned, runner_state, plan->second, now);
  }
  if (end == SlotEnd::answered) {
    owned.serve_guess = (owned.serve_guess * 7 + (now - slot.since)) / 8;
    runner_state.strikes = 0;
  } else if (end == SlotEnd::unreached) {
    runner_state.rests_until = now + options_.unreached_rest;
    if (++runner_state.strikes >= 3) runner_state.must_retire = true;
  }
  owned.granted.erase(held);
  serve(free.service, owned, now, out);
}

void Scheduler::tick(Instant now, Outbox &out) {
  ask_inventories(now, out);
  for (auto &[service, owned] : services_) {
    const auto plan = plans_.find(service);
    if (plan == plans_.end()) continue;
    if (owned.is_learning) learn(service, owned, plan->second, now);
    for (auto &[id, runner_state] : owned.runner_states) {
      for (auto slot = runner_state.taken.begin(); slot != runner_state.taken.end();) {
        const Span grace = slot->second.is_doubtful ? 0 : options_.free_grace;
        const bool is_over = now > slot->second.deadline + grace;
        runner_state.must_retire = runner_state.must_retire || (is_over && !plan->second.is_self_bounding);
        if (!is_over || !plan->second.is_self_bounding) {
          ++slot;
          continue;
        }
        ++counters_.freed_in_doubt;
        owned.granted.erase(slot->first);
        slot = runner_state.taken.erase(slot);
      }
    }
    probe_unseen(owned, now);
    if (owned.pending_count > 0 && has_no_share(owned, plan->second, now))
      refuse_pending(owned, isolated_retry, "cut-off", out);
    serve(service, owned, now, out);
    rescale(owned, plan->second, now);
  }
}

void Scheduler::rescale(OwnedService &owned, const ServicePlan &plan, Instant now) {
  owned.scaler.update(plan, load_of(owned), now);
}

ServiceLoad Scheduler::load_of(const OwnedService &owned) {
  return {taken(owned) + unavailable(owned), static_cast<std::uint32_t>(owned.pending_count),
          usable_runners(owned), owned.serve_guess};
}

std::uint64_t Scheduler::wants_mark() const {
  std::uint64_t mark = 0;
  for (const auto &[service, owned] : services_) {
    std::uint64_t doubtful = 0;
    for (const auto &[id, runner_state] : owned.runner_states)
      doubtful += runner_state.must_retire && !runner_state.is_leaving ? 1 : 0;
    mark = Dice(mark ^ (owned.scaler.target() * 1000003ull + doubtful)).next();
  }
  return mark;
}

std::vector<Want> Scheduler::wants(Instant now) const {
  std::vector<Want> list;
  if (now >= fresh_until_) return list;
  for (const auto &[service, owned] : services_) {
    if (!plans_.contains(service)) continue;
    Want want;
    want.service = service;
    want.runners = owned.scaler.target();
    want.epoch = owned.since;
    want.pending = static_cast<std::uint32_t>(owned.pending_count);
    want.taken = taken(owned);
    for (const auto &[id, runner_state] : owned.runner_states) {
      if (runner_state.must_retire && !runner_state.is_leaving) want.retire.push_back(id);
      const bool is_busy =
          std::any_of(runner_state.taken.begin(), runner_state.taken.end(),
                      [&](const auto &slot) { return now <= slot.second.deadline + options_.free_grace; });
      if (runner_state.is_leaving && !is_busy && !owned.is_learning) want.idle.push_back(id);
    }
    list.push_back(std::move(want));
  }
  return list;
}

} // namespace wharf
