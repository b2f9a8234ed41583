// Operators' reads and writes: each is answered only on what a majority confirmed after it was asked.
#include "control/control_node.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "delta/delta.hpp"

namespace wharf {

namespace {
using Json = nlohmann::json;

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

void ControlNode::settle_writes(Instant now, ControlOutput &out) {
  if (writes_.empty()) return;
  const Version settled = settled_version(now);
  std::erase_if(writes_, [&](const WaitingWrite &write) {
    if (write.version > settled) return false;
    OperatorSay say{write.ticket, 200, write.version, {}, {}};
    Json answer{{"outcome", "taken"}, {"version", write.version}};
    if (!write.trial.empty()) answer["trial"] = Json::parse(write.trial);
    say.body = answer.dump(2) + "\n";
    say.is_repeat = write.is_repeat;
    out.answers.push_back(std::move(say));
    return true;
  });
}

void ControlNode::carry_out_confirmed(Instant now, ControlOutput &out) {
  if (unconfirmed_.empty() || !is_leading()) return;
  const Instant confirmed = raft_.confirmed_at(now);
  std::vector<OperatorAsk> due;
  std::erase_if(unconfirmed_, [&](UnconfirmedRequest &request) {
    if (confirmed < request.asked_at) return false;
    due.push_back(std::move(request.ask));
    return true;
  });
  for (OperatorAsk &ask : due) carry_out(std::move(ask), now, out);
}

void ControlNode::read_manifest(const OperatorAsk &ask, Instant now, ControlOutput &out) {
  if (acknowledge_again(ask, now, out)) return;
  OperatorSay say{ask.ticket, 200, registry_.version(), registry_.manifest(), {}};
  say.origin = registry_.origin();
  if (registry_.version() == 0) {
    say.status = 404;
    say.body = "{\"why\": \"no manifest has been taken yet\"}\n";
  }
  out.answers.push_back(std::move(say));
}

void ControlNode::refuse_operator(std::uint64_t ticket, int status, std::string outcome, std::string why,
                                  ControlOutput &out) {
  OperatorSay say{ticket, status, registry_.version(), {}, {}};
  say.body = Json{{"outcome", outcome}, {"why", why}}.dump(2) + "\n";
  out.answers.push_back(std::move(say));
}

std::string ControlNode::leader_http(Instant now) const {
  if (!options_.is_replica) return replica_http(now);
  const Member *member = membership_.find(raft_.leader());
  return member == nullptr || raft_.leader() == self_.id ? std::string() : member->http;
}

std::string ControlNode::replica_http(Instant now) const {
  std::vector<std::string> choices;
  for (const Member &member : membership_.living(now))
    if (is_control_node(member) && member.is_replica && !member.is_leaving && member.group != 0)
      choices.push_back(member.http);
  return choices.empty() ? std::string()
                         : choices[static_cast<std::size_t>(now / seconds(1)) % choices.size()];
}

void ControlNode::operate(OperatorAsk ask, Instant now, ControlOutput &out) {
  if (!is_leading()) {
    OperatorSay say{ask.ticket, 503, 0, {}, leader_http(now)};
    say.body =
        Json{{"outcome", is_writing(ask.verb) ? "not-taken" : "not-read"}, {"why", "no leader is known here"}}
            .dump(2) +
        "\n";
    out.answers.push_back(std::move(say));
    return;
  }
  unconfirmed_.push_back({std::move(ask), now});
  carry_out_confirmed(now, out);
}

void ControlNode::carry_out(OperatorAsk ask, Instant now, ControlOutput &out) {
  switch (ask.verb) {
  case OperatorVerb::get_manifest:
    read_manifest(ask, now, out);
    return;
  case OperatorVerb::get_version: {
    OperatorSay say{ask.ticket, 200, registry_.version(), {}, {}};
    say.body =
        Json{{"version", registry_.version()}, {"settled_version", settled_version(now)}}.dump(2) + "\n";
    out.answers.push_back(std::move(say));
    return;
  }
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

bool ControlNode::acknowledge_again(const OperatorAsk &ask, Instant now, ControlOutput &out) {
  if (ask.write_id.empty()) return false;
  const Version earlier = registry_.version_of_write(ask.write_id);
  if (earlier == 0) return false;
  writes_.push_back({ask.ticket, earlier, {}, true});
  settle_writes(now, out);
  return true;
}

bool ControlNode::may_be_forgotten(Version number) const {
  return number != 0 && number < registry_.oldest_kept_write();
}

void ControlNode::refuse_version(std::uint64_t ticket, ControlOutput &out) {
  OperatorSay say{ticket, 412, registry_.version(), {}, {}};
  say.body =
      Json{{"outcome", "not-taken"}, {"why", "another version is in force"}, {"version", registry_.version()}}
          .dump(2) +
      "\n";
  out.answers.push_back(std::move(say));
}

PutConfiguration ControlNode::configuration_of(PutManifest put, const std::string &origin,
                                               const Charter &charter) const {
  PutConfiguration configuration;
  configuration.origin = encode_delta(put.is_bound ? registry_.origin() : std::string_view(), origin);
  put.bytes = encode_delta(put.is_bound ? registry_.manifest() : std::string_view(), put.bytes);
  configuration.put = std::move(put);
  configuration.claim_keep_ms = charter.limits.claim_keep_s * 1000;
  configuration.unknown_keep_ms = charter.limits.unknown_keep_s * 1000;
  return configuration;
}

void ControlNode::write_manifest(OperatorAsk ask, Instant now, ControlOutput &out) {
  const bool is_try = ask.verb == OperatorVerb::try_manifest || ask.verb == OperatorVerb::try_patch;
  const bool is_patch = ask.verb == OperatorVerb::patch_manifest || ask.verb == OperatorVerb::try_patch;
  if (!is_try && acknowledge_again(ask, now, out)) return;
  PutManifest put;
  put.write_id = ask.write_id;
  put.base = registry_.version();
  put.is_bound = is_patch;
  if (!ask.if_match.empty()) {
    const bool is_any = ask.if_match == "*";
    const auto version = is_any ? std::optional<Version>(registry_.version()) : version_of_tag(ask.if_match);
    if (!version || *version != registry_.version() || (is_any && *version == 0)) {
      if (version && may_be_forgotten(*version) && !ask.write_id.empty())
        refuse_operator(ask.ticket, 503, "unknown", "too long ago to say whether it was taken", out);
      else
        refuse_version(ask.ticket, out);
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
  if (may_be_forgotten(next->number) && !ask.write_id.empty()) {
    refuse_operator(ask.ticket, 503, "unknown", "too long ago to say whether it was taken", out);
    return;
  }
  if (next->number != 0 && next->number <= registry_.version()) {
    const CharterErrors behind{false, {{"$.number", "is not above the version in force"}}};
    out.answers.push_back({ask.ticket, 422, registry_.version(), faults_json(behind.faults), {}});
    return;
  }
  put.number = next->number;
  const std::string origin = is_patch && ask.origin.empty() ? registry_.origin() : ask.origin;
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
  proposal.charter = next;
  proposal.term = raft_.term();
  proposal.operator_ticket = ask.ticket;
  proposal.ask = std::move(ask);
  const std::uint64_t expected = raft_.last_index() + 1;
  proposals_[expected] = proposal;
  if (const auto index = propose(configuration_of(std::move(put), origin, *next), now, out); !index) {
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

} // namespace wharf
