#include "control/control_node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "seal/seal.hpp"

namespace wharf {

namespace {
using Json = nlohmann::json;

bool is_control_node(const Member &member) { return member.role == static_cast<std::uint8_t>(Role::control); }

std::string faults_json(const std::vector<Fault> &faults) {
  Json list = Json::array();
  for (const Fault &fault : faults) list.push_back({{"path", fault.path}, {"what", fault.what}});
  return Json{{"outcome", "not-taken"}, {"faults", list}}.dump(2) + "\n";
}

bool is_writing(OperatorVerb verb) {
  return verb == OperatorVerb::put_manifest || verb == OperatorVerb::patch_manifest;
}

std::string figure_text(double figure) {
  std::string text = std::to_string(figure);
  return text.substr(0, text.find('.') + 2);
}

/// Reads `"v12"`, `v12` or `12`; nothing when it names no version.
std::optional<Version> version_of_tag(std::string_view tag) {
  while (!tag.empty() && (tag.front() == '"' || tag.front() == ' ' || tag.front() == 'v'))
    tag.remove_prefix(1);
  while (!tag.empty() && (tag.back() == '"' || tag.back() == ' ')) tag.remove_suffix(1);
  if (tag.empty() || tag.size() > 18 || tag.find_first_not_of("0123456789") != std::string_view::npos)
    return std::nullopt;
  return std::stoull(std::string(tag));
}
} // namespace

ControlNode::ControlNode(Member self, std::vector<std::string> seeds, ControlOptions options,
                         std::uint64_t seed, const Recovered &recovered, Instant now)
    : self_(self), options_(options), rollcall_(self, std::move(seeds), options.rollcall),
      raft_(self.id, options.raft, seed, recovered, now), dice_(seed ^ (self.id * 31)) {
  registry_.load(recovered.snapshot.body);
  applied_ = recovered.snapshot.index;
  if (raft_.group() != 0) rollcall_.set_group(raft_.group());
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
  if (registry_.version() != charter_version_) {
    charter_version_ = registry_.version();
    auto read = read_charter(registry_.manifest());
    if (auto *charter = std::get_if<std::shared_ptr<const Charter>>(&read)) charter_ = *charter;
    if (raft_.is_leader()) push_orders(now, out);
  }
}

void ControlNode::lead_changed(Instant now, ControlOutput &out) {
  const bool is_leader = raft_.is_leader();
  if (is_leader == was_leader_) return;
  was_leader_ = is_leader;
  sessions_.clear();
  ended_.clear();
  almanac_.clear();
  outlook_ = {};
  notes_.clear();
  worker_rests_.clear();
  named_.clear();
  views_.clear();
  view_stamps_.clear();
  views_gone_.clear();
  views_whole_ = ++views_stamp_;
  platform_ = {};
  platform_at_ = 0;
  is_roster_proposed_ = is_runners_proposed_ = is_secret_proposed_ = false;
  roster_differs_since_ = 0;
  if (is_leader) {
    floor_ = now + options_.fresh + options_.drift;
    duty_floor_ = now + std::max(options_.fresh, options_.duty) + options_.drift;
    clock_at_ = now;
    pace_at_ = now;
    pace_ = 0;
    out.lines.push_back("leads in term " + std::to_string(raft_.term()));
    return;
  }
  out.lines.push_back("no longer leads");
  for (const auto &[index, proposal] : proposals_)
    if (proposal.operator_ticket != 0)
      refuse_operator(proposal.operator_ticket, 503, "unknown",
                      "the lead was lost before the outcome was known", out);
  proposals_.clear();
  for (const WaitingWrite &write : writes_)
    refuse_operator(write.ticket, 503, "unknown", "the lead was lost before every pilot had switched", out);
  writes_.clear();
  for (const WaitingRead &read : reads_)
    refuse_operator(read.ask.ticket, 503, "not-read", "the lead was lost", out);
  reads_.clear();
}

void ControlNode::apply(const Entry &entry, Instant now, ControlOutput &out) {
  applied_ = entry.index;
  bytes_since_snapshot_ += entry.body.size() + 64;
  Applied applied;
  if (entry.kind == static_cast<std::uint8_t>(EntryKind::command)) {
    Command command;
    if (unpack_command(entry.body, command)) applied = registry_.apply(command);
  }
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
    OperatorSay say{proposal.operator_ticket, 412, applied.version, {}, {}};
    say.body =
        Json{{"outcome", "not-taken"}, {"why", "another version is in force"}, {"version", applied.version}}
            .dump(2) +
        "\n";
    out.answers.push_back(std::move(say));
    return;
  }
  writes_.push_back({proposal.operator_ticket, applied.version, std::move(proposal.trial)});
  outlook_ = {applied.version, now, false, std::move(proposal.foretold), {}, 0};
  push_orders(now, out);
}

void ControlNode::receive(const Envelope &envelope, Instant now, ControlOutput &out) {
  const Signal &signal = envelope.signal;
  if (std::holds_alternative<Muster>(signal)) {
    rollcall_.step(envelope, now, out.mail);
  } else if (const auto *ask = std::get_if<FoundAsk>(&signal)) {
    FoundSay say;
    say.nonce = ask->nonce;
    say.group = raft_.group();
    say.id = self_.id;
    say.zone = self_.zone;
    bool knows_group = raft_.group() != 0;
    for (const Member &member : rollcall_.living(now)) {
      if (member.group != 0) {
        knows_group = true;
        say.group = member.group;
      }
    }
    say.may_found = options_.may_found && !knows_group && ask->seeds == rollcall_.seeds();
    out.mail.push_back({0, envelope.from_address, say});
  } else if (const auto *heard = std::get_if<FoundSay>(&signal)) {
    if (heard->nonce == found_nonce_) seed_says_[envelope.from_address] = {*heard, now};
  } else if (const auto *order = std::get_if<FoundOrder>(&signal)) {
    if (raft_.group() == 0) {
      RaftOutput step;
      raft_.found(order->group, order->replicas, now, step);
      rollcall_.set_group(order->group);
      out.lines.push_back("joins the founding of group " + std::to_string(order->group));
      absorb(std::move(step), now, out);
    }
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
  } else {
    RaftOutput step;
    raft_.step(envelope.from, signal, now, step);
    absorb(std::move(step), now, out);
    if (raft_.is_leader()) {
      settle_reads(now, out);
      settle_writes(now, out);
    }
  }
}

void ControlNode::saved(std::uint64_t ticket, Instant now, ControlOutput &out) {
  RaftOutput step;
  raft_.saved(ticket, now, step);
  absorb(std::move(step), now, out);
  compact_if_due(out);
}

