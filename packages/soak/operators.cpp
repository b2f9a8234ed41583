#include "soak/operators.hpp"

#include <algorithm>

namespace wharf::soak {

namespace {
constexpr Span order_lasts = seconds(20), answer_within = milliseconds(1200), order_again = milliseconds(150);
constexpr Span read_each = milliseconds(700);
constexpr int redirects_most = 2;
/// Changes in a chain beside its first, and the longest pause between two of them.
constexpr std::int64_t chain_most = 4;
constexpr Span chain_gap_most = milliseconds(160);
/// Probe routes kept beside the newest one.
constexpr std::size_t probes_kept = 3;
/// Every so many milliseconds of work the routes allow at most.
constexpr int deadline_ms = 3000;

std::string name_of_probe(std::int64_t version) { return "probe-" + std::to_string(version); }
} // namespace

Operators::Operators(Loop &loop, const Wire &wire, OperatorOptions options, std::uint64_t seed,
                     std::vector<ChangeRecord> &changes, std::vector<ReadRecord> &reads)
    : wire_(wire), options_(std::move(options)), random_(seed), changes_(changes), reads_(reads),
      calls_(loop, HttpCallOptions{}) {}

std::string Operators::probe_path(std::int64_t version) { return "/v" + std::to_string(version) + "/x"; }

RouteSpec Operators::probe_route(std::int64_t version) {
  return {name_of_probe(version), "/v" + std::to_string(version) + "/", "again", true, deadline_ms};
}

ConfigurationSpec Operators::configuration(std::int64_t version) const {
  ConfigurationSpec spec;
  spec.version = version;
  spec.services = options_.services;
  spec.routes.push_back({"again", "/again/", "again", true, deadline_ms});
  spec.routes.push_back({"once", "/once/", "once", false, deadline_ms});
  for (std::int64_t probe : probes_) spec.routes.push_back(probe_route(probe));
  spec.routes.push_back(probe_route(version));
  return spec;
}

const std::string &Operators::any_control() {
  return options_.controls[random_.index(options_.controls.size())];
}

void Operators::begin(HttpMessage request, ChangeRecord record, Instant at) {
  record.sent = at;
  const std::int64_t version = record.version;
  changes_.push_back(std::move(record));
  const std::uint64_t number = next_order_++;
  Order &order = under_way_[number];
  order = {changes_.size() - 1, std::move(request), version, 0, 0, at, at + order_lasts, false};
}

void Operators::put(std::int64_t version, std::int64_t base, int race, Instant at) {
  const ConfigurationSpec spec = configuration(version);
  ChangeRecord record;
  record.version = version;
  record.base = base;
  record.race = race;
  for (const RouteSpec &route : spec.routes) record.routes.push_back(route.name);
  begin(wire_.put_configuration(spec, base), std::move(record), at);
}

void Operators::change_named(std::int64_t version, std::int64_t base, const std::vector<std::string> &removed,
                             Instant at) {
  ChangeRecord record;
  record.version = version;
  record.base = base;
  record.is_named = true;
  record.routes = {name_of_probe(version)};
  record.removed = removed;
  begin(wire_.change_routes(version, base, probe_route(version), removed), std::move(record), at);
}

void Operators::change_in_chain(Instant now) {
  std::int64_t base = base_;
  Instant at = now;
  put(highest_, base, 0, at);
  for (std::int64_t more = random_.between(1, chain_most); more > 0; --more) {
    base = highest_;
    highest_ += random_.between(1, 3);
    at += random_.span(0, chain_gap_most);
    change_named(highest_, base, {}, at);
  }
}

void Operators::put_invalid(std::int64_t base, Instant now) {
  ConfigurationSpec spec = configuration(highest_);
  spec.routes.front().service = "nobody";
  ChangeRecord record;
  record.version = highest_;
  record.base = base;
  record.is_invalid = true;
  begin(wire_.put_configuration(spec, base), std::move(record), now);
}

void Operators::make_change(Instant now) {
  next_at_ = now + random_.span(options_.pause_least, options_.pause_most);
  highest_ = std::max(highest_, base_) + random_.between(1, 3);
  // What is in force is only known whole where the newest version was acknowledged here.
  if (base_ != acknowledged_ || base_ == 0) return put(highest_, base_, 0, now);
  const std::int64_t draw = random_.between(1, 10);
  if (draw <= 2) return change_in_chain(now);
  if (draw <= 4) {
    std::vector<std::string> removed;
    if (probes_.size() >= probes_kept) removed.push_back(name_of_probe(probes_.front()));
    return change_named(highest_, base_, removed, now);
  }
  if (draw == 5) return put_invalid(base_, now);
  if (draw > 6) return put(highest_, base_, 0, now);
  ++races_;
  put(highest_, base_, races_, now);
  highest_ += 1;
  put(highest_, base_, races_, now);
}

void Operators::send(std::uint64_t number, const std::string &address, Instant now) {
  Order &order = under_way_.at(number);
  order.is_out = true;
  ++order.tries;
  HttpCall call;
  call.address = call.peer = address;
  call.request = order.request;
  call.deadline = now + answer_within;
  call.done = [this, number](CallAnswer &&answer) { answered(number, std::move(answer)); };
  calls_.call(std::move(call));
}

void Operators::answered(std::uint64_t number, CallAnswer &&answer) {
  const auto found = under_way_.find(number);
  if (found == under_way_.end()) return;
  Order &order = found->second;
  ChangeRecord &record = changes_[order.record];
  const Instant now = clock_.now();
  order.is_out = false;
  order.again_at = now + order_again;
  if (answer.fate != CallFate::answered) return;
  const int status = answer.response.status;
  const std::string place = redirected_to(answer.response);
  if (!place.empty() && order.redirects < redirects_most) {
    ++order.redirects;
    send(number, place, now);
    return;
  }
  order.redirects = 0;
  if (status != 200 && (status < 400 || status >= 500 || status == 408 || status == 429)) return;
  record.status = status;
  if (status == 200) {
    record.acknowledged = now;
    base_ = std::max(base_, order.version);
    if (order.version > acknowledged_) {
      acknowledged_ = order.version;
      probes_.push_back(order.version);
      if (probes_.size() > probes_kept) probes_.erase(probes_.begin());
    }
  }
  under_way_.erase(found);
}

std::string Operators::redirected_to(const HttpMessage &response) {
  const std::string *place = response.find("Location");
  constexpr std::string_view scheme = "http://";
  if (response.status != 307 || place == nullptr || !place->starts_with(scheme)) return {};
  const std::string rest = place->substr(scheme.size());
  return rest.substr(0, rest.find('/'));
}

void Operators::read(Instant now) {
  read_at_ = now + read_each;
  reads_.push_back({now, 0, 0, 0, {}});
  ask_reading(reads_.size() - 1, any_control(), 0);
}

void Operators::ask_reading(std::size_t at, const std::string &address, int redirects) {
  HttpCall call;
  call.address = call.peer = address;
  call.request = wire_.read_configuration();
  call.deadline = clock_.now() + answer_within;
  call.done = [this, at, redirects](CallAnswer &&answer) {
    if (answer.fate != CallFate::answered) return;
    const std::string place = redirected_to(answer.response);
    if (!place.empty() && redirects < redirects_most) {
      ask_reading(at, place, redirects + 1);
      return;
    }
    reads_[at].answered = clock_.now();
    reads_[at].status = answer.response.status;
    if (answer.response.status == 200) {
      reads_[at].version = wire_.version_of(answer.response);
      reads_[at].routes = wire_.routes_of(answer.response);
    }
    base_ = std::max(base_, reads_[at].version);
  };
  calls_.call(std::move(call));
}

std::int64_t Operators::read_since(Instant since) const {
  std::int64_t newest = 0;
  for (const ReadRecord &read : reads_)
    if (read.asked >= since && read.status == 200) newest = std::max(newest, read.version);
  return newest;
}

void Operators::tick(Instant now) {
  calls_.tick(now);
  if (!is_stopping_ && now >= next_at_ && under_way_.empty()) make_change(now);
  if (now >= read_at_) read(now);
  std::erase_if(under_way_,
                [now](const auto &item) { return now > item.second.until && !item.second.is_out; });
  for (auto &[number, order] : under_way_)
    if (!order.is_out && now >= order.again_at) send(number, any_control(), now);
}

} // namespace wharf::soak
