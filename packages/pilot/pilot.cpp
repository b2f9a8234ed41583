#include "pilot/pilot.hpp"

#include <algorithm>

#include "trace/trace.hpp"

namespace wharf {

namespace {
std::string fate_counter(Fate fate) {
  const Outcome outcome = outcome_of(fate);
  return "errands_" + std::string(outcome.reason);
}
} // namespace

Pilot::Pilot(const Member &self, std::vector<std::string> seeds, PilotOptions options, Instant now)
    : self_(self), options_(options), membership_(self, std::move(seeds), options.membership),
      purser_(self.id, options.purser), scheduler_(self.id, options.scheduler), witness_(options.witness),
      lease_extension_(self.id, options.witness), born_(now) {}

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

void Pilot::knock_answered(const Knock &knock, Instant now, PilotOutput &out) {
  scheduler_.is_up(knock.service, knock.runner, now, out.mail);
  loop_back(now, out);
}

std::map<std::string, std::uint64_t> Pilot::gauges(Instant now) const {
  std::map<std::string, std::uint64_t> values;
  values["afloat"] = afloat_.size();
  values["manifest_version"] = in_force().version;
  values["roster_epoch"] = roster_.epoch;
  values["settled_epoch"] = settled_;
  values["is_fresh"] = is_fresh(now) ? 1 : 0;
  values["leader_unheard_ms"] = static_cast<std::uint64_t>((now - heard_leader_at_) / milliseconds(1));
  values["beats_passed_over"] = membership_.beats_passed_over();
  values["purses"] = rack_.size();
  values["soundings"] = soundings_.size();
  values["outlays"] = 0;
  for (const auto &[index, till] : tills_) values["outlays"] += till.outlays.size();
  values["members_living"] = membership_.living(now).size();
  values["permits_granted"] = purser_.granted();
  values["permits_denied"] = purser_.denied();
  values["tokens_granted"] = purser_.tokens_granted();
  values["ledgers_sent_whole"] = purser_.whole_copies();
  values["ledger_unknown_starts"] = purser_.unknown_starts();
  scheduler_.counters().report(values);
  values["runners_known"] = runners_.size();
  values["witness_grants"] = witness_.grants();
  values["is_owner_lease_extended"] = is_extended_ ? 1 : 0;
  return values;
}

void Pilot::set_leaving() {
  is_leaving_ = true;
  pulse_at_ = 0;
  membership_.set_leaving();
}

bool Pilot::is_quiet(Instant now) const {
  const auto living = membership_.living(now);
  const bool has_successor = std::any_of(living.begin(), living.end(), [](const Member &member) {
    return member.role == static_cast<std::uint8_t>(Role::pilot) && !member.is_leaving;
  });
  const bool is_counted_on = has_successor && std::find(roster_.pilots.begin(), roster_.pilots.end(),
                                                        self_.id) != roster_.pilots.end();
  const bool is_settled_without = !has_successor || settled_ >= roster_.epoch || !is_fresh(now);
  return afloat_.empty() && freeing_.empty() && closing_.empty() && !is_counted_on && is_settled_without &&
         !purser_.is_handing_over(now);
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
      if (is_out_of_reach(passed->to, now) || membership_.address_of(passed->to) == self_.address) return;
      out.mail.push_back({passed->to, {}, *passed});
    } else if (unframe(passed->frame, inner, used) == FrameState::whole) {
      dispatch(inner, now, out);
    }
  } else {
    dispatch(envelope, now, out);
  }
  loop_back(now, out);
}

void Pilot::dispatch(const Envelope &envelope, Instant now, PilotOutput &out) {
  const Signal &signal = envelope.signal;
  if (std::holds_alternative<MembershipGossip>(signal)) {
    membership_.step(envelope, now, out.mail);
  } else if (const auto *orders = std::get_if<Orders>(&signal)) {
    handle(envelope.from, *orders, now, out);
  } else if (const auto *other = std::get_if<NotLeader>(&signal)) {
    const bool is_newer_name = other->leader != 0 && !hears_leader(now);
    if (leader_ == envelope.from || leader_ == 0 || is_newer_name) leader_ = other->leader;
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
    scheduler_.step(envelope.from, signal, now, out.mail);
  } else if (const auto *request = std::get_if<WitnessRequest>(&signal)) {
    out.mail.push_back({envelope.from, {}, witness_.answer(*request, roster_.epoch, hears_leader(now), now)});
  } else if (const auto *response = std::get_if<WitnessResponse>(&signal)) {
    lease_extension_.take(envelope.from, *response);
    renew_owner_lease(now, out);
  }
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
  case Step::slot:
    errand.retry = Backoff(options_.slot_again, options_.slot_again_most);
    ask_slot(errand, now, out);
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

void Pilot::finish(const std::string &id, Fate fate, Span retry_after, Instant now, PilotOutput &out,
                   const CallEnd *end, std::string why) {
  const auto found = afloat_.find(id);
  if (found == afloat_.end()) return;
  Afloat &errand = found->second;
  const Step step = errand.bill.steps[errand.at];
  if (step == Step::slot) free_slot(errand, SlotEnd::unused, now, out);
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

void Pilot::tick(Instant now, PilotOutput &out) {
  std::erase_if(heard_, [now](const auto &item) { return now - item.second > seconds(60); });
  std::erase_if(unanswered_, [&](const auto &item) {
    return now - item.second.since > seconds(60) || !membership_.is_living(item.first, now);
  });
  membership_.tick(now, out.mail);
  if (staged_ && now - switched_at_ >= options_.switch_gap) switch_staged(now, out);
  for (const Member &member : membership_.living(now))
    if (member.group != 0 && member.role == static_cast<std::uint8_t>(Role::control))
      membership_.set_group(member.group);
  const bool has_news = scheduler_.wants_mark() != told_wants_ || has_missed_manifest_;
  const bool may_tell_news = now - pulsed_at_ >= options_.pulse_least;
  if (now >= pulse_at_ || (has_news && may_tell_news)) send_pulse(now, out);
  forget_newer_owners(now);
  lease_extension_.tick(owner_lease_until(), now, out.mail);
  renew_owner_lease(now, out);
  purser_.tick(now, out.mail);
  scheduler_.set_isolated(is_isolated(now), now);
  scheduler_.tick(now, out.mail);
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
    } else if (step == Step::slot && errand.retry.is_due(now)) {
      ask_slot(errand, now, out);
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
  for (std::string &note : scheduler_.take_refusal_notes()) out.lines.push_back(std::move(note));
  out.knocks = scheduler_.knocks(now);
}

} // namespace wharf