void ControlNode::disk_failed(Instant now, ControlOutput &out) {
  RaftOutput step;
  raft_.disk_failed(now, step);
  absorb(std::move(step), now, out);
  out.lines.push_back("the disk refused a write");
}

void ControlNode::set_leaving(Instant now, ControlOutput &out) {
  rollcall_.set_leaving();
  RaftOutput step;
  raft_.step_down(now, step);
  absorb(std::move(step), now, out);
}

std::string ControlNode::address_of_pilot(NodeId pilot) const {
  const auto session = sessions_.find(pilot);
  if (session != sessions_.end()) return session->second.address;
  const Roster &roster = registry_.roster();
  for (std::size_t at = 0; at < roster.pilots.size() && at < roster.addresses.size(); ++at)
    if (roster.pilots[at] == pilot) return roster.addresses[at];
  return {};
}

bool ControlNode::is_all_known() const {
  const auto is_known = [this](NodeId pilot) { return sessions_.contains(pilot) || ended_.contains(pilot); };
  const auto at_risk = rosters_at_risk();
  return std::all_of(at_risk.begin(), at_risk.end(), [&](const std::vector<NodeId> *pilots) {
    return std::all_of(pilots->begin(), pilots->end(), is_known);
  });
}

std::vector<const std::vector<NodeId> *> ControlNode::rosters_at_risk() const {
  const Roster &roster = registry_.roster();
  const std::int64_t span_ms =
      (std::max(options_.fresh, options_.duty) + options_.drift + options_.clock_every) / 1'000'000;
  std::vector<const std::vector<NodeId> *> list{&roster.pilots};
  std::int64_t replaced_ms = roster.taken_ms;
  for (auto past = roster.past.rbegin(); past != roster.past.rend(); ++past) {
    if (registry_.clock_ms() - replaced_ms > span_ms) break;
    list.push_back(&past->pilots);
    replaced_ms = past->taken_ms;
  }
  return list;
}

Span ControlNode::quiet_for(Instant now) const {
  Instant last = 0;
  const Roster &roster = registry_.roster();
  if (roster.past.empty()) return 0;
  auto earlier = rosters_at_risk();
  earlier.front() = &roster.past.back().pilots;
  for (const std::vector<NodeId> *pilots : earlier)
    for (NodeId pilot : *pilots) {
      const auto found = ended_.find(pilot);
      if (found == ended_.end()) return 0;
      last = std::max(last, found->second);
    }
  return last == 0 ? 0 : std::max<Span>(0, now - last);
}

void ControlNode::answer_pulse(const Envelope &envelope, const Pulse &pulse, Instant now,
                               ControlOutput &out) {
  const NodeId from = envelope.from;
  if (!is_leading()) {
    out.mail.push_back({from, {}, NotLeader{raft_.leader()}});
    return;
  }
  if (ended_.contains(from)) return;
  for (NodeId ended : pulse.replaces) {
    if (ended == from) continue;
    const Instant moment = now - std::min(now, pulse.up_for);
    const auto [found, is_new] = ended_.emplace(ended, moment);
    found->second = std::min(found->second, moment);
    if (!is_new) continue;
    sessions_.erase(ended);
    settle_at_ = now;
  }
  almanac_.add(pulse.soundings, now);
  NodeSession &session = sessions_[from];
  session.address = envelope.from_address;
  session.last_pulse = now;
  session.last_sent_at = std::max(session.last_sent_at, pulse.sent_at);
  session.version = std::max(session.version, pulse.version);
  session.epoch = std::max(session.epoch, pulse.epoch);
  session.stamp = pulse.runners_term == raft_.term() ? pulse.runners_stamp : 0;
  session.is_leaving = pulse.is_leaving;
  const auto before = std::move(session.wants);
  session.wants.clear();
  for (const Want &want : pulse.wants) {
    const auto known = before.find(want.service);
    if (known == before.end() || known->second.runners != want.runners || known->second.retire != want.retire)
      settle_at_ = now;
    session.wants[want.service] = want;
  }
  Orders orders = orders_for(session, now);
  orders.sent_at = pulse.sent_at;
  session.permit_until = now + options_.fresh + options_.drift;
  session.duty_until = now + options_.duty + options_.drift;
  out.mail.push_back({from, {}, std::move(orders)});
  settle_writes(now, out);
}

Orders ControlNode::orders_for(const NodeSession &session, Instant now) const {
  Orders orders;
  orders.age = now - std::min(now, raft_.confirmed_at(now));
  orders.term = raft_.term();
  orders.version = registry_.version();
  if (session.version < orders.version) {
    orders.has_manifest = true;
    orders.manifest = registry_.manifest();
  }
  orders.has_roster = session.epoch < registry_.roster().epoch;
  if (orders.has_roster)
    orders.roster = registry_.roster();
  else
    orders.roster.epoch = registry_.roster().epoch;
  orders.settled = settled_epoch(now);
  orders.quiet = quiet_for(now);
  if (platform_at_ != 0 && session.stamp != views_stamp_) add_views(session, orders);
  return orders;
}

void ControlNode::add_views(const NodeSession &session, Orders &orders) const {
  orders.has_runners = true;
  orders.runners_stamp = views_stamp_;
  if (session.stamp <= views_whole_) {
    orders.runners = views_;
    return;
  }
  orders.since_stamp = session.stamp;
  for (const RunnerView &view : views_)
    if (const auto found = view_stamps_.find(view.id);
        found != view_stamps_.end() && found->second > session.stamp)
      orders.runners.push_back(view);
  for (const auto &[stamp, runner] : views_gone_)
    if (stamp > session.stamp) orders.gone.push_back(runner);
}

void ControlNode::push_orders(Instant now, ControlOutput &out) {
  if (!is_leading()) return;
  for (auto &[pilot, session] : sessions_) {
    if (now - session.last_pulse > options_.fresh * 2) continue;
    out.mail.push_back({pilot, {}, orders_for(session, now)});
    session.stamp = views_stamp_;
  }
}

Version ControlNode::settled_version(Instant now) const {
  if (!is_leading() || now < floor_) return 0;
  Version lowest = registry_.version();
  for (const auto &[pilot, session] : sessions_)
    if (session.permit_until > now) lowest = std::min(lowest, session.version);
  return lowest;
}

Epoch ControlNode::settled_epoch(Instant now) const {
  if (!is_leading() || (now < duty_floor_ && !is_all_known())) return 0;
  Epoch lowest = registry_.roster().epoch;
  for (const auto &[pilot, session] : sessions_)
    if (session.duty_until > now) lowest = std::min(lowest, session.epoch);
  return lowest;
}

