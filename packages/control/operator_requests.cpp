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

bool is_patch(OperatorVerb verb) {
  return verb == OperatorVerb::patch_manifest || verb == OperatorVerb::try_patch;
}

/// What `If-Match` says for whatever version is in force.
constexpr std::string_view any_version = "*";

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
    out.answers.push_back(std::move(say));
    return true;
  });
}

std::optional<OperatorAsk> ControlNode::next_confirmed(Instant now) {
  if (unconfirmed_.empty() || !is_leading()) return std::nullopt;
  const Instant confirmed = raft_.confirmed_at(now);
  const auto may_be_carried_out = [&](const UnconfirmedRequest &request) {
    return confirmed >= request.asked_at && (write_index_ == 0 || !is_writing(request.ask.verb));
  };
  const auto found = std::find_if(unconfirmed_.begin(), unconfirmed_.end(), may_be_carried_out);
  if (found == unconfirmed_.end()) return std::nullopt;
  OperatorAsk ask = std::move(found->ask);
  unconfirmed_.erase(found);
  return ask;
}

void ControlNode::carry_out_confirmed(Instant now, ControlOutput &out) {
  while (auto ask = next_confirmed(now)) carry_out(std::move(*ask), now, out);
}

void ControlNode::read_manifest(const OperatorAsk &ask, ControlOutput &out) {
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
    read_manifest(ask, out);
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
  writes_.push_back({ask.ticket, earlier, {}});
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

bool ControlNode::refuse_other_base(const OperatorAsk &ask, ControlOutput &out) {
  if (ask.if_match.empty()) return false;
  const bool is_any = ask.if_match == any_version;
  const auto version = is_any ? std::optional<Version>(registry_.version()) : version_of_tag(ask.if_match);
  const bool is_in_force = version && *version == registry_.version();
  if (is_in_force && !(is_any && *version == 0)) return false;
  if (version && may_be_forgotten(*version) && !ask.write_id.empty())
    refuse_forgotten(ask.ticket, out);
  else
    refuse_version(ask.ticket, out);
  return true;
}

std::variant<ConfigurationText, CharterErrors> ControlNode::next_configuration(const OperatorAsk &ask) const {
  if (!is_patch(ask.verb)) return ConfigurationText{ask.body, ask.origin};
  if (ask.merge) {
    if (registry_.version() != 0 && registry_.origin().empty())
      return CharterErrors{true,
                           {{"$", "the configuration in force was written without a text to merge into"}}};
    return ask.merge(registry_.origin());
  }
  auto merged = merge_charter(registry_.manifest(), ask.body);
  if (auto *errors = std::get_if<CharterErrors>(&merged)) return std::move(*errors);
  return ConfigurationText{std::get<std::string>(std::move(merged)),
                           ask.origin.empty() ? registry_.origin() : ask.origin};
}

void ControlNode::refuse_faulty(std::uint64_t ticket, const CharterErrors &errors, ControlOutput &out) {
  out.answers.push_back(
      {ticket, errors.is_syntax ? 400 : 422, registry_.version(), faults_json(errors.faults), {}});
}

void ControlNode::refuse_forgotten(std::uint64_t ticket, ControlOutput &out) {
  refuse_operator(ticket, 503, "unknown", "too long ago to say whether it was taken", out);
}

void ControlNode::tell_trial(const OperatorAsk &ask, const Trial &trial, const std::string &figures,
                             ControlOutput &out) {
  const bool is_good = trial.breaches.empty();
  Json answer{{"outcome", is_writing(ask.verb) ? "not-taken"
                          : is_good            ? "would-be-taken"
                                               : "would-not-be-taken"},
              {"version", registry_.version()},
              {"trial", Json::parse(figures)}};
  if (!is_good) {
    answer["why"] = "the trial on measured behaviour breaks a declared bound";
    for (const Breach &breach : trial.breaches)
      answer["faults"].push_back(
          {{"path", breach.what},
           {"what", "foretold " + figure_text(breach.figure) + ", bound " + figure_text(breach.bound)}});
  }
  out.answers.push_back({ask.ticket, is_good ? 200 : 422, registry_.version(), answer.dump(2) + "\n", {}});
}

void ControlNode::write_manifest(OperatorAsk ask, Instant now, ControlOutput &out) {
  const bool is_try = !is_writing(ask.verb);
  if (!is_try && acknowledge_again(ask, now, out)) return;
  if (refuse_other_base(ask, out)) return;
  auto made = next_configuration(ask);
  if (const auto *errors = std::get_if<CharterErrors>(&made)) {
    refuse_faulty(ask.ticket, *errors, out);
    return;
  }
  auto &text = std::get<ConfigurationText>(made);
  auto read = read_charter(text.manifest);
  if (const auto *errors = std::get_if<CharterErrors>(&read)) {
    refuse_faulty(ask.ticket, *errors, out);
    return;
  }
  const auto next = std::get<std::shared_ptr<const Charter>>(std::move(read));
  if (may_be_forgotten(next->number) && !ask.write_id.empty()) {
    refuse_forgotten(ask.ticket, out);
    return;
  }
  if (next->number != 0 && next->number <= registry_.version()) {
    refuse_faulty(ask.ticket, {false, {{"$.number", "is not above the version in force"}}}, out);
    return;
  }
  Trial trial = try_change(charter_.get(), *next, almanac_.measured(now), yard());
  if (!options_.must_try) trial.breaches.clear();
  const std::string figures = trial_json(trial);
  if (is_try || !trial.breaches.empty()) {
    tell_trial(ask, trial, figures, out);
    return;
  }
  PutManifest put;
  put.bytes = std::move(text.manifest);
  put.write_id = ask.write_id;
  put.base = registry_.version();
  put.is_bound = is_patch(ask.verb) || (!ask.if_match.empty() && ask.if_match != any_version);
  put.number = next->number;
  const PutConfiguration configuration = configuration_of(std::move(put), text.origin, *next);
  Proposal proposal;
  proposal.trial = figures;
  proposal.foretold = std::move(trial);
  proposal.charter = next;
  proposal.term = raft_.term();
  proposal.operator_ticket = ask.ticket;
  proposal.ask = std::move(ask);
  propose_write(std::move(proposal), configuration, now, out);
}

void ControlNode::propose_write(Proposal proposal, const PutConfiguration &configuration, Instant now,
                                ControlOutput &out) {
  const std::uint64_t ticket = proposal.operator_ticket;
  const std::uint64_t expected = raft_.last_index() + 1;
  proposals_[expected] = std::move(proposal);
  write_index_ = expected;
  if (propose(configuration, now, out)) return;
  proposals_.erase(expected);
  write_index_ = 0;
  refuse_operator(ticket, 503, "not-taken", "this replica cannot write now", out);
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