void ControlNode::settle_writes(Instant now, ControlOutput &out) {
  if (writes_.empty()) return;
  const Version settled = settled_version(now);
  std::erase_if(writes_, [&](const WaitingWrite &write) {
    if (write.version > settled) return false;
    OperatorSay say{write.ticket, 200, write.version, {}, {}};
    Json answer{{"outcome", "taken"}, {"version", write.version}};
    if (!write.trial.empty()) answer["trial"] = Json::parse(write.trial);
    say.body = answer.dump(2) + "\n";
    out.answers.push_back(std::move(say));
    return true;
  });
}

void ControlNode::settle_reads(Instant now, ControlOutput &out) {
  if (reads_.empty() || !is_leading()) return;
  const Instant confirmed = raft_.confirmed_at(now);
  std::erase_if(reads_, [&](const WaitingRead &read) {
    if (confirmed < read.asked_at) return false;
    OperatorSay say{read.ask.ticket, 200, registry_.version(), {}, {}};
    if (read.ask.verb == OperatorVerb::get_manifest) {
      say.body = registry_.manifest();
      if (registry_.version() == 0) {
        say.status = 404;
        say.body = "{\"why\": \"no manifest has been taken yet\"}\n";
      }
    } else {
      say.body =
          Json{{"version", registry_.version()}, {"settled_version", settled_version(now)}}.dump(2) + "\n";
    }
    out.answers.push_back(std::move(say));
    return true;
  });
}

void ControlNode::refuse_operator(std::uint64_t ticket, int status, std::string outcome, std::string why,
                                  ControlOutput &out) {
  OperatorSay say{ticket, status, registry_.version(), {}, {}};
  say.body = Json{{"outcome", outcome}, {"why", why}}.dump(2) + "\n";
  out.answers.push_back(std::move(say));
}

std::string ControlNode::leader_http() const {
  const Member *member = rollcall_.find(raft_.leader());
  return member == nullptr || raft_.leader() == self_.id ? std::string() : member->http;
}

void ControlNode::operate(OperatorAsk ask, Instant now, ControlOutput &out) {
  if (!is_leading()) {
    OperatorSay say{ask.ticket, 503, 0, {}, leader_http()};
    say.body =
        Json{{"outcome", is_writing(ask.verb) ? "not-taken" : "not-read"}, {"why", "no leader is known here"}}
            .dump(2) +
        "\n";
    out.answers.push_back(std::move(say));
    return;
  }
  switch (ask.verb) {
  case OperatorVerb::get_manifest:
  case OperatorVerb::get_version:
    reads_.push_back({std::move(ask), now});
    settle_reads(now, out);
    return;
  case OperatorVerb::get_status:
    out.answers.push_back({ask.ticket, 200, registry_.version(), status_json(now), {}});
    return;
  case OperatorVerb::put_manifest:
  case OperatorVerb::patch_manifest:
  case OperatorVerb::try_manifest:
  case OperatorVerb::try_patch:
    write_manifest(std::move(ask), now, out);
    return;
  }
}

void ControlNode::write_manifest(OperatorAsk ask, Instant now, ControlOutput &out) {
  const bool is_try = ask.verb == OperatorVerb::try_manifest || ask.verb == OperatorVerb::try_patch;
  const bool is_patch = ask.verb == OperatorVerb::patch_manifest || ask.verb == OperatorVerb::try_patch;
  if (!ask.write_id.empty() && !is_try) {
    if (const Version earlier = registry_.version_of_write(ask.write_id); earlier != 0) {
      writes_.push_back({ask.ticket, earlier, {}});
      settle_writes(now, out);
      return;
    }
  }
  PutManifest put;
  put.write_id = ask.write_id;
  put.base = registry_.version();
  put.is_bound = is_patch;
  if (!ask.if_match.empty()) {
    const bool is_any = ask.if_match == "*";
    const auto version = is_any ? std::optional<Version>(registry_.version()) : version_of_tag(ask.if_match);
    if (!version || *version != registry_.version() || (is_any && *version == 0)) {
      OperatorSay say{ask.ticket, 412, registry_.version(), {}, {}};
      say.body = Json{{"outcome", "not-taken"},
                      {"why", "another version is in force"},
                      {"version", registry_.version()}}
                     .dump(2) +
                 "\n";
      out.answers.push_back(std::move(say));
      return;
    }
    put.is_bound = put.is_bound || !is_any;
  }
  put.bytes = ask.body;
  std::optional<CharterErrors> errors;
  if (is_patch) {
    auto merged = merge_charter(registry_.manifest(), ask.body);
    if (auto *faults = std::get_if<CharterErrors>(&merged))
      errors = *faults;
    else
      put.bytes = std::get<std::string>(std::move(merged));
  }
  std::shared_ptr<const Charter> next;
  if (!errors) {
    auto read = read_charter(put.bytes);
    if (auto *faults = std::get_if<CharterErrors>(&read))
      errors = *faults;
    else
      next = std::get<std::shared_ptr<const Charter>>(std::move(read));
  }
  if (errors) {
    out.answers.push_back(
        {ask.ticket, errors->is_syntax ? 400 : 422, registry_.version(), faults_json(errors->faults), {}});
    return;
  }
  if (next->number != 0 && next->number <= registry_.version()) {
    const CharterErrors behind{false, {{"$.number", "is not above the version in force"}}};
    out.answers.push_back({ask.ticket, 422, registry_.version(), faults_json(behind.faults), {}});
    return;
  }
  put.number = next->number;
  Trial trial = try_change(charter_.get(), *next, almanac_.measured(now), yard());
  if (!options_.must_try) trial.breaches.clear();
  const std::string figures = trial_json(trial);
  if (is_try || !trial.breaches.empty()) {
    Json answer{{"outcome", !is_try                  ? "not-taken"
                            : trial.breaches.empty() ? "would-be-taken"
                                                     : "would-not-be-taken"},
                {"version", registry_.version()},
                {"trial", Json::parse(figures)}};
    if (!trial.breaches.empty()) {
      answer["why"] = "the trial on measured behaviour breaks a declared bound";
      for (const Breach &breach : trial.breaches)
        answer["faults"].push_back(
            {{"path", breach.what},
             {"what", "foretold " + figure_text(breach.figure) + ", bound " + figure_text(breach.bound)}});
    }
    out.answers.push_back(
        {ask.ticket, trial.breaches.empty() ? 200 : 422, registry_.version(), answer.dump(2) + "\n", {}});
    return;
  }
  Proposal proposal;
  proposal.trial = figures;
  proposal.foretold = std::move(trial);
  proposal.term = raft_.term();
  proposal.operator_ticket = ask.ticket;
  proposal.ask = std::move(ask);
  const std::uint64_t expected = raft_.last_index() + 1;
  proposals_[expected] = proposal;
  if (const auto index = propose(put, now, out); !index) {
    proposals_.erase(expected);
    refuse_operator(proposal.operator_ticket, 503, "not-taken", "this replica cannot write now", out);
  }
}

Yard ControlNode::yard() const {
  Yard result;
  result.is_known = platform_at_ != 0 && !platform_.workers.empty();
  result.pace = options_.platform_pace;
  for (const WorkerSeen &worker : platform_.workers) {
    if (worker.is_draining) continue;
    result.memory_mb += worker.memory_mb;
    result.largest_worker_mb = std::max<std::uint64_t>(result.largest_worker_mb, worker.memory_mb);
  }
  for (const auto &[id, record] : registry_.runners())
    if (!record.is_leaving) ++result.runners[record.service];
  return result;
}

void ControlNode::judge_outlook(Instant now) {
  if (outlook_.version == 0 || outlook_.is_judged || now - outlook_.taken_at < options_.outlook_after) return;
  outlook_.is_judged = true;
  std::map<std::string, double> arrived, refused;
  for (const Measure &line : almanac_.measured(now, outlook_.taken_at).lines) {
    arrived[line.tenant] += line.per_second;
    refused[line.tenant] += line.refused_per_second;
  }
  for (const auto &[tenant, per_second] : arrived)
    if (per_second > 0) outlook_.came[tenant] = 100.0 * refused[tenant] / per_second;
  for (const auto &[id, record] : registry_.runners()) outlook_.runners += record.is_leaving ? 0 : 1;
}

void ControlNode::tick(Instant now, ControlOutput &out) {
  rollcall_.tick(now, out.mail);
  RaftOutput step;
  raft_.tick(now, step);
  absorb(std::move(step), now, out);
  if (raft_.group() == 0) {
    maintain_founding(now, out);
    return;
  }
  if (!founding_replicas_.empty()) maintain_founding(now, out);
  if (!is_leading()) return;
  settle_reads(now, out);
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

void ControlNode::maintain_founding(Instant now, ControlOutput &out) {
  if (now < found_at_) return;
  found_at_ = now + milliseconds(300);
  const auto &seeds = rollcall_.seeds();
  if (raft_.group() != 0) {
    bool is_done = true;
    for (const Replica &replica : founding_replicas_) {
      const Member *member = rollcall_.find(replica.id);
      if (replica.id == self_.id || (member != nullptr && member->group == raft_.group())) continue;
      is_done = false;
      if (raft_.is_disk_well(now))
        out.mail.push_back({replica.id, {}, FoundOrder{raft_.group(), founding_replicas_}});
    }
    if (is_done) founding_replicas_.clear();
    return;
  }
  const bool is_seed = std::find(seeds.begin(), seeds.end(), self_.address) != seeds.end();
  for (const Member &member : rollcall_.living(now)) {
    if (member.group == 0 || !is_control_node(member)) continue;
    RaftOutput step;
    raft_.found(member.group, {}, now, step);
    rollcall_.set_group(member.group);
    out.lines.push_back("joins group " + std::to_string(member.group));
    absorb(std::move(step), now, out);
    return;
  }
  if (!options_.may_found || !is_seed || seeds.front() != self_.address) return;
  for (const Member &member : rollcall_.living(now))
    if (member.group != 0) return;
  if (found_nonce_ == 0) found_nonce_ = dice_.next() | 1;
  std::vector<Replica> replicas{{self_.id, true, self_.zone}};
  for (const std::string &seed : seeds) {
    if (seed == self_.address) continue;
    out.mail.push_back({0, seed, FoundAsk{found_nonce_, seeds}});
    const auto found = seed_says_.find(seed);
    if (found == seed_says_.end() || now - found->second.at > seconds(1) || !found->second.say.may_found)
      continue;
    replicas.push_back({found->second.say.id, true, found->second.say.zone});
  }
  if (replicas.size() != seeds.size()) return;
  founding_replicas_ = replicas;
  RaftOutput step;
  const std::uint64_t group = dice_.next() | 1;
  raft_.found(group, replicas, now, step);
  rollcall_.set_group(group);
  out.lines.push_back("founds group " + std::to_string(group));
  absorb(std::move(step), now, out);
}

void ControlNode::maintain_replicas(Instant now, ControlOutput &out) {
  std::vector<Replica> replicas = raft_.replicas();
  const auto is_dead = [&](const Replica &replica, Span patience) {
    return replica.id != self_.id && !rollcall_.is_living(replica.id, now) &&
           now - std::max(raft_.heard_from(replica.id), raft_.led_since()) > patience;
  };
  const auto propose_change = [&](const std::vector<Replica> &changed, const std::string &why) {
    RaftOutput step;
    if (raft_.propose_replicas(changed, now, step)) out.lines.push_back(why);
    absorb(std::move(step), now, out);
  };
  for (const Member &member : rollcall_.living(now)) {
    if (!is_control_node(member) || member.is_leaving || member.group != raft_.group()) continue;
    if (std::any_of(replicas.begin(), replicas.end(),
                    [&](const Replica &replica) { return replica.id == member.id; }))
      continue;
    replicas.push_back({member.id, false, member.zone});
    propose_change(replicas, "enrols learner " + member.address);
    return;
  }
  std::size_t living = 0, voters = 0, dead_voters = 0;
  for (const Replica &replica : replicas) {
    if (!is_dead(replica, options_.voter_silence)) ++living;
    if (!replica.is_voter) continue;
    ++voters;
    if (is_dead(replica, options_.voter_silence)) ++dead_voters;
  }
  const std::size_t target = living >= 5 ? 5 : living >= 3 ? 3 : 1;
  if (voters - dead_voters < target) {
    std::set<std::string> zones;
    for (const Replica &replica : replicas)
      if (replica.is_voter && !is_dead(replica, options_.voter_silence)) zones.insert(replica.zone);
    Replica *best = nullptr;
    for (Replica &replica : replicas) {
      const bool is_ready = !replica.is_voter && !is_dead(replica, options_.voter_silence) &&
                            raft_.match_of(replica.id) + 200 >= raft_.last_index() &&
                            raft_.match_of(replica.id) > 0;
      if (is_ready && (best == nullptr || (zones.contains(best->zone) && !zones.contains(replica.zone))))
        best = &replica;
    }
    if (best != nullptr) {
      best->is_voter = true;
      propose_change(replicas, "promotes a learner to voter");
      return;
    }
  }
  for (auto replica = replicas.begin(); replica != replicas.end(); ++replica) {
    const bool is_spare_voter =
        replica->is_voter && voters > target && is_dead(*replica, options_.voter_silence);
    const bool is_lost_learner = !replica->is_voter && is_dead(*replica, options_.learner_silence);
    if (!is_spare_voter && !is_lost_learner) continue;
    replicas.erase(replica);
    propose_change(replicas, "strikes off a lost replica");
    return;
  }
}

void ControlNode::maintain_roster(Instant now, ControlOutput &out) {
  if (is_roster_proposed_) return;
  const Roster &roster = registry_.roster();
  if (options_.must_wait_roster && now < duty_floor_ && roster.epoch != 0 && !is_all_known()) return;
  std::vector<NodeId> wanted;
  for (const auto &[pilot, session] : sessions_)
    if (!session.is_leaving && now - session.last_pulse < options_.pilot_silence) wanted.push_back(pilot);
  if (now - raft_.led_since() < options_.pilot_silence)
    for (NodeId pilot : roster.pilots)
      if (!sessions_.contains(pilot) && !ended_.contains(pilot)) wanted.push_back(pilot);
  std::sort(wanted.begin(), wanted.end());
  if (wanted == roster.pilots || wanted.empty()) {
    roster_differs_since_ = 0;
    return;
  }
  if (roster_differs_since_ == 0) roster_differs_since_ = roster_steady_since_ = now;
  if (wanted != roster_wanted_) roster_steady_since_ = now;
  roster_wanted_ = wanted;
  if (now - roster_steady_since_ < options_.enrol_gather && now - roster_differs_since_ < options_.enrol_most)
    return;
  roster_differs_since_ = 0;
  const std::size_t count = wanted.size();
  is_roster_proposed_ = true;
  roster_index_ = raft_.last_index() + 1;
  std::vector<std::string> addresses;
  for (NodeId pilot : wanted) addresses.push_back(address_of_pilot(pilot));
  if (!propose(PutRoster{std::move(wanted), std::move(addresses)}, now, out))
    is_roster_proposed_ = false;
  else
    out.lines.push_back("roster of " + std::to_string(count) + " pilots");
}

std::string ControlNode::seal_key_of(const std::string &runner) const {
  return hmac_hex(registry_.secret(), "runner/" + runner);
}

std::optional<std::string> ControlNode::elect_worker(const std::string &service, std::uint32_t memory_mb,
                                                     const std::vector<RunnerRecord> &planned) const {
  std::map<std::string, std::uint64_t> used;
  std::map<std::string, int> mine, zone_mine;
  std::map<std::string, std::string> zone_of;
  for (const WorkerSeen &worker : platform_.workers) zone_of[worker.id] = worker.zone;
  const auto note = [&](const RunnerRecord &record) {
    used[record.worker] += record.memory_mb;
    if (record.service != service || record.is_leaving) return;
    ++mine[record.worker];
    ++zone_mine[zone_of[record.worker]];
  };
  for (const auto &[id, record] : registry_.runners()) note(record);
  for (const RunnerRecord &record : planned) note(record);
  const WorkerSeen *best = nullptr;
  const auto rank = [&](const WorkerSeen &worker) {
    return std::make_tuple(zone_mine[worker.zone], mine[worker.id],
                           used[worker.id] * 1000 / std::max(1u, worker.memory_mb), worker.id);
  };
  for (const WorkerSeen &worker : platform_.workers) {
    const auto rest = worker_rests_.find(worker.id);
    const bool is_resting = rest != worker_rests_.end() && platform_at_ < rest->second;
    if (worker.is_draining || is_resting || used[worker.id] + memory_mb > worker.memory_mb) continue;
    if (!options_.must_spread) return worker.id;
    if (best == nullptr || rank(worker) < rank(*best)) best = &worker;
  }
  if (best == nullptr) return std::nullopt;
  return best->id;
}

std::string ControlNode::zone_of_worker(const std::string &id) const {
  for (const WorkerSeen &worker : platform_.workers)
    if (worker.id == id) return worker.zone;
  return {};
}

bool ControlNode::is_lopsided(const Service &service, const std::vector<const RunnerRecord *> &list) const {
  if (list.size() < 2 || !options_.must_spread) return false;
  const std::string zone = zone_of_worker(list.front()->worker);
  for (const RunnerRecord *record : list)
    if (zone_of_worker(record->worker) != zone) return false;
  const auto worker = elect_worker(service.name, static_cast<std::uint32_t>(service.memory_mb), {});
  return worker && zone_of_worker(*worker) != zone;
}

std::vector<std::string> ControlNode::elect_leaving(std::vector<const RunnerRecord *> list,
                                                    std::size_t target) const {
  std::vector<std::string> leaving;
  while (list.size() > target) {
    std::map<std::string, int> in_zone, on_worker;
    for (const RunnerRecord *record : list) {
      ++in_zone[zone_of_worker(record->worker)];
      ++on_worker[record->worker];
    }
    const auto rank = [&](const RunnerRecord *record) {
      return std::make_tuple(in_zone[zone_of_worker(record->worker)], on_worker[record->worker], record->id);
    };
    const auto most =
        std::max_element(list.begin(), list.end(), [&](const RunnerRecord *left, const RunnerRecord *right) {
          return rank(left) < rank(right);
        });
    leaving.push_back((*most)->id);
    list.erase(most);
  }
  return leaving;
}

std::vector<std::string>
ControlNode::make_memory(const Service &service,
                         std::map<std::string, std::vector<const RunnerRecord *>> &active) const {
  const Service *least_worth = nullptr;
  for (const Service &other : charter_->services) {
    const auto found = active.find(other.name);
    const auto kept = static_cast<std::size_t>(std::max<std::int64_t>(1, other.least));
    if (other.worth >= service.worth || found == active.end() || found->second.size() <= kept) continue;
    if (least_worth == nullptr || other.worth < least_worth->worth) least_worth = &other;
  }
  if (least_worth == nullptr) return {};
  auto &list = active[least_worth->name];
  const auto leaving = elect_leaving(list, list.size() - 1);
  std::erase_if(list, [&](const RunnerRecord *record) { return record->id == leaving.front(); });
  return leaving;
}

void ControlNode::order_starts(std::vector<const RunnerRecord *> waiting, Instant now, ControlOutput &out) {
  const auto worth_of = [this](const RunnerRecord *record) {
    const Service *service = charter_->service_named(record->service);
    return service == nullptr ? 0 : service->worth;
  };
  std::vector<const RunnerRecord *> by_worth = waiting;
  if (options_.by_worth)
    std::stable_sort(by_worth.begin(), by_worth.end(),
                     [&](const auto *left, const auto *right) { return worth_of(left) > worth_of(right); });
  std::set<std::string> ordered;
  std::size_t at = 0, oldest = 0;
  while (pace_ >= 1 && ordered.size() < waiting.size()) {
    const bool is_oldest_turn = starts_ordered_ % 5 == 4;
    const RunnerRecord *record = is_oldest_turn ? waiting[oldest++] : by_worth[at++];
    if (!ordered.insert(record->id).second) continue;
    ++starts_ordered_;
    pace_ -= 1;
    notes_[record->id].started_at = now;
    out.orders.push_back({true, *record, seal_key_of(record->id), 0});
  }
}

void ControlNode::platform_seen(PlatformView snapshot, Instant now, ControlOutput &out) {
  platform_ = std::move(snapshot);
  platform_at_ = now;
  if (!is_leading()) return;
  const std::uint64_t stamp = views_stamp_;
  refresh_views(now);
  if (views_stamp_ != stamp) push_orders(now, out);
  maintain_runners(now, out);
}

std::string ControlNode::handle_of(const RunnerRecord &record) const {
  if (!record.handle.empty()) return record.handle;
  const auto note = notes_.find(record.id);
  return note == notes_.end() ? std::string() : note->second.handle;
}

void ControlNode::platform_said(const PlatformSay &say, Instant now, ControlOutput &out) {
  const auto found = registry_.runners().find(say.runner);
  if (!is_leading() || found == registry_.runners().end()) return;
  RunnerNote &note = notes_[say.runner];
  const Span again = say.end == OrderEnd::busy ? options_.busy_again : options_.unknown_again;
  note.retry_at = now + again;
  settle_at_ = std::min(settle_at_, note.retry_at);
  if (!say.is_start) {
    note.is_stopped = say.end == OrderEnd::done || say.end == OrderEnd::refused;
    return;
  }
  if (say.end == OrderEnd::refused) {
    worker_rests_[say.worker] = now + options_.worker_rest;
    propose(PutRunners{{}, {}, {say.runner}, {}}, now, out);
    settle_at_ = now;
    return;
  }
  if (say.end != OrderEnd::done || say.handle.empty() || !handle_of(found->second).empty()) return;
  note.handle = say.handle;
  note.address = say.address;
  named_.push_back({say.runner, say.handle, say.address});
  refresh_views(now);
  push_orders(now, out);
}

void ControlNode::refresh_views(Instant now) {
  std::map<std::string, const RunnerSeen *> seen;
  for (const RunnerSeen &runner : platform_.runners) seen[runner.id] = &runner;
  std::map<std::string, const WorkerSeen *> workers;
  for (const WorkerSeen &worker : platform_.workers) workers[worker.id] = &worker;
  std::vector<RunnerView> views;
  for (const auto &[id, record] : registry_.runners()) {
    const std::string handle = handle_of(record);
    const auto found = seen.find(handle.empty() ? id : handle);
    const bool is_listed = found != seen.end() && found->second->phase != RunnerPhase::booting &&
                           !found->second->address.empty();
    const auto note = notes_.find(id);
    const bool was_listed = note != notes_.end() && note->second.was_listed;
    if (!is_listed && (handle.empty() || was_listed || record.is_leaving)) continue;
    const auto worker = workers.find(record.worker);
    RunnerView view;
    view.id = id;
    view.service = record.service;
    view.handle = handle;
    view.is_booting = !is_listed;
    view.address = is_listed                ? found->second->address
                   : record.address.empty() ? note->second.address
                                            : record.address;
    if (!is_listed && note != notes_.end() && note->second.started_at != 0)
      view.booting_for = now - note->second.started_at;
    view.worker = record.worker;
    view.zone = worker == workers.end() ? std::string() : worker->second->zone;
    if (handle.empty()) view.seal_key = seal_key_of(id);
    view.is_leaving = record.is_leaving || (is_listed && found->second->phase == RunnerPhase::stopping) ||
                      (worker != workers.end() && worker->second->is_draining);
    views.push_back(std::move(view));
  }
  const auto is_same = [](const RunnerView &left, const RunnerView &right) {
    return left.id == right.id && left.address == right.address && left.is_leaving == right.is_leaving &&
           left.is_booting == right.is_booting;
  };
  if (std::equal(views.begin(), views.end(), views_.begin(), views_.end(), is_same)) return;
  ++views_stamp_;
  constexpr std::size_t gone_most = 4096;
  std::map<std::string, const RunnerView *> before;
  for (const RunnerView &view : views_) before[view.id] = &view;
  for (const RunnerView &view : views) {
    const auto old = before.find(view.id);
    if (old == before.end() || !is_same(*old->second, view)) view_stamps_[view.id] = views_stamp_;
    if (old != before.end()) before.erase(old);
  }
  for (const auto &[id, view] : before) {
    view_stamps_.erase(id);
    views_gone_.emplace_back(views_stamp_, id);
  }
  while (views_gone_.size() > gone_most) {
    views_whole_ = std::max(views_whole_, views_gone_.front().first);
    views_gone_.pop_front();
  }
  views_ = std::move(views);
}

void ControlNode::maintain_runners(Instant now, ControlOutput &out) {
  if (platform_at_ == 0 || registry_.secret().empty() || !charter_) return;
  pace_ = std::min(options_.platform_pace / 4,
                   pace_ + options_.platform_pace * static_cast<double>(now - pace_at_) / 1e9);
  pace_at_ = now;
  std::map<std::string, const RunnerSeen *> seen;
  for (const RunnerSeen &runner : platform_.runners) seen[runner.id] = &runner;
  std::set<std::string> draining;
  for (const WorkerSeen &worker : platform_.workers)
    if (worker.is_draining) draining.insert(worker.id);
  std::set<std::string> worker_ids;
  for (const WorkerSeen &worker : platform_.workers) worker_ids.insert(worker.id);

  PutRunners put;
  std::vector<const RunnerRecord *> unstarted;
  std::map<std::string, std::vector<const RunnerRecord *>> active;
  std::set<std::string> idle, retire;
  std::map<std::string, const Want *> wants;
  for (const auto &[pilot, session] : sessions_) {
    if (now - session.last_pulse > options_.pilot_silence) continue;
    for (const auto &[service, want] : session.wants) {
      const auto ranked = rank_nodes(registry_.roster().pilots, service, stevedore_salt);
      if (ranked.empty() || ranked[0] != pilot) continue;
      wants[service] = &want;
      idle.insert(want.idle.begin(), want.idle.end());
      retire.insert(want.retire.begin(), want.retire.end());
    }
  }
  std::set<std::string> ours;
  put.named = std::move(named_);
  named_.clear();
  for (const auto &[id, record] : registry_.runners()) {
    RunnerNote &note = notes_[id];
    if (note.known_since == 0) note.known_since = now;
    const std::string handle = handle_of(record);
    const std::string name = handle.empty() ? id : handle;
    ours.insert(name);
    const auto found = seen.find(name);
    if (found != seen.end()) {
      note.was_listed = true;
      note.absent = 0;
    }
    const bool is_lost = found == seen.end() && note.was_listed && note.started_at < platform_at_;
    const bool is_unwanted = !worker_ids.contains(record.worker) && !note.was_listed &&
                             now - note.started_at > seconds(10) && note.started_at != 0;
    const bool is_unlisted = found == seen.end() && !note.was_listed && !handle.empty() &&
                             now - std::max(note.known_since, note.started_at) > options_.unlisted_most;
    if (is_lost || is_unwanted || is_unlisted ||
        (found == seen.end() && record.is_leaving && !note.was_listed && handle.empty()) ||
        (found == seen.end() && note.is_stopped)) {
      put.gone.push_back(id);
      continue;
    }
    if (record.is_leaving) {
      if (note.leaving_since == 0) note.leaving_since = now;
      const bool is_known_service = wants.contains(record.service);
      const bool may_stop =
          idle.contains(id) ||
          (now - note.leaving_since > (is_known_service ? options_.leave_most : seconds(6)) &&
           charter_->service_named(record.service) == nullptr) ||
          now - note.leaving_since > options_.leave_most;
      const bool is_due = note.stopped_at == 0 || now - note.stopped_at > options_.start_again ||
                          (note.retry_at > note.stopped_at && now >= note.retry_at);
      if (may_stop && pace_ >= 1 && is_due && !note.is_stopped) {
        pace_ -= 1;
        note.stopped_at = now;
        RunnerRecord named = record;
        named.handle = handle;
        out.orders.push_back({false, std::move(named), {}, options_.stop_grace});
      }
      continue;
    }
    const bool must_leave = retire.contains(id) || draining.contains(record.worker) ||
                            (found != seen.end() && found->second->phase == RunnerPhase::stopping) ||
                            charter_->service_named(record.service) == nullptr;
    if (must_leave) {
      put.leaving.push_back(id);
      continue;
    }
    active[record.service].push_back(&record);
    const bool is_due = note.started_at == 0 || now - note.started_at > options_.start_again ||
                        (note.retry_at > note.started_at && now >= note.retry_at);
    if (found == seen.end() && handle.empty() && is_due) unstarted.push_back(&record);
  }
  order_starts(std::move(unstarted), now, out);
  for (const RunnerSeen &runner : platform_.runners) {
    if (ours.contains(runner.id) || runner.phase == RunnerPhase::stopping) continue;
    RunnerNote &note = notes_[runner.id];
    if (note.known_since == 0) note.known_since = now;
    if (now - note.known_since < options_.stray_most || pace_ < 1 ||
        now - note.stopped_at < options_.start_again || now < floor_)
      continue;
    pace_ -= 1;
    note.stopped_at = now;
    RunnerRecord record;
    record.id = record.handle = runner.id;
    out.orders.push_back({false, record, {}, options_.stop_grace});
  }
  std::vector<const Service *> services;
  for (const Service &service : charter_->services) services.push_back(&service);
  if (options_.by_worth)
    std::stable_sort(services.begin(), services.end(),
                     [](const Service *left, const Service *right) { return left->worth > right->worth; });
  std::uint64_t next = registry_.next_runner();
  for (const Service *service : services) {
    auto &list = active[service->name];
    std::size_t target =
        std::max<std::size_t>(static_cast<std::size_t>(service->least),
                              std::min<std::size_t>(list.size(), static_cast<std::size_t>(service->most)));
    if (const auto want = wants.find(service->name); want != wants.end())
      target = std::clamp<std::size_t>(want->second->runners, static_cast<std::size_t>(service->least),
                                       static_cast<std::size_t>(service->most));
    const bool is_booting = std::any_of(list.begin(), list.end(), [this](const RunnerRecord *record) {
      return std::none_of(views_.begin(), views_.end(),
                          [&](const RunnerView &view) { return view.id == record->id; });
    });
    if (list.size() > target && !(list.size() == target + 1 && is_booting && target > 0)) {
      const auto leaving = elect_leaving(list, target);
      put.leaving.insert(put.leaving.end(), leaving.begin(), leaving.end());
    }
    if (list.size() == target && !is_booting && now - moved_at_ > options_.move_every &&
        is_lopsided(*service, list)) {
      moved_at_ = now;
      ++target;
    }
    bool has_made_memory = false;
    for (std::size_t missing = list.size(); missing < target && put.add.size() < 64; ++missing) {
      const auto worker =
          elect_worker(service->name, static_cast<std::uint32_t>(service->memory_mb), put.add);
      if (!worker) {
        if (options_.by_worth && !has_made_memory) {
          has_made_memory = true;
          const auto leaving = make_memory(*service, active);
          put.leaving.insert(put.leaving.end(), leaving.begin(), leaving.end());
        }
        break;
      }
      RunnerRecord record;
      record.id = "r" + std::to_string(raft_.term()) + "-" + std::to_string(next++);
      record.service = service->name;
      record.worker = *worker;
      record.image = service->image;
      record.memory_mb = static_cast<std::uint32_t>(service->memory_mb);
      record.slots = static_cast<std::uint32_t>(service->slots);
      put.add.push_back(std::move(record));
    }
  }
  std::erase_if(notes_, [&](const auto &item) {
    return !registry_.runners().contains(item.first) && !seen.contains(item.first);
  });
  if (is_runners_proposed_ ||
      (put.add.empty() && put.leaving.empty() && put.gone.empty() && put.named.empty())) {
    named_ = std::move(put.named);
    return;
  }
  is_runners_proposed_ = true;
  runners_index_ = raft_.last_index() + 1;
  if (!propose(put, now, out)) is_runners_proposed_ = false;
  refresh_views(now);
}

void ControlNode::compact_if_due(ControlOutput &out) {
  const bool is_due = applied_ > raft_.first_index() + options_.compact_entries ||
                      bytes_since_snapshot_ > options_.compact_bytes;
  if (!is_due || applied_ < raft_.first_index()) return;
  bytes_since_snapshot_ = 0;
  RaftOutput step;
  raft_.compact(applied_, registry_.snapshot(), step);
  std::move(step.batches.begin(), step.batches.end(), std::back_inserter(out.batches));
}

std::map<std::string, std::uint64_t> ControlNode::gauges(Instant now) const {
  std::map<std::string, std::uint64_t> values;
  values["term"] = raft_.term();
  values["commit"] = raft_.commit();
  values["log_entries"] = raft_.log().size();
  values["is_leader"] = raft_.is_leader() ? 1 : 0;
  values["manifest_version"] = registry_.version();
  values["settled_version"] = settled_version(now);
  values["roster_epoch"] = registry_.roster().epoch;
  values["settled_epoch"] = settled_epoch(now);
  values["claims"] = registry_.claims().size();
  values["runners"] = registry_.runners().size();
  values["runners_ready"] = views_.size();
  values["sessions"] = sessions_.size();
  values["members_living"] = rollcall_.living(now).size();
  values["replicas"] = raft_.replicas().size();
  values["is_disk_well"] = raft_.is_disk_well(now) ? 1 : 0;
  return values;
}

std::string ControlNode::why_unsettled(const Service &service, std::size_t ready, std::size_t wanted,
                                       Instant now) const {
  if (ready >= wanted) return {};
  if (platform_at_ == 0 || now - platform_at_ > seconds(3)) return "the platform is away";
  std::size_t planned = 0, unordered = 0;
  for (const auto &[id, record] : registry_.runners()) {
    if (record.service != service.name || record.is_leaving) continue;
    ++planned;
    const auto note = notes_.find(id);
    unordered += note == notes_.end() || note->second.started_at == 0 ? 1 : 0;
  }
  if (planned < wanted && !elect_worker(service.name, static_cast<std::uint32_t>(service.memory_mb), {}))
    return "no worker has " + std::to_string(service.memory_mb) + " MB left";
  if (!is_leading()) return "this replica does not lead";
  if (unordered > 0) return std::to_string(unordered) + " starts wait for the platform's pace";
  return "runners are booting";
}

std::string ControlNode::why_unheld(Instant now) const {
  if (settled_version(now) >= registry_.version()) return {};
  if (!is_leading()) return "no majority: this replica does not lead";
  if (now < floor_) return "a new leader waits out its predecessors' permits";
  std::string late;
  for (const auto &[pilot, session] : sessions_)
    if (session.permit_until > now && session.version < registry_.version())
      late += (late.empty() ? "" : ", ") + session.address;
  return "not yet switched: " + late;
}

std::string ControlNode::status_json(Instant now) const {
  Json root;
  root["version"] = registry_.version();
  root["settled_version"] = settled_version(now);
  root["roster_epoch"] = registry_.roster().epoch;
  root["settled_epoch"] = settled_epoch(now);
  root["term"] = raft_.term();
  root["group"] = std::to_string(raft_.group());
  if (outlook_.version != 0) {
    Json item{{"version", outlook_.version},
              {"is_measured", outlook_.trial.is_measured},
              {"is_judged", outlook_.is_judged}};
    std::uint32_t foretold = 0;
    for (const auto &[name, service] : outlook_.trial.next.services) foretold += service.runners;
    item["runners"] = {{"foretold", foretold}};
    if (outlook_.is_judged) item["runners"]["came"] = outlook_.runners;
    for (const auto &[tenant, one] : outlook_.trial.next.tenants) {
      item["tenants"][tenant] = {{"foretold_refused_percent", one.refused_percent}};
      const auto came = outlook_.came.find(tenant);
      if (came == outlook_.came.end()) continue;
      item["tenants"][tenant]["came_refused_percent"] = came->second;
      item["tenants"][tenant]["error"] = came->second - one.refused_percent;
    }
    root["last_change"] = std::move(item);
  }
  if (const std::string why = why_unheld(now); !why.empty()) root["why_not_held"] = why;
  root["replicas"] = Json::array();
  for (const Replica &replica : raft_.replicas()) {
    const Member *member = rollcall_.find(replica.id);
    root["replicas"].push_back({{"id", std::to_string(replica.id)},
                                {"address", member == nullptr ? "" : member->address},
                                {"zone", replica.zone},
                                {"is_voter", replica.is_voter},
                                {"is_leader", replica.id == raft_.leader()},
                                {"is_living", rollcall_.is_living(replica.id, now)}});
  }
  root["pilots"] = Json::array();
  for (const auto &[pilot, session] : sessions_) {
    const Member *member = rollcall_.find(pilot);
    const auto &roster = registry_.roster().pilots;
    root["pilots"].push_back(
        {{"id", std::to_string(pilot)},
         {"http", member == nullptr ? "" : member->http},
         {"zone", member == nullptr ? "" : member->zone},
         {"version", session.version},
         {"epoch", session.epoch},
         {"is_fresh", session.permit_until > now},
         {"is_enrolled", std::find(roster.begin(), roster.end(), pilot) != roster.end()}});
  }
  if (charter_) {
    for (const Tenant &tenant : charter_->tenants) {
      const auto ranked = rank_nodes(registry_.roster().pilots, tenant.name, purser_salt);
      root["pursers"][tenant.name] = {{"owner", ranked.empty() ? "" : std::to_string(ranked[0])},
                                      {"replica", ranked.size() < 2 ? "" : std::to_string(ranked[1])}};
    }
    for (const Service &service : charter_->services) {
      const auto ranked = rank_nodes(registry_.roster().pilots, service.name, stevedore_salt);
      Json item = {{"stevedore", ranked.empty() ? "" : std::to_string(ranked[0])},
                   {"runners", Json::array()}};
      std::size_t ready = 0, wanted = static_cast<std::size_t>(service.least);
      for (const auto &[id, record] : registry_.runners()) {
        if (record.service != service.name) continue;
        const bool is_ready =
            std::any_of(views_.begin(), views_.end(), [&](const RunnerView &view) { return view.id == id; });
        ready += is_ready && !record.is_leaving ? 1 : 0;
        item["runners"].push_back({{"id", id},
                                   {"worker", record.worker},
                                   {"is_ready", is_ready},
                                   {"is_leaving", record.is_leaving}});
      }
      if (!ranked.empty()) {
        const auto session = sessions_.find(ranked[0]);
        if (session != sessions_.end()) {
          const auto want = session->second.wants.find(service.name);
          if (want != session->second.wants.end()) {
            wanted = std::max<std::size_t>(wanted, want->second.runners);
            item["wanted"] = want->second.runners;
            item["pending"] = want->second.pending;
            item["slots_taken"] = want->second.taken;
          }
        }
      }
      if (const std::string why = why_unsettled(service, ready, wanted, now); !why.empty())
        item["why_unsettled"] = why;
      root["services"][service.name] = std::move(item);
    }
  }
  return root.dump(2) + "\n";
}

} // namespace wharf
